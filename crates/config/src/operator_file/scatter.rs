//! The section `scatter`: statements over data that is spread over several sites.

mod file;

use std::collections::BTreeMap;

use hallmux::interface::Effect;

use crate::settings::Settings;

pub use self::file::ScatterFile;
use super::checker::Checker;
use super::peers::{parse_key, PublicKey};
use crate::error::{Error, KeyProblem};

const MIN_SUMMARY_AGE_MS: u64 = 1_000;
const MAX_SUMMARY_AGE_MS: u64 = 604_800_000;
const MAX_SUMMARY_AHEAD_MS: u64 = 600_000;
const MAX_SUMMARIES: usize = 65_536;
const MAX_PARALLEL_PARTS: usize = 1_000;
/// Maximum relative error of a number of distinct values, as a fraction.
const MAX_DISTINCT_ERROR: f64 = 0.5;
const MIN_ANSWER_BYTES: usize = 1_000;
const MAX_ANSWER_BYTES: usize = 1 << 26;

/// The statements that are sent to several sites, and the rules for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scatter {
    /// Names of the workloads whose statements are sent to several sites.
    pub workloads: Vec<String>,
    /// Locations whose engines hold a part of the data, each with the public key that verifies its
    /// summaries.
    pub sites: BTreeMap<String, PublicKey>,
    /// The directory from which summaries are read at start and on SIGHUP.
    pub directory: Option<String>,
    /// The schema number that summaries of a table group must have.
    pub schemas: BTreeMap<u32, u32>,
    /// Whether loads go through fronts, which mark them. False: no load goes through a front.
    pub marks_loads: bool,
    /// Workloads whose statements may write: those that are not idempotent, and those that the file
    /// names.
    pub writing_workloads: Vec<String>,
    /// The site with all rows; statements that can't be answered from parts are sent there.
    pub whole_site: Option<String>,
    /// Customers that accept a partial answer, which names the missing sites.
    pub partial_answer_customers: Vec<String>,
    /// Customers that accept a number of distinct values estimated from sketches, with the maximum
    /// relative error in parts per million.
    pub distinct_error: BTreeMap<String, u32>,
    /// Sets of table groups whose rows with equal keys are at the same site, so that they can be
    /// joined there.
    pub colocated_groups: Vec<Vec<u32>>,
    /// Maximum age of a summary in milliseconds.
    pub max_summary_age_ms: u64,
    /// Milliseconds by which a summary may be ahead of this front's clock, as clocks differ.
    pub max_summary_ahead_ms: u64,
    /// Maximum number of summaries held.
    pub max_summaries: usize,
    /// Maximum number of parts in flight at once of a statement with LIMIT.
    pub max_parallel_parts: usize,
    /// Maximum size of an answer in bytes.
    pub max_answer_bytes: usize,
    /// The budget within which summaries are held, picked by their benefit; None: every received
    /// summary is held.
    pub summary_budget: Option<SummaryBudget>,
    /// How often a statement is sent to a site that its summaries exclude, to verify them; None:
    /// never.
    pub audits: Option<Audits>,
}

/// The rate of audits: statements sent to a site that its summaries exclude, to verify them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Audits {
    /// One of this many statements is audited.
    pub statements_per_audit: u64,
    /// Maximum number of audits a minute, over the whole fleet.
    pub max_per_minute: u64,
}

/// The budget for holding and exchanging summaries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SummaryBudget {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Bytes a second for exchanging summaries with other fronts.
    pub bytes_per_s: u64,
    /// The file in which the learned benefits of summaries are kept across restarts; None: not
    /// kept.
    pub file: Option<String>,
}

/// Checks the section against the settings.
pub fn check_scatter(text: &str, file: ScatterFile, settings: &Settings) -> Result<Scatter, Error> {
    let check = Checker {
        text,
        section: "scatter",
    };
    check_workloads(&check, &file, settings)?;
    let sites = sites(&check, &file, settings)?;
    let schemas = schemas(&check, &file)?;
    check_whole_site(&check, &file, &sites)?;
    check_customers(&check, &file, settings)?;
    check_writes(&check, &file, settings)?;
    let marks_loads = marks_loads(&check, &file)?;
    check_ranges(&check, &file)?;
    let writing_workloads = writing_workloads(&file, settings);
    let distinct_error = file.distinct_error.into_iter();
    Ok(Scatter {
        workloads: file.workloads,
        sites,
        directory: file.directory,
        schemas,
        marks_loads,
        writing_workloads,
        whole_site: file.whole_site,
        partial_answer_customers: file.partial,
        distinct_error: distinct_error
            .map(|(name, error)| (name, to_millionths(error)))
            .collect(),
        colocated_groups: file.together,
        max_summary_age_ms: file.oldest_ms,
        max_summary_ahead_ms: file.ahead_ms,
        max_summaries: file.most,
        max_parallel_parts: file.at_once,
        max_answer_bytes: file.answer_bytes,
        summary_budget: file.keep.map(|keep| SummaryBudget {
            memory_bytes: keep.memory_kb * 1024,
            bytes_per_s: keep.bytes_a_second,
            file: keep.file,
        }),
        audits: file.audits.map(|audits| Audits {
            statements_per_audit: audits.one_in,
            max_per_minute: audits.a_minute,
        }),
    })
}

fn to_millionths(part: f64) -> u32 {
    (part * 1e6) as u32
}

fn check_whole_site(
    check: &Checker,
    file: &ScatterFile,
    sites: &BTreeMap<String, PublicKey>,
) -> Result<(), Error> {
    let Some(site) = &file.whole_site else {
        return Ok(());
    };
    let known: Vec<String> = sites.keys().cloned().collect();
    check.require_known("whole_site", site, "scatter.sites", &known)
}

