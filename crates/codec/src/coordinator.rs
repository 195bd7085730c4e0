//! What a front asks the coordinator over HTTP, and the changes that it tells.

use serde::Deserialize;

use crate::ParseError;

const LONGEST_HEAD: usize = 16 << 10; // bytes; HTTP servers send some hundred
const MOST_HEADERS: usize = 64;
pub const LONGEST_BODY: usize = 8 << 20; // bytes; a list of some thousand engines takes one million

pub fn question(host: &str, follow: u64, wait_ms: i64) -> String {
    let target = format!("/v2/stream?follow={follow}&wait_ms={wait_ms}");
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
}

/// A whole answer: how many bytes it took, whether the connection stays, its status and its body.
pub struct Answer {
    pub len: usize,
    pub stays: bool,
    pub status: u16,
    pub body: Vec<u8>,
}

/// Takes one answer from the start of `input`; `ended` says that nothing more will come.
pub fn read(input: &[u8], ended: bool) -> Result<Option<Answer>, ParseError> {
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
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    let says = |name: &str, word: &str| header(name).is_some_and(|v| v.to_ascii_lowercase().contains(word));
    let status = head.code.unwrap_or(0);
    let mut stays = head.version == Some(1) && !says("connection", "close");
    let rest = &input[start..];
    let (body, used) = if says("transfer-encoding", "chunked") {
        match chunks(rest)? {
            Some(found) => found,
            None => return Ok(None),
        }
    } else if let Some(len) = header("content-length") {
        let len = len.parse().ok().filter(|len| *len <= LONGEST_BODY);
        let len: usize = len.ok_or_else(|| ParseError::new("a length that can't be"))?;
        let Some(body) = rest.get(..len) else { return Ok(None) };
        (body.to_vec(), len)
    } else if matches!(status, 100..=199 | 204 | 304) {
        (Vec::new(), 0)
    } else if rest.len() > LONGEST_BODY {
        return Err(ParseError::new("a body longer than agreed"));
    } else if ended {
        stays = false;
        (rest.to_vec(), rest.len())
    } else {
        return Ok(None);
    };
    Ok(Some(Answer { len: start + used, stays, status, body }))
}

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
                let Some(line) = input[at..].windows(2).position(|w| w == b"\r\n") else { return Ok(None) };
                at += line + 2;
                if line == 0 {
                    return Ok(Some((body, at)));
                }
            }
        }
        if body.len() as u64 + len > LONGEST_BODY as u64 {
            return Err(ParseError::new("a body longer than agreed"));
        }
        let Some(chunk) = input.get(at..at + len as usize + 2) else { return Ok(None) };
        body.extend_from_slice(&chunk[..len as usize]);
        at += len as usize + 2;
    }
}

/// The events of the coordinator up to a number.
#[derive(Debug, Default, Deserialize)]
pub struct Stream {
    pub index: u64,
    pub updates: Vec<Update>,
}

#[derive(Debug, Deserialize)]
pub struct Update {
    pub index: u64,
    #[serde(rename = "endpoints")]
    pub list: Option<EngineList>,
}

#[derive(Debug, Deserialize)]
pub struct EngineList {
    #[serde(rename = "full", default)]
    pub whole: bool,
    #[serde(rename = "servers")]
    pub engines: Vec<Engine>,
}

#[derive(Debug, Deserialize)]
pub struct Engine {
    pub id: String,
    #[serde(rename = "addr", default)]
    pub address: String,
    #[serde(rename = "zone", default)]
    pub location: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: usize,
    pub state: State,
    /// Its Unix millisecond, where the start is late enough to be told; else 0.
    #[serde(default)]
    pub started_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Up,
    Draining,
    Removed,
}

pub fn stream(body: &[u8]) -> Result<Stream, ParseError> {
    serde_json::from_slice(body).map_err(ParseError::new)
}

#[cfg(test)]
#[path = "coordinator_tests.rs"]
mod tests;
