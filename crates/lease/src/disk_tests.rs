//! Unit tests of the `disk` module.

use super::*;
use crate::Task;
use omnipaxos::storage::Storage;

#[test]
fn what_is_spoilt_says_what_to_do() {
    for spoilt in [Spoilt::Form, Spoilt::Fleet, Spoilt::Voters] {
        let text = spoilt.to_string();
        assert!(text.split_once("; ").is_some_and(|(wrong, remedy)| wrong.len() > 8 && remedy.len() > 8));
    }
}

#[test]
fn what_is_saved_is_read_again_and_nothing_spoilt_is() {
    let mut disk = Disk::new(7);
    let mut store = disk.store.clone();
    assert_eq!(disk.unsaved(), None);
    store.append_entry(Change::Grant { task: Task::Zones, after: 0, owner: 3, number: 1 }).unwrap();
    store.set_decided_idx(1).unwrap();
    let saved = disk.unsaved().unwrap();
    assert_eq!(disk.unsaved(), None);
    let again = Disk::read(7, &saved).unwrap();
    assert_eq!((again.store.get_decided_idx().unwrap(), again.store.get_log_len().unwrap()), (1, 1));
    assert_eq!(Disk::read(8, &saved).unwrap_err(), Spoilt::Fleet);
    // Each life has the next number, and is saved though nothing else has changed.
    let mut again = again;
    again.begins();
    let later = Disk::read(7, &again.unsaved().unwrap()).unwrap();
    assert_eq!((again.life, later.life, again.unsaved()), (1, 1, None));
    // What builds wrote that did not count them is read.
    let body = &saved[MAGIC.len() + SUM..saved.len() - 1];
    let before = [&BEFORE[..], &crc32fast::hash(body).to_be_bytes(), body].concat();
    let before = Disk::read(7, &before).unwrap();
    assert_eq!((before.life, before.store.get_decided_idx().unwrap()), (0, 1));
    for cut in 0..saved.len() {
        assert_eq!(Disk::read(7, &saved[..cut]).unwrap_err(), Spoilt::Form, "{cut}");
    }
    for at in 0..saved.len() {
        let mut spoilt = saved.clone();
        spoilt[at] ^= 0x40;
        assert_eq!(Disk::read(7, &spoilt).unwrap_err(), Spoilt::Form, "{at}");
    }
}
