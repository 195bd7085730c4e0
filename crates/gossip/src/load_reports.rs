//! Load reports: the latest report of each of a few fronts. The fronts with the lowest ids are the
//! reporters, so that traffic does not grow with the fleet and all fronts use the same figures.
//! Merging keeps the later report, so reordering, repetition and loss are harmless; a report that
//! is not renewed expires.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::message::Signed;
use crate::{Micros, PeerId};

/// Age in microseconds at which a report expires.
pub const EXPIRY: Micros = 5_000_000;
/// Maximum number of fronts whose reports are held.
pub const MAX_REPORTERS: usize = 12;
/// Maximum number of loads in a report; longer reports are rejected.
pub const MAX_LOADS: usize = 24;
/// Maximum number of times that a front sends a report.
const MAX_SENDS: u32 = 4;

/// The recent load offered to a front by one workload or customer. Counts are in sixteenths of a
/// statement and halve every few seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferedLoad {
    /// A hash of the workload's or customer's name.
    pub workload: u32,
    /// Statements requested by clients.
    pub requested: u32,
    /// Admitted statements that have received their final answer.
    pub completed: u32,
    /// Completed statements that met their SLO time.
    pub on_time: u32,
    /// Mean service time of a statement in microseconds on one thread.
    pub service_us: u32,
}

/// The loads offered to one front, reported and signed by that front and forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The front that made the report.
    pub reporter: PeerId,
    /// When the reporter started, in Unix milliseconds on its clock.
    pub started_ms: u64,
    /// The number of load reports made since that start.
    pub version: u32,
    /// When the report was made, in Unix milliseconds on the reporter's clock.
    pub created_ms: u64,
    /// Loads by workload and by customer; at most [`MAX_LOADS`].
    pub offered: Vec<OfferedLoad>,
}

/// The latest load report of one front.
struct StoredReport {
    started_ms: u64,
    version: u32,
    /// When the report was made, on the local clock.
    created: Micros,
    offered: Vec<OfferedLoad>,
    signed: Signed,
    /// How often this front has sent the report.
    times_sent: u32,
}

impl StoredReport {
    fn is_current(&self, now: Micros) -> bool {
        now - self.created < EXPIRY
    }
}

/// The latest load reports of the reporters with the lowest ids.
#[derive(Default)]
pub struct LoadReports {
    reports: BTreeMap<PeerId, StoredReport>,
}

impl LoadReports {
    /// Whether a report is later than the one held and its reporter's id is low enough to be held.
    /// This check is cheap and precedes the check of the signature.
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

    /// Stores a report that is `age` microseconds old. False if the report is not later, too long
    /// or expired.
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

    /// Drops expired reports to make room for those of other fronts.
    pub fn expire(&mut self, now: Micros) {
        self.reports.retain(|_, report| report.is_current(now));
    }

    /// The unexpired loads, one slice for each reporter.
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

    /// Picks reports to send within `budget` bytes: those sent least often first and, among those
    /// sent equally often, the latest first; each at most `MAX_SENDS` times.
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

    /// The number of reports held, including expired ones.
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
