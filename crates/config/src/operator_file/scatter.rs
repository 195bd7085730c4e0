//! The section `scatter`: statements over data at several sites.

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
/// The part by which a number of distinct values may be wrong.
const MAX_DISTINCT_ERROR: f64 = 0.5;
const MIN_ANSWER_BYTES: usize = 1_000;
const MAX_ANSWER_BYTES: usize = 1 << 26;

/// Which statements are asked of several sites, and what holds for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scatter {
    /// Workloads whose statements are, by name.
    pub workloads: Vec<String>,
    /// Locations whose engines hold a part of the data, and the keys that sign their summaries.
    pub sites: BTreeMap<String, PublicKey>,
    /// Where summaries are read from, at start and by SIGHUP.
    pub directory: Option<String>,
    /// The schema that summaries of a group must be of.
    pub schemas: BTreeMap<u32, u32>,
    /// Loads go through fronts and are marked. False: no load goes through any.
    pub marks_loads: bool,
    /// Workloads whose statements may write: those that are not idempotent, and those named.
    pub writing_workloads: Vec<String>,
    /// Has all rows: what parts can't make up is asked there.
    pub whole_site: Option<String>,
    /// Customers that take an answer which says what is missing in it.
    pub partial_answer_customers: Vec<String>,
    /// Customers that take a number of distinct values by sketches, and how far it may be wrong, in
    /// millionths of it.
    pub distinct_error: BTreeMap<String, u32>,
    /// Groups whose rows with equal keys lie at one site, so that they may be joined there.
    pub colocated_groups: Vec<Vec<u32>>,
    /// Milliseconds after which a summary is too old.
    pub max_summary_age_ms: u64,
    /// Milliseconds that a summary may come from the future, as clocks differ.
    pub max_summary_ahead_ms: u64,
    /// Summaries that are held.
    pub max_summaries: usize,
    /// Parts of a statement with LIMIT that are in flight at once.
    pub max_parallel_parts: usize,
    /// Bytes of an answer at the most.
    pub max_answer_bytes: usize,
    /// Summaries are held as far as they earn their bytes; None: all that come.
    pub summary_budget: Option<SummaryBudget>,
    /// Sites that their summaries rule out are asked now and then all the same; None: never.
    pub audits: Option<Audits>,
}

/// How often sites that their summaries rule out are asked all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Audits {
    /// One statement of so many.
    pub statements_per_audit: u64,
    /// At the most in a minute, by the whole fleet.
    pub max_per_minute: u64,
}

/// The budget under which summaries are held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SummaryBudget {
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// Bytes a second for exchanging them with other fronts.
    pub bytes_per_s: u64,
    /// Where what was learned outlives the front.
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

/// Workloads whose statements may write: those that are not idempotent, and those that the file names.
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

/// Workloads are known and only read.
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

/// Sites are locations, each with a key; there is one at least, and a workload.
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
            "names none, or no workloads; leave 'scatter' out to switch it off",
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
                return check.reject(&key, "is no number of a table group; give one");
            }
        }
    }
    Ok(schemas)
}

/// Customers with terms of their own are known, and the terms make sense.
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
                format!("is not from 0 to {MAX_DISTINCT_ERROR}, a part of the number"),
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
