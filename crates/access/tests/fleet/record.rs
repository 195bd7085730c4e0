//! What a run is judged by, from what was recorded apart from what fronts say of themselves.

use std::collections::BTreeMap;

use hallmux_access::{Attributes, Decision, FleetHits, Index, Request};

use super::{set, Sent, Sim, FRONTS, STEP};

impl Sim {
    /// What left though the version in force barred it, and none after it was there to let it through.
    pub fn barred(&self) -> Vec<String> {
        let indices: BTreeMap<u64, (i64, Index)> = self
            .accepted
            .iter()
            .map(|(v, (at, text))| (*v, (*at, Index::new(set(*v, text)))))
            .collect();
        let mut found = Vec::new();
        for Sent {
            at,
            front,
            asked,
            place,
        } in &self.sent
        {
            let held = self
                .in_force
                .iter()
                .filter(|(_, since)| *since < at)
                .map(|(v, _)| *v)
                .max();
            let Some(held) = held else { continue };
            let Request {
                customer,
                workload,
                groups,
            } = asked;
            let attributes = Attributes {
                customer,
                workload,
                group: None,
                tables_known: false,
                front: "eu",
                first_judged_ms: None,
            };
            let mut may = indices.range(held..).filter(|(_, (since, _))| since <= at);
            if !may.any(|(_, (_, index))| {
                index
                    .judge(&attributes, groups.as_deref(), 0)
                    .allows(Some(*place))
            }) {
                found.push(format!(
                    "{at}: front {front} sent {asked:?} to {place} under version {held}"
                ));
            }
        }
        found
    }

    pub fn fleet_count(&mut self, front: usize) -> FleetHits {
        let at = self.moment(front);
        self.fronts[front].access.request_fleet_hits(at);
        self.counts.remove(&front);
        for _ in 0..2_000 {
            self.deliver();
            self.now += STEP;
            let at = self.moment(front);
            self.fronts[front].access.tick(at);
            let out = self.fronts[front].access.take_output();
            let life = self.fronts[front].life;
            out.ledger_requests
                .into_iter()
                .for_each(|ask| self.asks.push((self.now, front, life, ask, true)));
            if let Some(fleet) = out.fleet_hits {
                return fleet;
            }
        }
        panic!("no count");
    }

    /// Pages of lives that hold counts of their own: those that end are on their way out.
    pub fn pages(&self) -> usize {
        let own = |e: &&hallmux_access::Entry| e.key.name.starts_with("hits ") && e.ends_ms == 0;
        self.ledger.values().filter(own).count()
    }

    pub fn versions(&self) -> Vec<(u64, bool)> {
        (0..FRONTS)
            .map(|n| self.fronts[n].access.held_version(self.moment(n).steady))
            .map(|held| (held.version, held.may_judge))
            .collect()
    }

    /// Where a customer's lookups may be read, as a front judges them.
    pub fn allows(&mut self, front: usize, customer: &str) -> Option<Vec<u16>> {
        let at = self.moment(front);
        let asked = Request {
            customer: customer.to_string(),
            workload: "lookup".to_string(),
            groups: Some(vec![1]),
        };
        match self.fronts[front].access.judge(at, asked) {
            Decision::Decided { verdict, .. } => verdict.allowed,
            _ => None,
        }
    }

    /// Time from when the ledger took a version until it was in force.
    pub fn took(&self, version: u64) -> Option<i64> {
        Some(self.in_force.get(&version)? - self.accepted.get(&version)?.0)
    }
}
