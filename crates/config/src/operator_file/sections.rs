//! The whole file: its sections, and the keys that belong to none of them.

use hallmux::interface::{Agreement, Micros, ReportLayout};
use serde::Deserialize;

use crate::settings::{micros, Settings};

use super::gossip::{gossip, Gossip, GossipFile};
use super::position::{key_error, malformed, rejected};
use super::postgres::{postgres, Postgres, PostgresFile};
use super::rules::{rules, Rules, RulesFile};
use super::scatter::{scatter, Scatter, ScatterFile};
use crate::error::{Error, KeyProblem};
use crate::text::check_depth;

const MOST_AHEAD_MS: f64 = 600_000.0; // milliseconds either way; faults of clocks go no further

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    postgres: Option<PostgresFile>,
    gossip: Option<GossipFile>,
    rules: Option<RulesFile>,
    scatter: Option<ScatterFile>,
    load_signal: Option<String>,
    #[serde(default)]
    clock_ahead_ms: f64,
}

/// All that the operator has switched on.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// PostgreSQL sessions.
    pub postgres: Option<Postgres>,
    /// Messages between fronts, and what rests on them.
    pub gossip: Option<Gossip>,
    /// Regional access rules of customers.
    pub rules: Option<Rules>,
    /// Statements that are asked of several sites.
    pub scatter: Option<Scatter>,
    /// Which figure of the engines' load reports tells what they hold; where silent, as the settings name
    /// them.
    pub load_signal: Option<LoadSignal>,
    /// For fault injection: this front's clock reads so much more than the machine's; negative: less.
    pub clock_offset: Micros,
}

/// The shape of deployment as the engines' reports show it: they tell the statements in flight (the earlier
/// shape), or only their utilization, the share of cores busy, with statements waiting for memory (the
/// later).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// Reports tell the statements in flight.
    InFlight,
    /// Reports tell the share of cores busy.
    Utilization,
}

impl OperatorConfig {
    /// Changes what the settings agree by what the operator has chosen.
    pub(crate) fn apply(&self, agreement: &mut Agreement) {
        self.apply_load_signal(&mut agreement.report);
        let Some(gossip) = &self.gossip else { return };
        agreement.zone_quorum = gossip.zone_quorum;
        if let Some(overload) = &gossip.overload {
            overload.apply(agreement);
        }
    }

    /// Makes the decision module read the figure chosen and leave the other.
    pub fn apply_load_signal(&self, report: &mut ReportLayout) {
        match self.load_signal {
            Some(LoadSignal::InFlight) => report.busy = None,
            Some(LoadSignal::Utilization) => report.active = None,
            None => {}
        }
    }
}

impl OperatorConfig {
    /// Reads the file's text and checks it against the settings. An error names line and key.
    pub fn parse(text: &str, settings: &Settings) -> Result<OperatorConfig, Error> {
        // Once for the form alone, as only that pass sees what follows the end.
        check_depth(text)?;
        json5::from_str::<serde::de::IgnoredAny>(text).map_err(|e| malformed(&e))?;
        let mut reader = json5::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| rejected(text, &e.path().to_string(), e.inner()))?;
        let postgres = file
            .postgres
            .map(|p| postgres(text, p, settings))
            .transpose()?;
        let gossip = file.gossip.map(|g| gossip(text, g)).transpose()?;
        let rules = file.rules.map(|r| rules(text, r, settings)).transpose()?;
        let scatter = file
            .scatter
            .map(|s| scatter(text, s, settings))
            .transpose()?;
        let marked = scatter.as_ref().is_some_and(|scatter| scatter.marked);
        if marked && gossip.as_ref().is_none_or(|gossip| gossip.ledger.is_none()) {
            let problem = "'marked' needs gossip.ledger, where marks stand; add it, or say 'none' where no load goes through fronts";
            return Err(key_error(text, "scatter.loads", problem));
        }
        let load_signal = file
            .load_signal
            .map(|l| load_signal(text, &l, settings))
            .transpose()?;
        let ahead = file.clock_ahead_ms;
        if !ahead.is_finite() || ahead.abs() > MOST_AHEAD_MS {
            return Err(key_error(
                text,
                "clock_ahead_ms",
                KeyProblem::out_of_range(-MOST_AHEAD_MS, MOST_AHEAD_MS),
            ));
        }
        Ok(OperatorConfig {
            postgres,
            gossip,
            rules,
            scatter,
            load_signal,
            clock_offset: micros(ahead),
        })
    }
}

/// A shape of deployment that the settings' reports do not have is refused: the front would read nothing.
fn load_signal(text: &str, word: &str, settings: &Settings) -> Result<LoadSignal, Error> {
    let (signal, figure) = match word {
        "in_flight" => (LoadSignal::InFlight, "active"),
        "utilization" => (LoadSignal::Utilization, "cpu"),
        _ => {
            return Err(key_error(
                text,
                "load_signal",
                format!(
                "'{word}' is neither 'in_flight' nor 'utilization'; give one of them, or leave the key out"
            ),
            ))
        }
    };
    if settings.names.report.iter().any(|name| name == figure) {
        return Ok(signal);
    }
    let named = settings.names.report.join(", ");
    let problem = format!(
        "'{word}' needs '{figure}' among the settings' report.names, which are [{named}]; \
         give the other, or leave the key out"
    );
    Err(key_error(text, "load_signal", problem))
}

#[cfg(test)]
#[path = "sections_tests.rs"]
pub mod tests;
