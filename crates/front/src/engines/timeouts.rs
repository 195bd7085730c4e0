//! Timeouts of connections to engines: dials, health checks, partly written statements, partly received answers
//! and idle connections.

use hallmux_dispatcher::{Ending, Micros};

use super::connection::{ConnectionId, EngineConnection};
use super::{Engines, Event};
use crate::execution::ExecutionId;

/// Limit in microseconds for sending a statement once its first byte was written: the deadline it carries was
/// computed at that time.
const WRITE_TIMEOUT: Micros = 100_000;
/// Limit in microseconds for the rest of a line or for a requested page; both normally take a few milliseconds.
const READ_TIMEOUT: Micros = 500_000;

impl Engines {
    /// When `expire_timeouts` is next due, in Unix microseconds; `Micros::MAX` if nothing is pending.
    pub fn next_timeout(&self) -> Micros {
        let connections = self.connections.values();
        let timeouts = connections.filter_map(|connection| self.connection_timeout(connection));
        timeouts
            .min()
            .unwrap_or(Micros::MAX)
            .min(self.next_cancel_timeout())
    }

    fn connection_timeout(&self, connection: &EngineConnection) -> Option<Micros> {
        let partial_line = connection.partial_line_since;
        let timeouts = [
            (!connection.up).then_some(connection.dial_by),
            connection.probes.values().copied().min(),
            partial_line.map(|since| since + READ_TIMEOUT),
            self.writing_since(connection)
                .map(|since| since + WRITE_TIMEOUT),
            self.idle_until(connection),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// When a connection is to be closed as idle; `None` while it is in use.
    fn idle_until(&self, connection: &EngineConnection) -> Option<Micros> {
        if !connection.is_idle() {
            return None;
        }
        let has_unsent = connection.link.unsent() > 0;
        // Closing the connection would cancel the executions that still run on it.
        let has_cancelled_running = !self.network.cancel && !connection.cancelled.is_empty();
        if connection.retired && !has_cancelled_running {
            // Unsent output is given as long as a connection is given to come up.
            let wait_limit = if has_unsent {
                self.network.dial_timeout
            } else {
                0
            };
            return Some(connection.idle_since + wait_limit);
        }
        let is_idle = connection.up && !has_unsent;
        is_idle.then_some(connection.idle_since + self.reuse.max_idle())
    }

    /// Closes connections and fails health checks whose timeouts have passed.
    pub fn expire_timeouts(&mut self, now: Micros) {
        self.report_delivered_cancels(now);
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            self.expire_connection(now, id);
        }
    }

    fn expire_connection(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        if !connection.up && connection.dial_by <= now {
            // After a stall of this process the connection may have come up unnoticed; it is then kept, and the
            // next iteration finds it up.
            if !connection.link.is_up().is_ok_and(|up| up) {
                self.close(now, id, Ending::ConnectTimeout);
            }
            return;
        }
        // An engine that stops reading in the middle of a statement would later read a deadline that is out of
        // date. A partly sent statement can't be rewritten, but it has not run either.
        let _ = self.flush_connection(id);
        if let Some(problem) = self.stalled_write(now, id) {
            log::warn!(
                "engine {}: {problem}; its connection is closed",
                self.engine_name(id)
            );
            self.read(now, id);
            return self.close(now, id, Ending::ClosedHere);
        }
        self.expire_incomplete_answer(now, id);
        self.expire_probes(now, id);
        let connection = self.connections.get(&id);
        let idle_until = connection.and_then(|connection| self.idle_until(connection));
        if idle_until.is_some_and(|until| until <= now) {
            self.close(now, id, Ending::Withdrawn);
        }
    }

    /// Describes the output that the engine has not read in time, if any.
    fn stalled_write(&self, now: Micros, id: ConnectionId) -> Option<&'static str> {
        let connection = self.connections.get(&id)?;
        let writing_since = self.writing_since(connection);
        if writing_since.is_some_and(|since| since + WRITE_TIMEOUT <= now) {
            return Some("stopped reading in the middle of a statement");
        }
        self.is_cancel_overdue(now, id)
            .then_some("did not read the cancel of an execution in time")
    }

    /// Closes a connection whose answer stopped before its end, as nothing more is expected over it. Input that
    /// has arrived by now is read first.
    fn expire_incomplete_answer(&mut self, now: Micros, id: ConnectionId) {
        let has_more = self.overdue_answer(now, id).is_some() && self.read(now, id);
        if let Some(missing) = self
            .overdue_answer(now, id)
            .or(has_more.then_some("the end of the input"))
        {
            log::warn!(
                "engine {}: {missing} did not arrive in time; its connection is closed",
                self.engine_name(id)
            );
            self.close(now, id, Ending::Unreadable);
        }
    }

    /// Fails the health checks that were not answered in time. A connection without any reply in that time is
    /// retired.
    fn expire_probes(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let count_before = connection.probes.len();
        connection.probes.retain(|_, overdue_at| *overdue_at > now);
        let overdue = count_before - connection.probes.len();
        let had_no_replies = connection.last_reply_at < now - self.network.dial_timeout;
        connection.retired |= overdue > 0 && had_no_replies;
        for _ in 0..overdue {
            self.events.push(Event::ProbeEnded {
                engine_index: connection.engine_index,
                alive: false,
                report: None,
            });
        }
    }

    /// When the front began to write the statement that is partly sent over a connection; `None` if there is none.
    fn writing_since(&self, connection: &EngineConnection) -> Option<Micros> {
        let writing = connection.writing.as_ref()?;
        if connection.link.has_sent_up_to(writing.end) {
            return None;
        }
        let execution = self.executions.get(&writing.execution_id)?;
        Some(execution.sent_at)
    }

    /// Names the part of an answer that is overdue on a connection, if any.
    fn overdue_answer(&self, now: Micros, id: ConnectionId) -> Option<&'static str> {
        let connection = self.connections.get(&id)?;
        let partial_line = connection.partial_line_since;
        if partial_line.is_some_and(|since| since + READ_TIMEOUT <= now) {
            return Some("the rest of a line");
        }
        let awaits_page = |execution_id: &ExecutionId| {
            let execution = self.executions.get(execution_id);
            let pages = execution.and_then(|execution| execution.pages.as_ref());
            pages.is_some_and(|pages| pages.last_page_at + READ_TIMEOUT <= now)
        };
        let mut open = connection.open.values();
        open.any(awaits_page).then_some("a page")
    }
}
