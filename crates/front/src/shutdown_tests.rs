//! Unit tests of the `shutdown` module.

use super::*;

#[test]
fn the_door_waits_for_promises_to_be_handed_over_but_not_for_ever() {
    let mut end = Shutdown::default();
    end.ask(0);
    for (keeps, door) in [(Keeps::Nothing, DOOR), (Keeps::Shards, HANDED_OVER), (Keeps::Majority, NEEDED)] {
        assert!(!end.closes(door - 1, keeps));
        let mut late = (0..=LATE).map(|_| end.closes(door, keeps));
        assert!(late.by_ref().take(LATE.into()).all(|closes| !closes) && late.next() == Some(true));
        end.late = 0;
    }
}
