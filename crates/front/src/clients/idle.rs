//! Which client connections are closed because nothing is owed on them and nothing comes.

use super::*;

const CHECK_INTERVAL: Micros = 200_000; // microseconds between checks of connections that have sent nothing for long
const IDLE_TIMEOUT: Micros = 6_000_000; // microseconds; clients close after 4 s, so what is idle longer is left behind
const MESSAGE_TIMEOUT: Micros = 2_000_000; // microseconds for a message to be whole, the first one from connecting on
const PIECE_TIMEOUT: Micros = 500_000; // microseconds between pieces of a message that is still being written

impl Clients {
    /// Closes connections that are left behind, that have sent nothing yet, or half a message and no more. What was
    /// taken from them is answered first.
    pub fn expire(&mut self, now: Micros, events: &mut Vec<Event>) {
        self.lingering.expire(now);
        if now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        let half = |c: &Client| {
            let begun = c.incomplete_since.unwrap_or(now);
            let stopped = begun + MESSAGE_TIMEOUT <= now && c.last_active + PIECE_TIMEOUT <= now;
            stopped || begun + self.longest_timeout.max(IDLE_TIMEOUT) <= now
        };
        let idle = |c: &Client| c.last_active + IDLE_TIMEOUT <= now;
        let over = |(id, c): (&ClientId, &Client)| {
            let over = (half(c) || idle(c)) && !self.paused.contains(id);
            (over && !c.is_owed()).then_some(*id)
        };
        let over: Vec<ClientId> = self.clients.iter().filter_map(over).collect();
        for id in over {
            if self.has_nothing_unread(id) {
                self.close(now, id, events);
            }
        }
        // Guards against those that have gone without closing: nobody waits for an answer any more.
        let abandoned = |(id, c): (&ClientId, &Client)| {
            let takes_none = c.open.is_empty() && c.link.unsent() > 0;
            let patience = if c.refused {
                MESSAGE_TIMEOUT
            } else {
                self.longest_timeout.max(IDLE_TIMEOUT)
            };
            (takes_none && c.last_active + patience <= now).then_some(*id)
        };
        let abandoned: Vec<ClientId> = self.clients.iter().filter_map(abandoned).collect();
        abandoned
            .into_iter()
            .for_each(|id| self.disconnect(id, events));
    }

    /// Closes an idle connection to make way for a new one: the one that has been silent longest goes, before all one that is being closed or
    /// never spoke.
    pub fn evict_idle(&mut self) -> bool {
        if self.lingering.drop_oldest() {
            return true;
        }
        let silent = self
            .clients
            .iter()
            .filter(|(_, c)| c.open.is_empty() && (!c.has_sent_message || c.is_idle()));
        let mut silent: Vec<_> = silent
            .map(|(id, c)| (c.has_sent_message, c.last_active, *id))
            .collect();
        silent.sort_unstable();
        let Some(id) = silent
            .into_iter()
            .map(|(.., id)| id)
            .find(|id| self.has_nothing_unread(*id))
        else {
            return false;
        };
        self.disconnect(id, &mut Vec::new());
        true
    }

    /// Closes the connections that have nothing open and nothing on the way.
    pub fn close_idle(&mut self, now: Micros) {
        let idle: Vec<ClientId> = self
            .clients
            .iter()
            .filter(|(_, c)| c.is_idle())
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            if self.has_nothing_unread(id) {
                self.close(now, id, &mut Vec::new());
            }
        }
    }

    /// Whether a connection that is to be closed as idle brings nothing just now. Guards against a request that came
    /// since it was last read: it is served then, and its connection stays.
    fn has_nothing_unread(&mut self, id: ClientId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else {
            return true;
        };
        let before = client.link.input.len();
        let has_more = client.link.read_some(READ_SIZE).has_more;
        let nothing = !has_more && client.link.input.len() == before;
        if !nothing {
            self.found_unread.insert(id);
        }
        nothing
    }
}
