//! The number of executions that an engine's connections can accept within this front's connection limits.

use hallmux_dispatcher::{EngineIndex, Micros};

use super::connection::EngineConnection;
use super::{Engine, Engines};

impl Engines {
    /// The number of further executions that the connections to an engine accept, including a new connection if
    /// one may be dialled now; zero for an engine that is unknown or not available.
    pub fn capacity(&self, now: Micros, engine_index: EngineIndex) -> usize {
        let Some(engine) = self
            .engines
            .get(&engine_index)
            .filter(|engine| engine.available)
        else {
            return 0;
        };
        let per_connection = self.network.executions_per_connection;
        let connections = engine.connections.iter();
        let connections = connections.filter_map(|id| self.connections.get(id));
        let existing: usize = connections
            .filter(|connection| connection.accepts_executions())
            .map(|connection| per_connection.saturating_sub(self.occupied(connection)))
            .sum();
        let can_dial =
            self.may_dial(engine) && self.dials.borrow().next_slot_at(now, engine_index) <= now;
        existing + if can_dial { per_connection } else { 0 }
    }

    /// The capacity in use on a connection. Where cancelling is not allowed, this includes the executions that
    /// this front gave up and that still run at the engine.
    pub(super) fn occupied(&self, connection: &EngineConnection) -> usize {
        let cancelled_running = if self.network.cancel {
            0
        } else {
            connection.cancelled.len()
        };
        connection.in_flight() + cancelled_running
    }

    /// Whether the descriptor limit allows another connection to an engine: its equal share, and the total.
    pub(super) fn may_dial(&self, engine: &Engine) -> bool {
        let available = self
            .engines
            .values()
            .filter(|engine| engine.available)
            .count()
            .max(1);
        engine.connections.len() < self.max_connections / available
            && self.connections.len() < self.max_connections
    }
}

#[cfg(test)]
#[path = "capacity_tests.rs"]
mod tests;
