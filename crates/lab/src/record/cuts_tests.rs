//! Unit tests of the `cuts` module.

use super::*;

#[test]
fn a_front_hears_its_own_group_less_those_away() {
    let cuts = vec![Partition {
        from: 10,
        to: 20,
        groups: vec![0, 0, 1, 1, 1],
    }];
    let ways = Connectivity {
        fronts: 5,
        cuts,
        away: vec![(4, 15, 30)],
        troubled: vec![(40, 50)],
        starved: vec![(70, 80)],
    };
    assert_eq!(ways.least_heard(0, (0, 9)), 5);
    assert_eq!(
        (ways.least_heard(0, (0, 10)), ways.least_heard(2, (10, 14))),
        (2, 3)
    );
    assert_eq!(
        (ways.least_heard(2, (0, 40)), ways.most_heard(2, (15, 40))),
        (2, 5)
    );
    assert_eq!(
        (ways.most_heard(0, (12, 19)), ways.most_heard(0, (12, 20))),
        (2, 4)
    );
    assert!(ways.is_troubled((0, 40)) && !ways.is_troubled((51, 60)) && ways.is_troubled((60, 70)));
    assert!(
        ways.is_amiss(4, (30, 35)) && !ways.is_amiss(4, (31, 69)) && !ways.is_amiss(0, (15, 20))
    );
    assert!(ways.is_amiss(0, (75, 76)));
}
