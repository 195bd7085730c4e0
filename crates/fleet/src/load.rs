//! The load offered to the fleet: this front's counts go out as its load report, and those of all fronts that
//! report are merged for the dispatcher. Merged figures only; what they mean is decided there.

use std::collections::BTreeMap;

use hallmux_dispatcher::{Demand, Dispatcher, FleetDemand, Micros, DEMAND_SECONDS};
use hallmux_gossip::load_reports::{OfferedLoad, MAX_LOADS};
use hallmux_gossip::node::Node;

use crate::{engine_hash, ClockReading};

/// Microseconds between merges: reports are renewed every second and a half.
const MERGE_EVERY: Micros = 1_000_000;
const UNIT: f64 = 16.0; // counts of a load report are in sixteenths of a statement
/// Times the median that one front's count may be: some see several times the mean.
const MAX_OF_MEDIAN: f64 = 4.0;
const MAX_CUSTOMERS: usize = 8; // in a load report: those that request most
const MIN_COMPLETED: f64 = 2.0; // statements below which the part of them that was late says nothing

/// A workload as load reports name it.
fn workload(name: &str) -> u32 {
    engine_hash(name) as u32
}

/// A customer likewise: no workload has such a name.
fn customer(name: &str) -> u32 {
    engine_hash(&format!("customer\0{name}")) as u32
}

#[derive(Default)]
pub(crate) struct Load {
    next_merge: Micros,
    /// Whether the dispatcher goes by merged load now.
    merging: bool,
}

impl Load {
    pub fn due(&self) -> Micros {
        self.next_merge
    }

    pub fn tick(&mut self, at: ClockReading, node: &mut Node, dispatcher: &mut Dispatcher) {
        if at.now < self.next_merge {
            return;
        }
        self.next_merge = at.now + MERGE_EVERY;
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
        let names: Vec<u32> = dispatcher
            .workload_demand(at.now)
            .map(|(name, _)| workload(name))
            .collect();
        let (missed, offers) = merged(&reports, &names);
        let own = dispatcher
            .workload_demand(at.now)
            .zip(&offers)
            .map(|((_, own), offer)| own.asked * offer.work);
        let part = part_of(own.sum(), &offers, reports.len());
        let shared = dispatcher.customer_demand(at.now);
        let shared: Vec<Option<u32>> = shared
            .map(|(name, asked)| asked.map(|_| customer(name)))
            .collect();
        // Some fronts report; the others that are up are taken to be offered the same.
        let each = node.fleet_size().up as f64 / reports.len() as f64 / DEMAND_SECONDS;
        let rate =
            |of: &Option<u32>| of.map_or(0.0, |of| sum_of(&reports, of, |o| o.requested) * each);
        let customers_per_s = shared.iter().map(rate).collect();
        let part = if node.has_peer_load(at.now) {
            part
        } else {
            0.0
        };
        dispatcher.fleet_demand(FleetDemand {
            late_share: missed,
            relative: part,
            workloads: offers,
            customers_per_s,
        });
    }
}

/// What this front reports: its heaviest workloads, and the customers that request most.
fn own_loads(now: Micros, dispatcher: &mut Dispatcher) -> Vec<OfferedLoad> {
    let counts = |x: f64| (x * UNIT).round().clamp(0.0, f64::from(u32::MAX)) as u32;
    let all = dispatcher
        .workload_demand(now)
        .map(|(name, o)| OfferedLoad {
            workload: workload(name),
            requested: counts(o.asked),
            completed: counts(o.ended),
            on_time: counts(o.timely),
            service_us: o.work.clamp(0.0, f64::from(u32::MAX)) as u32,
        });
    let mut all: Vec<OfferedLoad> = all.filter(|o| o.requested > 0 || o.completed > 0).collect();
    all.sort_by_key(|o| std::cmp::Reverse(u64::from(o.requested) * u64::from(o.service_us.max(1))));
    let shared = dispatcher
        .customer_demand(now)
        .filter_map(|(name, asked)| Some((name, asked?)));
    let shared = shared.map(|(name, o)| OfferedLoad {
        workload: customer(name),
        requested: counts(o.asked),
        ..OfferedLoad::default()
    });
    let mut shared: Vec<OfferedLoad> = shared.filter(|o| o.requested > 0).collect();
    shared.sort_by_key(|o| std::cmp::Reverse(o.requested));
    shared.truncate(MAX_CUSTOMERS);
    all.truncate(MAX_LOADS - shared.len());
    all.extend(shared);
    all
}

/// The work offered to a front relative to the mean of the fronts that report; 0 where they were offered
/// none.
fn part_of(own: f64, offers: &[Demand], fronts: usize) -> f64 {
    let mean = offers.iter().map(|o| o.work * o.asked).sum::<f64>() / fronts.max(1) as f64;
    if mean > 0.0 {
        own / mean
    } else {
        0.0
    }
}

/// The sum of one count over all reports. No front counts for more than some times the median, whatever it
/// reports.
fn sum_of(reports: &[&[OfferedLoad]], name: u32, field: fn(&OfferedLoad) -> u32) -> f64 {
    let of = |all: &&[OfferedLoad]| all.iter().find(|o| o.workload == name).map_or(0, field);
    let counts: Vec<f64> = reports
        .iter()
        .map(|all| f64::from(of(all)) / UNIT)
        .collect();
    let most = MAX_OF_MEDIAN * median(counts.clone()).max(1.0);
    counts.into_iter().map(|count| count.min(most)).sum()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// The load offered to all fronts by the workloads named, and the median over fronts of the part that was
/// late.
fn merged(reports: &[&[OfferedLoad]], names: &[u32]) -> (f64, Vec<Demand>) {
    let of: Vec<BTreeMap<u32, OfferedLoad>> = reports
        .iter()
        .map(|all| all.iter().map(|o| (o.workload, *o)).collect())
        .collect();
    let offers = names.iter().map(|name| {
        let all: Vec<OfferedLoad> = of
            .iter()
            .map(|all| all.get(name).copied().unwrap_or_default())
            .collect();
        let sum = |field: fn(&OfferedLoad) -> u32| sum_of(reports, *name, field);
        let work = median(
            all.iter()
                .filter(|o| o.service_us > 0)
                .map(|o| f64::from(o.service_us))
                .collect(),
        );
        let (requested, completed) = (sum(|o| o.requested), sum(|o| o.completed));
        Demand {
            asked: requested,
            ended: completed,
            timely: sum(|o| o.on_time).min(completed),
            work,
        }
    });
    let missed = of.iter().filter_map(|all| {
        let sum = |field: fn(&OfferedLoad) -> u32| {
            all.values()
                .map(|o| f64::from(field(o)) / UNIT)
                .sum::<f64>()
        };
        let (completed, on_time) = (sum(|o| o.completed), sum(|o| o.on_time));
        (completed >= MIN_COMPLETED).then(|| ((completed - on_time) / completed).clamp(0.0, 1.0))
    });
    let missed = median(missed.collect());
    (missed, offers.collect())
}

#[cfg(test)]
#[path = "load_tests.rs"]
mod tests;
