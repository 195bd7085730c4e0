//! Concurrency limit: decides whether an engine has capacity for a statement and how much is left.
//!
//! Inputs: an engine's cores and memory, the load of this front and its peers on the engine, and
//! the times of answers. Limits are in threads, memory in megabytes, times in microseconds.
//!
//! Memory runs out before threads do, and a fixed statement count bounds neither memory nor slow
//! engines. The limit starts at this front's share of two threads per core, grows with quick
//! answers and shrinks with late ones.
//!
//! Source: the paper, section 4; changes: `docs/design.md`, "Changed, and when each change acts".

use crate::interface::{Agreement, EngineId, SECOND};
use crate::load::Load;

/// Threads per core that all fronts together may use initially.
const INITIAL_THREADS_PER_CORE: f64 = 2.0;
/// Threads per core that all fronts together may use at most; more than one, as some threads wait
/// for reads.
const MAX_THREADS_PER_CORE: f64 = 3.0;
/// Share of an engine's memory committed at the initial limit; the rest covers estimates that are
/// too low.
const INITIAL_MEMORY_SHARE: f64 = 0.9;
/// Share of the SLO time within which an answer shows that the engine has capacity left.
const QUICK_ANSWER_SLO_SHARE: f64 = 0.35;
/// With pooled limits, threads gained per thread-second of quick answers.
const LIMIT_GROWTH_PER_THREAD_SECOND: f64 = 0.15;
/// Threads lost per thread of a late answer.
const LIMIT_SHRINK_PER_LATE_THREAD: f64 = 0.2;
/// Share of the initial limit that always remains, so that every engine stays in use.
const MIN_LIMIT_SHARE: f64 = 0.06;
/// Threads per core up to which a front may exceed its pool if a fresh report shows idle cores.
const IDLE_THREADS_PER_CORE: f64 = 1.0;
/// Minimum factor that trust puts on a limit.
const MIN_TRUST: f64 = 0.01;

/// The scope of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitScope {
    /// Each engine has a limit of its own.
    #[default]
    PerEngine,
    /// The limits of all engines form one pool and change together. Used if there are so many
    /// fronts that one front's share of an engine's limit is too small for any statement.
    Pooled,
}

impl LimitScope {
    fn of(agreement: &Agreement) -> Self {
        let threads = agreement.workloads.iter().map(|w| w.threads);
        let min_statement_threads = threads.fold(f64::INFINITY, f64::min);
        let min_cores = agreement
            .cores
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min);
        if INITIAL_THREADS_PER_CORE * min_cores / agreement.fronts < min_statement_threads {
            LimitScope::Pooled
        } else {
            LimitScope::PerEngine
        }
    }
}

/// The pool of all open engines: their limits and this front's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pool {
    /// The sum of all limits, in threads.
    pub thread_limit: f64,
    /// Threads that this front uses.
    pub threads: f64,
    /// Memory that corresponds to the limits, in MB.
    pub memory_limit: f64,
    /// Memory that this front uses, in MB.
    pub memory: f64,
}

/// An engine and this front's load on it.
pub struct EngineUse {
    /// The engine.
    pub engine: EngineId,
    /// The engine's cores and memory.
    pub size: Load,
    /// This front's load on the engine.
    pub local_load: Load,
}

/// The inputs of a capacity check for one statement on one engine.
pub struct LimitRequest<'a> {
    /// The engine and this front's load on it.
    pub at: EngineUse,
    /// Whether this front has nothing in flight on the engine.
    pub idle: bool,
    /// The load of peers on the engine.
    pub peer_load: Load,
    /// The trust in the engine, 0 to 1.
    pub trust: f64,
    /// The share of its full capacity that a warming engine has reached, 0 to 1.
    pub capacity_share: f64,
    /// Whether the load of peers comes from a fresh report.
    pub fresh_report: bool,
    /// The load of the statement.
    pub need: Load,
    /// The pool of all engines.
    pub pool: &'a Pool,
}

/// Whether an engine has capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitOutcome {
    /// The statement may be sent. `threads` is the capacity left, which may be less than the
    /// statement needs if the engine is idle.
    Capacity { threads: f64 },
    /// The engine has no capacity for the statement.
    Exhausted,
}

/// An answered attempt, as evidence for adjusting the limit.
pub struct AnsweredAttempt {
    /// The engine that answered.
    pub engine: EngineId,
    /// Threads that the statement used.
    pub threads: f64,
    /// The time from sending to the answer, in microseconds.
    pub took: f64,
    /// The statement's SLO time, in microseconds.
    pub slo: f64,
    /// Threads that this front uses on the engine.
    pub local_threads: f64,
}

/// The concurrency limit of each engine, in threads.
#[derive(Default)]
pub struct ConcurrencyLimits {
    scope: LimitScope,
    fronts: f64,
    /// Threads, by engine.
    limits: Vec<f64>,
}

impl ConcurrencyLimits {
    /// Creates the limits without any engine.
    pub fn new(agreement: &Agreement) -> Self {
        ConcurrencyLimits {
            scope: LimitScope::of(agreement),
            fronts: agreement.fronts,
            limits: Vec::new(),
        }
    }

    /// The scope of the limits.
    pub fn scope(&self) -> LimitScope {
        self.scope
    }

    /// Extends the state to the given number of engines.
    pub fn resize(&mut self, engines: usize) {
        self.limits.resize(engines, 0.0);
    }

    /// Sets the initial limit of an engine that is listed for the first time.
    pub fn init_engine(&mut self, engine: EngineId, cores: f64) {
        self.limits[engine] = INITIAL_THREADS_PER_CORE * cores / self.fronts;
    }

    /// The threads that all fronts together may use on an engine.
    pub fn max_engine_threads(cores: f64) -> f64 {
        MAX_THREADS_PER_CORE * cores
    }

