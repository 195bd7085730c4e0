//! A front's part in the ledger.

use std::collections::{BTreeMap, BTreeSet};

use crate::state::{Batch, Command, Limits, State};
use crate::{
    shard_of, Ask, Done, Error, FrontId, Micros, Moment, Out, Outcome, Owner, Saved, Setup, Tallies,
};

/// So far only a fleet of one front keeps anything: asks of a larger one end as `Unreachable`.
pub struct Ledger {
    setup: Setup,
    shards: BTreeMap<u16, State>,
    waiting: BTreeMap<u64, Micros>,
    out: Out,
    tallies: Tallies,
}

impl Ledger {
    /// `saved` is what an earlier life on the same disk gave out to be kept; None only where there was none.
    pub fn new(_at: Moment, setup: Setup, _saved: Option<Saved>) -> Result<Ledger, Error> {
        if setup.members.is_empty() {
            return Err(Error::NoMembers);
        }
        let mut seen = BTreeSet::new();
        if let Some(twice) = setup.members.iter().find(|member| !seen.insert(member.front)) {
            return Err(Error::Twice(twice.front));
        }
        if setup.copies == 0 || setup.copies > setup.members.len() {
            return Err(Error::Copies { copies: setup.copies, members: setup.members.len() });
        }
        if setup.shards == 0 || setup.shards > 1_024 {
            return Err(Error::Shards(setup.shards));
        }
        let (shards, waiting) = (BTreeMap::new(), BTreeMap::new());
        Ok(Ledger { setup, shards, waiting, out: Out::default(), tallies: Tallies::default() })
    }

    /// Asks for an act; one answer follows.
    pub fn ask(&mut self, at: Moment, ask: Ask) {
        if self.setup.members.len() > 1 || self.setup.members[0].front != self.setup.own {
            self.waiting.insert(ask.number, at.steady + self.setup.patience);
            return;
        }
        let limits = Limits::of(&self.setup);
        let state =
            self.shards.entry(shard_of(&ask.key, self.setup.shards)).or_insert_with(|| State::new(limits));
        let owner = Owner { front: self.setup.own, incarnation: self.setup.incarnation };
        let Ask { number, key, act } = ask;
        let commands = vec![Command { owner, number, asked_ms: at.wall_ms, key, act }];
        let outcomes = state.apply(&Batch { wall_ms: at.wall_ms, commands, next: None });
        self.out.done.extend(outcomes.into_iter().map(|outcome| Done { number, outcome }));
    }

    /// A letter of a front has come, whose signature holds.
    pub fn heard(&mut self, _at: Moment, _from: FrontId, _bytes: &[u8]) {}

    /// Does what is due.
    pub fn tick(&mut self, at: Moment) {
        let out = &mut self.out;
        self.waiting.retain(|number, ends| {
            if *ends <= at.steady {
                out.done.push(Done { number: *number, outcome: Outcome::Unreachable });
            }
            *ends > at.steady
        });
    }

    /// When `tick` is next due, on the steady clock.
    pub fn due(&self) -> Micros {
        self.waiting.values().copied().min().unwrap_or(Micros::MAX)
    }

    /// What is to be done for it since it was last asked.
    pub fn take(&mut self) -> Out {
        std::mem::take(&mut self.out)
    }

    /// A save is lasting, or has failed.
    pub fn saved(&mut self, _at: Moment, _number: u64, _ok: bool) {}

    pub fn tallies(&self) -> Tallies {
        self.tallies.clone()
    }
}
