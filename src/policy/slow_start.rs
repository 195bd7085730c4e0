//! Slow start: how much work may a warming engine be sent now?
//!
//! Inputs: the engine's cores, the statement's work in microseconds on one thread, the number of fronts.
//! Reason: an engine that has just started falls over when it is sent what it could do warm, and fronts that are idle
//! or start together must not all send at once. Work drains at this front's share of what the engine can do by now.
//! Source: our extension, `docs/design.md`, "Slow start".

use crate::interface::{Agreement, EngineId, Micros};

/// Share of the overload factor that is sent to a warming engine: estimates may be half off.
const OVERLOAD_FACTOR_SHARE: f64 = 0.4;
/// Fronts up to which long statements need no slots: two statements too many do no harm.
const MAX_FRONTS_WITHOUT_SLOTS: f64 = 2.0;

/// What is to be sent to an engine.
pub struct SlowStartRequest {
    /// The engine.
    pub engine: EngineId,
    /// Its cores.
    pub cores: f64,
    /// The statement's work on one thread, in microseconds.
    pub work: f64,
    /// Fronts that may send to the engine.
    pub fronts: f64,
    /// The time now.
    pub now: Micros,
}

/// Whether a statement may be sent to an engine that may be warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SlowStartOutcome {
    /// The engine is warm: anything may be sent.
    Warm,
    /// It may be sent; the work that then counts as sent and not yet done, in thread-microseconds.
    Allowed { outstanding_work: f64 },
    /// This front's share of what the engine can do is used up, or its slot has not come.
    Denied,
}

/// What is known of the work that was sent to an engine before its warm-up is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierWork {
    /// It is counted.
    Known,
    /// This front has just started and doesn't know what its earlier incarnation sent.
    Unknown,
}

/// What a warming engine has been sent and what it may have outstanding, in thread-microseconds.
struct Budget {
    outstanding: f64,
    limit: f64,
}

#[derive(Clone, Copy, Default)]
struct WarmUp {
    until: Micros,
    /// Work sent and not yet done, in thread-microseconds, and when that was so.
    outstanding_work: f64,
    counted_at: Micros,
}

/// The warm-up of each engine.
#[derive(Default)]
pub struct SlowStart {
    initial_capacity: f64, // share of the warm engine's capacity, 0 to 1
    duration: Micros,
    overload_factor: f64,
    overload_window: Micros,
    /// Share of a slot that passes before the first one of this front, 0 to 1.
    first_slot: f64,
    engines: Vec<WarmUp>,
}

impl SlowStart {
    /// No engine is known yet; `first_slot` is drawn by each front, from 0 up to 1.
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

    /// Makes place for so many engines.
    pub fn resize(&mut self, engines: usize) {
        self.engines.resize(engines, WarmUp::default());
    }

    /// When the engine's last known start was, as far as its warm-up tells.
    pub fn started_at(&self, engine: EngineId) -> Micros {
        self.engines[engine].until - self.duration
    }

    /// The share of its warm capacity that an engine has by now, 0 to 1.
    pub fn capacity_share(&self, engine: EngineId, now: Micros) -> f64 {
        let left = (self.engines[engine].until - now) as f64 / self.duration.max(1) as f64;
        1.0 - (1.0 - self.initial_capacity) * left.clamp(0.0, 1.0)
    }

    /// An engine warms up from its start on, with what it may still have outstanding. Work that is not known counts as
    /// all that might have been sent.
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

    /// Counts what was allowed and is sent now.
    pub fn record_sent(&mut self, engine: EngineId, outcome: SlowStartOutcome, now: Micros) {
        if let SlowStartOutcome::Allowed { outstanding_work } = outcome {
            self.engines[engine].outstanding_work = outstanding_work;
            self.engines[engine].counted_at = now;
        }
    }

    /// A statement longer than the budget goes in slots that begin at random.
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

    /// How often the engine could have done such work of every front since its start.
    fn rounds_completed(&self, request: &SlowStartRequest) -> f64 {
        let work = request.work * request.fronts;
        let elapsed = (request.now - self.started_at(request.engine)).max(0) as f64;
        let capacity = self.capacity_share(request.engine, request.now);
        request.cores * elapsed * (self.initial_capacity + capacity) / 2.0 / work
    }

    /// Any window holds less than the overload factor.
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
