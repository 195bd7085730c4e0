//! The statistics that a site signs about its data, and their encoding. A summary is used only
//! after all of its content has been validated.

mod error;

use ed25519_dalek::{Signature, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};

pub use error::SummaryError;

use crate::filter::Members;
use crate::layers::{self, Detail, LAYERED_EXTENDED_FORMAT, LAYERED_FORMAT};
use crate::runs::{EncodedRuns, Runs};
use crate::sketch;
use crate::value::{less, Kind, Value, MAX_SCALE};

/// The size limit of a summary in bytes. It fits 50,000 values in filters, and is transferred in some 60
/// pieces.
pub const MAX_SUMMARY_BYTES: usize = 64 << 10;
const PLAIN_FORMAT: u16 = 1;
// Formats 2 and 4 are layered.
const EXTENDED_FORMAT: u16 = 3;
// The approximate encoded size of a run.
const APPROXIMATE_RUN_BYTES: usize = 6;
// Part of the signed bytes, so that a signature made for another purpose is not accepted.
const SIGNING_CONTEXT: &[u8] = b"hallmux summary\0";
/// The maximum number of tables in a summary.
pub const MAX_TABLES: usize = 64;
/// The maximum number of columns of a table in a summary.
pub const MAX_COLUMNS: usize = 256;
/// The maximum length of a table's or column's name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The maximum number of runs in [`LoadNumbers`].
pub const MAX_LOAD_RUNS: usize = 64;

/// A site's statistics about one table group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The format of the bytes; [`Summary::read`] rejects formats that it does not know.
    pub format: u16,
    /// The site that signed the summary.
    pub site: String,
    /// The table group that the summary describes.
    pub group: u32,
    /// The version of the tables' schema, as the operator counts it.
    pub schema: u32,
    /// Increases with each summary of this site and group, also across restarts of the site.
    pub version: u64,
    /// Unix milliseconds on the site's clock.
    pub made_ms: u64,
    /// The numbers of the marked loads whose rows are in the summary.
    pub loads: LoadNumbers,
    /// The group's tables, at most [`MAX_TABLES`]; their names differ.
    pub tables: Vec<Table>,
    /// How much of the summary is present.
    #[serde(skip)]
    pub detail: Detail,
}

/// Optional data that follows a summary: runs and sketches, with the positions of their tables and
/// columns.
#[derive(Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Extension {
    runs: Vec<(u16, u16, EncodedRuns)>,
    sketches: Vec<(u16, u16, Vec<u8>)>,
}

/// The numbers of the loads contained in a summary, as inclusive ranges in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadNumbers(pub Vec<(u64, u64)>);

impl LoadNumbers {
    /// Adds a number. If there are too many ranges the lowest ones are removed, which only causes
    /// more sites to be asked.
    pub fn insert(&mut self, number: u64) {
        if self.contains_range(number, number) {
            return;
        }
        let at = self.0.partition_point(|(from, _)| *from < number);
        self.0.insert(at, (number, number));
        self.0.dedup_by(|next, run| {
            let adjoins = run.1.checked_add(1).is_none_or(|after| next.0 <= after);
            if adjoins {
                run.1 = run.1.max(next.1);
            }
            adjoins
        });
        let excess = self.0.len().saturating_sub(MAX_LOAD_RUNS);
        self.0.drain(..excess);
    }

    /// Whether all numbers from `from` to `to` are contained.
    pub fn contains_range(&self, from: u64, to: u64) -> bool {
        self.0.iter().any(|run| run.0 <= from && to <= run.1)
    }

    /// The highest number contained; 0 if there is none.
    pub fn last(&self) -> u64 {
        self.0.last().map_or(0, |run| run.1)
    }
}

/// The statistics of one table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The table's name without its schema, in lower case as for unquoted names.
    pub name: String,
    /// The number of rows.
    pub rows: u64,
    /// The columns described, at most [`MAX_COLUMNS`]; their names differ.
    pub columns: Vec<Column>,
}

/// The statistics of one column.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Column {
    /// The column's name, in lower case.
    pub name: String,
    /// The kind of values that the column holds.
    pub kind: Kind,
    /// The number of rows in which the column is null.
    pub nulls: u64,
    /// The number of distinct values that are not null.
    pub distinct: u64,
    /// The least and the greatest value; text is ordered by its bytes. None: unknown.
    pub bounds: Option<(Value, Value)>,
    /// Whether the bounds are values of the column; bounds of long text are truncated.
    pub tight: bool,
    /// Ranges that contain all values of a column of numbers. Empty: only the bounds are known.
    #[serde(skip)]
    pub runs: Runs,
    /// A sketch of the distinct values, if the site is configured to make one.
    #[serde(skip)]
    pub sketch: Option<Vec<u8>>,
    /// The hashes of the column's values. None: unknown.
    pub members: Option<Members>,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct Signed {
    pub summary: Vec<u8>,
    pub signature: Vec<u8>,
}

