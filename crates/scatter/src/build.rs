//! Builds a site's summary from its rows, within a limit of bytes.

use std::collections::BTreeSet;

use ed25519_dalek::SigningKey;

use crate::filter::Members;
use crate::layers;
use crate::summary::{Column, LoadNumbers, Summary, Table, MAX_SUMMARY_BYTES};
use crate::value::{less, Kind, Value};
use crate::{runs, sketch};

// Longer bounds are truncated.
const MAX_BOUND_TEXT_BYTES: usize = 64;
// A filter of more hashes would not fit.
const MAX_COLUMN_HASHES: usize = MAX_SUMMARY_BYTES;
// For the signature and the lengths around it.
const RESERVED_SIGNATURE_BYTES: usize = 128;

/// The fields of a summary that do not come from its tables.
#[derive(Clone, Debug)]
pub struct SummaryHeader {
    /// The site that signs the summary.
    pub site: String,
    /// The table group that the summary describes.
    pub group: u32,
    /// The version of the tables' schema, as the operator counts it.
    pub schema: u32,
    /// The summary's version; must increase with each summary of this site and group.
    pub version: u64,
    /// Unix milliseconds on the site's clock.
    pub made_ms: u64,
    /// The numbers of the marked loads whose rows are in the summary.
    pub loads: LoadNumbers,
}

/// Collects the rows of one table.
pub struct TableBuilder {
    name: String,
    rows: u64,
    columns: Vec<ColumnBuilder>,
}

struct ColumnBuilder {
    name: String,
    kind: Kind,
    nulls: u64,
    bounds: Option<(Value, Value)>,
    /// Whether a value had no order or did not fit the column's kind: the column's bounds and
    /// filter are not usable then.
    unordered: bool,
    runs: runs::RunsBuilder,
    sketch: Option<sketch::SketchBuilder>,
    hashes: BTreeSet<u64>,
}

impl TableBuilder {
    /// Creates a builder without rows. `name` is the table's name without its schema; table and
    /// column names are converted to lower case, as for unquoted identifiers.
    pub fn new(name: &str, columns: &[(&str, Kind)]) -> TableBuilder {
        let column_builder = |(name, kind): &(&str, Kind)| ColumnBuilder {
            name: name.to_ascii_lowercase(),
            kind: *kind,
            nulls: 0,
            bounds: None,
            unordered: false,
            runs: runs::RunsBuilder::default(),
            sketch: None,
            hashes: BTreeSet::new(),
        };
        TableBuilder {
            name: name.to_ascii_lowercase(),
            rows: 0,
            columns: columns.iter().map(column_builder).collect(),
        }
    }

    /// Also builds sketches of the distinct values of these columns, where their kind supports it.
    pub fn with_sketches(mut self, columns: &[&str]) -> TableBuilder {
        for column in self
            .columns
            .iter_mut()
            .filter(|column| columns.contains(&column.name.as_str()))
        {
            column.sketch = sketch::SketchBuilder::new(column.kind);
        }
        self
    }

    /// Adds a row whose values are in the order of the columns; None and missing values are null.
    pub fn add_row(&mut self, values: &[Option<Value>]) {
        self.rows += 1;
        for (position, column) in self.columns.iter_mut().enumerate() {
            match values.get(position) {
                Some(Some(value)) => column.add_value(value),
                _ => column.nulls += 1,
            }
        }
    }

    /// Returns the table with its full filters, and the small filters by column.
    fn finish(self) -> (Table, Vec<Option<Members>>) {
        let (columns, small) = self.columns.into_iter().map(ColumnBuilder::finish).unzip();
        (
            Table {
                name: self.name,
                rows: self.rows,
                columns,
            },
            small,
        )
    }
}

impl ColumnBuilder {
    fn add_value(&mut self, value: &Value) {
        if self.hashes.len() < MAX_COLUMN_HASHES {
            self.hashes.insert(value.hash());
        }
        // Engines do not agree on the order of NaN.
        if !value.fits(self.kind) || matches!(value, Value::Float(f) if !f.is_finite()) {
            self.unordered = true;
            return;
        }
        self.sketch
            .iter_mut()
            .for_each(|sketch| sketch.add_value(value));
        if let Value::Number(number) = value {
            self.runs.add_value(*number);
        }
        match &mut self.bounds {
            None => self.bounds = Some((value.clone(), value.clone())),
            Some((least, greatest)) => {
                if less(value, least) {
                    *least = value.clone();
                } else if less(greatest, value) {
                    *greatest = value.clone();
                }
            }
        }
    }

