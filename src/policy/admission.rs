//! Admission: is a statement inside its customer's share, and does the fleet admit it?
//!
//! Inputs: the fleet's demand, ends and timely ends of each workload, the customers' shares (statements a second).
//! Reason: the fleet admits what its engines answered and a quarter more, first where the penalty is highest; each front
//! sheds the same share on arrival, so that what is shed costs no engine anything.
//! Source: our extension, `docs/design.md`, "Shedding as one"; customers' shares: the contract.

use crate::interface::{Agreement, Demand, FleetDemand, Micros};
use crate::policy::estimates::Mean;
use crate::policy::penalty::PRIOR_TIMELY_STATEMENTS;
use crate::random::Random;
use crate::token_bucket::TokenBucket;

/// Late share of admitted statements above which the fleet admits by timely answers, not by all answers.
const MAX_FLEET_LATE_SHARE: f64 = 0.15;
/// Times what engines answer that the fleet admits; less would leave them idle.
const ADMITTED_PER_ANSWERED: f64 = 1.25;
/// Share of what is asked that is admitted in any case; else nothing would tell that there is capacity again.
const MIN_ADMITTED_SHARE: f64 = 0.05;

/// How a statement stands against its customer's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CustomerShare {
    /// Inside it.
    Within,
    /// Beyond it.
    Beyond,
}

impl CustomerShare {
    /// Its place, 0 or 1, among the two classes of a workload and customer.
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
    /// It does.
    Admitted,
    /// The fleet admits a share of the workload's statements, and this one is not in it.
    OverFleetQuota,
}

/// What this front knows of shares and of the fleet's demand.
#[derive(Default)]
pub struct Admission {
    /// Statements a second inside each customer's share: over all fronts.
    customers_per_s: Vec<f64>,
    fronts: f64,
    /// This front's part of each customer's share.
    buckets: Vec<TokenBucket>,
    /// The share of what each customer asks the fleet that is beyond its own; none: not known.
    beyond: Vec<f64>,
    /// The share of each workload's statements here that are beyond their customers' shares.
    beyond_share_means: Vec<Mean>,
    /// The admitted share of each workload, inside and beyond customers' shares; none: all.
    admitted: Vec<f64>,
}

impl Admission {
    /// Nothing is known of the fleet yet: all is admitted.
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

    /// How an arriving statement stands against its customer's share. Where the fleet's figures are known they say how
    /// much is beyond, whichever fronts a customer asks; else this front's part of the share does.
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

    /// Whether the fleet admits a statement; what an open transaction waits for always.
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

    /// The fleet's demand changed. `penalty` ranks a workload's statements, inside or beyond customers' shares, at a
    /// conformance.
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

/// Of each customer the share of what it asks a second that is beyond its own.
fn beyond_shares(arrived: &[f64], allowed: &[f64]) -> Vec<f64> {
    let beyond = |(arrived, allowed): (&f64, &f64)| {
        (arrived - allowed).max(0.0) / arrived.max(f64::MIN_POSITIVE)
    };
    arrived.iter().zip(allowed).map(beyond).collect()
}

impl Demand {
    /// What of it is within customers' shares and what beyond: of those within more came in time.
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

    /// The share of what was asked that was answered in time, with so many timely ones on top.
    fn conformance(&self, prior_timely: f64) -> f64 {
        (self.timely + prior_timely) / (self.arrived + prior_timely)
    }

    /// What all that was asked takes on one thread, in microseconds.
    fn arrived_work(&self) -> f64 {
        self.work * self.arrived
    }
}

/// The share of each that fits into so much work, those of the highest rank first; all of what takes none.
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
