//! The connection to the coordinator: successive long polls for changes of the engine list.

use std::net::SocketAddr;

use calloop::LoopHandle;
use hallmux_dispatcher::Micros;
use hallmux_native_codec::coordinator::{self as codec, Events, Response};
use hallmux_native_codec::{Decoded, ParseError};

use crate::events::{LoopEvents, SocketKind};
use crate::link::{Link, ReadOutcome};

/// Milliseconds that the coordinator holds a poll open.
const POLL_TIMEOUT_MS: i64 = 1000;
/// Microseconds beyond the poll's timeout after which the connection counts as dead.
const SILENCE_TIMEOUT: Micros = 750_000;
/// Microseconds between attempts while the coordinator fails.
const RETRY_INTERVAL: Micros = 200_000;

/// The coordinator's client: polls for engine lists over one connection at a time.
pub struct Coordinator {
    handle: LoopHandle<'static, LoopEvents>,
    address: Option<SocketAddr>,
    link: Option<Link>,
    /// The number of the last connection that was dialled.
    connection_number: u64,
    polled_at: Option<Micros>,
    /// The timeout of the awaited answer, or the time of the next attempt.
    due: Micros,
    /// The index of the last known event; polls request later events.
    pub last_index: u64,
    is_failing: bool,
    /// When the coordinator last answered; 0 if it never did.
    last_answer_at: Micros,
}

/// The result of one read of the connection.
struct Received {
    /// The answer to the poll; None while it is incomplete.
    answer: Result<Option<Response>, ParseError>,
    /// The connection was closed or broke.
    is_closed: bool,
}

impl Coordinator {
    /// Polls `address` from the next `expire` on; without an address nothing is polled.
    pub fn new(
        handle: LoopHandle<'static, LoopEvents>,
        address: Option<SocketAddr>,
        last_index: u64,
    ) -> Self {
        Coordinator {
            handle,
            address,
            link: None,
            connection_number: 0,
            polled_at: None,
            due: 0,
            last_index,
            is_failing: false,
            last_answer_at: 0,
        }
    }

    /// Polls another address from now on, from the last index, and closes the old connection.
    pub fn set_address(&mut self, now: Micros, address: Option<SocketAddr>) {
        if self.address == address {
            return;
        }
        self.address = address;
        self.link = None;
        self.is_failing = false;
        self.due = now;
    }

    /// When `expire` is next due, in Unix microseconds.
    pub fn due(&self) -> Micros {
        if self.address.is_some() {
            self.due
        } else {
            Micros::MAX
        }
    }

    /// Dials a new connection when that is due, or closes a connection whose answer is overdue.
    pub fn expire(&mut self, now: Micros) {
        let Some(address) = self.address.filter(|_| self.due <= now) else {
            return;
        };
        if self.link.is_some() {
            return self.handle_failure(now, "no answer in time");
        }
        self.connection_number += 1;
        match Link::dial(
            address,
            &self.handle,
            SocketKind::Coordinator.id(self.connection_number),
        ) {
            Ok(link) => {
                self.link = Some(link);
                self.polled_at = None;
                self.due = now + SILENCE_TIMEOUT;
            }
            Err(e) => self.handle_failure(now, &e.to_string()),
        }
    }

    fn handle_failure(&mut self, now: Micros, reason: &str) {
        // After the first failure the coordinator is polled again at once, after further ones at intervals.
        let retry_at = if std::mem::replace(&mut self.is_failing, true) {
            now + RETRY_INTERVAL
        } else {
            now
        };
        if retry_at == now {
            log::warn!("coordinator: {reason}; the engine list is not updated until it answers");
        }
        self.close_until(retry_at);
    }

    /// Closes the connection; the next one is dialled at `dial_at`.
    fn close_until(&mut self, dial_at: Micros) {
        self.link = None;
        self.due = dial_at;
    }

