//! What of the configuration may change while a front runs, and the limits of memory and descriptors.

use hallmux_config::{NodeConfig, NodeLimits};

use super::EventLoopState;

const MEMORY_PART: u64 = 4; // statements held may take one part of so many, untaken answers another
const CLIENTS_PART: usize = 2; // of the descriptors clients hold one part of so many, the rest is for engines
const LINGERING_PART: usize = 64; // one part of so many is for sessions that are being closed, beside those
const MOST_LINGERING: usize = 8; // descriptors of that part at most: each is held for a second, usually less

impl EventLoopState {
    /// The configuration was read again: what may change while a front runs holds from now on. One that
    /// can't be used changes nothing.
    pub fn reload(&mut self, read: Result<NodeConfig, hallmux_config::Error>) {
        self.clock.refresh();
        match read {
            Ok(config) => {
                self.limit(&config.limits);
                if let Some((peers, gossip)) =
                    self.peers.as_mut().zip(config.operator.gossip.as_ref())
                {
                    peers.reload(self.clock.now, gossip);
                }
                if let Some((rules, read)) = self.rules.as_ref().zip(config.operator.rules.as_ref())
                {
                    rules.borrow_mut().reload(self.clock.now, read);
                }
                if let Some((scatter, settings)) =
                    self.scatter.as_mut().zip(config.operator.scatter.as_ref())
                {
                    scatter.reload(settings, self.clock.now);
                }
                self.apply_known_list(&config.known_events);
                self.coordinator
                    .set_address(self.clock.now, config.coordinator);
                let at = config
                    .coordinator
                    .map_or("none".to_string(), |at| at.to_string());
                log::info!("the configuration was read again; coordinator: {at}");
            }
            Err(why) => log::error!("the configuration is left as it was: {why}"),
        }
    }

    /// Shares memory and descriptors out between clients, sessions and engines.
    pub(super) fn limit(&mut self, limits: &NodeLimits) {
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
