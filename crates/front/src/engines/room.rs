//! How many executions can leave for an engine without more connections than this front may make.

use super::*;

impl Engines {
    /// Executions that the connections to an engine take, and one more connection where it may be made now.
    pub fn room(&self, now: Micros, place: Place) -> usize {
        let Some(engine) = self.engines.get(&place).filter(|e| e.listed) else { return 0 };
        let each = self.allowed.executions_per_connection;
        let links = engine.links.iter().filter_map(|id| self.links.get(id));
        let takes = links.filter(|l| l.takes_more()).map(|l| {
            let runs_on = if self.allowed.cancel { 0 } else { l.given_up.len() };
            each.saturating_sub(l.open.len() + l.probes.len() + runs_on)
        });
        let dials = self.may_have_more(engine) && self.dials.borrow().next(now, place) <= now;
        takes.sum::<usize>() + if dials { each } else { 0 }
    }

    /// Whether descriptors are left for another connection to an engine.
    pub(super) fn may_have_more(&self, engine: &Engine) -> bool {
        let listed = self.engines.values().filter(|e| e.listed).count().max(1);
        engine.links.len() < self.most_links / listed && self.links.len() < self.most_links
    }
}

#[cfg(test)]
#[path = "room_tests.rs"]
mod tests;
