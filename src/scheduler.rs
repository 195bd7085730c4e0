//! The scheduler combines the policy rules. It processes events, ends statements that can no
//! longer be served, admits arrivals and dispatches held statements. `docs/design.md` separates
//! what follows the paper from extensions.

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

/// Time between sweeps; shorter than any slack in the settings.
const SWEEP_INTERVAL: Micros = 25_000;
/// Time between two calls above which this front counts as stalled.
const STALL_THRESHOLD: Micros = 4 * SWEEP_INTERVAL;

/// The scheduler of one front: its settings, what it knows, and the rules with their state.
#[derive(Default)]
pub struct Scheduler {
    agreement: Agreement,
    random: Random,
    clock: Clock,
    /// Actions to return from the current call, in order.
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
    /// New connections per second to each engine, as last set.
    connection_rate: Option<f64>,
    /// Where the next search in the list of engines starts, 0 to 1.
    placement_start: f64,
}

/// The clock readings passed by the caller.
#[derive(Default)]
struct Clock {
    now: Micros,
    /// The time between the previous call and this one.
    since_last_call: Micros,
    /// The end of this front's last stall.
    running_since: Micros,
    /// When the scheduler was first called.
    started: Option<Micros>,
    next_sweep: Micros,
    sweeps: u32,
}

impl Clock {
    /// Advances the clock and detects a stall. After a stall, events are old, and the silence of
    /// engines during it is not their fault.
    fn advance(&mut self, now: Micros) {
        self.since_last_call = now - self.now;
        self.now = now;
        if self.since_last_call > STALL_THRESHOLD {
            self.running_since = now;
        }
    }

    /// The length of a stall that ended with this call, if any.
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

/// The fleet as known to this front.
#[derive(Default)]
struct Fleet {
    /// Fronts that may send to an engine. Silent fronts count too, and the number is never below
    /// the agreed one.
    known: f64,
    /// Fronts that share the health checks of evacuated zones; infinite if other fronts do all of
    /// them.
    probers: f64,
    /// The demand on this front relative to the mean of all fronts; 0 if no peer's demand is
    /// known.
    relative_demand: f64,
}

impl Scheduler {
    /// Creates the scheduler of a front that starts. The seed determines all random draws and must
    /// differ between fronts.
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

    /// Processes the events since the last call at the time `now` and returns the actions, in
    /// order.
    pub fn decide(&mut self, now: Micros, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        self.clock.advance(now);
        self.start();
        for event in events {
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

    /// Subscribes to the engine list on the first call.
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

    /// Extends all state that is kept per engine to include an engine.
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
