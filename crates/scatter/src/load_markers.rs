//! Load markers of one table group, as they are stored in the ledger: which loads a site's summary
//! may not cover yet, and what they may have changed. The entry is changed by compare-and-swap
//! only, so that all fronts see the same order of changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::condition::Condition;
use crate::load;
use crate::plan::Reason;
use crate::sql;
use crate::summary::{Column, LoadNumbers, Summary, Table};
use crate::value::Literal;

// Beyond this number the oldest markers of a site are merged.
const MAX_SITE_MARKERS: usize = 64;
// From this number on, markers covered by the newest summary are removed before it has settled.
const EARLY_CLEAN_UP_MARKERS: usize = 32;
// Per site, applied in turn while the group's entry is too long.
const REDUCED_SITE_MARKERS: [usize; 3] = [16, 4, 1];
/// The size limit of a group's markers, in bytes: a thousand sites with two markers each.
pub const MAX_MARKERS_BYTES: usize = 64 << 10;

/// What a load may have changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Affected {
    /// Anything in the group.
    Anything,
    /// Rows were added to this table; nothing else changed.
    Rows {
        /// The table's name, without its schema.
        table: String,
        /// The columns whose values are known.
        columns: Vec<String>,
        /// The rows, with one cell for each of these columns.
        rows: Vec<Vec<Cell>>,
    },
}

/// A value of a row that a load adds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Cell {
    /// NULL.
    Null,
    /// A constant.
    Is(Literal),
    /// The value of an expression that is not evaluated here.
    Unknown,
}

/// Marks a range of loads at a site which the site's summary may not cover yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadMarker {
    /// The lowest load number, inclusive.
    pub from: u64,
    /// The highest load number, inclusive.
    pub to: u64,
    /// Unix milliseconds from which none of the loads can be running.
    pub ends_ms: u64,
    /// The number of the next load, set once `ends_ms` has passed. A summary that contains a load
    /// with this number or a later one covers the marked loads.
    pub ended_before: Option<u64>,
    /// What these loads may have changed.
    pub touched: Affected,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Site {
    /// The highest load number assigned.
    last: u64,
    /// Summaries of an older version than this prove nothing, because markers were removed on the
    /// basis of this version.
    min_version: u64,
    markers: Vec<LoadMarker>,
}

/// All load markers of a table group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadMarkers {
    sites: BTreeMap<String, Site>,
}

/// The ledger key of a group's load markers.
pub fn ledger_key(group: u32) -> String {
    format!("group/{group}")
}

/// The text of a load as it is sent to its site. The site names the load's numbers in its summaries
/// once they include the load's rows.
pub fn with_load_numbers(numbers: &[(u32, u64)], statement: &[u8]) -> Vec<u8> {
    let all: Vec<String> = numbers
        .iter()
        .map(|(group, number)| format!("{group}:{number}"))
        .collect();
    [
        format!("/* load {} */ ", all.join(" ")).as_bytes(),
        statement,
    ]
    .concat()
}

/// The groups and load numbers that a load's text contains.
pub fn load_numbers(statement: &[u8]) -> Vec<(u32, u64)> {
    let text = String::from_utf8_lossy(statement);
    let head = text
        .strip_prefix("/* load ")
        .and_then(|rest| rest.split_once(" */"));
    let group_and_number = |pair: &str| {
        let (group, number) = pair.split_once(':')?;
        Some((group.parse().ok()?, number.parse().ok()?))
    };
    head.map_or(Vec::new(), |(numbers, _)| {
        numbers.split(' ').filter_map(group_and_number).collect()
    })
}

impl LoadMarkers {
    /// Decodes an entry. None if it is damaged or too long; nothing is known about loads then.
    pub fn read(bytes: &[u8]) -> Option<LoadMarkers> {
        let (markers, rest) = postcard::take_from_bytes::<LoadMarkers>(bytes).ok()?;
        (rest.is_empty() && bytes.len() <= MAX_MARKERS_BYTES).then_some(markers)
    }

