//! Stand-ins for engines of both protocols; each records everything it does.

mod conversation;
pub mod lines;
mod portal;
mod record;
mod task;
mod wire_events;
#[cfg(test)]
mod wire_events_tests;

pub use portal::Engine;
pub use record::{Armed, EngineEvent, EngineEventKind, Records};
pub use wire_events::{Lines, WireEvent, WireEventKind};
