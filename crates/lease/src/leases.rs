//! The leases as the voters' log records them: every voter that applies the same changes has the same leases.

use std::collections::BTreeMap;

use omnipaxos::storage::{Entry, Snapshot};
use serde::{Deserialize, Serialize};

use crate::{FrontId, Task, Token};

/// An entry of the log. A change that no longer fits has no effect: of two leaders' grants the first counts.
/// Variants and fields are positional in the saved state: append only.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// The lease passes to a new owner.
    Grant {
        /// The work that it is for.
        task: Task,
        /// The token that it is held under until then; 0: it was never granted.
        previous_token: Token,
        /// The new owner.
        owner: FrontId,
        /// Of the owner's request.
        number: u64,
    },
    /// The owner renews the lease.
    Renew {
        /// The work that it is for.
        task: Task,
        /// The token that it is held under.
        token: Token,
        /// Of the owner's request.
        number: u64,
        /// How far the work has gone.
        progress: Vec<u8>,
    },
}

/// A lease in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Its fencing token.
    pub token: Token,
    /// The front that holds it.
    pub owner: FrontId,
    /// The number of the owner's request that was granted last.
    pub number: u64,
    /// How far the work has gone.
    pub progress: Vec<u8>,
}

/// The leases of all tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leases {
    held: BTreeMap<Task, Lease>,
    /// The last token that was given out, over all tasks.
    last_token: Token,
}

impl Leases {
    /// The lease of a task, if it was ever granted.
    pub fn get(&self, task: Task) -> Option<&Lease> {
        self.held.get(&task)
    }

    /// All leases, by task.
    pub fn iter(&self) -> impl Iterator<Item = (Task, &Lease)> {
        self.held.iter().map(|(task, lease)| (*task, lease))
    }

    /// Applies a change; false if it had no effect.
    pub fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Grant {
                task,
                previous_token,
                owner,
                number,
            } => {
                let previous = self.held.get(task);
                if previous.map_or(0, |lease| lease.token) != *previous_token {
                    return false;
                }
                let progress = previous
                    .map(|lease| lease.progress.clone())
                    .unwrap_or_default();
                self.last_token += 1;
                let lease = Lease {
                    token: self.last_token,
                    owner: *owner,
                    number: *number,
                    progress,
                };
                self.held.insert(*task, lease);
                true
            }
            Change::Renew {
                task,
                token,
                number,
                progress,
            } => match self.held.get_mut(task) {
                Some(lease) if lease.token == *token => {
                    lease.number = *number;
                    lease.progress = progress.clone();
                    true
                }
                _ => false,
            },
        }
    }
}

/// A snapshot of the log: the leases up to some entry, and later changes that have yet to be applied to them.
/// The log library makes one of some entries alone, and then merges it into the snapshot before.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseSnapshot {
    base: Leases,
    changes: Vec<Change>,
}

impl LeaseSnapshot {
    /// The leases with all changes applied.
    pub fn leases(&self) -> Leases {
        let mut leases = self.base.clone();
        for change in &self.changes {
            leases.apply(change);
        }
        leases
    }
}

impl Snapshot<Change> for LeaseSnapshot {
    fn create(entries: &[Change]) -> LeaseSnapshot {
        LeaseSnapshot {
            base: Leases::default(),
            changes: entries.to_vec(),
        }
    }

    fn merge(&mut self, later: LeaseSnapshot) {
        self.base = self.leases();
        self.changes.clear();
        for change in &later.changes {
            self.base.apply(change);
        }
    }

    fn use_snapshots() -> bool {
        true
    }
}

impl Entry for Change {
    type Snapshot = LeaseSnapshot;
}

#[cfg(test)]
#[path = "leases_tests.rs"]
mod tests;
