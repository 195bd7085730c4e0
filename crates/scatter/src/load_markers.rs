//! Marks of loads on one group, as they stand in the ledger: which loads a site's summary may not speak of yet, and what they
//! may have touched. Changed by compare and swap alone, so that all fronts see one order of changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::condition::Condition;
use crate::load;
use crate::plan::Reason;
use crate::sql;
use crate::summary::{Column, LoadNumbers, Summary, Table};
use crate::value::Literal;

const MAX_SITE_MARKERS: usize = 64; // of a site that are kept apart; more make one
const EARLY_CLEAN_UP_MARKERS: usize = 32; // of a site: from here on what any summary lifts is taken out
const REDUCED_SITE_MARKERS: [usize; 3] = [16, 4, 1]; // of a site, where all sites' together are too long
/// Bytes of a group's marks: a thousand sites with two each.
pub const MAX_MARKERS_BYTES: usize = 64 << 10;

/// What a load may have touched.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Affected {
    /// Anything in the group.
    Anything,
    /// These rows came to this table, nothing else changed.
    Rows {
        /// The table's name, without its schema.
        table: String,
        /// The columns that are known of the rows.
        columns: Vec<String>,
        /// The rows, with one cell for each of these columns.
        rows: Vec<Vec<Cell>>,
    },
}

/// A value that a load names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Cell {
    /// It is null.
    Null,
    /// It is this constant.
    Is(Literal),
    /// An expression that is not evaluated here.
    Unknown,
}

/// LoadNumbers at a site that its summary may not speak of yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadMarker {
    /// Their numbers, from the first to the last.
    pub from: u64,
    /// The highest number, inclusive.
    pub to: u64,
    /// Unix milliseconds from which none of them can be running.
    pub ends_ms: u64,
    /// Once that moment has passed: the next load's number. A summary with that one or a later one speaks beyond these.
    pub ended_before: Option<u64>,
    /// What these loads may have changed.
    pub touched: Affected,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Site {
    /// The last number given.
    last: u64,
    /// The version of its summary that marks were cleared by: an older one proves nothing.
    min_version: u64,
    markers: Vec<LoadMarker>,
}

/// All marks on a group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadMarkers {
    sites: BTreeMap<String, Site>,
}

/// The ledger's key of a group's marks.
pub fn ledger_key(group: u32) -> String {
    format!("group/{group}")
}

/// A load's text as it goes to the site, which is to name the numbers in its summaries once the load is in them.
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

/// The groups and numbers that a load carries.
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
    /// None: no marks, or damaged; then nothing is known.
    pub fn read(bytes: &[u8]) -> Option<LoadMarkers> {
        let (markers, rest) = postcard::take_from_bytes::<LoadMarkers>(bytes).ok()?;
        (rest.is_empty() && bytes.len() <= MAX_MARKERS_BYTES).then_some(markers)
    }

    /// None: they are too many to be kept, and the load can't be marked.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self)
            .ok()
            .filter(|bytes| bytes.len() <= MAX_MARKERS_BYTES)
    }

    /// Marks a load at a site, which can't be running any more from `ends_ms` on. Its number.
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

    /// Takes out what summaries lift that other fronts hold by now, and notes what can't be running any more
    /// by `wall_ms`, the clock of the front less what fronts' clocks may differ by. A mark that is out asks
    /// for a summary that cleared it: until one is held everywhere, fronts without it would have to ask the
    /// site.
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

    /// Makes room where all marks together are too long: what any summary lifts goes, then marks are folded.
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

    /// Surely none of the site's rows makes the condition TRUE, as far as loads go that were marked.
    pub fn prove_absent(&self, summary: &Summary, table: &Table, condition: &Condition) -> bool {
        self.reason_to_ask(summary, table, condition).is_none()
    }

    /// What loads may have touched that a summary does not speak of. None: it is too old to say.
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

    /// What of loads stands against that.
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

    /// How many marks stand, of all sites.
    pub fn len(&self) -> usize {
        self.sites.values().map(|site| site.markers.len()).sum()
    }

    /// Whether no mark stands for any site.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The loads that a version of a site's summary speaks of.
pub type Version<'a> = Option<(u64, &'a LoadNumbers)>;

/// What a front holds of a site's word on loads.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoads<'a> {
    /// The newest version held, if it may count.
    pub newest: Version<'a>,
    /// The newest that has been here long enough for other fronts to hold it too.
    pub settled: Version<'a>,
}

impl<'a> ReportedLoads<'a> {
    /// All that is held counts as held by others.
    pub fn at_once(summary: Option<&'a Summary>) -> ReportedLoads<'a> {
        let version = summary.map(|s| (s.version, &s.loads));
        ReportedLoads {
            newest: version,
            settled: version,
        }
    }
}

impl Site {
    /// Takes out what a version lifts. Older ones prove nothing from then on.
    fn clear_covered(&mut self, by: Version) {
        let Some((version, loads)) = by else { return };
        let before = self.markers.len();
        self.markers.retain(|marker| !marker.is_covered(loads));
        if self.markers.len() < before {
            self.min_version = self.min_version.max(version);
        }
    }

    /// Makes one of the first ones until there are no more than that.
    fn merge_oldest(&mut self, limit: usize) {
        while self.markers.len() > limit.max(1) {
            let first = self.markers.remove(0);
            let Some(second) = self.markers.first_mut() else {
                return;
            };
            second.from = first.from;
            second.ends_ms = second.ends_ms.max(first.ends_ms);
            // None where either is not over.
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
    /// What a load says of itself, for the group that it names.
    pub fn of_statement(statement: &[u8], group: u32) -> Affected {
        sql::parse(statement)
            .ok()
            .and_then(|statement| load::rows(statement, group))
            .unwrap_or(Affected::Anything)
    }

    fn never_true(&self, table: &Table, condition: &Condition) -> bool {
        match self {
            Affected::Anything => false,
            Affected::Rows { table: other, .. } if *other != table.name => true,
            Affected::Rows { columns, rows, .. } => rows
                .iter()
                .all(|row| condition.never_true(&single_row_table(table, columns, row))),
        }
    }
}

/// A table of one row, of the columns whose values are known.
fn single_row_table(table: &Table, columns: &[String], row: &[Cell]) -> Table {
    let known = |column: &Column| {
        let place = columns.iter().position(|name| *name == column.name)?;
        let column_of = |nulls, bounds, tight| {
            let (name, kind, distinct) = (column.name.clone(), column.kind, column.distinct);
            // Nothing that the summary tells holds for this row.
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
