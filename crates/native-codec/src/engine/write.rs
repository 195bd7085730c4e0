//! Encodes commands to engines.

use std::io::Write;

use super::{Command, ExecutionRequest};
use crate::wire_names::engine;

/// Appends a command to `out`: one line, and for an execution the statement after it.
pub fn write(out: &mut Vec<u8>, command: &Command) {
    let written = match command {
        Command::Execute(request) => write_request(out, request),
        Command::Cancel { id } => write!(out, "{} {id}\r\n", engine::CANCEL),
        Command::SetPriority { id, priority } => {
            write!(out, "{} {id} {priority}\r\n", engine::SET_PRIORITY)
        }
        Command::FetchPage { id, page } => write!(out, "{} {id} {page}\r\n", engine::FETCH_PAGE),
        Command::ReleaseResult { id } => write!(out, "{} {id}\r\n", engine::RELEASE_RESULT),
        Command::Probe { tag } => write!(out, "{} {tag}\r\n", engine::PROBE),
    };
    debug_assert!(written.is_ok(), "writing to memory cannot fail");
}

fn write_request(out: &mut Vec<u8>, request: &ExecutionRequest) -> std::io::Result<()> {
    write!(out, "{} {} ", engine::EXECUTE, request.id)?;
    write!(out, "{}={}", engine::WORKLOAD, request.workload)?;
    write!(out, ",{}={}", engine::WAIT_MS, request.wait_ms)?;
    if let Some(key) = request.dedup_key {
        write!(out, ",{}={key}", engine::DEDUP_KEY)?;
    }
    if request.grant_mb > 0.0 {
        let grant_mb = request.grant_mb.max(1.0);
        write!(out, ",{}={grant_mb:.0}", engine::GRANT_MB)?;
    }
    write!(out, ",{}={}", engine::PRIORITY, request.priority)?;
    write!(out, " {}\r\n", request.statement.len())?;
    out.extend_from_slice(request.statement);
    out.write_all(b"\r\n")
}
