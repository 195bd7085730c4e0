//! The settings as agreed with the clients and the site.

use super::{EngineEntry, LoadReport, Micros};

/// Whether a statement that may already have run may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The statement may run again on any engine.
    Idempotent,
    /// The statement carries a dedup key. Engines of one deduplication group drop its repeats for
    /// the length of the deduplication window.
    Deduplicated,
    /// The statement must never run twice.
    NonIdempotent,
}

/// The engines among which repeats of a deduplicated statement are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All engines.
    All,
    /// All engines of one location.
    Location,
    /// All engines of one cell.
    Cell,
}

/// The agreed settings of one workload.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The value of an answer within the SLO time, relative to other workloads.
    pub importance: f64,
    /// The share of the importance that an answer after the SLO time is still worth, 0 to 1.
    pub late_value_share: f64,
    /// The time from a statement's arrival within which an answer is timely.
    pub slo_time: Micros,
    /// The SLO time grows by this factor times the statement's work divided by its threads.
    pub slo_stretch: f64,
    /// The time that a client waits for the answer to its first attempt.
    pub statement_timeout: Micros,
    /// Whether a statement that may have run may be executed again.
    pub effect: Effect,
    /// For deduplicated statements: the engines among which repeats are dropped.
    pub dedup_group: DedupGroup,
    /// For deduplicated statements: the time from the first execution for which repeats are
    /// dropped.
    pub dedup_window: Micros,
    /// Whether statements with the same order key run one at a time, in the order of their
    /// arrival.
    pub in_order: bool,
    /// The threads that a statement uses on its engine.
    pub threads: f64,
    /// Whether a statement locks its data set on its engine while it runs.
    pub holds_data: bool,
    /// Whether a statement waits on its engine while another statement locks its data set.
    pub waits_for_data: bool,
    /// The indices of the locations that statements may run in; `None` allows all.
    pub locations: Option<Vec<usize>>,
    /// The indices of the engine kinds that statements may run on; `None` allows all.
    pub kinds: Option<Vec<usize>>,
}

impl Workload {
    /// Whether the workload may run at the engine's location and on its kind.
    pub fn allows(&self, at: &EngineEntry) -> bool {
        let named =
            |list: &Option<Vec<usize>>, place| list.as_ref().is_none_or(|l| l.contains(&place));
        named(&self.locations, at.location) && named(&self.kinds, at.kind)
    }
}

/// The index of each load figure in the engines' load reports; `None` if reports do not contain
/// it.
#[derive(Clone, Debug, Default)]
pub struct ReportLayout {
    /// The number of statements that the engine runs.
    pub active: Option<usize>,
    /// The share of the engine's cores that is busy, 0 to 1. It is used if `active` is missing.
    pub busy: Option<usize>,
    /// The number of statements that wait for memory on the engine.
    pub waiting: Option<usize>,
    /// The share of the engine's memory that is granted, 0 to 1.
    pub memory_granted: Option<usize>,
}

impl ReportLayout {
    fn read(place: Option<usize>, report: &LoadReport) -> Option<f64> {
        place.and_then(|place| report.get(place)).copied()
    }

    /// The number of statements on an engine according to its report. If the report has no such
    /// count, the estimate is the share of busy cores times `statements_on_all_cores`, the number
    /// of statements that would occupy all cores, plus the statements that wait for memory. `None`
    /// if the report contains neither figure.
    pub fn active_statements(
        &self,
        report: &LoadReport,
        statements_on_all_cores: f64,
    ) -> Option<f64> {
        let waiting = || Self::read(self.waiting, report).unwrap_or(0.0);
        let busy = || Some(Self::read(self.busy, report)? * statements_on_all_cores + waiting());
        Self::read(self.active, report).or_else(busy)
    }

    /// The share of the memory that is granted, 0 to 1; `None` if the report does not contain it.
    pub fn granted_memory(&self, report: &LoadReport) -> Option<f64> {
        Self::read(self.memory_granted, report)
    }

    /// Whether reports contain the load of an engine: its statements or its busy cores.
    pub fn reports_load(&self) -> bool {
        self.active.is_some() || self.busy.is_some()
    }
}

/// The retry budget: a limit on executions beyond each statement's first, over any window.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    /// Retries that are allowed in any window.
    pub spare: f64,
    /// Additional retries for each statement admitted within the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: Micros,
}

/// The rates at which all fronts together may connect to and probe one engine; infinite if there
/// is no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineBudgets {
    /// New connections per second.
    pub connections: f64,
    /// Health checks per second.
    pub probes: f64,
}

/// The settings of a front: what was agreed with the clients and what the site allows.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    /// The workloads. Arrivals refer to them by index.
    pub workloads: Vec<Workload>,
    /// Each customer's share in statements per second over all fronts; infinite if none is set.
    pub customers: Vec<f64>,
    /// The weight of a statement beyond its customer's share, relative to one within it.
    pub beyond_share_weight: f64,
    /// The number of fronts, at least 1.
    pub fronts: f64,
    /// The cores of an engine by kind; 1 for a missing kind.
    pub cores: Vec<f64>,
    /// The memory of an engine by kind, in MB; unlimited for a missing kind.
    pub memory_mb: Vec<f64>,
    /// The largest share of an engine's memory that one statement may be granted, 0 to 1.
    pub max_grant_share: f64,
    /// Whether engines apply the memory grants of
    /// [`Action::SetResources`](super::Action::SetResources).
    pub grants: bool,
    /// Whether engines apply the priorities of
    /// [`Action::SetResources`](super::Action::SetResources).
    pub priorities: bool,
    /// The time between two progress reports of an execution; 0 if engines send none.
    pub progress_interval: Micros,
    /// The layout of load reports.
    pub report: ReportLayout,
    /// Whether load reports arrive with answers to health checks only.
    pub report_on_probe: bool,
    /// Whether engines may be probed.
    pub probes: bool,
    /// Whether executions may be cancelled.
    pub cancel: bool,
    /// Whether the scheduler must subscribe to the engine list.
    pub subscribe: bool,
    /// The maximum number of executions of a statement, including its first.
    pub max_attempts: usize,
    /// The longest time that a rejection may ask a client to wait; `None` if rejections name no
    /// time.
    pub max_retry_after: Option<Micros>,
    /// The time for which an order key pauses after an execution that may still be running.
    pub order_gap: Micros,
    /// The share of its full capacity that an engine has at its start, 0 to 1.
    pub initial_capacity_share: f64,
    /// The time after its start at which an engine reaches its full capacity.
    pub warm_up_time: Micros,
    /// A multiple of the current capacity. A warming engine that is sent more than this over the
    /// `overload_window` fails.
    pub overload_factor: f64,
    /// The time over which the overload of a warming engine is counted.
    pub overload_window: Micros,
    /// The retry budget; `None` if retries are not limited by a budget.
    pub retry_allowance: Option<RetryAllowance>,
    /// The fleet's budgets for each engine; `None` if fronts connect and probe without a limit.
    pub budgets: Option<EngineBudgets>,
    /// The number of credible fronts, each at its own vantage, whose adverse reports on most of a
    /// zone make every front evacuate it; 0 turns evacuation off.
    pub zone_quorum: usize,
}
