//! The comparison of a shard's replicas by hashes of their states.

use std::collections::BTreeMap;

use crate::placement::hash;
use crate::state::State;
use crate::{FrontId, Micros};

/// Leaves into which entries are hashed; one more hash covers the rest of the state.
pub(crate) const LEAVES: usize = 16;

/// The comparison in progress, if any, and when the next one is due.
#[derive(Default)]
pub(crate) struct Comparison {
    /// When the next comparison is due; 0 if none was scheduled yet.
    pub next_due: Micros,
    /// The log index that the hashes refer to.
    pub index: u64,
    /// The hashes of the members that have answered; empty if no comparison is in progress.
    pub hashes: BTreeMap<FrontId, Vec<u64>>,
    /// On a member: the leader's request that is still to be answered.
    pub pending_answer: Option<PendingHashes>,
}

/// The hashes of a replica as of an index of the log.
pub(crate) struct StateHashes {
    pub index: u64,
    pub hashes: Vec<u64>,
}

/// A leader that waits for this replica's hashes, and the log index that they must refer to.
#[derive(Clone, Copy)]
pub(crate) struct PendingHashes {
    pub leader: FrontId,
    pub index: u64,
}

/// The hashes shared by more than half of all replicas, if any.
pub(crate) fn majority(hashes: &BTreeMap<FrontId, Vec<u64>>, replicas: usize) -> Option<Vec<u64>> {
    let count = |candidate: &Vec<u64>| {
        hashes
            .values()
            .filter(|hashes| *hashes == candidate)
            .count()
    };
    hashes
        .values()
        .find(|candidate| 2 * count(candidate) > replicas)
        .cloned()
}

/// The hashes of a state: one per leaf, and one of everything but the entries.
pub(crate) fn hashes(state: &State) -> Vec<u64> {
    let mut hashes = vec![0_u64; LEAVES];
    for entry in state.encoded_entries() {
        let leaf = hash(entry.key.name.bytes()) % LEAVES as u64;
        hashes[leaf as usize] ^= hash(entry.bytes.into_iter());
    }
    hashes.push(hash(state.encoded_remainder().into_iter()));
    hashes
}
