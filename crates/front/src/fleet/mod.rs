//! The front as a member of a fleet: gossip on engines over datagrams, the votes of lease elections on disk, copies of
//! ledger entries on disk, access rules. Each is switched on by the operator's file; off, it is not there. Messages are
//! interpreted in `crates/fleet` and the crates behind it; this module holds the sockets, files and clocks.

mod copies;
mod errors;
mod faulty_disk;
mod join;
mod ledger_barrier;
mod members;
mod peers;
/// Regional access rules of customers.
pub mod rules;
mod votes;

pub use errors::{PeersError, RulesError};
pub use ledger_barrier::LoggedBarrier;
pub use peers::{PeerMessage, Peers};
