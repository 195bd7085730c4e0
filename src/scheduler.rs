//! The scheduler joins the rules: it observes what happened, ends what can't be served any more, admits what arrived
//! and dispatches what is held. `docs/design.md` says what is the paper's and what is ours.

mod admit;
mod candidates;
mod dispatch;
mod expire;
mod observe;
mod placement;
mod retry;
mod sweep;
mod timing;
mod warm_up;
mod zones;

use std::collections::BTreeMap;

use crate::engine_table::EngineTable;
use crate::interface::{Action, Agreement, EngineId, Event, Micros, StatementId, Workload};
use crate::policy::admission::Admission;
use crate::policy::client_retries::ClientRetries;
use crate::policy::concurrency_limit::ConcurrencyLimits;
use crate::policy::estimates::Estimates;
use crate::policy::health_checks::HealthChecks;
use crate::policy::load_reports::LoadReports;
use crate::policy::order_key::OrderQueues;
use crate::policy::outliers::Outliers;
use crate::policy::peer_evidence::PeerEvidence;
use crate::policy::retry::RetryBudget;
use crate::policy::slow_start::SlowStart;
use crate::random::Random;
use crate::statement::Statement;
use crate::statement_queues::StatementQueues;

/// Time between looks at what is due; finer than any slack agreed.
const SWEEP_INTERVAL: Micros = 25_000;
/// Time between two calls from which this front stood still.
const STALL_THRESHOLD: Micros = 4 * SWEEP_INTERVAL;

/// The decisions of one front: what was agreed, what it knows, and the rules with their state.
#[derive(Default)]
pub struct Scheduler {
    agreement: Agreement,
    random: Random,
    clock: Clock,
    /// What is to be done, in order.
    actions: Vec<Action>,
    engines: EngineTable,
    statements: BTreeMap<StatementId, Statement>,
    queues: StatementQueues,
    fleet: Fleet,
    estimates: Estimates,
    client_retries: ClientRetries,
    admission: Admission,
    order_queues: OrderQueues,
    retry_budget: RetryBudget,
    slow_start: SlowStart,
    outliers: Outliers,
    limits: ConcurrencyLimits,
    load_reports: LoadReports,
    peer_evidence: PeerEvidence,
    health_checks: HealthChecks,
    /// New connections a second to each engine, as last ordered.
    connection_rate: Option<f64>,
    /// Where in the list of engines the next search starts, 0 to 1.
    placement_start: f64,
}

/// The time, as the caller tells it.
#[derive(Default)]
struct Clock {
    now: Micros,
    /// The time since the last call.
    since_last_call: Micros,
    /// Since when this front has not stood still.
    running_since: Micros,
    /// When it was first called.
    started: Option<Micros>,
    next_sweep: Micros,
    sweeps: u32,
}

impl Clock {
    /// Guards against a front that stood still: what it finds is old, and its silence is nobody's fault.
    fn advance(&mut self, now: Micros) {
        self.since_last_call = now - self.now;
        self.now = now;
        if self.since_last_call > STALL_THRESHOLD {
            self.running_since = now;
        }
    }

    /// The time for which this front stood still just now, if it did.
    fn stall_duration(&self) -> Option<Micros> {
        (self.running_since == self.now).then_some(self.since_last_call)
    }

    fn just_started(&self) -> bool {
        self.started == Some(self.now)
    }

    fn sweep_is_due(&self) -> bool {
        self.next_sweep <= self.now
    }
}

/// The fronts of the fleet.
#[derive(Default)]
struct Fleet {
    /// Fronts that may send to an engine: silent ones too, no fewer than agreed.
    known: f64,
    /// Fronts that share the health checks of evacuated zones; infinite where another front does that work.
    probers: f64,
    /// The demand on this front against the mean; 0 where it hears of no others.
    relative_demand: f64,
}

impl Scheduler {
    /// A front at its start. All its random draws follow from the seed, which differs from front to front.
    pub fn new(agreement: Agreement, seed: u64) -> Self {
        let workloads = agreement.workloads.len();
        let mut random = Random::new(seed);
        let placement_start = random.next();
        let first_probe = random.next();
        let limits = ConcurrencyLimits::new(&agreement);
        let load_reports = LoadReports::new(
            agreement.report.clone(),
            limits.scope(),
            agreement.cores.len(),
        );
        Scheduler {
            queues: StatementQueues::new(workloads, agreement.customers.len()),
            fleet: Fleet {
                known: agreement.fronts,
                probers: agreement.fronts,
                relative_demand: 0.0,
            },
            estimates: Estimates::new(workloads),
            client_retries: ClientRetries::new(workloads),
            admission: Admission::new(&agreement),
            retry_budget: RetryBudget::new(&agreement),
            slow_start: SlowStart::new(&agreement, placement_start),
            limits,
            load_reports,
            peer_evidence: PeerEvidence::new(agreement.zone_quorum),
            health_checks: HealthChecks::new(&agreement, placement_start, first_probe),
            placement_start,
            random,
            agreement,
            ..Scheduler::default()
        }
    }

    /// Takes the clock and what has happened since the last call; returns what is to be done, in order.
    pub fn decide(
        &mut self,
        now: Micros,
        happened: impl IntoIterator<Item = Event>,
    ) -> Vec<Action> {
        self.clock.advance(now);
        self.start();
        for event in happened {
            self.observe(event);
        }
        self.expire();
        self.sweep();
        self.dispatch();
        self.update_connection_rate();
        self.retry_budget.prune(now);
        self.schedule_sweep();
        std::mem::take(&mut self.actions)
    }

    /// The first call subscribes to the engine list.
    fn start(&mut self) {
        if self.clock.started.is_none() {
            self.clock.started = Some(self.clock.now);
            self.subscribe();
        }
    }

    fn subscribe(&mut self) {
        if self.agreement.subscribe {
            self.actions.push(Action::Subscribe);
        }
    }

    fn schedule_sweep(&mut self) {
        if self.clock.sweep_is_due() {
            self.clock.next_sweep = self.clock.now + SWEEP_INTERVAL;
            self.actions.push(Action::Wake {
                at: self.clock.next_sweep,
            });
        }
    }

    /// Makes place for an engine in all state that is kept by engine.
    fn ensure_engine(&mut self, engine: EngineId) {
        self.engines.grow_to_include(engine);
        let count = self.engines.open.len();
        self.slow_start.resize(count);
        self.outliers.resize(count);
        self.limits.resize(count);
        self.load_reports.resize(count);
        self.health_checks.resize(count);
    }

    fn workload(&self, statement: &Statement) -> &Workload {
        &self.agreement.workloads[statement.arrival.workload]
    }
}
