//! Fronts that are killed, at a step of a ledger entry if one is named.

use rand::Rng;

use super::simulation::{Event, Simulation};
use crate::check::Outcome;
use crate::rig::death::DeathStep;
use crate::rig::scenario::{Fault, FaultKind, Step};

const STEP_TIMEOUT_US: i64 = 1_500_000; // limit for a front to reach a step
const MIN_DOWNTIME_US: i64 = 300_000; // minimum time between the death and the restart

/// A front that is to be killed at a step of a ledger entry.
pub(super) struct Armed {
    pub(super) death: DeathStep,
    /// The fault's index in the scenario.
    fault: usize,
}

impl Simulation<'_> {
    /// Kills the front of a fault at once, or arms its death at a step.
    pub(super) fn schedule_death(
        &mut self,
        place: usize,
        front: usize,
        step: Option<Step>,
        draw: u64,
    ) {
        let Some(step) = step else {
            return self.kill_front(front);
        };
        self.armed = Some(Armed {
            death: DeathStep::new(step, front, draw),
            fault: place,
        });
        self.schedule_event(self.now + STEP_TIMEOUT_US, Event::StepTimedOut(place));
    }

    /// The front did not reach the step in time: it is killed anyway, and the run has to report it.
    pub(super) fn step_timed_out(&mut self, fault: usize) {
        if let Some(armed) = self.armed.take_if(|armed| armed.fault == fault) {
            self.kill_front(armed.death.front);
        }
    }

    /// While the front has yet to die, the earliest time at which this fault may end.
    pub(super) fn death_retry_at(&self, fault: usize) -> Option<i64> {
        self.armed
            .as_ref()
            .filter(|armed| armed.fault == fault)
            .map(|_| self.now + MIN_DOWNTIME_US)
    }

    /// Records that a front has reached a step of a ledger entry; returns whether the front has
    /// just died there.
    pub(super) fn record_step(&mut self, step: Step, front: usize) -> bool {
        if !self
            .armed
            .as_mut()
            .is_some_and(|armed| armed.death.record_step(step, front))
        {
            return false;
        }
        self.armed = None;
        self.account.steps.push((step, front, self.now));
        self.kill_front(front);
        true
    }

    /// Kills the front; its clients see their connections close.
    pub(super) fn kill_front(&mut self, front: usize) {
        let member = &mut self.members[front];
        if member.running.take().is_none() {
            return;
        }
        (member.is_stalled, member.shutdown_asked_at, member.next_due) = (false, None, i64::MAX);
        member.pending_events.clear();
        member.disruptions.push((self.now, i64::MAX));
        let loses = |fault: &Fault| fault.what == FaultKind::LoseDisk && fault.front == front;
        if self.active_faults.values().any(loses) {
            self.record_replica_loss();
        }
        let written = self.rng.random();
        self.members[front].disk.crash(written);
        let out = |(_, o): &(usize, &crate::record::account::Offered)| {
            o.front == front && o.asked.answered == i64::MAX
        };
        let out: Vec<usize> = self
            .account
            .asked
            .iter()
            .enumerate()
            .filter(out)
            .map(|(n, _)| n)
            .collect();
        out.into_iter()
            .for_each(|number| self.complete_statement(number, Outcome::Lost));
    }
}
