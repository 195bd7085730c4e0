//! The section `scatter`: statements over data at several sites.

use std::collections::BTreeMap;

use hallmux::interface::Effect;
use serde::Deserialize;

use crate::settings::Settings;

use super::gossip::parse_key;
use super::position::Checker;
use crate::error::{Error, KeyProblem};

const OLDEST_MS: u64 = 600_000; // milliseconds: a site that has written nothing for so long may have lost its way
const MOST_OLDEST_MS: u64 = 604_800_000; // milliseconds: a week
const AHEAD_MS: u64 = 10_000; // milliseconds, as far as fronts' clocks may differ
const MOST: usize = 4_096; // summaries: 256 MiB if each were as long as can be; the usual take a tenth
const MOST_OF_ALL: usize = 65_536;
const AT_ONCE: usize = 4; // parts: the likeliest sites mostly fill a limit
const MOST_ERROR: f64 = 0.5; // of a number of distinct values: beyond that it says nothing
const ANSWER_BYTES: usize = 1 << 20; // bytes of an answer: a hundred times what an engine's page holds

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScatterFile {
    workloads: Vec<String>,
    sites: BTreeMap<String, String>,
    directory: Option<String>,
    #[serde(default)]
    schemas: BTreeMap<String, u32>,
    loads: Option<String>,
    #[serde(default)]
    writes: Vec<String>,
    whole_site: Option<String>,
    #[serde(default)]
    partial: Vec<String>,
    #[serde(default)]
    distinct_error: BTreeMap<String, f64>,
    #[serde(default)]
    together: Vec<Vec<u32>>,
    #[serde(default = "oldest_ms")]
    oldest_ms: u64,
    #[serde(default = "ahead_ms")]
    ahead_ms: u64,
    #[serde(default = "most")]
    most: usize,
    #[serde(default = "at_once")]
    at_once: usize,
    #[serde(default = "answer_bytes")]
    answer_bytes: usize,
    keep: Option<SummaryBudgetFile>,
    audits: Option<AuditsFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AuditsFile {
    one_in: u64,
    a_minute: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SummaryBudgetFile {
    memory_kb: u64,
    bytes_a_second: u64,
    file: Option<String>,
}

fn oldest_ms() -> u64 {
    OLDEST_MS
}

fn ahead_ms() -> u64 {
    AHEAD_MS
}

fn most() -> usize {
    MOST
}

fn at_once() -> usize {
    AT_ONCE
}

fn answer_bytes() -> usize {
    ANSWER_BYTES
}

/// Which statements are asked of several sites, and what holds for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scatter {
    /// Workloads whose statements are, by name.
    pub workloads: Vec<String>,
    /// Locations whose engines hold a part of the data, and the keys that sign their summaries.
    pub sites: BTreeMap<String, [u8; 32]>,
    /// Where summaries are read from, at start and by SIGHUP.
    pub directory: Option<String>,
    /// The schema that summaries of a group must be of.
    pub schemas: BTreeMap<u32, u32>,
    /// Loads go through fronts and are marked. False: no load goes through any.
    pub marked: bool,
    /// Workloads whose statements may write: those that are not idempotent, and those named.
    pub writes: Vec<String>,
    /// Has all rows: what parts can't make up is asked there.
    pub whole_site: Option<String>,
    /// Customers that take an answer which says what is missing in it.
    pub partial: Vec<String>,
    /// Customers that take a number of distinct values by sketches, and how far it may be wrong, in
    /// millionths of it.
    pub distinct_error: BTreeMap<String, u32>,
    /// Groups whose rows with equal keys lie at one site, so that they may be joined there.
    pub together: Vec<Vec<u32>>,
    /// Milliseconds after which a summary is too old.
    pub oldest_ms: u64,
    /// Milliseconds that a summary may come from the future, as clocks differ.
    pub ahead_ms: u64,
    /// Summaries that are held.
    pub most: usize,
    /// Parts of a statement with LIMIT that are out at once.
    pub at_once: usize,
    /// Bytes of an answer at the most.
    pub answer_bytes: usize,
    /// Summaries are held as far as they earn their bytes; None: all that come.
    pub keep: Option<SummaryBudget>,
    /// Sites that their summaries rule out are asked now and then all the same; None: never.
    pub audits: Option<Audits>,
}

/// How often sites that their summaries rule out are asked all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Audits {
    /// One statement of so many.
    pub one_in: u64,
    /// At the most in a minute, by the whole fleet.
    pub a_minute: u64,
}

/// The budget under which summaries are held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SummaryBudget {
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// Bytes a second for exchanging them with other fronts.
    pub bytes_a_second: u64,
    /// Where what was learned outlives the front.
    pub file: Option<String>,
}

