//! Unit tests of the `state` module.

use super::*;
use crate::Task;
use omnipaxos::storage::Storage;

#[test]
fn each_error_names_the_remedy() {
    for error in [
        StateError::Corrupt,
        StateError::OtherFleet,
        StateError::Voters,
    ] {
        let text = error.to_string();
        assert!(text
            .split_once("; ")
            .is_some_and(|(wrong, remedy)| wrong.len() > 8 && remedy.len() > 8));
    }
}

#[test]
fn a_saved_state_is_restored_and_a_corrupt_one_is_rejected() {
    let mut state = DurableState::new(7);
    let mut store = state.store.clone();
    assert_eq!(state.take_unsaved(), None);
    store
        .append_entry(Change::Grant {
            task: Task::Zones,
            previous_token: 0,
            owner: 3,
            number: 1,
        })
        .unwrap();
    store.set_decided_idx(1).unwrap();
    let saved = state.take_unsaved().unwrap();
    assert_eq!(state.take_unsaved(), None);
    let restored = DurableState::read(7, &saved).unwrap();
    assert_eq!(
        (
            restored.store.get_decided_idx().unwrap(),
            restored.store.get_log_len().unwrap()
        ),
        (1, 1)
    );
    assert_eq!(
        DurableState::read(8, &saved).unwrap_err(),
        StateError::OtherFleet
    );
    // Each start increments the incarnation and is saved even if nothing else changed.
    let mut restored = restored;
    restored.start();
    let later = DurableState::read(7, &restored.take_unsaved().unwrap()).unwrap();
    assert_eq!(
        (
            restored.incarnation,
            later.incarnation,
            restored.take_unsaved()
        ),
        (1, 1, None)
    );
    // A state in the first format, without an incarnation, can be read.
    let body = &saved[MAGIC.len() + CHECKSUM_BYTES..saved.len() - 1];
    let first_format = [&MAGIC_V1[..], &crc32fast::hash(body).to_be_bytes(), body].concat();
    let first_format = DurableState::read(7, &first_format).unwrap();
    assert_eq!(
        (
            first_format.incarnation,
            first_format.store.get_decided_idx().unwrap()
        ),
        (0, 1)
    );
    for cut in 0..saved.len() {
        assert_eq!(
            DurableState::read(7, &saved[..cut]).unwrap_err(),
            StateError::Corrupt,
            "{cut}"
        );
    }
    for at in 0..saved.len() {
        let mut altered = saved.clone();
        altered[at] ^= 0x40;
        assert_eq!(
            DurableState::read(7, &altered).unwrap_err(),
            StateError::Corrupt,
            "{at}"
        );
    }
}