    /// Encodes the entry. None if it is too long to be stored, so that the load can't be marked.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self)
            .ok()
            .filter(|bytes| bytes.len() <= MAX_MARKERS_BYTES)
    }

    /// Adds a marker for a load at a site that can't be running from `ends_ms` on. Returns the
    /// load's number.
    pub fn add(&mut self, site: &str, ends_ms: u64, touched: Affected) -> u64 {
        let site = self.sites.entry(site.to_string()).or_default();
        site.last += 1;
        site.markers.push(LoadMarker {
            from: site.last,
            to: site.last,
            ends_ms,
            ended_before: None,
            touched,
        });
        site.merge_oldest(MAX_SITE_MARKERS);
        site.last
    }

    /// Removes markers that settled summaries cover, and records which loads can't be running any
    /// more. `wall_ms` is the front's clock minus the clock skew allowed between fronts. Once a
    /// marker is removed, a front whose summary is older than the one that covered the loads must
    /// ask the site. A marker is therefore kept until peers are expected to hold that summary.
    pub fn clean_up<'a>(
        &mut self,
        wall_ms: u64,
        reported_loads: impl Fn(&str) -> ReportedLoads<'a>,
    ) {
        for (name, site) in &mut self.sites {
            let next = site.last + 1;
            for marker in &mut site.markers {
                if marker.ended_before.is_none() && marker.ends_ms < wall_ms {
                    marker.ended_before = Some(next);
                }
            }
            let reported_loads = reported_loads(name);
            site.clear_covered(reported_loads.settled);
            if site.markers.len() >= EARLY_CLEAN_UP_MARKERS {
                site.clear_covered(reported_loads.newest);
            }
        }
    }

    /// Shortens the entry until it can be stored: removes the markers that the newest summaries
    /// cover, then merges the oldest markers of each site.
    pub fn shrink_to_fit<'a>(&mut self, reported_loads: impl Fn(&str) -> ReportedLoads<'a>) {
        let mut limits = REDUCED_SITE_MARKERS.iter();
        let mut cleared_covered = false;
        while self.bytes().is_none() {
            if !std::mem::replace(&mut cleared_covered, true) {
                self.sites
                    .iter_mut()
                    .for_each(|(name, site)| site.clear_covered(reported_loads(name).newest));
                continue;
            }
            let Some(limit) = limits.next() else { return };
            self.sites
                .values_mut()
                .for_each(|site| site.merge_oldest(*limit));
        }
    }

    /// Whether the marked loads can't have added a row at the site that makes the condition TRUE.
    pub fn prove_absent(&self, summary: &Summary, table: &Table, condition: &Condition) -> bool {
        self.reason_to_ask(summary, table, condition).is_none()
    }

    /// What loads that the summary does not cover may have changed. None if the summary is too old
    /// to tell.
    pub fn uncovered(&self, summary: &Summary) -> Option<Vec<&Affected>> {
        let Some(site) = self.sites.get(&summary.site) else {
            return Some(Vec::new());
        };
        let uncovered = site
            .markers
            .iter()
            .filter(|marker| !marker.is_covered(&summary.loads));
        (summary.version >= site.min_version)
            .then(|| uncovered.map(|marker| &marker.touched).collect())
    }

    /// Why the marked loads require the site to be asked; None if they do not.
    pub fn reason_to_ask(
        &self,
        summary: &Summary,
        table: &Table,
        condition: &Condition,
    ) -> Option<Reason> {
        let site = self.sites.get(&summary.site)?;
        if summary.version < site.min_version {
            return Some(Reason::SummaryBehind);
        }
        let mut uncovered = site
            .markers
            .iter()
            .filter(|marker| !marker.is_covered(&summary.loads));
        let matching = uncovered.find(|marker| !marker.touched.never_true(table, condition))?;
        Some(if matching.touched == Affected::Anything {
            Reason::UnknownLoad
        } else {
            Reason::LoadedRows
        })
    }

    /// The number of markers, of all sites.
    pub fn len(&self) -> usize {
        self.sites.values().map(|site| site.markers.len()).sum()
    }

    /// Whether no site has a marker.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A summary's version and the loads whose rows it contains.
