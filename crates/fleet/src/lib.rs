//! What one front and its fleet know of each other, carried between gossip and the dispatcher: this front's
//! observations of engines go out; other fronts' reports, the size of the fleet and its load reach the
//! dispatcher. Lease ownership, the replicated ledger and the gate for executions that depend on it take part
//! here too. Free of sockets, clocks and randomness of its own; what is done about engines is decided in the
//! decision module.

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

/// The time on a front's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Microseconds on the clock that the dispatcher goes by.
    pub now: Micros,
    /// Microseconds on a monotonic clock that runs evenly: leases go by it alone.
    pub steady: Micros,
    /// Unix time in milliseconds, as other fronts get it.
    pub wall_ms: u64,
}

/// What a call gives out: to be sent, and to be saved first where a save stands beside it.
#[derive(Default)]
pub struct Output {
    /// To be sent now.
    pub datagrams: Vec<Datagram>,
    /// Voter states, each to be durable before the datagrams beside it leave, in this order.
    pub voter_saves: Vec<VoterSave>,
    /// Ledger records likewise; the outcome of each is to be passed to [`Exchange::ledger_saved`].
    pub ledger_saves: Vec<LedgerSave>,
}

/// An engine's id as fronts send it: a 64-bit FNV-1a hash, the same in every build.
pub fn engine_hash(engine: &str) -> u64 {
    fnv1a(engine.bytes())
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
