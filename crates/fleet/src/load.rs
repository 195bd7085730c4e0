//! The load offered to the fleet: this front's counts go out as its load report, and those of all fronts that
//! report are merged for the dispatcher. Merged figures only; what they mean is decided there.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hallmux_dispatcher::{Demand, Dispatcher, FleetDemand, Micros, DEMAND_SECONDS};
use hallmux_gossip::load_reports::{OfferedLoad, MAX_LOADS};
use hallmux_gossip::node::Node;

use crate::{engine_hash, ClockReading};

/// Microseconds between merges: reports are renewed every second and a half.
const MERGE_INTERVAL: Micros = 1_000_000;
/// Counts of a load report are in sixteenths of a statement.
const COUNTS_PER_STATEMENT: f64 = 16.0;
/// Times the median that one front's count may be: some see several times the mean.
const MAX_OF_MEDIAN: f64 = 4.0;
/// Customers in a load report: those that request most.
const MAX_CUSTOMERS: usize = 8;
/// Completed statements below which the share of them that was late says nothing.
const MIN_COMPLETED: f64 = 2.0;

/// The load offered to the fleet, as one front reports and merges it.
#[derive(Default)]
pub(crate) struct Load {
    next_merge: Micros,
    /// Whether the dispatcher goes by merged load now.
    merging: bool,
}

/// The load of all fronts that report.
#[derive(Debug, PartialEq)]
struct MergedLoad {
    /// The median over fronts of the share of completed statements that was late.
    late_share: f64,
    /// The load offered by each workload.
    workloads: Vec<Demand>,
}

impl Load {
    /// When `tick` is next due, on the dispatcher's clock.
    pub fn due(&self) -> Micros {
        self.next_merge
    }

    /// Reports this front's load and merges that of all fronts, where it is due.
    pub fn tick(&mut self, at: ClockReading, node: &mut Node, dispatcher: &mut Dispatcher) {
        if at.now < self.next_merge {
            return;
        }
        self.next_merge = at.now + MERGE_INTERVAL;
        node.report_load(at.now, at.wall_ms, || own_loads(at.now, dispatcher));
        let reports: Vec<&[OfferedLoad]> = node.offered_loads(at.now).collect();
        // Merged load counts for nothing once nobody reports any more.
        if reports.is_empty() {
            if std::mem::take(&mut self.merging) {
                dispatcher.fleet_demand(FleetDemand::default());
            }
            return;
        }
        self.merging = true;
        let demand = fleet_demand(at.now, &reports, node, dispatcher);
        dispatcher.fleet_demand(demand);
    }
}

/// The demand on the fleet by the reports of its fronts.
fn fleet_demand(
    now: Micros,
    reports: &[&[OfferedLoad]],
    node: &Node,
    dispatcher: &mut Dispatcher,
) -> FleetDemand {
    let names: Vec<u32> = dispatcher
        .workload_demand(now)
        .map(|(name, _)| workload_hash(name))
        .collect();
    let merged = merge(reports, &names);
    let own_work = dispatcher
        .workload_demand(now)
        .zip(&merged.workloads)
        .map(|((_, own), fleet)| own.asked * fleet.work)
        .sum();
    let relative = if node.has_peer_load(now) {
        relative_load(own_work, &merged.workloads, reports.len())
    } else {
        0.0
    };
    // Some fronts report; the others that are up are taken to be offered the same.
    let fronts_per_report = node.fleet_size().up as f64 / reports.len() as f64;
    let customers_per_s = dispatcher
        .customer_demand(now)
        .map(|(name, asked)| match asked {
            Some(_) => {
                let requested = sum_of(reports, customer_hash(name), |load| load.requested);
                requested * (fronts_per_report / DEMAND_SECONDS)
            }
            None => 0.0,
        })
        .collect();
    FleetDemand {
        late_share: merged.late_share,
        relative,
        workloads: merged.workloads,
        customers_per_s,
    }
}

/// A workload as load reports name it.
fn workload_hash(name: &str) -> u32 {
    engine_hash(name) as u32
}

/// A customer likewise: no workload has such a name.
fn customer_hash(name: &str) -> u32 {
    engine_hash(&format!("customer\0{name}")) as u32
}

/// What this front reports: its heaviest workloads, and the customers that request most.
fn own_loads(now: Micros, dispatcher: &mut Dispatcher) -> Vec<OfferedLoad> {
    let mut loads = own_workloads(now, dispatcher);
    let customers = own_customers(now, dispatcher);
    loads.truncate(MAX_LOADS - customers.len());
    loads.extend(customers);
    loads
}

