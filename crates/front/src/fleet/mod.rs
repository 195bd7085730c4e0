//! What this front and the other fronts tell each other, and what it holds for them: words on engines over
//! datagrams, the file of a voter, copies of promises, rules. Each is switched on by the operator's file; off, it is
//! not there. What the words mean is decided in `crates/fleet` and the minds behind it.

mod copies;
mod fault;
mod faulty_disk;
mod gate;
mod members;
mod peers;
pub mod rules;
mod votes;

pub use fault::{PeersFault, RulesFault};
pub use gate::Guard;
pub use peers::Peers;
