//! Replies of engines: results assembled from their pages, progress reports, answers to health checks.

use std::io::{Error, ErrorKind};

use hallmux_dispatcher::{Ending, Micros, ProgressReport};
use hallmux_native_codec::engine::{self, Command, Reply, ReplyKind};
use hallmux_native_codec::{Decoded, ParseError};

use super::connection::{ConnectionId, EngineConnection};
use super::execution::{Execution, Stage};
use super::result_pages::{PageOutcome, ResultPages, MAX_PAGES};
use super::{Engines, Event};
use crate::execution::ExecutionId;
use crate::link::{Broken, ReadOutcome};

/// The outcome of handling the lines of an input.
enum LinesOutcome {
    /// This many bytes were consumed; the remaining bytes are an incomplete line.
    UpTo(usize),
    Unreadable(ParseError),
    /// Handling a line closed the connection.
    ConnectionClosed,
}

impl Engines {
    /// Reads a connection that the event loop reported as ready; true if more is left for another iteration.
    pub fn read(&mut self, now: Micros, id: ConnectionId) -> bool {
        if !self.is_up(now, id) {
            return false;
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let ReadOutcome { has_more, broken } = connection.link.read();
        let input = std::mem::take(&mut connection.link.input);
        match self.handle_lines(now, id, &input) {
            LinesOutcome::ConnectionClosed => return false,
            LinesOutcome::Unreadable(error) => {
                log::warn!(
                    "engine {}: {error}; its connection is closed",
                    self.engine_name(id)
                );
                self.close(now, id, Ending::Unreadable);
            }
            LinesOutcome::UpTo(consumed) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.link.input = input;
                    connection.keep_partial_line(now, consumed);
                }
            }
        }
        if let Some(broken) = broken {
            self.close(now, id, ending_of(broken));
        }
        has_more
    }

    /// Whether a connection is up. One that has just come up is marked connected; one that failed is closed.
    fn is_up(&mut self, now: Micros, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        if connection.up {
            return true;
        }
        match connection.link.is_up() {
            Ok(true) => {
                self.mark_connected(id);
                true
            }
            Ok(false) => false,
            Err(error) => {
                self.close(now, id, ending_of_broken_dial(&error));
                false
            }
        }
    }

    /// Marks a connection as up and writes the health checks that waited for it.
    fn mark_connected(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.up = true;
        let engine = self.engines.get_mut(&connection.engine_index);
        if let Some(engine) = engine.filter(|engine| engine.is_unreachable) {
            engine.is_unreachable = false;
            log::info!("engine {}: reached again", engine.id);
        }
        for tag in connection.probes.keys() {
            engine::write(connection.link.output(), &Command::Probe { tag });
        }
    }

    /// Handles all complete lines of an input.
    fn handle_lines(&mut self, now: Micros, id: ConnectionId, input: &[u8]) -> LinesOutcome {
        let mut consumed = 0;
        loop {
            match engine::read(&input[consumed..], &self.report_names) {
                Ok(None) => return LinesOutcome::UpTo(consumed),
                Err(error) => return LinesOutcome::Unreadable(error),
                Ok(Some(Decoded { len, message })) => {
                    consumed += len;
                    self.handle_line(now, id, message);
                    if !self.connections.contains_key(&id) {
                        return LinesOutcome::ConnectionClosed;
                    }
                }
            }
        }
    }

    fn handle_line(&mut self, now: Micros, id: ConnectionId, line: Reply) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.last_reply_at = now;
        if let ReplyKind::ProbeAnswer { healthy } = line.kind {
            return self.handle_probe_answer(id, healthy, line);
        }
        let Some(&execution_id) = connection.open.get(line.id) else {
            return self.handle_late_reply(now, id, &line);
        };
        let execution = self.executions.get_mut(&execution_id);
        let Some(execution) = execution.filter(|execution| execution.stage == Stage::Sent) else {
            return;
        };
        execution.last_reply_at = now;
        if let Some(progress) = progress_of(&line.kind) {
            return self.events.push(Event::Progress {
                execution_id,
                progress,
            });
        }
        match execution.apply_reply(now, &line, connection.link.output()) {
            None => {}
            Some(Ending::Unreadable) => {
                log::warn!(
                    "engine {}: invalid result; its connection is closed",
                    self.engine_name(id)
                );
                self.close(now, id, Ending::Unreadable);
            }
            Some(ending) => self.end_by_reply(now, id, execution_id, ending, line),
        }
    }

    fn handle_probe_answer(&mut self, id: ConnectionId, healthy: bool, line: Reply) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.probes.remove(line.id).is_some() {
            self.events.push(Event::ProbeEnded {
                engine_index: connection.engine_index,
                alive: healthy,
                report: line.report,
            });
        }
    }

    /// Handles a reply about an execution that was cancelled or is unknown. It only shows whether the execution
    /// still runs; where cancelling is not allowed, one that has ended frees its place on the connection.
    fn handle_late_reply(&mut self, now: Micros, id: ConnectionId, line: &Reply) {
        let has_ended = matches!(
            line.kind,
            ReplyKind::FirstPage { .. }
                | ReplyKind::Rejected
                | ReplyKind::Failed
                | ReplyKind::Stale
        );
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if has_ended && !self.network.cancel && connection.cancelled.remove(line.id) {
            connection.idle_since = now;
            engine::write(
                connection.link.output(),
                &Command::ReleaseResult { id: line.id },
            );
        }
    }

    /// Ends an execution with the ending that its engine's reply determines.
    fn end_by_reply(
        &mut self,
        now: Micros,
        id: ConnectionId,
        execution_id: ExecutionId,
        ending: Ending,
        line: Reply,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.open.remove(line.id);
        connection.idle_since = now;
        let execution = self.executions.remove(&execution_id);
        let pages = execution
            .and_then(|execution| execution.pages)
            .unwrap_or_default();
        if ending == Ending::PageLost {
            engine::write(
                connection.link.output(),
                &Command::ReleaseResult { id: line.id },
            );
        }
        if ending == Ending::Answered {
            self.reuse.record_answer();
        } else {
            let ended_ids = if self.network.cancel {
                &mut connection.cancelled
            } else {
                &mut connection.finished
            };
            ended_ids.insert(line.id.to_string());
        }
        log::debug!(
            "statement {}: execution {} ended: {ending:?}",
            execution_id.ticket,
            execution_id.number
        );
        let report = line.report.or_else(|| pages.report.clone());
        let result = match ending {
            Ending::Answered => pages.into_bytes(),
            _ => Vec::new(),
        };
        self.events.push(Event::ExecutionEnded {
            execution_id,
            ending,
            report,
            result,
        });
    }
}

