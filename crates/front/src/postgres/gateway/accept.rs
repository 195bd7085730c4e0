//! Accepts sessions, and closes idle ones when descriptors run short.

use hallmux_dispatcher::Micros;

use super::Gateway;
use crate::events::SocketKind;
use crate::link::Link;

impl Gateway {
    /// Closes an idle session to make room for a connection of any kind. Returns false if there is
    /// none to close.
    pub fn evict_idle(&mut self, now: Micros) -> bool {
        self.sessions.evict_idle(now)
    }

    /// Drops a lingering session to make room for a connection of any kind. Returns false if there
    /// is none that uses a descriptor of clients.
    pub fn drop_lingering(&mut self) -> bool {
        self.sessions.drop_lingering()
    }

    /// Accepts the connections that wait; `connections_left` is how many more may be connected.
    pub fn accept(&mut self, now: Micros, mut connections_left: usize) {
        loop {
            let (sessions, max_sessions) = (&mut self.sessions, self.config.limits.sessions);
            let reserve = || {
                let has_descriptor = connections_left > 0 || sessions.drop_lingering();
                let free = has_descriptor && sessions.open_count() < max_sessions
                    || sessions.evict_idle(now);
                free.then_some(())
                    .ok_or_else(|| format!("{} sessions are connected", sessions.len()))
            };
            let Some(stream) = self.listener.accept(now, reserve) else {
                return;
            };
            let id = self.sessions.next_id();
            connections_left = connections_left.saturating_sub(1);
            match Link::new(stream, &self.handle, SocketKind::Session.id(id)) {
                Ok(link) => {
                    self.sessions.accept(now, id, link);
                    self.read_deferring_rest(now, SocketKind::Session.id(id));
                }
                Err(e) => {
                    log::warn!("session {id}: its connection can't be set up: {e}; it is closed")
                }
            }
        }
    }
}
