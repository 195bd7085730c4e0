//! A small facade in blocking style over the decision module. [`Dispatcher::submit`] asks for an engine for a
//! statement, [`Dispatcher::report`] says how an execution ended, [`Dispatcher::tick`] decides on all that
//! was said since and returns what the network is to do. Whoever calls it knows neither the module's events
//! nor its actions. Like the module it has no clock and does no input or output; `now` must not run
//! backwards.

#![warn(missing_docs)]

mod commands;
mod completion;
mod connection_pacer;
mod demand;
mod ending;
mod engines;
mod observations;

mod promises;
mod send_capacity;
mod statements;
#[cfg(test)]
mod test_support;

use std::collections::{BTreeSet, HashMap};

use hallmux::interface::{Event, KeyId, StatementId, Workload};
use hallmux::Front;
use hallmux_config::{Names, Settings};

use demand::DemandCounts;
use engines::Engine;
use statements::{Key, Statement};

pub use commands::{Command, Terms};
pub use connection_pacer::ConnectionPacer;
pub use demand::DEMAND_SECONDS;
pub use ending::Ending;
pub use engines::Listing;
pub use hallmux::interface::{DedupGroup, Demand, Effect, FleetDemand, Micros, Mode, Note};
pub use observations::EngineObservation;
pub use promises::{PromiseEvent, Site, StatementArrived, StatementOver};
pub use send_capacity::SendCapacity;
pub use statements::{InvalidRequest, Protocol, StatementRequest};

/// A statement as this front knows it, from `pick` until it is over and nothing is out for it.
pub type Ticket = StatementId;

/// An engine as this front knows it: its index, which another engine may have once this one is gone.
pub type Place = usize;

fn position(list: &[String], name: &str) -> Option<usize> {
    list.iter().position(|n| n == name)
}

/// The statements, engines and order keys of one front, and the module that decides on them.
pub struct Dispatcher {
    front: Front,
    names: Names,
    workloads: Vec<Workload>,
    order_gap: Micros,
    warm_within: Micros,
    wake: Micros,
    events: Vec<Event>,
    next_ticket: Ticket,
    statements: HashMap<Ticket, Statement>,
    ends: BTreeSet<(Micros, Ticket)>,
    keys: HashMap<String, Key>,
    free_keys: Vec<KeyId>,
    resting: BTreeSet<(Micros, String)>,
    engines: Vec<Engine>,
    watches_promises: bool,
    workload_demand: Vec<DemandCounts>,         // by workload
    customer_demand: Vec<(bool, DemandCounts)>, // by customer, and whether a share is agreed
    promise_events: Vec<PromiseEvent>,
    followed: Vec<Ticket>,
    longest_retry_after: Option<Micros>,
}

impl Dispatcher {
    /// A front at its start, by its settings. The seed drives its random draws and differs from front to
    /// front.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let agreement = &settings.agreement;
        Dispatcher {
            front: Front::new(agreement.clone(), seed),
            names: settings.names.clone(),
            workloads: agreement.workloads.clone(),
            order_gap: agreement.order_gap,
            warm_within: agreement.warm_within,
            wake: 0,
            events: Vec::new(),
            next_ticket: 0,
            statements: HashMap::new(),
            ends: BTreeSet::new(),
            keys: HashMap::new(),
            free_keys: Vec::new(),
            resting: BTreeSet::new(),
            engines: Vec::new(),
            watches_promises: false,
            workload_demand: vec![DemandCounts::default(); agreement.workloads.len()],
            customer_demand: (agreement.customers.iter())
                .map(|share| (share.is_finite(), DemandCounts::default()))
                .collect(),
            promise_events: Vec::new(),
            followed: Vec::new(),
            longest_retry_after: agreement.longest_retry_after,
        }
    }

    /// Statements that are not over, or that something is still out for.
    pub fn statements_held(&self) -> usize {
        self.statements.len()
    }
}
