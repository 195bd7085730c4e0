//! Forms of packets: a fleet is of two builds while a release goes through it. A front writes to another in the latest
//! form that both read, and in the first until it knows: what only later ones know waits until its reader has shown
//! that it can read it.
//!
//! What is kept (entries of the log, states, records) says its form from the third on; what says none is of the first.
//! It is kept in a later form only once all members read that, and never in a later one than the build before this
//! one reads: so a release can go back a build and lose nothing. A build that finds a later form than it reads says so
//! and changes nothing.

use std::collections::BTreeMap;

use crate::messages::LedgerMessage;
use crate::{FrontId, Micros};

/// The form that this build writes where it can: 1, the first; 2, with messages for leader transfer and for comparing replicas;
/// 3, with entries, states and records that name their form, and messages of fronts that shut down and of free keys.
pub const FORM: u8 = 3;
/// The latest form in which this build keeps anything: what the build before it reads. The next one's is 3.
pub const KEEPS: u8 = 1;
/// The form from which on what is kept says its own.
pub(crate) const FORMED: u8 = 3;
/// The form from which on fronts read that a key is free.
pub(crate) const TURNS: u8 = 3;
/// The earliest form that this build reads.
pub const OLDEST: u8 = 1;

/// No shard: what a front says of it is its form. The first build ignores it.
const NO_SHARD: u16 = u16::MAX;
const AGAIN: Micros = 10_000_000; // microseconds until it says so again to one that has not shown its own

/// What others read.
#[derive(Default)]
pub(crate) struct Forms {
    /// By their lives: a front that comes back may be of an earlier build.
    known: BTreeMap<FrontId, (u64, u8)>,
    told: BTreeMap<FrontId, Micros>,
}

impl Forms {
    /// What both read, as far as it is known.
    pub fn of(&self, own: u8, front: FrontId) -> u8 {
        self.known.get(&front).map_or(OLDEST, |(_, form)| own.min(*form))
    }

    /// What all of them read, in which entries and records may be kept.
    pub fn of_all(&self, own: u8, fronts: impl Iterator<Item = FrontId>) -> u8 {
        fronts.map(|front| self.of(own, front)).min().unwrap_or(own)
    }

    /// A packet has come in a form, in a life of its front.
    pub fn heard(&mut self, front: FrontId, incarnation: u64, form: u8) {
        let known = self.known.entry(front).or_insert((incarnation, form));
        if incarnation > known.0 {
            self.told.remove(&front);
        }
        if incarnation > known.0 || incarnation == known.0 && form > known.1 {
            *known = (incarnation, form);
        }
    }

    /// What is to be said first to a front that may not know this one's form.
    pub fn introduces(&mut self, now: Micros, own: u8, front: FrontId) -> Option<LedgerMessage> {
        let told = self.told.get(&front).copied().unwrap_or(Micros::MIN);
        if own == OLDEST || self.of(own, front) == own || now.saturating_sub(told) < AGAIN {
            return None;
        }
        self.told.insert(front, now);
        Some(LedgerMessage::Available { shard: NO_SHARD, config: own.into(), agreed: Vec::new() })
    }
}

impl LedgerMessage {
    /// The earliest form that has it.
    pub fn form(&self) -> u8 {
        match self {
            LedgerMessage::ShuttingDown => FORMED,
            LedgerMessage::KeyFree { .. } => TURNS,
            LedgerMessage::TransferLeadership { .. }
            | LedgerMessage::Hashes { .. }
            | LedgerMessage::RepairReplica { .. } => 2,
            _ => OLDEST,
        }
    }

    /// The form that its sender says it reads.
    pub fn introduced(&self) -> Option<u8> {
        match self {
            LedgerMessage::Available { shard: NO_SHARD, config, .. } => u8::try_from(*config).ok(),
            _ => None,
        }
    }
}

#[cfg(test)]
#[path = "forms_tests.rs"]
mod tests;
