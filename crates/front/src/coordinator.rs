//! The connection to the coordinator: one question after the other for what has changed since the last.

use std::net::SocketAddr;

use calloop::LoopHandle;
use hallmux_dispatcher::Micros;
use hallmux_native_codec::coordinator::{self as codec, Events};
use hallmux_native_codec::Decoded;

use crate::events::{LoopEvents, SocketKind};
use crate::link::{Link, ReadOutcome};

const POLL_MS: i64 = 1000; // milliseconds that the coordinator holds a question open (long poll)
const SILENCE_TIMEOUT: Micros = 750_000; // microseconds beyond that until the connection counts as dead
const RETRY_INTERVAL: Micros = 200_000; // microseconds until the next try after one that failed

pub struct Coordinator {
    handle: LoopHandle<'static, LoopEvents>,
    at: Option<SocketAddr>,
    link: Option<Link>,
    number: u64, // of the connection
    asked_at: Option<Micros>,
    due: Micros, // until when an answer is awaited, or when to try again
    pub last_index: u64,
    failing: bool,
    last_answer: Micros, // when it last did
}

impl Coordinator {
    pub fn new(
        handle: LoopHandle<'static, LoopEvents>,
        at: Option<SocketAddr>,
        last_index: u64,
    ) -> Self {
        Coordinator {
            handle,
            at,
            link: None,
            number: 0,
            asked_at: None,
            due: 0,
            last_index,
            failing: false,
            last_answer: 0,
        }
    }

    /// Another address is to be asked from now on, from the last number; the old connection goes.
    pub fn set_address(&mut self, now: Micros, at: Option<SocketAddr>) {
        if self.at != at {
            (self.at, self.link, self.failing, self.due) = (at, None, false, now);
        }
    }

    pub fn due(&self) -> Micros {
        if self.at.is_some() {
            self.due
        } else {
            Micros::MAX
        }
    }

    /// Tries again, or drops a connection that has been silent.
    pub fn expire(&mut self, now: Micros) {
        let Some(at) = self.at.filter(|_| self.due <= now) else {
            return;
        };
        if self.link.is_some() {
            return self.failed(now, "silent");
        }
        self.number += 1;
        match Link::dial(at, &self.handle, SocketKind::Coordinator.id(self.number)) {
            Ok(link) => {
                (self.link, self.asked_at) = (Some(link), None);
                self.due = now + SILENCE_TIMEOUT;
            }
            Err(e) => self.failed(now, &e.to_string()),
        }
    }

    fn failed(&mut self, now: Micros, why: &str) {
        // One that breaks off or stops is asked again at once, from then on every now and then.
        let again = if std::mem::replace(&mut self.failing, true) {
            now + RETRY_INTERVAL
        } else {
            now
        };
        if again == now {
            log::warn!("coordinator: {why}; the engine list stands still until it answers");
        }
        (self.link, self.due) = (None, again);
    }

    fn ask(&mut self, now: Micros) {
        if let (Some(link), Some(at)) = (&mut self.link, self.at) {
            let question = codec::poll_request(&at.to_string(), self.last_index, POLL_MS);
            link.output().extend_from_slice(question.as_bytes());
            (self.asked_at, self.due) = (Some(now), now + POLL_MS * 1000 + SILENCE_TIMEOUT);
        }
    }

    /// The connection has changed; what it brought, if anything.
    pub fn read(&mut self, now: Micros, number: u64) -> Option<Events> {
        let link = self.link.as_mut().filter(|_| number == self.number)?;
        if self.asked_at.is_none() {
            match link.is_up() {
                Ok(false) => return None,
                Ok(true) => self.ask(now),
                Err(e) => {
                    self.failed(now, &e.to_string());
                    return None;
                }
            }
        }
        let link = self.link.as_mut()?;
        let broken = loop {
            let ReadOutcome {
                has_more: more,
                broken,
            } = link.read();
            if !more || link.input.len() > codec::LONGEST_BODY {
                break broken;
            }
        };
        let Decoded {
            len,
            message: answer,
        } = match codec::read(&link.input, broken.is_some()) {
            Ok(Some(answer)) => answer,
            Ok(None) if broken.is_some() => {
                self.failed(now, "connection over");
                return None;
            }
            Ok(None) => return None,
            Err(what) => {
                self.failed(now, &what.to_string());
                return None;
            }
        };
        link.consume(len);
        let read = match answer.status {
            200 => codec::events(&answer.body).map_err(|what| what.to_string()),
            status => Err(format!("status {status}")),
        };
        match read {
            Err(why) => {
                self.failed(now, &why);
                None
            }
            Ok(stream) => {
                let before = std::mem::replace(&mut self.last_answer, now);
                if std::mem::replace(&mut self.failing, false) {
                    // What it sent meanwhile counts as known some seconds after, whether it came here or not.
                    let silent = if before > 0 { (now - before) / 1000 } else { 0 };
                    log::info!("coordinator: answers again, {silent} ms after its last answer");
                }
                self.last_index = self.last_index.max(stream.index);
                // Guards against one that answers at once with nothing: it is not asked without end.
                let idle = stream.updates.is_empty()
                    && self.asked_at.is_some_and(|at| now < at + RETRY_INTERVAL);
                if idle {
                    (self.link, self.due) = (None, now + RETRY_INTERVAL);
                } else if answer.keep_alive && broken.is_none() {
                    self.ask(now);
                } else {
                    (self.link, self.due) = (None, now);
                }
                Some(stream)
            }
        }
    }

    pub fn flush(&mut self, now: Micros) {
        if let Some(Err(_)) = self.link.as_mut().map(Link::flush) {
            self.failed(now, "connection over");
        }
    }
}

#[cfg(test)]
#[path = "coordinator_tests.rs"]
mod tests;
