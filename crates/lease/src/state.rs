//! A voter's durable state: its promised ballot, the entries accepted and how far they are decided. Held in
//! memory and saved whole: it is a few kilobytes, as the log is compacted into a snapshot every few entries.

use hallmux_replica::{LogState, LogStore};
use serde::{Deserialize, Serialize};

use crate::leases::Change;

/// Names the format; another format has another name.
const MAGIC: [u8; 8] = *b"hmlease2";
/// The format of builds that did not count incarnations.
const MAGIC_V1: [u8; 8] = *b"hmlease1";
/// CRC-32 of the body, big-endian, behind the name of the format.
const CHECKSUM_BYTES: usize = 4;

/// The state, as it is saved.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct SavedState {
    /// The fingerprint of the fleet that it was saved in.
    fleet: u64,
    /// The replicated log.
    log: LogState<Change>,
    /// How often a voter has started with it.
    incarnation: u64,
}

impl SavedState {
    /// None where the bytes are cut short, altered or of an unknown format.
    fn read(saved: &[u8]) -> Option<SavedState> {
        let (head, body) = saved.split_at_checked(MAGIC.len() + CHECKSUM_BYTES)?;
        let (magic, checksum) = head.split_at(MAGIC.len());
        let checksum = u32::from_be_bytes(checksum.try_into().ok()?);
        if crc32fast::hash(body) != checksum {
            return None;
        }
        if *magic == MAGIC {
            return postcard::from_bytes(body).ok();
        }
        if *magic == MAGIC_V1 {
            // No incarnation was counted then: a 0 behind it says so.
            return postcard::from_bytes(&[body, &[0]].concat()).ok();
        }
        None
    }

    fn bytes(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let checksum = crc32fast::hash(&body).to_be_bytes();
        [&MAGIC[..], &checksum, &body].concat()
    }
}

/// Why a saved state can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// It is cut short, altered or of an unknown format.
    #[error("what was saved is cut short, altered or of another form; bring the directory back from before, or name another front as voter")]
    Corrupt,
    /// It was saved in another fleet.
    #[error("what was saved is of another fleet or of other voters; give the front the directory of its own fleet")]
    OtherFleet,
    /// This front is no voter of the fleet, or the list of voters can't be used.
    #[error(
        "this front is not among the voters, or there are too few of them; name it, and three or five in all"
    )]
    Voters,
}

/// A voter's state, with what is not saved of it yet.
#[derive(Clone, Debug)]
pub struct DurableState {
    fleet: u64,
    /// Counts the voter's starts with this state.
    pub incarnation: u64,
    /// This incarnation is not saved yet.
    has_unsaved_start: bool,
    /// The replicated log's storage; the log library holds another handle.
    pub store: LogStore<Change>,
}

impl DurableState {
    /// An empty state, for a voter that never ran in this fleet.
    pub fn new(fleet: u64) -> DurableState {
        DurableState {
            fleet,
            incarnation: 0,
            has_unsaved_start: false,
            store: LogStore::new(LogState::default()),
        }
    }

    /// Decodes the state that an earlier run of the voter saved.
    pub fn read(fleet: u64, saved: &[u8]) -> Result<DurableState, StateError> {
        let state = SavedState::read(saved).ok_or(StateError::Corrupt)?;
        if state.fleet != fleet {
            return Err(StateError::OtherFleet);
        }
        Ok(DurableState {
            fleet,
            incarnation: state.incarnation,
            has_unsaved_start: false,
            store: LogStore::new(state.log),
        })
    }

    /// A voter starts with this state: its incarnation is saved before any message of it leaves.
    pub fn start(&mut self) {
        self.incarnation += 1;
        self.has_unsaved_start = true;
    }

    /// Takes the bytes that have to be durable before any message that follows from them leaves; None if
    /// nothing changed.
    pub fn take_unsaved(&mut self) -> Option<Vec<u8>> {
        let changed = self.store.take_changes().is_some();
        if !std::mem::take(&mut self.has_unsaved_start) && !changed {
            return None;
        }
        let state = SavedState {
            fleet: self.fleet,
            log: self.store.read(LogState::clone),
            incarnation: self.incarnation,
        };
        Some(state.bytes())
    }
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;
