//! A round of decisions: what has happened goes to the decision module, and what it decides becomes commands.

use hallmux::interface::{Action, Event, Micros};

use crate::commands::Command;
use crate::executions::{Execution, Terms};
use crate::statements::repeat_window;
use crate::{Dispatcher, Ending, Place, RejectCause, Ticket};

impl Dispatcher {
    /// The time at which [`Dispatcher::tick`] is next due, in microseconds; 0 where something waits to be decided
    /// on.
    pub fn next_tick(&self) -> Micros {
        if !self.events.is_empty() {
            return 0;
        }
        let next_deadline = self.deadlines.first().map(|deadline| deadline.at);
        next_deadline.map_or(self.wake, |at| self.wake.min(at))
    }

    /// Decides on all that happened since the last call; the commands are to be carried out in this order.
    pub fn tick(&mut self, now: Micros) -> Vec<Command> {
        let mut commands = Vec::new();
        self.cancel_overdue(now, &mut commands);
        if self.events.is_empty() && now < self.wake {
            return commands;
        }
        if self.wake <= now {
            self.events.push(Event::Woken);
        }
        let mut events = std::mem::take(&mut self.events);
        let first_new = self.refresh_time_left(now, &mut events);
        for action in self.scheduler.decide(now, events) {
            if let Action::Reject { statement, .. } | Action::Abort { statement, .. } = &action {
                self.count_shed(now, *statement, first_new);
            }
            self.carry_out(now, action, &mut commands);
        }
        self.order_keys.free_unused(now);
        commands
    }

    /// Cancels what is in flight for statements whose clients wait no longer.
    fn cancel_overdue(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while self.deadlines.first().is_some_and(|first| first.at <= now) {
            let Some(due) = self.deadlines.pop_first() else {
                return;
            };
            let ticket = due.ticket;
            let Some(statement) = self.statements.get(&ticket) else {
                continue;
            };
            commands.extend(statement.in_flight().map(|execution| Command::Cancel {
                ticket,
                execution,
                ending: Ending::TimeUp,
            }));
        }
    }

    /// Sets what each new statement has left now, and returns the first of them. Guards against a stop between taking
    /// a statement and deciding: its time has run on.
    fn refresh_time_left(&self, now: Micros, events: &mut [Event]) -> Option<Ticket> {
        let mut first_new = None;
        for event in events {
            let Event::Arrived(arrival) = event else {
                continue;
            };
            first_new.get_or_insert(arrival.statement);
            let statement = self.statements.get(&arrival.statement);
            let deadline = statement.map_or(now, |s| s.terms.deadline);
            arrival.time_left = deadline - now;
        }
        first_new
    }

    fn carry_out(&mut self, now: Micros, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::SetResources {
                statement,
                grant_mb,
                priority,
            } => self.set_terms(statement, grant_mb, priority, commands),
            Action::Execute { statement, engine } => {
                self.execute(now, statement, engine, commands);
            }
            Action::Cancel {
                statement,
                execution,
            } => self.cancel(statement, execution, commands),
            Action::Reject {
                statement,
                retry_after,
                reason,
            } => {
                commands.push(Command::Reject {
                    ticket: statement,
                    retry_after,
                    cause: RejectCause::Scheduler(reason),
                });
                self.end_statement(now, statement);
            }
            Action::Abort { statement, reason } => {
                commands.push(Command::Abort {
                    ticket: statement,
                    cause: RejectCause::Scheduler(reason),
                });
                self.end_statement(now, statement);
            }
            Action::Probe { engine } => commands.push(Command::Probe {
                place: engine,
                for_fleet: false,
            }),
            Action::ProbeEvacuated { engine } => commands.push(Command::Probe {
                place: engine,
                for_fleet: true,
            }),
            Action::SetConnectionRate { connections } => {
                commands.push(Command::SetConnectionRate { connections });
            }
            Action::Wake { at } => self.wake = at,
            // The coordinator is followed all the time, asked for or not.
            Action::Subscribe => {}
        }
    }

    /// Sets the memory and priority of a statement's next executions, and the priority of those in flight.
    fn set_terms(
        &mut self,
        ticket: Ticket,
        grant_mb: f64,
        priority: u8,
        commands: &mut Vec<Command>,
    ) {
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return;
        };
        statement.terms.grant_mb = grant_mb;
        statement.terms.priority = priority;
        commands.extend(statement.in_flight().map(|execution| Command::SetPriority {
            ticket,
            execution,
            priority,
        }));
    }

    fn execute(&mut self, now: Micros, ticket: Ticket, engine: Place, commands: &mut Vec<Command>) {
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return;
        };
        let window = repeat_window(&self.workloads[statement.workload]);
        let terms = Terms {
            leave_by: statement.repeats_until(window),
            ..statement.terms
        };
        let execution = statement.executions.len();
        statement.executions.push(Execution::sent(now, engine));
        self.engines[engine].execution_begun(now);
        commands.push(Command::Send {
            ticket,
            execution,
            place: engine,
            terms,
        });
    }

    fn cancel(&mut self, ticket: Ticket, execution: usize, commands: &mut Vec<Command>) {
        let Some(statement) = self.statements.get(&ticket) else {
            return;
        };
        // What has begun to answer can't be retried elsewhere: it is only cancelled with its statement.
        if statement.over || !statement.answer_begun {
            commands.push(Command::Cancel {
                ticket,
                execution,
                ending: Ending::GivenUp,
            });
        }
    }
}

#[cfg(test)]
#[path = "tick_tests.rs"]
mod tests;
