//! What this front knows about another front.

use crate::{DiskId, Micros};

/// What is known about another front.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    /// When its latest packet was received.
    pub last_seen: Micros,
    /// When the front started, in Unix milliseconds.
    pub incarnation: u64,
    /// The disk that holds the front's replicas; 0 if it holds none.
    pub disk: DiskId,
    /// The front's Unix clock, in milliseconds, when it sent its latest packet.
    pub wall_ms: u64,
}
