//! The life of a statement in one front, from its arrival to its one final answer: a facade over the scheduler. Nothing
//! blocks: decisions come with `tick`. [`Dispatcher::submit`] takes a statement, [`Dispatcher::report`] says how an execution ended,
//! and [`Dispatcher::tick`] decides on all that happened since and returns what the network is to do. Whoever calls it
//! knows neither the scheduler's events nor its actions.
//!
//! | module | what it does |
//! | --- | --- |
//! | `request`, `submission` | what a client asks for, and whether it can be taken |
//! | `tick` | a round of decisions, and the commands that come of it |
//! | `statements`, `executions` | what is known of a statement and of its attempts |
//! | `ending` | how an execution can end, and what each ending proves |
//! | `completion` | an execution or a statement ends |
//! | `order_keys` | the indices of order keys and their pauses |
//! | `engines`, `engine_stats`, `observations` | the engine list, what was seen of engines, reports of it |
//! | `demand`, `promises` | what the rest of the fleet is to know of statements |
//! | `send_capacity`, `connection_pacer` | limits on new connections |
//!
//! It has no clock and does no input or output. `now` is in microseconds and must not run backwards.

#![warn(missing_docs)]

mod commands;
mod completion;
mod connection_pacer;
mod demand;
mod ending;
mod engine_stats;
mod engines;
mod executions;
mod observations;
mod order_keys;
mod promises;
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
pub use demand::DEMAND_SECONDS;
pub use ending::Ending;
pub use engines::{ListScope, Listing};
pub use executions::Terms;
pub use hallmux::interface::{
    DedupGroup, Demand, Effect, FleetDemand, Micros, Mode, ProgressReport,
};
pub use observations::{EngineObservation, Recovery};
pub use promises::{PromiseEvent, Site, StatementArrived, StatementOver};
pub use reject_cause::RejectCause;
pub use request::{InvalidRequest, Protocol, StatementRequest};
pub use send_capacity::SendCapacity;

/// A statement as this front knows it, from its arrival until it is over with nothing in flight.
pub type Ticket = StatementId;

/// An engine as this front knows it: its index, which another engine may have once this one is gone.
pub type Place = usize;

/// The index of a name among those of the settings.
fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// When a statement's client stops waiting.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    ticket: Ticket,
}

/// The statements, engines and order keys of one front, and the module that decides on them.
pub struct Dispatcher {
    scheduler: Scheduler,
    names: Names,
    workloads: Vec<Workload>,
    /// Microseconds after its start in which an engine may still be warming up.
    warm_up_time: Micros,
    /// When the module asked to be called again, in microseconds.
    wake: Micros,
    /// What has happened since the last decisions.
    events: Vec<Event>,
    next_ticket: Ticket,
    statements: HashMap<Ticket, Statement>,
    /// The statements by the time at which their clients stop waiting.
    deadlines: BTreeSet<Deadline>,
    order_keys: OrderKeys,
    engines: Vec<Engine>,
    /// By workload.
    workload_demand: Vec<DemandCounts>,
    /// By customer.
    customer_demand: Vec<CustomerDemand>,
    watches_promises: bool,
    promise_events: Vec<PromiseEvent>,
    watched_ends: Vec<Ticket>,
    /// Microseconds that a rejected client is told to wait at most; None where no time may be named.
    max_retry_after: Option<Micros>,
}

impl Dispatcher {
    /// A front at its start, by its settings. The seed drives its random draws and differs from front to
    /// front.
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
            wake: 0,
            events: Vec::new(),
            next_ticket: 0,
            statements: HashMap::new(),
            deadlines: BTreeSet::new(),
            order_keys: OrderKeys::new(agreement.order_gap),
            engines: Vec::new(),
            watches_promises: false,
            workload_demand: vec![DemandCounts::default(); agreement.workloads.len()],
            customer_demand,
            promise_events: Vec::new(),
            watched_ends: Vec::new(),
            max_retry_after: agreement.max_retry_after,
        }
    }

    /// How many statements are not over, or have something in flight.
    pub fn statements_held(&self) -> usize {
        self.statements.len()
    }
}
