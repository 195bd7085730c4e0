//! Slow start: limits the work that a warming engine is sent.
//!
//! Inputs: the engine's cores, the statement's work in microseconds on one thread, and the number
//! of fronts.
//!
//! An engine that has just started fails under the load that it could serve when warm, and fronts
//! that are idle or start together must not all send at once. Outstanding work drains at this
//! front's share of the engine's current capacity.
//!
//! Source: our extension, `docs/design.md`, "Slow start".

use crate::interface::{Agreement, EngineId, Micros};

/// Share of the overload factor that is sent to a warming engine, as estimates may be wrong by
/// half.
const OVERLOAD_FACTOR_SHARE: f64 = 0.4;
/// Number of fronts up to which long statements need no slots, as two excess statements do no
/// harm.
const MAX_FRONTS_WITHOUT_SLOTS: f64 = 2.0;

/// The inputs of the rule for one statement on one engine.
pub struct SlowStartRequest {
    /// The engine.
    pub engine: EngineId,
    /// The engine's cores.
    pub cores: f64,
    /// The statement's work on one thread, in microseconds.
    pub work: f64,
    /// The number of fronts that may send to the engine.
    pub fronts: f64,
    /// The current time.
    pub now: Micros,
}

/// Whether a statement may be sent to an engine that may be warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SlowStartOutcome {
    /// The engine is warm, so the rule sets no limit.
    Warm,
    /// The statement may be sent. `outstanding_work` is the work that then counts as outstanding,
    /// in thread-microseconds.
    Allowed { outstanding_work: f64 },
    /// This front's share of the engine's capacity is used up, or its slot has not begun.
    Denied,
}

/// Whether the work sent to an engine before its warm-up is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierWork {
    /// The work has been counted.
    Known,
    /// This front has just started and does not know what its earlier incarnation sent.
    Unknown,
}

/// The outstanding work of a warming engine and its limit, in thread-microseconds.
struct Budget {
    outstanding: f64,
    limit: f64,
}

#[derive(Clone, Copy, Default)]
struct WarmUp {
    until: Micros,
    /// Outstanding work in thread-microseconds, as of `counted_at`.
    outstanding_work: f64,
    counted_at: Micros,
}

/// The warm-up state of each engine.
#[derive(Default)]
pub struct SlowStart {
    initial_capacity: f64, // share of the full capacity, 0 to 1
    duration: Micros,
    overload_factor: f64,
    overload_window: Micros,
    /// The offset of this front's first slot, as a share of a slot, 0 to 1.
    first_slot: f64,
    engines: Vec<WarmUp>,
}

impl SlowStart {
    /// Creates the state without any engine. `first_slot` is a random draw of the front in [0, 1).
    pub fn new(agreement: &Agreement, first_slot: f64) -> Self {
        SlowStart {
            initial_capacity: agreement.initial_capacity_share,
            duration: agreement.warm_up_time,
            overload_factor: agreement.overload_factor,
            overload_window: agreement.overload_window,
            first_slot,
            engines: Vec::new(),
        }
    }

    /// Extends the state to the given number of engines.
    pub fn resize(&mut self, engines: usize) {
        self.engines.resize(engines, WarmUp::default());
    }

    /// The engine's last known start, derived from the end of its warm-up.
    pub fn started_at(&self, engine: EngineId) -> Micros {
        self.engines[engine].until - self.duration
    }

    /// The share of its full capacity that an engine has reached, 0 to 1.
    pub fn capacity_share(&self, engine: EngineId, now: Micros) -> f64 {
        let left = (self.engines[engine].until - now) as f64 / self.duration.max(1) as f64;
        1.0 - (1.0 - self.initial_capacity) * left.clamp(0.0, 1.0)
    }

    /// Starts the warm-up of an engine that started at `started`, with its outstanding work. If
    /// earlier work is unknown, the maximum that might have been sent counts as outstanding.
    pub fn start(
        &mut self,
        engine: EngineId,
        started: Micros,
        request: &SlowStartRequest,
        earlier_work: EarlierWork,
    ) {
        self.engines[engine].until = started + self.duration;
        let outstanding_work = match earlier_work {
            EarlierWork::Known => self.engines[engine].outstanding_work,
            EarlierWork::Unknown => self.budget(request).limit,
        };
        self.engines[engine].outstanding_work = outstanding_work;
        self.engines[engine].counted_at = request.now;
    }

    /// Whether a statement may be sent now.
    pub fn check(&self, request: &SlowStartRequest) -> SlowStartOutcome {
        if request.now >= self.engines[request.engine].until {
            return SlowStartOutcome::Warm;
        }
        let budget = self.budget(request);
        if request.work > budget.limit {
            return self.check_slot(request, &budget);
        }
        let outstanding_work = budget.outstanding + request.work;
        if outstanding_work <= budget.limit {
            SlowStartOutcome::Allowed { outstanding_work }
        } else {
            SlowStartOutcome::Denied
        }
    }

    /// Records that a statement was sent with the outcome of its check.
    pub fn record_sent(&mut self, engine: EngineId, outcome: SlowStartOutcome, now: Micros) {
        if let SlowStartOutcome::Allowed { outstanding_work } = outcome {
            self.engines[engine].outstanding_work = outstanding_work;
            self.engines[engine].counted_at = now;
        }
    }

    /// Checks a statement whose work exceeds the budget. Such statements are sent in periodic
    /// slots with a random offset per front.
    fn check_slot(&self, request: &SlowStartRequest, budget: &Budget) -> SlowStartOutcome {
        let slots = self.rounds_completed(request) - self.first_slot;
        let elapsed_work = if request.fronts > MAX_FRONTS_WITHOUT_SLOTS {
            slots.rem_euclid(1.0) * request.work
        } else {
            0.0
        };
        if budget.outstanding <= 0.0 && elapsed_work <= budget.limit {
            SlowStartOutcome::Allowed {
                outstanding_work: request.work - elapsed_work,
            }
        } else {
            SlowStartOutcome::Denied
        }
    }

    /// How many statements of this work from every front the engine could have completed since its
    /// start.
    fn rounds_completed(&self, request: &SlowStartRequest) -> f64 {
        let work = request.work * request.fronts;
        let elapsed = (request.now - self.started_at(request.engine)).max(0) as f64;
        let capacity = self.capacity_share(request.engine, request.now);
        request.cores * elapsed * (self.initial_capacity + capacity) / 2.0 / work
    }

    /// The budget is small enough that any overload window contains less work than the overload
    /// factor.
    fn budget(&self, request: &SlowStartRequest) -> Budget {
        let warm_up = self.engines[request.engine];
        let rate =
            self.capacity_share(request.engine, request.now) * request.cores / request.fronts;
        let burst = (self.overload_factor * OVERLOAD_FACTOR_SHARE - 0.5).max(0.1) * rate;
        let completed_work = rate * (request.now - warm_up.counted_at) as f64;
        Budget {
            outstanding: (warm_up.outstanding_work - completed_work).max(0.0),
            limit: burst * self.overload_window as f64,
        }
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
