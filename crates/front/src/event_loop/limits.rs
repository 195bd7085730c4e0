//! The limits of memory and descriptors, shared out between clients, sessions and engines.

use hallmux_config::NodeLimits;

use super::EventLoopState;

/// Statements held may take one part of so many of the memory, untaken answers another.
const MEMORY_PART: u64 = 4;
/// Clients hold one part of so many of the descriptors, the rest is for engines.
const CLIENTS_PART: usize = 2;
/// One part of so many of the descriptors is for sessions that are being closed.
const LINGERING_PART: usize = 64;
/// Descriptors of that part at most: each is held for a second, usually less.
const MOST_LINGERING: usize = 8;

impl EventLoopState {
    /// Shares memory and descriptors out anew.
    pub(super) fn apply_limits(&mut self, limits: &NodeLimits) {
        self.max_bytes = (limits.memory_bytes / MEMORY_PART) as usize;
        self.max_clients = limits.sockets / CLIENTS_PART;
        let engines = limits.sockets - self.max_clients;
        match &mut self.gateway {
            Some(gateway) => {
                let lingering = (limits.sockets / LINGERING_PART).min(MOST_LINGERING);
                let engines = engines - lingering;
                gateway.limit(engines / 2, lingering);
                self.engines.limit(engines - engines / 2);
            }
            None => self.engines.limit(engines),
        }
    }
}
