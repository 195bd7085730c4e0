//! The demand on this front by workload and customer, for other fronts, and the fleet's demand for the decision
//! module.

use hallmux::interface::{Event, FleetDemand, Micros};

use crate::{Dispatcher, Ticket};

/// Microseconds until a count is worth half.
const HALF_LIFE: Micros = 2_000_000;
/// The count of an even demand over its rate a second, in seconds: what counts hold of a rate.
pub const DEMAND_WINDOW_SECONDS: f64 = HALF_LIFE as f64 / 1e6 / std::f64::consts::LN_2;
/// The weight of the newest sample in the mean work.
const SAMPLE_WEIGHT: f64 = 0.05;

/// What was asked of a workload or by a customer lately; counts halve with time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandCounts {
    /// Statements that arrived.
    pub asked: f64,
    /// Statements, of those admitted, that had their final answer.
    pub ended: f64,
    /// Statements, of those ended, that were answered within their SLO time.
    pub timely: f64,
    /// The mean work of a statement on one thread, in microseconds; 0 where none was answered yet.
    pub work: f64,
    /// The time for which the counts stand.
    counted_at: Micros,
}

/// The demand of one customer.
pub struct CustomerDemand {
    /// Whether a share is agreed with the customer.
    pub has_share: bool,
    /// What the customer asked lately.
    pub counts: DemandCounts,
}

impl DemandCounts {
    fn decay(&mut self, now: Micros) {
        let remaining_share = 0.5f64.powf((now - self.counted_at) as f64 / HALF_LIFE as f64);
        self.asked *= remaining_share;
        self.ended *= remaining_share;
        self.timely *= remaining_share;
        self.counted_at = now;
    }

    pub(crate) fn record_arrival(&mut self, now: Micros) {
        self.decay(now);
        self.asked += 1.0;
    }

    pub(crate) fn record_end(&mut self, now: Micros, timely: bool) {
        self.decay(now);
        self.ended += 1.0;
        self.timely += f64::from(u8::from(timely));
    }

    fn record_work(&mut self, work: f64) {
        let has_samples = self.work > 0.0;
        let weight = if has_samples { SAMPLE_WEIGHT } else { 1.0 };
        self.work += (work - self.work) * weight;
    }
}

impl Dispatcher {
    /// The demand on this front over the last seconds, by the names of workloads.
    pub fn workload_demand(&mut self, now: Micros) -> impl Iterator<Item = (&str, &DemandCounts)> {
        for demand in &mut self.workload_demand {
            demand.decay(now);
        }
        let names = self.names.workloads.iter().map(String::as_str);
        names.zip(&self.workload_demand)
    }

    /// The same by the names of customers; nothing where none has an agreed share, None for one without.
    pub fn customer_demand(
        &mut self,
        now: Micros,
    ) -> impl Iterator<Item = (&str, Option<&DemandCounts>)> {
        for demand in &mut self.customer_demand {
            demand.counts.decay(now);
        }
        let any_share = self.customer_demand.iter().any(|demand| demand.has_share);
        let names = self.names.customers.iter().map(String::as_str);
        names
            .zip(&self.customer_demand)
            .filter(move |_| any_share)
            .map(|(name, demand)| (name, demand.has_share.then_some(&demand.counts)))
    }

    /// Hands the demand on the fleet to the module, in the order of workloads and customers.
    pub fn set_fleet_demand(&mut self, demand: FleetDemand) {
        self.events.push(Event::FleetDemand(demand));
    }

    /// A statement arrives.
    pub(crate) fn count_arrival(&mut self, now: Micros, workload: usize, customer: usize) {
        self.workload_demand[workload].record_arrival(now);
        if let Some(demand) = self.customer_demand.get_mut(customer) {
            demand.counts.record_arrival(now);
        }
    }

    /// A statement is answered by an execution that took so many microseconds.
    pub(crate) fn count_answer(&mut self, now: Micros, ticket: Ticket, took: Micros) {
        let Some(statement) = self.statements.get(&ticket) else {
            return;
        };
        let Some(demand) = self.workload_demand.get_mut(statement.workload) else {
            return;
        };
        let workload = self.workloads.get(statement.workload);
        let threads = workload.map_or(1.0, |workload| workload.threads);
        demand.record_end(now, now <= statement.slo_deadline);
        demand.record_work(took as f64 * threads);
    }

    /// A statement is rejected or aborted. One that the module did not admit, as it ended when it came, counts as
    /// asked alone; `first_new` is the first statement that came since the last decisions.
    pub(crate) fn count_shed(&mut self, now: Micros, ticket: Ticket, first_new: Option<Ticket>) {
        let Some(statement) = self.statements.get(&ticket) else {
            return;
        };
        let arrived_before = first_new.is_none_or(|first| ticket < first);
        let admitted = arrived_before || !statement.executions.is_empty();
        if !admitted {
            return;
        }
        if let Some(demand) = self.workload_demand.get_mut(statement.workload) {
            demand.record_end(now, false);
        }
    }
}

#[cfg(test)]
#[path = "demand_tests.rs"]
mod tests;
