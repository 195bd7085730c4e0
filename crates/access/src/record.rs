//! What was asked here in the last hours, by kind and without texts; and what a set that is not in force would have
//! decided of it.

use std::collections::{BTreeMap, HashMap};

use crate::index::Index;
use crate::judge::{judge, Request};
use crate::shares::Limit;
use crate::{Micros, Moment};

/// Kinds of statements, some 250 bytes each.
const MAX_KINDS: usize = 4_096;
/// Parts into which the time looked back at is cut.
const SLOTS: usize = 24;

/// What a set says of a statement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permission {
    /// Turned away by a rule or by the default.
    Denied,
    /// At these locations (None: all), within these limits.
    Allowed {
        /// The locations at which it may be read; `None`: all.
        locations: Option<Vec<String>>,
        /// The limits that it counts against.
        limits: Vec<Limit>,
    },
}

/// Statements that two sets decide differently.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangedDecision {
    /// Whose statements they are.
    pub customer: String,
    /// The workload of the statements.
    pub workload: String,
    /// What the set in force says of them.
    pub current: Permission,
    /// What the other set would say of them.
    pub proposed: Permission,
}

/// What a set would change, were it to hold now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WhatIfReport {
    /// The version that holds, and the one that was asked about.
    pub held_version: u64,
    /// The version that was asked about.
    pub proposed_version: u64,
    /// How far the record goes back.
    pub covered_time: Micros,
    /// Statements that the record holds.
    pub statements: u64,
    /// Statements for whose kinds the record had no room.
    pub unrecorded: u64,
    /// The statements that would be decided differently, and how many there were of each kind.
    pub changes: BTreeMap<ChangedDecision, u64>,
}

/// What was asked of one front over a sliding window of time, counted by kind.
pub struct Record {
    slot_length: Micros,
    started_at: Option<Micros>,
    /// The part that is being filled, since the clock began.
    current_slot: Micros,
    counts_by_request: HashMap<Request, [u32; SLOTS]>,
    unrecorded: [u64; SLOTS],
}

impl Record {
    /// Of the last so many microseconds; 0: of nothing.
    pub fn new(window: Micros) -> Record {
        let slot_length = window / SLOTS as Micros;
        Record {
            slot_length,
            started_at: None,
            current_slot: 0,
            counts_by_request: HashMap::new(),
            unrecorded: [0; SLOTS],
        }
    }

    /// Goes on to a time: what is older than the record goes back is forgotten.
    fn advance(&mut self, now: Micros) -> usize {
        let slot = now.div_euclid(self.slot_length);
        let elapsed = if self.started_at.is_none() {
            0
        } else {
            (slot - self.current_slot).clamp(0, SLOTS as Micros)
        };
        for age in 0..elapsed {
            let slot = (slot - age).rem_euclid(SLOTS as Micros) as usize;
            for counts in self.counts_by_request.values_mut() {
                counts[slot] = 0;
            }
            self.unrecorded[slot] = 0;
        }
        if elapsed > 0 {
            self.counts_by_request
                .retain(|_, counts| counts.iter().any(|count| *count > 0));
        }
        self.current_slot = self.current_slot.max(slot);
        self.started_at.get_or_insert(now);
        slot.rem_euclid(SLOTS as Micros) as usize
    }

    /// Counts one statement.
    pub fn add(&mut self, now: Micros, request: &Request) {
        if self.slot_length <= 0 {
            return;
        }
        let slot = self.advance(now);
        if !self.counts_by_request.contains_key(request) {
            if self.counts_by_request.len() >= MAX_KINDS {
                self.unrecorded[slot] += 1;
                return;
            }
            self.counts_by_request.insert(request.clone(), [0; SLOTS]);
        }
        if let Some(counts) = self.counts_by_request.get_mut(request) {
            counts[slot] = counts[slot].saturating_add(1);
        }
    }

    /// What a set would decide otherwise than the one held, of what was asked, were it asked now.
    pub fn compare(
        &mut self,
        at: Moment,
        region: &str,
        held: &Index,
        proposed_rules: &Index,
        known: &crate::KnownNames,
    ) -> WhatIfReport {
        let mut report = WhatIfReport {
            held_version: held.set.version,
            proposed_version: proposed_rules.set.version,
            ..WhatIfReport::default()
        };
        if self.slot_length <= 0 {
            return report;
        }
        self.advance(at.steady);
        let covered_time = self
            .started_at
            .map_or(0, |started_at| at.steady - started_at);
        report.covered_time = covered_time.min(self.slot_length * SLOTS as Micros);
        report.unrecorded = self.unrecorded.iter().sum();
        for (request, counts) in &self.counts_by_request {
            let count = counts.iter().map(|count| u64::from(*count)).sum::<u64>();
            report.statements += count;
            let permission_under =
                |index: &Index| permission(index, known, region, request, at.wall_ms);
            let (current, proposed) = (permission_under(held), permission_under(proposed_rules));
            if current != proposed {
                let (customer, workload) = (request.customer.clone(), request.workload.clone());
                *report
                    .changes
                    .entry(ChangedDecision {
                        customer,
                        workload,
                        current,
                        proposed,
                    })
                    .or_default() += count;
            }
        }
        report
    }
}

fn permission(
    index: &Index,
    known: &crate::KnownNames,
    region: &str,
    request: &Request,
    wall_ms: u64,
) -> Permission {
    let verdict = judge(index, region, request, wall_ms, None);
    if verdict.denied.is_some() {
        return Permission::Denied;
    }
    let locations = verdict.allowed.as_ref();
    Permission::Allowed {
        locations: locations.map(|locations| known.location_names(locations)),
        limits: index.limits(&verdict),
    }
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
