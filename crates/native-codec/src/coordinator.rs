//! The protocol between a front and the coordinator: a long poll over HTTP for changes of the engine list.

use serde::Deserialize;

use crate::{Decoded, ParseError};

const LONGEST_HEAD: usize = 16 << 10; // bytes; HTTP servers send some hundred
const MOST_HEADERS: usize = 64;
/// Bytes of a response's body at the most; a list of some thousand engines takes one million.
pub const LONGEST_BODY: usize = 8 << 20;

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
pub fn read(input: &[u8], ended: bool) -> Result<Option<Decoded<Response>>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(input).map_err(ParseError::new)? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial if input.len() > LONGEST_HEAD => {
            return Err(ParseError::new("a head longer than agreed"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let header = |name: &str| {
        let found = head
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name));
        found
            .and_then(|h| std::str::from_utf8(h.value).ok())
            .map(str::trim)
    };
    let contains = |name: &str, word: &str| {
        header(name).is_some_and(|v| v.to_ascii_lowercase().contains(word))
    };
    let status = head.code.unwrap_or(0);
    let mut keep_alive = head.version == Some(1) && !contains("connection", "close");
    let rest = &input[start..];
    let (body, used) = if contains("transfer-encoding", "chunked") {
        match chunks(rest)? {
            Some(found) => found,
            None => return Ok(None),
        }
    } else if let Some(len) = header("content-length") {
        let len = len.parse().ok().filter(|len| *len <= LONGEST_BODY);
        let len: usize = len.ok_or_else(|| ParseError::new("a length that can't be"))?;
        let Some(body) = rest.get(..len) else {
            return Ok(None);
        };
        (body.to_vec(), len)
    } else if matches!(status, 100..=199 | 204 | 304) {
        (Vec::new(), 0)
    } else if rest.len() > LONGEST_BODY {
        return Err(ParseError::new("a body longer than agreed"));
    } else if ended {
        keep_alive = false;
        (rest.to_vec(), rest.len())
    } else {
        return Ok(None);
    };
    Ok(Some(Decoded {
        len: start + used,
        message: Response {
            keep_alive,
            status,
            body,
        },
    }))
}

/// The body out of its chunks, and the bytes that they took.
fn chunks(input: &[u8]) -> Result<Option<(Vec<u8>, usize)>, ParseError> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let size = httparse::parse_chunk_size(&input[at..]);
        let (head, len) = match size.map_err(|_| ParseError::new("a chunk without its size"))? {
            httparse::Status::Complete(found) => found,
            httparse::Status::Partial => return Ok(None),
        };
        at += head;
        if len == 0 {
            // Trailers end with an empty line.
            loop {
                let Some(line) = input[at..].windows(2).position(|w| w == b"\r\n") else {
                    return Ok(None);
                };
                at += line + 2;
                if line == 0 {
                    return Ok(Some((body, at)));
                }
            }
        }
        if body.len() as u64 + len > LONGEST_BODY as u64 {
            return Err(ParseError::new("a body longer than agreed"));
        }
        let Some(chunk) = input.get(at..at + len as usize + 2) else {
            return Ok(None);
        };
        body.extend_from_slice(&chunk[..len as usize]);
        at += len as usize + 2;
    }
}

/// The coordinator's events up to a number.
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
