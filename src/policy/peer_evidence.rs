//! Peer evidence: what do other fronts' reports take from an engine, and which zones does the fleet evacuate?
//!
//! Inputs: other fronts' reports (failures, answers, silence in microseconds), what engines showed here.
//! Reason: a front among many hears of an engine too seldom to find a fault alone, but no single front may take an
//! engine away from the others. A reporter's credibility, 0 to 1, follows what the engines then show here.
//! Source: our extension, `docs/design/fleet.md`.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{EngineId, Micros, PeerReport, SECOND};
use crate::policy::stuck_attempts::MAX_SILENT_RUNS;

/// Credibility of a front that has not been proved right or wrong yet, and from which a front is believed.
const INITIAL_CREDIBILITY: f64 = 0.5;
/// Credibility gained for each report that proves true.
const CREDIBILITY_PER_TRUE_REPORT: f64 = 0.1;
/// Factor on the credibility of a front whose adverse report proves false.
const CREDIBILITY_FACTOR_FALSE_REPORT: f64 = 0.8;
/// Age at which a report is worth nothing.
const PEER_REPORT_LIFETIME: Micros = 8 * SECOND;
/// Share of failures or silence from which a report counts as adverse.
const MIN_ADVERSE_SEVERITY: f64 = 0.3;
/// The most that reports take of a limit, however many there are.
const MAX_SUSPICION: f64 = 0.5;
/// The most that one reporter adds to an engine's suspicion.
const MAX_SUSPICION_PER_REPORTER: f64 = 0.5;

/// What this front knows of the engine that a report is on.
pub struct ReportContext {
    /// The longest of all workloads' usual runs, in microseconds.
    pub longest_mean_run: f64,
    /// The engine's last start, as far as is known: what was reported before is over.
    pub healthy_since: Micros,
    /// The time now.
    pub now: Micros,
}

/// What follows from a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report is kept, or counts for nothing.
    Recorded,
    /// A quorum has found an engine of an evacuated zone healthy.
    FoundHealthy,
}

/// What follows from an engine found healthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneOutcome {
    /// Its zone is as it was.
    Unchanged,
    /// Its zone was evacuated and is used again.
    Reopened,
}

/// An adverse report of one front on one engine.
#[derive(Clone, Copy)]
struct AdverseReport {
    /// The share of failures, or how sure silence is to be a fault: above 0 up to 1.
    severity: f64,
    /// When it is worth nothing any more.
    until: Micros,
}

/// Engines that believed fronts report adversely on, and those fronts.
struct Suspects {
    engines: Vec<EngineId>,
    reporters: BTreeSet<usize>,
}

/// Adverse reports, the credibility of their reporters, and the evacuated zones.
#[derive(Default)]
pub struct PeerEvidence {
    /// Believed reporters that evacuate a zone together; 0: none do.
    quorum: usize,
    adverse: BTreeMap<(EngineId, usize), AdverseReport>,
    credibility: BTreeMap<usize, f64>,
    /// Suspects in evacuated zones, each with the other fronts that have found it healthy since.
    evacuated: BTreeMap<EngineId, BTreeSet<usize>>,
}

impl PeerEvidence {
    /// Nothing has been reported yet.
    pub fn new(quorum: usize) -> Self {
        PeerEvidence {
            quorum,
            ..PeerEvidence::default()
        }
    }

    /// Whether there is any adverse report.
    pub fn has_adverse(&self) -> bool {
        !self.adverse.is_empty()
    }

    /// Whether any zone is evacuated.
    pub fn has_evacuated(&self) -> bool {
        !self.evacuated.is_empty()
    }

    /// Whether a zone with these engines is evacuated.
    pub fn is_evacuated(&self, mut zone: impl Iterator<Item = EngineId>) -> bool {
        self.has_evacuated() && zone.any(|engine| self.evacuated.contains_key(&engine))
    }

    /// Whether an engine is a suspect of an evacuated zone.
    pub fn is_suspect(&self, engine: EngineId) -> bool {
        self.evacuated.contains_key(&engine)
    }

