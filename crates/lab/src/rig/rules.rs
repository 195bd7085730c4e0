//! Access rules on the fronts of a rig: a file of rules for each, written anew and told of by SIGHUP, and what the
//! fronts' logs say of versions and hits.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use nix::sys::signal::Signal;

use super::agreed::zone_name;
use super::fleet::Fleet;
use super::member::MemberOptions;

/// The customer that rules are about, and its workload that they deny.
pub const RULED_CUSTOMER: &str = "ruled";
pub const DENIED_WORKLOAD: &str = "audit";
pub const LEASE_MS: u64 = 1_500;

/// One set of rules: the zones where nothing of the customer may be read.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSet {
    pub version: u64,
    pub barred_zones: BTreeSet<usize>,
}

impl RuleSet {
    /// Its file: one rule decides for all that the customer asks, but for the workload that is denied; one only counts.
    pub fn text(&self) -> String {
        let barred: Vec<String> = self
            .barred_zones
            .iter()
            .map(|zone| format!("'{}'", zone_name(*zone)))
            .collect();
        format!(
            "{{ version: {}, default: 'allow', rules: [\n  {{ name: 'bound', customer: '{RULED_CUSTOMER}', barred: [{}] }},\n  \
             {{ name: 'denied', customer: '{RULED_CUSTOMER}', workload: '{DENIED_WORKLOAD}', then: 'deny', reason: 'closed' }},\n  \
             {{ name: 'counted', workload: 'report', then: 'count' }},\n] }}\n",
            self.version,
            barred.join(", ")
        )
    }
}

/// The files of all fronts, in a folder of the run's.
pub struct RuleFiles {
    folder: PathBuf,
}

impl RuleFiles {
    pub fn new(fronts: usize, seed: u64, first: &RuleSet) -> std::io::Result<RuleFiles> {
        let folder =
            std::env::temp_dir().join(format!("hallmux-rules-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let files = RuleFiles { folder };
        (0..fronts).try_for_each(|front| files.write(front, first))?;
        Ok(files)
    }

    fn path(&self, front: usize) -> PathBuf {
        self.folder.join(format!("rules{front}.json5"))
    }

    /// Written beside and renamed: no front reads half of it.
    pub fn write(&self, front: usize, set: &RuleSet) -> std::io::Result<()> {
        let beside = self.folder.join(format!("rules{front}.new"));
        std::fs::write(&beside, set.text())?;
        std::fs::rename(beside, self.path(front))
    }

    /// Each front's part of the operator's file; each stands in a region of its own.
    pub fn member_options(&self, fronts: usize, zones: usize) -> Vec<MemberOptions> {
        let regions: Vec<String> = (0..fronts)
            .map(|n| format!("r{n}: ['{}']", zone_name(n % zones)))
            .collect();
        let part = |front: usize, path: &Path| {
            format!(
                ", rules: {{ file: '{}', region: 'r{front}', regions: {{ {} }}, customers: ['{RULED_CUSTOMER}'], \
                 lease_ms: {LEASE_MS}, tell_every_ms: 3600000 }}",
                path.display(),
                regions.join(", ")
            )
        };
        let each = (0..fronts).map(|n| MemberOptions {
            operator: part(n, &self.path(n)),
            ..MemberOptions::default()
        });
        each.collect()
    }
}

impl Drop for RuleFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// When fronts said of a version first: that they judge by it, that it is in force, and who that its file is the fleet's.
#[derive(Clone, Debug, Default)]
pub struct RuleLogs {
    pub first_judged: BTreeMap<u64, i64>,
    pub first_in_force: BTreeMap<u64, i64>,
    pub accepted_by: BTreeMap<u64, Vec<usize>>,
    /// How often each front refused a file that was not above the fleet's.
    pub stale_refusals: BTreeMap<usize, usize>,
}

/// The number behind a text in a line.
fn number_after(line: &str, before: &str) -> Option<u64> {
    let rest = &line[line.find(before)? + before.len()..];
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// What the logs of all fronts have said so far.
pub fn read_logs(fleet: &Fleet) -> RuleLogs {
    let mut logs = RuleLogs::default();
    for member in &fleet.members {
        for (at, line) in member.log_lines("version") {
            let at = at.duration_since(fleet.records.since).as_micros() as i64;
            let first = |of: &mut BTreeMap<u64, i64>, version: u64| {
                let known = of.entry(version).or_insert(at);
                *known = at.min(*known);
            };
            if let Some(version) = number_after(&line, "judges by version ") {
                first(&mut logs.first_judged, version);
            } else if let Some(version) = number_after(&line, "the fleet's: version ") {
                logs.accepted_by
                    .entry(version)
                    .or_default()
                    .push(member.number);
            } else if line.contains(" is in force") {
                number_after(&line, "version ")
                    .into_iter()
                    .for_each(|version| first(&mut logs.first_in_force, version));
            } else if line.contains("is not above the fleet's") {
                *logs.stale_refusals.entry(member.number).or_default() += 1;
            }
        }
    }
    logs
}

/// Asks a front for the fleet's hits: by rule and region. None while it says that fronts are missing from them.
pub fn request_hits(
    fleet: &Fleet,
    front: usize,
    within: std::time::Duration,
) -> Option<BTreeMap<String, i64>> {
    let member = &fleet.members[front];
    let until = std::time::Instant::now() + within;
    while std::time::Instant::now() < until {
        let asked = std::time::Instant::now();
        member.signal(Signal::SIGHUP);
        for _ in 0..50 {
            std::thread::sleep(std::time::Duration::from_millis(20));
            let said = member.log_lines("hits");
            let whole = |(at, line): &(std::time::Instant, String)| {
                *at >= asked && line.contains("the fleet's hits") && line.ends_with("missing: none")
            };
            let Some(from) = said.iter().position(whole) else {
                continue;
            };
            // Its lines are written at once; what is read of them so far may still lack some.
            std::thread::sleep(std::time::Duration::from_millis(300));
            let lines = member.log_lines("hits");
            let rows = lines
                .iter()
                .skip(from + 1)
                .filter_map(|(_, line)| parse_hits_line(line));
            return Some(rows.collect());
        }
    }
    None
}

/// A line of the fleet's hits: rule and region, and their count.
fn parse_hits_line(line: &str) -> Option<(String, i64)> {
    let rest = line.split("hits of rule ").nth(1)?;
    let (rule, rest) = rest.split_once(" by customer ")?;
    let (_, rest) = rest.split_once(" in ")?;
    let (region, count) = rest.split_once(": ")?;
    Some((format!("{rule} {region}"), count.trim().parse().ok()?))
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
