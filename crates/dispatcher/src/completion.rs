//! The end of executions and statements; what nobody needs any more is let go.

use hallmux::interface::{Event, ExecutionEnded, LoadReport, Micros};

use crate::promises::{PromiseEvent, StatementOver};
use crate::{Deadline, Dispatcher, Ending, Ticket};

impl Dispatcher {
    /// Says how an execution ended, with the engine's load report and the statement's cost where the answer
    /// carried them. True if this ends its statement: its answer now goes to the client. An execution that has
    /// ended before is passed over.
    pub fn report(
        &mut self,
        now: Micros,
        ticket: Ticket,
        execution: usize,
        ending: Ending,
        report: Option<LoadReport>,
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
        let ends_statement = statement.answered_by(ending);
        statement.over |= ends_statement;
        let settled = statement.over;
        let keeps_order_key = ends_statement && self.share_order_key(ticket, ending);
        self.events.push(Event::ExecutionEnded(ExecutionEnded {
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
        self.forget(now, ticket);
        ends_statement
    }

    /// Where the transaction of a statement that is answered goes on, it keeps the order key: whether it does.
    fn share_order_key(&mut self, ticket: Ticket, ending: Ending) -> bool {
        let Some(statement) = self.statements.get(&ticket) else {
            return false;
        };
        if ending != Ending::Answered || !statement.transaction_goes_on {
            return false;
        }
        if let Some(name) = &statement.order_key {
            self.order_keys.share(name);
            if statement.needs_promises {
                let kept = PromiseEvent::KeyKept(name.clone());
                self.promise_events.push(kept);
            }
        }
        true
    }

    /// The client no longer waits.
    pub fn client_left(&mut self, now: Micros, ticket: Ticket) {
        let Some(statement) = self.statements.get_mut(&ticket).filter(|s| !s.over) else {
            return;
        };
        statement.over = true;
        // What was withdrawn before it was decided on counts for nothing: the module never hears of it.
        let undecided = |e: &Event| matches!(e, Event::Arrived(a) if a.statement == ticket);
        match self.events.iter().position(undecided) {
            Some(index) => _ = self.events.remove(index),
            None => self.events.push(Event::StatementWithdrawn(ticket)),
        }
        self.forget(now, ticket);
    }

    /// A transaction that kept an order key is over; the key pauses where the transaction may still run.
    pub fn release_order_key(&mut self, now: Micros, name: &str, may_still_run: bool) {
        let Some(key) = self.order_keys.id(name) else {
            return;
        };
        self.events.push(Event::OrderKeyReleased {
            key,
            pauses: may_still_run,
        });
        if self.watches_promises {
            self.promise_events.push(PromiseEvent::KeyFreed {
                key: name.to_string(),
                may_still_run,
            });
        }
        self.order_keys.release(now, name);
    }

    /// A statement has its final answer.
    pub(crate) fn end_statement(&mut self, now: Micros, ticket: Ticket) {
        if let Some(statement) = self.statements.get_mut(&ticket) {
            statement.over = true;
        }
        self.forget(now, ticket);
    }

    /// Lets go of a statement that is over with nothing in flight.
    pub(crate) fn forget(&mut self, now: Micros, ticket: Ticket) {
        let Some(statement) = self.statements.get(&ticket) else {
            return;
        };
        if !statement.over || statement.in_flight().next().is_some() {
            return;
        }
        self.deadlines.remove(&Deadline {
            at: statement.terms.deadline,
            ticket,
        });
        let Some(statement) = self.statements.remove(&ticket) else {
            return;
        };
        if statement.needs_promises {
            let over = StatementOver::new(ticket, &statement);
            self.promise_events.push(PromiseEvent::Over(over));
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
