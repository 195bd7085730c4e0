//! What the log of a shard tells: every copy that applies the same batches knows the same. Time goes by what the
//! batches say, which is their proposer's Unix clock, and never runs back.

use std::collections::{BTreeMap, BTreeSet};

use omnipaxos::storage::{Entry as Logged, Snapshot};
use serde::{Deserialize, Serialize};

use crate::tail::Tail;
use crate::{Act, DiskId, Entry, FrontId, Key, Outcome, Owner, Setup, REMEMBERED_MS};

const OVERHEAD: usize = 64; // bytes that an entry counts beside its name and value
const MOST_REMEMBERED: usize = 8_192; // answers: some 30 bytes each in a snapshot

/// The identity of a replica: its front and the disk that holds it. A front that comes back with another disk has
/// forgotten what it promised, so it is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct ReplicaId {
    pub front: FrontId,
    pub disk: DiskId,
}

/// An ask as it goes into the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Command {
    pub owner: Owner,
    pub number: u64,
    /// When it was first asked, on the asker's Unix clock.
    pub asked_ms: u64,
    pub key: Key,
    pub act: Act,
}

/// One entry of the log: all that was asked while the round before was under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub wall_ms: u64,
    pub commands: Vec<Command>,
    /// Who keeps the shard from here on: nothing that follows in this log counts. Behind the batch's form, if it says one.
    pub tail: Tail,
}

impl Batch {
    /// One that names who keeps the shard from here on.
    pub fn change(form: u8, wall_ms: u64, next: Vec<ReplicaId>) -> Batch {
        Batch { wall_ms, commands: Vec::new(), tail: Tail::of(form, Some(next)) }
    }
}

/// What was answered, without what the ask itself says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Told {
    Stands { version: u64 },
    Held { owner: Owner, version: u64, ends_ms: u64 },
    Absent,
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Remembered {
    asked_ms: u64,
    told: Told,
}

/// What a shard may hold, and how long it keeps what has ended: part of the state, so that all copies go by the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Limits {
    pub entries: usize,
    pub bytes: usize,
    pub apart_ms: u64,
}

impl Limits {
    pub fn of(setup: &Setup) -> Limits {
        Limits { entries: setup.most_entries, bytes: setup.most_bytes, apart_ms: setup.apart_ms }
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
    answers: BTreeMap<(Owner, u64), Remembered>,
    /// Who keeps the shard after this log, once that is decided, behind the latest form of its batches.
    tail: Tail,
    /// What ends and is forgotten when; made anew from the rest where it is not there.
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
        State { limits, ..State::default() }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Each entry, and all else that copies agree on, as bytes.
    pub fn parts(&self) -> (impl Iterator<Item = (&Key, Vec<u8>)>, Vec<u8>) {
        let entries = self.entries.iter().map(|(key, entry)| (key, crate::messages::encode(entry)));
        let State { limits, now_ms, last, bytes, answers, tail, .. } = self;
        (entries, crate::messages::encode(&(limits, now_ms, last, bytes, answers, tail)))
    }

    fn of(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key).map(|(entry, _)| entry)
    }

    /// Whether nobody has it any more, at that time.
    pub fn is_free(&self, key: &Key, wall_ms: u64) -> bool {
        let ends = |entry: &Entry| entry.ends_ms.saturating_add(self.limits.apart_ms);
        self.of(key).is_none_or(|entry| entry.ends_ms > 0 && ends(entry) <= wall_ms)
    }

    pub fn next(&self) -> Option<&[ReplicaId]> {
        self.tail.next()
    }

    /// The latest form of the batches that it came from.
    pub fn form(&self) -> u8 {
        self.tail.form()
    }

    /// The same entries under the log of the next members.
    pub fn handed_over(&self) -> State {
        State { tail: Tail::of(self.form(), None), ..self.clone() }
    }

    /// Applies a batch; what each of its commands comes to. Empty where the shard has been handed over: nobody may
    /// be told anything of what came after.
    pub fn apply(&mut self, batch: &Batch) -> Vec<Outcome> {
        if self.next().is_some() {
            return Vec::new();
        }
        self.now_ms = self.now_ms.max(batch.wall_ms);
        self.end();
        let outcomes = batch.commands.iter().map(|command| self.command(command)).collect();
        let next = batch.tail.next().map(<[ReplicaId]>::to_vec);
        self.tail = Tail::of(self.form().max(batch.tail.form()), next);
        outcomes
    }

    fn command(&mut self, command: &Command) -> Outcome {
        if command.act == Act::Read {
            return self.of(&command.key).cloned().map_or(Outcome::Absent, Outcome::Stands);
        }
        let id = (command.owner, command.number);
        if let Some(before) = self.answers.get(&id) {
            return command.again(&before.told, self.of(&command.key));
        }
        // An answer to one asked as long ago, or in the future, could be forgotten before a copy of it comes.
        let apart = self.now_ms.abs_diff(command.asked_ms);
        if apart >= REMEMBERED_MS || self.answers.len() >= MOST_REMEMBERED {
            return Outcome::Unreachable;
        }
        let (outcome, told) = self.act(command);
        self.answers.insert(id, Remembered { asked_ms: command.asked_ms, told });
        self.index().forgotten.insert((command.asked_ms, command.owner, command.number));
        outcome
    }