impl EngineConnection {
    /// Drops the consumed bytes of the input and records since when the remaining partial line is incomplete.
    fn keep_partial_line(&mut self, now: Micros, consumed: usize) {
        self.link.consume(consumed);
        let since_earlier = self.partial_line_since.filter(|_| consumed == 0);
        let is_partial = !self.link.input.is_empty();
        self.partial_line_since = is_partial.then(|| since_earlier.unwrap_or(now));
    }
}

impl Execution {
    /// Applies a reply that is no progress report; returns how the execution ends by it, if it does. Requests for
    /// further pages are written to `output`.
    fn apply_reply(&mut self, now: Micros, line: &Reply, output: &mut Vec<u8>) -> Option<Ending> {
        match line.kind {
            ReplyKind::FirstPage { pages } => self.add_first_page(now, pages, line, output),
            ReplyKind::Page { number } => self.add_page(now, number, line.bytes),
            ReplyKind::Rejected if self.pages.is_none() => Some(Ending::Rejected),
            ReplyKind::Stale if self.pages.is_none() => Some(Ending::Stale),
            ReplyKind::Failed if self.pages.is_none() => Some(Ending::EngineFailed),
            ReplyKind::Rejected | ReplyKind::Stale | ReplyKind::Failed => Some(Ending::PageLost),
            ReplyKind::ShareDone(_)
            | ReplyKind::SpillsMb(_)
            | ReplyKind::WaitsForMemory
            | ReplyKind::WaitsForData
            | ReplyKind::OtherNote
            | ReplyKind::ProbeAnswer { .. } => None,
        }
    }

    /// Adds the first page of a result of `count` pages and requests the others. A second copy of the first page
    /// requests nothing.
    fn add_first_page(
        &mut self,
        now: Micros,
        count: usize,
        line: &Reply,
        output: &mut Vec<u8>,
    ) -> Option<Ending> {
        match &self.pages {
            None if count <= MAX_PAGES => {
                self.pages = Some(ResultPages::new(now, count, line.report.clone()));
                for page in 1..count {
                    engine::write(output, &Command::FetchPage { id: line.id, page });
                }
            }
            Some(pages) if pages.count() == count => {}
            _ => return Some(Ending::Unreadable),
        }
        self.add_page(now, 0, line.bytes)
    }

    /// Adds a page; one without a first page before it is ignored.
    fn add_page(&mut self, now: Micros, number: usize, bytes: &[u8]) -> Option<Ending> {
        match self.pages.as_mut()?.add(now, number, bytes) {
            PageOutcome::Incomplete => None,
            PageOutcome::Complete => Some(Ending::Answered),
            PageOutcome::Malformed => Some(Ending::Unreadable),
        }
    }
}

/// The progress that a reply reports of a running execution, if it is a progress report.
fn progress_of(kind: &ReplyKind) -> Option<ProgressReport> {
    match *kind {
        ReplyKind::ShareDone(share) => Some(ProgressReport::ShareDone(share)),
        ReplyKind::SpillsMb(mb) => Some(ProgressReport::SpillsMb(mb)),
        ReplyKind::WaitsForMemory => Some(ProgressReport::WaitsForMemory),
        ReplyKind::WaitsForData => Some(ProgressReport::WaitsForData),
        _ => None,
    }
}

/// How executions end whose connection failed to come up.
fn ending_of_broken_dial(error: &Error) -> Ending {
    match error.kind() {
        ErrorKind::ConnectionRefused => Ending::ConnectionRefused,
        // A reset proves that the engine's machine is reachable.
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Ending::ResetWhileConnecting,
        _ => Ending::ConnectTimeout,
    }
}

/// How executions in flight end when their connection breaks. A connection that this system gave up counts as
/// closed by this front: the engine may run the executions until it notices.
pub(super) fn ending_of(broken: Broken) -> Ending {
    match broken {
        Broken::Closed => Ending::Closed,
        Broken::Reset => Ending::Reset,
        Broken::Lost => Ending::ClosedHere,
    }
}