    /// The suspects of evacuated zones.
    pub fn suspects(&self) -> impl Iterator<Item = EngineId> + '_ {
        self.evacuated.keys().copied()
    }

    /// The share of an engine's limit that reports leave, outside evacuated zones: one believed front takes half
    /// of `MAX_SUSPICION` at most, fading with age.
    pub fn limit_share(&self, engine: EngineId, now: Micros) -> f64 {
        let weighted_severity = |(reporter, report): (usize, AdverseReport)| {
            let left = (report.until - now).max(0) as f64 / PEER_REPORT_LIFETIME as f64;
            (self.credibility_of(reporter) * report.severity * left.sqrt())
                .min(MAX_SUSPICION_PER_REPORTER)
        };
        let suspicion = MAX_SUSPICION
            * self
                .adverse_reports_on(engine)
                .map(weighted_severity)
                .sum::<f64>()
                .min(1.0);
        1.0 - suspicion
    }

    /// Takes a report. `zone` gives the engines of the zone of the engine reported on.
    pub fn record(
        &mut self,
        report: &PeerReport,
        context: &ReportContext,
        zone: impl FnOnce() -> Vec<EngineId>,
    ) -> ReportOutcome {
        let severity = severity(report, context.longest_mean_run);
        let (engine, reporter) = (report.engine, report.reporter);
        let until = context.now - report.age + PEER_REPORT_LIFETIME;
        self.adverse.retain(|_, report| report.until > context.now);
        let current = until - PEER_REPORT_LIFETIME >= context.healthy_since;
        if severity >= MIN_ADVERSE_SEVERITY && until > context.now && current {
            self.adverse
                .insert((engine, reporter), AdverseReport { severity, until });
            self.evacuate(&zone());
            ReportOutcome::Recorded
        } else {
            self.adverse.remove(&(engine, reporter));
            self.record_healthy_report(report)
        }
    }

    /// A report that isn't adverse may say that a suspect is healthy; a quorum of believed fronts decides.
    fn record_healthy_report(&mut self, report: &PeerReport) -> ReportOutcome {
        if !self.is_credible(report.reporter) || !report.answers() {
            return ReportOutcome::Recorded;
        }
        let Some(healthy_reporters) = self.evacuated.get_mut(&report.engine) else {
            return ReportOutcome::Recorded;
        };
        if healthy_reporters.insert(report.reporter) && healthy_reporters.len() >= self.quorum {
            ReportOutcome::FoundHealthy
        } else {
            ReportOutcome::Recorded
        }
    }

    /// Adverse reports on most of a zone from believed fronts at as many vantages as agreed decide for the
    /// fleet: it is evacuated, and stays so when the reports fade, as nobody has anything out there by then.
    fn evacuate(&mut self, zone: &[EngineId]) {
        let suspects = self.suspects_of(zone);
        let quorum = self.quorum > 0 && suspects.reporters.len() >= self.quorum;
        if quorum && 2 * suspects.engines.len() > zone.len() {
            for engine in suspects.engines {
                self.evacuated.entry(engine).or_default();
            }
        }
    }

    /// An engine is healthy: once half of its evacuated zone is, the zone is used again.
    pub fn mark_healthy(&mut self, engine: EngineId, zone: &[EngineId]) -> ZoneOutcome {
        self.evacuated.remove(&engine);
        let suspects = zone.iter().filter(|e| self.is_suspect(**e)).count();
        if 2 * suspects > zone.len() {
            return ZoneOutcome::Unchanged;
        }
        for engine in zone {
            self.evacuated.remove(engine);
            self.clear_reports(*engine);
        }
        ZoneOutcome::Reopened
    }

    /// An engine has answered in time here: adverse reports on it were wrong.
    pub fn refute_reports(&mut self, engine: EngineId) {
        self.change_credibility(engine, |c| c * CREDIBILITY_FACTOR_FALSE_REPORT);
    }

    /// An engine has failed here: adverse reports on it were right.
    pub fn confirm_reports(&mut self, engine: EngineId) {
        self.change_credibility(engine, |c| (c + CREDIBILITY_PER_TRUE_REPORT).min(1.0));
    }

    /// Lets go of all reports on an engine.
    pub fn clear_reports(&mut self, engine: EngineId) {
        self.adverse.retain(|(at, _), _| *at != engine);
    }

    fn change_credibility(&mut self, engine: EngineId, change: impl Fn(f64) -> f64) {
        for ((_, reporter), _) in self.adverse.range((engine, 0)..(engine + 1, 0)) {
            let credibility = self
                .credibility
                .entry(*reporter)
                .or_insert(INITIAL_CREDIBILITY);
            *credibility = change(*credibility);
        }
    }

    fn credibility_of(&self, reporter: usize) -> f64 {
        let known = self.credibility.get(&reporter).copied();
        known.unwrap_or(INITIAL_CREDIBILITY)
    }

    fn is_credible(&self, reporter: usize) -> bool {
        self.credibility_of(reporter) >= INITIAL_CREDIBILITY
    }

    /// The adverse reports on an engine, each with its reporter.
    fn adverse_reports_on(
        &self,
        engine: EngineId,
    ) -> impl Iterator<Item = (usize, AdverseReport)> + '_ {
        self.adverse
            .range((engine, 0)..(engine + 1, 0))
            .map(|((_, reporter), report)| (*reporter, *report))
    }

    fn suspects_of(&self, zone: &[EngineId]) -> Suspects {
        let mut suspects = Suspects {
            engines: Vec::new(),
            reporters: BTreeSet::new(),
        };
        for engine in zone {
            let reporters = self
                .adverse_reports_on(*engine)
                .map(|(reporter, _)| reporter);
            let mut credible = reporters
                .filter(|reporter| self.is_credible(*reporter))
                .peekable();
            if credible.peek().is_some() {
                suspects.engines.push(*engine);
            }
            suspects.reporters.extend(credible);
        }
        suspects
    }
}

/// The share of failures, or how sure silence is to be a fault, 0 to 1; long statements are silent too.
fn severity(report: &PeerReport, longest_mean_run: f64) -> f64 {
    let excess = (report.silent as f64 - MAX_SILENT_RUNS * longest_mean_run).max(0.0);
    let silence = excess / (excess + SECOND as f64);
    (report.failed / (report.failed + report.answered + 1.0)).max(silence)
}

#[cfg(test)]
#[path = "peer_evidence_tests.rs"]
mod tests;
