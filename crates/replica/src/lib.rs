//! The durable state of one member of a replicated log: its promised ballot, the accepted entries and the
//! number of decided entries.
//!
//! The state is held in memory as the storage of the log library (omnipaxos). The code that persists it reads
//! either the full state or only what has changed.

#![warn(missing_docs)]

mod order;

pub use order::MessageOrder;

use std::cell::RefCell;
use std::error::Error;
use std::rc::Rc;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

/// The state of one member. Entries are numbered from the start of the log; entries numbered below
/// `compacted` exist only in the snapshot. Saved states encode fields by position: append only.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound(serialize = "T: Serialize", deserialize = "T: Deserialize<'de>"))]
pub struct LogState<T: Entry> {
    /// The highest ballot promised.
    pub promise: Option<Ballot>,
    /// The ballot of the latest accepted entries.
    pub accepted_round: Option<Ballot>,
    /// The number of decided entries.
    pub decided: usize,
    /// The number of entries that the snapshot replaces.
    pub compacted: usize,
    /// The accepted entries from number `compacted` on.
    pub log: Vec<T>,
    /// The snapshot of the entries numbered below `compacted`.
    pub snapshot: Option<T::Snapshot>,
    /// The stop sign that ends the log for a configuration change, if one was accepted.
    pub stopsign: Option<StopSign>,
}

impl<T: Entry> Default for LogState<T> {
    fn default() -> LogState<T> {
        LogState {
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

impl<T: Entry> LogState<T> {
    /// Returns the index in `log` of the entry numbered `idx`, clamped to the bounds of `log`.
    fn log_offset(&self, idx: usize) -> usize {
        idx.saturating_sub(self.compacted).min(self.log.len())
    }

    /// Returns the number that the next appended entry will have.
    pub fn end(&self) -> usize {
        self.compacted + self.log.len()
    }
}

/// What has changed since the last [`LogStore::take_changes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Whether the state must be durable before any message that depends on it is sent. A changed decided
    /// index alone needs no save, because the leader sends that index again.
    pub must_persist: bool,
    /// The number of the first entry that was appended, replaced or removed, if any was.
    pub log_from: Option<usize>,
    /// Whether the snapshot was replaced.
    pub snapshot: bool,
}

#[derive(Debug, Default)]
struct Shared<T: Entry> {
    state: LogState<T>,
    changes: Option<Changes>,
}

/// A handle to the state of one member. Clones share the state: the log library owns one clone, the code that
/// persists the state another.
#[derive(Debug)]
pub struct LogStore<T: Entry>(Rc<RefCell<Shared<T>>>);

impl<T: Entry> Clone for LogStore<T> {
    fn clone(&self) -> LogStore<T> {
        LogStore(self.0.clone())
    }
}

impl<T: Entry> LogStore<T> {
    /// Creates a store that holds `state`, with no changes recorded.
    pub fn new(state: LogState<T>) -> LogStore<T> {
        LogStore(Rc::new(RefCell::new(Shared {
            state,
            changes: None,
        })))
    }

    /// Returns what has changed since the last call, or None if nothing has.
    pub fn take_changes(&self) -> Option<Changes> {
        self.0.borrow_mut().changes.take()
    }

    /// Passes the state to `reader` and returns its result.
    pub fn read<R>(&self, reader: impl FnOnce(&LogState<T>) -> R) -> R {
        reader(&self.0.borrow().state)
    }

    fn change(&self, changes: Changes, change: impl FnOnce(&mut LogState<T>)) -> StorageResult<()> {
        let shared = &mut *self.0.borrow_mut();
        change(&mut shared.state);
        let before = shared.changes.unwrap_or_default();
        let from = before.log_from.into_iter().chain(changes.log_from).min();
        shared.changes = Some(Changes {
            must_persist: before.must_persist || changes.must_persist,
            log_from: from,
            snapshot: before.snapshot || changes.snapshot,
        });
        Ok(())
    }

    fn change_durable(&self, change: impl FnOnce(&mut LogState<T>)) -> StorageResult<()> {
        self.change(
            Changes {
                must_persist: true,
                ..Changes::default()
            },
            change,
        )
    }

    fn change_log(&self, from: usize, change: impl FnOnce(&mut LogState<T>)) -> StorageResult<()> {
        self.change(
            Changes {
                must_persist: true,
                log_from: Some(from),
                snapshot: false,
            },
            change,
        )
    }

    fn read_ok<R>(&self, reader: impl FnOnce(&LogState<T>) -> R) -> StorageResult<R> {
        Ok(self.read(reader))
    }
}

impl<T: Entry> Storage<T> for LogStore<T> {
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
        let end = self.read(LogState::end);
        self.change_log(end, |state| state.log.extend(entries))
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<T>) -> StorageResult<()> {
        self.change_log(from_idx, |state| {
            state.log.truncate(state.log_offset(from_idx));
            state.log.extend(entries);
        })
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        self.change_durable(|state| state.promise = Some(promise))
    }

    fn set_decided_idx(&mut self, idx: usize) -> StorageResult<()> {
        self.change(Changes::default(), |state| state.decided = idx)
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        self.read_ok(|state| state.decided)
    }

    fn set_accepted_round(&mut self, round: Ballot) -> StorageResult<()> {
        self.change_durable(|state| state.accepted_round = Some(round))
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        self.read_ok(|state| state.accepted_round)
    }

    /// Returns decided entries only, because the library never needs others. Before it merges a delta
    /// snapshot, omnipaxos 0.2.4 reads up to the index that the merge will decide, although those entries are
    /// not in the log yet. The delta starts at the local decided index, so the range is cut there: an empty
    /// result, or entries accepted in an earlier round, would corrupt the snapshot.
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<T>> {
        self.read_ok(|state| {
            let to = to.min(state.decided);
            if from >= state.compacted && from <= to {
                state.log[state.log_offset(from)..state.log_offset(to)].to_vec()
            } else {
                Vec::new()
            }
        })
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        self.read_ok(|state| state.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<T>> {
        self.read_ok(|state| state.log[state.log_offset(from)..].to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        self.read_ok(|state| state.promise)
    }

    fn set_stopsign(&mut self, sign: Option<StopSign>) -> StorageResult<()> {
        self.change_durable(|state| state.stopsign = sign)
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        self.read_ok(|state| state.stopsign.clone())
    }

    fn trim(&mut self, idx: usize) -> StorageResult<()> {
        self.change(Changes::default(), |state| {
            _ = state.log.drain(..state.log_offset(idx))
        })
    }

    fn set_compacted_idx(&mut self, idx: usize) -> StorageResult<()> {
        self.change(Changes::default(), |state| state.compacted = idx)
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        self.read_ok(|state| state.compacted)
    }

    fn set_snapshot(&mut self, snapshot: Option<T::Snapshot>) -> StorageResult<()> {
        self.change(
            Changes {
                must_persist: true,
                log_from: None,
                snapshot: true,
            },
            |state| state.snapshot = snapshot,
        )
    }

    fn get_snapshot(&self) -> StorageResult<Option<T::Snapshot>> {
        self.read_ok(|state| state.snapshot.clone())
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
