//! What a voter must not forget: its promise, what it accepted, what is decided. Kept in memory and written out
//! whole: it is a few kilobytes, as the log is folded into a snapshot every few entries.

use std::cell::RefCell;
use std::error::Error;
use std::rc::Rc;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

use crate::leases::{Change, Folded};

const MAGIC: [u8; 8] = *b"hmlease1"; // the form's name; another form is another name
const SUM: usize = 4; // bytes of the checksum behind the name

/// The state, as it is saved.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct State {
    /// The fleet that it was saved in.
    fleet: u64,
    promise: Option<Ballot>,
    accepted_round: Option<Ballot>,
    decided: usize,
    compacted: usize,
    log: Vec<Change>,
    snapshot: Option<Folded>,
    stopsign: Option<StopSign>,
}

/// Why what was saved can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// It is cut short, altered, or of another form.
    Form,
    /// It is of another fleet, or of other voters.
    Fleet,
}

impl std::fmt::Display for Spoilt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Spoilt::Form => "what was saved is cut short, altered or of another form",
            Spoilt::Fleet => "what was saved is of another fleet or of other voters",
        })
    }
}

#[derive(Debug, Default)]
struct Kept {
    state: State,
    changed: bool,
}

/// A handle: the log's library has one, its voter another.
#[derive(Clone, Debug, Default)]
pub struct Disk(Rc<RefCell<Kept>>);

impl Disk {
    pub fn new(fleet: u64) -> Disk {
        Disk::of(State { fleet, ..State::default() })
    }

    fn of(state: State) -> Disk {
        Disk(Rc::new(RefCell::new(Kept { state, changed: false })))
    }

    /// What was saved in an earlier life.
    pub fn read(fleet: u64, saved: &[u8]) -> Result<Disk, Spoilt> {
        let (head, body) = saved.split_at_checked(MAGIC.len() + SUM).ok_or(Spoilt::Form)?;
        let sum = head[MAGIC.len()..].try_into().map(u32::from_be_bytes).map_err(|_| Spoilt::Form)?;
        if head[..MAGIC.len()] != MAGIC || crc32fast::hash(body) != sum {
            return Err(Spoilt::Form);
        }
        let state: State = postcard::from_bytes(body).map_err(|_| Spoilt::Form)?;
        match state.fleet == fleet {
            true => Ok(Disk::of(state)),
            false => Err(Spoilt::Fleet),
        }
    }

    /// What has to be saved before anything that follows from it is told, if there is anything.
    pub fn unsaved(&self) -> Option<Vec<u8>> {
        let mut kept = self.0.borrow_mut();
        if !std::mem::take(&mut kept.changed) {
            return None;
        }
        let body = postcard::to_stdvec(&kept.state).unwrap_or_default();
        let sum = crc32fast::hash(&body).to_be_bytes();
        Some([&MAGIC[..], &sum, &body].concat())
    }

    fn change(&mut self, change: impl FnOnce(&mut State)) -> StorageResult<()> {
        let mut kept = self.0.borrow_mut();
        change(&mut kept.state);
        kept.changed = true;
        Ok(())
    }

    fn tells<T>(&self, of: impl FnOnce(&State) -> T) -> StorageResult<T> {
        Ok(of(&self.0.borrow().state))
    }
}

impl State {
    /// The place in the log that is kept of an entry by its number from the first.
    fn place(&self, idx: usize) -> usize {
        idx.saturating_sub(self.compacted).min(self.log.len())
    }
}

impl Storage<Change> for Disk {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Change>>) -> Result<(), Box<dyn Error>> {
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

    fn append_entry(&mut self, entry: Change) -> StorageResult<()> {
        self.change(|s| s.log.push(entry))
    }

    fn append_entries(&mut self, entries: Vec<Change>) -> StorageResult<()> {
        self.change(|s| s.log.extend(entries))
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<Change>) -> StorageResult<()> {
        self.change(|s| {
            s.log.truncate(s.place(from_idx));
            s.log.extend(entries);
        })
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        self.change(|s| s.promise = Some(promise))
    }

