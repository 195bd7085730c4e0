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
    sent: u32,
}

/// What a sighting is about: the engine, and whether it is well.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    engine: u64,
    is_well: bool,
}

impl Subject {
    fn of(status: &EngineStatus) -> Subject {
        let has_fault = status.silent_ms > 0 || status.failed > 0;
        Subject {
            engine: status.engine,
            is_well: status.answered > 0 && !has_fault,
        }
    }
}

/// How often reports on each subject were passed on.
#[derive(Default)]
struct PassedOn(BTreeMap<Subject, u32>);

impl PassedOn {
    fn add(&mut self, report: &StoredReport, times: u32) {
        for status in &report.statuses {
            *self.0.entry(Subject::of(status)).or_default() += times;
        }
    }

    /// How often the subject of a report was passed on of which least was. Reports without content come last.
    fn least(&self, report: &StoredReport) -> u32 {
        let subjects = report.statuses.iter().map(Subject::of);
        let least = subjects
            .map(|subject| self.0.get(&subject).copied().unwrap_or(0))
            .min();
        least.unwrap_or(if report.ownership.is_empty() {
            u32::MAX
        } else {
            report.sent
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
    held: BTreeMap<PeerId, StoredReport>,
}

impl Evidence {
    /// Whether a report is later than the one held of its reporter. Cheap: to be asked before its signature
    /// is checked.
    pub fn is_later(&self, reporter: PeerId, started_ms: u64, version: u32) -> bool {
        self.held
            .get(&reporter)
            .is_none_or(|held| (started_ms, version) > (held.started_ms, held.version))
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
        if self.held.len() >= MAX_REPORTERS && !self.held.contains_key(&report.reporter) {
            self.drop_oldest();
        }
        let stored = StoredReport {
            started_ms: report.started_ms,
            version: report.version,
            created: now - age,
            statuses: report.statuses,
            ownership: report.ownership,
            signed,
            sent: 0,
        };
        self.held.insert(report.reporter, stored);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .held
            .iter()
            .min_by_key(|(_, report)| report.created)
            .map(|(reporter, _)| *reporter);
        if let Some(reporter) = oldest {
            self.held.remove(&reporter);
        }
    }

    /// Drops reports some time after they expired: until then nothing older can come in their place.
    pub fn expire(&mut self, now: Micros) {
        self.held.retain(|_, held| now - held.created < 2 * EXPIRY);
    }

    /// All sightings that have not expired, but for those that `own` has reported.
    pub fn peer_reports(&self, now: Micros, own: PeerId) -> Vec<PeerReport> {
        let current = self
            .held
            .iter()
            .filter(|(reporter, report)| **reporter != own && report.is_current(now));
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
        let counts = move |held: &StoredReport| held.is_current(now) && !held.ownership.is_empty();
        let all = self.held.iter().filter(move |(_, held)| counts(held));
        all.map(move |(reporter, held)| PeerOwnership {
            reporter: *reporter,
            ownership: &held.ownership,
            age: now - held.created,
        })
    }

    /// Reports to be passed on within `budget` bytes, each at most `most_sent` times. First come those on an
    /// engine of which least was passed on, good and bad news apart, so that many reports on one engine do
    /// not crowd out the few on another; then those passed on least, and of them the latest. Reports without
    /// content come last: what they take back expires by itself.
    pub fn pass_on(&mut self, now: Micros, most_sent: u32, mut budget: usize) -> Vec<Signed> {
        let mut passed_on = PassedOn::default();
        for report in self.held.values().filter(|report| report.is_current(now)) {
            passed_on.add(report, report.sent);
        }
        let mut candidates: Vec<&mut StoredReport> = self
            .held
            .values_mut()
            .filter(|report| report.is_current(now) && report.sent < most_sent)
            .collect();
        let mut picked = Vec::new();
        loop {
            let next = (0..candidates.len())
                .filter(|n| candidates[*n].signed.encoded_len() <= budget)
                .min_by_key(|n| {
                    let report = &candidates[*n];
                    (passed_on.least(report), report.sent, now - report.created)
                });
            let Some(next) = next else {
                return picked;
            };
            let report = candidates.swap_remove(next);
            budget -= report.signed.encoded_len();
            report.sent += 1;
            passed_on.add(report, 1);
            picked.push(report.signed.clone());
        }
    }

    /// Reports held, expired ones too.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no report is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

#[cfg(test)]
#[path = "evidence_tests.rs"]
mod tests;
