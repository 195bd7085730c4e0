//! The state machine of a shard: every replica that applies the same batches comes to the same state. Its time is that of
//! the batches, which is their proposer's Unix clock, and never runs back.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::batch::{Batch, Command};
use crate::encoding::encode;
use crate::members::ReplicaId;
use crate::stored_answers::{StoredAnswer, StoredOutcome};
use crate::tail::Tail;
use crate::{Act, Entry, Key, Outcome, Owner, Setup, REMEMBERED_MS};

const ENTRY_OVERHEAD: usize = 64; // bytes that an entry counts beside its name and value
const MAX_ANSWERS: usize = 8_192; // answers remembered: some 30 bytes each in a snapshot

/// What a shard may hold, and how long it keeps what has ended: part of the state, so that all replicas go by the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Limits {
    pub entries: usize,
    pub bytes: usize,
    pub clock_skew_ms: u64,
}

impl Limits {
    pub fn of(setup: &Setup) -> Limits {
        Limits {
            entries: setup.most_entries,
            bytes: setup.most_bytes,
            clock_skew_ms: setup.clock_skew_ms,
        }
    }
}

/// A shard's entries.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct State {
    limits: Limits,
    now_ms: u64,
    /// The version given last, of any key.
    last: u64,
    /// Each with the number of the ask that set it.
    entries: BTreeMap<Key, (Entry, u64)>,
    bytes: usize,
    answers: BTreeMap<(Owner, u64), StoredAnswer>,
    /// The members of the next configuration, once they are decided, behind the latest format of the batches.
    tail: Tail,
    /// What ends and is forgotten when; rebuilt from the rest where it is missing.
    #[serde(skip)]
    index: Option<Index>,
}

#[derive(Clone, Debug, Default)]
struct Index {
    ends: BTreeSet<(u64, Key)>,
    forgotten: BTreeSet<(u64, Owner, u64)>,
}

