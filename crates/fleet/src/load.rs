//! The load offered to the fleet: sends this front's counts in a load report, and merges the load reports of all
//! reporting fronts for the dispatcher. The dispatcher decides what to do about the merged load.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hallmux_dispatcher::{Demand, Dispatcher, FleetDemand, Micros, DEMAND_WINDOW_SECONDS};
use hallmux_gossip::load_reports::{OfferedLoad, MAX_LOADS};
use hallmux_gossip::node::Node;

use crate::{engine_hash, ClockReading};

/// Microseconds between merges. Fronts renew their reports every 1.5 seconds.
const MERGE_INTERVAL: Micros = 1_000_000;
/// The unit of counts in a load report is a sixteenth of a statement.
const COUNTS_PER_STATEMENT: f64 = 16.0;
/// Limit on one front's count, as a multiple of the median over fronts. Some fronts legitimately receive several
/// times the mean.
const MAX_MEDIAN_MULTIPLE: f64 = 4.0;
/// Maximum number of customers in a load report; those with the most requests are listed.
const MAX_REPORTED_CUSTOMERS: usize = 8;
/// Minimum number of completed statements for a meaningful share of late ones.
const MIN_COMPLETED_STATEMENTS: f64 = 2.0;

/// The schedule by which a front reports its load and merges that of the fleet.
#[derive(Default)]
pub(crate) struct Load {
    next_merge: Micros,
    /// Whether the dispatcher currently uses merged load.
    uses_merged_load: bool,
}

/// The merged load of all reporting fronts.
#[derive(Debug, PartialEq)]
struct MergedLoad {
    /// The median over fronts of the share of completed statements that were late.
    late_share: f64,
    /// The load offered by each workload, in the order of the workloads passed to [`merge`].
    workloads: Vec<Demand>,
}

impl Load {
    /// When `tick` is next due, on the dispatcher's clock.
    pub fn due(&self) -> Micros {
        self.next_merge
    }

    /// Reports this front's load and merges that of all fronts if a merge is due.
    pub fn tick(&mut self, at: ClockReading, node: &mut Node, dispatcher: &mut Dispatcher) {
        if at.now < self.next_merge {
            return;
        }
        self.next_merge = at.now + MERGE_INTERVAL;
        node.report_load(at.now, at.wall_ms, || local_loads(at.now, dispatcher));
        let reports: Vec<&[OfferedLoad]> = node.offered_loads(at.now).collect();
        // Without any reports the dispatcher's merged load is reset once.
        if reports.is_empty() {
            if std::mem::take(&mut self.uses_merged_load) {
                dispatcher.set_fleet_demand(FleetDemand::default());
            }
            return;
        }
        self.uses_merged_load = true;
        let demand = fleet_demand(at.now, &reports, node, dispatcher);
        dispatcher.set_fleet_demand(demand);
    }
}

