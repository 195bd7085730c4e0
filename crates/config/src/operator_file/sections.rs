//! The whole file: its sections, and the keys that belong to none of them.

use hallmux::interface::{Agreement, Micros, ReportLayout};
use serde::Deserialize;

use crate::settings::{micros, Settings};

use super::checker::{key_error, malformed, rejected};
use super::gossip::{check_gossip, Gossip, GossipFile};
use super::postgres::{check_postgres, Postgres, PostgresFile};
use super::rules::{check_rules, Rules, RulesFile};
use super::scatter::{check_scatter, Scatter, ScatterFile};
use crate::error::{Error, KeyProblem};
use crate::text::check_depth;

/// Milliseconds by which a clock may be set off either way.
const MAX_CLOCK_OFFSET_MS: f64 = 600_000.0;

/// The file as it is written. Its name is part of errors' texts, as are those of the sections' types.
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

impl LoadSignal {
    /// The name that the settings give the figure in a load report.
    fn report_figure(self) -> &'static str {
        match self {
            LoadSignal::InFlight => "active",
            LoadSignal::Utilization => "cpu",
        }
    }
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
        let file = parse_file(text)?;
        let postgres = file
            .postgres
            .map(|section| check_postgres(text, section, settings))
            .transpose()?;
        let gossip = file
            .gossip
            .map(|section| check_gossip(text, section))
            .transpose()?;
        let rules = file
            .rules
            .map(|section| check_rules(text, section, settings))
            .transpose()?;
        let scatter = file
            .scatter
            .map(|section| check_scatter(text, section, settings))
            .transpose()?;
        check_load_markers(text, scatter.as_ref(), gossip.as_ref())?;
        let load_signal = file
            .load_signal
            .map(|word| parse_load_signal(text, &word, settings))
            .transpose()?;
        let clock_offset = clock_offset(text, file.clock_ahead_ms)?;
        Ok(OperatorConfig {
            postgres,
            gossip,
            rules,
            scatter,
            load_signal,
            clock_offset,
        })
    }
}

/// Reads the text; what its sections say is still to be checked.
fn parse_file(text: &str) -> Result<File, Error> {
    check_depth(text)?;
    // Once for the form alone, as only that pass sees what follows the end.
    json5::from_str::<serde::de::IgnoredAny>(text).map_err(|e| malformed(&e))?;
    let mut reader = json5::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| rejected(text, &e.path().to_string(), e.inner()))
}

/// Marks of loads stand in the ledger.
fn check_load_markers(
    text: &str,
    scatter: Option<&Scatter>,
    gossip: Option<&Gossip>,
) -> Result<(), Error> {
    let marks_loads = scatter.is_some_and(|scatter| scatter.marks_loads);
    let has_ledger = gossip.is_some_and(|gossip| gossip.ledger.is_some());
    if marks_loads && !has_ledger {
        let problem = "'marked' needs gossip.ledger, where marks stand; add it, or say 'none' where no load goes through fronts";
        return Err(key_error(text, "scatter.loads", problem));
    }
    Ok(())
}

fn clock_offset(text: &str, ahead_ms: f64) -> Result<Micros, Error> {
    if !ahead_ms.is_finite() || ahead_ms.abs() > MAX_CLOCK_OFFSET_MS {
        return Err(key_error(
            text,
            "clock_ahead_ms",
            KeyProblem::out_of_range(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS),
        ));
    }
    Ok(micros(ahead_ms))
}

/// A shape of deployment that the settings' reports do not have is refused: the front would read nothing.
fn parse_load_signal(text: &str, word: &str, settings: &Settings) -> Result<LoadSignal, Error> {
    let signal = match word {
        "in_flight" => LoadSignal::InFlight,
        "utilization" => LoadSignal::Utilization,
        _ => {
            let problem = format!(
                "'{word}' is neither 'in_flight' nor 'utilization'; give one of them, or leave the key out"
            );
            return Err(key_error(text, "load_signal", problem));
        }
    };
    let figure = signal.report_figure();
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
