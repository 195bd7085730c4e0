//! A facade over the scheduler that tracks each statement of one front from its arrival to its one
//! final answer. No call blocks. [`Dispatcher::submit`] accepts a statement,
//! [`Dispatcher::execution_ended`] records how an execution ended, and [`Dispatcher::tick`] decides
//! on everything that happened since and returns commands for the network. The caller deals with
//! neither the scheduler's events nor its actions.
//!
//! | module | contents |
//! | --- | --- |
//! | `request`, `submission` | a client's request, and its validation |
//! | `commands`, `tick` | one iteration of decisions, and the resulting commands |
//! | `statements`, `executions` | the state of a statement and of its attempts |
//! | `ending` | how an execution can end, and what each ending proves |
//! | `completion` | the end of an execution or a statement |
//! | `order_keys` | the indices of order keys and their pauses |
//! | `engines`, `engine_stats`, `observations` | the engine list, statistics of engines, reports from and to peers |
//! | `demand`, `ledger_events` | demand and statement events for the rest of the fleet |
//! | `reject_cause` | why a statement ended without a result |
//! | `send_capacity`, `connection_pacer` | limits on new connections |
//!
//! The crate has no clock and does no input or output. `now` is in microseconds and must not
//! decrease from call to call.

#![warn(missing_docs)]

mod commands;
mod completion;
mod connection_pacer;
mod demand;
mod ending;
mod engine_stats;
mod engines;
mod executions;
mod ledger_events;
mod observations;
mod order_keys;
mod reject_cause;
mod request;
mod send_capacity;
mod statements;
mod submission;
#[cfg(test)]
mod test_support;
mod tick;

use std::collections::{BTreeSet, HashMap};

use hallmux::interface::{Event, StatementId, Workload};
use hallmux::Scheduler;
use hallmux_config::{Names, Settings};

use demand::{CustomerDemand, DemandCounts};
use engines::Engine;
use order_keys::OrderKeys;
use statements::Statement;

pub use commands::Command;
pub use connection_pacer::ConnectionPacer;
pub use demand::DEMAND_WINDOW_SECONDS;
pub use ending::Ending;
pub use engines::{ListScope, Listing};
pub use executions::Terms;
pub use hallmux::interface::{
    DedupGroup, Demand, Effect, FleetDemand, Micros, Mode, ProgressReport,
};
pub use ledger_events::{LedgerEvent, Site, StatementArrived, StatementFinished};
pub use observations::{EngineObservation, Recovery};
pub use reject_cause::RejectCause;
pub use request::{InvalidRequest, Protocol, StatementRequest};
pub use send_capacity::SendCapacity;

/// Identifies a statement within this front, from its arrival until it is finished with nothing in
/// flight.
pub type Ticket = StatementId;

/// Identifies an engine within this front. Another engine may reuse the index once this one is
/// gone.
pub type EngineIndex = usize;

/// The index of a name in a list of the settings.
fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// When a statement's client stops waiting, ordered by time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    ticket: Ticket,
}

/// The statements, engines and order keys of one front, and the scheduler that decides on them.
pub struct Dispatcher {
    scheduler: Scheduler,
    names: Names,
    workloads: Vec<Workload>,
    /// Microseconds after its start during which an engine may still be warming up.
    warm_up_time: Micros,
    /// The time at which the scheduler asked to be called again, in microseconds.
    next_wake: Micros,
    /// Events since the last decisions of the scheduler.
    events: Vec<Event>,
    next_ticket: Ticket,
    statements: HashMap<Ticket, Statement>,
    /// The deadlines of the statements, earliest first.
    deadlines: BTreeSet<Deadline>,
    order_keys: OrderKeys,
    engines: Vec<Engine>,
    /// Demand by workload index.
    workload_demand: Vec<DemandCounts>,
    /// Demand by customer index.
    customer_demand: Vec<CustomerDemand>,
    ledger_events_enabled: bool,
    ledger_events: Vec<LedgerEvent>,
    watched_ends: Vec<Ticket>,
    /// The longest time, in microseconds, that a rejected client is asked to wait; None where the
    /// settings allow no such hint.
    max_retry_after: Option<Micros>,
}

impl Dispatcher {
    /// Creates the dispatcher of a front that starts with these settings. The seed drives its
    /// random draws and must differ from front to front.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let agreement = &settings.agreement;
        let customer_demand = agreement
            .customers
            .iter()
            .map(|share| CustomerDemand {
                has_share: share.is_finite(),
                counts: DemandCounts::default(),
            })
            .collect();
        Dispatcher {
            scheduler: Scheduler::new(agreement.clone(), seed),
            names: settings.names.clone(),
            workloads: agreement.workloads.clone(),
            warm_up_time: agreement.warm_up_time,
            next_wake: 0,
            events: Vec::new(),
            next_ticket: 0,
            statements: HashMap::new(),
            deadlines: BTreeSet::new(),
            order_keys: OrderKeys::new(agreement.order_gap),
            engines: Vec::new(),
            ledger_events_enabled: false,
            workload_demand: vec![DemandCounts::default(); agreement.workloads.len()],
            customer_demand,
            ledger_events: Vec::new(),
            watched_ends: Vec::new(),
            max_retry_after: agreement.max_retry_after,
        }
    }

    /// The number of statements that are not finished or have an execution in flight.
    pub fn statements_held(&self) -> usize {
        self.statements.len()
    }
}
