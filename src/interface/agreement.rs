//! What was agreed with the clients and what the site allows.

use super::{EngineEntry, LoadReport, Micros};

/// What may be done with a statement that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may run again anywhere.
    Idempotent,
    /// It carries a mark by which engines of one group drop its repeats for a while.
    Deduplicated,
    /// It must never run twice.
    NonIdempotent,
}

/// Which engines drop the repeats of a deduplicated statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All engines together.
    All,
    /// The engines of one location.
    Location,
    /// The engines of one cell.
    Cell,
}

/// What was agreed for one workload.
#[derive(Clone, Debug)]
pub struct Workload {
    /// What an answer within the SLO time is worth, against those of other workloads.
    pub importance: f64,
    /// The share of the importance that an answer after the SLO time is still worth, 0 to 1.
    pub late_value_share: f64,
    /// The time within which an answer is timely, from the statement's arrival.
    pub slo_time: Micros,
    /// The SLO time is longer by this times the work divided by the threads.
    pub slo_stretch: f64,
    /// The time that a client waits for a first try.
    pub statement_timeout: Micros,
    /// Whether a statement may be executed again.
    pub effect: Effect,
    /// For deduplicated statements: the engines that drop the repeats of one.
    pub dedup_group: DedupGroup,
    /// For deduplicated statements: the time for which repeats are dropped, from the first execution on.
    pub dedup_window: Micros,
    /// Its statements with the same order key run one at a time, in the order of their arrival.
    pub in_order: bool,
    /// The threads that a statement takes on its engine.
    pub threads: f64,
    /// It holds its data set on its engine while it runs.
    pub holds_data: bool,
    /// It stands still while another holds its data set.
    pub waits_for_data: bool,
    /// The places of the locations that it may run in; None: any.
    pub locations: Option<Vec<usize>>,
    /// The places of the kinds of engine that it may run on; None: any.
    pub kinds: Option<Vec<usize>>,
}

impl Workload {
    /// Whether the engine is of a location and a kind that the workload is agreed to run on.
    pub fn allows(&self, at: &EngineEntry) -> bool {
        let named =
            |list: &Option<Vec<usize>>, place| list.as_ref().is_none_or(|l| l.contains(&place));
        named(&self.locations, at.location) && named(&self.kinds, at.kind)
    }
}

/// Which load figures the engines' reports hold, by their place in the report; None: they do not hold it.
#[derive(Clone, Debug, Default)]
pub struct ReportLayout {
    /// Statements that the engine runs.
    pub active: Option<usize>,
    /// The share of the engine's cores that is busy, 0 to 1: it stands in for `active` where that is missing.
    pub busy: Option<usize>,
    /// Statements that wait for memory there.
    pub waiting: Option<usize>,
    /// The share of the engine's memory that is granted, 0 to 1.
    pub memory_granted: Option<usize>,
}

impl ReportLayout {
    fn read(place: Option<usize>, report: &LoadReport) -> Option<f64> {
        place.and_then(|place| report.get(place)).copied()
    }

    /// The statements that an engine has by its report. Where that is missing, the share of busy cores times
    /// `statements_on_all_cores`, the statements that all its cores come to, and those that wait for memory stand in for it.
    /// None where the report holds neither.
    pub fn active_statements(
        &self,
        report: &LoadReport,
        statements_on_all_cores: f64,
    ) -> Option<f64> {
        let waiting = || Self::read(self.waiting, report).unwrap_or(0.0);
        let busy = || Some(Self::read(self.busy, report)? * statements_on_all_cores + waiting());
        Self::read(self.active, report).or_else(busy)
    }

    /// The share of the memory that is granted, 0 to 1; None where the report does not hold it.
    pub fn granted_memory(&self, report: &LoadReport) -> Option<f64> {
        Self::read(self.memory_granted, report)
    }

    /// Whether reports hold the load of an engine: its statements, or its busy cores.
    pub fn reports_load(&self) -> bool {
        self.active.is_some() || self.busy.is_some()
    }
}

/// The budget of retries, the executions beyond each statement's first, over any window.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    /// Retries that are always allowed.
    pub spare: f64,
    /// Retries allowed on top for each statement admitted within the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: Micros,
}

/// What all fronts together may put on one engine; infinite where there is no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineBudgets {
    /// New connections a second.
    pub connections: f64,
    /// Probes for the engine's load a second.
    pub probes: f64,
}

/// All that a front is handed at the start: what was agreed with the clients and what the site allows.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    /// The workloads; arrivals name them by place.
    pub workloads: Vec<Workload>,
    /// Statements a second inside each customer's share, over all fronts; infinite where none is set.
    pub customers: Vec<f64>,
    /// What a statement beyond its customer's share is worth, against one inside it.
    pub beyond_share_weight: f64,
    /// The number of fronts, 1 or more.
    pub fronts: f64,
    /// The cores of an engine, by its kind; 1 where a kind is missing.
    pub cores: Vec<f64>,
    /// The memory of an engine in MB, by its kind; without limit where a kind is missing.
    pub memory_mb: Vec<f64>,
    /// The share of an engine's memory that one statement is granted at most, 0 to 1.
    pub max_grant_share: f64,
    /// Engines apply the memory grants of [`Action::SetResources`](super::Action::SetResources).
    pub grants: bool,
    /// Engines apply the priorities of [`Action::SetResources`](super::Action::SetResources).
    pub priorities: bool,
    /// The time between two notes of progress of an execution; 0 where engines send none.
    pub progress_interval: Micros,
    /// How load reports are read.
    pub report: ReportLayout,
    /// Load reports come with answers to probes only.
    pub report_on_probe: bool,
    /// Engines may be probed.
    pub probes: bool,
    /// Executions may be cancelled.
    pub cancel: bool,
    /// The engine list comes by subscription, which the module asks for.
    pub subscribe: bool,
    /// Executions that a statement may have, its first included.
    pub max_attempts: usize,
    /// The longest time that a rejection may ask a client to wait; None: rejections name no time.
    pub max_retry_after: Option<Micros>,
    /// The time for which an order key pauses after an execution that may be running on.
    pub order_gap: Micros,
    /// The share of its capacity with which an engine starts, 0 to 1.
    pub initial_capacity_share: f64,
    /// The time from its start after which an engine has its whole capacity.
    pub warm_up_time: Micros,
    /// Times its capacity at the moment: a cold engine that is sent more for the `overload_window` falls over.
    pub overload_factor: f64,
    /// The time over which the overload of a cold engine counts.
    pub overload_window: Micros,
    /// None: retries have no budget.
    pub retry_allowance: Option<RetryAllowance>,
    /// None: each front connects and probes as it needs.
    pub budgets: Option<EngineBudgets>,
    /// Fronts at as many vantages whose credible adverse reports on most of a zone lead every front to
    /// evacuate it; 0: none do.
    pub zone_quorum: usize,
}