/// Computes the demand on the fleet from the reports of its fronts.
fn fleet_demand(
    now: Micros,
    reports: &[&[OfferedLoad]],
    node: &Node,
    dispatcher: &mut Dispatcher,
) -> FleetDemand {
    let workload_hashes: Vec<u32> = dispatcher
        .workload_demand(now)
        .map(|(name, _)| workload_hash(name))
        .collect();
    let merged = merge(reports, &workload_hashes);
    let local_work = dispatcher
        .workload_demand(now)
        .zip(&merged.workloads)
        .map(|((_, local), fleet)| local.asked * fleet.work)
        .sum();
    let relative = if node.has_peer_load(now) {
        relative_load(local_work, &merged.workloads, reports.len())
    } else {
        0.0
    };
    // Fronts that are up but do not report are assumed to receive the same load as those that do.
    let fronts_per_report = node.fleet_size().up as f64 / reports.len() as f64;
    let customers_per_s = dispatcher
        .customer_demand(now)
        .map(|(name, demand)| match demand {
            Some(_) => {
                let requested = capped_sum(reports, customer_hash(name), |load| load.requested);
                requested * (fronts_per_report / DEMAND_WINDOW_SECONDS)
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

/// The hash that identifies a workload in load reports.
fn workload_hash(name: &str) -> u32 {
    engine_hash(name) as u32
}

/// The hash that identifies a customer in load reports. The prefix with a NUL byte keeps the hashed text distinct
/// from any workload name.
fn customer_hash(name: &str) -> u32 {
    engine_hash(&format!("customer\0{name}")) as u32
}

/// The entries of this front's load report: its heaviest workloads, then the customers with the most requests.
fn local_loads(now: Micros, dispatcher: &mut Dispatcher) -> Vec<OfferedLoad> {
    let mut loads = local_workloads(now, dispatcher);
    let customers = local_customers(now, dispatcher);
    loads.truncate(MAX_LOADS - customers.len());
    loads.extend(customers);
    loads
}

/// The loads of the workloads with requested or completed statements, heaviest first.
fn local_workloads(now: Micros, dispatcher: &mut Dispatcher) -> Vec<OfferedLoad> {
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

/// The loads of the customers with the most requests, among those with an agreed share.
fn local_customers(now: Micros, dispatcher: &mut Dispatcher) -> Vec<OfferedLoad> {
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
    loads.truncate(MAX_REPORTED_CUSTOMERS);
    loads
}

/// Converts a number of statements to a count of a load report.
fn report_count(statements: f64) -> u32 {
    let count = (statements * COUNTS_PER_STATEMENT).round();
    count.clamp(0.0, f64::from(u32::MAX)) as u32
}

/// Converts a count of a load report to a number of statements.
fn statements(count: u32) -> f64 {
    f64::from(count) / COUNTS_PER_STATEMENT
}

/// The work offered to this front relative to the mean over the reporting fronts; 0 if those were offered none.
fn relative_load(local_work: f64, workloads: &[Demand], fronts: usize) -> f64 {
    let total: f64 = workloads
        .iter()
        .map(|demand| demand.work * demand.arrived)
        .sum();
    let mean = total / fronts.max(1) as f64;
    if mean > 0.0 {
        local_work / mean
    } else {
        0.0
    }
}

/// Merges the reports of all fronts on the workloads with the given hashes.
fn merge(reports: &[&[OfferedLoad]], workload_hashes: &[u32]) -> MergedLoad {
    let workloads = workload_hashes
        .iter()
        .map(|hash| merge_workload(reports, *hash));
    let late_shares = reports.iter().filter_map(|loads| late_share(loads));
    MergedLoad {
        late_share: median(late_shares.collect()),
        workloads: workloads.collect(),
    }
}

/// Merges the reports of all fronts on one workload: counts are summed, and the service time is the median.
fn merge_workload(reports: &[&[OfferedLoad]], hash: u32) -> Demand {
    let completed = capped_sum(reports, hash, |load| load.completed);
    let service_us = reports
        .iter()
        .filter_map(|loads| last_load_of(loads, hash))
        .filter(|load| load.service_us > 0)
        .map(|load| f64::from(load.service_us));
    Demand {
        arrived: capped_sum(reports, hash, |load| load.requested),
        ended: completed,
        timely: capped_sum(reports, hash, |load| load.on_time).min(completed),
        work: median(service_us.collect()),
    }
}

/// The share of a front's completed statements that were late; None if too few were completed.
fn late_share(loads: &[OfferedLoad]) -> Option<f64> {
    let by_hash: BTreeMap<u32, &OfferedLoad> =
        loads.iter().map(|load| (load.workload, load)).collect();
    let completed: f64 = by_hash
        .values()
        .map(|load| statements(load.completed))
        .sum();
    let on_time: f64 = by_hash.values().map(|load| statements(load.on_time)).sum();
    (completed >= MIN_COMPLETED_STATEMENTS)
        .then(|| ((completed - on_time) / completed).clamp(0.0, 1.0))
}

/// The sum of one count over all reports. Each front's count is capped at `MAX_MEDIAN_MULTIPLE` times the median,
/// so that a single wrong report has limited effect.
fn capped_sum(reports: &[&[OfferedLoad]], hash: u32, field: fn(&OfferedLoad) -> u32) -> f64 {
    let count = |loads: &&[OfferedLoad]| {
        loads
            .iter()
            .find(|load| load.workload == hash)
            .map_or(0, field)
    };
    let counts: Vec<f64> = reports
        .iter()
        .map(|loads| statements(count(loads)))
        .collect();
    let cap = MAX_MEDIAN_MULTIPLE * median(counts.clone()).max(1.0);
    counts.into_iter().map(|count| count.min(cap)).sum()
}

/// The last entry of a front's report with the given hash.
fn last_load_of(loads: &[OfferedLoad], hash: u32) -> Option<&OfferedLoad> {
    loads.iter().rfind(|load| load.workload == hash)
}

/// The upper median; 0 for no values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
#[path = "load_tests.rs"]
mod tests;
