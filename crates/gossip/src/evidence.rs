//! Evidence on engines: the latest report of each front. Merging keeps the later report, so
//! reordering, repetition and loss are harmless; a report that is not renewed expires.

use std::collections::BTreeMap;

use crate::message::{EngineStatus, OwnershipReport, Report, Signed};
use crate::{Micros, PeerId};

/// Age in microseconds at which a report expires; reporters renew reports that still apply.
pub const EXPIRY: Micros = 8_000_000;
/// Maximum number of engine statuses in a report, and of recovered engines in an act; longer
/// reports are rejected. More faulty engines than this at once amount to a fault of all engines.
pub const MAX_ENGINE_STATUSES: usize = 12;
/// Maximum number of fronts whose reports are held; beyond it the oldest report is dropped.
const MAX_REPORTERS: usize = 256;

/// The latest report of one front.
struct StoredReport {
    started_ms: u64,
    version: u32,
    /// When the report was made, on the local clock.
    created: Micros,
    statuses: Vec<EngineStatus>,
    ownership: OwnershipReport,
    signed: Signed,
    /// How often this front has sent the report.
    times_sent: u32,
}

/// The subject of an engine status: the engine, and whether the status is good. Good and bad
/// statuses on one engine are counted separately.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    engine: u64,
    is_healthy: bool,
}

impl Subject {
    fn of(status: &EngineStatus) -> Subject {
        let has_fault = status.silent_ms > 0 || status.failed > 0;
        Subject {
            engine: status.engine,
            is_healthy: status.answered > 0 && !has_fault,
        }
    }
}

/// How often this front has sent reports on each subject.
#[derive(Default)]
struct SendCounts(BTreeMap<Subject, u32>);

impl SendCounts {
    fn add(&mut self, report: &StoredReport, times: u32) {
        for status in &report.statuses {
            *self.0.entry(Subject::of(status)).or_default() += times;
        }
    }

    /// The send count of the report's least sent subject. For a report without statuses: the
    /// report's own send count, or the maximum if it has no ownership either, so that empty reports
    /// are sent last.
    fn min_sends(&self, report: &StoredReport) -> u32 {
        let subjects = report.statuses.iter().map(Subject::of);
        let min_sends = subjects
            .map(|subject| self.0.get(&subject).copied().unwrap_or(0))
            .min();
        min_sends.unwrap_or(if report.ownership.is_empty() {
            u32::MAX
        } else {
            report.times_sent
        })
    }
}

impl StoredReport {
    fn is_current(&self, now: Micros) -> bool {
        now - self.created < EXPIRY
    }
}

/// A peer's status of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerReport {
    /// The front that observed the engine.
    pub reporter: PeerId,
    /// The status as observed by the reporter.
    pub status: EngineStatus,
    /// Microseconds since the report was made.
    pub age: Micros,
}

/// A front's ownership report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerOwnership<'a> {
    /// The front that made the report.
    pub reporter: PeerId,
    /// The reported lease and act.
    pub ownership: &'a OwnershipReport,
    /// Microseconds since the report was made.
    pub age: Micros,
}

/// The latest report of each front.
#[derive(Default)]
pub struct Evidence {
    reports: BTreeMap<PeerId, StoredReport>,
}

impl Evidence {
    /// Whether a report is later than the one held of its reporter. This check is cheap and
    /// precedes the check of the signature.
    pub fn is_later(&self, reporter: PeerId, started_ms: u64, version: u32) -> bool {
        self.reports
            .get(&reporter)
            .is_none_or(|report| (started_ms, version) > (report.started_ms, report.version))
    }

    /// Stores a report that is `age` microseconds old. False if the report is not later, too long
    /// or expired.
    pub fn merge(&mut self, now: Micros, report: Report, signed: Signed, age: Micros) -> bool {
        let act = report.ownership.act.as_ref();
        let recovered = act.map_or(0, |act| act.recovered.len());
        let fits = report.statuses.len() <= MAX_ENGINE_STATUSES && recovered <= MAX_ENGINE_STATUSES;
        if !fits
            || age >= EXPIRY
            || !self.is_later(report.reporter, report.started_ms, report.version)
        {
            return false;
        }
        if self.reports.len() >= MAX_REPORTERS && !self.reports.contains_key(&report.reporter) {
            self.drop_oldest();
        }
        let stored = StoredReport {
            started_ms: report.started_ms,
            version: report.version,
            created: now - age,
            statuses: report.statuses,
            ownership: report.ownership,
            signed,
            times_sent: 0,
        };
        self.reports.insert(report.reporter, stored);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .reports
            .iter()
            .min_by_key(|(_, report)| report.created)
            .map(|(reporter, _)| *reporter);
        if let Some(reporter) = oldest {
            self.reports.remove(&reporter);
        }
    }

    /// Drops reports at twice the expiry age. Until then an expired report prevents an older one of
    /// the same reporter from being accepted.
    pub fn expire(&mut self, now: Micros) {
        self.reports
            .retain(|_, report| now - report.created < 2 * EXPIRY);
    }

    /// All unexpired engine statuses except those reported by `local_id`.
    pub fn peer_reports(&self, now: Micros, local_id: PeerId) -> Vec<PeerReport> {
        let current = self
            .reports
            .iter()
            .filter(|(reporter, report)| **reporter != local_id && report.is_current(now));
        current
            .flat_map(|(reporter, report)| {
                report.statuses.iter().map(move |status| PeerReport {
                    reporter: *reporter,
                    status: *status,
                    age: now - report.created,
                })
            })
            .collect()
    }

    /// The unexpired ownership reports of all fronts, including the local one; empty ones are left
    /// out.
    pub fn ownership_reports(&self, now: Micros) -> impl Iterator<Item = PeerOwnership<'_>> {
        let is_eligible =
            move |report: &StoredReport| report.is_current(now) && !report.ownership.is_empty();
        let all = self
            .reports
            .iter()
            .filter(move |(_, report)| is_eligible(report));
        all.map(move |(reporter, report)| PeerOwnership {
            reporter: *reporter,
            ownership: &report.ownership,
            age: now - report.created,
        })
    }

    /// Picks reports to send within `budget` bytes, each at most `max_sends` times. Reports on the
    /// engine with the fewest sends are first, with good and bad statuses counted separately, so
    /// that many reports on one engine do not crowd out the few on another. Next are the reports
    /// sent least often, and among them the latest. Reports without content are last: the statuses
    /// that they withdraw expire anyway.
    pub fn pick_to_send(&mut self, now: Micros, max_sends: u32, mut budget: usize) -> Vec<Signed> {
        let mut send_counts = SendCounts::default();
        for report in self
            .reports
            .values()
            .filter(|report| report.is_current(now))
        {
            send_counts.add(report, report.times_sent);
        }
        let mut candidates: Vec<&mut StoredReport> = self
            .reports
            .values_mut()
            .filter(|report| report.is_current(now) && report.times_sent < max_sends)
            .collect();
        let mut selected = Vec::new();
        loop {
            let next = (0..candidates.len())
                .filter(|n| candidates[*n].signed.encoded_len() <= budget)
                .min_by_key(|n| {
                    let report = &candidates[*n];
                    (
                        send_counts.min_sends(report),
                        report.times_sent,
                        now - report.created,
                    )
                });
            let Some(next) = next else {
                return selected;
            };
            let report = candidates.swap_remove(next);
            budget -= report.signed.encoded_len();
            report.times_sent += 1;
            send_counts.add(report, 1);
            selected.push(report.signed.clone());
        }
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
#[path = "evidence_tests.rs"]
mod tests;
