//! Admission: decides whether a statement is within its customer's share and whether the fleet
//! admits it.
//!
//! Inputs: the fleet's arrived, ended and timely statements per workload, and the customers'
//! shares in statements per second.
//!
//! The fleet admits the work that its engines answered plus a quarter, in the order of penalty.
//! Each front sheds the same share on arrival, so shed statements cost the engines nothing.
//!
//! Source: our extension, `docs/design.md`, "Shedding as one"; the customers' shares are part of
//! the contract.

use crate::interface::{Agreement, Demand, FleetDemand, Micros};
use crate::policy::estimates::Mean;
use crate::policy::penalty::PRIOR_TIMELY_STATEMENTS;
use crate::random::Random;
use crate::token_bucket::TokenBucket;

/// Late share of admitted statements above which the fleet counts timely answers only, instead of
/// all answers.
const MAX_FLEET_LATE_SHARE: f64 = 0.15;
/// Admitted work as a multiple of the work that engines answer; a smaller factor would leave
/// engines idle.
const ADMITTED_PER_ANSWERED: f64 = 1.25;
/// Share of the arriving work that is always admitted. Without it no answers would show that
/// capacity is available again.
const MIN_ADMITTED_SHARE: f64 = 0.05;

/// Whether a statement is within its customer's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CustomerShare {
    /// The statement is within the share.
    Within,
    /// The statement is beyond the share.
    Beyond,
}

impl CustomerShare {
    /// The index, 0 or 1, among the two service classes of a workload and customer.
    pub fn index(self) -> usize {
        match self {
            CustomerShare::Within => 0,
            CustomerShare::Beyond => 1,
        }
    }
}

/// Whether the fleet admits a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The fleet admits the statement.
    Admitted,
    /// The fleet admits only a share of the workload's statements, and this one is outside it.
    OverFleetQuota,
}

/// The admission state: customers' shares and the fleet's demand as known to this front.
#[derive(Default)]
pub struct Admission {
    /// Each customer's share in statements per second, over all fronts.
    customers_per_s: Vec<f64>,
    fronts: f64,
    /// One bucket per customer, filled at this front's part of the customer's share.
    buckets: Vec<TokenBucket>,
    /// The fraction of each customer's statements at the fleet that is beyond its share; missing
    /// if unknown.
    beyond: Vec<f64>,
    /// The mean fraction of each workload's statements at this front that are beyond their
    /// customers' shares.
    beyond_share_means: Vec<Mean>,
    /// The admitted fraction of each workload, within and beyond customers' shares; missing if all
    /// are admitted.
    admitted: Vec<f64>,
}

impl Admission {
    /// Creates the state without knowledge of the fleet's demand: all statements are admitted.
    pub fn new(agreement: &Agreement) -> Self {
        let full = TokenBucket::new(f64::INFINITY);
        Admission {
            customers_per_s: agreement.customers.clone(),
            fronts: agreement.fronts,
            buckets: vec![full; agreement.customers.len()],
            beyond_share_means: vec![Mean::default(); agreement.workloads.len()],
            ..Admission::default()
        }
    }

    /// Whether an arriving statement is within its customer's share. If the fleet's demand is
    /// known, the fleet-wide fraction beyond the share is drawn at random, whichever fronts a
    /// customer uses. Otherwise this front's part of the share decides.
    pub fn customer_share(
        &mut self,
        workload: usize,
        customer: usize,
        random: &mut Random,
        now: Micros,
    ) -> CustomerShare {
        let share = self.customers_per_s.get(customer);
        let rate = share.map_or(f64::INFINITY, |share| share / self.fronts);
        let bucket = self.buckets.get_mut(customer);
        let beyond_here = bucket.is_some_and(|bucket| !bucket.try_take(rate, now));
        let beyond = match self.beyond.get(customer) {
            Some(share) => random.next() < *share,
            None => beyond_here,
        };
        self.beyond_share_means[workload].add(f64::from(u8::from(beyond)));
        if beyond {
            CustomerShare::Beyond
        } else {
            CustomerShare::Within
        }
    }

