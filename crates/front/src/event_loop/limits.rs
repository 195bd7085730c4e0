//! The limits of memory and descriptors, divided between clients, sessions and engines.

use hallmux_config::NodeLimits;

use super::EventLoopState;

/// Statements held may take a quarter of the memory, and unsent answers another quarter.
const MEMORY_DIVISOR: u64 = 4;
/// The input of clients may take an eighth of the memory.
const INPUT_MEMORY_DIVISOR: u64 = 8;
/// Clients may use half of the descriptors; the other half is for engines.
const CLIENTS_DIVISOR: usize = 2;
/// One in 64 descriptors is reserved for sessions that are being closed.
const LINGERING_DIVISOR: usize = 64;
/// Limit of the descriptors for sessions that are being closed: each is held for a second, usually less.
const MAX_LINGERING: usize = 8;

impl EventLoopState {
    /// Divides memory and descriptors by new limits.
    pub(super) fn apply_limits(&mut self, limits: &NodeLimits) {
        self.max_bytes = (limits.memory_bytes / MEMORY_DIVISOR) as usize;
        self.max_input_bytes = (limits.memory_bytes / INPUT_MEMORY_DIVISOR) as usize;
        self.max_clients = limits.sockets / CLIENTS_DIVISOR;
        let engines = limits.sockets - self.max_clients;
        match &mut self.gateway {
            Some(gateway) => {
                let lingering = (limits.sockets / LINGERING_DIVISOR).min(MAX_LINGERING);
                let engines = engines - lingering;
                gateway.set_descriptor_limits(engines / 2, lingering);
                self.engines.set_descriptor_limit(engines - engines / 2);
            }
            None => self.engines.set_descriptor_limit(engines),
        }
    }
}
