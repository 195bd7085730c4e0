//! Statements: the state of each from its arrival until it is finished and has no execution in
//! flight.

use hallmux::interface::{Effect, Micros, Workload};

use crate::executions::{Execution, Terms};
use crate::request::StatementRequest;
use crate::{Dispatcher, Ending, Ticket};

/// A statement that is not finished, or has executions in flight.
pub struct Statement {
    /// The index of its workload.
    pub workload: usize,
    /// The end of its SLO time.
    pub slo_deadline: Micros,
    /// The time limits, memory and priority of its next execution.
    pub terms: Terms,
    /// Whether the statement has its final answer, or its client has disconnected or cancelled it.
    pub finished: bool,
    /// Whether part of the answer was sent to the client. The next end of an execution then ends
    /// the statement.
    pub answer_started: bool,
    /// Whether its transaction continues after it and retains its order key.
    pub transaction_continues: bool,
    /// The name of its order key, if any.
    pub order_key: Option<String>,
    /// Whether the statement needs a ledger entry; its end is then recorded as a ledger event.
    pub needs_ledger_entry: bool,
    /// Whether [`Dispatcher::watched_ends`] returns its end.
    pub end_watched: bool,
    /// Its executions, by number.
    pub executions: Vec<Execution>,
}

/// The time from the first execution during which engines drop repeats of a workload's statements;
/// None if they never drop them.
pub fn repeat_window(workload: &Workload) -> Option<Micros> {
    (workload.effect == Effect::Deduplicated).then_some(workload.dedup_window)
}

impl Statement {
    /// Creates a statement that arrives now.
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

    /// Whether the end of an execution answers the statement. False if it is finished already.
    pub fn is_answered_by(&self, ending: Ending) -> bool {
        let has_answer = ending == Ending::Answered || self.answer_started;
        has_answer && !self.finished
    }

    /// The time until which a retry may be sent if engines drop repeats within `window`, counted
    /// from the first execution that may have run; otherwise unlimited. The scheduler decides
    /// within the window, but the connection may be established later.
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
    /// Allocates a ticket. A caller may also use one for a parent statement that is not submitted
    /// itself but is answered by parts that are.
    pub fn new_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        ticket
    }

    /// Records that the first byte of a statement's answer was sent to its client. The statement is
    /// not executed again.
    pub fn answer_started(&mut self, ticket: Ticket) {
        if let Some(statement) = self.statements.get_mut(&ticket) {
            statement.answer_started = true;
        }
    }

    /// Records that the transaction of a statement continues after its answer. Returns true if the
    /// transaction then retains the statement's order key, until [`Dispatcher::release_order_key`].
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

    /// Requests that [`Dispatcher::watched_ends`] return the end of a statement.
    pub fn watch_end(&mut self, ticket: Ticket) {
        if let Some(statement) = self.statements.get_mut(&ticket) {
            statement.end_watched = true;
        }
    }

    /// Removes and returns the watched statements that, since the last call, have finished and have
    /// no execution in flight.
    pub fn watched_ends(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.watched_ends)
    }
}
