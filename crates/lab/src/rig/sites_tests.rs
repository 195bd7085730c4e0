//! Unit tests of the `sites` module.

use super::*;

#[test]
fn a_load_leaves_its_row_and_its_number_and_a_scatter_finds_it() {
    let sites = Sites::new(vec![vec![5], vec![7]], 1, 1, 3).unwrap();
    let load = "/* load 17:4 */ /* id=l1,ms=1 */ insert into data_17.t (v) values (6)";
    assert_eq!(sites.answer(1, load), "l1\t-\t-\n");
    let asked = "/* id=q1,ms=1 */ select v from data_17.t where v between 5 and 6";
    assert_eq!(
        (sites.answer(0, asked), sites.answer(1, asked)),
        ("0\t5\t-\n".into(), "1\t6\t-\n".into())
    );
    assert!(sites.summed(1).unwrap().loads.contains_range(4, 4));
    assert_eq!(sites.landed.lock().unwrap().get("l1"), Some(&1));
}
