//! Which client connections are closed because nothing is owed on them and nothing comes.

use super::*;

const LOOK: Micros = 200_000; // microseconds between looks at connections that have said nothing for long
const IDLE: Micros = 6_000_000; // microseconds; clients close after 4 s, so what is idle longer is left behind
const HALF: Micros = 2_000_000; // microseconds for a message to be whole, the first one from connecting on
const PIECES: Micros = 500_000; // microseconds between pieces of a message that is still being written

impl Clients {
    /// Closes connections that are left behind, that have said nothing yet, or half a message and no more. What was
    /// taken from them is answered first.
    pub fn expire(&mut self, now: Micros, told: &mut Vec<Told>) {
        self.lingering.expire(now);
        if now < self.look {
            return;
        }
        self.look = now + LOOK;
        let half = |c: &Client| {
            let begun = c.awaited.unwrap_or(now);
            let stopped = begun + HALF <= now && c.heard + PIECES <= now;
            stopped || begun + self.longest_timeout.max(IDLE) <= now
        };
        let idle = |c: &Client| c.heard + IDLE <= now;
        let over = |(id, c): (&ClientId, &Client)| {
            let over = (half(c) || idle(c)) && !self.waiting.contains(id);
            (over && !c.is_owed()).then_some(*id)
        };
        let over: Vec<ClientId> = self.clients.iter().filter_map(over).collect();
        for id in over {
            if self.brings_nothing(id) {
                self.close(now, id, told);
            }
        }
        // Guards against those that have gone without a word: nobody waits for an answer any more.
        let left = |(id, c): (&ClientId, &Client)| {
            let takes_none = c.open.is_empty() && c.link.unsent() > 0;
            let patience = if c.refused { HALF } else { self.longest_timeout.max(IDLE) };
            (takes_none && c.heard + patience <= now).then_some(*id)
        };
        let left: Vec<ClientId> = self.clients.iter().filter_map(left).collect();
        left.into_iter().for_each(|id| self.end(id, told));
    }

    /// Makes room for a newcomer: the one that has been silent longest goes, before all one that is being closed or
    /// never spoke.
    pub fn make_room(&mut self) -> bool {
        if self.lingering.drop_oldest() {
            return true;
        }
        let silent = self.clients.iter().filter(|(_, c)| c.open.is_empty() && (!c.spoke || c.is_idle()));
        let mut silent: Vec<_> = silent.map(|(id, c)| (c.spoke, c.heard, *id)).collect();
        silent.sort_unstable();
        let Some(id) = silent.into_iter().map(|(.., id)| id).find(|id| self.brings_nothing(*id)) else {
            return false;
        };
        self.end(id, &mut Vec::new());
        true
    }

    /// Closes the connections that have nothing open and nothing on the way.
    pub fn close_idle(&mut self, now: Micros) {
        let idle: Vec<ClientId> =
            self.clients.iter().filter(|(_, c)| c.is_idle()).map(|(id, _)| *id).collect();
        for id in idle {
            if self.brings_nothing(id) {
                self.close(now, id, &mut Vec::new());
            }
        }
    }

    /// Whether a connection that is to be closed as idle brings nothing just now. Guards against a request that came
    /// since it was last read: it is served then, and its connection stays.
    fn brings_nothing(&mut self, id: ClientId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return true };
        let before = client.link.input.len();
        let (more, _) = client.link.read_some(ONE_READ);
        let nothing = !more && client.link.input.len() == before;
        if !nothing {
            self.found.insert(id);
        }
        nothing
    }
}
