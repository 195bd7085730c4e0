//! Statements: what one asks for, and what is known of it from its arrival until it is over.

use hallmux::interface::{Arrival, Effect, Event, KeyId, Micros, Workload};

use crate::commands::Terms;
use crate::{position, Dispatcher, Ending, Place, Ticket};

/// What a statement asks for.
#[derive(Clone, Debug, Default)]
pub struct StatementRequest<'a> {
    /// The name of its workload.
    pub workload: &'a str,
    /// The name of its customer; any where the settings name none.
    pub customer: &'a str,
    /// Its order key.
    pub key: Option<&'a str>,
    /// The mark by which its repeats are known.
    pub dedup_key: Option<&'a str>,
    /// The time that its client still waits.
    pub time_left: Micros,
    /// An estimate of its work on one thread, in microseconds; 0 where there is none.
    pub work: f64,
    /// An estimate of the memory that it needs, in MB; 0 where there is none.
    pub memory_mb: f64,
    /// The data set that it reads or loads, where that is known.
    pub data_set: Option<u32>,
    /// The protocol that it is sent in.
    pub protocol: Protocol,
    /// The engine of the open transaction it belongs to.
    pub pinned: Option<Place>,
    /// Names of the locations it may be sent to; None: all that its workload allows.
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
    /// It has no mark by which engines could drop its repeats, which its workload needs.
    MissingDedupKey,
    /// No location is allowed to it, or not that of its open transaction.
    NoAllowedLocation,
}

pub struct Execution {
    pub place: Place,
    pub sent: Micros,
    pub out: bool,
    /// It is out, but waits in this front for what it depends on.
    pub held: bool,
    pub ending: Option<Ending>,
}

pub struct Statement {
    pub workload: usize,
    /// When its SLO time is up.
    pub in_time_until: Micros,
    pub terms: Terms,
    pub over: bool,
    /// Part of its answer has gone on: whatever ends it now ends the statement.
    pub begun: bool,
    /// Its transaction goes on when it ends, and keeps its order key.
    pub keeps: bool,
    pub key: Option<String>,
    /// It depends on promises: its end is told.
    pub promised: bool,
    /// Somebody else wants to know of its end.
    pub followed: bool,
    pub executions: Vec<Execution>,
}

/// The time for which engines drop the repeats of a workload's statements, from the first execution on; None: they
/// drop none.
pub fn repeat_window(workload: &Workload) -> Option<Micros> {
    (workload.effect == Effect::Deduplicated).then_some(workload.dedup_window)
}

impl Statement {
    /// One that arrives now and has not been executed.
    fn arrived(
        now: Micros,
        ask: &StatementRequest,
        place: usize,
        workload: &Workload,
        promised: bool,
    ) -> Statement {
        let stretch = workload.slo_stretch / workload.threads * ask.work;
        let ends = now + ask.time_left;
        Statement {
            workload: place,
            in_time_until: now + workload.slo_time + stretch as Micros,
            terms: Terms {
                ends,
                leave_by: Micros::MAX,
                grant_mb: 0.0,
                priority: 1,
            },
            over: false,
            begun: false,
            keeps: false,
            key: ask.key.map(str::to_string),
            promised,
            followed: false,
            executions: Vec::new(),
        }
    }

    /// Until when a further execution may leave, where engines drop repeats within a window: counted from the
    /// first execution that may have run. The decision is made within it, but a connection may come up late.
    pub fn repeats_until(&self, window: Option<Micros>) -> Micros {
        let may_have_run = |x: &&Execution| x.ending.is_none_or(Ending::may_have_run);
        let first = self
            .executions
            .iter()
            .filter(may_have_run)
            .map(|x| x.sent)
            .min();
        first
            .zip(window)
            .map_or(Micros::MAX, |(sent, window)| sent + window)
    }

    /// The numbers of its executions that are out.
    pub fn out(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.executions.len()).filter(|n| self.executions[*n].out)
    }
}

/// An order key while statements of it are held or out, and for the rest that was agreed.
pub struct Key {
    pub id: KeyId,
    pub statements: usize,
}