impl State {
    pub fn new(limits: Limits) -> State {
        State {
            limits,
            ..State::default()
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Each entry, and all else that replicas agree on, as bytes: for their comparison.
    pub fn parts(&self) -> (impl Iterator<Item = (&Key, Vec<u8>)>, Vec<u8>) {
        let entries = self.entries.iter().map(|(key, entry)| (key, encode(entry)));
        let State {
            limits,
            now_ms,
            last,
            bytes,
            answers,
            tail,
            ..
        } = self;
        (
            entries,
            encode(&(limits, now_ms, last, bytes, answers, tail)),
        )
    }

    /// The entry of a key.
    fn of(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key).map(|(entry, _)| entry)
    }

    /// Whether nobody has it any more, at that time.
    pub fn is_free(&self, key: &Key, wall_ms: u64) -> bool {
        let ends = |entry: &Entry| entry.ends_ms.saturating_add(self.limits.clock_skew_ms);
        self.of(key)
            .is_none_or(|entry| entry.ends_ms > 0 && ends(entry) <= wall_ms)
    }

    pub fn next(&self) -> Option<&[ReplicaId]> {
        self.tail.next()
    }

    /// The latest format of the batches that it came from.
    pub fn format(&self) -> u8 {
        self.tail.format()
    }

    /// The state that the next configuration starts from: the same entries.
    pub fn for_next_configuration(&self) -> State {
        State {
            tail: Tail::of(self.format(), None),
            ..self.clone()
        }
    }

    /// Applies a batch; the outcome of each of its commands. Empty once the members have changed: what follows in this
    /// log does not count, and nobody may be answered by it.
    pub fn apply(&mut self, batch: &Batch) -> Vec<Outcome> {
        if self.next().is_some() {
            return Vec::new();
        }
        self.now_ms = self.now_ms.max(batch.wall_ms);
        self.expire();
        let outcomes = batch
            .commands
            .iter()
            .map(|command| self.command(command))
            .collect();
        let next = batch.tail.next().map(<[ReplicaId]>::to_vec);
        self.tail = Tail::of(self.format().max(batch.tail.format()), next);
        outcomes
    }

    fn command(&mut self, command: &Command) -> Outcome {
        if command.act == Act::Read {
            return self
                .of(&command.key)
                .cloned()
                .map_or(Outcome::Absent, Outcome::Stands);
        }
        let id = (command.owner, command.number);
        if let Some(before) = self.answers.get(&id) {
            return command.repeat_answer(&before.stored, self.of(&command.key));
        }
        // An answer to one asked as long ago, or in the future, could be forgotten before a copy of it comes.
        let age = self.now_ms.abs_diff(command.asked_ms);
        if age >= REMEMBERED_MS || self.answers.len() >= MAX_ANSWERS {
            return Outcome::Unreachable;
        }
        let (outcome, stored) = self.act(command);
        self.answers.insert(
            id,
            StoredAnswer {
                asked_ms: command.asked_ms,
                stored,
            },
        );
        self.index()
            .forgotten
            .insert((command.asked_ms, command.owner, command.number));
        outcome
    }

    /// Carries a command out; its outcome, and what is remembered of that.
    fn act(&mut self, command: &Command) -> (Outcome, StoredOutcome) {
        let current = self.of(&command.key).cloned();
        let mine = current
            .as_ref()
            .is_none_or(|entry| entry.owner == command.owner);
        // An ask that comes late undoes nothing that the same front asked for after it.
        let late = mine
            && self
                .entries
                .get(&command.key)
                .is_some_and(|(_, number)| *number > command.number);
        match (&command.act, &current) {
            (Act::Claim { .. }, Some(entry)) if late => {
                return (
                    Outcome::Stands(entry.clone()),
                    StoredOutcome::Stands {
                        version: entry.version,
                    },
                );
            }
            (Act::Free, _) if late => return (Outcome::Absent, StoredOutcome::Absent),
            _ => {}
        }
        let (ends_ms, value, fits) = match &command.act {
            Act::Claim { ends_ms, value } => (*ends_ms, value, mine),
            Act::Put {
                expects,
                ends_ms,
                value,
            } => {
                let version = current.as_ref().map_or(0, |entry| entry.version);
                (
                    *ends_ms,
                    value,
                    expects.is_none_or(|expected| expected == version),
                )
            }
            Act::Free | Act::Read if mine => {
                self.remove(&command.key);
                return (Outcome::Absent, StoredOutcome::Absent);
            }
            Act::Free | Act::Read => (0, &Vec::new(), false),
        };
        match current {
            Some(entry) if !fits => {
                let stored = StoredOutcome::Held {
                    owner: entry.owner,
                    version: entry.version,
                    ends_ms: entry.ends_ms,
                };
                (Outcome::Held(entry), stored)
            }
            None if !fits => (Outcome::Absent, StoredOutcome::Absent),
            current => self.write(command, current, ends_ms, value),
        }
    }

    /// Writes an entry in place of the current one, if the shard's limits allow it.
    fn write(
        &mut self,
        command: &Command,
        current: Option<Entry>,
        ends_ms: u64,
        value: &[u8],
    ) -> (Outcome, StoredOutcome) {
        let size = |value: &[u8]| command.key.name.len() + value.len() + ENTRY_OVERHEAD;
        let before = current.as_ref().map_or(0, |entry| size(&entry.value));
        let more = usize::from(current.is_none());
        let grows = size(value) > before;
        if self.entries.len() + more > self.limits.entries
            || grows && self.bytes - before + size(value) > self.limits.bytes
        {
            return (Outcome::Full, StoredOutcome::Full);
        }
        self.remove(&command.key);
        self.last += 1;
        let (key, value) = (command.key.clone(), value.to_vec());
        let entry = Entry {
            key,
            owner: command.owner,
            version: self.last,
            ends_ms,
            value,
        };
        self.bytes += size(&entry.value);
        if ends_ms > 0 {
            self.index().ends.insert((ends_ms, entry.key.clone()));
        }
        self.entries
            .insert(entry.key.clone(), (entry.clone(), command.number));
        (
            Outcome::Stands(entry),
            StoredOutcome::Stands { version: self.last },
        )
    }

    fn remove(&mut self, key: &Key) {
        if let Some((entry, _)) = self.entries.remove(key) {
            self.bytes -= (key.name.len() + entry.value.len() + ENTRY_OVERHEAD).min(self.bytes);
            self.index().ends.remove(&(entry.ends_ms, entry.key));
        }
    }

    /// Removes what has ended on every front's clock, and forgets answers that nobody can ask for any more.
    fn expire(&mut self) {
        let (now, skew) = (self.now_ms, self.limits.clock_skew_ms);
        while let Some((_, key)) = self
            .index()
            .ends
            .first()
            .filter(|(ends, _)| ends.saturating_add(skew) <= now)
            .cloned()
        {
            self.remove(&key);
        }
        while let Some(first) = self
            .index()
            .forgotten
            .first()
            .filter(|(asked, ..)| asked.saturating_add(REMEMBERED_MS) <= now)
            .copied()
        {
            let (_, owner, number) = first;
            self.index().forgotten.remove(&first);
            self.answers.remove(&(owner, number));
        }
    }

    fn index(&mut self) -> &mut Index {
        let State {
            index,
            entries,
            answers,
            ..
        } = self;
        index.get_or_insert_with(|| Index {
            ends: entries
                .values()
                .filter(|(e, _)| e.ends_ms > 0)
                .map(|(e, _)| (e.ends_ms, e.key.clone()))
                .collect(),
            forgotten: answers
                .iter()
                .map(|((owner, n), stored)| (stored.asked_ms, *owner, *n))
                .collect(),
        })
    }
}

/// A state of a shard, after so many entries of the log.
pub(crate) struct StateAt {
    pub index: u64,
    pub state: State,
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;
