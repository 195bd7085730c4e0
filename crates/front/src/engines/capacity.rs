//! How many executions can leave for an engine without more connections than this front may make.

use hallmux_dispatcher::{EngineIndex, Micros};

use super::connection::EngineConnection;
use super::{Engine, Engines};

impl Engines {
    /// Executions that the connections to an engine take, and one more connection where it may be made now.
    pub fn capacity(&self, now: Micros, engine_index: EngineIndex) -> usize {
        let Some(engine) = self.engines.get(&engine_index).filter(|e| e.available) else {
            return 0;
        };
        let per_connection = self.allowance.executions_per_connection;
        let connections = engine.connections.iter();
        let connections = connections.filter_map(|id| self.connections.get(id));
        let existing: usize = connections
            .filter(|connection| connection.takes_executions())
            .map(|connection| per_connection.saturating_sub(self.occupied(connection)))
            .sum();
        let dials =
            self.may_dial(engine) && self.dials.borrow().next_slot_at(now, engine_index) <= now;
        existing + if dials { per_connection } else { 0 }
    }

    /// Executions that a connection has no capacity for, as others are in flight. Where cancelling is not allowed,
    /// what was given up runs on there.
    pub(super) fn occupied(&self, connection: &EngineConnection) -> usize {
        let running_on = if self.allowance.cancel {
            0
        } else {
            connection.cancelled.len()
        };
        connection.in_flight() + running_on
    }

    /// Whether descriptors are left for another connection to an engine.
    pub(super) fn may_dial(&self, engine: &Engine) -> bool {
        let listed = self.engines.values().filter(|e| e.available).count().max(1);
        engine.connections.len() < self.max_connections / listed
            && self.connections.len() < self.max_connections
    }
}

#[cfg(test)]
#[path = "capacity_tests.rs"]
mod tests;
