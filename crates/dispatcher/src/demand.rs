//! What this front is asked, by workload, as it is told to other fronts; and what they were asked, as the
//! module hears it.

use hallmux::interface::{Event, FleetDemand, Micros};

use crate::statements::Statement;
use crate::{Dispatcher, Ticket};

const HALF_LIFE: Micros = 2_000_000; // microseconds until a count is worth half: the load of some seconds
/// The count of an even demand over its rate a second, in seconds: what counts hold of a rate.
pub const DEMAND_SECONDS: f64 = HALF_LIFE as f64 / 1e6 / std::f64::consts::LN_2;
const LEAST_WEIGHT: f64 = 0.05; // weight of the newest sample in the mean work

/// What was asked of a workload lately; counts halve with time.
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
    at: Micros,
}

impl DemandCounts {
    fn fade(&mut self, now: Micros) {
        let left = 0.5f64.powf((now - self.at) as f64 / HALF_LIFE as f64);
        (self.asked, self.ended, self.timely, self.at) = (
            self.asked * left,
            self.ended * left,
            self.timely * left,
            now,
        );
    }

    pub(crate) fn record_arrival(&mut self, now: Micros) {
        self.fade(now);
        self.asked += 1.0;
    }

    pub(crate) fn record_end(&mut self, now: Micros, timely: bool) {
        self.fade(now);
        self.ended += 1.0;
        self.timely += f64::from(u8::from(timely));
    }

    fn record_work(&mut self, work: f64) {
        self.work += (work - self.work) * if self.work > 0.0 { LEAST_WEIGHT } else { 1.0 };
    }
}

impl Dispatcher {
    /// The demand on this front over the last seconds, by the names of workloads.
    pub fn workload_demand(&mut self, now: Micros) -> impl Iterator<Item = (&str, &DemandCounts)> {
        self.workload_demand.iter_mut().for_each(|o| o.fade(now));
        self.names
            .workloads
            .iter()
            .map(String::as_str)
            .zip(&self.workload_demand)
    }

    /// The same by the names of customers; nothing where none has an agreed share, None for one without.
    pub fn customer_demand(
        &mut self,
        now: Micros,
    ) -> impl Iterator<Item = (&str, Option<&DemandCounts>)> {
        self.customer_demand
            .iter_mut()
            .for_each(|(_, o)| o.fade(now));
        let any = self.customer_demand.iter().any(|(shared, _)| *shared);
        let all = self
            .names
            .customers
            .iter()
            .map(String::as_str)
            .zip(&self.customer_demand)
            .filter(move |_| any);
        all.map(|(name, (shared, asked))| (name, Some(asked).filter(|_| *shared)))
    }

    /// Hands the demand on the fleet to the module, in the order of workloads and customers.
    pub fn fleet_demand(&mut self, demand: FleetDemand) {
        self.events.push(Event::FleetDemand(demand));
    }

    /// An execution has answered its statement.
    pub(crate) fn count_answer(&mut self, now: Micros, ticket: Ticket, took: Micros) {
        let Some(s) = self.statements.get(&ticket) else {
            return;
        };
        let Some(demand) = self.workload_demand.get_mut(s.workload) else {
            return;
        };
        demand.record_end(now, now <= s.in_time_until);
        demand.record_work(took as f64 * self.workloads.get(s.workload).map_or(1.0, |w| w.threads));
    }

    /// Rejected or aborted; one that the module did not let in, as it ended when it came, counts as asked
    /// alone.
    pub(crate) fn count_shed(&mut self, now: Micros, ticket: Ticket, first_new: Option<Ticket>) {
        let admitted =
            |s: &&Statement| !s.executions.is_empty() || first_new.is_none_or(|new| ticket < new);
        let Some(s) = self.statements.get(&ticket).filter(admitted) else {
            return;
        };
        self.workload_demand
            .get_mut(s.workload)
            .into_iter()
            .for_each(|o| o.record_end(now, false));
    }
}

#[cfg(test)]
#[path = "demand_tests.rs"]
mod tests;
