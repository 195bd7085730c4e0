//! Peer evidence: decides how far peer reports reduce an engine's limit and which zones the fleet
//! evacuates.
//!
//! Inputs: peer reports (failures, answers, silence in microseconds) and this front's own results.
//!
//! A front among many uses each engine too seldom to detect a fault alone, but no single front may
//! take an engine away from the others. A reporter's credibility, 0 to 1, depends on how the
//! engines then behave at this front.
//!
//! Source: our extension, `docs/design/fleet.md`.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{EngineId, Micros, PeerReport, SECOND};
use crate::policy::stuck_attempts::MAX_SILENT_RUNS;

/// Initial credibility of a reporter, and the minimum for its reports to count for evacuations.
const INITIAL_CREDIBILITY: f64 = 0.5;
/// Credibility gained per confirmed report.
const CREDIBILITY_PER_TRUE_REPORT: f64 = 0.1;
/// Factor on the credibility of a front per refuted adverse report.
const CREDIBILITY_FACTOR_FALSE_REPORT: f64 = 0.8;
/// Age at which a report expires.
const PEER_REPORT_LIFETIME: Micros = 8 * SECOND;
/// Severity of failures or silence from which a report counts as adverse.
const MIN_ADVERSE_SEVERITY: f64 = 0.3;
/// Largest share of a limit that reports take, however many there are.
const MAX_SUSPICION: f64 = 0.5;
/// Largest share of an engine's suspicion that one reporter adds.
const MAX_SUSPICION_PER_REPORTER: f64 = 0.5;

/// What this front knows of the engine that a report is about.
pub struct ReportContext {
    /// The longest mean run time of all workloads, in microseconds.
    pub longest_mean_run: f64,
    /// The engine's last known start. Older reports no longer apply.
    pub healthy_since: Micros,
    /// The current time.
    pub now: Micros,
}

/// The result of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report was stored or ignored.
    Recorded,
    /// A quorum reported that an engine of an evacuated zone is healthy.
    FoundHealthy,
}

/// The effect of a healthy engine on its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneOutcome {
    /// The zone's state has not changed.
    Unchanged,
    /// The zone is in use and no longer evacuated.
    Reopened,
}

/// An adverse report of one front on one engine.
#[derive(Clone, Copy)]
struct AdverseReport {
    /// The share of failures, or the likelihood that a silence is a fault; above 0, up to 1.
    severity: f64,
    /// When the report expires.
    until: Micros,
}

/// Engines with adverse reports of credible fronts, and those fronts.
struct Suspects {
    engines: Vec<EngineId>,
    reporters: BTreeSet<usize>,
}

/// Adverse reports, the credibility of their reporters, and the evacuated zones.
#[derive(Default)]
pub struct PeerEvidence {
    /// Number of credible reporters that evacuate a zone; 0 turns evacuation off.
    quorum: usize,
    adverse: BTreeMap<(EngineId, usize), AdverseReport>,
    credibility: BTreeMap<usize, f64>,
    /// Suspects in evacuated zones, each with the peers that have since reported it healthy.
    evacuated: BTreeMap<EngineId, BTreeSet<usize>>,
}

impl PeerEvidence {
    /// Creates the state before any report.
    pub fn new(quorum: usize) -> Self {
        PeerEvidence {
            quorum,
            ..PeerEvidence::default()
        }
    }

    /// Whether any adverse report is stored.
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

    /// The share of an engine's limit that reports leave, outside evacuated zones. One reporter
    /// takes at most half of `MAX_SUSPICION`, and less as its report ages.
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

    /// Records a report. `zone` gives the engines in the zone of the reported engine.
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

    /// Counts a non-adverse report that a suspect answers. A quorum of credible fronts makes the
    /// suspect healthy.
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

    /// Evacuates a zone if credible fronts at the agreed number of vantages report adversely on
    /// most of its engines. The zone stays evacuated when the reports expire, as no front has
    /// executions in flight there by then.
    fn evacuate(&mut self, zone: &[EngineId]) {
        let suspects = self.suspects_of(zone);
        let quorum = self.quorum > 0 && suspects.reporters.len() >= self.quorum;
        if quorum && 2 * suspects.engines.len() > zone.len() {
            for engine in suspects.engines {
                self.evacuated.entry(engine).or_default();
            }
        }
    }

    /// Records that an engine is healthy. Once half of its evacuated zone is healthy, the zone
    /// reopens.
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

    /// Lowers the credibility of fronts with adverse reports on an engine that answered this front
    /// in time.
    pub fn refute_reports(&mut self, engine: EngineId) {
        self.change_credibility(engine, |c| c * CREDIBILITY_FACTOR_FALSE_REPORT);
    }

    /// Raises the credibility of fronts with adverse reports on an engine that failed at this
    /// front.
    pub fn confirm_reports(&mut self, engine: EngineId) {
        self.change_credibility(engine, |c| (c + CREDIBILITY_PER_TRUE_REPORT).min(1.0));
    }

    /// Removes all reports on an engine.
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

/// The severity of a report, 0 to 1: the share of failures, or the likelihood that a silence is a
/// fault. Silence below four times the longest mean run counts as 0, as long statements are silent
/// too.
fn severity(report: &PeerReport, longest_mean_run: f64) -> f64 {
    let excess = (report.silent as f64 - MAX_SILENT_RUNS * longest_mean_run).max(0.0);
    let silence = excess / (excess + SECOND as f64);
    (report.failed / (report.failed + report.answered + 1.0)).max(silence)
}

#[cfg(test)]
#[path = "peer_evidence_tests.rs"]
mod tests;
