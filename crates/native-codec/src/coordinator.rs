//! The protocol between a front and the coordinator: a long poll over HTTP for changes of the engine list.

use serde::Deserialize;

use crate::{Decoded, ParseError};

/// Bytes of a response's head.
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;
const LINE_END: &[u8] = b"\r\n";
/// Bytes of a response's body at the most.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// The request for the events after `follow`; the coordinator holds it open for `wait_ms` milliseconds, or
/// until there are any.
pub fn poll_request(host: &str, follow: u64, wait_ms: i64) -> String {
    let target = format!("/v2/stream?follow={follow}&wait_ms={wait_ms}");
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
}

/// An HTTP response.
pub struct Response {
    /// Whether the connection takes another request.
    pub keep_alive: bool,
    /// The status code.
    pub status: u16,
    /// The body, out of its chunks.
    pub body: Vec<u8>,
}

/// Takes one response from the start of `input`; None until all of it has come. `ended` says that nothing
/// more will come.
pub fn read(input: &[u8], is_closed: bool) -> Result<Option<Decoded<Response>>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_len = match head.parse(input).map_err(ParseError::new)? {
        httparse::Status::Complete(len) => len,
        httparse::Status::Partial if input.len() > MAX_HEAD_BYTES => {
            return Err(ParseError::new("a response head over the size limit"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let status = head.code.unwrap_or(0);
    let framing = body_framing(&head)?;
    let ends_at_close = framing == BodyFraming::UntilClose;
    let Some(body) = body(framing, &input[head_len..], is_closed)? else {
        return Ok(None);
    };
    let allows_keep_alive =
        head.version == Some(1) && !header_contains(&head, "connection", "close");
    Ok(Some(Decoded {
        len: head_len + body.len,
        message: Response {
            keep_alive: allows_keep_alive && !ends_at_close,
            status,
            body: body.message,
        },
    }))
}

/// How a response says where its body ends.
#[derive(PartialEq)]
enum BodyFraming {
    /// It comes in chunks.
    Chunked,
    /// It has so many bytes.
    Length(usize),
    /// It goes on until the connection ends.
    UntilClose,
}

fn body_framing(head: &httparse::Response) -> Result<BodyFraming, ParseError> {
    if header_contains(head, "transfer-encoding", "chunked") {
        return Ok(BodyFraming::Chunked);
    }
    if let Some(text) = header(head, "content-length") {
        return match text.parse() {
            Ok(len) if len <= MAX_BODY_BYTES => Ok(BodyFraming::Length(len)),
            _ => Err(ParseError::new("an invalid Content-Length")),
        };
    }
    let has_no_body = matches!(head.code, Some(100..=199 | 204 | 304));
    Ok(if has_no_body {
        BodyFraming::Length(0)
    } else {
        BodyFraming::UntilClose
    })
}

/// The body and the bytes that it took; None until all of it has come.
fn body(
    framing: BodyFraming,
    input: &[u8],
    is_closed: bool,
) -> Result<Option<Decoded<Vec<u8>>>, ParseError> {
    match framing {
        BodyFraming::Chunked => chunks(input),
        BodyFraming::Length(len) => Ok(input.get(..len).map(decoded_body)),
        BodyFraming::UntilClose if input.len() > MAX_BODY_BYTES => {
            Err(ParseError::new("a response body over the size limit"))
        }
        BodyFraming::UntilClose => Ok(is_closed.then(|| decoded_body(input))),
    }
}

fn decoded_body(bytes: &[u8]) -> Decoded<Vec<u8>> {
    Decoded {
        len: bytes.len(),
        message: bytes.to_vec(),
    }
}

fn header<'a>(head: &httparse::Response<'_, 'a>, name: &str) -> Option<&'a str> {
    let mut headers = head.headers.iter();
    let found = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
    let value = std::str::from_utf8(found.value).ok()?;
    Some(value.trim())
}

fn header_contains(head: &httparse::Response, name: &str, word: &str) -> bool {
    header(head, name).is_some_and(|value| value.to_ascii_lowercase().contains(word))
}

/// The body out of its chunks.
fn chunks(input: &[u8]) -> Result<Option<Decoded<Vec<u8>>>, ParseError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let size = httparse::parse_chunk_size(&input[at..]);
        let (head_len, len) = match size.map_err(|_| ParseError::new("an invalid chunk size"))? {
            httparse::Status::Complete(found) => found,
            httparse::Status::Partial => return Ok(None),
        };
        at += head_len;
        if len == 0 {
            let trailers_len = trailers_len(&input[at..]);
            return Ok(trailers_len.map(|trailers_len| Decoded {
                len: at + trailers_len,
                message: body,
            }));
        }
        if body.len() as u64 + len > MAX_BODY_BYTES as u64 {
            return Err(ParseError::new("a response body over the size limit"));
        }
        let len = len as usize;
        let Some(chunk) = input.get(at..at + len + LINE_END.len()) else {
            return Ok(None);
        };
        body.extend_from_slice(&chunk[..len]);
        at += chunk.len();
    }
}

/// Bytes of the trailers, which end with an empty line; None until that has come.
fn trailers_len(input: &[u8]) -> Option<usize> {
    let mut at = 0;
    loop {
        let line_len = input[at..]
            .windows(LINE_END.len())
            .position(|pair| pair == LINE_END)?;
        at += line_len + LINE_END.len();
        if line_len == 0 {
            return Some(at);
        }
    }
}

/// The coordinator's events up to a number. The wire names of fields are listed in `wire_names`.
#[derive(Debug, Default, Deserialize)]
pub struct Events {
    /// The number of the last one: the next poll follows it.
    pub index: u64,
    /// The events, in order.
    pub updates: Vec<Update>,
}

/// One event.
#[derive(Debug, Deserialize)]
pub struct Update {
    /// The event's number.
    pub index: u64,
    /// Engines that are listed or change with it; None where it is of another kind.
    #[serde(rename = "endpoints")]
    pub list: Option<EngineList>,
}

/// Entries of the engine list.
#[derive(Debug, Deserialize)]
pub struct EngineList {
    /// Whether these are all engines that there are, or only those that change.
    #[serde(rename = "full", default)]
    pub is_full: bool,
    /// The entries.
    #[serde(rename = "servers")]
    pub engines: Vec<Engine>,
}

/// An engine as the coordinator lists it.
#[derive(Debug, Deserialize)]
pub struct Engine {
    /// Identifies the engine.
    pub id: String,
    /// Where it listens: an IP address and a port.
    #[serde(rename = "addr", default)]
    pub address: String,
    /// The location's name, as the settings have it.
    #[serde(rename = "zone", default)]
    pub location: String,
    /// The kind's name, as the settings have it.
    #[serde(default)]
    pub kind: String,
    /// The cell that it belongs to, by number.
    #[serde(default)]
    pub cell: usize,
    /// Whether it takes statements.
    pub state: EngineState,
    /// When it started, in milliseconds of Unix time, where that is recent enough to be sent; else 0.
    #[serde(default)]
    pub started_ms: f64,
}

/// Whether an engine takes statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineState {
    /// It does.
    Up,
    /// It finishes what it has, and takes nothing new.
    Draining,
    /// It is gone.
    Removed,
}

/// Reads events from the body of a response.
pub fn events(body: &[u8]) -> Result<Events, ParseError> {
    serde_json::from_slice(body).map_err(ParseError::new)
}

#[cfg(test)]
#[path = "coordinator_tests.rs"]
mod tests;