    /// The pool formed by the given engines.
    pub fn pool(&self, open: impl Iterator<Item = EngineUse>) -> Pool {
        let memory_per_thread = INITIAL_MEMORY_SHARE / INITIAL_THREADS_PER_CORE;
        let mut pool = Pool::default();
        for at in open {
            let limit = self.limits[at.engine];
            let memory_share = (limit * memory_per_thread / at.size.threads).min(1.0);
            pool.thread_limit += limit;
            pool.threads += at.local_load.threads;
            pool.memory_limit += at.size.memory * memory_share;
            pool.memory += at.local_load.memory;
        }
        pool
    }

    /// Whether an engine has capacity for a statement. An idle engine has capacity for one
    /// statement, unless peers have used up its threads or memory. If limits are pooled, a front
    /// with nothing in flight may always send one statement.
    pub fn check(&self, request: &LimitRequest) -> LimitOutcome {
        let (size, local_load) = (request.at.size, request.at.local_load);
        let limit =
            self.limits[request.at.engine] * request.trust.max(MIN_TRUST) * request.capacity_share;
        let cores = size.threads * request.capacity_share;
        let max_fleet_threads = MAX_THREADS_PER_CORE * cores;
        let share = match self.scope {
            LimitScope::Pooled => max_fleet_threads * request.trust,
            LimitScope::PerEngine => limit,
        };
        let threads = share.min(max_fleet_threads - request.peer_load.threads) - local_load.threads;
        let memory_limit = size.memory
            * INITIAL_MEMORY_SHARE
            * (limit / (INITIAL_THREADS_PER_CORE * size.threads)).min(1.0);
        let memory = local_load.memory + request.need.memory;
        let memory_full = memory + request.peer_load.memory > size.memory;
        let memory_fits = memory <= memory_limit || self.scope == LimitScope::Pooled;
        let fits = threads >= request.need.threads && memory_fits && !memory_full;
        let idle = match self.scope {
            LimitScope::Pooled => request.pool.threads <= 0.0,
            LimitScope::PerEngine => request.idle && threads > 0.0 && !memory_full,
        };
        if idle
            || fits
                && (self.is_within_pool(request) || Self::has_reported_idle_cores(request, cores))
        {
            LimitOutcome::Capacity { threads }
        } else {
            LimitOutcome::Exhausted
        }
    }

    /// Whether the statement fits into the pool. Applies to pooled limits only; a front with
    /// nothing in flight may always send one statement.
    fn is_within_pool(&self, request: &LimitRequest) -> bool {
        let (pool, need) = (request.pool, request.need);
        let exceeds = pool.threads + need.threads > pool.thread_limit
            || pool.memory + need.memory > pool.memory_limit;
        !(self.scope == LimitScope::Pooled && pool.threads > 0.0 && exceeds)
    }

    /// Whether a fresh report shows enough idle cores for the statement.
    fn has_reported_idle_cores(request: &LimitRequest, cores: f64) -> bool {
        let idle_threads = IDLE_THREADS_PER_CORE * cores
            - request.peer_load.threads
            - request.at.local_load.threads;
        idle_threads >= request.need.threads && request.fresh_report
    }

    /// Adjusts the limit to an answer: a quick answer raises a limit that is in use, a late one
    /// lowers it. `cores` gives the cores of each engine.
    pub fn record_answer(
        &mut self,
        answer: &AnsweredAttempt,
        pool: impl FnOnce(&Self) -> Pool,
        cores: impl Fn(EngineId) -> f64,
    ) {
        let (limit, held) = match self.scope {
            LimitScope::Pooled => {
                let pool = pool(self);
                (pool.thread_limit, pool.threads)
            }
            LimitScope::PerEngine => (self.limits[answer.engine], answer.local_threads),
        };
        let in_use = held + 2.0 * answer.threads >= limit;
        if answer.took <= answer.slo * QUICK_ANSWER_SLO_SHARE && in_use {
            let growth = match self.scope {
                LimitScope::Pooled => LIMIT_GROWTH_PER_THREAD_SECOND,
                LimitScope::PerEngine => 1.0 / limit.max(1.0),
            };
            let seconds = answer.took / SECOND as f64;
            self.adjust(answer.engine, answer.threads * seconds * growth, cores);
        } else if answer.took > answer.slo {
            self.shrink(answer.engine, answer.threads, cores);
        }
    }

    /// Lowers the limit after a statement that used `threads` threads was rejected or not answered
    /// in time.
    pub fn shrink(&mut self, engine: EngineId, threads: f64, cores: impl Fn(EngineId) -> f64) {
        self.adjust(engine, -LIMIT_SHRINK_PER_LATE_THREAD * threads, cores);
    }

    /// Adjusts an engine's limit or, if limits are pooled, all limits by the same factor, as a
    /// front among many gets too few answers from each engine.
    fn adjust(&mut self, engine: EngineId, threads: f64, cores: impl Fn(EngineId) -> f64) {
        let adjusted = match self.scope {
            LimitScope::Pooled => 0..self.limits.len(),
            LimitScope::PerEngine => engine..engine + 1,
        };
        let total: f64 = self.limits[adjusted.clone()].iter().sum();
        for engine in adjusted {
            let cores = cores(engine);
            let min_limit = MIN_LIMIT_SHARE * INITIAL_THREADS_PER_CORE * cores / self.fronts;
            let limit = self.limits[engine] * (1.0 + threads / total.max(0.01)).max(0.5);
            self.limits[engine] = limit.clamp(min_limit, MAX_THREADS_PER_CORE * cores);
        }
    }
}

#[cfg(test)]
#[path = "concurrency_limit_tests.rs"]
mod tests;
