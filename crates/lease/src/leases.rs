//! The leases as the voters' log tells them: every voter that applies the same changes knows the same.

use std::collections::BTreeMap;

use omnipaxos::storage::{Entry, Snapshot};
use serde::{Deserialize, Serialize};

use crate::{FrontId, Task, Token};

/// An entry of the log. A change that no longer fits changes nothing: of two leaders' grants the first
/// counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// The lease passes from the one under `after` (0: nobody's yet) to a new owner, for its question
    /// `number`.
    Grant { task: Task, after: Token, owner: FrontId, number: u64 },
    /// The owner under this token goes on, its work being so far.
    Keep { task: Task, token: Token, number: u64, progress: Vec<u8> },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    pub token: Token,
    pub owner: FrontId,
    /// The owner's question that was granted last.
    pub number: u64,
    pub progress: Vec<u8>,
}

/// All leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leases {
    held: BTreeMap<Task, Lease>,
    last: Token,
}

impl Leases {
    pub fn of(&self, task: Task) -> Option<&Lease> {
        self.held.get(&task)
    }

    pub fn all(&self) -> impl Iterator<Item = (Task, &Lease)> {
        self.held.iter().map(|(task, lease)| (*task, lease))
    }

    /// Applies a change; whether it took effect.
    pub fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Grant { task, after, owner, number } => {
                let before = self.held.get(task);
                if before.map_or(0, |lease| lease.token) != *after {
                    return false;
                }
                let progress = before.map(|lease| lease.progress.clone()).unwrap_or_default();
                self.last += 1;
                let lease = Lease { token: self.last, owner: *owner, number: *number, progress };
                self.held.insert(*task, lease);
                true
            }
            Change::Keep { task, token, number, progress } => match self.held.get_mut(task) {
                Some(lease) if lease.token == *token => {
                    (lease.number, lease.progress) = (*number, progress.clone());
                    true
                }
                _ => false,
            },
        }
    }
}

/// A snapshot of the log: the leases up to some entry, and the changes since that have yet to be applied to
/// them. The log's library makes one of some entries alone, and then merges it into what was there before.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Folded {
    base: Leases,
    since: Vec<Change>,
}

impl Folded {
    pub fn leases(&self) -> Leases {
        let mut leases = self.base.clone();
        self.since.iter().for_each(|change| _ = leases.apply(change));
        leases
    }
}

impl Snapshot<Change> for Folded {
    fn create(entries: &[Change]) -> Folded {
        Folded { base: Leases::default(), since: entries.to_vec() }
    }

    fn merge(&mut self, later: Folded) {
        self.base = self.leases();
        self.since.clear();
        later.since.iter().for_each(|change| _ = self.base.apply(change));
    }

    fn use_snapshots() -> bool {
        true
    }
}

impl Entry for Change {
    type Snapshot = Folded;
}

#[cfg(test)]
#[path = "leases_tests.rs"]
mod tests;
