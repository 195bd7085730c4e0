//! The comparison of a shard's replicas by hashes of their states.

use std::collections::BTreeMap;

use crate::placement::hash;
use crate::state::State;
use crate::{FrontId, Micros};

pub(crate) const LEAVES: usize = 16; // of the tree; one more for what is no entry

/// A comparison under way, and when the next is due.
#[derive(Default)]
pub(crate) struct Comparison {
    /// When the next comparison is due; 0: none was planned yet.
    pub next: Micros,
    /// The entry that the hashes are as of.
    pub index: u64,
    /// By the members that have answered; empty: none is under way.
    pub hashes: BTreeMap<FrontId, Vec<u64>>,
    /// On a member: the hashes that it has yet to send.
    pub pending_answer: Option<PendingHashes>,
}

/// The hashes of a replica as of an entry of the log.
pub(crate) struct StateHashes {
    pub index: u64,
    pub hashes: Vec<u64>,
}

/// Hashes that a leader waits for, and the entry that they are to be as of.
#[derive(Clone, Copy)]
pub(crate) struct PendingHashes {
    pub leader: FrontId,
    pub index: u64,
}

/// The hashes that more than half of all replicas have, if any.
pub(crate) fn majority(hashes: &BTreeMap<FrontId, Vec<u64>>, replicas: usize) -> Option<Vec<u64>> {
    let count = |of: &Vec<u64>| hashes.values().filter(|hashes| *hashes == of).count();
    hashes.values().find(|of| 2 * count(of) > replicas).cloned()
}

/// The hashes of a state by leaves.
pub(crate) fn hashes(state: &State) -> Vec<u64> {
    let mut hashes = vec![0_u64; LEAVES];
    for entry in state.encoded_entries() {
        let leaf = hash(entry.key.name.bytes()) % LEAVES as u64;
        hashes[leaf as usize] ^= hash(entry.bytes.into_iter());
    }
    hashes.push(hash(state.encoded_rest().into_iter()));
    hashes
}
