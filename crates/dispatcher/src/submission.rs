//! A statement's arrival: what its client asks for, and whether it can be taken.

use hallmux::interface::{Arrival, Effect, Event, Micros};

use crate::statements::Statement;
use crate::{position, Deadline, Dispatcher, Place, Ticket};

/// What a client asks for.
#[derive(Clone, Debug, Default)]
pub struct StatementRequest<'a> {
    /// The name of its workload.
    pub workload: &'a str,
    /// The name of its customer; any where the settings name none.
    pub customer: &'a str,
    /// Its order key.
    pub key: Option<&'a str>,
    /// The key by which engines recognise its repeats.
    pub dedup_key: Option<&'a str>,
    /// The time for which its client still waits, in microseconds.
    pub time_left: Micros,
    /// An estimate of its work on one thread, in microseconds; 0 where there is none.
    pub work: f64,
    /// An estimate of the memory that it needs, in MB; 0 where there is none.
    pub memory_mb: f64,
    /// The data set that it reads or loads, where that is known.
    pub data_set: Option<u32>,
    /// The protocol that it is sent in.
    pub protocol: Protocol,
    /// The engine of the open transaction that it belongs to.
    pub pinned: Option<Place>,
    /// Names of the locations that it may be sent to; None: all that its workload allows.
    pub allowed: Option<&'a [&'a str]>,
}

/// A protocol that statements are sent to engines in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// The line protocol of the engines.
    #[default]
    Lines = 1,
    /// PostgreSQL's protocol 3.
    Postgres = 2,
}

/// Why a statement was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The settings have no such workload.
    UnknownWorkload,
    /// The settings have no such customer.
    UnknownCustomer,
    /// It has no key by which engines could drop its repeats, which its workload needs.
    MissingDedupKey,
    /// No location is allowed to it, or not that of its open transaction.
    NoAllowedLocation,
}

/// Whose statement it is, by indices in the settings.
struct Service {
    workload: usize,
    customer: usize,
}

impl Dispatcher {
    /// Takes a statement that arrives now; what is decided on it comes with a later [`Dispatcher::tick`]. An error
    /// says why it was not taken: then nothing is kept of it.
    pub fn submit(
        &mut self,
        now: Micros,
        request: &StatementRequest,
    ) -> Result<Ticket, InvalidRequest> {
        let Service { workload, customer } = self.service(request)?;
        let allowed = match request.allowed {
            Some(names) => Some(self.allowed_locations(workload, request.pinned, names)?),
            None => None,
        };
        let ticket = self.new_ticket();
        let needs_promises = self.announce_arrival(ticket, request, workload);
        let key = request.key.map(|name| self.order_keys.acquire(name));
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
            sticky_engine: request.pinned,
            allowed_locations: allowed,
        }));
        self.count_arrival(now, workload, customer);
        let statement = Statement::arrived(
            now,
            request,
            workload,
            &self.workloads[workload],
            needs_promises,
        );
        self.deadlines.insert(Deadline {
            at: statement.terms.deadline,
            ticket,
        });
        self.statements.insert(ticket, statement);
        Ok(ticket)
    }

    fn service(&self, request: &StatementRequest) -> Result<Service, InvalidRequest> {
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
        Ok(Service { workload, customer })
    }

    /// The indices of the locations that a statement may be sent to. An error where none is left: as it would be at
    /// any attempt.
    fn allowed_locations(
        &self,
        workload: usize,
        pinned: Option<Place>,
        names: &[&str],
    ) -> Result<Vec<usize>, InvalidRequest> {
        let workload_locations = self
            .workloads
            .get(workload)
            .and_then(|w| w.locations.as_ref());
        // A name that the settings do not have allows nothing: no engine is told apart by it.
        let allowed: Vec<usize> = names
            .iter()
            .filter_map(|name| position(&self.names.locations, name))
            .filter(|location| workload_locations.is_none_or(|all| all.contains(location)))
            .collect();
        let pinned_location = pinned
            .and_then(|place| self.engines.get(place))
            .map(|engine| engine.entry.location);
        let pinned_elsewhere = pinned_location.is_some_and(|at| !allowed.contains(&at));
        if allowed.is_empty() || pinned_elsewhere {
            return Err(InvalidRequest::NoAllowedLocation);
        }
        Ok(allowed)
    }
}

#[cfg(test)]
#[path = "submission_tests.rs"]
mod tests;
