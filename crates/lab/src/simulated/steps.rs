//! Fronts that die, at a step of a promise where one is named.

use rand::Rng;

use super::simulation::{Event, Simulation};
use crate::check::Outcome;
use crate::rig::death::DeathStep;
use crate::rig::scenario::{Fault, FaultKind, Step};

const WITHIN: i64 = 1_500_000; // microseconds for a front to come to a step
const GONE: i64 = 300_000; // microseconds that it is gone at least

/// A front that is to die at a step of a promise.
pub(super) struct Armed {
    pub(super) death: DeathStep,
    /// The fault's place in the scenario.
    fault: usize,
}

impl Simulation<'_> {
    /// The front of a fault is to die: at once, or at its step.
    pub(super) fn dooms(&mut self, place: usize, front: usize, step: Option<Step>, draw: u64) {
        let Some(step) = step else {
            return self.dies(front);
        };
        self.armed = Some(Armed {
            death: DeathStep::new(step, front, draw),
            fault: place,
        });
        self.at(self.now + WITHIN, Event::Unarmed(place));
    }

    /// The front came to no such step in time: it dies all the same, and the run has to say so.
    pub(super) fn unarmed(&mut self, fault: usize) {
        if let Some(armed) = self.armed.take_if(|armed| armed.fault == fault) {
            self.dies(armed.death.front);
        }
    }

    /// Until when the end of this fault has to wait, as its front has yet to die.
    pub(super) fn is_armed(&self, fault: usize) -> Option<i64> {
        self.armed
            .as_ref()
            .filter(|armed| armed.fault == fault)
            .map(|_| self.now + GONE)
    }

    /// A step of a promise is reached at a front: true if it has just died of that.
    pub(super) fn reached(&mut self, step: Step, front: usize) -> bool {
        if !self
            .armed
            .as_mut()
            .is_some_and(|armed| armed.death.record_step(step, front))
        {
            return false;
        }
        self.armed = None;
        self.account.steps.push((step, front, self.now));
        self.dies(front);
        true
    }

    /// The front's process is gone, and its clients see their connections end.
    pub(super) fn dies(&mut self, front: usize) {
        let member = &mut self.members[front];
        if member.life.take().is_none() {
            return;
        }
        (member.stopped, member.ending, member.due) = (false, None, i64::MAX);
        member.waits.clear();
        member.troubled.push((self.now, i64::MAX));
        let loses = |fault: &Fault| fault.what == FaultKind::LoseDisk && fault.front == front;
        if self.playing.values().any(loses) {
            self.copies_lost();
        }
        let written = self.chance.random();
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
            .for_each(|number| self.settle(number, Outcome::Lost));
    }
}
