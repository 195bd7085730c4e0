//! Access rules on the fronts of a rig: writes a rule file for each front, announces it by SIGHUP,
//! and reads rule versions and hits from the fronts' logs.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use nix::sys::signal::Signal;

use super::agreed::zone_name;
use super::fleet::Fleet;
use super::member::MemberOptions;

/// The customer that the rules restrict, and its workload that they deny.
pub const RULED_CUSTOMER: &str = "ruled";
pub const DENIED_WORKLOAD: &str = "audit";
/// Lease of a rule version, in milliseconds.
pub const LEASE_MS: u64 = 1_500;

/// One version of the rules: the zones where the customer may not read.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSet {
    pub version: u64,
    pub barred_zones: BTreeSet<usize>,
}

impl RuleSet {
    /// The text of the rule file: one rule bars zones for the customer, one denies a workload, and
    /// one only counts hits.
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

/// The rule files of all fronts, in a temporary folder of the run.
pub struct RuleFiles {
    folder: PathBuf,
}

impl RuleFiles {
    /// Writes the first rule set for every front.
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

    /// Writes to a temporary file and renames it, so that no front reads a partial file.
    pub fn write(&self, front: usize, set: &RuleSet) -> std::io::Result<()> {
        let beside = self.folder.join(format!("rules{front}.new"));
        std::fs::write(&beside, set.text())?;
        std::fs::rename(beside, self.path(front))
    }

    /// The rule settings in each front's operator file; each front is in a region of its own.
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

/// What the fronts' logs say of each version: when one first applied it, when it was first reported
/// in force, and the fronts whose file was accepted as the fleet's.
#[derive(Clone, Debug, Default)]
pub struct RuleLogs {
    pub first_judged: BTreeMap<u64, i64>,
    pub first_in_force: BTreeMap<u64, i64>,
    pub accepted_by: BTreeMap<u64, Vec<usize>>,
    /// How often each front refused a file whose version was not above the fleet's.
    pub stale_refusals: BTreeMap<usize, usize>,
}

/// The decimal number that follows `before` in the line.
fn number_after(line: &str, before: &str) -> Option<u64> {
    let rest = &line[line.find(before)? + before.len()..];
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Rule versions in the logs of all fronts so far.
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

/// Requests the fleet's hits from a front by SIGHUP: counts by rule and region. `None` if the
/// report stays incomplete until the time limit.
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
            // The report's lines are written together, but the last of them may not have been read
            // yet.
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

/// Parses a line of the fleet's hits: rule and region, and their count.
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
