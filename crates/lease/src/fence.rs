//! The receiver's check of fencing tokens: acts under a token lower than the highest seen are
//! rejected. A token counts as seen once a majority of the voters has reported it with its owner,
//! so that no front can forge one.

use std::collections::BTreeMap;

use crate::{FrontId, Task, TokenOwner};

/// Why an owner's act was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FenceError {
    /// A higher token was seen: the lease has a later owner.
    Stale,
    /// No majority of voters has reported this token with this owner: it is forged, or the reports
    /// have not arrived yet.
    Unknown,
}

/// The highest token seen for each task, with its owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest_seen: BTreeMap<Task, TokenOwner>,
}

impl Fence {
    /// Records a lease that a majority of the voters reports; ignored if a higher token was seen.
    pub fn observe(&mut self, task: Task, lease: TokenOwner) {
        let highest_seen = self.highest_seen.entry(task).or_insert(lease);
        if lease.token > highest_seen.token {
            *highest_seen = lease;
        }
    }

    /// The highest token seen for a task, with its owner; None if no token was seen.
    pub fn highest(&self, task: Task) -> Option<TokenOwner> {
        self.highest_seen.get(&task).copied()
    }

    /// Checks an act of an owner under its token; only the highest token with its owner is
    /// admitted.
    pub fn admit(&self, task: Task, act: TokenOwner) -> Result<(), FenceError> {
        match self.highest(task) {
            Some(highest) if act.token < highest.token => Err(FenceError::Stale),
            Some(highest) if highest == act => Ok(()),
            _ => Err(FenceError::Unknown),
        }
    }
}

/// The lease that more than half of `voters` voters report, from the latest report of each; None
/// without a majority. Some voters lag behind others, so only equal reports are counted together.
pub fn majority(reported: &BTreeMap<FrontId, TokenOwner>, voters: usize) -> Option<TokenOwner> {
    let count = |lease: &TokenOwner| reported.values().filter(|other| *other == lease).count();
    let with_majority = reported.values().filter(|lease| count(lease) > voters / 2);
    with_majority.max().copied()
}

#[cfg(test)]
#[path = "fence_tests.rs"]
mod tests;
