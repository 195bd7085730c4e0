//! Reports on engines: what this front observes goes out, and what other fronts report reaches the dispatcher.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hallmux_dispatcher::{Dispatcher, EngineObservation, Micros};
use hallmux_gossip::evidence::PeerReport;
use hallmux_gossip::message::EngineStatus;
use hallmux_gossip::PeerId;

use super::Exchange;
use crate::{engine_hash, ClockReading};

/// Milliseconds: each step of a silence is a report for all fronts to pass on.
const SILENCE_STEP_MS: Micros = 500;
/// Fronts that the dispatcher tells apart in one run of this one.
const MAX_REPORTERS: usize = 4_096;

/// An engine as a peer reports it.
pub(super) type ReportedEngine = (PeerId, u64);

impl Exchange {
    /// Reports what this front observes of engines, worst first, and of ownership; takes in others' ownership
    /// reports.
    pub(super) fn report(&mut self, at: ClockReading, dispatcher: &mut Dispatcher) {
        let observations = dispatcher.observations(at.now);
        let mut sightings: Vec<EngineStatus> = observations.iter().map(sighting).collect();
        sightings.sort_by_key(|s| (Reverse(s.silent_ms), Reverse(s.failed), s.engine));
        let ownership = self
            .ownership
            .as_ref()
            .map(|ownership| ownership.report(at, dispatcher));
        self.node
            .report(at.now, at.wall_ms, sightings, ownership.unwrap_or_default());
        if let Some(ownership) = &mut self.ownership {
            ownership.admit(at, &self.node, dispatcher);
        }
    }

    /// Passes what has changed in other fronts' reports to the dispatcher; gives reports on engines not
    /// reported before.
    pub(super) fn take_reports(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
    ) -> Vec<PeerReport> {
        let reports = self.node.peer_reports(now);
        for report in &reports {
            let known = self.known_reports.get(&reported_engine(report));
            // Guards against reporters without end, as keys come and go.
            if known == Some(&report.status) || self.reporters.len() >= MAX_REPORTERS {
                continue;
            }
            let next = self.reporters.len();
            let reporter = *self.reporters.entry(report.reporter).or_insert(next);
            pass_report(now, dispatcher, reporter, report);
        }
        let known: BTreeMap<ReportedEngine, EngineStatus> = reports
            .iter()
            .map(|report| (reported_engine(report), report.status))
            .collect();
        let before = std::mem::replace(&mut self.known_reports, known);
        reports
            .into_iter()
            .filter(|report| !before.contains_key(&reported_engine(report)))
            .collect()
    }
}

fn reported_engine(report: &PeerReport) -> ReportedEngine {
    (report.reporter, report.status.engine)
}

/// Passes a report to the dispatcher, from the reporter of this number.
fn pass_report(now: Micros, dispatcher: &mut Dispatcher, reporter: usize, report: &PeerReport) {
    let sighting = report.status;
    let observation = EngineObservation {
        id: "",
        failed: f64::from(sighting.failed),
        answered: f64::from(sighting.answered),
        silent: Micros::from(sighting.silent_ms) * 1000,
        draining: sighting.drains,
        started: None,
    };
    let is_engine = |id: &str| engine_hash(id) == sighting.engine;
    dispatcher.peer_report(now, reporter, is_engine, &observation, report.age);
}

/// What this front has observed of an engine, as other fronts learn it.
fn sighting(seen: &EngineObservation) -> EngineStatus {
    EngineStatus {
        engine: engine_hash(seen.id),
        failed: seen.failed.min(255.0) as u8,
        answered: seen.answered.min(255.0) as u8,
        silent_ms: (seen.silent / 1000 / SILENCE_STEP_MS * SILENCE_STEP_MS)
            .min(Micros::from(u16::MAX)) as u16,
        drains: seen.draining,
        started_s: seen.started.map_or(0, |at| (at / 1_000_000) as u32),
    }
}
