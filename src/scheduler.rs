//! Every decision of a front: see [`Scheduler`]. docs/design.md says what is the paper's and what is ours.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::learned::MIN_SAMPLE_WEIGHT;
use crate::policy::concurrency_limit::{AnsweredAttempt, ConcurrencyLimits, LimitScope};
use crate::policy::load_reports::{LoadReports, ReportedEngine};
use crate::policy::order_key::OrderQueues;
use crate::policy::outliers::{Charge, Outliers};
use crate::policy::retry::RetryBudget;
use crate::policy::slow_start::SlowStart;
use crate::state::*;

mod candidates;
mod observations;
mod peer_evidence;
mod penalty;
mod placement;
mod shedding;

pub use penalty::penalty;

const CONFORMANCE_LEVELS: [f64; 4] = [1.0, 0.9, 0.8, 0.0]; // conformance that opens each level; the design page's
const CONFORMANCE_HALF_LIFE: Micros = 10 * SECOND; // until a count of conformance has halved; the design page's value
const PRIOR_TIMELY_STATEMENTS: f64 = 0.05; // statements, counted as timely on top, so that an unseen class has conformance 1
const ESTIMATE_PRIOR_SAMPLES: f64 = 4.0; // samples that an estimate's good faith counts for until answers tell its bias
const INITIAL_CREDIBILITY: f64 = 0.5; // credit from which further executions go to an engine, and which a new one has
const MAX_SILENT_RUNS: f64 = 4.0; // usual run times, and a second, that one may be silent for without notes
const MAX_SILENT_PROGRESS_GAPS: f64 = 1.5; // gaps between notes of progress, where agreed, that one may be silent for
const BAD_PLAN_RUN_FACTOR: f64 = 6.0; // times the expected run time that an execution must head for to be cancelled
const MIN_LATE_SHARE_TO_RUN: f64 = 0.25; // late share under which a statement that must be late is shed at once
const SWEEP_INTERVAL: Micros = 25_000; // microseconds between looks at what is due; finer than any slack agreed
const REJECT_BEFORE_DEADLINE: Micros = 40_000; // microseconds before the client's time is up when a held statement ends
const SWEEPS_PER_ENGINE_CHECK: u32 = 4; // sweeps between looks at silent engines, which walk all executions out
const MIN_PROBE_INTERVAL: Micros = SECOND / 2; // least time between probes of an engine, where only they bring reports
const PROBES_PER_STATEMENT: f64 = 1.0; // probes that each statement taken pays for
const MAX_SAVED_PROBES: f64 = 8.0; // probes that may be saved up
const MAX_CANDIDATES_PER_CLASS: usize = 8; // statements tried of a class, the overdue or the late: the next mostly need as much
const MEMORY_BIAS_DECAY_PER_ANSWER: f64 = 0.99; // factor on the memory need learned when one had enough: answers tell no cost
const TIMELY_RUN_FACTOR: f64 = 2.0; // times the usual run that a start still counts as timely for: half run longer
const MEMORY_GRANT_FACTOR: f64 = 1.25; // memory granted against the need expected: a quarter over, as engines do
const RETRY_AFTER_SECONDS: f64 = 0.3; // seconds after which a rejected client may try again, spread by half
const SHED_RETRY_DECAY_PER_ARRIVAL: f64 = 0.99; // share of those shed that may still come back, at each arrival
const FIRST_TRY_TOLERANCE: Micros = 20_000; // microseconds less time than a first try has that mark a later one
const STALL_THRESHOLD: Micros = 4 * SWEEP_INTERVAL; // between two calls; a front that waits so long was stopped
const CREDIBILITY_PER_TRUE_REPORT: f64 = 0.1; // gained for each report that proves true
const PEER_REPORT_LIFETIME: Micros = 8 * SECOND; // age at which a peer report on an engine is worth nothing
const MAX_SUSPICION: f64 = 0.5; // most that peer reports take of a bound, however many; one takes half of it
const CREDIBILITY_FACTOR_FALSE_REPORT: f64 = 0.8; // factor on the credibility of a front whose adverse report proves false
const MIN_ADVERSE_SEVERITY: f64 = 0.3; // share of failures or silence from which a peer report counts as adverse
const MAX_FLEET_LATE_SHARE: f64 = 0.15; // share of what the fleet admitted that was late, beyond which it admits less
const ADMITTED_PER_ANSWERED: f64 = 1.25; // times what engines answer that the fleet admits: less would leave them idle
const MIN_ADMITTED_SHARE: f64 = 0.05; // share of what is asked that is admitted in any case: else no way back
const FLEET_PROBES_PER_SECOND: f64 = 4.0; // a second into evacuated zones, of all fronts together

