//! Reports on engines: sends this front's observations, and passes the reports of other fronts to
//! the dispatcher.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hallmux_dispatcher::{Dispatcher, EngineObservation, Micros};
use hallmux_gossip::evidence::PeerReport;
use hallmux_gossip::message::EngineStatus;
use hallmux_gossip::PeerId;

use super::Exchange;
use crate::{engine_hash, ClockReading};

/// Granularity of reported silence in milliseconds. Each step is a new report that all fronts
/// forward, so finer steps cost more traffic.
const SILENCE_STEP_MS: Micros = 500;
/// Maximum number of reporters that the dispatcher distinguishes in one incarnation of this front.
/// Once this number is reached, no further reports are passed to the dispatcher.
const MAX_REPORTERS: usize = 4_096;

/// A peer and the hash of an engine that it reports on.
pub(super) type ReportedEngine = (PeerId, u64);

impl Exchange {
    /// Reports this front's observations of engines, by longest silence and then by most failures,
    /// and its ownership report; applies the ownership reports of other fronts.
    pub(super) fn report_observations(&mut self, at: ClockReading, dispatcher: &mut Dispatcher) {
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
            ownership.apply_reports(at, &self.node, dispatcher);
        }
    }

    /// Passes changed peer reports to the dispatcher; returns those on engines that the peer's
    /// previous report did not list.
    pub(super) fn pass_peer_reports(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
    ) -> Vec<PeerReport> {
        let reports = self.node.peer_reports(now);
        for report in &reports {
            let known = self.known_reports.get(&reported_engine(report));
            // The number of reporters is bounded, because a front that changes its key counts as a
            // new reporter.
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

/// Passes a report to the dispatcher under the reporter's number.
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
    dispatcher.record_peer_report(now, reporter, is_engine, &observation, report.age);
}

/// Converts an observation of an engine to the form sent to other fronts.
fn sighting(observation: &EngineObservation) -> EngineStatus {
    EngineStatus {
        engine: engine_hash(observation.id),
        failed: observation.failed.min(255.0) as u8,
        answered: observation.answered.min(255.0) as u8,
        silent_ms: (observation.silent / 1000 / SILENCE_STEP_MS * SILENCE_STEP_MS)
            .min(Micros::from(u16::MAX)) as u16,
        drains: observation.draining,
        started_s: observation.started.map_or(0, |at| (at / 1_000_000) as u32),
    }
}
