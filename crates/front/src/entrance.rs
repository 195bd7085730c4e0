//! A door for connections: takes them as long as there is room, and leaves them waiting when there is none.

use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use hallmux_dispatcher::Micros;

use crate::doors::{Changes, Party};

const ACCEPT_AGAIN: Micros = 50_000; // microseconds until the next try after one without descriptors

pub struct Entrance {
    handle: LoopHandle<'static, Changes>,
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    accept_at: Option<Micros>,
    /// The first of those that wait at the door.
    at_door: Option<TcpStream>,
    /// Connections wait at the door, as none more can be taken.
    shut_out: bool,
}

impl Entrance {
    pub fn new(
        listener: TcpListener,
        handle: &LoopHandle<'static, Changes>,
        party: Party,
    ) -> std::io::Result<Entrance> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Edge);
        let accept = handle.insert_source(source, move |_, _, changes: &mut Changes| {
            changes.parties.push(party);
            Ok(PostAction::Continue)
        });
        let token = accept.map_err(|e| std::io::Error::other(e.error.to_string()))?;
        let listener = Some((listener, token));
        Ok(Entrance { handle: handle.clone(), listener, accept_at: Some(0), at_door: None, shut_out: false })
    }

    /// Somebody has come, or may have: `next` asks the system.
    pub fn knocked(&mut self) {
        self.accept_at = self.is_open().then_some(0);
    }

    pub fn due(&self) -> Micros {
        self.accept_at.unwrap_or(Micros::MAX)
    }

    pub fn is_open(&self) -> bool {
        self.listener.is_some()
    }

    /// True if it was open till now.
    pub fn close(&mut self) -> bool {
        self.accept_at = None;
        let listener = self.listener.take();
        if let Some((_, token)) = &listener {
            self.handle.remove(*token);
        }
        listener.is_some()
    }

    /// The next one at the door; `room` makes room for it or says why there is none.
    pub fn next(&mut self, now: Micros, mut room: impl FnMut() -> Result<(), String>) -> Option<TcpStream> {
        if self.accept_at.is_none_or(|at| at > now) {
            return None;
        }
        let listener = self.listener.as_ref()?.0.clone();
        loop {
            match self.at_door.take().map_or_else(|| listener.accept().map(|(stream, _)| stream), Ok) {
                Ok(stream) => match room() {
                    Ok(()) => return Some(stream),
                    Err(why) => {
                        self.at_door = Some(stream);
                        self.later(now, &why);
                        return None;
                    }
                },
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    (self.accept_at, self.shut_out) = (None, false);
                    return None;
                }
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    self.later(now, &e.to_string());
                    return None;
                }
            }
        }
    }

    /// Leaves clients waiting at the door, rather than taking what can't be served.
    fn later(&mut self, now: Micros, why: &str) {
        if !std::mem::replace(&mut self.shut_out, true) {
            log::warn!("no connection can be taken for now: {why}");
        }
        self.accept_at = Some(now + ACCEPT_AGAIN);
    }
}
