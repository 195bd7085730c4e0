//! A listening socket: accepts connections while there is capacity, and leaves them in the kernel's queue otherwise.

use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use hallmux_dispatcher::Micros;

use crate::events::{LoopEvents, SocketId};
use crate::transient;

/// Microseconds until the next attempt after one without capacity or descriptors; doubled with each further failure.
const INITIAL_BACKOFF: Micros = 1_000;
/// Limit of the microseconds between attempts, as statements wait unread meanwhile.
const MAX_BACKOFF: Micros = 50_000;
/// Limit of the errors of single connections that are skipped in one call.
const MAX_CONNECTION_ERRORS: usize = 64;

/// A listening socket with the state of accepting from it.
pub struct Listener {
    handle: LoopHandle<'static, LoopEvents>,
    /// The socket; None once it is closed.
    socket: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// When `accept` is next due; None while the kernel's queue is known to be empty.
    next_accept: Option<Micros>,
    /// A connection that was accepted but not served yet, for lack of capacity.
    pending: Option<TcpStream>,
    /// Whether the last attempt found no capacity, which is logged once.
    at_capacity: bool,
    /// Microseconds from the last failed attempt to the next; 0 if the last one succeeded.
    backoff: Micros,
    /// Since when connections may wait in the kernel's queue; None while it is known to be empty.
    unread_since: Option<Micros>,
    /// Whether the last attempt failed with a system error, so that connections may still wait in the queue.
    last_accept_failed: bool,
}

impl Listener {
    /// Registers a bound socket with the event loop, which reports it under `id`.
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

    /// Makes `accept` due, as connections may wait to be accepted. Does nothing once the listener is closed.
    pub fn mark_readable(&mut self) {
        self.next_accept = self.is_open().then_some(0);
    }

    /// When `accept` is next due; `Micros::MAX` while no connection waits.
    pub fn due(&self) -> Micros {
        self.next_accept.unwrap_or(Micros::MAX)
    }

    /// Whether the socket is still listening.
    pub fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// The listening address, for tests in which the system assigns the port.
    #[cfg(test)]
    pub fn address(&self) -> Option<std::net::SocketAddr> {
        self.socket
            .as_ref()
            .and_then(|(listener, _)| listener.local_addr().ok())
    }

    /// Stops listening. Returns true if the listener was open.
    pub fn close(&mut self) -> bool {
        self.next_accept = None;
        let socket = self.socket.take();
        if let Some((_, token)) = &socket {
            self.handle.remove(*token);
        }
        socket.is_some()
    }

    /// Microseconds for which a connection that is accepted now, and its client's input, may have waited unread.
    pub fn unread_for(&self, now: Micros) -> Micros {
        self.unread_since.map_or(0, |since| now - since)
    }

    /// Whether connections may still wait because the last attempt to accept failed with a system error.
    pub fn may_have_more(&self) -> bool {
        self.last_accept_failed && self.is_open()
    }

    /// Accepts the next connection. Errors of single connections, which Linux reports here, are skipped; after a shortage
    /// of the system the next attempt is delayed. `reserve` frees capacity for the connection or returns why there is
    /// none, in which case the connection waits.
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

    /// The kernel's queue is empty: the next attempt waits until the event loop reports a connection.
    fn handle_empty_queue(&mut self) {
        self.next_accept = None;
        self.at_capacity = false;
        self.backoff = 0;
        self.unread_since = None;
    }

    /// Delays the next attempt, so that connections that can't be served stay in the kernel's queue.
    fn back_off(&mut self, now: Micros, reason: &str) {
        if !std::mem::replace(&mut self.at_capacity, true) {
            log::warn!("no connection can be accepted: {reason}; trying again");
        }
        self.unread_since.get_or_insert(now);
        self.backoff = (2 * self.backoff).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        self.next_accept = Some(now + self.backoff);
    }
}
