//! Fronts that are asked to end: they hand over what they own of promises, answer what they have taken, and are gone.

use rand::Rng;

use super::simulation::{Event, Simulation};
use crate::rig::scenario::FaultKind;

/// Microseconds for which clients still come to a front that was asked to end.
pub(super) const STILL_COME: i64 = 300_000;
const LISTENS_ON: i64 = 800_000; // microseconds that its listener stays open, as that of a front process does
const HANDED_OVER: i64 = 3_000_000; // microseconds at most while it still owns promises that others could own
const NEEDED: i64 = 10_000_000; // microseconds at most while a shard would have no majority without it
const INTERVAL: i64 = 10_000; // microseconds from one check to the next whether all is answered

impl Simulation<'_> {
    pub(super) fn asked_to_end(&mut self, n: usize) {
        let at = self.moment(n);
        let member = &mut self.members[n];
        let Some(life) = member.life.as_mut().filter(|_| member.ending.is_none()) else {
            return;
        };
        member.ending = Some(self.now);
        let lives = member.lives;
        if let Some(exchange) = &mut life.exchange {
            let chance = &mut self.chance;
            let out = exchange.hand_over_shards(at);
            let bye = exchange.leave(at.now, at.wall_ms, &mut || chance.random());
            self.send_output(n, out);
            self.send_datagrams(n, bye);
        }
        self.at(self.now + LISTENS_ON, Event::Closes(n, lives));
        self.wakes(n);
    }

    /// Its listener closes once all is handed over, and it is gone once all is answered.
    pub(super) fn closes(&mut self, n: usize, life: u32) {
        let member = &self.members[n];
        let Some((runs, asked)) = member
            .life
            .as_ref()
            .zip(member.ending)
            .filter(|_| member.lives == life)
        else {
            return;
        };
        let at = self.moment(n);
        let closes_at = asked
            + match &runs.exchange {
                Some(exchange) if exchange.is_needed_for_quorum(at) => NEEDED,
                Some(exchange) if exchange.has_shards_to_hand_over() => HANDED_OVER,
                _ => LISTENS_ON,
            };
        let mut own = self.account.asked.iter().rev().filter(|o| o.front == n);
        let waits = own.any(|o| o.asked.answered == i64::MAX);
        if self.now < closes_at || waits || member.stopped {
            return self.at(self.now + INTERVAL, Event::Closes(n, life));
        }
        self.dies(n);
    }

    /// Until when the end of this fault has to wait, as its front has yet to end.
    pub(super) fn still_ends(&self, fault: usize) -> Option<i64> {
        let fault = self
            .playing
            .get(&fault)
            .filter(|fault| fault.what == FaultKind::Term)?;
        self.members[fault.front]
            .ending
            .map(|_| self.now + INTERVAL)
    }
}
