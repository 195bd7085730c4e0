//! Checks a run by records that are independent of what the fronts report.

use std::collections::BTreeMap;

use hallmux_access::{Attributes, Decision, FleetHits, Index, Request};

use super::{set, Sent, Sim, FRONTS, STEP};

impl Sim {
    /// Returns the executions that the version in force barred and that no later version accepted
    /// by then allowed.
    pub fn find_barred_executions(&self) -> Vec<String> {
        let indices: BTreeMap<u64, (i64, Index)> = self
            .accepted
            .iter()
            .map(|(v, (at, text))| (*v, (*at, Index::new(set(*v, text)))))
            .collect();
        let mut found = Vec::new();
        for Sent {
            at,
            front,
            request,
            location,
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
            } = request;
            let attributes = Attributes {
                customer,
                workload,
                group: None,
                tables_known: false,
                front: "eu",
                first_evaluated_ms: None,
            };
            let mut may = indices.range(held..).filter(|(_, (since, _))| since <= at);
            if !may.any(|(_, (_, index))| {
                index
                    .evaluate(&attributes, groups.as_deref(), 0)
                    .allows(Some(*location))
            }) {
                found.push(format!(
                    "{at}: front {front} sent {request:?} to {location} under version {held}"
                ));
            }
        }
        found
    }

    pub fn fleet_count(&mut self, front: usize) -> FleetHits {
        let at = self.clock_reading(front);
        self.fronts[front].access.request_fleet_hits(at);
        self.counts.remove(&front);
        for _ in 0..2_000 {
            self.deliver();
            self.now += STEP;
            let at = self.clock_reading(front);
            self.fronts[front].access.tick(at);
            let out = self.fronts[front].access.take_output();
            let incarnation = self.fronts[front].incarnation;
            out.ledger_requests.into_iter().for_each(|request| {
                self.requests
                    .push((self.now, front, incarnation, request, true))
            });
            if let Some(fleet) = out.fleet_hits {
                return fleet;
            }
        }
        panic!("no count");
    }

    /// Counts the pages that have not been folded; emptied pages have an end time.
    pub fn count_open_pages(&self) -> usize {
        let own = |e: &&hallmux_access::Entry| e.key.name.starts_with("hits ") && e.ends_ms == 0;
        self.ledger.values().filter(own).count()
    }

    pub fn versions(&self) -> Vec<(u64, bool)> {
        (0..FRONTS)
            .map(|n| {
                self.fronts[n]
                    .access
                    .held_version(self.clock_reading(n).steady)
            })
            .map(|held| (held.version, held.has_lease))
            .collect()
    }

    /// Returns the locations at which a front allows a customer's lookups.
    pub fn allows(&mut self, front: usize, customer: &str) -> Option<Vec<u16>> {
        let at = self.clock_reading(front);
        let request = Request {
            customer: customer.to_string(),
            workload: "lookup".to_string(),
            groups: Some(vec![1]),
        };
        match self.fronts[front].access.evaluate(at, request) {
            Decision::Decided { verdict, .. } => verdict.allowed,
            _ => None,
        }
    }

    /// Returns the time from when the ledger accepted a version until it was in force.
    pub fn time_to_take_effect(&self, version: u64) -> Option<i64> {
        Some(self.in_force.get(&version)? - self.accepted.get(&version)?.0)
    }
}