    /// Whether the fleet admits a statement. A sticky statement is always admitted, as an open
    /// transaction waits for it.
    pub fn check(
        &self,
        workload: usize,
        share: CustomerShare,
        sticky: bool,
        random: &mut Random,
    ) -> AdmissionOutcome {
        let index = workload * 2 + share.index();
        let admitted = self.admitted.get(index).copied().unwrap_or(1.0);
        if admitted >= 1.0 || sticky || random.next() < admitted {
            AdmissionOutcome::Admitted
        } else {
            AdmissionOutcome::OverFleetQuota
        }
    }

    /// Updates the admitted fractions from the fleet's demand. `penalty` gives the rank of a
    /// workload's statements, within or beyond customers' shares, at a conformance.
    pub fn update_demand(
        &mut self,
        fleet: &FleetDemand,
        penalty: impl Fn(usize, CustomerShare, f64) -> f64,
    ) {
        self.beyond = beyond_shares(&fleet.customers_per_s, &self.customers_per_s);
        let workloads = fleet.workloads.iter().zip(&self.beyond_share_means);
        let parts: Vec<Demand> = workloads
            .flat_map(|(demand, beyond)| demand.split(beyond.value()))
            .collect();
        let rank = |part: usize| {
            let share = if part % 2 == 1 {
                CustomerShare::Beyond
            } else {
                CustomerShare::Within
            };
            let conformance = parts[part].conformance(PRIOR_TIMELY_STATEMENTS);
            penalty(part / 2, share, conformance)
        };
        self.admitted = admit_by_rank(admitted_work(fleet), &parts, rank);
    }
}

/// The work that the fleet admits, in microseconds on one thread.
fn admitted_work(fleet: &FleetDemand) -> f64 {
    let late = fleet.late_share > MAX_FLEET_LATE_SHARE;
    let served = |demand: &Demand| {
        let answered = if late { demand.timely } else { demand.ended };
        demand.work * ADMITTED_PER_ANSWERED * answered
    };
    let arrived: f64 = fleet.workloads.iter().map(Demand::arrived_work).sum();
    let served: f64 = fleet.workloads.iter().map(served).sum();
    served.max(MIN_ADMITTED_SHARE * arrived)
}

/// The fraction of each customer's arrivals that is beyond its allowed rate.
fn beyond_shares(arrived: &[f64], allowed: &[f64]) -> Vec<f64> {
    let beyond = |(arrived, allowed): (&f64, &f64)| {
        (arrived - allowed).max(0.0) / arrived.max(f64::MIN_POSITIVE)
    };
    arrived.iter().zip(allowed).map(beyond).collect()
}

impl Demand {
    /// Splits the demand into the parts within and beyond customers' shares. Timely answers count
    /// towards the part within the shares first.
    fn split(&self, beyond: f64) -> [Demand; 2] {
        let within = Demand {
            arrived: self.arrived * (1.0 - beyond),
            timely: self.timely.min(self.arrived * (1.0 - beyond)),
            ..*self
        };
        let beyond = Demand {
            arrived: self.arrived * beyond,
            timely: self.timely - within.timely,
            ..*self
        };
        [within, beyond]
    }

    /// The timely fraction of the arrived statements, with `prior_timely` timely statements added.
    fn conformance(&self, prior_timely: f64) -> f64 {
        (self.timely + prior_timely) / (self.arrived + prior_timely)
    }

    /// The work of all arrived statements on one thread, in microseconds.
    fn arrived_work(&self) -> f64 {
        self.work * self.arrived
    }
}

/// The fraction of each demand that fits into the given work, assigned by descending rank. Demands
/// without work are admitted in full.
fn admit_by_rank(work: f64, demands: &[Demand], rank: impl Fn(usize) -> f64) -> Vec<f64> {
    let mut remaining = work;
    let mut shares = vec![1.0; demands.len()];
    let mut ranked: Vec<(f64, usize)> = (0..demands.len())
        .map(|index| (rank(index), index))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    let has_work = |(_, index): &(f64, usize)| demands[*index].arrived_work() > 0.0;
    for (_, index) in ranked.into_iter().filter(has_work) {
        let arrived = demands[index].arrived_work();
        shares[index] = (remaining / arrived).min(1.0);
        remaining = (remaining - arrived).max(0.0);
    }
    shares
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
