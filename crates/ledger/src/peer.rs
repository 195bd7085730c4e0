//! What a front knows of another one.

use crate::{DiskId, Micros};

/// What is known of another front.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    /// When its latest packet came.
    pub heard_at: Micros,
    /// When it started, in Unix milliseconds.
    pub incarnation: u64,
    /// 0: it holds no replicas.
    pub disk: DiskId,
    /// Unix milliseconds on its clock when it sent that packet.
    pub wall_ms: u64,
}
