//! What fronts tell each other of their load: of a few reporters, the same on every front, the latest share
//! of each. Those with the least ids count, so that bytes do not grow with the fleet and all go by the same
//! figures. Merging is taking the later one: order, repeats and losses do no harm; what is not renewed fades.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::message::Signed;
use crate::{Micros, PeerId};

/// Microseconds after which a share is worth nothing.
pub const FADES: Micros = 5_000_000;
/// Makers whose shares count: at some four statements a second each, twelve tell a mix to a tenth.
pub const MAX_REPORTERS: usize = 12;
/// Workloads of a share that count.
pub const MOST_OFFERED: usize = 24;
/// Times that a front passes a share on: with four each, some 98 in 100 fronts hear it.
const MOST_SENT: u32 = 4;

/// What a front was asked of one workload lately: sixteenths of statements, counts halving in some seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offered {
    /// By a hash of its name.
    pub workload: u32,
    pub asked: u32,
    /// Of those let in: with their final answer, and of these in time.
    pub ended: u32,
    pub timely: u32,
    /// The mean of what one takes on one thread, in microseconds.
    pub work_us: u32,
}

/// A front's own word, signed by itself and passed on as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    pub reporter: PeerId,
    pub life: u64,
    pub version: u32,
    pub created_ms: u64,
    pub offered: Vec<Offered>,
}

struct Held {
    life: u64,
    version: u32,
    created: Micros,
    offered: Vec<Offered>,
    signed: Signed,
    sent: u32,
}

#[derive(Default)]
pub struct Shares {
    held: BTreeMap<PeerId, Held>,
}

impl Shares {
    /// Whether a share of this reporter would say more than what is held; to be asked before its signature is
    /// looked at.
    pub fn wants(&self, reporter: PeerId, life: u64, version: u32) -> bool {
        match self.held.get(&reporter) {
            Some(held) => (life, version) > (held.life, held.version),
            None => {
                self.held.len() < MAX_REPORTERS
                    || self.held.last_key_value().is_some_and(|(k, _)| reporter < *k)
            }
        }
    }

    /// Takes a share in; false if it is no news.
    pub fn merge(&mut self, now: Micros, share: Share, signed: Signed, age: Micros) -> bool {
        let Share { reporter, life, version, offered, .. } = share;
        if offered.len() > MOST_OFFERED || age >= FADES || !self.wants(reporter, life, version) {
            return false;
        }
        self.held.insert(reporter, Held { life, version, created: now - age, offered, signed, sent: 0 });
        if self.held.len() > MAX_REPORTERS {
            self.held.pop_last();
        }
        true
    }

    /// Lets go of what has faded, so that others are heard in its place.
    pub fn fade(&mut self, now: Micros) {
        self.held.retain(|_, held| now - held.created < FADES);
    }

    /// Of each reporter what counts now.
    pub fn all(&self, now: Micros) -> impl Iterator<Item = &[Offered]> {
        self.held.values().filter(move |held| now - held.created < FADES).map(|held| &held.offered[..])
    }

    /// Whose counts now.
    pub fn reporters(&self, now: Micros) -> impl Iterator<Item = PeerId> + '_ {
        self.held.iter().filter(move |(_, held)| now - held.created < FADES).map(|(reporter, _)| *reporter)
    }

    /// Shares to be passed on within so many bytes: those passed on least, of them the latest.
    pub fn pass_on(&mut self, now: Micros, mut room: usize) -> Vec<Signed> {
        let counts = |held: &&mut Held| now - held.created < FADES && held.sent < MOST_SENT;
        let mut all: Vec<&mut Held> = self.held.values_mut().filter(counts).collect();
        all.sort_by_key(|held| (held.sent, now - held.created));
        let mut picked = Vec::new();
        for held in all {
            let len = held.signed.report.len() + held.signed.signature.len() + 4;
            if len <= room {
                room -= len;
                held.sent += 1;
                picked.push(held.signed.clone());
            }
        }
        picked
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

#[cfg(test)]
#[path = "shares_tests.rs"]
mod tests;
