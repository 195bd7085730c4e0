//! A statement's state, kept from its arrival until it is complete and has no attempt in flight.

use crate::interface::{Arrival, EngineEntry, EngineId, Micros, Outcome, ProgressReport, Workload};
use crate::load::Load;

/// Priority that engines assume for a statement until they receive one.
const INITIAL_PRIORITY: u8 = 1;

/// One execution of a statement on an engine.
#[derive(Default)]
pub struct Attempt {
    /// The engine that the attempt was sent to.
    pub engine: EngineId,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// When the last progress report on the attempt arrived, or else when it was sent.
    pub last_seen: Micros,
    /// Whether the attempt reported that it spills for lack of memory.
    pub spilled: bool,
    /// Whether the attempt has been found silent for too long.
    pub silent: bool,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Records a progress report. Returns whether the report is also evidence that the engine is
    /// alive. The send time of an attempt that its front still holds moves to now.
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
    /// The statement as it arrived.
    pub arrival: Arrival,
    /// The index of its service class.
    pub class: usize,
    /// When the client's first attempt arrived at a front, inferred from the remaining wait time.
    pub first_arrival: Micros,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// The load that it counts for on its engine.
    pub load: Load,
    /// The priority last sent to its engine, 0 to 3.
    pub priority: u8,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
    /// Whether it has its final answer.
    pub closed: bool,
}

impl Statement {
    /// Creates a statement without attempts.
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

    /// Whether the statement may be sent to an engine according to its workload and its allowed
    /// locations.
    pub fn allows(&self, workload: &Workload, at: &EngineEntry) -> bool {
        let allowed = self.arrival.allowed_locations.as_ref();
        workload.allows(at) && allowed.is_none_or(|locations| locations.contains(&at.location))
    }

    /// Whether this is the client's first attempt, as far as is known.
    pub fn is_first_client_attempt(&self) -> bool {
        self.first_arrival == self.deadline - self.arrival.time_left
    }

    /// The attempts that may have run: those in flight and those whose outcome does not prove the
    /// opposite.
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

    /// An attempt in flight, by its number and engine. `None` if it has ended or if an event names
    /// an engine other than the one it was sent to, which may be unknown.
    pub fn attempt_at(&mut self, number: usize, engine: EngineId) -> Option<&mut Attempt> {
        let attempt = self.attempts.get_mut(number);
        attempt.filter(|a| a.outcome.is_none() && a.engine == engine)
    }
}
