//! Health checks: selects the engines to probe now.
//!
//! Inputs: the arrived statements, the probes per second that this front may send, and which
//! engines are open.
//!
//! If load reports arrive only with answers to probes, engines are probed in rotation, and each
//! arrived statement earns probes, so a front without traffic sends none. Engines of evacuated
//! zones are probed at a rate of the whole fleet.
//!
//! Source: our extension, `docs/design.md`, "Probes".

use crate::interface::{Agreement, EngineId, Micros, SECOND};
use crate::token_bucket::TokenBucket;

/// Minimum time between two probes of an engine.
const MIN_PROBE_INTERVAL: Micros = SECOND / 2;
/// Probes that each arrived statement earns.
const PROBES_PER_STATEMENT: f64 = 1.0;
/// Maximum number of earned probes that are kept.
const MAX_EARNED_PROBES: f64 = 8.0;
/// Probes per second of evacuated zones, over all fronts.
const FLEET_PROBES_PER_SECOND: f64 = 4.0;

/// The state of this front's health checks.
#[derive(Default)]
pub struct HealthChecks {
    /// Whether probes are allowed and are the only source of load reports.
    enabled: bool,
    /// Probes that arrived statements have earned.
    earned_probes: f64,
    /// The engine to probe next.
    next: usize,
    /// Rate limit by this front's share of the fleet's budget.
    tokens: TokenBucket,
    /// When each engine was last probed.
    last_probed_at: Vec<Micros>,
}

impl HealthChecks {
    /// Creates the state before any probe. `first_token` and `first_engine` are random draws in
    /// [0, 1), so that fronts that start together probe at different times.
    pub fn new(agreement: &Agreement, first_token: f64, first_engine: f64) -> Self {
        HealthChecks {
            enabled: agreement.report_on_probe && agreement.probes,
            next: (first_engine * 256.0) as usize,
            tokens: TokenBucket::new(first_token),
            ..HealthChecks::default()
        }
    }

    /// Extends the state to the given number of engines.
    pub fn resize(&mut self, engines: usize) {
        self.last_probed_at.resize(engines, 0);
    }

    /// Adds the probes that an arrived statement earns.
    pub fn record_statement(&mut self) {
        self.earned_probes = (self.earned_probes + PROBES_PER_STATEMENT).min(MAX_EARNED_PROBES);
    }

    /// The expected number of probes of evacuated zones in an interval, over all fronts.
    pub fn fleet_probes_in(interval: Micros) -> f64 {
        FLEET_PROBES_PER_SECOND * interval as f64 / SECOND as f64
    }

    /// Calls `probe` for each engine that is due, in rotation. `probes_per_s` is this front's
    /// budget per engine.
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