fn check_writes(check: &Checker, file: &ScatterFile, settings: &Settings) -> Result<(), Error> {
    let known = &settings.names.workloads;
    for (index, name) in file.writes.iter().enumerate() {
        let key = format!("writes[{index}]");
        check.require_known(&key, name, "the settings' workloads", known)?;
    }
    Ok(())
}

fn marks_loads(check: &Checker, file: &ScatterFile) -> Result<bool, Error> {
    match file.loads.as_deref() {
        None | Some("marked") => Ok(true),
        Some("none") => Ok(false),
        Some(other) => {
            let problem = format!("'{other}' is neither 'marked' nor 'none'; give one of them");
            check.reject("loads", problem)
        }
    }
}

/// Workloads whose statements may write: those that are not idempotent, and those that the file
/// names.
fn writing_workloads(file: &ScatterFile, settings: &Settings) -> Vec<String> {
    let names = settings.names.workloads.iter();
    names
        .zip(&settings.agreement.workloads)
        .filter(|(name, workload)| {
            workload.effect != Effect::Idempotent || file.writes.contains(name)
        })
        .map(|(name, _)| name.clone())
        .collect()
}

/// Checks that the workloads are defined and idempotent.
fn check_workloads(check: &Checker, file: &ScatterFile, settings: &Settings) -> Result<(), Error> {
    let known = &settings.names.workloads;
    for (n, name) in file.workloads.iter().enumerate() {
        let key = format!("workloads[{n}]");
        check.require_known(&key, name, "the settings' workloads", known)?;
        let index = known.iter().position(|other| other == name);
        let effect = index
            .and_then(|index| settings.agreement.workloads.get(index))
            .map(|w| w.effect);
        if effect != Some(Effect::Idempotent) {
            let problem = format!("'{name}' is not idempotent; name workloads that only read");
            return check.reject(&key, problem);
        }
    }
    Ok(())
}

/// Reads the sites: locations, each with a valid public key. At least one site and one workload are
/// required.
fn sites(
    check: &Checker,
    file: &ScatterFile,
    settings: &Settings,
) -> Result<BTreeMap<String, PublicKey>, Error> {
    let mut sites = BTreeMap::new();
    for (name, key) in &file.sites {
        let path = format!("sites.{name}");
        check.require_known(
            &path,
            name,
            "the settings' areas",
            &settings.names.locations,
        )?;
        match parse_key(key) {
            Some(key) => _ = sites.insert(name.clone(), key),
            None => return check.reject(&path, KeyProblem::InvalidPublicKey),
        }
    }
    if file.workloads.is_empty() || sites.is_empty() {
        return check.reject(
            "sites",
            "names no site, or scatter.workloads is empty; name both, or leave 'scatter' out to switch it off",
        );
    }
    Ok(sites)
}

fn schemas(check: &Checker, file: &ScatterFile) -> Result<BTreeMap<u32, u32>, Error> {
    let mut schemas = BTreeMap::new();
    for (group, schema) in &file.schemas {
        match group.parse() {
            Ok(number) => _ = schemas.insert(number, *schema),
            Err(_) => {
                let key = format!("schemas.{group}");
                return check.reject(
                    &key,
                    "is not the number of a table group; give a number from 0 to 4294967295",
                );
            }
        }
    }
    Ok(schemas)
}

/// Checks that the customers with special terms are defined, and that the terms are in range.
fn check_customers(check: &Checker, file: &ScatterFile, settings: &Settings) -> Result<(), Error> {
    let known = &settings.names.customers;
    for (n, name) in file.partial.iter().enumerate() {
        check.require_known(
            &format!("partial[{n}]"),
            name,
            "the settings' customers",
            known,
        )?;
    }
    for (name, error) in &file.distinct_error {
        let key = format!("distinct_error.{name}");
        check.require_known(&key, name, "the settings' customers", known)?;
        if !(0.0..=MAX_DISTINCT_ERROR).contains(error) {
            return check.reject(
                &key,
                format!(
                    "is not from 0 to {MAX_DISTINCT_ERROR}; give the relative error as a fraction"
                ),
            );
        }
    }
    Ok(())
}

fn check_ranges(check: &Checker, file: &ScatterFile) -> Result<(), Error> {
    check.require_range(
        "oldest_ms",
        file.oldest_ms,
        MIN_SUMMARY_AGE_MS,
        MAX_SUMMARY_AGE_MS,
    )?;
    check.require_range("ahead_ms", file.ahead_ms, 0, MAX_SUMMARY_AHEAD_MS)?;
    check.require_range("most", file.most, 1, MAX_SUMMARIES)?;
    check.require_range("at_once", file.at_once, 1, MAX_PARALLEL_PARTS)?;
    check.require_range(
        "answer_bytes",
        file.answer_bytes,
        MIN_ANSWER_BYTES,
        MAX_ANSWER_BYTES,
    )?;
    if let Some(keep) = &file.keep {
        check.require_range("keep.memory_kb", keep.memory_kb, 16, 1 << 24)?;
        check.require_range("keep.bytes_a_second", keep.bytes_a_second, 100, 1 << 24)?;
    }
    if let Some(audits) = &file.audits {
        check.require_range("audits.one_in", audits.one_in, 1, 1_000_000)?;
        check.require_range("audits.a_minute", audits.a_minute, 1, 60_000)?;
    }
    Ok(())
}

#[cfg(test)]
#[path = "scatter_tests.rs"]
mod tests;