    fn act(&mut self, command: &Command) -> (Outcome, Told) {
        let current = self.of(&command.key).cloned();
        let mine = current.as_ref().is_none_or(|entry| entry.owner == command.owner);
        // An ask that comes late undoes nothing that the same front asked for after it.
        let late = mine && self.entries.get(&command.key).is_some_and(|(_, number)| *number > command.number);
        match (&command.act, &current) {
            (Act::Claim { .. }, Some(entry)) if late => {
                return (Outcome::Stands(entry.clone()), Told::Stands { version: entry.version });
            }
            (Act::Free, _) if late => return (Outcome::Absent, Told::Absent),
            _ => {}
        }
        let (ends_ms, value, fits) = match &command.act {
            Act::Claim { ends_ms, value } => (*ends_ms, value, mine),
            Act::Put { expects, ends_ms, value } => {
                let version = current.as_ref().map_or(0, |entry| entry.version);
                (*ends_ms, value, expects.is_none_or(|expected| expected == version))
            }
            Act::Free | Act::Read if mine => {
                self.remove(&command.key);
                return (Outcome::Absent, Told::Absent);
            }
            Act::Free | Act::Read => (0, &Vec::new(), false),
        };
        match current {
            Some(entry) if !fits => {
                let told = Told::Held { owner: entry.owner, version: entry.version, ends_ms: entry.ends_ms };
                (Outcome::Held(entry), told)
            }
            None if !fits => (Outcome::Absent, Told::Absent),
            current => {
                let size = |value: &[u8]| command.key.name.len() + value.len() + OVERHEAD;
                let before = current.as_ref().map_or(0, |entry| size(&entry.value));
                let more = usize::from(current.is_none());
                let grows = size(value) > before;
                if self.entries.len() + more > self.limits.entries
                    || grows && self.bytes - before + size(value) > self.limits.bytes
                {
                    return (Outcome::Full, Told::Full);
                }
                self.remove(&command.key);
                self.last += 1;
                let entry = Entry {
                    key: command.key.clone(),
                    owner: command.owner,
                    version: self.last,
                    ends_ms,
                    value: value.clone(),
                };
                self.bytes += size(value);
                if ends_ms > 0 {
                    self.index().ends.insert((ends_ms, entry.key.clone()));
                }
                self.entries.insert(entry.key.clone(), (entry.clone(), command.number));
                (Outcome::Stands(entry), Told::Stands { version: self.last })
            }
        }
    }

    fn remove(&mut self, key: &Key) {
        if let Some((entry, _)) = self.entries.remove(key) {
            self.bytes -= (key.name.len() + entry.value.len() + OVERHEAD).min(self.bytes);
            self.index().ends.remove(&(entry.ends_ms, entry.key));
        }
    }

    /// Removes what has ended on every front's clock, and forgets answers that nobody can ask for any more.
    fn end(&mut self) {
        let (now, apart) = (self.now_ms, self.limits.apart_ms);
        while let Some((_, key)) =
            self.index().ends.first().filter(|(ends, _)| ends.saturating_add(apart) <= now).cloned()
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
        let State { index, entries, answers, .. } = self;
        index.get_or_insert_with(|| Index {
            ends: entries
                .values()
                .filter(|(e, _)| e.ends_ms > 0)
                .map(|(e, _)| (e.ends_ms, e.key.clone()))
                .collect(),
            forgotten: answers.iter().map(|((owner, n), told)| (told.asked_ms, *owner, *n)).collect(),
        })
    }
}

impl Command {
    /// What it was answered before. A claim that was granted and is gone since is not told as if it stood.
    fn again(&self, told: &Told, current: Option<&Entry>) -> Outcome {
        let entry =
            |owner, version, ends_ms, value| Entry { key: self.key.clone(), owner, version, ends_ms, value };
        match (told, &self.act) {
            (Told::Stands { .. }, Act::Claim { .. }) => match current {
                Some(entry) if entry.owner == self.owner => Outcome::Stands(entry.clone()),
                Some(entry) => Outcome::Held(entry.clone()),
                None => Outcome::Absent,
            },
            (Told::Stands { version }, Act::Put { ends_ms, value, .. }) => {
                Outcome::Stands(entry(self.owner, *version, *ends_ms, value.clone()))
            }
            (Told::Held { owner, version, ends_ms }, _) => {
                Outcome::Held(entry(*owner, *version, *ends_ms, Vec::new()))
            }
            (Told::Full, _) => Outcome::Full,
            (Told::Absent | Told::Stands { .. }, _) => Outcome::Absent,
        }
    }
}

/// A snapshot of the log: the state up to some entry, and the batches since that have yet to be applied to it. The
/// log's library makes one of some entries alone, and then merges it into what was there before.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Folded {
    base: State,
    since: Vec<Batch>,
}

impl Folded {
    pub fn of(base: State) -> Folded {
        Folded { base, since: Vec::new() }
    }

    /// The latest form of what it holds.
    pub fn form(&self) -> u8 {
        self.since.iter().map(|batch| batch.tail.form()).fold(self.base.form(), u8::max)
    }

    pub fn state(&self) -> State {
        let mut state = self.base.clone();
        self.since.iter().for_each(|batch| _ = state.apply(batch));
        state
    }
}

impl Snapshot<Batch> for Folded {
    fn create(entries: &[Batch]) -> Folded {
        Folded { base: State::default(), since: entries.to_vec() }
    }

    fn merge(&mut self, later: Folded) {
        let since = std::mem::take(&mut self.since);
        since.iter().chain(&later.since).for_each(|batch| _ = self.base.apply(batch));
    }

    fn use_snapshots() -> bool {
        true
    }
}

impl Logged for Batch {
    type Snapshot = Folded;
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;
