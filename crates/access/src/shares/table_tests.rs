//! Unit tests of the `table` module.

use super::*;

#[test]
fn a_damaged_table_or_one_of_another_limit_is_rejected() {
    let limit = Limit {
        rule: "a".to_string(),
        max_statements: 10,
        window: 1_000_000,
    };
    let (one, other) = ([1, 2].map(|front| Owner {
        front,
        incarnation: 1,
    }))
    .into();
    let mut table = Table::new(&limit);
    table.row_or_insert(one).unwrap().held = 10;
    table.free = 0;
    table.row_or_insert(other).unwrap().wanted = 3;
    table.transfer(one, 4);
    assert_eq!((table.held(one), table.held(other), table.free), (6, 3, 1));
    table.revoke(one);
    assert_eq!(Table::read(&table.bytes(), &limit), Some(table.clone()));
    table.release_revoked(|_| true);
    assert_eq!(table.free, 7);
    let more = Table {
        free: 8,
        ..table.clone()
    };
    assert_eq!(Table::read(&more.bytes(), &limit), None);
    assert_eq!(
        Table::read(&[&table.bytes()[..], b"x"].concat(), &limit),
        None
    );
    assert_eq!(
        Table::read(
            &table.bytes(),
            &Limit {
                max_statements: 11,
                ..limit
            }
        ),
        None
    );
}
