//! The operator's file as a whole: its sections, and the keys outside any section.

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

/// Maximum clock offset in milliseconds, ahead or behind.
const MAX_CLOCK_OFFSET_MS: f64 = 600_000.0;

/// The file's keys. The type names of the file and of its sections appear in error texts.
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

/// The features that the operator's file enables.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// PostgreSQL sessions; None: off.
    pub postgres: Option<Postgres>,
    /// Messages between fronts, and the features that depend on them; None: off.
    pub gossip: Option<Gossip>,
    /// Regional access rules of customers; None: off.
    pub rules: Option<Rules>,
    /// Statements that are sent to several sites; None: off.
    pub scatter: Option<Scatter>,
    /// The figure of the engines' load reports that measures their load; None: the settings' report
    /// names decide.
    pub load_signal: Option<LoadSignal>,
    /// For fault injection: the offset of this front's clock from the machine's; positive: ahead.
    pub clock_offset: Micros,
}

/// The load figure in the engines' reports. The earlier form of deployment reports the statements
/// in flight; the later one reports only the utilization, the share of cores busy, with the
/// statements that wait for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// The number of statements in flight.
    InFlight,
    /// The share of cores busy.
    Utilization,
}

impl LoadSignal {
    /// The name of the figure in the settings' `report.names`.
    fn report_figure(self) -> &'static str {
        match self {
            LoadSignal::InFlight => "active",
            LoadSignal::Utilization => "cpu",
        }
    }
}

impl OperatorConfig {
    /// Applies the operator's file to the agreement.
    pub(crate) fn apply(&self, agreement: &mut Agreement) {
        self.apply_load_signal(&mut agreement.report);
        let Some(gossip) = &self.gossip else { return };
        agreement.zone_quorum = gossip.zone_quorum;
        if let Some(overload) = &gossip.overload {
            overload.apply(agreement);
        }
    }

    /// Makes the decision module read only the selected load figure.
    pub fn apply_load_signal(&self, report: &mut ReportLayout) {
        match self.load_signal {
            Some(LoadSignal::InFlight) => report.busy = None,
            Some(LoadSignal::Utilization) => report.active = None,
            None => {}
        }
    }
}

impl OperatorConfig {
    /// Parses the file's text and checks it against the settings. An error names the line and the
    /// key.
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

/// Parses the text without checking the contents of its sections.
fn parse_file(text: &str) -> Result<File, Error> {
    check_depth(text)?;
    // A first pass checks only the syntax, because the second does not read text after the end of
    // the value.
    json5::from_str::<serde::de::IgnoredAny>(text).map_err(|e| malformed(&e))?;
    let mut reader = json5::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| rejected(text, &e.path().to_string(), e.inner()))
}

/// Checks that a ledger is configured if loads are marked, as load markers are stored in it.
fn check_load_markers(
    text: &str,
    scatter: Option<&Scatter>,
    gossip: Option<&Gossip>,
) -> Result<(), Error> {
    let marks_loads = scatter.is_some_and(|scatter| scatter.marks_loads);
    let has_ledger = gossip.is_some_and(|gossip| gossip.ledger.is_some());
    if marks_loads && !has_ledger {
        let problem = "'marked' needs gossip.ledger, which stores load markers; add it, or give 'none' if no load goes through fronts";
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

/// Parses the load signal. A figure that is missing from the settings' reports is rejected, because
/// the front would read no load at all.
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
