//! Fronts that wait for a key that another has, as the shard's leader keeps them: in the order in which they came. Who is
//! next is told once the key is free, and for a while nobody else's ask for it goes before. Nothing rests on it: a line
//! is lost with its leader, and those that wait ask again by themselves.

use std::collections::{BTreeMap, VecDeque};

use crate::state::Command;
use crate::{Act, Key, Kind, Micros, Outcome, Owner};

const STAYS: Micros = 1_000_000; // microseconds without an ask until a front is in a line no more: three of its tries
const TURN: Micros = 100_000; // microseconds for which a free key is kept for who is next: some round trips
const DEFERRED: Micros = 200_000; // microseconds that an ask stands back at most: less than its asker's patience
const MOST_KEYS: usize = 1_024; // keys with a line, of a shard
const MOST_WAITING: usize = 64; // fronts in a line; others ask again by themselves

struct Waiting {
    owner: Owner,
    /// Of its latest ask.
    number: u64,
    ends: Micros,
}

#[derive(Default)]
struct Line {
    waiting: VecDeque<Waiting>,
    /// Until when the key is kept for the first of them, who has been told.
    told: Option<Micros>,
}

#[derive(Default)]
pub(crate) struct Lines(BTreeMap<Key, Line>);

/// Whether it asks for a key that one front has at a time.
fn claims(command: &Command) -> bool {
    let kind = matches!(command.key.kind, Kind::Order | Kind::Dedup);
    kind && matches!(command.act, Act::Claim { .. } | Act::Put { expects: Some(0), .. })
}

impl Lines {
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// What an ask has come to, of a front that can be told of its turn.
    pub fn heard(&mut self, now: Micros, command: &Command, outcome: &Outcome) {
        if !claims(command) {
            return;
        }
        match outcome {
            Outcome::Held(_) => self.waits(now, command),
            Outcome::Stands(_) => {
                if let Some(line) = self.0.get_mut(&command.key) {
                    line.waiting.retain(|waiting| waiting.owner != command.owner);
                    line.told = None;
                }
            }
            Outcome::Absent | Outcome::Unreachable | Outcome::Full => {}
        }
    }

    fn waits(&mut self, now: Micros, command: &Command) {
        if !self.0.contains_key(&command.key) && self.0.len() >= MOST_KEYS {
            return;
        }
        let line = self.0.entry(command.key.clone()).or_default();
        let (owner, number, ends) = (command.owner, command.number, now + STAYS);
        match line.waiting.iter().position(|waiting| waiting.owner == owner) {
            Some(place) => {
                line.waiting[place] = Waiting { owner, number, ends };
                if place == 0 {
                    line.told = None; // another was before it after all
                }
            }
            None if line.waiting.len() < MOST_WAITING => {
                line.waiting.push_back(Waiting { owner, number, ends });
            }
            None => {}
        }
    }

    /// Whether an ask that came then has to stand back, as it is another's turn.
    pub fn defers(&self, now: Micros, command: &Command, came: Micros) -> bool {
        let line = self.0.get(&command.key).filter(|line| line.told.is_some_and(|until| now < until));
        let first = line.and_then(|line| line.waiting.front());
        first.is_some_and(|first| first.owner != command.owner) && claims(command) && now - came < DEFERRED
    }

    /// Who is to be told that a key is free, by the numbers of their latest asks.
    pub fn turns(&mut self, now: Micros, is_free: impl Fn(&Key) -> bool) -> Vec<(Owner, u64)> {
        let mut turns = Vec::new();
        self.0.retain(|key, line| {
            let first = line.waiting.front().map(|first| first.owner);
            if line.told.take_if(|until| *until <= now).is_some() && line.waiting.len() > 1 {
                line.waiting.swap(0, 1); // it has not come: the next goes before it, once
            }
            line.waiting.retain(|waiting| waiting.ends > now);
            let Some(next) = line.waiting.front() else { return false };
            if Some(next.owner) != first {
                line.told = None;
            }
            if line.told.is_none() && is_free(key) {
                line.told = Some(now + TURN);
                turns.push((next.owner, next.number));
            }
            true
        });
        turns
    }
}

#[cfg(test)]
#[path = "lines_tests.rs"]
mod tests;
