//! Tracks which fronts are away and how long the ledger waits for each before it replaces its
//! replicas.

use std::collections::{BTreeMap, BTreeSet};

use crate::{FrontId, Member, Micros, Setup};

/// The fronts that are away, since when, and which of them are no longer waited for.
#[derive(Default)]
pub(crate) struct Away {
    pub since: BTreeMap<FrontId, Micros>,
    /// When the first front came back, for each zone that was entirely away.
    zone_returned_at: BTreeMap<String, Micros>,
    pub declared_gone: BTreeSet<FrontId>,
    /// The member list has changed since the last placement.
    pub placement_outdated: bool,
}

impl Away {
    pub fn is_away(&self, front: FrontId) -> bool {
        self.since.contains_key(&front)
    }

    fn is_zone_away(&self, members: &[Member], zone: &str) -> bool {
        let mut zone_members = members.iter().filter(|member| member.zone == zone);
        let all = zone_members
            .clone()
            .all(|member| self.is_away(member.front));
        all && zone_members.nth(1).is_some() && members.iter().any(|member| member.zone != zone)
    }

    /// Records that a front is up (again).
    pub fn mark_returned(&mut self, now: Micros, members: &[Member], front: FrontId) {
        if !self.is_away(front) {
            return;
        }
        let zone = members
            .iter()
            .find(|member| member.front == front)
            .map(|member| member.zone.clone());
        if let Some(zone) = zone.filter(|zone| self.is_zone_away(members, zone)) {
            self.zone_returned_at.insert(zone, now);
        }
        self.since.remove(&front);
    }

    /// Until when to wait for a front that was last heard from at `since`.
    pub fn wait_until(&self, setup: &Setup, front: FrontId, since: Micros) -> Micros {
        let zone = setup
            .members
            .iter()
            .find(|member| member.front == front)
            .map(|m| m.zone.as_str());
        match zone {
            Some(zone) if self.is_zone_away(&setup.members, zone) => {
                since + setup.zone_repair_after.max(setup.repair_after)
            }
            Some(zone) => {
                self.zone_returned_at
                    .get(zone)
                    .map_or(since, |zone_returned_at| since.max(*zone_returned_at))
                    + setup.repair_after
            }
            None => since + setup.repair_after,
        }
    }
}

#[cfg(test)]
#[path = "away_tests.rs"]
mod tests;
