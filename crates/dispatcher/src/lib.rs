//! A small facade in blocking style over the decision module. [`Dispatcher::pick`] asks for an engine for a
//! statement, [`Dispatcher::report`] says how an execution ended, [`Dispatcher::tick`] decides on all that
//! was said since and returns what the network is to do. Whoever calls it knows neither the module's events
//! nor its actions. Like the module it has no clock and does no input or output; `now` must not run
//! backwards.

#![warn(missing_docs)]

mod completion;
mod connection_pacer;
mod demand;
mod ending;
mod engines;
mod observations;
mod orders;
mod promises;
mod send_capacity;
mod statements;
#[cfg(test)]
mod test_support;

use std::collections::{BTreeSet, HashMap};

use hallmux::interface::{Event, KeyId, StatementId};
use hallmux::Front;
use hallmux_agreement::{Names, Settings};

use demand::DemandCounts;
use engines::Engine;
use promises::Depends;
use statements::{Key, Statement};

pub use connection_pacer::ConnectionPacer;
pub use demand::DEMAND_SECONDS;
pub use ending::Ending;
pub use engines::Listing;
pub use hallmux::interface::{DedupGroup, Demand, Effect, FleetDemand, Micros, Mode, Note};
pub use observations::EngineObservation;
pub use orders::{Order, Terms};
pub use promises::{PromiseEvent, Site, StatementArrived, StatementOver};
pub use send_capacity::SendCapacity;
pub use statements::{Ask, Protocol, Unfit};

/// A statement as this front knows it, from `pick` until it is over and nothing is out for it.
pub type Ticket = StatementId;

/// An engine as this front knows it: its index, which another engine may have once this one is gone.
pub type Place = usize;

/// Idempotent statements without an order key depend on nothing.
fn depends(workload: &hallmux::interface::Workload) -> Depends {
    Depends { in_order: workload.in_order, always: workload.effect != Effect::Idempotent }
}

fn position(list: &[String], name: &str) -> Option<usize> {
    list.iter().position(|n| n == name)
}

/// The statements, engines and order keys of one front, and the module that decides on them.
pub struct Dispatcher {
    front: Front,
    names: Names,
    needs_dedup_key: Vec<bool>,         // by workload
    dedup_windows: Vec<Option<Micros>>, // likewise, where engines drop repeats
    locations: Vec<Option<Vec<usize>>>, // that workloads are bound to
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
    depends: Vec<Depends>,                      // by workload
    workload_demand: Vec<DemandCounts>,         // likewise
    customer_demand: Vec<(bool, DemandCounts)>, // likewise by customer, and whether a share is agreed
    threads: Vec<f64>,                          // that a statement takes, likewise
    in_time: Vec<(Micros, f64)>, // the SLO time, and by how much it is longer for each microsecond of work
    promise_events: Vec<PromiseEvent>,
    followed: Vec<Ticket>,
    longest_retry_after: Option<Micros>,
}

impl Dispatcher {
    /// A front at its start, by its settings. The seed drives its random draws and differs from front to
    /// front.
    pub fn new(contract: &Settings, seed: u64) -> Self {
        Dispatcher {
            front: Front::new(contract.agreement.clone(), seed),
            names: contract.names.clone(),
            needs_dedup_key: (contract.agreement.workloads.iter())
                .map(|w| w.effect == Effect::Deduplicated)
                .collect(),
            dedup_windows: (contract.agreement.workloads.iter())
                .map(|w| (w.effect == Effect::Deduplicated).then_some(w.dedup_window))
                .collect(),
            locations: contract.agreement.workloads.iter().map(|w| w.locations.clone()).collect(),
            order_gap: contract.agreement.order_gap,
            warm_within: contract.agreement.warm_within,
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
            depends: contract.agreement.workloads.iter().map(depends).collect(),
            workload_demand: vec![DemandCounts::default(); contract.agreement.workloads.len()],
            customer_demand: (contract.agreement.customers.iter())
                .map(|share| (share.is_finite(), DemandCounts::default()))
                .collect(),
            threads: contract.agreement.workloads.iter().map(|w| w.threads).collect(),
            in_time: (contract.agreement.workloads.iter())
                .map(|w| (w.slo_time, w.slo_stretch / w.threads))
                .collect(),
            promise_events: Vec::new(),
            followed: Vec::new(),
            longest_retry_after: contract.agreement.longest_retry_after,
        }
    }

    /// Statements that are not over, or that something is still out for.
    pub fn held(&self) -> usize {
        self.statements.len()
    }
}
