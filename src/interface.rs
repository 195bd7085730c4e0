//! What goes into the decision module and what comes out of it.
//!
//! Times are whole microseconds on the caller's clock. Engines, order keys and statements are small indices
//! that the caller hands out in the order in which it first meets them; statements therefore count upwards.

pub type Micros = i64;
pub type EngineId = usize;
pub type KeyId = u32;
pub type StatementId = u32;

/// What may be done with a statement that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// Which engines drop the repeats of a deduplicated statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    All,
    Location,
    Cell,
}

/// What was agreed for one workload.
#[derive(Clone, Debug)]
pub struct Workload {
    pub importance: f64,
    pub late_share: f64,
    pub slo_time: Micros,
    /// The SLO time is longer by this times the work divided by the threads.
    pub slo_stretch: f64,
    pub statement_timeout: Micros,
    pub effect: Effect,
    pub dedup_group: DedupGroup,
    pub dedup_window: Micros,
    pub in_order: bool,
    pub threads: f64,
    /// It holds its data set on its engine while it runs.
    pub holds_data: bool,
    /// It stands still while another holds its data set.
    pub waits_for_data: bool,
    pub locations: Option<Vec<usize>>,
    pub kinds: Option<Vec<usize>>,
}

impl Workload {
    /// Whether the engine is of a location and a kind that the workload is agreed to run on.
    pub fn allows(&self, at: &EngineEntry) -> bool {
        let named = |list: &Option<Vec<usize>>, place| list.as_ref().is_none_or(|l| l.contains(&place));
        named(&self.locations, at.location) && named(&self.kinds, at.kind)
    }
}

/// Which load figures the engines' reports hold, by their place in the report.
#[derive(Clone, Debug, Default)]
pub struct ReportLayout {
    pub active: Option<usize>,
    /// The share of the engine's cores that is busy: where `active` is not told, it stands in for it.
    pub busy: Option<usize>,
    /// Statements that wait for memory there.
    pub waiting: Option<usize>,
    pub memory_granted: Option<usize>,
}

impl ReportLayout {
    fn read(place: Option<usize>, report: &Report) -> Option<f64> {
        place.and_then(|place| report.get(place)).copied()
    }

    /// Statements in hand; where they are not told, busy cores (each so many statements) and those that wait
    /// for memory stand in for them.
    pub fn active_statements(&self, report: &Report, of_busy: f64) -> Option<f64> {
        let waiting = || Self::read(self.waiting, report).unwrap_or(0.0);
        let busy = || Some(Self::read(self.busy, report)? * of_busy + waiting());
        Self::read(self.active, report).or_else(busy)
    }

    /// The share of the memory that is granted.
    pub fn granted_memory(&self, report: &Report) -> Option<f64> {
        Self::read(self.memory_granted, report)
    }

    /// Whether reports tell what an engine holds: statements in hand, or its busy cores.
    pub fn names_load(&self) -> bool {
        self.active.is_some() || self.busy.is_some()
    }
}

/// The budget of further executions, over any window.
#[derive(Clone, Copy, Debug)]
pub struct FurtherBudget {
    pub spare: f64,
    pub ratio: f64,
    pub window: Micros,
}

/// What all fronts together may put on one engine a second: connections, and probes for its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineBudgets {
    pub connections: f64,
    pub probes: f64,
}

/// All that a front is handed at start: what was agreed with the clients and what the site allows.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    pub workloads: Vec<Workload>,
    /// Statements a second inside each customer's share, over all fronts; infinite where none is set.
    pub customers: Vec<f64>,
    /// What a statement beyond its customer's share is worth, against one inside it.
    pub over_share: f64,
    pub fronts: f64,
    pub cores: Vec<f64>,
    pub memory_mb: Vec<f64>,
    pub largest_grant: f64,
    pub grants: bool,
    pub priorities: bool,
    pub progress_every: Micros,
    pub report: ReportLayout,
    pub report_on_probe: bool,
    pub probes: bool,
    pub cancel: bool,
    pub subscribe: bool,
    pub most_executions: usize,
    pub longest_retry_after: Option<Micros>,
    pub order_gap: Micros,
    pub cold_from: f64,
    pub warm_within: Micros,
    pub overload_factor: f64,
    pub fall_window: Micros,
    pub further: Option<FurtherBudget>,
    /// None: each front connects and probes as it needs.
    pub budgets: Option<EngineBudgets>,
    /// Believed fronts of as many vantages whose ill word of most of a zone leads every front out of it; 0: never.
    pub zone_quorum: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Ready,
    Draining,
    Gone,
}

/// One line of the engine list.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    pub engine: EngineId,
    pub location: usize,
    pub kind: usize,
    pub cell: usize,
    pub mode: Mode,
    /// The latest start, where it is recent enough to be told.
    pub started: Option<Micros>,
    /// The protocols that it takes statements in, a bit for each.
    pub protocols: u8,
    /// It sends notes of progress, where they are agreed.
    pub sends_progress: bool,
}

