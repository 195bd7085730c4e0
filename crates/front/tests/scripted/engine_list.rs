//! Lines by which the coordinator and the configuration tell of engines.

use serde_json::{json, Value};

use crate::engine::Engine;
use crate::Scenario;

impl Scenario {
    /// True if the line is one of these.
    pub fn engine_list_line(&mut self, words: &[&str]) -> bool {
        match words[..] {
            ["list", "only", ..] => self.lists_only(&words[2..].join(" ")),
            ["list", name, state, ..] => {
                let at = words
                    .iter()
                    .position(|word| *word == "at")
                    .map(|at| words[at + 1]);
                let server = self.listed(name, state, at);
                self.lists(false, vec![server], words.last() != Some(&"unheard"));
            }
            ["known", name, state] => {
                let server = self.listed(name, state, None);
                self.lists(false, vec![server], false);
                self.known = self.coordinator_state.0.lock().unwrap().updates.len();
            }
            ["coordinator", "is", "silent"] => {
                self.update_coordinator(|state| state.silent = usize::MAX)
            }
            ["coordinator", "speaks"] => {
                self.update_coordinator(|state| state.silent = state.connections)
            }
            ["coordinator", "has", "told"] => self.coordinator_has_sent(),
            ["coordinator", "goes"] => self.coordinator_goes(),
            _ => return false,
        }
        true
    }

    /// A line of the list; an engine that is not known yet listens from now on.
    fn listed(&mut self, name: &str, state: &str, at: Option<&str>) -> Value {
        if !self.engines.contains_key(name) {
            self.engines
                .insert(name.to_string(), Engine::new(false, false));
        }
        let at = self.engines[at.unwrap_or(name)].at;
        self.server(name, state, at, state == "up")
    }

    /// The next update; if it is `heard`, waits until the front asks for what follows it.
    fn lists(&mut self, full: bool, servers: Vec<Value>, heard: bool) {
        let index = self.coordinator_state.0.lock().unwrap().updates.len() + 1;
        let list = json!({"version": index, "full": full, "servers": servers});
        self.update_coordinator(|state| {
            state
                .updates
                .push(json!({"index": index, "endpoints": list}))
        });
        if heard {
            self.asked(Some(index));
        }
    }

    fn lists_only(&mut self, engines: &str) {
        let named = |engine: &str| {
            engine
                .split_once(' ')
                .map(|(n, s)| (n.to_string(), s.to_string()))
                .unwrap()
        };
        let engines: Vec<(String, String)> = engines.split(", ").map(named).collect();
        let servers = engines
            .iter()
            .map(|(name, state)| self.listed(name, state, None))
            .collect();
        self.lists(true, servers, true);
    }
}
