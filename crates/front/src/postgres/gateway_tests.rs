//! What tests of the front ask of the gateway.

use std::net::SocketAddr;

use super::Gateway;

impl Gateway {
    /// Where it takes sessions: the port is the system's where the operator's file names none.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address()
    }
}
