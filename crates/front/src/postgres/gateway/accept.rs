//! Accepts sessions, and closes others for want of descriptors.

use hallmux_dispatcher::Micros;

use super::Gateway;
use crate::events::SocketKind;
use crate::link::Link;

impl Gateway {
    /// Closes a session for another connection, of whatever kind. False if none can go.
    pub fn evict_idle(&mut self, now: Micros) -> bool {
        self.sessions.evict_idle(now)
    }

    /// Drops a session that is being closed for another connection, of whatever kind. False if there is none.
    pub fn drop_lingering(&mut self) -> bool {
        self.sessions.drop_lingering()
    }

    /// Accepts connections; `connections_left` is how many more may be connected.
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
                Err(e) => log::warn!("a session's connection can't be served: {e}"),
            }
        }
    }
}
