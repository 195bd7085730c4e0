//! Accessors of the gateway for the tests of the front.

use std::net::SocketAddr;

use super::Gateway;

impl Gateway {
    /// The address of the listener; the system assigns the port if the operator's file has port 0.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address()
    }
}
