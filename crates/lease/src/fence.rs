//! The receiver's check: nothing passes under a token lower than the highest that was seen. A token counts as seen
//! once a majority of the voters has named it with its owner, so that nobody can make one up.

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

/// What a majority names: of what each voter says last, the highest lease that enough of them say. Voters may be
/// behind each other, so one that names a later lease of a task counts for the earlier as well.
pub fn majority(said: &BTreeMap<FrontId, (Token, FrontId)>, voters: usize) -> Option<(Token, FrontId)> {
    let count = |lease: &(Token, FrontId)| said.values().filter(|other| *other == lease).count();
    let enough = said.values().filter(|lease| count(lease) > voters / 2);
    enough.max().copied()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_latest_owner_passes() {
        let mut fence = Fence::default();
        assert_eq!(fence.admit(Task::Zones, 5, 1), Err(Refused::Unknown));
        fence.saw(Task::Zones, 5, 1);
        assert_eq!(fence.admit(Task::Zones, 5, 1), Ok(()));
        // A token from the future, and another's token, are nobody's word yet.
        assert_eq!(fence.admit(Task::Zones, 900, 1), Err(Refused::Unknown));
        assert_eq!(fence.admit(Task::Zones, 5, 2), Err(Refused::Unknown));
        fence.saw(Task::Zones, 7, 2);
        fence.saw(Task::Zones, 5, 1); // late
        assert_eq!(fence.admit(Task::Zones, 5, 1), Err(Refused::Stale));
        assert_eq!(fence.admit(Task::Zones, 7, 2), Ok(()));
    }

    #[test]
    fn one_voter_alone_makes_up_no_token() {
        let said = BTreeMap::from([(1, (4, 9)), (2, (4, 9)), (3, (1_000_000, 3))]);
        assert_eq!(majority(&said, 3), Some((4, 9)));
        assert_eq!(majority(&BTreeMap::from([(1, (4, 9)), (2, (5, 8))]), 3), None);
        assert_eq!(majority(&BTreeMap::from([(1, (4, 9)), (2, (4, 9))]), 5), None);
    }
}