/// The workloads that request anything, the heaviest first.
fn own_workloads(now: Micros, dispatcher: &mut Dispatcher) -> Vec<OfferedLoad> {
    let mut loads: Vec<OfferedLoad> = dispatcher
        .workload_demand(now)
        .map(|(name, demand)| OfferedLoad {
            workload: workload_hash(name),
            requested: report_count(demand.asked),
            completed: report_count(demand.ended),
            on_time: report_count(demand.timely),
            service_us: demand.work.clamp(0.0, f64::from(u32::MAX)) as u32,
        })
        .filter(|load| load.requested > 0 || load.completed > 0)
        .collect();
    loads
        .sort_by_key(|load| Reverse(u64::from(load.requested) * u64::from(load.service_us.max(1))));
    loads
}

/// The customers that request most, of those with an agreed share.
fn own_customers(now: Micros, dispatcher: &mut Dispatcher) -> Vec<OfferedLoad> {
    let mut loads: Vec<OfferedLoad> = dispatcher
        .customer_demand(now)
        .filter_map(|(name, demand)| Some((name, demand?)))
        .map(|(name, demand)| OfferedLoad {
            workload: customer_hash(name),
            requested: report_count(demand.asked),
            ..OfferedLoad::default()
        })
        .filter(|load| load.requested > 0)
        .collect();
    loads.sort_by_key(|load| Reverse(load.requested));
    loads.truncate(MAX_CUSTOMERS);
    loads
}

/// A number of statements as a load report counts them.
fn report_count(statements: f64) -> u32 {
    let count = (statements * COUNTS_PER_STATEMENT).round();
    count.clamp(0.0, f64::from(u32::MAX)) as u32
}

/// A count of a load report in statements.
fn statements(count: u32) -> f64 {
    f64::from(count) / COUNTS_PER_STATEMENT
}

/// The work offered to a front relative to the mean of the fronts that report; 0 where they were offered
/// none.
fn relative_load(own_work: f64, workloads: &[Demand], fronts: usize) -> f64 {
    let total: f64 = workloads
        .iter()
        .map(|demand| demand.work * demand.arrived)
        .sum();
    let mean = total / fronts.max(1) as f64;
    if mean > 0.0 {
        own_work / mean
    } else {
        0.0
    }
}

/// Merges the reports of all fronts on the workloads named.
fn merge(reports: &[&[OfferedLoad]], names: &[u32]) -> MergedLoad {
    let workloads = names.iter().map(|name| merge_workload(reports, *name));
    let late_shares = reports.iter().filter_map(|loads| late_share(loads));
    MergedLoad {
        late_share: median(late_shares.collect()),
        workloads: workloads.collect(),
    }
}

fn merge_workload(reports: &[&[OfferedLoad]], name: u32) -> Demand {
    let completed = sum_of(reports, name, |load| load.completed);
    let service_us = reports
        .iter()
        .filter_map(|loads| load_of(loads, name))
        .filter(|load| load.service_us > 0)
        .map(|load| f64::from(load.service_us));
    Demand {
        arrived: sum_of(reports, name, |load| load.requested),
        ended: completed,
        timely: sum_of(reports, name, |load| load.on_time).min(completed),
        work: median(service_us.collect()),
    }
}

/// The share of a front's completed statements that was late; None where too few are completed to tell.
fn late_share(loads: &[OfferedLoad]) -> Option<f64> {
    let by_name: BTreeMap<u32, &OfferedLoad> =
        loads.iter().map(|load| (load.workload, load)).collect();
    let completed: f64 = by_name
        .values()
        .map(|load| statements(load.completed))
        .sum();
    let on_time: f64 = by_name.values().map(|load| statements(load.on_time)).sum();
    (completed >= MIN_COMPLETED).then(|| ((completed - on_time) / completed).clamp(0.0, 1.0))
}

/// The sum of one count over all reports. No front counts for more than some times the median, whatever it
/// reports.
fn sum_of(reports: &[&[OfferedLoad]], name: u32, field: fn(&OfferedLoad) -> u32) -> f64 {
    let count = |loads: &&[OfferedLoad]| {
        loads
            .iter()
            .find(|load| load.workload == name)
            .map_or(0, field)
    };
    let counts: Vec<f64> = reports
        .iter()
        .map(|loads| statements(count(loads)))
        .collect();
    let most = MAX_OF_MEDIAN * median(counts.clone()).max(1.0);
    counts.into_iter().map(|count| count.min(most)).sum()
}

/// A front's load under one name; of several the last.
fn load_of(loads: &[OfferedLoad], name: u32) -> Option<&OfferedLoad> {
    loads.iter().rfind(|load| load.workload == name)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
#[path = "load_tests.rs"]
mod tests;
