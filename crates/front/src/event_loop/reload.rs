//! What happens at SIGHUP.
//!
//! `main` reads the settings and the operator's file again; what they hold now is applied here. An error in them
//! changes nothing and is logged. Otherwise, in this order:
//!
//! 1. the limits of memory and descriptors (`limits`);
//! 2. the keys of other fronts, and the members of the ledger, where gossip was on at the start;
//! 3. the file of access rules, where rules were on: one that can't be used changes nothing;
//! 4. the sites' summaries, where scatter was on;
//! 5. the events that the configuration knows of the coordinator, as if it had sent them;
//! 6. the coordinator's address.
//!
//! All other settings hold from the next start. A part that was off at the start stays off.

use hallmux_config::{Error, NodeConfig, OperatorConfig};

use super::EventLoopState;

impl EventLoopState {
    /// Applies a configuration that was read again, or logs why it can't be used.
    pub fn reload(&mut self, result: Result<NodeConfig, Error>) {
        self.clock.refresh();
        match result {
            Ok(config) => self.apply_configuration(&config),
            Err(error) => log::error!("the configuration is left as it was: {error}"),
        }
    }

    fn apply_configuration(&mut self, config: &NodeConfig) {
        self.apply_limits(&config.limits);
        self.reload_optional_parts(&config.operator);
        self.apply_known_events(&config.known_events);
        self.coordinator
            .set_address(self.clock.now, config.coordinator);
        let address = config
            .coordinator
            .map_or("none".to_string(), |address| address.to_string());
        log::info!("the configuration was read again; coordinator: {address}");
    }

    /// Parts that were switched on at the start and still are take their settings again.
    fn reload_optional_parts(&mut self, operator: &OperatorConfig) {
        let now = self.clock.now;
        if let (Some(peers), Some(gossip)) = (&mut self.peers, &operator.gossip) {
            peers.reload(now, gossip);
        }
        if let (Some(rules), Some(settings)) = (&self.rules, &operator.rules) {
            rules.borrow_mut().reload(now, settings);
        }
        if let (Some(scatter), Some(settings)) = (&mut self.scatter, &operator.scatter) {
            scatter.reload(settings, now);
        }
    }

    /// Takes in what a new configuration knows of the coordinator's events: a drain among them counts,
    /// whether the coordinator that the configuration names answers or not.
    fn apply_known_events(&mut self, known_events: &str) {
        match hallmux_native_codec::coordinator::events(known_events.as_bytes()) {
            Ok(events) => {
                let last_index = self.coordinator.last_index;
                self.coordinator.last_index = last_index.max(events.index);
                self.apply_list(&events, last_index);
            }
            Err(error) => {
                log::error!("NODE_CONFIG: known: {error}; the engine list is left as it was")
            }
        }
    }
}
