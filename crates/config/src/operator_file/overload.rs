//! The section `gossip.overload`: overload protection with limits for the whole fleet.

use hallmux::interface::{Agreement, EngineBudgets, Micros, RetryAllowance};
use serde::Deserialize;

use super::checker::key_error;
use crate::error::{Error, KeyProblem};

/// Maximum number of retries for each hundred first executions, over all fronts.
const DEFAULT_RETRY_PERCENT: u32 = 8;
/// Maximum number of new connections to one engine a second, over all fronts.
const DEFAULT_CONNECTIONS_PER_SECOND: u32 = 200;
/// Maximum number of probes of one engine a second, over all fronts.
const DEFAULT_PROBES_PER_SECOND: u32 = 100;
/// Upper bound of the limits of connections and probes a second.
const MAX_RATE_PER_SECOND: u32 = 1_000_000;
/// Microseconds over which retries are counted if the settings have no retry allowance.
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

/// Limits that the fleet applies as a whole: retries as a share of first executions, and new
/// connections and probes for each engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Maximum number of retries for each hundred first executions, over all fronts.
    pub retry_percent: u32,
    /// Maximum number of new connections to one engine a second, over all fronts; 0: unlimited.
    pub connections_per_second: u32,
    /// Maximum number of probes of one engine a second, over all fronts; 0: unlimited.
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
    /// Sets this front's part of the fleet's budgets. Its retries are limited by its own first
    /// executions, and the spare attempts of the settings are divided by the number of fronts, so
    /// that a front that has just started has few.
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

/// A limit a second; 0 means unlimited.
fn rate_limit(per_second: u32) -> f64 {
    match per_second {
        0 => f64::INFINITY,
        limit => f64::from(limit),
    }
}

#[cfg(test)]
#[path = "overload_tests.rs"]
mod tests;