pub type Version<'a> = Option<(u64, &'a LoadNumbers)>;

/// The loads that the summaries of a site contain, as far as this front holds them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoads<'a> {
    /// The newest version held, if it is valid.
    pub newest: Version<'a>,
    /// The newest version held for long enough that peers are expected to hold it too.
    pub settled: Version<'a>,
}

impl<'a> ReportedLoads<'a> {
    /// Treats the summary as settled at once.
    pub fn at_once(summary: Option<&'a Summary>) -> ReportedLoads<'a> {
        let version = summary.map(|s| (s.version, &s.loads));
        ReportedLoads {
            newest: version,
            settled: version,
        }
    }
}

impl Site {
    /// Removes the markers that this version covers; older versions prove nothing from then on.
    fn clear_covered(&mut self, by: Version) {
        let Some((version, loads)) = by else { return };
        let before = self.markers.len();
        self.markers.retain(|marker| !marker.is_covered(loads));
        if self.markers.len() < before {
            self.min_version = self.min_version.max(version);
        }
    }

    /// Merges the oldest markers until at most `limit` are left.
    fn merge_oldest(&mut self, limit: usize) {
        while self.markers.len() > limit.max(1) {
            let first = self.markers.remove(0);
            let Some(second) = self.markers.first_mut() else {
                return;
            };
            second.from = first.from;
            second.ends_ms = second.ends_ms.max(first.ends_ms);
            // None if either load may still be running.
            second.ended_before = second
                .ended_before
                .zip(first.ended_before)
                .map(|(a, b)| a.max(b));
            second.touched = Affected::Anything;
        }
    }
}

impl LoadMarker {
    fn is_covered(&self, loads: &LoadNumbers) -> bool {
        loads.contains_range(self.from, self.to)
            || self
                .ended_before
                .is_some_and(|number| loads.last() >= number)
    }
}

impl Affected {
    /// What a load changes in this group, according to its text.
    pub fn of_statement(statement: &[u8], group: u32) -> Affected {
        sql::parse(statement)
            .ok()
            .and_then(|statement| load::rows(statement, group))
            .unwrap_or(Affected::Anything)
    }

    fn never_true(&self, table: &Table, condition: &Condition) -> bool {
        match self {
            Affected::Anything => false,
            Affected::Rows { table: changed, .. } if *changed != table.name => true,
            Affected::Rows { columns, rows, .. } => rows
                .iter()
                .all(|row| condition.never_true(&single_row_table(table, columns, row))),
        }
    }
}

/// A table of one row with the columns whose values are known.
fn single_row_table(table: &Table, columns: &[String], row: &[Cell]) -> Table {
    let known = |column: &Column| {
        let place = columns.iter().position(|name| *name == column.name)?;
        let column_of = |nulls, bounds, tight| {
            let (name, kind, distinct) = (column.name.clone(), column.kind, column.distinct);
            // The other statistics of the column do not apply to this row.
            Column {
                name,
                kind,
                nulls,
                distinct,
                bounds,
                tight,
                runs: Vec::new(),
                sketch: None,
                members: None,
            }
        };
        match row.get(place)? {
            Cell::Null => Some(column_of(1, None, true)),
            Cell::Is(literal) => {
                let point = literal.point(column.kind)?;
                Some(column_of(0, Some((point.below, point.above)), point.exact))
            }
            Cell::Unknown => None,
        }
    };
    let columns = table.columns.iter().filter_map(known).collect();
    Table {
        name: table.name.clone(),
        rows: 1,
        columns,
    }
}
