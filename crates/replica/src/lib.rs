//! What a member of a replicated log must not forget: its promise, what it accepted, what is decided. Kept in
//! memory for the log's library (omnipaxos) and told to whoever saves it, whole or by what has changed.

mod order;

pub use order::Order;

use std::cell::RefCell;
use std::error::Error;
use std::rc::Rc;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

/// All of it. Entries are counted from the first that ever was; those before `compacted` are in the snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound(serialize = "T: Serialize", deserialize = "T: Deserialize<'de>"))]
pub struct Held<T: Entry> {
    pub promise: Option<Ballot>,
    pub accepted_round: Option<Ballot>,
    pub decided: usize,
    pub compacted: usize,
    pub log: Vec<T>,
    pub snapshot: Option<T::Snapshot>,
    pub stopsign: Option<StopSign>,
}

impl<T: Entry> Default for Held<T> {
    fn default() -> Held<T> {
        Held {
            promise: None,
            accepted_round: None,
            decided: 0,
            compacted: 0,
            log: Vec::new(),
            snapshot: None,
            stopsign: None,
        }
    }
}

impl<T: Entry> Held<T> {
    /// The place in the log that is kept of an entry by its number from the first.
    fn place(&self, idx: usize) -> usize {
        idx.saturating_sub(self.compacted).min(self.log.len())
    }

    /// The number of the entry that comes next.
    pub fn end(&self) -> usize {
        self.compacted + self.log.len()
    }
}

/// What has changed since it was last told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Must be lasting before anything that follows from it is told. What is decided need not be: it is heard
    /// again.
    pub must: bool,
    /// Entries from this one on were appended, replaced or removed.
    pub log_from: Option<usize>,
    pub snapshot: bool,
}

#[derive(Debug, Default)]
struct Kept<T: Entry> {
    held: Held<T>,
    changed: Option<Changes>,
}

/// A handle: the log's library has one, whoever saves another.
#[derive(Debug)]
pub struct Store<T: Entry>(Rc<RefCell<Kept<T>>>);

impl<T: Entry> Clone for Store<T> {
    fn clone(&self) -> Store<T> {
        Store(self.0.clone())
    }
}

impl<T: Entry> Store<T> {
    pub fn new(held: Held<T>) -> Store<T> {
        Store(Rc::new(RefCell::new(Kept { held, changed: None })))
    }

    /// What has changed since it was last asked, if anything.
    pub fn changes(&self) -> Option<Changes> {
        self.0.borrow_mut().changed.take()
    }

    /// Looks at what is held.
    pub fn look<R>(&self, of: impl FnOnce(&Held<T>) -> R) -> R {
        of(&self.0.borrow().held)
    }

    fn change(&self, changes: Changes, change: impl FnOnce(&mut Held<T>)) -> StorageResult<()> {
        let kept = &mut *self.0.borrow_mut();
        change(&mut kept.held);
        let before = kept.changed.unwrap_or_default();
        let from = before.log_from.into_iter().chain(changes.log_from).min();
        kept.changed = Some(Changes {
            must: before.must || changes.must,
            log_from: from,
            snapshot: before.snapshot || changes.snapshot,
        });
        Ok(())
    }

    fn must(&self, change: impl FnOnce(&mut Held<T>)) -> StorageResult<()> {
        self.change(Changes { must: true, ..Changes::default() }, change)
    }

    fn log(&self, from: usize, change: impl FnOnce(&mut Held<T>)) -> StorageResult<()> {
        self.change(Changes { must: true, log_from: Some(from), snapshot: false }, change)
    }

    fn tells<R>(&self, of: impl FnOnce(&Held<T>) -> R) -> StorageResult<R> {
        Ok(self.look(of))
    }
}

impl<T: Entry> Storage<T> for Store<T> {
    fn write_atomically(&mut self, ops: Vec<StorageOp<T>>) -> Result<(), Box<dyn Error>> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(idx) => self.set_decided_idx(idx)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetCompactedIdx(idx) => self.set_compacted_idx(idx)?,
                StorageOp::Trim(idx) => self.trim(idx)?,
                StorageOp::SetStopsign(sign) => self.set_stopsign(sign)?,
                StorageOp::SetSnapshot(snapshot) => self.set_snapshot(snapshot)?,
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: T) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<T>) -> StorageResult<()> {
        let end = self.look(Held::end);
        self.log(end, |held| held.log.extend(entries))
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<T>) -> StorageResult<()> {
        self.log(from_idx, |held| {
            held.log.truncate(held.place(from_idx));
            held.log.extend(entries);
        })
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        self.must(|held| held.promise = Some(promise))
    }

    fn set_decided_idx(&mut self, idx: usize) -> StorageResult<()> {
        self.change(Changes::default(), |held| held.decided = idx)
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        self.tells(|held| held.decided)
    }

    fn set_accepted_round(&mut self, round: Ballot) -> StorageResult<()> {
        self.must(|held| held.accepted_round = Some(round))
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        self.tells(|held| held.accepted_round)
    }

    /// Only decided entries are ever asked for. Where a snapshot's difference is merged, the library (0.2.4)
    /// asks up to the index that will be decided then, before the entries are there: what is decided here is
    /// the answer, as the difference begins at it. Nothing, or entries accepted in an earlier round, would
    /// spoil the snapshot.
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<T>> {
        self.tells(|held| {
            let to = to.min(held.decided);
            if from >= held.compacted && from <= to {
                held.log[held.place(from)..held.place(to)].to_vec()
            } else {
                Vec::new()
            }
        })
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        self.tells(|held| held.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<T>> {
        self.tells(|held| held.log[held.place(from)..].to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        self.tells(|held| held.promise)
    }

    fn set_stopsign(&mut self, sign: Option<StopSign>) -> StorageResult<()> {
        self.must(|held| held.stopsign = sign)
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        self.tells(|held| held.stopsign.clone())
    }

    fn trim(&mut self, idx: usize) -> StorageResult<()> {
        self.change(Changes::default(), |held| _ = held.log.drain(..held.place(idx)))
    }

    fn set_compacted_idx(&mut self, idx: usize) -> StorageResult<()> {
        self.change(Changes::default(), |held| held.compacted = idx)
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        self.tells(|held| held.compacted)
    }

    fn set_snapshot(&mut self, snapshot: Option<T::Snapshot>) -> StorageResult<()> {
        self.change(Changes { must: true, log_from: None, snapshot: true }, |held| held.snapshot = snapshot)
    }

    fn get_snapshot(&self) -> StorageResult<Option<T::Snapshot>> {
        self.tells(|held| held.snapshot.clone())
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