    fn set_decided_idx(&mut self, idx: usize) -> StorageResult<()> {
        self.change(|s| s.decided = idx)
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        self.tells(|s| s.decided)
    }

    fn set_accepted_round(&mut self, round: Ballot) -> StorageResult<()> {
        self.change(|s| s.accepted_round = Some(round))
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        self.tells(|s| s.accepted_round)
    }

    /// Only decided entries are ever asked for. Where a snapshot's difference is merged, the library (0.2.4) asks up
    /// to the index that will be decided then, before the entries are there: what is decided here is the answer, as
    /// the difference begins at it. Nothing, or entries accepted in an earlier round, would spoil the snapshot.
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Change>> {
        self.tells(|s| {
            let to = to.min(s.decided);
            if from >= s.compacted && from <= to {
                s.log[s.place(from)..s.place(to)].to_vec()
            } else {
                Vec::new()
            }
        })
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        self.tells(|s| s.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Change>> {
        self.tells(|s| s.log[s.place(from)..].to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        self.tells(|s| s.promise)
    }

    fn set_stopsign(&mut self, sign: Option<StopSign>) -> StorageResult<()> {
        self.change(|s| s.stopsign = sign)
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        self.tells(|s| s.stopsign.clone())
    }

    fn trim(&mut self, idx: usize) -> StorageResult<()> {
        self.change(|s| _ = s.log.drain(..s.place(idx)))
    }

    fn set_compacted_idx(&mut self, idx: usize) -> StorageResult<()> {
        self.change(|s| s.compacted = idx)
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        self.tells(|s| s.compacted)
    }

    fn set_snapshot(&mut self, snapshot: Option<Folded>) -> StorageResult<()> {
        self.change(|s| s.snapshot = snapshot)
    }

    fn get_snapshot(&self) -> StorageResult<Option<Folded>> {
        self.tells(|s| s.snapshot.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Task;

    #[test]
    fn what_is_saved_is_read_again_and_nothing_spoilt_is() {
        let mut disk = Disk::new(7);
        assert_eq!(disk.unsaved(), None);
        disk.append_entry(Change::Grant { task: Task::Zones, after: 0, owner: 3, number: 1 }).unwrap();
        disk.set_decided_idx(1).unwrap();
        let saved = disk.unsaved().unwrap();
        assert_eq!(disk.unsaved(), None);
        let again = Disk::read(7, &saved).unwrap();
        assert_eq!((again.get_decided_idx().unwrap(), again.get_log_len().unwrap()), (1, 1));
        assert_eq!(Disk::read(8, &saved).unwrap_err(), Spoilt::Fleet);
        for cut in 0..saved.len() {
            assert_eq!(Disk::read(7, &saved[..cut]).unwrap_err(), Spoilt::Form, "{cut}");
        }
        for at in 0..saved.len() {
            let mut spoilt = saved.clone();
            spoilt[at] ^= 0x40;
            assert_eq!(Disk::read(7, &spoilt).unwrap_err(), Spoilt::Form, "{at}");
        }
    }

    #[test]
    fn trimmed_entries_keep_their_places() {
        let mut disk = Disk::new(7);
        let keep = |n| Change::Keep { task: Task::Zones, token: n, number: 0, progress: Vec::new() };
        disk.append_entries((0..10).map(keep).collect()).unwrap();
        disk.trim(4).unwrap();
        disk.set_compacted_idx(4).unwrap();
        disk.set_decided_idx(8).unwrap();
        assert_eq!(disk.get_entries(5, 7).unwrap(), [keep(5), keep(6)]);
        assert_eq!(disk.get_suffix(9).unwrap(), [keep(9)]);
        assert!(disk.get_entries(3, 5).unwrap().is_empty() && disk.get_entries(9, 11).unwrap().is_empty());
        // Up to what is decided, not what was accepted, and not nothing.
        assert_eq!(disk.get_entries(6, 12).unwrap(), [keep(6), keep(7)]);
        disk.append_on_prefix(6, vec![keep(99)]).unwrap();
        assert_eq!(disk.get_suffix(4).unwrap(), [keep(4), keep(5), keep(99)]);
    }
}
