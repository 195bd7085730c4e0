//! What a front and a query engine say to one another: lines of words, some with bytes behind them.

use std::io::Write;

use crate::ParseError;

const LONGEST_LINE: usize = 4096; // bytes; the longest hold a load report and some fields
const LONGEST_PAGE: usize = 6_000; // bytes, as the protocol has it
const COLUMNS: usize = 3; // of a result
const MOST_FIGURE: f64 = 1e9; // of a load report or note; in any unit more than engines have

/// An execution as it goes to an engine; the words are the client's own.
pub struct Want<'a> {
    pub id: &'a str,
    pub workload: &'a str,
    pub dedup_key: Option<&'a str>,
    pub wait_ms: i64,
    /// 0 leaves it to the engine.
    pub grant_mb: f64,
    pub priority: u8,
    pub statement: &'a [u8],
}

/// What a front says.
pub enum Command<'a> {
    Want(Want<'a>),
    NeverMind(&'a str),
    Hurry(&'a str, u8),
    Page(&'a str, usize),
    NoMorePages(&'a str),
    Probe(&'a str),
}

pub fn write(out: &mut Vec<u8>, command: &Command) {
    let written = match command {
        Command::Want(want) => write_want(out, want),
        Command::NeverMind(id) => write!(out, "never_mind {id}\r\n"),
        Command::Hurry(id, priority) => write!(out, "hurry {id} {priority}\r\n"),
        Command::Page(id, page) => write!(out, "turn {id} {page}\r\n"),
        Command::NoMorePages(id) => write!(out, "shut {id}\r\n"),
        Command::Probe(tag) => write!(out, "busy {tag}\r\n"),
    };
    debug_assert!(written.is_ok(), "writing to memory cannot fail");
}

fn write_want(out: &mut Vec<u8>, want: &Want) -> std::io::Result<()> {
    write!(out, "want {} class={},wait={}", want.id, want.workload, want.wait_ms)?;
    if let Some(key) = want.dedup_key {
        write!(out, ",once={key}")?;
    }
    if want.grant_mb > 0.0 {
        write!(out, ",mb={:.0}", want.grant_mb.max(1.0))?;
    }
    write!(out, ",nice={} {}\r\n", want.priority, want.statement.len())?;
    out.extend_from_slice(want.statement);
    out.write_all(b"\r\n")
}

/// What an engine says of an execution or a probe.
#[derive(Debug, PartialEq)]
pub enum Said {
    /// The first page, and how many there are in all.
    First {
        pages: usize,
    },
    Page {
        number: usize,
    },
    TurnedAway,
    Failed,
    Stale,
    ShareDone(f64),
    SpillsMb(f64),
    WaitsForMemory,
    WaitsForData,
    /// An empty or unknown note: it is not over yet.
    Nothing,
    Probed {
        alive: bool,
    },
}

#[derive(Debug, PartialEq)]
pub struct Line<'a> {
    pub id: &'a str,
    pub said: Said,
    /// The load report's figures, in the order of the names asked for.
    pub report: Option<Vec<f64>>,
    pub bytes: &'a [u8],
}

/// Whether bytes are whole rows of a result: three columns of text with a tab between, a line feed behind.
pub fn are_rows(bytes: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(bytes) else { return false };
    let row = |row: &str| {
        let columns = row.strip_suffix('\n').map(|row| row.split('\t'));
        columns.is_some_and(|c| {
            c.clone().count() == COLUMNS && !c.into_iter().any(|c| c.contains(|c: char| c.is_control()))
        })
    };
    text.split_inclusive('\n').all(row)
}

/// The words that settings use for the figures of a report, against those that engines use.
const REPORT_WORDS: [(&str, &str); 6] = [
    ("active", "inflight"),
    ("waiting", "queue"),
    ("cpu", "util"),
    ("avg_ms", "latency_ms"),
    ("rps", "qps"),
    ("err_rps", "eps"),
];

/// Takes the next whole line, with its bytes, from the start of `input`: its length and content.
pub fn read<'a>(input: &'a [u8], names: &[String]) -> Result<Option<(usize, Line<'a>)>, ParseError> {
    let Some(end) = input.windows(2).take(LONGEST_LINE).position(|w| w == b"\r\n") else {
        let long = input.len() > LONGEST_LINE;
        return if long { Err(ParseError::new("a line longer than agreed")) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&input[..end]).map_err(|_| ParseError::new("a line that is no text"))?;
    let words: Vec<&str> = text.split(' ').collect();
    let (id, word, fields, len) = match words[..] {
        [id, word] => (id, word, "-", None),
        [id, word, last] if last.bytes().all(|c| c.is_ascii_digit()) => (id, word, "-", Some(last)),
        [id, word, fields] => (id, word, fields, None),
        [id, word, fields, len] => (id, word, fields, Some(len)),
        _ => return Err(ParseError::new(format!("a line of {} words", words.len()))),
    };
    let (mut bytes, mut whole): (&[u8], usize) = (&[], end + 2);
    if let Some(len) = len {
        let len = len.parse().ok().filter(|len| *len <= LONGEST_PAGE);
        let len: usize = len.ok_or_else(|| ParseError::new("a length that can't be"))?;
        let Some(behind) = input.get(whole..whole + len + 2) else { return Ok(None) };
        bytes = behind.strip_suffix(b"\r\n").ok_or_else(|| ParseError::new("bytes without their end"))?;
        whole += len + 2;
    }
    let field = |name: &str| fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='));
    let number = |name: &str| field(name).and_then(figure);
    let count = |name: &str| field(name).map(|v| v.parse::<usize>());
    let said = match word {
        "ACK" => match count("batches").unwrap_or(Ok(1)) {
            Ok(pages) => Said::First { pages: pages.max(1) },
            Err(_) => return Err(ParseError::new("a count of pages that is none")),
        },
        "BLOCK" => match count("batch") {
            Some(Ok(number)) => Said::Page { number },
            _ => return Err(ParseError::new("a page without its number")),
        },
        "AGAIN" => Said::TurnedAway,
        "EIO" | "NOMOD" | "NOENT" => Said::Failed,
        "STALE" => Said::Stale,
        "EVENT" => match (field("how"), number("num")) {
            (Some("so_far"), Some(share)) => Said::ShareDone(share),
            (Some("lacking"), Some(mb)) => Said::SpillsMb(mb),
            (Some("waiting"), Some(1.0)) => Said::WaitsForMemory,
            (Some("waiting"), Some(2.0)) => Said::WaitsForData,
            _ => Said::Nothing,
        },
        "READY" => Said::Probed { alive: true },
        "AILING" => Said::Probed { alive: false },
        other => return Err(ParseError::new(format!("an unknown word '{other}'"))),
    };
    let report = field("stats").and_then(|text| report(text, names));
    Ok(Some((whole, Line { id, said, report, bytes })))
}

/// A report counts only if it holds each figure agreed.
fn report(text: &str, names: &[String]) -> Option<Vec<f64>> {
    let named = |name: &str| {
        let said = |word: &str| text.split(';').find_map(|f| f.strip_prefix(word)?.strip_prefix(':'));
        let alias = REPORT_WORDS.iter().find(|(ours, _)| *ours == name).map(|(_, theirs)| *theirs);
        figure(said(name).or_else(|| said(alias?))?)
    };
    names.iter().map(|name| named(name)).collect()
}

fn figure(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value| (0.0..=MOST_FIGURE).contains(value))
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