/// Checks the section against the settings.
pub fn scatter(text: &str, file: ScatterFile, settings: &Settings) -> Result<Scatter, Error> {
    let check = Checker {
        text,
        section: "scatter",
    };
    let names = &settings.names;
    check_workloads(&check, &file, settings)?;
    let sites = sites(&check, &file, settings)?;
    let schemas = schemas(&check, &file)?;
    if let Some(site) = &file.whole_site {
        check.known(
            "whole_site",
            site,
            "scatter.sites",
            &sites.keys().cloned().collect::<Vec<_>>(),
        )?;
    }
    check_customers(&check, &file, settings)?;
    for (n, name) in file.writes.iter().enumerate() {
        check.known(
            &format!("writes[{n}]"),
            name,
            "the settings' workloads",
            &names.workloads,
        )?;
    }
    let marked = match file.loads.as_deref() {
        None | Some("marked") => true,
        Some("none") => false,
        Some(other) => {
            let problem = format!("'{other}' is neither 'marked' nor 'none'; give one of them");
            return check.refuse("loads", problem);
        }
    };
    check_ranges(&check, &file)?;
    let millionths = |(name, error): (&String, &f64)| (name.clone(), (error * 1e6) as u32);
    let distinct_error = file.distinct_error.iter().map(millionths).collect();
    let keep = file.keep.map(
        |SummaryBudgetFile {
             memory_kb,
             bytes_a_second,
             file,
         }| SummaryBudget {
            memory_bytes: memory_kb * 1024,
            bytes_a_second,
            file,
        },
    );
    let audits = file
        .audits
        .map(|AuditsFile { one_in, a_minute }| Audits { one_in, a_minute });
    let ScatterFile {
        workloads,
        directory,
        whole_site,
        partial,
        writes,
        together,
        ..
    } = file;
    let effects = names.workloads.iter().zip(&settings.agreement.workloads);
    let may_write =
        effects.filter(|(name, w)| w.effect != Effect::Idempotent || writes.contains(name));
    let writes = may_write.map(|(name, _)| name.clone()).collect();
    let (oldest_ms, ahead_ms) = (file.oldest_ms, file.ahead_ms);
    let (most, at_once, answer_bytes) = (file.most, file.at_once, file.answer_bytes);
    Ok(Scatter {
        workloads,
        sites,
        directory,
        schemas,
        marked,
        writes,
        whole_site,
        partial,
        distinct_error,
        together,
        oldest_ms,
        ahead_ms,
        most,
        at_once,
        answer_bytes,
        keep,
        audits,
    })
}

/// Workloads are known and only read.
fn check_workloads(check: &Checker, file: &ScatterFile, settings: &Settings) -> Result<(), Error> {
    let known = &settings.names.workloads;
    for (n, name) in file.workloads.iter().enumerate() {
        let key = format!("workloads[{n}]");
        check.known(&key, name, "the settings' workloads", known)?;
        let at = known.iter().position(|other| other == name);
        let effect = at
            .and_then(|at| settings.agreement.workloads.get(at))
            .map(|w| w.effect);
        if effect != Some(Effect::Idempotent) {
            let problem = format!("'{name}' is not idempotent; name workloads that only read");
            return check.refuse(&key, problem);
        }
    }
    Ok(())
}

/// Sites are locations, each with a key; there is one at least, and a workload.
fn sites(
    check: &Checker,
    file: &ScatterFile,
    settings: &Settings,
) -> Result<BTreeMap<String, [u8; 32]>, Error> {
    let mut sites = BTreeMap::new();
    for (name, key) in &file.sites {
        let path = format!("sites.{name}");
        check.known(
            &path,
            name,
            "the settings' areas",
            &settings.names.locations,
        )?;
        match parse_key(key) {
            Some(key) => _ = sites.insert(name.clone(), key),
            None => return check.refuse(&path, KeyProblem::InvalidPublicKey),
        }
    }
    if file.workloads.is_empty() || sites.is_empty() {
        return check.refuse(
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
                return check.refuse(&key, "is no number of a table group; give one");
            }
        }
    }
    Ok(schemas)
}

/// Customers with terms of their own are known, and the terms make sense.
fn check_customers(check: &Checker, file: &ScatterFile, settings: &Settings) -> Result<(), Error> {
    let known = &settings.names.customers;
    for (n, name) in file.partial.iter().enumerate() {
        check.known(
            &format!("partial[{n}]"),
            name,
            "the settings' customers",
            known,
        )?;
    }
    for (name, error) in &file.distinct_error {
        let key = format!("distinct_error.{name}");
        check.known(&key, name, "the settings' customers", known)?;
        if !(0.0..=MOST_ERROR).contains(error) {
            return check.refuse(
                &key,
                format!("is not from 0 to {MOST_ERROR}, a part of the number"),
            );
        }
    }
    Ok(())
}

fn check_ranges(check: &Checker, file: &ScatterFile) -> Result<(), Error> {
    check.range("oldest_ms", file.oldest_ms, 1_000, MOST_OLDEST_MS)?;
    check.range("ahead_ms", file.ahead_ms, 0, OLDEST_MS)?;
    check.range("most", file.most, 1, MOST_OF_ALL)?;
    check.range("at_once", file.at_once, 1, 1_000)?;
    check.range("answer_bytes", file.answer_bytes, 1_000, 1 << 26)?;
    if let Some(keep) = &file.keep {
        check.range("keep.memory_kb", keep.memory_kb, 16, 1 << 24)?;
        check.range("keep.bytes_a_second", keep.bytes_a_second, 100, 1 << 24)?;
    }
    if let Some(audits) = &file.audits {
        check.range("audits.one_in", audits.one_in, 1, 1_000_000)?;
        check.range("audits.a_minute", audits.a_minute, 1, 60_000)?;
    }
    Ok(())
}

#[cfg(test)]
#[path = "scatter_tests.rs"]
mod tests;
