//! The receiver's check: nothing passes under a token lower than the highest that was seen. A token counts as
//! seen once a majority of the voters has named it with its owner, so that nobody can make one up.

use std::collections::BTreeMap;

use crate::{FrontId, Task, Token};

/// Why an act was not let pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// A later owner was seen.
    Stale,
    /// No majority of voters has named this token with this owner: made up, or word of it has yet to come.
    Unknown,
}

/// The highest token seen of each task, with its owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    seen: BTreeMap<Task, (Token, FrontId)>,
}

impl Fence {
    /// A majority of the voters names this lease.
    pub fn saw(&mut self, task: Task, token: Token, owner: FrontId) {
        let seen = self.seen.entry(task).or_insert((token, owner));
        if token > seen.0 {
            *seen = (token, owner);
        }
    }

    pub fn highest(&self, task: Task) -> Option<(Token, FrontId)> {
        self.seen.get(&task).copied()
    }

    /// Whether an act passes.
    pub fn admit(&self, task: Task, token: Token, owner: FrontId) -> Result<(), Refused> {
        match self.highest(task) {
            Some((highest, _)) if token < highest => Err(Refused::Stale),
            Some(seen) if seen == (token, owner) => Ok(()),
            _ => Err(Refused::Unknown),
        }
    }
}

/// What a majority names: of what each voter says last, the highest lease that enough of them say. Voters may
/// be behind each other, so one that names a later lease of a task counts for the earlier as well.
pub fn majority(said: &BTreeMap<FrontId, (Token, FrontId)>, voters: usize) -> Option<(Token, FrontId)> {
    let count = |lease: &(Token, FrontId)| said.values().filter(|other| *other == lease).count();
    let enough = said.values().filter(|lease| count(lease) > voters / 2);
    enough.max().copied()
}

#[cfg(test)]
#[path = "fence_tests.rs"]
mod tests;
