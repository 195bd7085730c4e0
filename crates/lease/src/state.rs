//! A voter's durable state: its promised ballot, the accepted entries and the decided index. The
//! state is held in memory and saved as one blob of a few kilobytes, because the log is compacted
//! into a snapshot every few entries.

use hallmux_replica::{LogState, LogStore};
use serde::{Deserialize, Serialize};

use crate::leases::Change;

/// Identifies the current format.
const MAGIC: [u8; 8] = *b"hmlease2";
/// Identifies the first format, which had no incarnation.
const MAGIC_V1: [u8; 8] = *b"hmlease1";
/// The big-endian CRC-32 of the body, which follows the magic bytes.
const CHECKSUM_BYTES: usize = 4;

/// The body of a saved state. Fields are encoded by position.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct SavedState {
    /// The fingerprint of the fleet that the voter belongs to.
    fleet: u64,
    /// The replicated log.
    log: LogState<Change>,
    /// The number of times that the voter has started with this state.
    incarnation: u64,
}

impl SavedState {
    /// Decodes a saved state; None if the bytes are truncated, altered or of an unknown format.
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
            // The first format lacks the incarnation; the appended byte decodes as 0.
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

/// Why a voter can't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// The saved state is truncated, altered or of an unknown format.
    #[error("the voter's saved state is truncated, altered or of an unknown format; restore the directory as it was last saved, or configure another front as voter")]
    Corrupt,
    /// The saved state belongs to another fleet or another set of voters.
    #[error("the voter's saved state belongs to another fleet or another set of voters; configure the directory that belongs to this fleet")]
    OtherFleet,
    /// This front is not a voter of the fleet, or the list of voters is not usable.
    #[error(
        "this front is not one of the voters, or there are too few voters; list this front among three or five voters"
    )]
    Voters,
}

/// A voter's durable state, with a record of whether it has unsaved changes.
#[derive(Clone, Debug)]
pub struct DurableState {
    fleet: u64,
    /// The number of times that the voter has started with this state.
    pub incarnation: u64,
    /// Whether the incarnation changed since the last save.
    has_unsaved_start: bool,
    /// The storage of the replicated log; the log library holds another handle to it.
    pub store: LogStore<Change>,
}

impl DurableState {
    /// An empty state, for a voter that starts for the first time in this fleet.
    pub fn new(fleet: u64) -> DurableState {
        DurableState {
            fleet,
            incarnation: 0,
            has_unsaved_start: false,
            store: LogStore::new(LogState::default()),
        }
    }

    /// Decodes the state that an earlier incarnation of the voter saved for this fleet.
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

    /// Begins a new incarnation, which must be saved before any of its messages is sent.
    pub fn start(&mut self) {
        self.incarnation += 1;
        self.has_unsaved_start = true;
    }

    /// The encoded state if it changed since the last call, else None. The bytes must be durable
    /// before any message that depends on them is sent.
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
