//! Marks of loads on one group, as they stand in the ledger: which loads a site's summary may not speak of yet, and what they
//! may have touched. Changed by compare and swap alone, so that all fronts see one order of changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::condition::Condition;
use crate::load;
use crate::plan::Why;
use crate::sql;
use crate::summary::{Column, Loads, Summary, Table};
use crate::value::Literal;

const MOST_MARKS: usize = 64; // of a site that are kept apart; more make one
const CROWDED: usize = 32; // of a site: from here on what any summary lifts is taken out
const FEWER: [usize; 3] = [16, 4, 1]; // of a site, where all sites' together are too long
/// Bytes of a group's marks: a thousand sites with two each.
pub const MOST_BYTES: usize = 64 << 10;

/// What a load may have touched.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Touched {
    /// Anything in the group.
    Anything,
    /// These rows came to this table, nothing else changed.
    Rows { table: String, columns: Vec<String>, rows: Vec<Vec<Cell>> },
}

/// A value that a load names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Cell {
    Null,
    Is(Literal),
    Unknown,
}

/// Loads at a site that its summary may not speak of yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Their numbers, from the first to the last.
    pub from: u64,
    pub to: u64,
    /// Unix milliseconds from which none of them can be running.
    pub ends_ms: u64,
    /// Once that moment has passed: the next load's number. A summary with that one or a later one speaks beyond these.
    pub over: Option<u64>,
    pub touched: Touched,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Site {
    /// The last number given.
    last: u64,
    /// The version of its summary that marks were lifted by: an older one proves nothing.
    needs: u64,
    marks: Vec<Mark>,
}

/// All marks on a group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Marks {
    sites: BTreeMap<String, Site>,
}

/// The ledger's key of a group's marks.
pub fn key(group: u32) -> String {
    format!("group/{group}")
}

/// A load's text as it goes to the site, which is to name the numbers in its summaries once the load is in them.
pub fn numbered(numbers: &[(u32, u64)], statement: &[u8]) -> Vec<u8> {
    let all: Vec<String> = numbers.iter().map(|(group, number)| format!("{group}:{number}")).collect();
    [format!("/* load {} */ ", all.join(" ")).as_bytes(), statement].concat()
}

/// The groups and numbers that a load carries.
pub fn numbers(statement: &[u8]) -> Vec<(u32, u64)> {
    let text = String::from_utf8_lossy(statement);
    let head = text.strip_prefix("/* load ").and_then(|rest| rest.split_once(" */"));
    let pair = |pair: &str| {
        let (group, number) = pair.split_once(':')?;
        Some((group.parse().ok()?, number.parse().ok()?))
    };
    head.map_or(Vec::new(), |(numbers, _)| numbers.split(' ').filter_map(pair).collect())
}

impl Marks {
    /// None: no marks, or damaged; then nothing is known.
    pub fn read(bytes: &[u8]) -> Option<Marks> {
        let (marks, rest) = postcard::take_from_bytes::<Marks>(bytes).ok()?;
        (rest.is_empty() && bytes.len() <= MOST_BYTES).then_some(marks)
    }

