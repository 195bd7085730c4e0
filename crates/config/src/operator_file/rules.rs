//! The section `rules`: regional access rules of customers.

use std::collections::BTreeMap;

use hallmux::interface::Micros;
use serde::Deserialize;

use crate::settings::{micros, Names, Settings};

use super::checker::Checker;
use crate::error::{Error, KeyProblem};

const DEFAULT_LEASE_MS: f64 = 3_000.0;
const MIN_LEASE_MS: f64 = 500.0;
const MAX_LEASE_MS: f64 = 60_000.0;
/// Parts per million: far more than the drift of a quartz clock, to allow for throttled machines.
const DEFAULT_DRIFT_PPM: u32 = 10_000;
const MAX_DRIFT_PPM: u32 = 200_000;
const DEFAULT_WHAT_IF_HOURS: f64 = 6.0;
const MAX_WHAT_IF_HOURS: f64 = 168.0;
const MS_PER_HOUR: f64 = 3_600_000.0;
const DEFAULT_LOG_INTERVAL_MS: f64 = 60_000.0;
const MIN_LOG_INTERVAL_MS: f64 = 1_000.0;
const MAX_LOG_INTERVAL_MS: f64 = 86_400_000.0;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesFile {
    file: String,
    region: String,
    #[serde(default)]
    regions: BTreeMap<String, Vec<String>>,
    customers: Option<Vec<String>>,
    #[serde(default = "default_lease_ms")]
    lease_ms: f64,
    #[serde(default = "default_drift_ppm")]
    drift_ppm: u32,
    #[serde(default = "default_tell_every_ms")]
    tell_every_ms: f64,
    #[serde(default = "default_what_if_hours")]
    what_if_hours: f64,
}

fn default_what_if_hours() -> f64 {
    DEFAULT_WHAT_IF_HOURS
}

fn default_lease_ms() -> f64 {
    DEFAULT_LEASE_MS
}

fn default_drift_ppm() -> u32 {
    DEFAULT_DRIFT_PPM
}

fn default_tell_every_ms() -> f64 {
    DEFAULT_LOG_INTERVAL_MS
}

/// The file of access rules, the names that the rules may use, and the terms under which they
/// apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rules {
    /// The path of the file of rules; it is read again on SIGHUP.
    pub file: String,
    /// This front's region, for rules about the region in which a statement arrives.
    pub region: String,
    /// Named groups of the settings' locations.
    pub regions: BTreeMap<String, Vec<String>>,
    /// The customers to which rules may refer; None: all.
    pub customers: Option<Vec<String>>,
    /// How long a front may apply its rules without a message from their owner.
    pub lease: Micros,
    /// Maximum drift of a clock in parts per million.
    pub drift_ppm: u32,
    /// The interval between log lines with the fleet's counts.
    pub log_interval: Micros,
    /// How long requests are recorded, by kind, to report what proposed rules would change; 0: not
    /// at all.
    pub record_window: Micros,
}

/// Checks the section against the settings.
pub fn check_rules(text: &str, file: RulesFile, settings: &Settings) -> Result<Rules, Error> {
    let check = Checker {
        text,
        section: "rules",
    };
    if file.file.is_empty() {
        return check.reject("file", "is empty; give the path of the file of rules");
    }
    check_regions(&check, &file, &settings.names)?;
    check_customers(&check, &file, &settings.names)?;
    check_ranges(&check, &file)?;
    Ok(Rules {
        file: file.file,
        region: file.region,
        regions: file.regions,
        customers: file.customers,
        lease: micros(file.lease_ms),
        drift_ppm: file.drift_ppm,
        log_interval: micros(file.tell_every_ms),
        record_window: micros(file.what_if_hours * MS_PER_HOUR),
    })
}

/// Checks that each region holds only locations of the settings, and that this front's region is
/// defined.
fn check_regions(check: &Checker, file: &RulesFile, names: &Names) -> Result<(), Error> {
    for (region, locations) in &file.regions {
        for (index, location) in locations.iter().enumerate() {
            let key = format!("regions.{region}[{index}]");
            check.require_known(&key, location, "the settings' locations", &names.locations)?;
        }
        if locations.is_empty() {
            return check.reject(&format!("regions.{region}"), "holds no location; name one");
        }
    }
    let named = file.regions.keys();
    let regions: Vec<String> = named.chain(&names.locations).cloned().collect();
    check.require_known("region", &file.region, "the regions", &regions)
}

/// Checks that the customers are in the settings, if these name any customer.
fn check_customers(check: &Checker, file: &RulesFile, names: &Names) -> Result<(), Error> {
    if names.customers.is_empty() {
        return Ok(());
    }
    for (index, customer) in file.customers.iter().flatten().enumerate() {
        let key = format!("customers[{index}]");
        check.require_known(&key, customer, "the settings' customers", &names.customers)?;
    }
    Ok(())
}

fn check_ranges(check: &Checker, file: &RulesFile) -> Result<(), Error> {
    check.require_range("lease_ms", file.lease_ms, MIN_LEASE_MS, MAX_LEASE_MS)?;
    if file.drift_ppm > MAX_DRIFT_PPM {
        return check.reject("drift_ppm", KeyProblem::above_maximum(MAX_DRIFT_PPM));
    }
    check.require_range(
        "tell_every_ms",
        file.tell_every_ms,
        MIN_LOG_INTERVAL_MS,
        MAX_LOG_INTERVAL_MS,
    )?;
    check.require_range("what_if_hours", file.what_if_hours, 0.0, MAX_WHAT_IF_HOURS)
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
