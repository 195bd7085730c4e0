//! The leases as a replicated state machine: voters that apply the same log entries hold the same
//! leases.

use std::collections::BTreeMap;

use omnipaxos::storage::{Entry, Snapshot};
use serde::{Deserialize, Serialize};

use crate::{FrontId, Task, Token};

/// An entry of the log. A change whose token is not the current one has no effect, so of two grants
/// by different leaders only the first takes effect. Variants and fields are encoded by position in
/// the saved state: append only.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Grants the lease to a new owner.
    Grant {
        /// The task of the lease.
        task: Task,
        /// The token of the previous lease on the task; 0 if it was never granted.
        previous_token: Token,
        /// The new owner.
        owner: FrontId,
        /// The number of the owner's request.
        number: u64,
    },
    /// Renews the owner's lease.
    Renew {
        /// The task of the lease.
        task: Task,
        /// The token of the lease.
        token: Token,
        /// The number of the owner's request.
        number: u64,
        /// The progress of the work, for the next owner.
        progress: Vec<u8>,
    },
}

/// The latest lease on a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The fencing token.
    pub token: Token,
    /// The front that the lease was granted to.
    pub owner: FrontId,
    /// The number of the owner's last granted request.
    pub number: u64,
    /// The progress of the work, as the owner stored it last.
    pub progress: Vec<u8>,
}

/// The latest leases of all tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leases {
    held: BTreeMap<Task, Lease>,
    /// The highest token granted so far, over all tasks.
    last_token: Token,
}

impl Leases {
    /// The latest lease on a task; None if it was never granted.
    pub fn get(&self, task: Task) -> Option<&Lease> {
        self.held.get(&task)
    }

    /// All leases, ordered by task.
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

/// A snapshot of the log: the leases up to some entry, and later changes that are not yet applied
/// to them. The log library creates a snapshot from a range of entries and merges it into the
/// previous snapshot.
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
