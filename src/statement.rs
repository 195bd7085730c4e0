//! A statement from its arrival until it is over and nothing is in flight for it.

use crate::interface::{Arrival, EngineEntry, EngineId, Micros, Outcome, ProgressReport, Workload};
use crate::load::Load;

/// Priority that engines take a statement to have before they are told.
const INITIAL_PRIORITY: u8 = 1;

/// One sending of a statement to an engine.
#[derive(Default)]
pub struct Attempt {
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// When it was sent.
    pub sent_at: Micros,
    /// When it was last heard of.
    pub last_seen: Micros,
    /// It had less memory than it needed.
    pub spilled: bool,
    /// Nothing was heard of it for too long.
    pub silent: bool,
    /// How it ended; None while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// There is word of it: whether that tells of its engine too. One that has not left is sent from then on.
    pub fn record_progress(&mut self, now: Micros, progress: ProgressReport) -> bool {
        let is_sent = progress != ProgressReport::NotSentYet;
        self.last_seen = now;
        if !is_sent {
            self.sent_at = now;
        }
        is_sent
    }
}

/// A statement and its attempts.
pub struct Statement {
    /// As it arrived.
    pub arrival: Arrival,
    /// The place of its service class.
    pub class: usize,
    /// When its first attempt arrived at a front, as far as the time that is left tells.
    pub first_arrival: Micros,
    /// When its client gives up.
    pub deadline: Micros,
    /// What it counts for on its engine.
    pub load: Load,
    /// 0 to 3, as its engine was last told.
    pub priority: u8,
    /// Its attempts by number.
    pub attempts: Vec<Attempt>,
    /// It has its final answer.
    pub closed: bool,
}

impl Statement {
    /// A statement that has had no attempt.
    pub fn new(
        arrival: Arrival,
        class: usize,
        first_arrival: Micros,
        deadline: Micros,
        load: Load,
    ) -> Self {
        Statement {
            arrival,
            class,
            first_arrival,
            deadline,
            load,
            priority: INITIAL_PRIORITY,
            attempts: Vec::new(),
            closed: false,
        }
    }

    /// Whether it may be sent to an engine at all: its workload and what is allowed to it agree.
    pub fn allows(&self, workload: &Workload, at: &EngineEntry) -> bool {
        let allowed = self.arrival.allowed_locations.as_ref();
        workload.allows(at) && allowed.is_none_or(|locations| locations.contains(&at.location))
    }

    /// Whether it is its client's first attempt, as far as is known.
    pub fn is_first_client_attempt(&self) -> bool {
        self.first_arrival == self.deadline - self.arrival.time_left
    }

    /// Attempts that their outcomes do not prove to have been without effect.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        let not_run = [Outcome::NoCapacity, Outcome::Unreachable, Outcome::NotSent];
        let may_have_run = move |attempt: &&Attempt| match attempt.outcome {
            Some(outcome) => !not_run.contains(&outcome),
            None => true,
        };
        self.attempts.iter().filter(may_have_run)
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    /// The numbers of the attempts in flight.
    pub fn in_flight_attempts(&self) -> Vec<usize> {
        (0..self.attempts.len())
            .filter(|number| self.attempts[*number].outcome.is_none())
            .collect()
    }

    /// An attempt by its number, while it is in flight at that engine. Guards against events that name another
    /// engine than the one it was sent to, of which nothing may be known.
    pub fn attempt_at(&mut self, number: usize, engine: EngineId) -> Option<&mut Attempt> {
        let attempt = self.attempts.get_mut(number);
        attempt.filter(|a| a.outcome.is_none() && a.engine == engine)
    }
}
