//! Load reports: the latest of each of a few fronts, the same ones on every front. Those with the lowest ids
//! count, so that traffic does not grow with the fleet and all fronts go by the same figures. Merging keeps
//! the later report: order, repeats and losses do no harm, and a report that is not renewed expires.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::message::Signed;
use crate::{Micros, PeerId};

/// Microseconds after which a report counts for nothing.
pub const EXPIRY: Micros = 5_000_000;
/// Fronts whose reports count.
pub const MAX_REPORTERS: usize = 12;
/// Most loads in a report; a longer one is refused.
pub const MAX_LOADS: usize = 24;
/// Times that a front passes a report on.
const MAX_SENDS: u32 = 4;

/// The load offered to a front lately by one workload or customer. Counts are sixteenths of statements and
/// decay by half in some seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferedLoad {
    /// A hash of the workload's or customer's name.
    pub workload: u32,
    /// Statements requested.
    pub requested: u32,
    /// Admitted statements that have their final answer.
    pub completed: u32,
    /// Those of them that met their latency objective.
    pub on_time: u32,
    /// Mean work of a statement: microseconds on one thread.
    pub service_us: u32,
}

/// The loads offered to one front, as it reports them itself; passed on under its signature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The front that made it.
    pub reporter: PeerId,
    /// When that front started, in Unix milliseconds on its clock.
    pub started_ms: u64,
    /// Counts the load reports since that start.
    pub version: u32,
    /// When it was made, in Unix milliseconds on its reporter's clock.
    pub created_ms: u64,
    /// By workload and by customer; at most [`MAX_LOADS`].
    pub offered: Vec<OfferedLoad>,
}

/// The latest load report of one front.
struct StoredReport {
    started_ms: u64,
    version: u32,
    /// When it was made, on this front's clock.
    created: Micros,
    offered: Vec<OfferedLoad>,
    signed: Signed,
    /// How often this front has passed it on.
    times_sent: u32,
}

impl StoredReport {
    fn is_current(&self, now: Micros) -> bool {
        now - self.created < EXPIRY
    }
}

/// The reports that count.
#[derive(Default)]
pub struct LoadReports {
    reports: BTreeMap<PeerId, StoredReport>,
}

impl LoadReports {
    /// Whether a report would count and is later than the one held. Cheap: to be asked before the signature
    /// is checked.
    pub fn is_later(&self, reporter: PeerId, started_ms: u64, version: u32) -> bool {
        match self.reports.get(&reporter) {
            Some(report) => (started_ms, version) > (report.started_ms, report.version),
            None if self.reports.len() < MAX_REPORTERS => true,
            None => {
                let highest = self.reports.last_key_value();
                highest.is_some_and(|(highest, _)| reporter < *highest)
            }
        }
    }

    /// Stores a report that is `age` microseconds old; false if it is not later, too long or expired.
    pub fn merge(&mut self, now: Micros, report: LoadReport, signed: Signed, age: Micros) -> bool {
        let is_eligible = report.offered.len() <= MAX_LOADS && age < EXPIRY;
        if !is_eligible || !self.is_later(report.reporter, report.started_ms, report.version) {
            return false;
        }
        let stored = StoredReport {
            started_ms: report.started_ms,
            version: report.version,
            created: now - age,
            offered: report.offered,
            signed,
            times_sent: 0,
        };
        self.reports.insert(report.reporter, stored);
        if self.reports.len() > MAX_REPORTERS {
            self.reports.pop_last();
        }
        true
    }

    /// Drops expired reports, so that those of other fronts can take their place.
    pub fn expire(&mut self, now: Micros) {
        self.reports.retain(|_, report| report.is_current(now));
    }

    /// The loads of each reporter that have not expired.
    pub fn current(&self, now: Micros) -> impl Iterator<Item = &[OfferedLoad]> {
        self.reports
            .values()
            .filter(move |report| report.is_current(now))
            .map(|report| &report.offered[..])
    }

    /// The fronts whose reports have not expired.
    pub fn reporters(&self, now: Micros) -> impl Iterator<Item = PeerId> + '_ {
        self.reports
            .iter()
            .filter(move |(_, report)| report.is_current(now))
            .map(|(reporter, _)| *reporter)
    }

    /// Reports to be passed on within so many bytes: those passed on least, of them the latest.
    pub fn pick_to_send(&mut self, now: Micros, mut budget: usize) -> Vec<Signed> {
        let is_eligible =
            |report: &&mut StoredReport| report.is_current(now) && report.times_sent < MAX_SENDS;
        let mut candidates: Vec<&mut StoredReport> =
            self.reports.values_mut().filter(is_eligible).collect();
        candidates.sort_by_key(|report| (report.times_sent, now - report.created));
        let mut selected = Vec::new();
        for report in candidates {
            if report.signed.encoded_len() <= budget {
                budget -= report.signed.encoded_len();
                report.times_sent += 1;
                selected.push(report.signed.clone());
            }
        }
        selected
    }

    /// Reports held, expired ones too.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether no report is held.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}

#[cfg(test)]
#[path = "load_reports_tests.rs"]
mod tests;
