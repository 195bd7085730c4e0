//! Unit tests of the `away` module.

use super::*;

#[test]
fn a_zone_that_is_entirely_away_has_a_longer_wait_limit_which_restarts_at_its_return() {
    let member = |front| Member {
        front,
        zone: format!("z{}", front % 3),
    };
    let mut setup = Setup::new("f", 1, 1, 1, (0..9).map(member).collect());
    (setup.repair_after, setup.zone_repair_after) = (10, 100);
    let mut away = Away::default();
    away.since.extend([(0, 5), (3, 6)]);
    assert_eq!(away.wait_until(&setup, 0, 5), 15);
    away.since.insert(6, 7);
    assert_eq!(
        (away.wait_until(&setup, 0, 5), away.wait_until(&setup, 1, 5)),
        (105, 15)
    );
    away.mark_returned(80, &setup.members, 3);
    assert_eq!(
        (away.wait_until(&setup, 0, 5), away.is_away(3)),
        (90, false)
    );
}
