//! The whole file: its parts, and what belongs to none of them.

use hallmux::interface::{Micros, ReportLayout};
use serde::Deserialize;

use crate::contract::{micros, Contract};

use super::gossip::{gossip, Gossip, GossipFile};
use super::places::{fault, malformed, refused};
use super::postgres::{postgres, Postgres, PostgresFile};
use super::rules::{rules, Rules, RulesFile};
use super::scatter::{scatter, Scatter, ScatterFile};
use crate::error::{Error, What};
use crate::text::shallow;

const MOST_AHEAD_MS: f64 = 600_000.0; // milliseconds either way; clocks further apart are not drilled

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
pub struct Operator {
    pub postgres: Option<Postgres>,
    pub gossip: Option<Gossip>,
    /// Regional access rules of customers.
    pub rules: Option<Rules>,
    /// Statements that are asked of several sites.
    pub scatter: Option<Scatter>,
    /// Which figure of the engines' load reports tells what they hold; where silent, as the settings name them.
    pub load_signal: Option<LoadSignal>,
    /// For drills: this front's clock reads so much more than the machine's.
    pub clock_ahead: Micros,
}

/// The shape of deployment as the engines' reports show it: they tell the statements in flight (the earlier
/// shape), or only their utilization, the share of cores busy, with statements waiting for memory (the later).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    InFlight,
    Utilization,
}

impl Operator {
    /// Makes the module read the figure chosen and leave the other.
    pub fn apply(&self, report: &mut ReportLayout) {
        match self.load_signal {
            Some(LoadSignal::InFlight) => report.busy = None,
            Some(LoadSignal::Utilization) => report.active = None,
            None => {}
        }
    }
}

impl Operator {
    /// Reads the file's text and checks it against what was agreed. An error names path and line.
    pub fn parse(text: &str, contract: &Contract) -> Result<Operator, Error> {
        // Once for the form alone, as only that pass sees what follows the end.
        shallow(text)?;
        json5::from_str::<serde::de::IgnoredAny>(text).map_err(|e| malformed(&e))?;
        let mut reader = json5::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| refused(text, &e.path().to_string(), e.inner()))?;
        let postgres = file.postgres.map(|p| postgres(text, p, contract)).transpose()?;
        let gossip = file.gossip.map(|g| gossip(text, g)).transpose()?;
        let rules = file.rules.map(|r| rules(text, r, contract)).transpose()?;
        let scatter = file.scatter.map(|s| scatter(text, s, contract)).transpose()?;
        let marked = scatter.as_ref().is_some_and(|scatter| scatter.marked);
        if marked && gossip.as_ref().is_none_or(|gossip| gossip.ledger.is_none()) {
            let what = "'marked' needs gossip.ledger, where marks stand; add it, or say 'none' where no load goes through fronts";
            return Err(fault(text, "scatter.loads", what));
        }
        let load_signal = file.load_signal.map(|l| load_signal(text, &l, contract)).transpose()?;
        let ahead = file.clock_ahead_ms;
        if !ahead.is_finite() || ahead.abs() > MOST_AHEAD_MS {
            return Err(fault(text, "clock_ahead_ms", What::range(-MOST_AHEAD_MS, MOST_AHEAD_MS)));
        }
        Ok(Operator { postgres, gossip, rules, scatter, load_signal, clock_ahead: micros(ahead) })
    }
}

/// A shape of deployment that the settings' reports do not have is refused: the front would read nothing.
fn load_signal(text: &str, word: &str, contract: &Contract) -> Result<LoadSignal, Error> {
    let (signal, figure) = match word {
        "in_flight" => (LoadSignal::InFlight, "active"),
        "utilization" => (LoadSignal::Utilization, "cpu"),
        _ => {
            return Err(fault(
                text,
                "load_signal",
                format!(
                "'{word}' is neither 'in_flight' nor 'utilization'; give one of them, or leave the key out"
            ),
            ))
        }
    };
    if contract.names.report.iter().any(|name| name == figure) {
        return Ok(signal);
    }
    let named = contract.names.report.join(", ");
    let what = format!(
        "'{word}' needs '{figure}' among the settings' report.names, which are [{named}]; \
         give the other, or leave the key out"
    );
    Err(fault(text, "load_signal", what))
}

#[cfg(test)]
pub mod tests {
    use super::*;

    const SETTINGS: &str = r#"{"instances": 1, "areas": ["here"], "kinds": ["std", "pg"], "rules": {},
        "customers": [{"name": "acme"}],
        "requestClasses": [{"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"}]}"#;

    /// Reads a text against settings that name one workload, customer, location and two kinds.
    pub fn read(text: &str) -> Result<Operator, String> {
        Ok(Operator::parse(text, &crate::contract(SETTINGS).unwrap())?)
    }

    #[test]
    fn the_example_is_read_with_every_part() {
        let text = include_str!("../../../../deploy/operator.example.json5");
        let settings = SETTINGS.replace(r#"["here"]"#, r#"["here", "std-eu", "std-us", "std-ap"]"#);
        let contract = crate::contract(&settings).unwrap();
        // These settings have no reports.
        let example = Operator::parse(&text.replace("load_signal: 'in_flight',", ""), &contract).unwrap();
        assert!(example.postgres.is_some() && example.gossip.is_some() && example.scatter.is_some());
        assert!(example.rules.is_some());
    }

    const REPORTING: &str = r#"{"instances": 120, "areas": ["here"], "kinds": ["std"], "rules": {},
        "report": {"names": ["cpu", "waiting"], "source": "on_probe"},
        "requestClasses": [{"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"}]}"#;

    #[test]
    fn the_load_signal_follows_the_reports_unless_chosen_and_a_mix_is_refused() {
        let contract = crate::contract(REPORTING).unwrap();
        let places = &contract.agreement.report;
        assert_eq!((places.active, places.busy, places.waiting), (None, Some(0), Some(1)));
        // Where the file is silent, nothing changes: the settings alone choose the shape.
        let silent = Operator::parse("{}", &contract).unwrap();
        assert_eq!(silent.load_signal, None);
        let chosen = Operator::parse("{ load_signal: 'utilization' }", &contract).unwrap();
        assert_eq!(chosen.load_signal, Some(LoadSignal::Utilization));
        // The earlier shape with reports of the later one: refused, with the key and its line.
        let mixed = Operator::parse("{\n  load_signal: 'in_flight',\n}", &contract).unwrap_err().to_string();
        assert!(mixed.starts_with("line 2: load_signal: 'in_flight' needs 'active'"), "{mixed}");
        let unknown = Operator::parse("{ load_signal: 'rough' }", &contract).unwrap_err().to_string();
        assert!(unknown.starts_with("line 1: load_signal: 'rough' is neither"), "{unknown}");
    }

    #[test]
    fn a_chosen_load_signal_leaves_the_other_figure_unread() {
        let both = REPORTING.replace(r#"["cpu", "waiting"]"#, r#"["active", "cpu"]"#);
        let contract = crate::contract(&both).unwrap();
        let (mut earlier, mut later) = (contract.agreement.report.clone(), contract.agreement.report.clone());
        Operator::parse("{ load_signal: 'in_flight' }", &contract).unwrap().apply(&mut earlier);
        Operator::parse("{ load_signal: 'utilization' }", &contract).unwrap().apply(&mut later);
        assert_eq!((earlier.active, earlier.busy), (Some(0), None));
        assert_eq!((later.active, later.busy), (None, Some(1)));
    }
}
