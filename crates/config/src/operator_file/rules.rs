//! The section `rules`: regional access rules of customers.

use std::collections::BTreeMap;

use hallmux::interface::Micros;
use serde::Deserialize;

use crate::settings::{micros, Settings};

use super::position::Checker;
use crate::error::{Error, KeyProblem};

const LEASE_MS: f64 = 3_000.0; // milliseconds: what tightens waits as long; some elections of the ledger's owners
const DRIFT_PPM: u32 = 10_000; // millionths: a hundred times what quartz does, for machines that are throttled
const MOST_DRIFT_PPM: u32 = 200_000; // millionths; a clock further off is broken
const WHAT_IF_HOURS: f64 = 6.0; // hours that a question looks back: past a working day's peak
const MOST_WHAT_IF_HOURS: f64 = 168.0; // hours; a week
const TELL_EVERY_MS: f64 = 60_000.0; // milliseconds between lines of the log with the fleet's hits

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesFile {
    file: String,
    region: String,
    #[serde(default)]
    regions: BTreeMap<String, Vec<String>>,
    customers: Option<Vec<String>>,
    #[serde(default = "lease_ms")]
    lease_ms: f64,
    #[serde(default = "drift_ppm")]
    drift_ppm: u32,
    #[serde(default = "tell_every_ms")]
    tell_every_ms: f64,
    #[serde(default = "what_if_hours")]
    what_if_hours: f64,
}

fn what_if_hours() -> f64 {
    WHAT_IF_HOURS
}

fn lease_ms() -> f64 {
    LEASE_MS
}

fn drift_ppm() -> u32 {
    DRIFT_PPM
}

fn tell_every_ms() -> f64 {
    TELL_EVERY_MS
}

/// Where the rules are, and all that they may be about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rules {
    /// The file of rules; SIGHUP reads it again.
    pub file: String,
    /// Where this front stands, for rules about where a statement is asked.
    pub region: String,
    /// Names for some of the settings' locations together.
    pub regions: BTreeMap<String, Vec<String>>,
    /// The customers that rules may be about; None: all.
    pub customers: Option<Vec<String>>,
    /// How long a front may go on by the rules it has without hearing from their owner.
    pub lease: Micros,
    /// Millionths that a clock may gain or lose.
    pub drift_ppm: u32,
    /// Between lines of the log with the fleet's counts.
    pub tell_every: Micros,
    /// How long requests are remembered, by kind, to tell what other rules would change; 0: not at all.
    pub remembers: Micros,
}

/// Checks the section against the settings.
pub fn rules(text: &str, file: RulesFile, settings: &Settings) -> Result<Rules, Error> {
    let check = Checker {
        text,
        section: "rules",
    };
    let names = &settings.names;
    if file.file.is_empty() {
        return check.refuse("file", "names none; give the path of the file of rules");
    }
    for (region, locations) in &file.regions {
        for (at, location) in locations.iter().enumerate() {
            let key = format!("regions.{region}[{at}]");
            check.known(&key, location, "the settings' locations", &names.locations)?;
        }
        if locations.is_empty() {
            return check.refuse(&format!("regions.{region}"), "holds no location; name one");
        }
    }
    let regions: Vec<String> = file
        .regions
        .keys()
        .chain(&names.locations)
        .cloned()
        .collect();
    check.known("region", &file.region, "the regions", &regions)?;
    for (at, customer) in file.customers.iter().flatten().enumerate() {
        if !names.customers.is_empty() {
            check.known(
                &format!("customers[{at}]"),
                customer,
                "the settings' customers",
                &names.customers,
            )?;
        }
    }
    check.range("lease_ms", file.lease_ms, 500.0, 60_000.0)?;
    if file.drift_ppm > MOST_DRIFT_PPM {
        return check.refuse("drift_ppm", KeyProblem::above_maximum(MOST_DRIFT_PPM));
    }
    check.range("tell_every_ms", file.tell_every_ms, 1_000.0, 86_400_000.0)?;
    check.range("what_if_hours", file.what_if_hours, 0.0, MOST_WHAT_IF_HOURS)?;
    let RulesFile {
        file: path,
        region,
        regions,
        customers,
        lease_ms,
        drift_ppm,
        tell_every_ms,
        what_if_hours,
    } = file;
    let (lease, tell_every) = (micros(lease_ms), micros(tell_every_ms));
    let remembers = micros(what_if_hours * 3_600_000.0);
    Ok(Rules {
        file: path,
        region,
        regions,
        customers,
        lease,
        drift_ppm,
        tell_every,
        remembers,
    })
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
