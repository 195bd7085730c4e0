//! Statements: what is known of one from its arrival until it is over with nothing in flight.

use hallmux::interface::{Effect, Micros, Workload};

use crate::executions::{Execution, Terms};
use crate::request::StatementRequest;
use crate::{Dispatcher, Ending, Ticket};

/// A statement from its arrival until it is over with nothing in flight.
pub struct Statement {
    /// The index of its workload.
    pub workload: usize,
    /// When its SLO time is up.
    pub slo_deadline: Micros,
    /// What holds for its next execution.
    pub terms: Terms,
    /// It has its final answer, or its client has left.
    pub finished: bool,
    /// Part of its answer has gone to the client: whatever ends it now ends the statement.
    pub answer_started: bool,
    /// Its transaction goes on when it ends, and keeps its order key.
    pub transaction_continues: bool,
    /// The name of its order key.
    pub order_key: Option<String>,
    /// It depends on promises: its end is a promise event.
    pub needs_ledger_entry: bool,
    /// Its end is returned by [`Dispatcher::watched_ends`].
    pub end_watched: bool,
    /// Its executions, by number.
    pub executions: Vec<Execution>,
}

/// The time for which engines drop the repeats of a workload's statements, from the first execution on; None: they
/// drop none.
pub fn repeat_window(workload: &Workload) -> Option<Micros> {
    (workload.effect == Effect::Deduplicated).then_some(workload.dedup_window)
}

impl Statement {
    /// A statement that arrives now and has not been executed.
    pub fn arrived(
        now: Micros,
        request: &StatementRequest,
        workload_index: usize,
        workload: &Workload,
        needs_ledger_entry: bool,
    ) -> Statement {
        let slo_extra = workload.slo_stretch / workload.threads * request.work;
        Statement {
            workload: workload_index,
            slo_deadline: now + workload.slo_time + slo_extra as Micros,
            terms: Terms {
                deadline: now + request.time_left,
                send_by: Micros::MAX,
                grant_mb: 0.0,
                priority: 1,
            },
            finished: false,
            answer_started: false,
            transaction_continues: false,
            order_key: request.order_key.map(str::to_string),
            needs_ledger_entry,
            end_watched: false,
            executions: Vec::new(),
        }
    }

    /// Whether the statement is answered as one of its executions ends.
    pub fn is_answered_by(&self, ending: Ending) -> bool {
        let has_answer = ending == Ending::Answered || self.answer_started;
        has_answer && !self.finished
    }

    /// Until when a retry may leave, where engines drop repeats within a window: counted from the first execution
    /// that may have run. The decision is made within it, but a connection may come up late.
    pub fn repeat_deadline(&self, window: Option<Micros>) -> Micros {
        let first_sent = self
            .executions
            .iter()
            .filter(|execution| execution.may_have_run())
            .map(|execution| execution.sent)
            .min();
        match (first_sent, window) {
            (Some(sent), Some(window)) => sent + window,
            _ => Micros::MAX,
        }
    }

    /// The numbers of its executions that are in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.executions.len()).filter(|n| self.executions[*n].in_flight)
    }

    /// One of its executions, if that is in flight.
    pub fn execution_in_flight(&self, number: usize) -> Option<&Execution> {
        self.executions.get(number).filter(|x| x.in_flight)
    }

    /// One of its executions, if that is in flight.
    pub fn execution_in_flight_mut(&mut self, number: usize) -> Option<&mut Execution> {
        self.executions.get_mut(number).filter(|x| x.in_flight)
    }

    /// The endings of its executions that have ended.
    pub fn endings(&self) -> impl Iterator<Item = Ending> + '_ {
        self.executions.iter().filter_map(|x| x.ending)
    }
}

impl Dispatcher {
    /// A new ticket. A caller may also take one for what is no statement here itself, but is answered by parts that
    /// are.
    pub fn new_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        ticket
    }

    /// The first byte of a statement's answer goes to its client: it is never executed again.
    pub fn answer_started(&mut self, ticket: Ticket) {
        if let Some(statement) = self.statements.get_mut(&ticket) {
            statement.answer_started = true;
        }
    }

    /// The transaction of a statement goes on once its answer is reported. True if the transaction keeps the
    /// statement's order key from then on, until [`Dispatcher::release_order_key`].
    pub fn keep_order_key(&mut self, ticket: Ticket) -> bool {
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return false;
        };
        let keeps = statement.order_key.is_some() && !statement.finished;
        if keeps {
            statement.transaction_continues = true;
        }
        keeps
    }

    /// The end of a statement is to be returned by [`Dispatcher::watched_ends`].
    pub fn watch_end(&mut self, ticket: Ticket) {
        if let Some(statement) = self.statements.get_mut(&ticket) {
            statement.end_watched = true;
        }
    }

    /// Watched statements that are over with nothing in flight, since the last call.
    pub fn watched_ends(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.watched_ends)
    }
}
