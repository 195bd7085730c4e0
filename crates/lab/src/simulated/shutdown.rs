//! Fronts that are asked to end: they hand over what they own of promises, answer what they have taken, and are gone.

use rand::Rng;

use super::simulation::{Event, Simulation};
use crate::rig::scenario::FaultKind;

/// Microseconds for which clients still come to a front that was asked to end.
pub(super) const CLIENT_GRACE_US: i64 = 300_000;
const LISTENER_GRACE_US: i64 = 800_000; // microseconds that its listener stays open, as that of a front process does
const MAX_HANDOVER_US: i64 = 3_000_000; // microseconds at most while it still owns promises that others could own
const MAX_QUORUM_WAIT_US: i64 = 10_000_000; // microseconds at most while a shard would have no majority without it
const SHUTDOWN_CHECK_INTERVAL_US: i64 = 10_000; // microseconds from one check to the next whether all is answered

impl Simulation<'_> {
    pub(super) fn request_shutdown(&mut self, n: usize) {
        let at = self.clock_reading(n);
        let member = &mut self.members[n];
        let Some(running) = member
            .running
            .as_mut()
            .filter(|_| member.shutdown_asked_at.is_none())
        else {
            return;
        };
        member.shutdown_asked_at = Some(self.now);
        let incarnation = member.incarnation;
        if let Some(exchange) = &mut running.exchange {
            let chance = &mut self.rng;
            let out = exchange.hand_over_shards(at);
            let bye = exchange.leave(at.now, at.wall_ms, &mut || chance.random());
            self.send_output(n, out);
            self.send_datagrams(n, bye);
        }
        self.schedule_event(
            self.now + LISTENER_GRACE_US,
            Event::CheckShutdown(n, incarnation),
        );
        self.schedule_wakeup(n);
    }

    /// Its listener closes once all is handed over, and it is gone once all is answered.
    pub(super) fn try_shutdown(&mut self, n: usize, incarnation: u32) {
        let member = &self.members[n];
        let Some((runs, asked)) = member
            .running
            .as_ref()
            .zip(member.shutdown_asked_at)
            .filter(|_| member.incarnation == incarnation)
        else {
            return;
        };
        let at = self.clock_reading(n);
        let closes_at = asked
            + match &runs.exchange {
                Some(exchange) if exchange.is_needed_for_quorum(at) => MAX_QUORUM_WAIT_US,
                Some(exchange) if exchange.has_shards_to_hand_over() => MAX_HANDOVER_US,
                _ => LISTENER_GRACE_US,
            };
        let mut own = self.account.asked.iter().rev().filter(|o| o.front == n);
        let waits = own.any(|o| o.asked.answered == i64::MAX);
        if self.now < closes_at || waits || member.is_stalled {
            return self.schedule_event(
                self.now + SHUTDOWN_CHECK_INTERVAL_US,
                Event::CheckShutdown(n, incarnation),
            );
        }
        self.kill_front(n);
    }

    /// Until when the end of this fault has to wait, as its front has yet to end.
    pub(super) fn shutdown_retry_at(&self, fault: usize) -> Option<i64> {
        let fault = self
            .active_faults
            .get(&fault)
            .filter(|fault| fault.what == FaultKind::Term)?;
        self.members[fault.front]
            .shutdown_asked_at
            .map(|_| self.now + SHUTDOWN_CHECK_INTERVAL_US)
    }
}
