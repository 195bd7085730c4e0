//! What other fronts report of engines, as plain figures: nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;

/// An adverse report of one front on one engine.
#[derive(Clone, Copy)]
pub struct Adverse {
    /// The share of failures, or how sure silence is to be a fault: above 0 up to 1.
    pub severity: f64,
    /// When it is worth nothing any more.
    pub until: Micros,
}

/// Engines that credible fronts report adversely on, and those fronts.
pub struct Suspects {
    pub engines: Vec<EngineId>,
    pub reporters: BTreeSet<usize>,
}

/// Adverse reports of other fronts on engines, each until it expires, and the credibility of those fronts.
#[derive(Default)]
pub struct PeerReports {
    pub adverse: BTreeMap<(EngineId, usize), Adverse>,
    credibility: BTreeMap<usize, f64>,
}

impl PeerReports {
    /// The credibility of a front, or the initial one of a front that has not been proved right or wrong yet.
    pub fn credibility(&self, reporter: usize, initial: f64) -> f64 {
        self.credibility.get(&reporter).copied().unwrap_or(initial)
    }

    /// The adverse reports on an engine, each with its reporter.
    pub fn on(&self, e: EngineId) -> impl Iterator<Item = (usize, Adverse)> + '_ {
        self.adverse
            .range((e, 0)..(e + 1, 0))
            .map(|((_, reporter), report)| (*reporter, *report))
    }

    /// Those of these engines that fronts of at least such a credibility report adversely on.
    pub fn suspects(&self, engines: &[EngineId], least: f64, initial: f64) -> Suspects {
        let mut suspects = Suspects {
            engines: Vec::new(),
            reporters: BTreeSet::new(),
        };
        for e in engines {
            let reporters = self.on(*e).map(|(reporter, _)| reporter);
            let credible = |reporter: &usize| self.credibility(*reporter, initial) >= least;
            let mut credible = reporters.filter(credible).peekable();
            suspects.engines.extend(credible.peek().map(|_| *e));
            suspects.reporters.extend(credible);
        }
        suspects
    }

    /// The reporters on an engine were proved right or wrong: their credibility changes.
    pub fn proved(&mut self, e: EngineId, initial: f64, change: impl Fn(f64) -> f64) {
        for ((_, reporter), _) in self.adverse.range((e, 0)..(e + 1, 0)) {
            let credibility = self.credibility.entry(*reporter).or_insert(initial);
            *credibility = change(*credibility);
        }
    }

    /// Lets go of the reports that are worth nothing any more.
    pub fn expire(&mut self, now: Micros) {
        self.adverse.retain(|_, report| report.until > now);
    }

    /// Lets go of all reports on an engine.
    pub fn forget(&mut self, e: EngineId) {
        self.adverse.retain(|(at, _), _| *at != e);
    }
}
