//! The protocol between a front and the coordinator: a long poll over HTTP for changes of the
//! engine list.

use serde::Deserialize;

use crate::{Decoded, ParseError};

/// The maximum length of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;
const LINE_END: &[u8] = b"\r\n";
/// The maximum length of a response's body, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Returns the request for the events after number `follow`. The coordinator holds it open until
/// there are any, for at most `wait_ms` milliseconds.
pub fn poll_request(host: &str, follow: u64, wait_ms: i64) -> String {
    let target = format!("/v2/stream?follow={follow}&wait_ms={wait_ms}");
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
}

/// An HTTP response.
pub struct Response {
    /// Whether the connection can be reused for another request.
    pub keep_alive: bool,
    /// The status code.
    pub status: u16,
    /// The body, with chunks joined.
    pub body: Vec<u8>,
}

/// Decodes one response from the start of `input`; None if it is incomplete. `is_closed` means that
/// the connection has ended and no more bytes will arrive.
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

/// How the end of a response's body is determined.
#[derive(PartialEq)]
enum BodyFraming {
    /// The body has chunked transfer coding.
    Chunked,
    /// The body has this number of bytes.
    Length(usize),
    /// The body ends when the connection is closed.
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

/// Decodes the body; None if it is incomplete.
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

/// Joins the chunks of a body; None if they are incomplete.
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

/// Returns the length of the trailers in bytes, including the empty line that ends them; None if
/// they are incomplete.
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

/// Events of the coordinator. The wire names of the fields are listed in `wire_names`.
#[derive(Debug, Default, Deserialize)]
pub struct Events {
    /// The number of the last event, which the next poll follows.
    pub index: u64,
    /// The events, in order.
    pub updates: Vec<Update>,
}

/// An event of the coordinator.
#[derive(Debug, Deserialize)]
pub struct Update {
    /// The event's number.
    pub index: u64,
    /// The engines that the event lists or changes; None if the event is of another kind.
    #[serde(rename = "endpoints")]
    pub list: Option<EngineList>,
}

/// A complete engine list, or changes to it.
#[derive(Debug, Deserialize)]
pub struct EngineList {
    /// Whether the entries are all engines, or only those that changed.
    #[serde(rename = "full", default)]
    pub is_full: bool,
    /// The entries.
    #[serde(rename = "servers")]
    pub engines: Vec<Engine>,
}

/// An engine as the coordinator lists it.
#[derive(Debug, Deserialize)]
pub struct Engine {
    /// The engine's id.
    pub id: String,
    /// The address at which the engine listens: an IP address and a port.
    #[serde(rename = "addr", default)]
    pub address: String,
    /// The name of the location in the settings.
    #[serde(rename = "zone", default)]
    pub location: String,
    /// The name of the engine's kind in the settings.
    #[serde(default)]
    pub kind: String,
    /// The number of the cell to which the engine belongs.
    #[serde(default)]
    pub cell: usize,
    /// Whether the engine accepts statements.
    pub state: EngineState,
    /// The engine's start in milliseconds of Unix time; 0 if it was too long ago to be sent.
    #[serde(default)]
    pub started_ms: f64,
}

/// Whether an engine accepts statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineState {
    /// The engine accepts statements.
    Up,
    /// The engine finishes its executions and accepts no new ones.
    Draining,
    /// The engine no longer exists.
    Removed,
}

/// Parses the events in the body of a response.
pub fn events(body: &[u8]) -> Result<Events, ParseError> {
    serde_json::from_slice(body).map_err(ParseError::new)
}

#[cfg(test)]
#[path = "coordinator_tests.rs"]
mod tests;
