//! The section `gossip.overload`: load shed by the fleet as one.

use hallmux::interface::{Agreement, EngineBudgets, Micros, RetryAllowance};
use serde::Deserialize;

use super::checker::key_error;
use crate::error::{Error, KeyProblem};

/// Retries for each hundred first executions, over all fronts.
const DEFAULT_RETRY_PERCENT: u32 = 8;
/// New connections a second into one engine, over all fronts.
const DEFAULT_CONNECTIONS_PER_SECOND: u32 = 200;
/// Probes a second into one engine, over all fronts.
const DEFAULT_PROBES_PER_SECOND: u32 = 100;
/// Connections or probes a second.
const MAX_RATE_PER_SECOND: u32 = 1_000_000;
/// Microseconds over which retries are counted, where the settings name no window.
const DEFAULT_RETRY_WINDOW: Micros = 10_000_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadFile {
    #[serde(default = "default_further_percent")]
    further_percent: u32,
    #[serde(default = "default_connections_per_second")]
    connections_per_second: u32,
    #[serde(default = "default_probes_per_second")]
    probes_per_second: u32,
}

fn default_connections_per_second() -> u32 {
    DEFAULT_CONNECTIONS_PER_SECOND
}

fn default_probes_per_second() -> u32 {
    DEFAULT_PROBES_PER_SECOND
}

fn default_further_percent() -> u32 {
    DEFAULT_RETRY_PERCENT
}

/// The fleet sheds load as one. It keeps retries to a share of first executions over all fronts, and new connections
/// and probes into each engine to so many a second; 0: no bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Retries for each hundred first executions, over all fronts.
    pub retry_percent: u32,
    /// New connections into one engine, over all fronts.
    pub connections_per_second: u32,
    /// Probes into one engine, over all fronts.
    pub probes_per_second: u32,
}

impl Default for Overload {
    fn default() -> Overload {
        Overload {
            retry_percent: DEFAULT_RETRY_PERCENT,
            connections_per_second: DEFAULT_CONNECTIONS_PER_SECOND,
            probes_per_second: DEFAULT_PROBES_PER_SECOND,
        }
    }
}

/// Checks the section.
pub fn check_overload(text: &str, file: OverloadFile) -> Result<Overload, Error> {
    if file.further_percent > 100 {
        return Err(key_error(
            text,
            "gossip.overload.further_percent",
            KeyProblem::above_maximum(100),
        ));
    }
    for (key, value) in [
        ("connections_per_second", file.connections_per_second),
        ("probes_per_second", file.probes_per_second),
    ] {
        if value > MAX_RATE_PER_SECOND {
            return Err(key_error(
                text,
                &format!("gossip.overload.{key}"),
                KeyProblem::above_maximum(MAX_RATE_PER_SECOND),
            ));
        }
    }
    Ok(Overload {
        retry_percent: file.further_percent,
        connections_per_second: file.connections_per_second,
        probes_per_second: file.probes_per_second,
    })
}

impl Overload {
    /// Each front's part of the fleet's budget: its own first executions count, and what the settings leave
    /// to spare is divided by the fronts, so that one that has just started has little.
    pub fn apply(&self, agreement: &mut Agreement) {
        let agreed = agreement.retry_allowance.unwrap_or(RetryAllowance {
            spare: 0.0,
            ratio: f64::INFINITY,
            window: DEFAULT_RETRY_WINDOW,
        });
        let ratio = f64::from(self.retry_percent) / 100.0;
        agreement.retry_allowance = Some(RetryAllowance {
            spare: agreed.spare / agreement.fronts.max(1.0),
            ratio: agreed.ratio.min(ratio),
            ..agreed
        });
        let connections = rate_limit(self.connections_per_second);
        let probes = rate_limit(self.probes_per_second);
        let is_limited = connections.is_finite() || probes.is_finite();
        agreement.budgets = is_limited.then_some(EngineBudgets {
            connections,
            probes,
        });
    }
}

/// A bound a second; 0 is none.
fn rate_limit(per_second: u32) -> f64 {
    match per_second {
        0 => f64::INFINITY,
        limit => f64::from(limit),
    }
}

#[cfg(test)]
#[path = "overload_tests.rs"]
mod tests;
