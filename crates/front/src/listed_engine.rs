//! An engine as the coordinator's list has it, for the connections to it.

use std::net::SocketAddr;

/// Where an engine is, and whether anything may still be sent to it.
#[derive(Clone, Copy, Debug)]
pub struct ListedEngine<'a> {
    pub id: &'a str,
    pub address: SocketAddr,
    /// Unix time of its start in milliseconds, as the coordinator has it; 0 for not lately.
    pub started_ms: f64,
    /// False while it drains or once it is removed.
    pub available: bool,
}
