//! What fronts have seen of engines: of each reporter its latest report. Merging is taking the later one, so
//! that order, repeats and losses do no harm; what is not renewed fades.

use std::collections::BTreeMap;

use crate::message::{Report, Sighting, Signed, Work};
use crate::{Micros, PeerId};

/// Microseconds after which a report is worth nothing: an engine's trouble lasts some seconds to half a
/// minute, and its reporters renew what they still see.
pub const EXPIRY: Micros = 8_000_000;
/// Sightings of a report that count; more engines in trouble at once are all engines.
pub const MOST_SIGHTINGS: usize = 12;
const MAX_REPORTERS: usize = 256; // whose reports are kept; the oldest goes first

struct Held {
    started_ms: u64,
    version: u32,
    /// When it was created, on our clock.
    created: Micros,
    sightings: Vec<Sighting>,
    work: Work,
    signed: Signed,
    /// How often it was passed on.
    sent: u32,
}

/// One thing that is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerReport {
    pub reporter: PeerId,
    pub sighting: Sighting,
    pub age: Micros,
}

#[derive(Default)]
pub struct Evidence {
    held: BTreeMap<PeerId, Held>,
}

impl Evidence {
    /// Whether a report says more than what is held of its reporter; to be asked before its signature is
    /// looked at.
    pub fn is_later(&self, reporter: PeerId, started_ms: u64, version: u32) -> bool {
        self.held.get(&reporter).is_none_or(|held| (started_ms, version) > (held.started_ms, held.version))
    }

    /// Takes a report in; false if it is no news.
    pub fn merge(&mut self, now: Micros, report: Report, signed: Signed, age: Micros) -> bool {
        let back = report.work.act.as_ref().map_or(0, |act| act.back.len());
        let fits = report.sightings.len() <= MOST_SIGHTINGS && back <= MOST_SIGHTINGS && age < EXPIRY;
        if !fits || !self.is_later(report.reporter, report.started_ms, report.version) {
            return false;
        }
        if self.held.len() >= MAX_REPORTERS && !self.held.contains_key(&report.reporter) {
            let oldest = self.held.iter().min_by_key(|(_, held)| held.created).map(|(reporter, _)| *reporter);
            oldest.into_iter().for_each(|reporter| _ = self.held.remove(&reporter));
        }
        let Report { reporter, started_ms, version, sightings, work, .. } = report;
        self.held.insert(
            reporter,
            Held { started_ms, version, created: now - age, sightings, work, signed, sent: 0 },
        );
        true
    }

    /// Lets go of what has faded; what is empty stays as long, so that nothing older comes in its place.
    pub fn expire(&mut self, now: Micros) {
        self.held.retain(|_, held| now - held.created < 2 * EXPIRY);
    }

    /// All that counts now, but for what `own` has said itself.
    pub fn peer_reports(&self, now: Micros, own: PeerId) -> Vec<PeerReport> {
        let counts = |(reporter, held): &(&PeerId, &Held)| **reporter != own && now - held.created < EXPIRY;
        let all = self.held.iter().filter(counts).flat_map(|(reporter, held)| {
            let age = now - held.created;
            held.sightings.iter().map(move |sighting| PeerReport {
                reporter: *reporter,
                sighting: *sighting,
                age,
            })
        });
        all.collect()
    }

    /// What each front says of work on behalf of the fleet, with its age; this front's own too.
    pub fn work(&self, now: Micros) -> impl Iterator<Item = (PeerId, &Work, Micros)> {
        let counts = move |held: &Held| now - held.created < EXPIRY && !held.work.is_empty();
        let all = self.held.iter().filter(move |(_, held)| counts(held));
        all.map(move |(reporter, held)| (*reporter, &held.work, now - held.created))
    }

    /// Reports to be passed on within so many bytes: first those on an engine of which least was passed on,
    /// good and ill apart, so that many voices on one matter do not crowd out the few on another; then those
    /// passed on least, of them the latest. Those that say nothing any more come last: what they take back
    /// fades by itself.
    pub fn pass_on(&mut self, now: Micros, most_sent: u32, mut budget: usize) -> Vec<Signed> {
        let matter = |s: &Sighting| (s.engine, s.answered > 0 && s.silent_ms == 0 && s.failed == 0);
        let mut passed_on: BTreeMap<(u64, bool), u32> = BTreeMap::new();
        for held in self.held.values().filter(|held| now - held.created < EXPIRY) {
            held.sightings.iter().for_each(|s| *passed_on.entry(matter(s)).or_default() += held.sent);
        }
        let mut all: Vec<&mut Held> = self
            .held
            .values_mut()
            .filter(|held| now - held.created < EXPIRY && held.sent < most_sent)
            .collect();
        let mut picked = Vec::new();
        loop {
            let least = |held: &Held| {
                let matters = held.sightings.iter().map(|s| passed_on.get(&matter(s)).copied().unwrap_or(0));
                matters.min().unwrap_or(if held.work.is_empty() { u32::MAX } else { held.sent })
            };
            let len = |held: &Held| held.signed.report.len() + held.signed.signature.len() + 4;
            let fits = (0..all.len()).filter(|n| len(all[*n]) <= budget);
            let Some(next) = fits.min_by_key(|n| (least(all[*n]), all[*n].sent, now - all[*n].created))
            else {
                return picked;
            };
            let held = all.swap_remove(next);
            budget -= len(held);
            held.sent += 1;
            held.sightings.iter().for_each(|s| *passed_on.entry(matter(s)).or_default() += 1);
            picked.push(held.signed.clone());
        }
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

#[cfg(test)]
#[path = "evidence_tests.rs"]
mod tests;
