//! The protocol between a front and a query engine: lines of words, some with bytes behind them.

use std::io::Write;

use crate::{Decoded, ParseError};

const LONGEST_LINE: usize = 4096; // bytes; the longest hold a load report and some fields
const LONGEST_PAGE: usize = 6_000; // bytes, as the protocol has it
const COLUMNS: usize = 3; // of a result
const MOST_FIGURE: f64 = 1e9; // of a load report or note; in any unit more than engines have

/// An execution as it goes to an engine.
pub struct ExecutionRequest<'a> {
    /// The client's own id of the statement; the engine's replies carry it.
    pub id: &'a str,
    /// The workload's name, as the settings have it.
    pub workload: &'a str,
    /// Executions with equal keys take effect once.
    pub dedup_key: Option<&'a str>,
    /// Milliseconds that the engine has for the execution, its queue included.
    pub wait_ms: i64,
    /// MB of memory that the engine is to grant; 0 leaves it to the engine.
    pub grant_mb: f64,
    /// From 0; the highest goes first.
    pub priority: u8,
    /// The statement's text, as the client sent it.
    pub statement: &'a [u8],
}

/// What a front asks of an engine.
pub enum Command<'a> {
    /// Execute a statement.
    Execute(ExecutionRequest<'a>),
    /// Abandon an execution.
    Cancel {
        /// The statement's id.
        id: &'a str,
    },
    /// Change the priority of an execution that waits or runs.
    SetPriority {
        /// The statement's id.
        id: &'a str,
        /// The new priority.
        priority: u8,
    },
    /// Send a further page of a result.
    FetchPage {
        /// The statement's id.
        id: &'a str,
        /// The page's number, from 0.
        page: usize,
    },
    /// Drop a result of which no more pages will be fetched.
    ReleaseResult {
        /// The statement's id.
        id: &'a str,
    },
    /// Answer whether the engine is healthy.
    Probe {
        /// Comes back as the id of the answer.
        tag: &'a str,
    },
}

/// Appends a command to `out`, as one line and the bytes behind it.
pub fn write(out: &mut Vec<u8>, command: &Command) {
    let written = match command {
        Command::Execute(request) => write_request(out, request),
        Command::Cancel { id } => write!(out, "never_mind {id}\r\n"),
        Command::SetPriority { id, priority } => write!(out, "hurry {id} {priority}\r\n"),
        Command::FetchPage { id, page } => write!(out, "turn {id} {page}\r\n"),
        Command::ReleaseResult { id } => write!(out, "shut {id}\r\n"),
        Command::Probe { tag } => write!(out, "busy {tag}\r\n"),
    };
    debug_assert!(written.is_ok(), "writing to memory cannot fail");
}

fn write_request(out: &mut Vec<u8>, request: &ExecutionRequest) -> std::io::Result<()> {
    write!(
        out,
        "want {} class={},wait={}",
        request.id, request.workload, request.wait_ms
    )?;
    if let Some(key) = request.dedup_key {
        write!(out, ",once={key}")?;
    }
    if request.grant_mb > 0.0 {
        write!(out, ",mb={:.0}", request.grant_mb.max(1.0))?;
    }
    write!(
        out,
        ",nice={} {}\r\n",
        request.priority,
        request.statement.len()
    )?;
    out.extend_from_slice(request.statement);
    out.write_all(b"\r\n")
}

/// What an engine's reply says of an execution or a probe.
#[derive(Debug, PartialEq)]
pub enum ReplyKind {
    /// The result's first page is there.
    FirstPage {
        /// Pages of the whole result, this one included.
        pages: usize,
    },
    /// A further page of the result.
    Page {
        /// The page's number, from 0.
        number: usize,
    },
    /// The engine did not take the execution; another may.
    Rejected,
    /// The execution failed.
    Failed,
    /// The engine knows the execution no more.
    Stale,
    /// The execution goes on: this share of it is done, from 0 to 1.
    ShareDone(f64),
    /// The execution goes on, short of so many MB of memory.
    SpillsMb(f64),
    /// The execution waits for memory.
    WaitsForMemory,
    /// The execution waits for data that another one holds.
    WaitsForData,
    /// An empty note, or one that is not known: the execution goes on.
    OtherNote,
    /// The answer to a probe.
    ProbeAnswer {
        /// False where the engine says that something ails it.
        healthy: bool,
    },
}

/// A reply of an engine.
#[derive(Debug, PartialEq)]
pub struct Reply<'a> {
    /// The id of the statement or the tag of the probe that it belongs to.
    pub id: &'a str,
    /// What it says.
    pub kind: ReplyKind,
    /// The load report that came with it: its figures, in the order of the names asked for.
    pub report: Option<Vec<f64>>,
    /// The page that came with it; empty where none did.
    pub bytes: &'a [u8],
}