#[derive(Default)]
/// One front: what it was agreed, what it knows, and its decisions.
pub struct Scheduler {
    agreed: Agreement,
    random: Random,
    now: Micros,
    running_since: Micros, // without standing still
    started: Option<Micros>,
    next_wake: Micros,
    sweeps: u32,
    actions: Vec<Action>,
    engines: Engines,
    classes: Vec<ServiceClass>,
    learned: Vec<Learned>,
    statements: BTreeMap<StatementId, Statement>,
    due: BTreeSet<(Micros, StatementId)>, // when a statement's standing changes by time alone
    overdue: BTreeSet<StatementId>,
    late: BTreeSet<StatementId>,
    order_queues: OrderQueues,
    customer_shares: Vec<Bucket>,
    retry_budget: RetryBudget,
    slow_start: SlowStart,
    outliers: Outliers,
    limits: ConcurrencyLimits,
    load_reports: LoadReports,
    load: Load,                // what a statement usually holds while it runs
    probe_allowance: f64,      // probes that statements have paid for
    next_probed: usize,        // engine that is probed next
    peer_reports: PeerReports, // with the credibility of their reporters
    known: f64, // fronts that may share a returning zone: silent ones too, no fewer than agreed
    up: f64,    // of them those that are heard of, this one too
    admitted: Vec<f64>, // admitted share of each workload, inside and beyond customers' shares; none: all
    beyond: Vec<f64>, // share of what each customer asks the fleet that is beyond its own; none: not known
    demand: f64,      // on this front, against the mean; 0 where it hears of no others
    probe_tokens: Bucket, // of the fleet's budget
    last_pace: Option<f64>, // new connections a second to each engine, as last ordered
    placement_start: f64, // where in the list of engines the next choice looks first
}

impl Scheduler {
    /// A front at its start. All its random draws follow from the seed, which differs from front to front.
    pub fn new(agreed: Agreement, seed: u64) -> Self {
        let customers = agreed.customers.len().max(1);
        let classes = agreed.workloads.len() * customers * 2;
        let guess = Mean {
            value: 1.0,
            samples: ESTIMATE_PRIOR_SAMPLES,
        };
        let fresh = Learned {
            memory_bias: guess,
            ..Learned::default()
        };
        let mut random = Random::new(seed);
        let placement_start = random.next();
        let limits = ConcurrencyLimits::new(&agreed);
        let scope = limits.scope();
        Scheduler {
            placement_start,
            retry_budget: RetryBudget::new(&agreed),
            slow_start: SlowStart::new(&agreed, placement_start),
            probe_tokens: Bucket {
                left: placement_start,
                at: 0,
            }, // fronts started together probe apart
            next_probed: (random.next() * 256.0) as usize,
            load_reports: LoadReports::new(agreed.report.clone(), scope, agreed.cores.len()),
            limits,
            load: Load {
                threads: 1.0,
                memory: 0.0,
            },
            known: agreed.fronts,
            up: agreed.fronts,
            classes: (0..classes).map(|_| ServiceClass::default()).collect(),
            learned: vec![fresh; agreed.workloads.len()],
            customer_shares: vec![
                Bucket {
                    left: f64::INFINITY,
                    at: 0
                };
                agreed.customers.len()
            ],
            random,
            agreed,
            ..Scheduler::default()
        }
    }

    /// Takes the clock and what has happened since the last call; returns what is to be done, in order.
    pub fn decide(
        &mut self,
        now: Micros,
        happened: impl IntoIterator<Item = Event>,
    ) -> Vec<Action> {
        // Guards against a front that stood still: what it finds is old, and its silence is nobody's fault.
        let gap = now - std::mem::replace(&mut self.now, now);
        self.running_since = if gap > STALL_THRESHOLD {
            now
        } else {
            self.running_since
        };
        if self.started.is_none() && self.agreed.subscribe {
            self.actions.push(Action::Subscribe);
        }
        self.started.get_or_insert(now);
        for event in happened {
            match event {
                Event::Engines { whole, entries } => self.engines_listed(whole, entries),
                Event::ListFailed if self.agreed.subscribe => self.actions.push(Action::Subscribe),
                Event::ListFailed | Event::Woken => {}
                Event::Arrived(arrival) => self.arrived(arrival, gap),
                Event::Ended(ended) => self.ended(ended),
                Event::Noted {
                    statement: s,
                    execution: n,
                    engine: e,
                    note,
                } => self.noted(s, n, e, note),
                Event::ClientLeft(id) => self.close(id, false),
                Event::OrderKeyFreed { key, pauses } => self.order_key_freed(key, pauses),
                Event::PeerReport(report) => self.peer_reported(report),
                Event::FleetDemand(fleet) => self.set_admission(&fleet),
                Event::SendCapacity {
                    engine,
                    executions: n,
                } => self.engines.set_send_capacity(engine, n),
                Event::Fleet { known, up } => {
                    (self.known, self.up) = (known.max(self.agreed.fronts), up)
                }
                Event::Probed {
                    engine,
                    alive,
                    report,
                } => {
                    self.ensure_engine(engine);
                    self.found_healthy(engine, alive);
                    if !alive {
                        self.outliers.health_check_failed(engine);
                    }
                    report.iter().for_each(|r| self.load_reported(engine, r));
                }
            }
        }
        self.sweep();
        self.release();
        let pace = self
            .agreed
            .budgets
            .map(|b| share_of(b.connections, self.demand, self.known));
        if self.last_pace != pace {
            self.last_pace = pace;
            self.actions
                .extend(pace.map(|connections| Action::Pace { connections }));
        }
        self.retry_budget.forget_old(now);
        if self.next_wake <= now {
            self.next_wake = now + SWEEP_INTERVAL;
            self.actions.push(Action::Wake { at: self.next_wake });
        }
        std::mem::take(&mut self.actions)
    }

