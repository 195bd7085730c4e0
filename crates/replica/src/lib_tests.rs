//! Tests of [`LogStore`] as storage of the log library.

use super::*;
use omnipaxos::storage::NoSnapshot;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Number(u64);

impl Entry for Number {
    type Snapshot = NoSnapshot;
}

fn store() -> LogStore<Number> {
    LogStore::new(LogState::default())
}

fn numbers(range: std::ops::Range<u64>) -> Vec<Number> {
    range.map(Number).collect()
}

#[test]
fn trimming_keeps_the_numbers_of_remaining_entries() {
    let mut store = store();
    store.append_entries(numbers(0..10)).unwrap();
    store.trim(4).unwrap();
    store.set_compacted_idx(4).unwrap();
    store.set_decided_idx(8).unwrap();
    assert_eq!(store.get_entries(5, 7).unwrap(), numbers(5..7));
    assert_eq!(store.get_suffix(9).unwrap(), numbers(9..10));
    assert!(
        store.get_entries(3, 5).unwrap().is_empty() && store.get_entries(9, 11).unwrap().is_empty()
    );
    // A range beyond the decided index is cut there; it is not empty, and holds no undecided entries.
    assert_eq!(store.get_entries(6, 12).unwrap(), numbers(6..8));
    store.append_on_prefix(6, numbers(99..100)).unwrap();
    assert_eq!(
        store.get_suffix(4).unwrap(),
        [Number(4), Number(5), Number(99)]
    );
}

#[test]
fn changes_are_reported_once_from_the_first_changed_entry_on() {
    let mut store = store();
    assert_eq!(store.take_changes(), None);
    store.set_decided_idx(0).unwrap();
    assert_eq!(store.take_changes(), Some(Changes::default()));
    store.append_entries(numbers(0..4)).unwrap();
    assert_eq!(store.take_changes().unwrap().log_from, Some(0));
    store.append_on_prefix(2, numbers(7..8)).unwrap();
    store.append_entry(Number(9)).unwrap();
    assert_eq!(
        store.take_changes(),
        Some(Changes {
            must_persist: true,
            log_from: Some(2),
            snapshot: false
        })
    );
    assert_eq!((store.take_changes(), store.read(LogState::end)), (None, 4));
}
