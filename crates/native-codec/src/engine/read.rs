//! Decodes the replies of engines.

use super::{Reply, ReplyKind};
use crate::wire_names::engine;
use crate::{Decoded, ParseError};

/// The maximum length of a line, in bytes.
pub(super) const MAX_LINE_BYTES: usize = 4096;
/// The maximum length of a page in the protocol, in bytes.
const MAX_PAGE_BYTES: usize = 6_000;
/// The number of columns of a result.
const RESULT_COLUMNS: usize = 3;
/// The maximum value of a figure of a load report or note, in any unit.
const MAX_FIGURE: f64 = 1e9;
const LINE_END: &[u8] = b"\r\n";
/// The placeholder for a reply without fields.
const NO_FIELDS: &str = "-";

/// Decodes the reply at the start of `input`, with its page; None if it is incomplete. `figures`
/// are the names in the settings of the figures to read from a load report.
pub fn read<'a>(
    input: &'a [u8],
    figures: &[String],
) -> Result<Option<Decoded<Reply<'a>>>, ParseError> {
    let Some(line_len) = line_len(input)? else {
        return Ok(None);
    };
    let line = Line::parse(&input[..line_len])?;
    let mut len = line_len + LINE_END.len();
    let mut bytes: &[u8] = &[];
    if let Some(page_len) = line.page_len()? {
        let Some(page) = input.get(len..len + page_len + LINE_END.len()) else {
            return Ok(None);
        };
        bytes = page
            .strip_suffix(LINE_END)
            .ok_or_else(|| ParseError::new("a page without its CRLF"))?;
        len += page.len();
    }
    let report = field(line.fields, engine::LOAD_REPORT);
    Ok(Some(Decoded {
        len,
        message: Reply {
            id: line.id,
            kind: kind(line.word, line.fields)?,
            report: report.and_then(|text| load_report(text, figures)),
            bytes,
        },
    }))
}

/// Returns the length of the first line without its end, in bytes; None if it is incomplete.
fn line_len(input: &[u8]) -> Result<Option<usize>, ParseError> {
    let mut pairs = input.windows(LINE_END.len()).take(MAX_LINE_BYTES);
    let end = pairs.position(|pair| pair == LINE_END);
    if end.is_none() && input.len() > MAX_LINE_BYTES {
        return Err(ParseError::new("a line over the size limit"));
    }
    Ok(end)
}

/// The words of a reply's line.
struct Line<'a> {
    id: &'a str,
    word: &'a str,
    fields: &'a str,
    page_len: Option<&'a str>,
}

impl<'a> Line<'a> {
    fn parse(bytes: &'a [u8]) -> Result<Line<'a>, ParseError> {
        let text =
            std::str::from_utf8(bytes).map_err(|_| ParseError::new("a line that is not UTF-8"))?;
        let is_number = |word: &str| word.bytes().all(|c| c.is_ascii_digit());
        let words: Vec<&str> = text.split(' ').collect();
        let (id, word, fields, page_len) = match words[..] {
            [id, word] => (id, word, NO_FIELDS, None),
            [id, word, last] if is_number(last) => (id, word, NO_FIELDS, Some(last)),
            [id, word, fields] => (id, word, fields, None),
            [id, word, fields, page_len] => (id, word, fields, Some(page_len)),
            _ => {
                let count = words.len();
                return Err(ParseError::new(format!("a line of {count} words")));
            }
        };
        Ok(Line {
            id,
            word,
            fields,
            page_len,
        })
    }

    /// Returns the length of the page after the line, in bytes; None if there is no page.
    fn page_len(&self) -> Result<Option<usize>, ParseError> {
        let Some(text) = self.page_len else {
            return Ok(None);
        };
        match text.parse() {
            Ok(len) if len <= MAX_PAGE_BYTES => Ok(Some(len)),
            _ => Err(ParseError::new("an invalid page length")),
        }
    }
}

/// Returns the value of a field in `name=value,name=value`.
fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the kind and content of a reply from its word and fields.
fn kind(word: &str, fields: &str) -> Result<ReplyKind, ParseError> {
    if engine::FAILED.contains(&word) {
        return Ok(ReplyKind::Failed);
    }
    match word {
        engine::FIRST_PAGE => first_page(fields),
        engine::PAGE => page(fields),
        engine::REJECTED => Ok(ReplyKind::Rejected),
        engine::STALE => Ok(ReplyKind::Stale),
        engine::NOTE => Ok(note(fields)),
        engine::HEALTHY => Ok(ReplyKind::ProbeAnswer { healthy: true }),
        engine::UNHEALTHY => Ok(ReplyKind::ProbeAnswer { healthy: false }),
        other => Err(ParseError::new(format!("an unknown reply '{other}'"))),
    }
}

fn first_page(fields: &str) -> Result<ReplyKind, ParseError> {
    let pages = match field(fields, engine::PAGE_COUNT).map(str::parse::<usize>) {
        None => 1,
        Some(Ok(pages)) => pages.max(1),
        Some(Err(_)) => return Err(ParseError::new("an invalid page count")),
    };
    Ok(ReplyKind::FirstPage { pages })
}

fn page(fields: &str) -> Result<ReplyKind, ParseError> {
    match field(fields, engine::PAGE_NUMBER).map(str::parse) {
        Some(Ok(number)) => Ok(ReplyKind::Page { number }),
        _ => Err(ParseError::new("a page without a valid number")),
    }
}

fn note(fields: &str) -> ReplyKind {
    let kind = field(fields, engine::NOTE_KIND);
    let number = field(fields, engine::NOTE_FIGURE).and_then(figure);
    match (kind, number) {
        (Some(engine::SHARE_DONE), Some(share)) => ReplyKind::ShareDone(share),
        (Some(engine::SPILLS_MB), Some(mb)) => ReplyKind::SpillsMb(mb),
        (Some(engine::WAITING), Some(engine::WAITING_FOR_MEMORY)) => ReplyKind::WaitsForMemory,
        (Some(engine::WAITING), Some(engine::WAITING_FOR_DATA)) => ReplyKind::WaitsForData,
        _ => ReplyKind::OtherNote,
    }
}

/// Returns the figures of a load report by their names in the settings; None if one is missing or
/// invalid.
fn load_report(text: &str, names: &[String]) -> Option<Vec<f64>> {
    names
        .iter()
        .map(|name| {
            let on_wire = || wire_name(name).and_then(|wire_name| report_value(text, wire_name));
            figure(report_value(text, name).or_else(on_wire)?)
        })
        .collect()
}

/// Returns the text of a figure in `name:value;name:value`.
fn report_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(';')
        .find_map(|f| f.strip_prefix(name)?.strip_prefix(':'))
}

/// Returns the wire name of a figure in the settings, if it differs.
fn wire_name(in_settings: &str) -> Option<&'static str> {
    let mut figures = engine::REPORT_FIGURES.iter();
    let figure = figures.find(|figure| figure.in_settings == in_settings)?;
    Some(figure.on_wire)
}

fn figure(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|value| (0.0..=MAX_FIGURE).contains(value))
}

/// Whether a page consists of complete rows: each has three columns of text separated by tabs, and
/// ends with a line feed.
pub fn are_rows(bytes: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return false;
    };
    let row = |row: &str| {
        let columns = row.strip_suffix('\n').map(|row| row.split('\t'));
        columns.is_some_and(|c| {
            c.clone().count() == RESULT_COLUMNS
                && !c.into_iter().any(|c| c.contains(|c: char| c.is_control()))
        })
    };
    text.split_inclusive('\n').all(row)
}
