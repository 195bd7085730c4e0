//! Sites of a rig: the rows behind each zone's engines, summaries of them signed by the site's key, in the directories
//! that fronts read, and ones that are to be refused.

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

pub const GROUP: u32 = 17;
const DAY_MS: u64 = 86_400_000;

/// What is wrong with a summary, and what the log of a front that was given it says.
pub const BAD: [(&str, &str); 4] = [
    ("forged", "signature does not hold"),
    ("altered", "scatter.directory"),
    ("cut short", "cut short"),
    ("yesterday's", "ms ago"),
];

#[derive(Default)]
struct Site {
    values: Vec<i64>,
    loads: LoadNumbers,
    version: u64,
}

pub struct Sites {
    sites: Vec<Mutex<Site>>,
    engines_per_zone: usize,
    keys: Vec<SigningKey>,
    folder: PathBuf,
    /// Where each load has left its row.
    pub landed: Mutex<HashMap<String, usize>>,
}

/// The number behind a text.
fn number(statement: &str, before: &str) -> Option<i64> {
    let rest = statement[statement.find(before)? + before.len()..].trim_start();
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

impl RowStore for Sites {
    fn answer(&self, engine: usize, statement: &str) -> String {
        let own = statement.find("id=").map_or("", |at| &statement[at + 3..]);
        let own = own.split([',', ' ']).next().unwrap_or_default();
        let at = engine / self.engines_per_zone;
        let Ok(mut site) = self.sites[at].lock() else {
            return String::new();
        };
        if statement.contains("insert into") {
            if let (Some(value), Ok(mut landed)) =
                (number(statement, "values ("), self.landed.lock())
            {
                site.values.push(value);
                landed.insert(own.to_string(), at);
            }
            if let Some(load) = number(statement, &format!("load {GROUP}:")) {
                site.loads.insert(load as u64);
            }
            return format!("{own}\t-\t-\n");
        }
        let (Some(from), Some(to)) = (number(statement, "between "), number(statement, " and "))
        else {
            return format!("{own}\t-\t-\n");
        };
        let found = site
            .values
            .iter()
            .filter(|value| (from..=to).contains(*value));
        found.map(|value| format!("{at}\t{value}\t-\n")).collect()
    }
}

impl Sites {
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
            landed: Mutex::default(),
        })
    }

    pub fn beside(&self, fronts: usize) -> Vec<MemberOptions> {
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

    /// The summary of what a site holds now, under its next version.
    fn summed(&self, at: usize) -> Option<Summary> {
        let mut site = self.sites[at].lock().ok()?;
        site.version += 1;
        let mut table = TableBuilder::new("t", &[("v", Kind::Number { scale: 0 })]);
        site.values
            .iter()
            .for_each(|value| table.add_row(&[Some(Value::Number(i128::from(*value)))]));
        let (site_name, loads, version) = (zone_name(at), site.loads.clone(), site.version);
        let about = SummaryHeader {
            site: site_name,
            group: GROUP,
            schema: 1,
            version,
            made_ms: now_ms(),
            loads,
        };
        Some(build_summary(about, vec![table], MAX_SUMMARY_BYTES))
    }

    /// Written beside and renamed, into the directory of a front.
    fn write(&self, front: usize, name: &str, bytes: &[u8]) {
        let beside = self.folder.join(format!("new-{front}"));
        let file = self.folder.join(format!("f{front}")).join(name);
        let _ = std::fs::write(&beside, bytes).and_then(|()| std::fs::rename(&beside, file));
    }

    /// Puts a site's summary as of now into the directory of a front.
    pub fn tell(&self, at: usize, front: usize) {
        if let Some(summary) = self.summed(at) {
            self.write(front, &zone_name(at), &summary.sign(&self.keys[at]));
        }
    }

    /// Puts one there that must count for nothing: it says that the site has no rows, or is no summary at all.
    pub fn tell_badly(&self, at: usize, front: usize, what: &str) {
        let Some(whole) = self.summed(at) else { return };
        let empty = Summary {
            tables: vec![none()],
            ..whole.clone()
        };
        let bytes = match what {
            "forged" => empty.sign(&SigningKey::from_bytes(&[99; 32])),
            "altered" => {
                let mut bytes = whole.sign(&self.keys[at]);
                let middle = bytes.len() / 2;
                bytes[middle] ^= 0x10;
                bytes
            }
            "cut short" => {
                let bytes = whole.sign(&self.keys[at]);
                bytes[..bytes.len() * 2 / 3].to_vec()
            }
            _ => Summary {
                made_ms: now_ms() - DAY_MS,
                ..empty
            }
            .sign(&self.keys[at]),
        };
        self.write(front, "bad", &bytes);
    }
}

/// The table without rows, of the same column.
fn none() -> Table {
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