    fn finish(self) -> (Column, Option<Members>) {
        let distinct = self.hashes.len() as u64;
        let usable = !self.unordered && self.kind != Kind::Other;
        let (mut bounds, mut tight) = (self.bounds.filter(|_| usable), true);
        if let Some((Value::Text(least), Value::Text(greatest))) = &mut bounds {
            if least.len() > MAX_BOUND_TEXT_BYTES {
                (tight, *least) = (false, truncate(least).to_string());
            }
            if greatest.len() > MAX_BOUND_TEXT_BYTES {
                tight = false;
                match prefix_successor(truncate(greatest)) {
                    Some(text) => *greatest = text,
                    None => bounds = None,
                }
            }
        }
        let runs = if usable { self.runs.runs() } else { Vec::new() };
        let sketch = self
            .sketch
            .as_ref()
            .filter(|_| usable)
            .map(sketch::SketchBuilder::bytes);
        // Engines round floats differently, so that equality of floats proves nothing.
        let has_all_hashes =
            self.hashes.len() < MAX_COLUMN_HASHES && usable && self.kind != Kind::Float;
        let hashes: Vec<u64> = self.hashes.into_iter().filter(|_| has_all_hashes).collect();
        let small = has_all_hashes.then(|| Members::small(hashes.clone()));
        let members = has_all_hashes.then(|| Members::new(hashes)).flatten();
        let (name, kind, nulls) = (self.name, self.kind, self.nulls);
        (
            Column {
                name,
                kind,
                nulls,
                distinct,
                bounds,
                tight,
                runs,
                sketch,
                members,
            },
            small,
        )
    }
}

fn truncate(text: &str) -> &str {
    let mut end = MAX_BOUND_TEXT_BYTES.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// Returns a text that is greater than every text with the given prefix: the
/// prefix with its last character that has a successor replaced by that successor. None if no
/// character has one.
pub fn prefix_successor(text: &str) -> Option<String> {
    let mut chars: Vec<char> = text.chars().collect();
    while let Some(last) = chars.pop() {
        let next = (u32::from(last) + 1..=u32::from(char::MAX))
            .take(0x801)
            .find_map(char::from_u32);
        if let Some(next) = next {
            chars.push(next);
            return Some(chars.into_iter().collect());
        }
    }
    None
}

/// Builds the summary of a group's tables. Removes the largest filters while the summary is longer
/// than `max_bytes` (at most [`MAX_SUMMARY_BYTES`]).
pub fn build_summary(
    header: SummaryHeader,
    tables: Vec<TableBuilder>,
    max_bytes: usize,
) -> Summary {
    let SummaryHeader {
        site,
        group,
        schema,
        version,
        made_ms,
        loads,
    } = header;
    let tables = tables.into_iter().map(|table| table.finish().0).collect();
    let mut summary = Summary {
        schema,
        version,
        made_ms,
        loads,
        tables,
        ..Summary::empty(&site, group)
    };
    let max_content_bytes = max_bytes
        .min(MAX_SUMMARY_BYTES)
        .saturating_sub(RESERVED_SIGNATURE_BYTES);
    while summary.size() > max_content_bytes {
        let columns = summary.tables.iter_mut().flat_map(|t| &mut t.columns);
        let largest = columns.max_by_key(|c| c.members.as_ref().map_or(0, Members::size));
        if largest.and_then(|c| c.members.take()).is_none() {
            break;
        }
    }
    summary.drop_extensions(max_content_bytes, summary.format, summary.format);
    summary
}

/// Builds and signs a summary in layers, of which fronts may hold only the first ones.
pub fn build_layered_summary(
    header: SummaryHeader,
    tables: Vec<TableBuilder>,
    max_bytes: usize,
    key: &SigningKey,
) -> Vec<u8> {
    let SummaryHeader {
        site,
        group,
        schema,
        version,
        made_ms,
        loads,
    } = header;
    let (mut small, mut full) = (Vec::new(), Vec::new());
    let mut finish_table = |(table_position, table): (usize, TableBuilder)| {
        let (mut table, small_filters) = table.finish();
        for (position, (column, small_filter)) in
            table.columns.iter_mut().zip(small_filters).enumerate()
        {
            let name = (table_position as u16, position as u16);
            let members = column.members.take();
            // With few values the small filter already holds all hashes.
            full.extend(
                members
                    .filter(|m| Some(m) != small_filter.as_ref())
                    .map(|m| (name.0, name.1, m)),
            );
            small.extend(small_filter.map(|m| (name.0, name.1, m)));
        }
        table
    };
    let tables = tables
        .into_iter()
        .enumerate()
        .map(&mut finish_table)
        .collect();
    let summary = Summary {
        schema,
        version,
        made_ms,
        loads,
        tables,
        ..Summary::empty(&site, group)
    };
    layers::sign(summary, small, full, max_bytes, key)
}
