//! The state machine of a shard: every replica that applies the same batches reaches the same
//! state. Its clock is that of the batches, set from the members' Unix clocks by the proposer, and
//! never runs back.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::batch::{Batch, Command, CommandId};
use crate::encoding::encode;
use crate::members::ReplicaId;
use crate::stored_answers::{StoredAnswer, StoredOutcome};
use crate::tail::Tail;
use crate::{Entry, Key, Operation, Outcome, Setup, ANSWER_RETENTION_MS};

/// Bytes that an entry counts for in addition to its name and value.
const ENTRY_OVERHEAD: usize = 64;
/// Maximum number of retained answers: some 30 bytes each in a snapshot.
const MAX_ANSWERS: usize = 8_192;

/// An entry's key, and the encoded entry.
pub(crate) struct EncodedEntry<'a> {
    pub key: &'a Key,
    pub bytes: Vec<u8>,
}

/// The limits of a shard, and how long expired entries are kept. They are part of the state, so
/// that all replicas apply the same limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Limits {
    pub entries: usize,
    pub bytes: usize,
    pub clock_skew_ms: u64,
}

impl Limits {
    pub fn of(setup: &Setup) -> Limits {
        Limits {
            entries: setup.max_shard_entries,
            bytes: setup.max_shard_bytes,
            clock_skew_ms: setup.clock_skew_ms,
        }
    }
}

/// The replicated state of a shard: its entries, and the answers that are retained.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct State {
    limits: Limits,
    now_ms: u64,
    /// The version assigned last, to any key.
    last_version: u64,
    entries: BTreeMap<Key, StoredEntry>,
    bytes: usize,
    answers: BTreeMap<CommandId, StoredAnswer>,
    /// The members of the next configuration, once decided, preceded by the latest format of the
    /// batches.
    tail: Tail,
    /// Entries and answers by expiry; rebuilt from the other fields if missing.
    #[serde(skip)]
    index: Option<Index>,
}

/// An entry, and the number of the request that set it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredEntry {
    entry: Entry,
    number: u64,
}

/// Entries and answers in the order in which they expire.
#[derive(Clone, Debug, Default)]
struct Index {
    expiring_entries: BTreeSet<EntryExpiry>,
    expiring_answers: BTreeSet<AnswerExpiry>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryExpiry {
    ends_ms: u64,
    key: Key,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AnswerExpiry {
    asked_ms: u64,
    id: CommandId,
}

/// The result of a command: its outcome, and the part of it that is retained.
struct ExecutionResult {
    outcome: Outcome,
    stored: StoredOutcome,
}

impl ExecutionResult {
    fn absent() -> ExecutionResult {
        ExecutionResult {
            outcome: Outcome::Absent,
            stored: StoredOutcome::Absent,
        }
    }

    fn stands(entry: Entry) -> ExecutionResult {
        ExecutionResult {
            stored: StoredOutcome::Stands {
                version: entry.version,
            },
            outcome: Outcome::Stands(entry),
        }
    }

    fn held(entry: Entry) -> ExecutionResult {
        ExecutionResult {
            stored: StoredOutcome::Held {
                owner: entry.owner,
                version: entry.version,
                ends_ms: entry.ends_ms,
            },
            outcome: Outcome::Held(entry),
        }
    }

    fn full() -> ExecutionResult {
        ExecutionResult {
            outcome: Outcome::Full,
            stored: StoredOutcome::Full,
        }
    }
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

    /// Each entry, encoded, for the comparison of replicas.
    pub fn encoded_entries(&self) -> impl Iterator<Item = EncodedEntry<'_>> {
        self.entries.iter().map(|(key, stored)| EncodedEntry {
            key,
            bytes: encode(stored),
        })
    }

    /// Everything but the entries that replicas agree on, encoded.
    pub fn encoded_remainder(&self) -> Vec<u8> {
        let State {
            limits,
            now_ms,
            last_version,
            bytes,
            answers,
            tail,
            ..
        } = self;
        encode(&(limits, now_ms, last_version, bytes, answers, tail))
    }

    /// The entry of a key, if any.
    fn entry(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key).map(|stored| &stored.entry)
    }

    /// Whether no front holds the key at that time, clock skew included.
    pub fn is_free(&self, key: &Key, wall_ms: u64) -> bool {
        let expires_ms = |entry: &Entry| entry.ends_ms.saturating_add(self.limits.clock_skew_ms);
        self.entry(key)
            .is_none_or(|entry| entry.ends_ms > 0 && expires_ms(entry) <= wall_ms)
    }

    pub fn next(&self) -> Option<&[ReplicaId]> {
        self.tail.next()
    }

    /// The latest format of the applied batches.
    pub fn format(&self) -> u8 {
        self.tail.format()
    }

    /// The state that the next configuration starts from, with the same entries.
    pub fn for_next_configuration(&self) -> State {
        State {
            tail: Tail::of(self.format(), None),
            ..self.clone()
        }
    }

    /// Applies a batch and returns the outcome of each command. Empty once the members have
    /// changed: later entries of this log have no effect, and no request may be answered from them.
    pub fn apply(&mut self, batch: &Batch) -> Vec<Outcome> {
        if self.next().is_some() {
            return Vec::new();
        }
        self.now_ms = self.now_ms.max(batch.wall_ms);
        self.expire();
        let outcomes = batch
            .commands
            .iter()
            .map(|command| self.execute(command))
            .collect();
        let next = batch.tail.next().map(<[ReplicaId]>::to_vec);
        self.tail = Tail::of(self.format().max(batch.tail.format()), next);
        outcomes
    }

