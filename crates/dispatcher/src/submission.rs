//! The arrival of a statement: its validation and the event that the scheduler receives.

use hallmux::interface::{Arrival, Effect, Event, Micros};

use crate::request::{InvalidRequest, StatementRequest};
use crate::statements::Statement;
use crate::{position, Deadline, Dispatcher, EngineIndex, Ticket};

/// The workload and customer of a request, by indices in the settings.
struct RequestIndices {
    workload: usize,
    customer: usize,
}

impl Dispatcher {
    /// Accepts a statement that arrives now; a later [`Dispatcher::tick`] returns the decisions on
    /// it. On an error nothing is retained of the request.
    pub fn submit(
        &mut self,
        now: Micros,
        request: &StatementRequest,
    ) -> Result<Ticket, InvalidRequest> {
        let RequestIndices { workload, customer } = self.resolve_indices(request)?;
        let allowed = match request.allowed_locations {
            Some(names) => Some(self.allowed_locations(workload, request.sticky_engine, names)?),
            None => None,
        };
        let ticket = self.new_ticket();
        let needs_ledger_entry = self.record_ledger_arrival(ticket, request, workload);
        let key = request.order_key.map(|name| self.order_keys.acquire(name));
        self.events.push(Event::Arrived(Arrival {
            statement: ticket,
            workload,
            customer,
            order_key: key,
            time_left: request.time_left,
            work: request.work,
            memory_mb: request.memory_mb,
            data_set: request.data_set,
            protocols: request.protocol as u8,
            sticky_engine: request.sticky_engine,
            allowed_locations: allowed,
        }));
        self.count_arrival(now, workload, customer);
        let statement = Statement::arrived(
            now,
            request,
            workload,
            &self.workloads[workload],
            needs_ledger_entry,
        );
        self.deadlines.insert(Deadline {
            at: statement.terms.deadline,
            ticket,
        });
        self.statements.insert(ticket, statement);
        Ok(ticket)
    }

    fn resolve_indices(
        &self,
        request: &StatementRequest,
    ) -> Result<RequestIndices, InvalidRequest> {
        let workload = position(&self.names.workloads, request.workload)
            .ok_or(InvalidRequest::UnknownWorkload)?;
        let customer = match position(&self.names.customers, request.customer) {
            Some(customer) => customer,
            None if self.names.customers.is_empty() => 0,
            None => return Err(InvalidRequest::UnknownCustomer),
        };
        let needs_dedup_key = self.workloads[workload].effect == Effect::Deduplicated;
        if needs_dedup_key && request.dedup_key.is_none() {
            return Err(InvalidRequest::MissingDedupKey);
        }
        Ok(RequestIndices { workload, customer })
    }

    /// The indices of the locations that a statement may be sent to. An error if there is none,
    /// since every later attempt would fail as well.
    fn allowed_locations(
        &self,
        workload: usize,
        sticky_engine: Option<EngineIndex>,
        names: &[&str],
    ) -> Result<Vec<usize>, InvalidRequest> {
        let workload_locations = self
            .workloads
            .get(workload)
            .and_then(|w| w.locations.as_ref());
        // A name that the settings lack is skipped: no engine has such a location.
        let allowed: Vec<usize> = names
            .iter()
            .filter_map(|name| position(&self.names.locations, name))
            .filter(|location| {
                workload_locations.is_none_or(|permitted| permitted.contains(location))
            })
            .collect();
        let sticky_location = sticky_engine
            .and_then(|engine_index| self.engines.get(engine_index))
            .map(|engine| engine.entry.location);
        let sticky_is_disallowed = sticky_location.is_some_and(|at| !allowed.contains(&at));
        if allowed.is_empty() || sticky_is_disallowed {
            return Err(InvalidRequest::NoAllowedLocation);
        }
        Ok(allowed)
    }
}

#[cfg(test)]
#[path = "submission_tests.rs"]
mod tests;
