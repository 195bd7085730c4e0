//! The demand on this front by workload and customer, which is reported to peers, and the fleet's
//! demand, which is passed to the scheduler.

use hallmux::interface::{Event, FleetDemand, Micros};

use crate::{Dispatcher, Ticket};

/// Microseconds in which a count decays to half.
const HALF_LIFE: Micros = 2_000_000;
/// The ratio of a decayed count to the rate per second of a steady demand, in seconds. Dividing a
/// count by this window gives a rate per second.
pub const DEMAND_WINDOW_SECONDS: f64 = HALF_LIFE as f64 / 1e6 / std::f64::consts::LN_2;
/// The weight of the newest sample in the moving average of work.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Recent demand of a workload or a customer. The counts decay exponentially.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandCounts {
    /// Statements that arrived.
    pub asked: f64,
    /// Admitted statements that received their final answer.
    pub ended: f64,
    /// Ended statements that were answered within their SLO time.
    pub timely: f64,
    /// The mean work of a statement on one thread, in microseconds; 0 if none was answered yet.
    pub work: f64,
    /// The time to which the counts have been decayed.
    counted_at: Micros,
}

/// The demand of one customer.
pub struct CustomerDemand {
    /// Whether the agreement gives the customer a share.
    pub has_share: bool,
    /// The customer's recent demand.
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
    /// The recent demand on this front by workload name.
    pub fn workload_demand(&mut self, now: Micros) -> impl Iterator<Item = (&str, &DemandCounts)> {
        for demand in &mut self.workload_demand {
            demand.decay(now);
        }
        let names = self.names.workloads.iter().map(String::as_str);
        names.zip(&self.workload_demand)
    }

    /// The recent demand on this front by customer name: empty if no customer has an agreed share,
    /// and None for a customer without one.
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

    /// Passes the demand on the whole fleet to the scheduler; its entries follow the order of
    /// workloads and customers in the settings.
    pub fn set_fleet_demand(&mut self, demand: FleetDemand) {
        self.events.push(Event::FleetDemand(demand));
    }

    /// Counts the arrival of a statement.
    pub(crate) fn count_arrival(&mut self, now: Micros, workload: usize, customer: usize) {
        self.workload_demand[workload].record_arrival(now);
        if let Some(demand) = self.customer_demand.get_mut(customer) {
            demand.counts.record_arrival(now);
        }
    }

    /// Counts a statement that was answered by an execution of `took` microseconds.
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

    /// Counts the end of a statement that is rejected or aborted. A statement that the scheduler
    /// never admitted, because it was rejected on arrival, counts as asked only. `first_new_ticket` is the
    /// first statement that arrived since the last decisions.
    pub(crate) fn count_shed(
        &mut self,
        now: Micros,
        ticket: Ticket,
        first_new_ticket: Option<Ticket>,
    ) {
        let Some(statement) = self.statements.get(&ticket) else {
            return;
        };
        let arrived_before = first_new_ticket.is_none_or(|first| ticket < first);
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
