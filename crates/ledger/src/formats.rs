//! Format versions, so that a fleet can run two builds while a release goes through it.
//!
//! Packets: a front writes to another in the latest format that both read, and in the first one until it knows. A message
//! that only later formats have is held back until its receiver has shown that it reads it.
//!
//! What is saved or proposed (entries of the log, states, records) names its format from the third on; what names none is
//! of the first. A later format is used only once all members read it, and never a later one than the build before this
//! one reads: so a release can go back one build and lose nothing. A build that finds a later format than it reads
//! reports that and changes nothing.

use std::collections::BTreeMap;

use crate::messages::LedgerMessage;
use crate::{FrontId, Micros};

/// The format that this build writes where it can: 1, the first; 2, with messages for leader transfer and for comparing replicas;
/// 3, with entries, states and records that name their format, and messages of fronts that shut down and of free keys.
pub const FORMAT: u8 = 3;
/// The latest format in which this build saves or proposes anything: one that the build before it reads. The next build's
/// is 3.
pub const SAVED_FORMAT: u8 = 1;
/// The first format with messages for leader transfer and for comparing replicas.
pub(crate) const TRANSFER_FORMAT: u8 = 2;
/// The first format whose entries, states and records name it.
pub(crate) const FIRST_EXPLICIT_FORMAT: u8 = 3;
/// The first format that tells fronts that a key is free.
pub(crate) const KEY_QUEUE_FORMAT: u8 = 3;
/// The earliest format that this build reads.
pub const OLDEST_FORMAT: u8 = 1;

/// No shard: a front that offers to hold it tells its format by that. The first build ignores it.
const NO_SHARD: u16 = u16::MAX;
const AGAIN: Micros = 10_000_000; // microseconds until it says so again to one that has not shown its own

/// The formats that other fronts read.
#[derive(Default)]
pub(crate) struct PeerFormats {
    /// With the incarnation that showed it: a front that comes back may be of an earlier build.
    known: BTreeMap<FrontId, (u64, u8)>,
    told: BTreeMap<FrontId, Micros>,
}

impl PeerFormats {
    /// The latest format that both read, as far as is known.
    pub fn of(&self, own: u8, front: FrontId) -> u8 {
        self.known
            .get(&front)
            .map_or(OLDEST_FORMAT, |(_, format)| own.min(*format))
    }

    /// The latest format that all of them read, in which entries and records may be saved.
    pub fn of_all(&self, own: u8, fronts: impl Iterator<Item = FrontId>) -> u8 {
        fronts.map(|front| self.of(own, front)).min().unwrap_or(own)
    }

    /// A packet has come in a format, of an incarnation of its front.
    pub fn heard(&mut self, front: FrontId, incarnation: u64, format: u8) {
        let known = self.known.entry(front).or_insert((incarnation, format));
        if incarnation > known.0 {
            self.told.remove(&front);
        }
        if incarnation > known.0 || incarnation == known.0 && format > known.1 {
            *known = (incarnation, format);
        }
    }

    /// What is to be sent first to a front that may not know this one's format.
    pub fn introduction(&mut self, now: Micros, own: u8, front: FrontId) -> Option<LedgerMessage> {
        let told = self.told.get(&front).copied().unwrap_or(Micros::MIN);
        if own == OLDEST_FORMAT || self.of(own, front) == own || now.saturating_sub(told) < AGAIN {
            return None;
        }
        self.told.insert(front, now);
        Some(LedgerMessage::Available {
            shard: NO_SHARD,
            config: own.into(),
            agreed: Vec::new(),
        })
    }
}

impl LedgerMessage {
    /// The earliest format that has it.
    pub fn format(&self) -> u8 {
        match self {
            LedgerMessage::ShuttingDown => FIRST_EXPLICIT_FORMAT,
            LedgerMessage::KeyFree { .. } => KEY_QUEUE_FORMAT,
            LedgerMessage::TransferLeadership { .. }
            | LedgerMessage::Hashes { .. }
            | LedgerMessage::RepairReplica { .. } => TRANSFER_FORMAT,
            _ => OLDEST_FORMAT,
        }
    }

    /// The format that its sender says it reads.
    pub fn introduced_format(&self) -> Option<u8> {
        match self {
            LedgerMessage::Available {
                shard: NO_SHARD,
                config,
                ..
            } => u8::try_from(*config).ok(),
            _ => None,
        }
    }
}

#[cfg(test)]
#[path = "formats_tests.rs"]
mod tests;
