//! The end of executions and statements; what nobody needs any more is let go.

use hallmux::interface::{Ended, Event, Micros, Report};

use crate::ledger_events::{LedgerEvent, StatementFinished};
use crate::{Deadline, Dispatcher, Ending, Ticket};

impl Dispatcher {
    /// Says how an execution ended, with the engine's load report and the statement's cost where the answer
    /// carried them. True if this ends its statement: its answer now goes to the client. An execution that has
    /// ended before is passed over.
    pub fn execution_ended(
        &mut self,
        now: Micros,
        ticket: Ticket,
        execution: usize,
        ending: Ending,
        report: Option<Report>,
    ) -> bool {
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return false;
        };
        let Some(ended) = statement.execution_in_flight_mut(execution) else {
            return false;
        };
        let engine = ended.engine;
        let took = now - ended.sent;
        self.engines[engine].execution_ended(now, ending, ended.held);
        ended.end(ending);
        let ends_statement = statement.is_answered_by(ending);
        statement.finished |= ends_statement;
        let settled = statement.finished;
        let keeps_order_key = ends_statement && self.share_order_key(ticket, ending);
        self.events.push(Event::Ended(Ended {
            statement: ticket,
            execution,
            engine,
            outcome: ending.outcome(),
            took,
            settled,
            keeps_order_key,
            report,
        }));
        if ends_statement {
            self.count_answer(now, ticket, took);
        }
        self.remove_if_finished(now, ticket);
        ends_statement
    }

    /// Where the transaction of a statement that is answered goes on, it keeps the order key: whether it does.
    fn share_order_key(&mut self, ticket: Ticket, ending: Ending) -> bool {
        let Some(statement) = self.statements.get(&ticket) else {
            return false;
        };
        if ending != Ending::Answered || !statement.transaction_continues {
            return false;
        }
        if let Some(name) = &statement.order_key {
            self.order_keys.share(name);
            if statement.needs_ledger_entry {
                let retained = LedgerEvent::KeyRetained(name.clone());
                self.ledger_events.push(retained);
            }
        }
        true
    }

    /// The client no longer waits.
    pub fn client_left(&mut self, now: Micros, ticket: Ticket) {
        let Some(statement) = self.statements.get_mut(&ticket).filter(|s| !s.finished) else {
            return;
        };
        statement.finished = true;
        // What was withdrawn before it was decided on counts for nothing: the module never hears of it.
        let undecided = |e: &Event| matches!(e, Event::Arrived(a) if a.statement == ticket);
        match self.events.iter().position(undecided) {
            Some(index) => _ = self.events.remove(index),
            None => self.events.push(Event::ClientLeft(ticket)),
        }
        self.remove_if_finished(now, ticket);
    }

    /// A transaction that kept an order key is over; the key pauses where the transaction may still run.
    pub fn release_order_key(&mut self, now: Micros, name: &str, may_still_run: bool) {
        let Some(key) = self.order_keys.id(name) else {
            return;
        };
        self.events.push(Event::OrderKeyFreed {
            key,
            pauses: may_still_run,
        });
        if self.ledger_events_enabled {
            self.ledger_events.push(LedgerEvent::KeyReleased {
                key: name.to_string(),
                may_still_run,
            });
        }
        self.order_keys.release(now, name);
    }

    /// A statement has its final answer.
    pub(crate) fn end_statement(&mut self, now: Micros, ticket: Ticket) {
        if let Some(statement) = self.statements.get_mut(&ticket) {
            statement.finished = true;
        }
        self.remove_if_finished(now, ticket);
    }

    /// Lets go of a statement that is over with nothing in flight.
    pub(crate) fn remove_if_finished(&mut self, now: Micros, ticket: Ticket) {
        let Some(statement) = self.statements.get(&ticket) else {
            return;
        };
        if !statement.finished || statement.in_flight().next().is_some() {
            return;
        }
        self.deadlines.remove(&Deadline {
            at: statement.terms.deadline,
            ticket,
        });
        let Some(statement) = self.statements.remove(&ticket) else {
            return;
        };
        if statement.needs_ledger_entry {
            let finished = StatementFinished::new(ticket, &statement);
            self.ledger_events.push(LedgerEvent::Finished(finished));
        }
        if statement.end_watched {
            self.watched_ends.push(ticket);
        }
        if let Some(name) = &statement.order_key {
            self.order_keys.release(now, name);
        }
    }
}

#[cfg(test)]
#[path = "completion_tests.rs"]
mod tests;
