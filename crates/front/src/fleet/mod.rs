//! The front as a member of a fleet: gossip about engines over datagrams, durable votes for lease
//! elections, durable replicas of ledger entries, and access rules. The operator's file enables
//! each of these separately; a disabled one is not created. `crates/fleet` and the crates that it
//! uses interpret the messages; this module holds the sockets, files and clocks.

mod copies;
mod errors;
mod faulty_disk;
mod join;
mod ledger_barrier;
mod members;
mod peers;
/// Access rules that limit where customers' statements may run, by region.
pub mod rules;
mod votes;

pub use errors::{PeersError, RulesError};
pub use ledger_barrier::LoggedBarrier;
pub use peers::{PeerMessage, Peers};
