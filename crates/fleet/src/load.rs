//! What the fleet is asked: this front's counts go out as its share, those of all that tell come together to what
//! the module hears. Merged figures only; what they mean is decided in the module.

use std::collections::BTreeMap;

use hallmux_dispatcher::{Demand, Dispatcher, FleetDemand, Micros, DEMAND_SECONDS};
use hallmux_gossip::node::Node;
use hallmux_gossip::shares::{Offered, MOST_OFFERED};

use crate::{named, Moment};

const LOOK: Micros = 1_000_000; // microseconds between what the module hears: shares are renewed every second and a half
const UNIT: f64 = 16.0; // parts of a statement that counts are told in
const MOST_OF_MEDIAN: f64 = 4.0; // times the median that one front's count may be: some see several times the mean
const MOST_CUSTOMERS: usize = 8; // told of in a share: those that ask most
const LEAST_ENDED: f64 = 2.0; // statements from which a front's share that missed says anything

/// A workload as shares name it.
fn workload(name: &str) -> u32 {
    named(name) as u32
}

/// A customer likewise: no workload has such a name.
fn customer(name: &str) -> u32 {
    named(&format!("customer\0{name}")) as u32
}

#[derive(Default)]
pub(crate) struct Load {
    look: Micros,
    /// The module goes by what was told.
    told: bool,
}

impl Load {
    pub fn due(&self) -> Micros {
        self.look
    }

    pub fn tick(&mut self, at: Moment, node: &mut Node, dispatcher: &mut Dispatcher) {
        if at.now < self.look {
            return;
        }
        self.look = at.now + LOOK;
        node.offers(at.now, at.wall_ms, || {
            let counts = |x: f64| (x * UNIT).round().clamp(0.0, f64::from(u32::MAX)) as u32;
            let all = dispatcher.workload_demand(at.now).map(|(name, o)| Offered {
                workload: workload(name),
                asked: counts(o.asked),
                ended: counts(o.ended),
                timely: counts(o.timely),
                work_us: o.work.clamp(0.0, f64::from(u32::MAX)) as u32,
            });
            let mut all: Vec<Offered> = all.filter(|o| o.asked > 0 || o.ended > 0).collect();
            all.sort_by_key(|o| std::cmp::Reverse(u64::from(o.asked) * u64::from(o.work_us.max(1))));
            let shared = dispatcher.customer_demand(at.now).filter_map(|(name, asked)| Some((name, asked?)));
            let shared = shared.map(|(name, o)| Offered {
                workload: customer(name),
                asked: counts(o.asked),
                ..Offered::default()
            });
            let mut shared: Vec<Offered> = shared.filter(|o| o.asked > 0).collect();
            shared.sort_by_key(|o| std::cmp::Reverse(o.asked));
            shared.truncate(MOST_CUSTOMERS);
            all.truncate(MOST_OFFERED - shared.len());
            all.extend(shared);
            all
        });
        let told: Vec<&[Offered]> = node.offered(at.now).collect();
        // What was told counts for nothing once nobody tells any more.
        if told.is_empty() {
            if std::mem::take(&mut self.told) {
                dispatcher.fleet_demand(FleetDemand::default());
            }
            return;
        }
        self.told = true;
        let names: Vec<u32> = dispatcher.workload_demand(at.now).map(|(name, _)| workload(name)).collect();
        let (missed, offers) = merged(&told, &names);
        let own =
            dispatcher.workload_demand(at.now).zip(&offers).map(|((_, own), offer)| own.asked * offer.work);
        let part = part_of(own.sum(), &offers, told.len());
        let shared = dispatcher.customer_demand(at.now);
        let shared: Vec<Option<u32>> = shared.map(|(name, asked)| asked.map(|_| customer(name))).collect();
        // Some tell; the others that are up are asked as they are.
        let each = node.fleet().1 as f64 / told.len() as f64 / DEMAND_SECONDS;
        let rate = |of: &Option<u32>| of.map_or(0.0, |of| sum_of(&told, of, |o| o.asked) * each);
        let customers_per_s = shared.iter().map(rate).collect();
        let part = if node.hears_load(at.now) { part } else { 0.0 };
        dispatcher.fleet_demand(FleetDemand {
            late_share: missed,
            relative: part,
            workloads: offers,
            customers_per_s,
        });
    }
}

/// What a front is asked, in work, against the mean of those that tell; 0 where they were asked nothing.
fn part_of(own: f64, offers: &[Demand], fronts: usize) -> f64 {
    let mean = offers.iter().map(|o| o.work * o.asked).sum::<f64>() / fronts.max(1) as f64;
    if mean > 0.0 {
        own / mean
    } else {
        0.0
    }
}

/// What all tell of one count. No front counts for more than some times the one in the middle, whatever it says.
fn sum_of(told: &[&[Offered]], name: u32, field: fn(&Offered) -> u32) -> f64 {
    let of = |all: &&[Offered]| all.iter().find(|o| o.workload == name).map_or(0, field);
    let counts: Vec<f64> = told.iter().map(|all| f64::from(of(all)) / UNIT).collect();
    let most = MOST_OF_MEDIAN * median(counts.clone()).max(1.0);
    counts.into_iter().map(|count| count.min(most)).sum()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// What all were asked, by the workloads named, and the share that the front in the middle missed.
fn merged(told: &[&[Offered]], names: &[u32]) -> (f64, Vec<Demand>) {
    let of: Vec<BTreeMap<u32, Offered>> =
        told.iter().map(|all| all.iter().map(|o| (o.workload, *o)).collect()).collect();
    let offers = names.iter().map(|name| {
        let all: Vec<Offered> = of.iter().map(|all| all.get(name).copied().unwrap_or_default()).collect();
        let sum = |field: fn(&Offered) -> u32| sum_of(told, *name, field);
        let work = median(all.iter().filter(|o| o.work_us > 0).map(|o| f64::from(o.work_us)).collect());
        let (asked, ended) = (sum(|o| o.asked), sum(|o| o.ended));
        Demand { asked, ended, timely: sum(|o| o.timely).min(ended), work }
    });
    let missed = of.iter().filter_map(|all| {
        let sum = |field: fn(&Offered) -> u32| all.values().map(|o| f64::from(field(o)) / UNIT).sum::<f64>();
        let (ended, timely) = (sum(|o| o.ended), sum(|o| o.timely));
        (ended >= LEAST_ENDED).then(|| ((ended - timely) / ended).clamp(0.0, 1.0))
    });
    let missed = median(missed.collect());
    (missed, offers.collect())
}

#[cfg(test)]
#[path = "load_tests.rs"]
mod tests;
