//! Unit tests of the `cuts` module.

use super::*;

#[test]
fn a_front_reaches_its_group_except_unavailable_fronts() {
    let cuts = vec![Partition {
        from: 10,
        to: 20,
        groups: vec![0, 0, 1, 1, 1],
    }];
    let connectivity = Connectivity {
        fronts: 5,
        cuts,
        unavailable: vec![(4, 15, 30)],
        disturbed: vec![(40, 50)],
        starved: vec![(70, 80)],
    };
    assert_eq!(connectivity.min_reachable(0, (0, 9)), 5);
    assert_eq!(
        (
            connectivity.min_reachable(0, (0, 10)),
            connectivity.min_reachable(2, (10, 14))
        ),
        (2, 3)
    );
    assert_eq!(
        (
            connectivity.min_reachable(2, (0, 40)),
            connectivity.max_reachable(2, (15, 40))
        ),
        (2, 5)
    );
    assert_eq!(
        (
            connectivity.max_reachable(0, (12, 19)),
            connectivity.max_reachable(0, (12, 20))
        ),
        (2, 4)
    );
    assert!(
        connectivity.is_disturbed((0, 40))
            && !connectivity.is_disturbed((51, 60))
            && connectivity.is_disturbed((60, 70))
    );
    assert!(
        connectivity.is_impaired(4, (30, 35))
            && !connectivity.is_impaired(4, (31, 69))
            && !connectivity.is_impaired(0, (15, 20))
    );
    assert!(connectivity.is_impaired(0, (75, 76)));
}