pub(crate) fn signed(summary: Vec<u8>, key: &SigningKey) -> Vec<u8> {
    use ed25519_dalek::Signer;
    let signature = key.sign(&signed_bytes(&summary)).to_bytes().to_vec();
    postcard::to_stdvec(&Signed { summary, signature }).unwrap_or_default()
}

fn signed_bytes(summary: &[u8]) -> Vec<u8> {
    [SIGNING_CONTEXT, summary].concat()
}

impl Summary {
    /// Creates a summary without tables, in full detail and with version 1.
    pub fn empty(site: &str, group: u32) -> Summary {
        Summary {
            format: PLAIN_FORMAT,
            site: site.to_string(),
            group,
            schema: 0,
            version: 1,
            made_ms: 0,
            loads: LoadNumbers::default(),
            tables: Vec::new(),
            detail: Detail::Full,
        }
    }

    /// Encodes the summary with the site's signature.
    pub fn sign(&self, key: &SigningKey) -> Vec<u8> {
        signed(self.encoded(PLAIN_FORMAT, EXTENDED_FORMAT), key)
    }

    pub(crate) fn size(&self) -> usize {
        self.encoded(PLAIN_FORMAT, EXTENDED_FORMAT).len()
    }

    /// Encodes the summary: in the plain format if there is no extension, otherwise in the extended
    /// format with the extension after it. A summary with another format set keeps that format.
    pub(crate) fn encoded(&self, plain: u16, extended: u16) -> Vec<u8> {
        if self.format != PLAIN_FORMAT {
            return postcard::to_stdvec(self).unwrap_or_default();
        }
        let mut extension = Extension::default();
        for (at, table) in self.tables.iter().enumerate() {
            for (position, column) in table.columns.iter().enumerate() {
                let name = (at as u16, position as u16);
                extension
                    .runs
                    .extend(EncodedRuns::of(&column.runs).map(|runs| (name.0, name.1, runs)));
                extension
                    .sketches
                    .extend(column.sketch.clone().map(|sketch| (name.0, name.1, sketch)));
            }
        }
        let is_plain = extension == Extension::default();
        let format = if is_plain { plain } else { extended };
        let mut bytes = postcard::to_stdvec(&Summary {
            format,
            ..self.clone()
        })
        .unwrap_or_default();
        if !is_plain {
            bytes.extend(postcard::to_stdvec(&extension).unwrap_or_default());
        }
        bytes
    }

    /// Removes runs and sketches, of the columns with the largest ones first, until the encoded
    /// summary is not longer than `max_bytes`.
    pub(crate) fn drop_extensions(&mut self, max_bytes: usize, plain: u16, extended: u16) {
        while self.encoded(plain, extended).len() > max_bytes {
            let columns = self.tables.iter_mut().flat_map(|t| &mut t.columns);
            let length = |c: &Column| {
                c.runs.len() * APPROXIMATE_RUN_BYTES + c.sketch.as_ref().map_or(0, Vec::len)
            };
            let Some(largest) = columns.max_by_key(|c| length(c)).filter(|c| length(c) > 0) else {
                return;
            };
            (largest.runs, largest.sketch) = (Runs::new(), None);
        }
    }

