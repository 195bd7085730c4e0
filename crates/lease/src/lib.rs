//! One owner at a time for work on behalf of the fleet. Voters keep a replicated log of leases (`voter`); whoever
//! owns one acts only while its own monotonic clock says that it still does (`holder`); whoever is acted upon lets
//! nothing pass under a token lower than the highest it has seen (`fence`). No sockets, no clock, no files: whoever
//! calls hands in messages, the time and what was saved, and sends and saves what comes out.
//!
//! Times are whole microseconds on the caller's monotonic clock; clocks need not agree, only run about alike.

pub mod disk;
pub mod fence;
pub mod holder;
pub mod leases;
pub mod voter;

use hallmux_hash::fnv1a;
use serde::{Deserialize, Serialize};

pub type Micros = i64;
/// A front, by the first bytes of its public key.
pub type FrontId = u64;
/// Grows with every grant of a lease: of two owners the later has the higher.
pub type Token = u64;

/// Work that exactly one front does for the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Task {
    /// Probing what the fleet has left, and saying since when a zone is back.
    Zones,
}

/// How long a lease lasts, and how far clocks may run apart meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    pub length: Micros,
    /// The most that one clock gains or loses against true time, in millionths.
    pub drift_ppm: u32,
}

impl Terms {
    /// How long an owner may act after it asked: less than the length on any clock.
    pub fn acts_for(&self) -> Micros {
        self.length - self.drift()
    }

    /// How long nobody else is granted the lease after it was last confirmed: more than the length on any clock.
    pub fn rests_for(&self) -> Micros {
        self.length + self.drift()
    }

    fn drift(self) -> Micros {
        (self.length * Micros::from(self.drift_ppm) + 999_999) / 1_000_000
    }
}

/// What a front asks of a voter; the number tells its answer from others'.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    pub task: Task,
    pub number: u64,
    /// The token that it holds and wants to keep; without one it wants the lease.
    pub token: Option<Token>,
    /// How far the work has gone: kept with the lease for whoever has it next.
    pub progress: Vec<u8>,
}

/// What a voter answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The lease is the asker's, counted from when it asked.
    Yours { number: u64, token: Token, progress: Vec<u8> },
    /// It is another's, or nobody can say yet.
    NotYours { number: u64 },
    /// Another voter leads.
    Elsewhere { number: u64, leader: FrontId },
}

/// Everything that fronts say to each other of leases.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Word {
    Ask(Ask),
    Answer(Answer),
    /// Of builds that did not number them: nothing is done with it.
    Unnumbered(Box<omnipaxos::messages::Message<leases::Change>>),
    /// Among voters, as the log's library words it.
    Log {
        /// Which of its sender's lives it is of; each has a higher number.
        life: u64,
        /// Counts those that must come in order; 0: it need not.
        number: u64,
        message: Box<omnipaxos::messages::Message<leases::Change>>,
    },
}

/// A word with the fleet that it is meant for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Letter {
    /// A fingerprint of the fleet's name and voters: a letter of another is refused.
    pub fleet: u64,
    pub word: Word,
}

pub fn bytes(letter: &Letter) -> Vec<u8> {
    postcard::to_stdvec(letter).unwrap_or_default()
}

/// Reads a letter that fills the bytes exactly.
pub fn read(bytes: &[u8]) -> Option<Letter> {
    match postcard::take_from_bytes(bytes) {
        Ok((letter, [])) => Some(letter),
        _ => None,
    }
}

/// The fleet's fingerprint: its name and who votes in it.
pub fn fingerprint(name: &str, voters: &[FrontId]) -> u64 {
    let mut voters = voters.to_vec();
    voters.sort_unstable();
    fnv1a(name.bytes().chain([0]).chain(voters.into_iter().flat_map(u64::to_be_bytes)))
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