impl Dispatcher {
    /// A new ticket, for what is no statement here itself but is answered by parts that are.
    pub fn new_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        ticket
    }

    /// The numbers of a statement's executions that were ordered and have not ended.
    pub fn executions_out(&self, ticket: Ticket) -> Vec<usize> {
        self.statements
            .get(&ticket)
            .map_or(Vec::new(), |s| s.out().collect())
    }

    /// Takes a statement that arrives now and asks for an engine; the answer comes with a later
    /// [`Dispatcher::tick`]. An error says why it was not taken: then nothing is kept of it.
    pub fn submit(
        &mut self,
        now: Micros,
        ask: &StatementRequest,
    ) -> Result<Ticket, InvalidRequest> {
        let (workload, customer) = self.agreed_places(ask)?;
        let allowed = ask
            .allowed
            .map(|names| self.allowed(workload, ask.pinned, names))
            .transpose()?;
        let ticket = self.new_ticket();
        let promised = self.announce_arrival(ticket, ask, workload);
        let key = ask.key.map(|key| self.key(key));
        self.events.push(Event::Arrived(Arrival {
            statement: ticket,
            workload,
            customer,
            key,
            time_left: ask.time_left,
            work: ask.work,
            memory_mb: ask.memory_mb,
            data_set: ask.data_set,
            protocols: ask.protocol as u8,
            pinned: ask.pinned,
            allowed,
        }));
        self.workload_demand[workload].record_arrival(now);
        self.customer_demand
            .get_mut(customer)
            .into_iter()
            .for_each(|(_, asked)| asked.record_arrival(now));
        let statement = Statement::arrived(now, ask, workload, &self.workloads[workload], promised);
        self.ends.insert((statement.terms.ends, ticket));
        self.statements.insert(ticket, statement);
        Ok(ticket)
    }

    /// The places of a statement's workload and customer in the agreement.
    fn agreed_places(&self, ask: &StatementRequest) -> Result<(usize, usize), InvalidRequest> {
        let workload =
            position(&self.names.workloads, ask.workload).ok_or(InvalidRequest::UnknownWorkload)?;
        let customer = match position(&self.names.customers, ask.customer) {
            None if !self.names.customers.is_empty() => {
                return Err(InvalidRequest::UnknownCustomer)
            }
            found => found.unwrap_or(0),
        };
        let marked =
            ask.dedup_key.is_some() || self.workloads[workload].effect != Effect::Deduplicated;
        if marked {
            Ok((workload, customer))
        } else {
            Err(InvalidRequest::MissingDedupKey)
        }
    }

    /// The places of the locations allowed. An error where nothing is left to send to: as it would be at any
    /// try.
    fn allowed(
        &self,
        workload: usize,
        pinned: Option<Place>,
        names: &[&str],
    ) -> Result<Vec<usize>, InvalidRequest> {
        // A name that the settings do not have allows nothing: no engine is told apart by it.
        let mut allowed: Vec<usize> = names
            .iter()
            .filter_map(|name| position(&self.names.locations, name))
            .collect();
        let bound = self
            .workloads
            .get(workload)
            .and_then(|w| w.locations.as_ref());
        allowed.retain(|location| bound.is_none_or(|bound| bound.contains(location)));
        let there = |place: Place| self.engines.get(place).map(|e| e.entry.location);
        match pinned.and_then(there) {
            Some(location) if !allowed.contains(&location) => {
                Err(InvalidRequest::NoAllowedLocation)
            }
            _ if allowed.is_empty() => Err(InvalidRequest::NoAllowedLocation),
            _ => Ok(allowed),
        }
    }

    fn key(&mut self, name: &str) -> KeyId {
        let next = self.keys.len() as KeyId;
        let free = &mut self.free_keys;
        let key = self.keys.entry(name.to_string()).or_insert_with(|| Key {
            id: free.pop().unwrap_or(next),
            statements: 0,
        });
        key.statements += 1;
        key.id
    }

    /// The first byte of a statement's answer goes on to its client: it is never executed again.
    pub fn answer_begun(&mut self, ticket: Ticket) {
        if let Some(s) = self.statements.get_mut(&ticket) {
            s.begun = true;
        }
    }

    /// Says that the transaction which a statement belongs to goes on once its answer is reported. True if
    /// the transaction keeps the turn of an order key from then on, until `freed`.
    pub fn keep_order_key(&mut self, ticket: Ticket) -> bool {
        let workload_keeps = |s: &Statement| s.key.is_some() && !s.over;
        match self
            .statements
            .get_mut(&ticket)
            .filter(|s| workload_keeps(s))
        {
            Some(s) => {
                s.keeps = true;
                true
            }
            None => false,
        }
    }
}

#[cfg(test)]
#[path = "statements_tests.rs"]
mod tests;