/// Whether a page holds whole rows of a result: three columns of text with a tab between, a line feed behind.
pub fn are_rows(bytes: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return false;
    };
    let row = |row: &str| {
        let columns = row.strip_suffix('\n').map(|row| row.split('\t'));
        columns.is_some_and(|c| {
            c.clone().count() == COLUMNS
                && !c.into_iter().any(|c| c.contains(|c: char| c.is_control()))
        })
    };
    text.split_inclusive('\n').all(row)
}

/// The names that settings have for the figures of a load report, and those that engines have.
const REPORT_NAMES: [(&str, &str); 6] = [
    ("active", "inflight"),
    ("waiting", "queue"),
    ("cpu", "util"),
    ("avg_ms", "latency_ms"),
    ("rps", "qps"),
    ("err_rps", "eps"),
];

/// Takes the next whole reply, with its page, from the start of `input`; None until all of it has come.
/// `names` are the figures of a load report, as the settings name them.
pub fn read<'a>(
    input: &'a [u8],
    names: &[String],
) -> Result<Option<Decoded<Reply<'a>>>, ParseError> {
    let Some(end) = input
        .windows(2)
        .take(LONGEST_LINE)
        .position(|w| w == b"\r\n")
    else {
        let long = input.len() > LONGEST_LINE;
        return if long {
            Err(ParseError::new("a line longer than agreed"))
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&input[..end])
        .map_err(|_| ParseError::new("a line that is no text"))?;
    let words: Vec<&str> = text.split(' ').collect();
    let (id, word, fields, page_len) = match words[..] {
        [id, word] => (id, word, "-", None),
        [id, word, last] if last.bytes().all(|c| c.is_ascii_digit()) => (id, word, "-", Some(last)),
        [id, word, fields] => (id, word, fields, None),
        [id, word, fields, page_len] => (id, word, fields, Some(page_len)),
        _ => return Err(ParseError::new(format!("a line of {} words", words.len()))),
    };
    let (mut bytes, mut len): (&[u8], usize) = (&[], end + 2);
    if let Some(page_len) = page_len {
        let page_len = page_len.parse().ok().filter(|len| *len <= LONGEST_PAGE);
        let page_len: usize = page_len.ok_or_else(|| ParseError::new("a length that can't be"))?;
        let Some(behind) = input.get(len..len + page_len + 2) else {
            return Ok(None);
        };
        bytes = behind
            .strip_suffix(b"\r\n")
            .ok_or_else(|| ParseError::new("bytes without their end"))?;
        len += page_len + 2;
    }
    let kind = kind(word, fields)?;
    let report = field(fields, "stats").and_then(|text| report(text, names));
    Ok(Some(Decoded {
        len,
        message: Reply {
            id,
            kind,
            report,
            bytes,
        },
    }))
}

/// The value of a field in `name=value,name=value`.
fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
}

/// What a reply says, by its word and fields.
fn kind(word: &str, fields: &str) -> Result<ReplyKind, ParseError> {
    let count = |name: &str| field(fields, name).map(|v| v.parse::<usize>());
    Ok(match word {
        "ACK" => match count("batches").unwrap_or(Ok(1)) {
            Ok(pages) => ReplyKind::FirstPage {
                pages: pages.max(1),
            },
            Err(_) => return Err(ParseError::new("a count of pages that is none")),
        },
        "BLOCK" => match count("batch") {
            Some(Ok(number)) => ReplyKind::Page { number },
            _ => return Err(ParseError::new("a page without its number")),
        },
        "AGAIN" => ReplyKind::Rejected,
        "EIO" | "NOMOD" | "NOENT" => ReplyKind::Failed,
        "STALE" => ReplyKind::Stale,
        "EVENT" => match (field(fields, "how"), field(fields, "num").and_then(figure)) {
            (Some("so_far"), Some(share)) => ReplyKind::ShareDone(share),
            (Some("lacking"), Some(mb)) => ReplyKind::SpillsMb(mb),
            (Some("waiting"), Some(1.0)) => ReplyKind::WaitsForMemory,
            (Some("waiting"), Some(2.0)) => ReplyKind::WaitsForData,
            _ => ReplyKind::OtherNote,
        },
        "READY" => ReplyKind::ProbeAnswer { healthy: true },
        "AILING" => ReplyKind::ProbeAnswer { healthy: false },
        other => return Err(ParseError::new(format!("an unknown word '{other}'"))),
    })
}

/// The figures of a load report; None where one that was asked for is missing.
fn report(text: &str, names: &[String]) -> Option<Vec<f64>> {
    let figure_of = |name: &str| {
        let value = |name: &str| {
            text.split(';')
                .find_map(|f| f.strip_prefix(name)?.strip_prefix(':'))
        };
        let alias = REPORT_NAMES
            .iter()
            .find(|(ours, _)| *ours == name)
            .map(|(_, theirs)| *theirs);
        figure(value(name).or_else(|| value(alias?))?)
    };
    names.iter().map(|name| figure_of(name)).collect()
}

fn figure(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|value| (0.0..=MOST_FIGURE).contains(value))
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
