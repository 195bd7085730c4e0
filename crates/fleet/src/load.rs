//! What the fleet is asked: this front's counts go out as its share, those of all that tell come together to what
//! the module hears. Merged figures only; what they mean is decided in the module.

use std::collections::BTreeMap;

use hallmux_dispatcher::{Dispatcher, Micros, Offer};
use hallmux_gossip::node::Node;
use hallmux_gossip::shares::{Offered, MOST_OFFERED};

use crate::{named, Moment};

const LOOK: Micros = 1_000_000; // microseconds between what the module hears: shares are renewed every second and a half
const UNIT: f64 = 16.0; // parts of a statement that counts are told in
const MOST_OF_MEDIAN: f64 = 4.0; // times the median that one front's count may be: some see several times the mean
const LEAST_ENDED: f64 = 2.0; // statements from which a front's share that missed says anything

/// A workload as shares name it.
fn workload(name: &str) -> u32 {
    named(name) as u32
}

#[derive(Default)]
pub(crate) struct Load {
    look: Micros,
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
            let all = dispatcher.offered(at.now).map(|(name, o)| Offered {
                workload: workload(name),
                asked: counts(o.asked),
                ended: counts(o.ended),
                timely: counts(o.timely),
                work_us: o.work.clamp(0.0, f64::from(u32::MAX)) as u32,
            });
            let mut all: Vec<Offered> = all.filter(|o| o.asked > 0 || o.ended > 0).collect();
            all.sort_by_key(|o| std::cmp::Reverse(u64::from(o.asked) * u64::from(o.work_us.max(1))));
            all.truncate(MOST_OFFERED);
            all
        });
        let told: Vec<&[Offered]> = node.offered(at.now).collect();
        let names: Vec<u32> = dispatcher.offered(at.now).map(|(name, _)| workload(name)).collect();
        if !told.is_empty() {
            let (missed, offers) = merged(&told, &names);
            dispatcher.fleet_offered(missed, offers);
        }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// What all were asked, by the workloads named, and the share that the front in the middle missed. No front counts
/// for more than some times the one in the middle, whatever it says.
fn merged(told: &[&[Offered]], names: &[u32]) -> (f64, Vec<Offer>) {
    let of: Vec<BTreeMap<u32, Offered>> =
        told.iter().map(|all| all.iter().map(|o| (o.workload, *o)).collect()).collect();
    let offers = names.iter().map(|name| {
        let all: Vec<Offered> = of.iter().map(|all| all.get(name).copied().unwrap_or_default()).collect();
        let sum = |field: fn(&Offered) -> u32| {
            let counts: Vec<f64> = all.iter().map(|o| f64::from(field(o)) / UNIT).collect();
            let most = MOST_OF_MEDIAN * median(counts.clone()).max(1.0);
            counts.into_iter().map(|count| count.min(most)).sum::<f64>()
        };
        let work = median(all.iter().filter(|o| o.work_us > 0).map(|o| f64::from(o.work_us)).collect());
        let (asked, ended) = (sum(|o| o.asked), sum(|o| o.ended));
        Offer { asked, ended, timely: sum(|o| o.timely).min(ended), work }
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
mod tests {
    use super::*;

    fn of(workload: u32, asked: u32, ended: u32, timely: u32) -> Offered {
        Offered { workload, asked: asked * 16, ended: ended * 16, timely: timely * 16, work_us: 100 }
    }

    #[test]
    fn counts_add_up_in_any_order_and_the_middle_front_says_what_was_missed() {
        let (a, b, c) = ([of(1, 4, 4, 4)], [of(1, 8, 4, 2), of(2, 3, 3, 3)], [of(2, 5, 4, 3)]);
        let (missed, offers) = merged(&[&a, &b, &c], &[1, 2, 3]);
        let rows: Vec<_> = offers.iter().map(|o| (o.asked, o.ended, o.timely, o.work)).collect();
        assert_eq!(rows, [(12.0, 8.0, 6.0, 100.0), (8.0, 7.0, 6.0, 100.0), (0.0, 0.0, 0.0, 0.0)]);
        assert_eq!(missed, 0.25);
        assert_eq!(merged(&[&c, &a, &b], &[1, 2, 3]), (missed, offers));
    }

    #[test]
    fn absurd_load_of_one_front_moves_little() {
        let sane: Vec<[Offered; 1]> = (0..9).map(|_| [of(1, 10, 10, 10)]).collect();
        let liar = [Offered { asked: u32::MAX, ended: u32::MAX, timely: 0, ..of(1, 0, 0, 0) }];
        let mut told: Vec<&[Offered]> = sane.iter().map(|o| &o[..]).collect();
        told.push(&liar);
        let (missed, offers) = merged(&told, &[1]);
        assert_eq!((missed, offers[0].asked, offers[0].timely), (0.0, 130.0, 90.0));
        // More in time than ended, and a workload that nobody knows.
        let odd = [of(9, 5, 5, 5), of(1, 1, 1, 7)];
        assert_eq!(merged(&[&odd], &[1]).1[0].timely, 1.0);
    }
}
