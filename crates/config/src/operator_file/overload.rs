//! The section `gossip.overload`: load shed by the fleet as one.

use hallmux::interface::{Agreement, EngineBudgets, FurtherBudget, Micros};
use serde::Deserialize;

use super::position::key_error;
use crate::error::{Error, KeyProblem};

const FURTHER_PERCENT: u32 = 8; // further executions to first ones; of those let in, which count, a fifth never leaves
const CONNECTIONS_PER_SECOND: u32 = 200; // into one engine: at some 5 ms for a start and a login, one core
const PROBES_PER_SECOND: u32 = 100; // into one engine: at some 0.3 ms each, a thirtieth of a core
const MOST_PER_SECOND: u32 = 1_000_000; // of either; more is no budget
const WINDOW: Micros = 10_000_000; // microseconds over which that is counted, where the settings name no window

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadFile {
    #[serde(default = "further_percent")]
    further_percent: u32,
    #[serde(default = "connections_per_second")]
    connections_per_second: u32,
    #[serde(default = "probes_per_second")]
    probes_per_second: u32,
}

fn connections_per_second() -> u32 {
    CONNECTIONS_PER_SECOND
}

fn probes_per_second() -> u32 {
    PROBES_PER_SECOND
}

fn further_percent() -> u32 {
    FURTHER_PERCENT
}

/// The fleet sheds as one, and keeps further executions to a share of first ones over all fronts, and new
/// connections and probes into each engine to so many a second; 0: no bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Further executions for each hundred first ones, over all fronts.
    pub further_percent: u32,
    /// New connections into one engine, over all fronts.
    pub connections_per_second: u32,
    /// Probes into one engine, over all fronts.
    pub probes_per_second: u32,
}

impl Default for Overload {
    fn default() -> Overload {
        Overload {
            further_percent: FURTHER_PERCENT,
            connections_per_second: CONNECTIONS_PER_SECOND,
            probes_per_second: PROBES_PER_SECOND,
        }
    }
}

/// Checks the section.
pub fn overload(text: &str, file: OverloadFile) -> Result<Overload, Error> {
    if file.further_percent > 100 {
        return Err(key_error(
            text,
            "gossip.overload.further_percent",
            KeyProblem::above_maximum(100),
        ));
    }
    let OverloadFile {
        further_percent,
        connections_per_second,
        probes_per_second,
    } = file;
    for (key, value) in [
        ("connections_per_second", connections_per_second),
        ("probes_per_second", probes_per_second),
    ] {
        if value > MOST_PER_SECOND {
            return Err(key_error(
                text,
                &format!("gossip.overload.{key}"),
                KeyProblem::above_maximum(MOST_PER_SECOND),
            ));
        }
    }
    Ok(Overload {
        further_percent,
        connections_per_second,
        probes_per_second,
    })
}

impl Overload {
    /// Each front's part of the fleet's budget: its own first executions count, and what the settings leave
    /// to spare is divided by the fronts, so that one that has just started has little.
    pub fn apply(&self, agreement: &mut Agreement) {
        let agreed = agreement.further.unwrap_or(FurtherBudget {
            spare: 0.0,
            ratio: f64::INFINITY,
            window: WINDOW,
        });
        let spare = agreed.spare / agreement.fronts.max(1.0);
        agreement.further = Some(FurtherBudget {
            spare,
            ratio: agreed.ratio.min(f64::from(self.further_percent) / 100.0),
            ..agreed
        });
        let most = |a_second: u32| {
            if a_second > 0 {
                f64::from(a_second)
            } else {
                f64::INFINITY
            }
        };
        let (connections, probes) = (
            most(self.connections_per_second),
            most(self.probes_per_second),
        );
        let bounded = connections.is_finite() || probes.is_finite();
        agreement.budgets = bounded.then_some(EngineBudgets {
            connections,
            probes,
        });
    }
}

#[cfg(test)]
#[path = "overload_tests.rs"]
mod tests;