    /// Reads the extension that follows the summary. Returns the bytes after it, or None if it is
    /// malformed.
    fn apply_extension<'a>(&mut self, trailing: &'a [u8]) -> Option<&'a [u8]> {
        let (extension, rest) = postcard::take_from_bytes::<Extension>(trailing).ok()?;
        for (table, column, runs) in extension.runs {
            let table = self.tables.get_mut(usize::from(table))?;
            table.columns.get_mut(usize::from(column))?.runs = runs.runs()?;
        }
        for (table, column, sketch) in extension.sketches {
            let table = self.tables.get_mut(usize::from(table))?;
            table.columns.get_mut(usize::from(column))?.sketch = Some(sketch);
        }
        Some(rest)
    }

    /// Decodes and verifies a summary of a site whose key is known. Its time and version are not
    /// checked here.
    pub fn read(
        bytes: &[u8],
        key: impl Fn(&str) -> Option<VerifyingKey>,
    ) -> Result<Summary, SummaryError> {
        if bytes.len() > MAX_SUMMARY_BYTES {
            return Err(SummaryError::Long(bytes.len()));
        }
        let (signed, rest) =
            postcard::take_from_bytes::<Signed>(bytes).map_err(|_| SummaryError::Form)?;
        let signature = Signature::from_slice(&signed.signature).map_err(|_| SummaryError::Form)?;
        // All formats begin with the format number.
        let (format, _) =
            postcard::take_from_bytes::<u16>(&signed.summary).map_err(|_| SummaryError::Form)?;
        if !matches!(
            format,
            PLAIN_FORMAT | LAYERED_FORMAT | EXTENDED_FORMAT | LAYERED_EXTENDED_FORMAT
        ) {
            return Err(SummaryError::Format(format));
        }
        let (mut summary, mut trailing) = postcard::take_from_bytes::<Summary>(&signed.summary)
            .map_err(|_| SummaryError::Form)?;
        if matches!(format, EXTENDED_FORMAT | LAYERED_EXTENDED_FORMAT) {
            trailing = summary
                .apply_extension(trailing)
                .ok_or(SummaryError::Form)?;
        }
        // The format is normalized, as the content shows which parts are present.
        summary.format = PLAIN_FORMAT;
        if matches!(format, LAYERED_FORMAT | LAYERED_EXTENDED_FORMAT) {
            summary.detail =
                layers::apply(&mut summary.tables, trailing, rest).ok_or(SummaryError::Form)?;
        } else if !rest.is_empty() || !trailing.is_empty() {
            return Err(SummaryError::Form);
        }
        let key = key(&summary.site).ok_or_else(|| SummaryError::Unknown(summary.site.clone()))?;
        key.verify_strict(&signed_bytes(&signed.summary), &signature)
            .map_err(|_| SummaryError::Forged(summary.site.clone()))?;
        match summary.inconsistency() {
            Some(what) => Err(SummaryError::Content {
                site: summary.site,
                group: summary.group,
                what,
            }),
            None => Ok(summary),
        }
    }

    /// The table with this name, if the summary contains it.
    pub fn table(&self, name: &str) -> Option<&Table> {
        self.tables.iter().find(|t| t.name == name)
    }

    /// Describes the first inconsistency of the content; None if there is none.
    fn inconsistency(&self) -> Option<&'static str> {
        let runs = &self.loads.0;
        let is_ordered =
            runs.windows(2).all(|w| w[0].1 < w[1].0) && runs.iter().all(|run| run.0 <= run.1);
        if runs.len() > MAX_LOAD_RUNS || !is_ordered {
            return Some("its loads");
        }
        let are_valid_names = |all: &mut dyn Iterator<Item = &String>, max_count: usize| {
            let mut names: Vec<&String> = all.collect();
            let count = names.len();
            names.sort_unstable();
            names.dedup();
            names.len() == count
                && count <= max_count
                && names.iter().all(|n| n.len() <= MAX_NAME_BYTES)
        };
        if !are_valid_names(&mut self.tables.iter().map(|t| &t.name), MAX_TABLES) {
            return Some("its tables' names");
        }
        for table in &self.tables {
            if !are_valid_names(&mut table.columns.iter().map(|c| &c.name), MAX_COLUMNS) {
                return Some("its columns' names");
            }
            if let Some(what) = table
                .columns
                .iter()
                .find_map(|c| c.inconsistency(table.rows))
            {
                return Some(what);
            }
        }
        None
    }
}

impl Table {
    /// The table without its columns' filters and sketches.
    pub fn without_filters(&self) -> Table {
        let without_filters = |c: &Column| Column {
            name: c.name.clone(),
            kind: c.kind,
            nulls: c.nulls,
            distinct: c.distinct,
            bounds: c.bounds.clone(),
            tight: c.tight,
            runs: c.runs.clone(),
            sketch: None,
            members: None,
        };
        Table {
            name: self.name.clone(),
            rows: self.rows,
            columns: self.columns.iter().map(without_filters).collect(),
        }
    }
}

impl Column {
    fn inconsistency(&self, rows: u64) -> Option<&'static str> {
        if matches!(self.kind, Kind::Number { scale } if scale > MAX_SCALE) {
            return Some("the digits of a number");
        }
        if self.nulls > rows || self.distinct > rows - self.nulls {
            return Some("a column's counts");
        }
        if let Some((least, greatest)) = &self.bounds {
            let is_ordered = |v: &Value| v.fits(self.kind) && crate::value::order(v, v).is_some();
            if !is_ordered(least) || !is_ordered(greatest) || less(greatest, least) {
                return Some("a column's least and greatest value");
            }
        }
        if let (Some((from, _)), Some((_, to))) = (self.runs.first(), self.runs.last()) {
            let ends = Some((Value::Number(*from), Value::Number(*to)));
            if !matches!(self.kind, Kind::Number { .. }) || self.bounds != ends {
                return Some("a column's runs");
            }
        }
        if self
            .sketch
            .as_ref()
            .is_some_and(|sketch| !sketch::is_valid(sketch))
        {
            return Some("a column's sketch");
        }
        let members = self.members.as_ref();
        members
            .is_some_and(|m| !m.is_valid())
            .then_some("a column's filter")
    }
}
