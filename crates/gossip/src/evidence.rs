//! Evidence on engines: the latest report of each front. Merging keeps the later report, so that order,
//! repeats and losses do no harm; a report that is not renewed expires.

use std::collections::BTreeMap;

use crate::message::{OwnershipReport, Report, Sighting, Signed};
use crate::{Micros, PeerId};

/// Microseconds after which a report counts for nothing: an engine's trouble lasts some seconds to half a
/// minute, and reporters renew what they still observe.
pub const EXPIRY: Micros = 8_000_000;
/// Most sightings in a report, and most recovered engines in an act; a longer one is refused. With more
/// engines in trouble at once, all are.
pub const MAX_SIGHTINGS: usize = 12;
const MAX_REPORTERS: usize = 256; // whose reports are held; the oldest report is dropped first

struct Held {
    started_ms: u64,
    version: u32,
    /// When it was made, on our clock.
    created: Micros,
    sightings: Vec<Sighting>,
    ownership: OwnershipReport,
    signed: Signed,
    /// How often this front has passed it on.
    sent: u32,
}

impl Held {
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
    pub sighting: Sighting,
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
    held: BTreeMap<PeerId, Held>,
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
        let recovered = report
            .ownership
            .act
            .as_ref()
            .map_or(0, |act| act.recovered.len());
        let fits =
            report.sightings.len() <= MAX_SIGHTINGS && recovered <= MAX_SIGHTINGS && age < EXPIRY;
        if !fits || !self.is_later(report.reporter, report.started_ms, report.version) {
            return false;
        }
        if self.held.len() >= MAX_REPORTERS && !self.held.contains_key(&report.reporter) {
            let oldest = self
                .held
                .iter()
                .min_by_key(|(_, held)| held.created)
                .map(|(reporter, _)| *reporter);
            oldest
                .into_iter()
                .for_each(|reporter| _ = self.held.remove(&reporter));
        }
        let Report {
            reporter,
            started_ms,
            version,
            sightings,
            ownership,
            ..
        } = report;
        let created = now - age;
        self.held.insert(
            reporter,
            Held {
                started_ms,
                version,
                created,
                sightings,
                ownership,
                signed,
                sent: 0,
            },
        );
        true
    }

    /// Drops reports some time after they expired: until then nothing older can come in their place.
    pub fn expire(&mut self, now: Micros) {
        self.held.retain(|_, held| now - held.created < 2 * EXPIRY);
    }

    /// All sightings that have not expired, but for those that `own` has reported.
    pub fn peer_reports(&self, now: Micros, own: PeerId) -> Vec<PeerReport> {
        let counts =
            |(reporter, held): &(&PeerId, &Held)| **reporter != own && held.is_current(now);
        let all = self
            .held
            .iter()
            .filter(counts)
            .flat_map(|(reporter, held)| {
                let age = now - held.created;
                held.sightings.iter().map(move |sighting| PeerReport {
                    reporter: *reporter,
                    sighting: *sighting,
                    age,
                })
            });
        all.collect()
    }

    /// What each front reports of the fleet's work, this front's own report included.
    pub fn ownership_reports(&self, now: Micros) -> impl Iterator<Item = PeerOwnership<'_>> {
        let counts = move |held: &Held| held.is_current(now) && !held.ownership.is_empty();
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
        let subject = |s: &Sighting| {
            (
                s.engine,
                s.answered > 0 && s.silent_ms == 0 && s.failed == 0,
            )
        };
        let mut passed_on: BTreeMap<(u64, bool), u32> = BTreeMap::new();
        for held in self.held.values().filter(|held| held.is_current(now)) {
            held.sightings
                .iter()
                .for_each(|s| *passed_on.entry(subject(s)).or_default() += held.sent);
        }
        let mut all: Vec<&mut Held> = self
            .held
            .values_mut()
            .filter(|held| held.is_current(now) && held.sent < most_sent)
            .collect();
        let mut picked = Vec::new();
        loop {
            let least = |held: &Held| {
                let subjects = held
                    .sightings
                    .iter()
                    .map(|s| passed_on.get(&subject(s)).copied().unwrap_or(0));
                subjects.min().unwrap_or(if held.ownership.is_empty() {
                    u32::MAX
                } else {
                    held.sent
                })
            };
            let fits = (0..all.len()).filter(|n| all[*n].signed.encoded_len() <= budget);
            let Some(next) =
                fits.min_by_key(|n| (least(all[*n]), all[*n].sent, now - all[*n].created))
            else {
                return picked;
            };
            let held = all.swap_remove(next);
            budget -= held.signed.encoded_len();
            held.sent += 1;
            held.sightings
                .iter()
                .for_each(|s| *passed_on.entry(subject(s)).or_default() += 1);
            picked.push(held.signed.clone());
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
