//! Health checks: which engines are probed now?
//!
//! Inputs: the statements taken, the probes a second that this front may send, which engines are open.
//! Reason: where only probes bring load reports, engines are probed in rotation, as often as statements pay for: a front
//! without traffic asks nothing. Engines of evacuated zones are probed at a rate of the whole fleet's.
//! Source: our extension, `docs/design.md`, "Probes".

use crate::interface::{Agreement, EngineId, Micros, SECOND};
use crate::token_bucket::TokenBucket;

/// Least time between probes of an engine.
const MIN_PROBE_INTERVAL: Micros = SECOND / 2;
/// Probes that each statement taken pays for.
const PROBES_PER_STATEMENT: f64 = 1.0;
/// Probes that may be saved up.
const MAX_EARNED_PROBES: f64 = 8.0;
/// Probes a second into evacuated zones, of all fronts together.
const FLEET_PROBES_PER_SECOND: f64 = 4.0;

/// The health checks of this front.
#[derive(Default)]
pub struct HealthChecks {
    /// Probes are allowed, and only they bring load reports.
    enabled: bool,
    /// Probes that statements have paid for.
    earned_probes: f64,
    /// The engine that is probed next.
    next: usize,
    /// Of the fleet's budget.
    tokens: TokenBucket,
    /// When each engine was last probed.
    last_probed_at: Vec<Micros>,
}

impl HealthChecks {
    /// Nothing has been probed yet. `first_token` and `first_engine` are drawn, from 0 up to 1: fronts that start
    /// together probe apart.
    pub fn new(agreement: &Agreement, first_token: f64, first_engine: f64) -> Self {
        HealthChecks {
            enabled: agreement.report_on_probe && agreement.probes,
            next: (first_engine * 256.0) as usize,
            tokens: TokenBucket::new(first_token),
            ..HealthChecks::default()
        }
    }

    /// Makes place for so many engines.
    pub fn resize(&mut self, engines: usize) {
        self.last_probed_at.resize(engines, 0);
    }

    /// A statement is taken and pays for probes.
    pub fn record_statement(&mut self) {
        self.earned_probes = (self.earned_probes + PROBES_PER_STATEMENT).min(MAX_EARNED_PROBES);
    }

    /// Probes of evacuated zones in an interval, over all fronts.
    pub fn fleet_probes_in(interval: Micros) -> f64 {
        FLEET_PROBES_PER_SECOND * interval as f64 / SECOND as f64
    }

    /// Probes the engines that are due, in rotation. `probes_per_s` is this front's budget for each engine.
    pub fn probe_due(
        &mut self,
        open: &[bool],
        probes_per_s: f64,
        now: Micros,
        mut probe: impl FnMut(EngineId),
    ) {
        let engines = open.len();
        for _ in 0..engines {
            let engine = self.next % engines;
            let recent = self.last_probed_at[engine] > now - MIN_PROBE_INTERVAL;
            if !self.enabled || self.earned_probes < 1.0 || recent {
                return;
            }
            self.next = engine + 1;
            if open[engine] && self.tokens.try_take(probes_per_s * engines as f64, now) {
                self.earned_probes -= 1.0;
                self.last_probed_at[engine] = now;
                probe(engine);
            }
        }
    }
}

#[cfg(test)]
#[path = "health_checks_tests.rs"]
mod tests;
