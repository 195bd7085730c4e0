//! Scenario lines that change the engine list of the coordinator or of the configuration.

use serde_json::{json, Value};

use crate::engine::Engine;
use crate::Scenario;

impl Scenario {
    /// Runs a line of this group; false if the line is none of them.
    pub fn run_engine_list_line(&mut self, words: &[&str]) -> bool {
        match words[..] {
            ["list", "only", ..] => self.publish_complete_list(&words[2..].join(" ")),
            ["list", name, state, ..] => {
                let other = words
                    .iter()
                    .position(|word| *word == "at")
                    .map(|index| words[index + 1]);
                let server = self.list_entry(name, state, other);
                self.publish_list(false, vec![server], words.last() != Some(&"unheard"));
            }
            ["known", name, state] => {
                let server = self.list_entry(name, state, None);
                self.publish_list(false, vec![server], false);
                self.known_updates = self.coordinator_state.0.lock().unwrap().updates.len();
            }
            ["coordinator", "is", "silent"] => {
                self.update_coordinator(|state| state.silent = usize::MAX)
            }
            ["coordinator", "speaks"] => {
                self.update_coordinator(|state| state.silent = state.connections)
            }
            ["coordinator", "has", "told"] => self.wait_until_list_sent(),
            ["coordinator", "goes"] => self.stop_coordinator(),
            _ => return false,
        }
        true
    }

    /// An entry of the engine list; a new engine is started.
    fn list_entry(&mut self, name: &str, state: &str, address_of: Option<&str>) -> Value {
        if !self.engines.contains_key(name) {
            self.engines
                .insert(name.to_string(), Engine::new(false, false));
        }
        let address = self.engines[address_of.unwrap_or(name)].address;
        self.server(name, state, address, state == "up")
    }

    /// Publishes the next update; with `wait_for_front`, waits until the front polls for what follows it.
    fn publish_list(&mut self, full: bool, servers: Vec<Value>, wait_for_front: bool) {
        let index = self.coordinator_state.0.lock().unwrap().updates.len() + 1;
        let list = json!({"version": index, "full": full, "servers": servers});
        self.update_coordinator(|state| {
            state
                .updates
                .push(json!({"index": index, "endpoints": list}))
        });
        if wait_for_front {
            self.wait_for_poll(Some(index));
        }
    }

    fn publish_complete_list(&mut self, engines: &str) {
        let parse_entry = |engine: &str| {
            engine
                .split_once(' ')
                .map(|(n, s)| (n.to_string(), s.to_string()))
                .unwrap()
        };
        let engines: Vec<(String, String)> = engines.split(", ").map(parse_entry).collect();
        let servers = engines
            .iter()
            .map(|(name, state)| self.list_entry(name, state, None))
            .collect();
        self.publish_list(true, servers, true);
    }
}
