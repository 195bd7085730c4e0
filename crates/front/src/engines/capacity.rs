//! How many executions can leave for an engine without more connections than this front may make.

use super::*;

impl Engines {
    /// Executions that the connections to an engine take, and one more connection where it may be made now.
    pub fn capacity(&self, now: Micros, place: Place) -> usize {
        let Some(engine) = self.engines.get(&place).filter(|e| e.available) else {
            return 0;
        };
        let each = self.allowance.executions_per_connection;
        let connections = engine
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id));
        let takes = connections.filter(|l| l.takes_executions()).map(|l| {
            let runs_on = if self.allowance.cancel {
                0
            } else {
                l.cancelled.len()
            };
            each.saturating_sub(l.open.len() + l.probes.len() + runs_on)
        });
        let dials = self.may_dial(engine) && self.dials.borrow().next(now, place) <= now;
        takes.sum::<usize>() + if dials { each } else { 0 }
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
