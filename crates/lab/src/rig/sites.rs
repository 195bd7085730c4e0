//! The sites of a rig: the rows behind each zone's engines, and the summaries of them, signed with
//! the site's key and written to the directories that fronts read. Defective summaries, which
//! fronts must reject, are written there too.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use ed25519_dalek::SigningKey;
use hallmux_scatter::build::{build_summary, SummaryHeader, TableBuilder};
use hallmux_scatter::summary::{Column, LoadNumbers, Summary, Table, MAX_SUMMARY_BYTES};
use hallmux_scatter::value::{Kind, Value};

use super::agreed::zone_name;
use super::member::MemberOptions;
use crate::engine::lines::RowStore;

/// The table group of the rows.
pub const TABLE_GROUP: u32 = 17;
const STALE_AGE_MS: u64 = 86_400_000;

/// Each kind of defective summary with the text that the front logs when it rejects one.
pub const SUMMARY_DEFECTS: [(&str, &str); 4] = [
    ("forged", "invalid signature"),
    ("altered", "scatter.directory"),
    ("cut short", "malformed or truncated summary"),
    ("yesterday's", "ms ago"),
];

#[derive(Default)]
struct Site {
    values: Vec<i64>,
    loads: LoadNumbers,
    version: u64,
}

/// All sites of a run, with their keys and the folder of their summaries.
pub struct Sites {
    sites: Vec<Mutex<Site>>,
    engines_per_zone: usize,
    keys: Vec<SigningKey>,
    folder: PathBuf,
    /// The site that received the row of each load, by the load's statement id.
    pub row_sites: Mutex<HashMap<String, usize>>,
}

/// The decimal number that follows `before` in the statement.
fn number_after(statement: &str, before: &str) -> Option<i64> {
    let rest = statement[statement.find(before)? + before.len()..].trim_start();
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

impl RowStore for Sites {
    fn answer(&self, engine: usize, statement: &str) -> String {
        let statement_id = statement.find("id=").map_or("", |at| &statement[at + 3..]);
        let statement_id = statement_id.split([',', ' ']).next().unwrap_or_default();
        let at = engine / self.engines_per_zone;
        let Ok(mut site) = self.sites[at].lock() else {
            return String::new();
        };
        if statement.contains("insert into") {
            if let (Some(value), Ok(mut landed)) =
                (number_after(statement, "values ("), self.row_sites.lock())
            {
                site.values.push(value);
                landed.insert(statement_id.to_string(), at);
            }
            if let Some(load) = number_after(statement, &format!("load {TABLE_GROUP}:")) {
                site.loads.insert(load as u64);
            }
            return format!("{statement_id}\t-\t-\n");
        }
        let (Some(from), Some(to)) = (
            number_after(statement, "between "),
            number_after(statement, " and "),
        ) else {
            return format!("{statement_id}\t-\t-\n");
        };
        let matching_values = site
            .values
            .iter()
            .filter(|value| (from..=to).contains(*value));
        matching_values
            .map(|value| format!("{at}\t{value}\t-\n"))
            .collect()
    }
}

impl Sites {
    /// Creates sites with their first values, and a summary directory for each front.
    pub fn new(
        first: Vec<Vec<i64>>,
        engines_per_zone: usize,
        fronts: usize,
        seed: u64,
    ) -> std::io::Result<Sites> {
        let folder =
            std::env::temp_dir().join(format!("hallmux-sites-{}-{seed}", std::process::id()));
        (0..fronts)
            .try_for_each(|front| std::fs::create_dir_all(folder.join(format!("f{front}"))))?;
        let keys = (0..first.len())
            .map(|n| SigningKey::from_bytes(&[n as u8 + 1; 32]))
            .collect();
        let site = |values| {
            Mutex::new(Site {
                values,
                ..Site::default()
            })
        };
        let sites = first.into_iter().map(site).collect();
        Ok(Sites {
            sites,
            engines_per_zone,
            keys,
            folder,
            row_sites: Mutex::default(),
        })
    }

    /// The scatter section of each front's operator file.
    pub fn member_options(&self, fronts: usize) -> Vec<MemberOptions> {
        let hex = |key: &SigningKey| -> String {
            key.verifying_key()
                .to_bytes()
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect()
        };
        let sites: Vec<String> = self
            .keys
            .iter()
            .enumerate()
            .map(|(n, key)| format!("{}: '{}'", zone_name(n), hex(key)))
            .collect();
        let part = |front: usize| {
            format!(
                ", scatter: {{ workloads: ['lookup'], sites: {{ {} }}, directory: '{}' }}",
                sites.join(", "),
                self.folder.join(format!("f{front}")).display()
            )
        };
        (0..fronts)
            .map(|n| MemberOptions {
                operator: part(n),
                ..MemberOptions::default()
            })
            .collect()
    }

    /// Builds a summary of the site's current rows under its next version.
    fn next_summary(&self, at: usize) -> Option<Summary> {
        let mut site = self.sites[at].lock().ok()?;
        site.version += 1;
        let mut table = TableBuilder::new("t", &[("v", Kind::Number { scale: 0 })]);
        site.values
            .iter()
            .for_each(|value| table.add_row(&[Some(Value::Number(i128::from(*value)))]));
        let (site_name, loads, version) = (zone_name(at), site.loads.clone(), site.version);
        let header = SummaryHeader {
            site: site_name,
            group: TABLE_GROUP,
            schema: 1,
            version,
            made_ms: now_ms(),
            loads,
        };
        Some(build_summary(header, vec![table], MAX_SUMMARY_BYTES))
    }

    /// Writes to a temporary file and renames it into the front's directory, so that no partial
    /// file is read.
    fn write(&self, front: usize, name: &str, bytes: &[u8]) {
        let temporary = self.folder.join(format!("new-{front}"));
        let file = self.folder.join(format!("f{front}")).join(name);
        let _ = std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, file));
    }

    /// Publishes a current summary of site `at` in the directory of a front.
    pub fn publish_summary(&self, at: usize, front: usize) {
        if let Some(summary) = self.next_summary(at) {
            self.write(front, &zone_name(at), &summary.sign(&self.keys[at]));
        }
    }

    /// Publishes a defective summary for the front to reject: it claims that the site has no rows,
    /// or does not decode.
    pub fn publish_defective_summary(&self, at: usize, front: usize, what: &str) {
        let Some(current) = self.next_summary(at) else {
            return;
        };
        let empty = Summary {
            tables: vec![empty_table()],
            ..current.clone()
        };
        let bytes = match what {
            "forged" => empty.sign(&SigningKey::from_bytes(&[99; 32])),
            "altered" => {
                let mut bytes = current.sign(&self.keys[at]);
                let middle = bytes.len() / 2;
                bytes[middle] ^= 0x10;
                bytes
            }
            "cut short" => {
                let bytes = current.sign(&self.keys[at]);
                bytes[..bytes.len() * 2 / 3].to_vec()
            }
            _ => Summary {
                made_ms: now_ms() - STALE_AGE_MS,
                ..empty
            }
            .sign(&self.keys[at]),
        };
        self.write(front, "bad", &bytes);
    }
}

/// An empty table with the same column.
fn empty_table() -> Table {
    let column = Column {
        name: "v".to_string(),
        kind: Kind::Number { scale: 0 },
        nulls: 0,
        distinct: 0,
        bounds: None,
        tight: true,
        runs: Vec::new(),
        sketch: None,
        members: None,
    };
    Table {
        name: "t".to_string(),
        rows: 0,
        columns: vec![column],
    }
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl Drop for Sites {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[cfg(test)]
#[path = "sites_tests.rs"]
mod tests;
