//! An engine as listed by the coordinator, as far as connections to it need it.

use std::net::SocketAddr;

/// The address of an engine, and whether executions may be sent to it.
#[derive(Clone, Copy, Debug)]
pub struct ListedEngine<'a> {
    /// The coordinator's id of the engine.
    pub id: &'a str,
    /// The address for the protocol of the connections.
    pub address: SocketAddr,
    /// Unix time of the engine's start in milliseconds, as the coordinator reports it; 0 if it did not start recently.
    pub started_ms: f64,
    /// False while the engine drains and once it is removed.
    pub available: bool,
}