    fn engines_listed(&mut self, whole: bool, entries: Vec<EngineEntry>) {
        if whole {
            self.engines.open.fill(false);
        }
        for entry in entries {
            let e = entry.engine;
            self.ensure_engine(e);
            let known = self.engines.listed[e].as_ref();
            let restarted = known.is_none_or(|k| k.started != entry.started);
            if known.is_none() {
                self.engines.size[e] = size_of(&self.agreed, entry.kind);
                self.limits.listed(e, self.engines.size[e].threads);
            }
            if let Some(start) = entry.started.filter(|_| restarted) {
                self.outliers.reset(e);
                self.load_reports.reset(e);
                self.peer_reports.forget(e); // of an earlier start
                self.found_healthy(e, true);
                self.start_warm_up(e, start);
            }
            self.engines.open[e] = entry.mode == Mode::Ready;
            self.engines.listed[e] = Some(entry);
        }
        // What is pinned to an engine that takes nothing new any more is to end now.
        let to_end = self
            .statements
            .iter()
            .filter(|(_, s)| self.pinned_engine_closed(s));
        self.due
            .extend(to_end.map(|(id, _)| (self.now, *id)).collect::<Vec<_>>());
    }

    fn arrived(&mut self, mut a: Arrival, gap: Micros) {
        let customers = self.agreed.customers.len().max(1);
        let class = (a.workload * customers + a.customer.min(customers - 1)) * 2;
        let rate = self
            .agreed
            .customers
            .get(a.customer)
            .map_or(f64::INFINITY, |r| r / self.agreed.fronts);
        let bucket = self.customer_shares.get_mut(a.customer);
        let alone = bucket.is_some_and(|bucket| !bucket.take(rate, self.now));
        // Where the fleet's figures are known they say how much is beyond, whichever fronts a customer asks.
        let over = self
            .beyond
            .get(a.customer)
            .map_or(alone, |beyond| self.random.next() < *beyond);
        let class = class + usize::from(over);
        let workload = &self.agreed.workloads[a.workload];
        let learned = &mut self.learned[a.workload];
        learned
            .beyond
            .take(MIN_SAMPLE_WEIGHT, f64::from(u8::from(over)));
        learned.first_try = learned.first_try.max(a.time_left);
        // What a front that stood still finds has waited; what first tries have left tells how long.
        let missing = learned.first_try - a.time_left;
        let later = missing > FIRST_TRY_TOLERANCE && learned.shed >= 1.0;
        learned.shed = learned.shed * SHED_RETRY_DECAY_PER_ARRIVAL - f64::from(u8::from(later));
        let past = if later {
            (workload.statement_timeout - a.time_left).max(0)
        } else {
            0
        };
        let spent = if self.running_since == self.now && missing <= gap {
            missing
        } else {
            past
        };
        learned.work.take_known(MIN_SAMPLE_WEIGHT, a.work);
        let memory = a.memory_mb * learned.memory_bias.value;
        let least_mb = self
            .agreed
            .memory_mb
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min);
        let memory = memory.min(least_mb * self.agreed.largest_grant);
        self.probe_allowance = (self.probe_allowance + PROBES_PER_STATEMENT).min(MAX_SAVED_PROBES);
        a.key = a.key.filter(|_| workload.in_order);
        self.order_queues.enqueue(a.key, a.statement);
        let (id, ends) = (a.statement, self.now + a.time_left);
        let load = Load {
            threads: workload.threads,
            memory,
        };
        let admitted = self.admits(&a, over);
        if admitted {
            self.retry_budget.admitted(self.now);
        }
        self.statements
            .insert(id, Statement::new(a, class, self.now - spent, ends, load));
        self.enqueue(id);
        if !admitted {
            self.shed(id, RejectReason::OverFleetQuota);
        }
    }

    fn enqueue(&mut self, id: StatementId) {
        let Some(s) = self
            .statements
            .get(&id)
            .filter(|s| !s.over && !s.is_in_flight())
        else {
            return;
        };
        let (class, timely, latest) = (s.class, self.last_timely_start(s), self.latest_start(s));
        let paused_until = self.order_queues.paused_until(s.asked.key);
        let is_first = self.is_first_in_order(id, s);
        // Once it is to be shed it is due now; till then when its standing changes next.
        let ends = if self.shed_reason(s).is_some() {
            self.now
        } else {
            s.deadline - REJECT_BEFORE_DEADLINE
        };
        let forgotten = s
            .executions
            .first()
            .map_or(0, |x| x.sent_at + self.workload(s).dedup_window);
        let next = [timely, latest, paused_until, forgotten]
            .into_iter()
            .filter(|t| *t > self.now)
            .min();
        self.due.insert((next.map_or(ends, |t| t.min(ends)), id));
        self.dequeue(id);
        if !is_first {
        } else if self.now >= latest {
            self.overdue.insert(id);
        } else if self.now >= timely {
            self.late.insert(id);
        } else {
            self.classes[class].ready.insert(id);
        }
    }

    fn dequeue(&mut self, id: StatementId) {
        if let Some(s) = self.statements.get(&id) {
            self.classes[s.class].ready.remove(&id);
        }
        self.late.remove(&id);
        self.overdue.remove(&id);
    }

    fn sweep(&mut self) {
        while let Some(&(at, id)) = self.due.first().filter(|(at, _)| *at <= self.now) {
            self.due.remove(&(at, id));
            let Some(s) = self.statements.get(&id).filter(|s| !s.over) else {
                continue;
            };
            if s.is_in_flight() {
                self.prioritise(id);
            } else if let Some(reason) = self.expiry_reason(s) {
                self.shed(id, reason);
            } else {
                self.enqueue(id);
            }
        }
        if self.next_wake <= self.now {
            self.sweeps += 1;
            self.probe();
            if self.sweeps.is_multiple_of(SWEEPS_PER_ENGINE_CHECK) {
                let engines = &self.engines;
                self.load_reports
                    .decay(|e| (engines.kind(e), engines.size[e].threads));
                (0..self.engines.open.len()).for_each(|e| self.check_silence(e));
            }
        }
    }

    /// Makes place for an engine in all state that is kept by engine.
    fn ensure_engine(&mut self, engine: EngineId) {
        self.engines.ensure(engine);
        let count = self.engines.open.len();
        self.slow_start.resize(count);
        self.outliers.resize(count);
        self.limits.resize(count);
        self.load_reports.resize(count);
    }

    fn workload(&self, s: &Statement) -> &Workload {
        &self.agreed.workloads[s.asked.workload]
    }

    fn slo_time(&self, s: &Statement) -> Micros {
        let (workload, work) = (self.workload(s), self.expected_work(s));
        workload.slo_time + (workload.slo_stretch * work / workload.threads) as Micros
    }

    fn expected_work(&self, s: &Statement) -> f64 {
        let learned = &self.learned[s.asked.workload];
        positive_or(s.asked.work, learned.work.value)
    }

    fn estimated_run(&self, s: &Statement) -> f64 {
        positive_or(s.asked.work / self.workload(s).threads, SECOND as f64)
    }

    fn last_timely_start(&self, s: &Statement) -> Micros {
        let slo = self.slo_time(s);
        let run =
            self.learned[s.asked.workload].pace.value * self.estimated_run(s) * TIMELY_RUN_FACTOR;
        // While few of its class run, half the time may be waited: else a jam's run times shut it out.
        let few = self.classes[s.class].in_flight.len()
            < self.engines.open.iter().filter(|o| **o).count();
        s.first_arrival + slo
            - if few {
                (run as Micros).min(slo / 2)
            } else {
                run as Micros
            }
    }

    fn latest_start(&self, s: &Statement) -> Micros {
        s.deadline - (self.learned[s.asked.workload].pace.value * self.estimated_run(s)) as Micros
    }

    fn order_key_freed(&mut self, key: KeyId, pauses: bool) {
        self.order_queues.resolve(
            Some(key),
            true,
            pauses.then_some(self.now + self.agreed.order_gap),
        );
        self.enqueue_first_in_order(Some(key));
    }

    fn enqueue_first_in_order(&mut self, key: Option<KeyId>) {
        self.order_queues
            .first(key, self.now)
            .into_iter()
            .for_each(|next| self.enqueue(next));
    }

    fn forget(&mut self, id: StatementId) {
        if self
            .statements
            .get(&id)
            .is_some_and(|s| s.over && !s.is_in_flight())
        {
            self.statements.remove(&id);
        }
    }
}
