//! Unit tests of the `fence` module.

use super::*;

fn lease(token: u64, owner: FrontId) -> TokenOwner {
    TokenOwner { token, owner }
}

#[test]
fn only_the_latest_owner_is_admitted() {
    let mut fence = Fence::default();
    assert_eq!(
        fence.admit(Task::Zones, lease(5, 1)),
        Err(FenceError::Unknown)
    );
    fence.observe(Task::Zones, lease(5, 1));
    assert_eq!(fence.admit(Task::Zones, lease(5, 1)), Ok(()));
    // A token that was never granted, and a token under another owner's name.
    assert_eq!(
        fence.admit(Task::Zones, lease(900, 1)),
        Err(FenceError::Unknown)
    );
    assert_eq!(
        fence.admit(Task::Zones, lease(5, 2)),
        Err(FenceError::Unknown)
    );
    fence.observe(Task::Zones, lease(7, 2));
    fence.observe(Task::Zones, lease(5, 1)); // delayed
    assert_eq!(
        fence.admit(Task::Zones, lease(5, 1)),
        Err(FenceError::Stale)
    );
    assert_eq!(fence.admit(Task::Zones, lease(7, 2)), Ok(()));
}

#[test]
fn a_token_needs_the_report_of_a_majority_of_voters() {
    let reported = BTreeMap::from([(1, lease(4, 9)), (2, lease(4, 9)), (3, lease(1_000_000, 3))]);
    assert_eq!(majority(&reported, 3), Some(lease(4, 9)));
    assert_eq!(
        majority(&BTreeMap::from([(1, lease(4, 9)), (2, lease(5, 8))]), 3),
        None
    );
    assert_eq!(
        majority(&BTreeMap::from([(1, lease(4, 9)), (2, lease(4, 9))]), 5),
        None
    );
}