    fn poll(&mut self, now: Micros) {
        if let (Some(link), Some(address)) = (&mut self.link, self.address) {
            let request =
                codec::poll_request(&address.to_string(), self.last_index, POLL_TIMEOUT_MS);
            link.output().extend_from_slice(request.as_bytes());
            self.polled_at = Some(now);
            self.due = now + POLL_TIMEOUT_MS * 1000 + SILENCE_TIMEOUT;
        }
    }

    /// Reads from the connection. Returns the events of a complete answer.
    pub fn read(&mut self, now: Micros, number: u64) -> Option<Events> {
        if self.link.is_none() || number != self.connection_number {
            return None;
        }
        if self.polled_at.is_none() && !self.poll_if_up(now) {
            return None;
        }
        let received = self.receive()?;
        match received.answer {
            Ok(Some(answer)) => self.handle_answer(now, answer, received.is_closed),
            Ok(None) if received.is_closed => {
                self.handle_failure(now, "connection closed");
                None
            }
            Ok(None) => None,
            Err(error) => {
                self.handle_failure(now, &error.to_string());
                None
            }
        }
    }

    /// Sends a poll if the connection is established. Returns false if it is not, or failed.
    fn poll_if_up(&mut self, now: Micros) -> bool {
        match self.link.as_ref().map_or(Ok(false), Link::is_up) {
            Ok(true) => {
                self.poll(now);
                true
            }
            Ok(false) => false,
            Err(error) => {
                self.handle_failure(now, &error.to_string());
                false
            }
        }
    }

    /// Reads what is available, and decodes the answer if it is complete. None without a connection.
    fn receive(&mut self) -> Option<Received> {
        let link = self.link.as_mut()?;
        let broken = loop {
            let ReadOutcome { has_more, broken } = link.read();
            if !has_more || link.input.len() > codec::MAX_BODY_BYTES {
                break broken;
            }
        };
        let is_closed = broken.is_some();
        let answer = match codec::read(&link.input, is_closed) {
            Ok(Some(Decoded { len, message })) => {
                link.consume(len);
                Ok(Some(message))
            }
            Ok(None) => Ok(None),
            Err(error) => Err(error),
        };
        Some(Received { answer, is_closed })
    }

    /// Handles an answer to a poll and starts the next poll. Returns the answer's events if they are valid.
    fn handle_answer(&mut self, now: Micros, answer: Response, is_closed: bool) -> Option<Events> {
        let events = match answer.status {
            200 => codec::events(&answer.body).map_err(|error| error.to_string()),
            status => Err(format!("status {status}")),
        };
        let events = match events {
            Ok(events) => events,
            Err(reason) => {
                self.handle_failure(now, &reason);
                return None;
            }
        };
        self.record_answer(now);
        self.last_index = self.last_index.max(events.index);
        // Guards against a busy loop with a coordinator that answers at once without events.
        let answered_at_once = self.polled_at.is_some_and(|at| now < at + RETRY_INTERVAL);
        if events.updates.is_empty() && answered_at_once {
            self.close_until(now + RETRY_INTERVAL);
        } else if answer.keep_alive && !is_closed {
            self.poll(now);
        } else {
            self.close_until(now);
        }
        Some(events)
    }

    fn record_answer(&mut self, now: Micros) {
        let before = std::mem::replace(&mut self.last_answer_at, now);
        if std::mem::replace(&mut self.is_failing, false) {
            // Events that the coordinator sent meanwhile are treated as known some seconds later, received or not.
            let silent_ms = if before > 0 { (now - before) / 1000 } else { 0 };
            log::info!("coordinator: answers again, {silent_ms} ms after its last answer");
        }
    }

    /// Sends pending output.
    pub fn flush(&mut self, now: Micros) {
        if let Some(Err(_)) = self.link.as_mut().map(Link::flush) {
            self.handle_failure(now, "connection closed");
        }
    }
}

#[cfg(test)]
#[path = "coordinator_tests.rs"]
mod tests;