impl EngineEntry {
    /// Whether both engines are in one group that drops the repeats of a statement.
    pub fn drops_repeats_of(&self, other: &EngineEntry, group: DedupGroup) -> bool {
        match group {
            DedupGroup::All => true,
            DedupGroup::Location => self.location == other.location,
            DedupGroup::Cell => self.cell == other.cell,
        }
    }
}

/// A load report: the figures in the order the agreement names.
pub type Report = Vec<f64>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Error,
    NoCapacity,
    TimedOut,
    Unreachable,
    Reset,
    Cancelled,
    NotSent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    ShareDone(f64),
    SpillsMb(f64),
    WaitsForMemory,
    WaitsForData,
    /// Its engine has answered something else meanwhile.
    Alive,
    /// It has not left its front yet, which says nothing of its engine.
    NotSentYet,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub statement: StatementId,
    pub workload: usize,
    pub customer: usize,
    pub key: Option<KeyId>,
    pub time_left: Micros,
    /// Estimates, 0 where the site gives none: work in microseconds on one thread, memory in MB.
    pub work: f64,
    pub memory_mb: f64,
    pub data_set: Option<u32>,
    /// The protocols that it can be sent in, a bit for each.
    pub protocols: u8,
    /// The engine that holds the open transaction it belongs to: it goes there or nowhere, and once.
    pub pinned: Option<EngineId>,
    /// The locations it may be sent to, by their place; None: all that its workload allows.
    pub allowed: Option<Vec<usize>>,
}

#[derive(Clone, Debug)]
pub struct Ended {
    pub statement: StatementId,
    pub execution: usize,
    pub engine: EngineId,
    pub outcome: Outcome,
    pub took: Micros,
    /// The statement has its final answer, through this outcome or before it.
    pub settled: bool,
    /// Its transaction goes on and keeps the turn of its order key until `Event::OrderKeyFreed`.
    pub keeps_order_key: bool,
    pub report: Option<Report>,
}

/// What another front reports of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerReport {
    pub reporter: usize,
    pub engine: EngineId,
    /// Executions there that failed and that were answered, of some seconds.
    pub failed: f64,
    pub answered: f64,
    pub silent: Micros,
    pub age: Micros,
}

impl PeerReport {
    /// Whether it reports that the engine answers, with no silence.
    pub fn answers(&self) -> bool {
        self.answered >= 1.0 && self.silent == 0
    }
}

/// What the fronts that tell of it were asked of a workload lately, in statements; the same figures at every front.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    pub asked: f64,
    /// Of those let in: with their final answer, and of these in time.
    pub ended: f64,
    pub timely: f64,
    /// What one takes on one thread, in microseconds.
    pub work: f64,
}

/// What the fleet was asked lately, as those of its fronts that tell of it say.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    /// The share of what was let in that was not in time.
    pub late_share: f64,
    /// What this front was asked, against the mean of those that tell; 0 where it hears of none.
    pub relative: f64,
    /// By workload.
    pub workloads: Vec<Demand>,
    /// Statements a second over all fronts, by customer; none where no shares are agreed.
    pub customers_per_s: Vec<f64>,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// The engine list: whole, or only what changed.
    Engines {
        whole: bool,
        entries: Vec<EngineEntry>,
    },
    /// A subscription to the engine list failed or broke.
    ListFailed,
    Arrived(Arrival),
    Ended(Ended),
    Noted {
        statement: StatementId,
        execution: usize,
        engine: EngineId,
        note: Note,
    },
    /// The client left; the statement is over.
    ClientLeft(StatementId),
    /// A transaction that kept the turn of an order key is over; the key rests where it may still run.
    OrderKeyFreed {
        key: KeyId,
        pauses: bool,
    },
    Probed {
        engine: EngineId,
        alive: bool,
        report: Option<Report>,
    },
    PeerReport(PeerReport),
    /// Fronts that this one knows of, itself too: those that have not said good-bye, and of them those heard of.
    Fleet {
        known: f64,
        up: f64,
    },
    FleetDemand(FleetDemand),
    /// Executions that can leave for an engine now, over connections that are there or may be made.
    SendCapacity {
        engine: EngineId,
        executions: usize,
    },
    Woken,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Holds for the statement's further executions; the priority also for those that are out.
    Terms {
        statement: StatementId,
        grant_mb: f64,
        priority: u8,
    },
    Execute {
        statement: StatementId,
        engine: EngineId,
    },
    Cancel {
        statement: StatementId,
        execution: usize,
    },
    /// Final: trying again is harmless.
    Reject {
        statement: StatementId,
        retry_after: Option<Micros>,
    },
    /// Final: nothing is promised.
    Abort {
        statement: StatementId,
    },
    Probe {
        engine: EngineId,
    },
    /// A probe on behalf of the fleet into what it has left.
    ProbeEvacuated {
        engine: EngineId,
    },
    Subscribe,
    /// From now on this front may make so many connections a second to each engine.
    Pace {
        connections: f64,
    },
    Wake {
        at: Micros,
    },
}
