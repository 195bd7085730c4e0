//! A listening socket: accepts connections while there is capacity, and leaves them in the kernel's queue otherwise.

use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use hallmux_dispatcher::Micros;

use crate::events::{LoopEvents, SocketId};
use crate::transient;

/// Microseconds until the next attempt after one without capacity or descriptors; doubled with each that fails.
const INITIAL_BACKOFF: Micros = 1_000;
/// Microseconds between attempts at most: statements wait unread meanwhile.
const MAX_BACKOFF: Micros = 50_000;
/// Errors in one iteration that concern single connections.
const MAX_CONNECTION_ERRORS: usize = 64;

/// A listening socket and how it is accepted from.
pub struct Listener {
    handle: LoopHandle<'static, LoopEvents>,
    /// None once it is closed.
    socket: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// When to try `accept` next; none while the kernel's queue is known to be empty.
    next_accept: Option<Micros>,
    /// The one connection that was accepted and has not been served yet, for want of capacity.
    pending: Option<TcpStream>,
    /// The last try found no capacity; that has been logged.
    at_capacity: bool,
    /// Microseconds from the last try that failed to the next; 0 where it did not fail.
    backoff: Micros,
    /// Since when connections may wait in the kernel's queue; none while it is known to be empty.
    unread_since: Option<Micros>,
    /// The last try failed in the system: connections may wait that could not be asked for.
    last_accept_failed: bool,
}

impl Listener {
    /// Registers a bound socket with the event loop, which reports it under the id given.
    pub fn new(
        listener: TcpListener,
        handle: &LoopHandle<'static, LoopEvents>,
        id: SocketId,
    ) -> std::io::Result<Listener> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Edge);
        let accept = handle.insert_source(source, move |_, _, events: &mut LoopEvents| {
            events.ready.push(id);
            Ok(PostAction::Continue)
        });
        let token = accept.map_err(|e| std::io::Error::other(e.error.to_string()))?;
        let socket = Some((listener, token));
        Ok(Listener {
            handle: handle.clone(),
            socket,
            next_accept: Some(0),
            pending: None,
            at_capacity: false,
            backoff: 0,
            unread_since: None,
            last_accept_failed: false,
        })
    }

    /// Connections wait to be accepted, or may: `accept` asks the system.
    pub fn mark_readable(&mut self) {
        self.next_accept = self.is_open().then_some(0);
    }

    /// When `accept` is next due.
    pub fn due(&self) -> Micros {
        self.next_accept.unwrap_or(Micros::MAX)
    }

    /// Whether it listens still.
    pub fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// Where it listens, for tests that let the system give the port.
    #[cfg(test)]
    pub fn address(&self) -> Option<std::net::SocketAddr> {
        self.socket
            .as_ref()
            .and_then(|(listener, _)| listener.local_addr().ok())
    }

    /// Stops listening. True if it was open till now.
    pub fn close(&mut self) -> bool {
        self.next_accept = None;
        let socket = self.socket.take();
        if let Some((_, token)) = &socket {
            self.handle.remove(*token);
        }
        socket.is_some()
    }

    /// Microseconds for which a connection that is accepted now may have waited, with what its client has sent.
    pub fn unread_for(&self, now: Micros) -> Micros {
        self.unread_since.map_or(0, |since| now - since)
    }

    /// Whether connections may wait that the system did not give when it was asked last.
    pub fn may_have_more(&self) -> bool {
        self.last_accept_failed && self.is_open()
    }

    /// The next connection. An error that concerns one connection alone, as Linux reports them here, is passed over; of
    /// a shortage the next try waits. `reserve` frees capacity for it, or says why there is none; then the connection waits.
    pub fn accept(
        &mut self,
        now: Micros,
        mut reserve: impl FnMut() -> Result<(), String>,
    ) -> Option<TcpStream> {
        if self.next_accept.is_none_or(|at| at > now) {
            return None;
        }
        let listener = self.socket.as_ref()?.0.clone();
        self.last_accept_failed = false;
        let mut errors = 0;
        loop {
            let accept_next = || listener.accept().map(|(stream, _)| stream);
            match self.pending.take().map_or_else(accept_next, Ok) {
                Ok(stream) => match reserve() {
                    Ok(()) => {
                        self.backoff = 0;
                        return Some(stream);
                    }
                    Err(reason) => {
                        self.pending = Some(stream);
                        self.back_off(now, &reason);
                        return None;
                    }
                },
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.handle_empty_queue();
                    return None;
                }
                Err(e) if !transient::is_shortage(&e) && errors < MAX_CONNECTION_ERRORS => {
                    errors += 1
                }
                Err(e) => {
                    self.last_accept_failed = true;
                    self.back_off(now, &e.to_string());
                    return None;
                }
            }
        }
    }

    /// The kernel has no more connections: it is asked again once it reports one.
    fn handle_empty_queue(&mut self) {
        self.next_accept = None;
        self.at_capacity = false;
        self.backoff = 0;
        self.unread_since = None;
    }

    /// Leaves connections in the queue, rather than taking what can't be served.
    fn back_off(&mut self, now: Micros, reason: &str) {
        if !std::mem::replace(&mut self.at_capacity, true) {
            log::warn!("no connection can be taken for now: {reason}");
        }
        self.unread_since.get_or_insert(now);
        self.backoff = (2 * self.backoff).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        self.next_accept = Some(now + self.backoff);
    }
}
