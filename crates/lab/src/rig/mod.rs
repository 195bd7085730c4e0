//! The rig: front processes, the relays between them and their engines, and the faults applied to
//! all of them.

pub mod agreed;
mod class;
mod coordinator;
pub mod datagrams;
pub mod death;
mod fault;
pub mod fleet;
mod front;
pub mod member;
pub mod relay;
pub mod rules;
pub mod scenario;
pub mod sites;
mod stage;
pub mod starvation_watch;

pub use coordinator::Coordinator;
pub use front::Front;
