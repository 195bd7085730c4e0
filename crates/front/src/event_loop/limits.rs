//! The limits of memory and descriptors, shared out between clients, sessions and engines.

use hallmux_config::NodeLimits;

use super::EventLoopState;

/// Statements held may take a quarter of the memory, untaken answers another.
const MEMORY_DIVISOR: u64 = 4;
/// Clients hold half of the descriptors at most, the rest is for engines.
const CLIENTS_DIVISOR: usize = 2;
/// One in 64 descriptors is for sessions that are being closed.
const LINGERING_DIVISOR: usize = 64;
/// Descriptors for sessions that are being closed at most: each is held for a second, usually less.
const MAX_LINGERING: usize = 8;

impl EventLoopState {
    /// Shares memory and descriptors out anew.
    pub(super) fn apply_limits(&mut self, limits: &NodeLimits) {
        self.max_bytes = (limits.memory_bytes / MEMORY_DIVISOR) as usize;
        self.max_clients = limits.sockets / CLIENTS_DIVISOR;
        let engines = limits.sockets - self.max_clients;
        match &mut self.gateway {
            Some(gateway) => {
                let lingering = (limits.sockets / LINGERING_DIVISOR).min(MAX_LINGERING);
                let engines = engines - lingering;
                gateway.limit(engines / 2, lingering);
                self.engines.set_descriptor_limit(engines - engines / 2);
            }
            None => self.engines.set_descriptor_limit(engines),
        }
    }
}
