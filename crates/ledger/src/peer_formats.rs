//! The formats that other fronts read, how they learn this front's, and which format each message
//! needs.

use std::collections::BTreeMap;

use crate::formats::{FIRST_EXPLICIT_FORMAT, KEY_QUEUE_FORMAT, OLDEST_FORMAT, TRANSFER_FORMAT};
use crate::messages::LedgerMessage;
use crate::{FrontId, Micros};

/// Not a shard: an `Available` message for this number carries the sender's format instead. Builds
/// of the first format ignore it.
const NO_SHARD: u16 = u16::MAX;
/// Microseconds until this front's format is sent again to a front that has not shown its own.
pub(crate) const INTRODUCTION_INTERVAL: Micros = 10_000_000;

/// The latest format that a front has shown to read, and in which incarnation. A front that comes
/// back may run an earlier build.
#[derive(Clone, Copy)]
struct ShownFormat {
    incarnation: u64,
    format: u8,
}

/// The formats that other fronts read.
#[derive(Default)]
pub(crate) struct PeerFormats {
    shown: BTreeMap<FrontId, ShownFormat>,
    /// When each front was last sent this front's format.
    introduced_at: BTreeMap<FrontId, Micros>,
}

impl PeerFormats {
    /// The latest format that both fronts are known to read.
    pub fn common_format(&self, local_format: u8, front: FrontId) -> u8 {
        self.shown
            .get(&front)
            .map_or(OLDEST_FORMAT, |shown| local_format.min(shown.format))
    }

    /// The latest format that all of the fronts are known to read, in which entries and records may
    /// be saved.
    pub fn common_format_of_all(
        &self,
        local_format: u8,
        fronts: impl Iterator<Item = FrontId>,
    ) -> u8 {
        fronts
            .map(|front| self.common_format(local_format, front))
            .min()
            .unwrap_or(local_format)
    }

    /// Records the format of a packet from an incarnation of a front.
    pub fn record_format(&mut self, front: FrontId, incarnation: u64, format: u8) {
        let shown = ShownFormat {
            incarnation,
            format,
        };
        let latest = self.shown.entry(front).or_insert(shown);
        let is_new_incarnation = incarnation > latest.incarnation;
        let is_later_format = incarnation == latest.incarnation && format > latest.format;
        if is_new_incarnation {
            self.introduced_at.remove(&front);
        }
        if is_new_incarnation || is_later_format {
            *latest = shown;
        }
    }

    /// The message to send first to a front that may not know this front's format, if it is due.
    pub fn introduction(
        &mut self,
        now: Micros,
        local_format: u8,
        front: FrontId,
    ) -> Option<LedgerMessage> {
        let introduced_at = self
            .introduced_at
            .get(&front)
            .copied()
            .unwrap_or(Micros::MIN);
        if local_format == OLDEST_FORMAT
            || self.common_format(local_format, front) == local_format
            || now.saturating_sub(introduced_at) < INTRODUCTION_INTERVAL
        {
            return None;
        }
        self.introduced_at.insert(front, now);
        Some(LedgerMessage::Available {
            shard: NO_SHARD,
            config: local_format.into(),
            agreed: Vec::new(),
        })
    }
}

impl LedgerMessage {
    /// The earliest format that has this message.
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

    /// The format that the sender reads, if the message is an introduction.
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
