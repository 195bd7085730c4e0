//! Unit tests of the `rows` module.

use super::*;

#[test]
fn missing_and_surplus_rows_are_reported() {
    let row = |site, value, asked, acknowledged| Row {
        site,
        value,
        asked,
        acknowledged,
    };
    let held = [
        row(0, 5, 0, 0),
        row(1, 7, 0, 0),
        row(1, 8, 50, i64::MAX),
        row(0, 99, 0, 0),
    ];
    let found = |rows: &[(usize, i64)], sent: i64, without: &[usize]| {
        let scatter = Scatter {
            id: "q".into(),
            between: (1, 10),
            sent,
            answered: sent + 10,
            rows: Some(rows.to_vec()),
            without: without.iter().copied().collect(),
        };
        let mut wrong = Violations::new();
        check(&mut wrong, &[scatter], &held);
        wrong.into_keys().collect::<Vec<_>>()
    };
    assert!(found(&[(0, 5), (1, 7)], 100, &[]).is_empty());
    assert!(found(&[(0, 5), (1, 7), (1, 8)], 100, &[]).is_empty());
    assert_eq!(found(&[(0, 5)], 100, &[]), ["row_missing"]);
    assert!(found(&[(0, 5)], 100, &[1]).is_empty());
    assert_eq!(found(&[(0, 5), (1, 7), (1, 7)], 100, &[]), ["row_too_many"]);
    // Before its load was sent, a row can't be present; a row of another range never.
    assert_eq!(found(&[(0, 5), (1, 7), (1, 8)], 20, &[]), ["row_too_many"]);
    assert_eq!(
        found(&[(0, 5), (1, 7), (0, 99)], 100, &[]),
        ["row_too_many"]
    );
}
