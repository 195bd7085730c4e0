//! Records the statements received in the last hours by kind, without their texts, and reports
//! which of them a proposed rule set would decide differently.

use std::collections::{BTreeMap, HashMap};

use crate::evaluate::{evaluate, Request};
use crate::index::Index;
use crate::shares::Limit;
use crate::{ClockReading, Micros};

/// The number of kinds of statements recorded; each takes about 250 bytes.
const MAX_KINDS: usize = 4_096;
/// The number of slots into which the recorded time is divided.
const SLOTS: usize = 24;

/// The decision of a rule set on a kind of statements.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permission {
    /// Denied by a rule or by the default.
    Denied,
    /// Allowed at some locations, within some limits.
    Allowed {
        /// The locations at which the statement may be read; `None` means all.
        locations: Option<Vec<String>>,
        /// The limits that the statement counts against.
        limits: Vec<Limit>,
    },
}

/// Statements that two rule sets decide differently.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangedDecision {
    /// The customer of the statements.
    pub customer: String,
    /// The workload of the statements.
    pub workload: String,
    /// The decision of the rule set held.
    pub current: Permission,
    /// The decision of the proposed rule set.
    pub proposed: Permission,
}

/// The decisions that a rule set would change if it were in force now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WhatIfReport {
    /// The version held.
    pub held_version: u64,
    /// The proposed version.
    pub proposed_version: u64,
    /// How far back the record reaches, in microseconds.
    pub covered_time: Micros,
    /// The number of statements in the record.
    pub statements: u64,
    /// The number of statements left out because the record had no space for their kind.
    pub unrecorded: u64,
    /// The statements that would be decided differently, with the number of each kind.
    pub changes: BTreeMap<ChangedDecision, u64>,
}

/// The statements that one front received in a sliding window of time, counted by kind.
pub struct Record {
    slot_length: Micros,
    started_at: Option<Micros>,
    /// The slot being filled, counted from time 0 of the clock.
    current_slot: Micros,
    counts_by_request: HashMap<Request, [u32; SLOTS]>,
    unrecorded: [u64; SLOTS],
}

impl Record {
    /// Creates a record of the last `window` microseconds; 0 disables it.
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

    /// Advances the record to a time and drops the slots that have left the window. Returns the
    /// index of the present slot.
    fn advance(&mut self, now: Micros) -> usize {
        let slot = now.div_euclid(self.slot_length);
        let elapsed = if self.started_at.is_none() {
            0
        } else {
            (slot - self.current_slot).clamp(0, SLOTS as Micros)
        };
        for age in 0..elapsed {
            let expired = (slot - age).rem_euclid(SLOTS as Micros) as usize;
            for counts in self.counts_by_request.values_mut() {
                counts[expired] = 0;
            }
            self.unrecorded[expired] = 0;
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

    /// Reports the recorded statements that a proposed rule set would decide differently from the
    /// one held if they were received now.
    pub fn compare(
        &mut self,
        at: ClockReading,
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
    let verdict = evaluate(index, region, request, wall_ms, None);
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
