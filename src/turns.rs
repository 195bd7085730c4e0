//! Whose turn it is among the statements of each order key, as plain figures: nothing is decided here.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;

/// Statements of one order key, in the order in which they were taken.
#[derive(Default)]
pub struct Turn {
    pub line: VecDeque<StatementId>,
    /// Executions still out of statements that are over.
    pub astray: usize,
    pub rests_until: Micros,
}

#[derive(Default)]
pub struct Turns(BTreeMap<KeyId, Turn>);

impl Turns {
    pub fn of(&self, key: Option<KeyId>) -> Option<&Turn> {
        key.and_then(|key| self.0.get(&key))
    }

    fn change(&mut self, key: Option<KeyId>, change: impl FnMut(&mut Turn)) {
        key.and_then(|key| self.0.get_mut(&key)).into_iter().for_each(change);
    }

    pub fn joins(&mut self, key: Option<KeyId>, id: StatementId) {
        key.into_iter().for_each(|key| self.0.entry(key).or_default().line.push_back(id));
    }

    /// A statement is over, with so many of its executions still out.
    pub fn leaves(&mut self, key: Option<KeyId>, id: StatementId, astray: usize) {
        self.change(key, |turn| {
            turn.line.retain(|other| *other != id);
            turn.astray += astray;
        });
    }

    /// An execution has ended, of a statement that was over where it was astray; the key may rest until then.
    pub fn found(&mut self, key: Option<KeyId>, astray: bool, rests_until: Option<Micros>) {
        self.change(key, |turn| {
            turn.astray -= usize::from(astray && turn.astray > 0);
            turn.rests_until = rests_until.unwrap_or(turn.rests_until);
        });
    }

    /// A transaction goes on and keeps the turn, or does not.
    pub fn keeps(&mut self, key: Option<KeyId>, keeps: bool) {
        self.change(key, |turn| turn.astray += usize::from(keeps));
    }

    /// The first in the line of a key; one with nothing in line, astray or at rest is forgotten.
    pub fn next(&mut self, key: Option<KeyId>, now: Micros) -> Option<StatementId> {
        let turn = self.of(key)?;
        let first = turn.line.front().copied();
        if first.is_none() && turn.astray == 0 && turn.rests_until <= now {
            key.into_iter().for_each(|key| _ = self.0.remove(&key));
        }
        first
    }
}