    fn execute(&mut self, command: &Command) -> Outcome {
        if command.operation == Operation::Read {
            return self
                .entry(&command.key)
                .cloned()
                .map_or(Outcome::Absent, Outcome::Stands);
        }
        let id = command.id();
        if let Some(previous_answer) = self.answers.get(&id) {
            return command.repeat_answer(&previous_answer.stored, self.entry(&command.key));
        }
        // The answer to a request made that long ago, or in the future, could be dropped before a
        // duplicate of the request arrives.
        let age = self.now_ms.abs_diff(command.asked_ms);
        if age >= ANSWER_RETENTION_MS || self.answers.len() >= MAX_ANSWERS {
            return Outcome::Unreachable;
        }
        let ExecutionResult { outcome, stored } = self.execute_new(command);
        let asked_ms = command.asked_ms;
        self.answers.insert(id, StoredAnswer { asked_ms, stored });
        self.index()
            .expiring_answers
            .insert(AnswerExpiry { asked_ms, id });
        outcome
    }

    /// Executes a command that changes entries and has not been answered before.
    fn execute_new(&mut self, command: &Command) -> ExecutionResult {
        let current = self.entry(&command.key).cloned();
        let is_available = current
            .as_ref()
            .is_none_or(|entry| entry.owner == command.owner);
        match &command.operation {
            Operation::Claim { ends_ms, value } => match current {
                Some(entry) if is_available && self.is_superseded(command) => {
                    ExecutionResult::stands(entry)
                }
                Some(entry) if !is_available => ExecutionResult::held(entry),
                current => self.write(command, current, *ends_ms, value),
            },
            Operation::Put {
                expects,
                ends_ms,
                value,
            } => {
                let version = current.as_ref().map_or(0, |entry| entry.version);
                if expects.is_none_or(|expected| expected == version) {
                    return self.write(command, current, *ends_ms, value);
                }
                current.map_or_else(ExecutionResult::absent, ExecutionResult::held)
            }
            Operation::Free | Operation::Read => match current {
                Some(entry) if !is_available => ExecutionResult::held(entry),
                _ => {
                    if !self.is_superseded(command) {
                        self.remove(&command.key);
                    }
                    ExecutionResult::absent()
                }
            },
        }
    }

    /// Whether the same front has set the entry by a later request, which a request that arrives
    /// late must not undo.
    fn is_superseded(&self, command: &Command) -> bool {
        self.entries
            .get(&command.key)
            .is_some_and(|stored| stored.number > command.number)
    }

    /// Writes an entry in place of the current one, if the shard's limits allow it.
    fn write(
        &mut self,
        command: &Command,
        current: Option<Entry>,
        ends_ms: u64,
        value: &[u8],
    ) -> ExecutionResult {
        let size = |value: &[u8]| command.key.name.len() + value.len() + ENTRY_OVERHEAD;
        let old_size = current.as_ref().map_or(0, |entry| size(&entry.value));
        let added_entries = usize::from(current.is_none());
        let grows = size(value) > old_size;
        if self.entries.len() + added_entries > self.limits.entries
            || grows && self.bytes - old_size + size(value) > self.limits.bytes
        {
            return ExecutionResult::full();
        }
        self.remove(&command.key);
        self.last_version += 1;
        let (key, value) = (command.key.clone(), value.to_vec());
        let entry = Entry {
            key,
            owner: command.owner,
            version: self.last_version,
            ends_ms,
            value,
        };
        self.bytes += size(&entry.value);
        if ends_ms > 0 {
            let key = entry.key.clone();
            self.index()
                .expiring_entries
                .insert(EntryExpiry { ends_ms, key });
        }
        let stored = StoredEntry {
            entry: entry.clone(),
            number: command.number,
        };
        self.entries.insert(entry.key.clone(), stored);
        ExecutionResult::stands(entry)
    }

    fn remove(&mut self, key: &Key) {
        if let Some(StoredEntry { entry, .. }) = self.entries.remove(key) {
            self.bytes -= (key.name.len() + entry.value.len() + ENTRY_OVERHEAD).min(self.bytes);
            self.index().expiring_entries.remove(&EntryExpiry {
                ends_ms: entry.ends_ms,
                key: entry.key,
            });
        }
    }

    /// Removes entries that have expired on every front's clock, and answers that are no longer
    /// retained.
    fn expire(&mut self) {
        let (now, skew) = (self.now_ms, self.limits.clock_skew_ms);
        while let Some(first) = self.index().expiring_entries.first().cloned() {
            if first.ends_ms.saturating_add(skew) > now {
                break;
            }
            self.remove(&first.key);
        }
        while let Some(first) = self.index().expiring_answers.first().copied() {
            if first.asked_ms.saturating_add(ANSWER_RETENTION_MS) > now {
                break;
            }
            self.index().expiring_answers.remove(&first);
            self.answers.remove(&first.id);
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
            expiring_entries: entries
                .values()
                .map(|stored| &stored.entry)
                .filter(|entry| entry.ends_ms > 0)
                .map(|entry| EntryExpiry {
                    ends_ms: entry.ends_ms,
                    key: entry.key.clone(),
                })
                .collect(),
            expiring_answers: answers
                .iter()
                .map(|(id, answer)| AnswerExpiry {
                    asked_ms: answer.asked_ms,
                    id: *id,
                })
                .collect(),
        })
    }
}

/// The state of a shard as of an index of the log.
pub(crate) struct StateAt {
    pub index: u64,
    pub state: State,
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;
