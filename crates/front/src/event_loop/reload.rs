//! The reload of the configuration at SIGHUP.
//!
//! `main` reads the settings and the operator's file again, and their new content is applied here. If they contain an
//! error, nothing changes and the error is logged. Otherwise these are applied, in this order:
//!
//! 1. the limits of memory and descriptors (`limits`);
//! 2. the keys of other fronts and the members of the ledger, if gossip was enabled at the start;
//! 3. the file of access rules, if rules were enabled at the start: an invalid file changes nothing;
//! 4. the sites' summaries, if scatter was enabled at the start;
//! 5. the coordinator's events in the key `known`, as if the coordinator had sent them;
//! 6. the coordinator's address.
//!
//! All other settings take effect at the next start. A component that was disabled at the start stays disabled.

use hallmux_config::{Error, NodeConfig, OperatorConfig};

use super::EventLoopState;

impl EventLoopState {
    /// Applies a configuration that was read again, or logs why it is invalid.
    pub fn reload(&mut self, result: Result<NodeConfig, Error>) {
        self.clock.refresh();
        match result {
            Ok(config) => self.apply_configuration(&config),
            Err(error) => {
                log::error!("configuration not reloaded: {error}; the current one stays in force")
            }
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

    /// Applies the settings of components that were enabled at the start and still are.
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

    /// Applies the coordinator's events that a new configuration brings along. A drain among them takes effect whether
    /// or not the coordinator that the configuration names answers.
    fn apply_known_events(&mut self, known_events: &str) {
        match hallmux_native_codec::coordinator::events(known_events.as_bytes()) {
            Ok(events) => {
                let last_index = self.coordinator.last_index;
                self.coordinator.last_index = last_index.max(events.index);
                self.apply_list(&events, last_index);
            }
            Err(error) => {
                log::error!("NODE_CONFIG: known: {error}; the engine list is unchanged")
            }
        }
    }
}
