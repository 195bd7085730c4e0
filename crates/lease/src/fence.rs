//! The receiver's check of fencing tokens: nothing is admitted under a token lower than the highest that was
//! seen. A token counts as seen once a majority of the voters has reported it with its owner, so that nobody
//! can make one up.

use std::collections::BTreeMap;

use crate::{FrontId, Task, TokenOwner};

/// Why an act was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FenceError {
    /// A later owner was seen.
    Stale,
    /// No majority of voters has reported this token with this owner: it is made up, or the reports have yet
    /// to come.
    Unknown,
}

/// The highest token seen of each task, with its owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest_seen: BTreeMap<Task, TokenOwner>,
}

impl Fence {
    /// A majority of the voters reports this lease.
    pub fn observe(&mut self, task: Task, lease: TokenOwner) {
        let highest_seen = self.highest_seen.entry(task).or_insert(lease);
        if lease.token > highest_seen.token {
            *highest_seen = lease;
        }
    }

    /// The highest token seen of a task, with its owner.
    pub fn highest(&self, task: Task) -> Option<TokenOwner> {
        self.highest_seen.get(&task).copied()
    }

    /// Whether an act of this owner under this token passes.
    pub fn admit(&self, task: Task, act: TokenOwner) -> Result<(), FenceError> {
        match self.highest(task) {
            Some(highest) if act.token < highest.token => Err(FenceError::Stale),
            Some(highest) if highest == act => Ok(()),
            _ => Err(FenceError::Unknown),
        }
    }
}

/// The lease that a majority of `voters` reports, going by the latest report of each; of several the highest.
/// Voters may be behind each other: only equal reports count together.
pub fn majority(reported: &BTreeMap<FrontId, TokenOwner>, voters: usize) -> Option<TokenOwner> {
    let count = |lease: &TokenOwner| reported.values().filter(|other| *other == lease).count();
    let with_majority = reported.values().filter(|lease| count(lease) > voters / 2);
    with_majority.max().copied()
}

#[cfg(test)]
#[path = "fence_tests.rs"]
mod tests;