    /// None: they are too many to be kept, and the load can't be marked.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok().filter(|bytes| bytes.len() <= MOST_BYTES)
    }

    /// Marks a load at a site, which can't be running any more from `ends_ms` on. Its number.
    pub fn add(&mut self, site: &str, ends_ms: u64, touched: Touched) -> u64 {
        let site = self.sites.entry(site.to_string()).or_default();
        site.last += 1;
        site.marks.push(Mark { from: site.last, to: site.last, ends_ms, over: None, touched });
        site.fold(MOST_MARKS);
        site.last
    }

    /// Takes out what summaries lift that other fronts hold by now, and notes what can't be running any more
    /// by `wall_ms`, the clock of the front less what fronts' clocks may differ by. A mark that is out asks
    /// for a summary that lifted it: until one is held everywhere, fronts without it would have to ask the
    /// site.
    pub fn tidy<'a>(&mut self, wall_ms: u64, spoken: impl Fn(&str) -> Spoken<'a>) {
        for (name, site) in &mut self.sites {
            let next = site.last + 1;
            for mark in &mut site.marks {
                if mark.over.is_none() && mark.ends_ms < wall_ms {
                    mark.over = Some(next);
                }
            }
            let spoken = spoken(name);
            site.lift(spoken.settled);
            if site.marks.len() >= CROWDED {
                site.lift(spoken.newest);
            }
        }
    }

    /// Makes room where all marks together are too long: what any summary lifts goes, then marks are folded.
    pub fn fit<'a>(&mut self, spoken: impl Fn(&str) -> Spoken<'a>) {
        let mut fewer = FEWER.iter();
        let mut lifted = false;
        while self.bytes().is_none() {
            if !std::mem::replace(&mut lifted, true) {
                self.sites.iter_mut().for_each(|(name, site)| site.lift(spoken(name).newest));
                continue;
            }
            let Some(most) = fewer.next() else { return };
            self.sites.values_mut().for_each(|site| site.fold(*most));
        }
    }

    /// Surely none of the site's rows makes the condition TRUE, as far as loads go that were marked.
    pub fn prove(&self, summary: &Summary, table: &Table, condition: &Condition) -> bool {
        self.stands(summary, table, condition).is_none()
    }

    /// What loads may have touched that a summary does not speak of. None: it is too old to say.
    pub fn open(&self, summary: &Summary) -> Option<Vec<&Touched>> {
        let Some(site) = self.sites.get(&summary.site) else { return Some(Vec::new()) };
        let open = site.marks.iter().filter(|mark| !mark.is_lifted(&summary.loads));
        (summary.version >= site.needs).then(|| open.map(|mark| &mark.touched).collect())
    }

    /// What of loads stands against that.
    pub fn stands(&self, summary: &Summary, table: &Table, condition: &Condition) -> Option<Why> {
        let site = self.sites.get(&summary.site)?;
        if summary.version < site.needs {
            return Some(Why::Behind);
        }
        let mut open = site.marks.iter().filter(|mark| !mark.is_lifted(&summary.loads));
        let fits = open.find(|mark| !mark.touched.never_true(table, condition))?;
        Some(if fits.touched == Touched::Anything { Why::Load } else { Why::LoadRows })
    }

    /// How many marks stand, of all sites.
    pub fn len(&self) -> usize {
        self.sites.values().map(|site| site.marks.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The loads that a version of a site's summary speaks of.
pub type Version<'a> = Option<(u64, &'a Loads)>;

/// What a front holds of a site's word on loads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spoken<'a> {
    pub newest: Version<'a>,
    /// The newest that has been here long enough for other fronts to hold it too.
    pub settled: Version<'a>,
}

impl<'a> Spoken<'a> {
    /// All that is held counts as held by others.
    pub fn at_once(summary: Option<&'a Summary>) -> Spoken<'a> {
        let of = summary.map(|s| (s.version, &s.loads));
        Spoken { newest: of, settled: of }
    }
}

impl Site {
    /// Takes out what a version lifts. Older ones prove nothing from then on.
    fn lift(&mut self, by: Version) {
        let Some((version, loads)) = by else { return };
        let before = self.marks.len();
        self.marks.retain(|mark| !mark.is_lifted(loads));
        if self.marks.len() < before {
            self.needs = self.needs.max(version);
        }
    }

    /// Makes one of the first ones until there are no more than that.
    fn fold(&mut self, most: usize) {
        while self.marks.len() > most.max(1) {
            let first = self.marks.remove(0);
            let Some(second) = self.marks.first_mut() else { return };
            second.from = first.from;
            second.ends_ms = second.ends_ms.max(first.ends_ms);
            // None where either is not over.
            second.over = second.over.zip(first.over).map(|(a, b)| a.max(b));
            second.touched = Touched::Anything;
        }
    }
}

impl Mark {
    fn is_lifted(&self, loads: &Loads) -> bool {
        loads.has(self.from, self.to) || self.over.is_some_and(|over| loads.last() >= over)
    }
}

impl Touched {
    /// What a load says of itself, for the group that it names.
    pub fn by(statement: &[u8], group: u32) -> Touched {
        sql::parse(statement)
            .ok()
            .and_then(|statement| load::rows(statement, group))
            .unwrap_or(Touched::Anything)
    }

    fn never_true(&self, table: &Table, condition: &Condition) -> bool {
        match self {
            Touched::Anything => false,
            Touched::Rows { table: other, .. } if *other != table.name => true,
            Touched::Rows { columns, rows, .. } => {
                rows.iter().all(|row| condition.never_true(&one(table, columns, row)))
            }
        }
    }
}

/// A table of one row, of the columns whose values are known.
fn one(table: &Table, columns: &[String], row: &[Cell]) -> Table {
    let known = |column: &Column| {
        let place = columns.iter().position(|name| *name == column.name)?;
        let of = |nulls, bounds, tight| {
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
            Cell::Null => Some(of(1, None, true)),
            Cell::Is(literal) => {
                let point = literal.point(column.kind)?;
                Some(of(0, Some((point.below, point.above)), point.exact))
            }
            Cell::Unknown => None,
        }
    };
    let columns = table.columns.iter().filter_map(known).collect();
    Table { name: table.name.clone(), rows: 1, columns }
}
