//! Concurrency limit: does an engine have capacity for this statement, and how much is left?
//!
//! Inputs: an engine's cores and memory, what this front and others hold there, how answers came back; limits are
//! threads, memory is megabytes, times are microseconds.
//! Reason: memory runs out before threads do, and a fixed count bounds neither memory nor slow engines. The limit starts
//! at this front's share of two threads a core, grows by quick answers and shrinks by late ones.
//! Source: the paper, section 4; ours: `docs/design.md`, "Changed, and when each change acts".

use crate::interface::{Agreement, EngineId, SECOND};
use crate::load::Load;

/// Threads a core that all fronts may use at the start.
const INITIAL_THREADS_PER_CORE: f64 = 2.0;
/// Threads a core that all fronts may use at most: more than one, as some threads wait for reads.
const MAX_THREADS_PER_CORE: f64 = 3.0;
/// Share of memory promised at the initial limit; the rest covers low estimates.
const INITIAL_MEMORY_SHARE: f64 = 0.9;
/// Share of the SLO time: answers within it say that there is capacity left.
const QUICK_ANSWER_SLO_SHARE: f64 = 0.35;
/// Threads gained, where limits are pooled, for each thread-second answered quickly.
const LIMIT_GROWTH_PER_THREAD_SECOND: f64 = 0.15;
/// Threads lost for each thread of a late answer.
const LIMIT_SHRINK_PER_LATE_THREAD: f64 = 0.2;
/// Share of the initial limit that is always left: no engine is given up.
const MIN_LIMIT_SHARE: f64 = 0.06;
/// Threads a core up to which a fresh report lets a front go beyond its pool.
const IDLE_THREADS_PER_CORE: f64 = 1.0;
/// Least share of a limit that trust leaves.
const MIN_TRUST: f64 = 0.01;

/// What a limit is kept for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitScope {
    /// Each engine has its own.
    #[default]
    PerEngine,
    /// There are so many fronts that a share of one engine's limit holds no statement: the limits of all engines
    /// make one pool, and move alike.
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

/// The pool of all open engines: limits and what this front holds of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pool {
    /// Threads of all limits.
    pub thread_limit: f64,
    /// Threads that this front holds.
    pub threads: f64,
    /// Memory that the limits stand for, in MB.
    pub memory_limit: f64,
    /// Memory that this front holds, in MB.
    pub memory: f64,
}

/// An engine and what this front holds there.
pub struct EngineUse {
    /// The engine.
    pub engine: EngineId,
    /// Its cores and memory.
    pub size: Load,
    /// What this front holds there.
    pub local_load: Load,
}

/// An engine at the moment when a statement might go there.
pub struct LimitRequest<'a> {
    /// The engine and what this front holds there.
    pub at: EngineUse,
    /// This front has nothing in flight there.
    pub idle: bool,
    /// What other fronts hold there.
    pub peer_load: Load,
    /// How far the engine is trusted, 0 to 1.
    pub trust: f64,
    /// The share of its capacity that a warming engine has by now, 0 to 1.
    pub capacity_share: f64,
    /// What others hold is known from a fresh report.
    pub fresh_report: bool,
    /// What the statement needs.
    pub need: Load,
    /// The pool of all engines.
    pub pool: &'a Pool,
}

/// Whether an engine has capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitOutcome {
    /// The statement may go there; the threads that are left, which may be below what it needs where the engine is
    /// idle.
    Capacity { threads: f64 },
    /// There is no capacity.
    Exhausted,
}

/// An answer, as far as it tells whether the limit is right.
pub struct AnsweredAttempt {
    /// The engine that answered.
    pub engine: EngineId,
    /// Threads that the statement held.
    pub threads: f64,
    /// Microseconds that it took.
    pub took: f64,
    /// Microseconds within which an answer is timely.
    pub slo: f64,
    /// Threads that this front holds there.
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
    /// No engine is known yet.
    pub fn new(agreement: &Agreement) -> Self {
        ConcurrencyLimits {
            scope: LimitScope::of(agreement),
            fronts: agreement.fronts,
            limits: Vec::new(),
        }
    }

    /// What limits are kept for.
    pub fn scope(&self) -> LimitScope {
        self.scope
    }

    /// Makes place for so many engines.
    pub fn resize(&mut self, engines: usize) {
        self.limits.resize(engines, 0.0);
    }

    /// An engine is listed for the first time.
    pub fn init_engine(&mut self, engine: EngineId, cores: f64) {
        self.limits[engine] = INITIAL_THREADS_PER_CORE * cores / self.fronts;
    }

    /// The threads that all fronts together may have at an engine.
    pub fn max_engine_threads(cores: f64) -> f64 {
        MAX_THREADS_PER_CORE * cores
    }

    /// The pool of these engines.
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

    /// Whether an engine has capacity for a statement. An idle engine has it for one statement, unless others have used
    /// up its threads or memory; where limits are pooled, a front with nothing in flight may always send one.
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

    /// Where limits are pooled the pool bounds a front's threads and memory; with nothing out it may send one.
    fn is_within_pool(&self, request: &LimitRequest) -> bool {
        let (pool, need) = (request.pool, request.need);
        let exceeds = pool.threads + need.threads > pool.thread_limit
            || pool.memory + need.memory > pool.memory_limit;
        !(self.scope == LimitScope::Pooled && pool.threads > 0.0 && exceeds)
    }

    /// A fresh report says that the engine has idle cores enough.
    fn has_reported_idle_cores(request: &LimitRequest, cores: f64) -> bool {
        let idle_threads = IDLE_THREADS_PER_CORE * cores
            - request.peer_load.threads
            - request.at.local_load.threads;
        idle_threads >= request.need.threads && request.fresh_report
    }

    /// An answer moves the limit: a quick one up while the limit is in use, a late one down. `cores` gives those of
    /// each engine.
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

    /// A statement that held so many threads was refused, or not answered in time.
    pub fn shrink(&mut self, engine: EngineId, threads: f64, cores: impl Fn(EngineId) -> f64) {
        self.adjust(engine, -LIMIT_SHRINK_PER_LATE_THREAD * threads, cores);
    }

    /// Moves an engine's limit, or all alike: a front among many hears too seldom of each to know its own.
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
