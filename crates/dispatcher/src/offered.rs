//! What this front is asked, by workload, as it is told to other fronts; and what they were asked, as the module hears it.

use hallmux::interface::{Event, FleetDemand, Micros};

use crate::taken::Statement;
use crate::{Dispatcher, Ticket};

const HALVES: Micros = 2_000_000; // microseconds until a count is worth half: the load of some seconds
/// Seconds of an even load that its count comes to.
pub const SPAN: f64 = HALVES as f64 / 1e6 / std::f64::consts::LN_2;
const NEWEST: f64 = 0.05; // weight of the newest sample in the mean work

/// What was asked of a workload lately; counts halve with time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Offered {
    pub asked: f64,
    /// Of those that the module let in: with their final answer, and of these in time.
    pub ended: f64,
    pub timely: f64,
    /// The mean of what one takes on one thread, in microseconds; 0 where none was answered yet.
    pub work: f64,
    at: Micros,
}

impl Offered {
    fn fade(&mut self, now: Micros) {
        let left = 0.5f64.powf((now - self.at) as f64 / HALVES as f64);
        (self.asked, self.ended, self.timely, self.at) =
            (self.asked * left, self.ended * left, self.timely * left, now);
    }

    pub(crate) fn asks(&mut self, now: Micros) {
        self.fade(now);
        self.asked += 1.0;
    }

    pub(crate) fn ends(&mut self, now: Micros, timely: bool) {
        self.fade(now);
        self.ended += 1.0;
        self.timely += f64::from(u8::from(timely));
    }

    fn took(&mut self, work: f64) {
        self.work += (work - self.work) * if self.work > 0.0 { NEWEST } else { 1.0 };
    }
}

impl Dispatcher {
    /// What this front was asked lately, by the names of workloads.
    pub fn offered(&mut self, now: Micros) -> impl Iterator<Item = (&str, &Offered)> {
        self.offered.iter_mut().for_each(|o| o.fade(now));
        self.names.workloads.iter().map(String::as_str).zip(&self.offered)
    }

    /// The same of customers, where any has an agreed share; None: without one.
    pub fn by_customers(&mut self, now: Micros) -> impl Iterator<Item = (&str, Option<&Offered>)> {
        self.customers.iter_mut().for_each(|(_, o)| o.fade(now));
        let any = self.customers.iter().any(|(shared, _)| *shared);
        let all = self.names.customers.iter().map(String::as_str).zip(&self.customers).filter(move |_| any);
        all.map(|(name, (shared, asked))| (name, Some(asked).filter(|_| *shared)))
    }

    /// What the fronts that tell were asked, in the order of workloads and customers.
    pub fn fleet_offered(&mut self, asked: FleetDemand) {
        self.told.push(Event::FleetDemand(asked));
    }

    /// An execution has answered its statement.
    pub(crate) fn answered(&mut self, now: Micros, ticket: Ticket, took: Micros) {
        let Some(s) = self.statements.get(&ticket) else { return };
        let Some(offered) = self.offered.get_mut(s.workload) else { return };
        offered.ends(now, now <= s.in_time_until);
        offered.took(took as f64 * self.threads.get(s.workload).copied().unwrap_or(1.0));
    }

    /// Rejected or aborted; one that the module did not let in, as it ended when it came, counts as asked alone.
    pub(crate) fn ended_without(&mut self, now: Micros, ticket: Ticket, first_new: Option<Ticket>) {
        let let_in = |s: &&Statement| !s.executions.is_empty() || first_new.is_none_or(|new| ticket < new);
        let Some(s) = self.statements.get(&ticket).filter(let_in) else { return };
        self.offered.get_mut(s.workload).into_iter().for_each(|o| o.ends(now, false));
    }
}

#[cfg(test)]
#[path = "offered_tests.rs"]
mod tests;
