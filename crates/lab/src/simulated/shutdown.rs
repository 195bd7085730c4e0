//! Graceful shutdown of simulated fronts: they hand over the shards that they lead, answer their
//! accepted statements, and exit.

use rand::Rng;

use super::simulation::{Event, Simulation};
use crate::rig::scenario::FaultKind;

/// Microseconds for which clients still connect to a front that was asked to shut down.
pub(super) const CLIENT_GRACE_US: i64 = 300_000;
const LISTENER_GRACE_US: i64 = 800_000; // time that the listener stays open, as that of a front process does
const MAX_HANDOVER_US: i64 = 3_000_000; // limit while the front leads shards that others could lead
const MAX_QUORUM_WAIT_US: i64 = 10_000_000; // limit while a shard would have no quorum without the front
const SHUTDOWN_CHECK_INTERVAL_US: i64 = 10_000; // time between checks for unanswered statements

impl Simulation<'_> {
    /// Requests a shutdown: the front hands over its shards, leaves the gossip and closes later.
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

    /// Exits once the listener's time is over, the shards are handed over and all statements are
    /// answered; otherwise schedules another check.
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

    /// For a front that has yet to exit, the time of the next attempt to end its `Term` fault.
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
