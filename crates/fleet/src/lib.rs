//! Connects gossip and the dispatcher of one front: sends the front's observations of engines to its peers,
//! and passes peer reports, the fleet size and the fleet's load to the dispatcher.
//!
//! The crate also runs lease ownership, the replicated ledger, and the ledger barrier for executions that
//! depend on ledger entries. The crate opens no sockets, reads no clocks and draws no random numbers: callers
//! pass these in. The dispatcher decides what to do about engines.

#![warn(missing_docs)]

mod exchange;
mod ledger;
pub mod ledger_barrier;
mod load;
mod ownership;

use hallmux_dispatcher::Micros;
use hallmux_gossip::node::Datagram;
use hallmux_hash::fnv1a;

pub use exchange::{Exchange, TickOutput};
pub use hallmux_gossip::channels::{Channel, ChannelMessage};
pub use ledger::LedgerSave;
pub use ownership::{OwnedLease, OwnershipConfig, VoterAddress, VoterSave};

/// A reading of all clocks of a front at one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Microseconds on the dispatcher's clock.
    pub now: Micros,
    /// Microseconds on a monotonic clock with a constant rate; the only clock that leases use.
    pub steady: Micros,
    /// Unix time in milliseconds, as sent to other fronts.
    pub wall_ms: u64,
}

/// The datagrams to send and the state to save after a call. Each save has its own datagrams, which must be
/// sent only after that save is durable.
#[derive(Default)]
pub struct Output {
    /// Datagrams to send immediately.
    pub datagrams: Vec<Datagram>,
    /// Voter states to save in this order; each must be durable before its datagrams are sent.
    pub voter_saves: Vec<VoterSave>,
    /// Ledger records to save in this order; each must be durable before its datagrams are sent, and its
    /// outcome must be passed to [`Exchange::ledger_saved`].
    pub ledger_saves: Vec<LedgerSave>,
}

/// Returns the 64-bit FNV-1a hash of an engine id, by which fronts refer to the engine in messages. The hash
/// is the same in every build.
pub fn engine_hash(engine: &str) -> u64 {
    fnv1a(engine.bytes())
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
