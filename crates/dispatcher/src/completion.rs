//! The end of executions and statements, and the removal of statements that are finished.

use hallmux::interface::{Event, ExecutionEnded, LoadReport, Micros};

use crate::ledger_events::{LedgerEvent, StatementFinished};
use crate::{Deadline, Dispatcher, Ending, Ticket};

impl Dispatcher {
    /// Records how an execution ended, with the engine's load report where the answer carried one.
    /// Returns true if this ends the statement, so that its answer is sent to the client. An
    /// execution that is not in flight is ignored.
    pub fn execution_ended(
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
        let ends_statement = statement.is_answered_by(ending);
        statement.finished |= ends_statement;
        let settled = statement.finished;
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
        self.remove_if_finished(now, ticket);
        ends_statement
    }

    /// Lets the transaction of an answered statement retain the order key if the transaction
    /// continues. Returns whether it continues.
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

    /// Records that the client of a statement has disconnected or cancelled it. Ignored if the
    /// statement is unknown or finished.
    pub fn client_left(&mut self, now: Micros, ticket: Ticket) {
        let Some(statement) = self.statements.get_mut(&ticket).filter(|s| !s.finished) else {
            return;
        };
        statement.finished = true;
        // A statement withdrawn before any decision on it is dropped without notifying the
        // scheduler.
        let is_undecided = |e: &Event| matches!(e, Event::Arrived(a) if a.statement == ticket);
        match self.events.iter().position(is_undecided) {
            Some(index) => _ = self.events.remove(index),
            None => self.events.push(Event::StatementWithdrawn(ticket)),
        }
        self.remove_if_finished(now, ticket);
    }

    /// Releases the order key that a transaction retained. With `may_still_run` the scheduler also
    /// lets the key pause, because the transaction may still run on its engine.
    pub fn release_order_key(&mut self, now: Micros, name: &str, may_still_run: bool) {
        let Some(key) = self.order_keys.id(name) else {
            return;
        };
        self.events.push(Event::OrderKeyReleased {
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

    /// Marks a statement as finished, since its final answer was decided.
    pub(crate) fn end_statement(&mut self, now: Micros, ticket: Ticket) {
        if let Some(statement) = self.statements.get_mut(&ticket) {
            statement.finished = true;
        }
        self.remove_if_finished(now, ticket);
    }

    /// Removes a statement that is finished and has no execution in flight, and releases its order
    /// key.
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
