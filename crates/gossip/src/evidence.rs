//! Evidence on engines: the latest report of each front. Merging keeps the later report, so that order,
//! repeats and losses do no harm; a report that is not renewed expires.

use std::collections::BTreeMap;

use crate::message::{EngineStatus, OwnershipReport, Report, Signed};
use crate::{Micros, PeerId};

/// Microseconds after which a report counts for nothing; reporters renew what they still observe.
pub const EXPIRY: Micros = 8_000_000;
/// Most sightings in a report, and most recovered engines in an act; a longer one is refused. More
/// faulty engines at once are as good as a fault of all engines.
pub const MAX_ENGINE_STATUSES: usize = 12;
/// Fronts whose reports are held; the oldest report is dropped first.
const MAX_REPORTERS: usize = 256;

/// The latest report of one front.
struct StoredReport {
    started_ms: u64,
    version: u32,
    /// When it was made, on this front's clock.
    created: Micros,
    statuses: Vec<EngineStatus>,
    ownership: OwnershipReport,
    signed: Signed,
    /// How often this front has passed it on.
    times_sent: u32,
}

/// What a sighting is about: the engine, and whether it is well.
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

/// How often reports on each subject were passed on.
#[derive(Default)]
struct SendCounts(BTreeMap<Subject, u32>);

impl SendCounts {
    fn add(&mut self, report: &StoredReport, times: u32) {
        for status in &report.statuses {
            *self.0.entry(Subject::of(status)).or_default() += times;
        }
    }

    /// How often the subject of a report was passed on of which least was. Reports without content come last.
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

/// What one peer reports of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerReport {
    /// The front that observed it.
    pub reporter: PeerId,
    /// What it observed.
    pub status: EngineStatus,
    /// Microseconds since it was reported.
    pub age: Micros,
}

/// What one front reports of the fleet's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerOwnership<'a> {
    /// The front that reports it.
    pub reporter: PeerId,
    /// What it reports.
    pub ownership: &'a OwnershipReport,
    /// Microseconds since it was reported.
    pub age: Micros,
}

/// The latest report of each front.
#[derive(Default)]
pub struct Evidence {
    reports: BTreeMap<PeerId, StoredReport>,
}

impl Evidence {
    /// Whether a report is later than the one held of its reporter. Cheap: to be asked before its signature
    /// is checked.
    pub fn is_later(&self, reporter: PeerId, started_ms: u64, version: u32) -> bool {
        self.reports
            .get(&reporter)
            .is_none_or(|report| (started_ms, version) > (report.started_ms, report.version))
    }

    /// Stores a report that is `age` microseconds old; false if it is not later, too long or expired.
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

    /// Drops reports some time after they expired: until then nothing older can come in their place.
    pub fn expire(&mut self, now: Micros) {
        self.reports
            .retain(|_, report| now - report.created < 2 * EXPIRY);
    }

    /// All sightings that have not expired, but for those that `own` has reported.
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

    /// What each front reports of the fleet's work, this front's own report included.
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

    /// Reports to be passed on within `budget` bytes, each at most `most_sent` times. First come those on an
    /// engine of which least was passed on, good and bad news apart, so that many reports on one engine do
    /// not crowd out the few on another; then those passed on least, and of them the latest. Reports without
    /// content come last: what they take back expires by itself.
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
#[path = "evidence_tests.rs"]
mod tests;
