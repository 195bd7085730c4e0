//! Unit tests of the `fence` module.

use super::*;

#[test]
fn only_the_latest_owner_passes() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit(Task::Zones, 5, 1), Err(Refused::Unknown));
    fence.saw(Task::Zones, 5, 1);
    assert_eq!(fence.admit(Task::Zones, 5, 1), Ok(()));
    // A token from the future, and another's token, are nobody's word yet.
    assert_eq!(fence.admit(Task::Zones, 900, 1), Err(Refused::Unknown));
    assert_eq!(fence.admit(Task::Zones, 5, 2), Err(Refused::Unknown));
    fence.saw(Task::Zones, 7, 2);
    fence.saw(Task::Zones, 5, 1); // late
    assert_eq!(fence.admit(Task::Zones, 5, 1), Err(Refused::Stale));
    assert_eq!(fence.admit(Task::Zones, 7, 2), Ok(()));
}

#[test]
fn one_voter_alone_makes_up_no_token() {
    let said = BTreeMap::from([(1, (4, 9)), (2, (4, 9)), (3, (1_000_000, 3))]);
    assert_eq!(majority(&said, 3), Some((4, 9)));
    assert_eq!(majority(&BTreeMap::from([(1, (4, 9)), (2, (5, 8))]), 3), None);
    assert_eq!(majority(&BTreeMap::from([(1, (4, 9)), (2, (4, 9))]), 5), None);
}
