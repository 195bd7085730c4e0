//! Fronts that die, at a step of a promise where one is named.

use rand::Rng;

use super::simulation::{Event, Simulation};
use crate::check::Outcome;
use crate::rig::death::DeathStep;
use crate::rig::scenario::{Fault, FaultKind, Step};

const STEP_TIMEOUT_US: i64 = 1_500_000; // microseconds for a front to come to a step
const MIN_DOWNTIME_US: i64 = 300_000; // microseconds that it is gone at least

/// A front that is to die at a step of a promise.
pub(super) struct Armed {
    pub(super) death: DeathStep,
    /// The fault's place in the scenario.
    fault: usize,
}

impl Simulation<'_> {
    /// The front of a fault is to die: at once, or at its step.
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

    /// The front came to no such step in time: it dies all the same, and the run has to say so.
    pub(super) fn step_timed_out(&mut self, fault: usize) {
        if let Some(armed) = self.armed.take_if(|armed| armed.fault == fault) {
            self.kill_front(armed.death.front);
        }
    }

    /// Until when the end of this fault has to wait, as its front has yet to die.
    pub(super) fn death_retry_at(&self, fault: usize) -> Option<i64> {
        self.armed
            .as_ref()
            .filter(|armed| armed.fault == fault)
            .map(|_| self.now + MIN_DOWNTIME_US)
    }

    /// A step of a promise is reached at a front: true if it has just died of that.
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

    /// The front's process is gone, and its clients see their connections end.
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
