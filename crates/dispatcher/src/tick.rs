//! One iteration of decisions: recorded events are passed to the scheduler, and its actions become
//! commands.

use hallmux::interface::{Action, Event, Micros};

use crate::commands::Command;
use crate::executions::{Execution, Terms};
use crate::statements::repeat_window;
use crate::{Dispatcher, Ending, EngineIndex, RejectCause, Ticket};

impl Dispatcher {
    /// The time at which [`Dispatcher::tick`] is next due, in microseconds; 0 if events are
    /// pending.
    pub fn next_tick(&self) -> Micros {
        if !self.events.is_empty() {
            return 0;
        }
        let next_deadline = self.deadlines.first().map(|deadline| deadline.at);
        next_deadline.map_or(self.next_wake, |at| self.next_wake.min(at))
    }

    /// Decides on all events since the last call. The commands must be carried out in the returned
    /// order.
    pub fn tick(&mut self, now: Micros) -> Vec<Command> {
        let mut commands = Vec::new();
        self.cancel_expired(now, &mut commands);
        if self.events.is_empty() && now < self.next_wake {
            return commands;
        }
        if self.next_wake <= now {
            self.events.push(Event::Woken);
        }
        let mut events = std::mem::take(&mut self.events);
        let first_new_ticket = self.refresh_time_left(now, &mut events);
        for action in self.scheduler.decide(now, events) {
            if let Action::Reject { statement, .. } | Action::Abort { statement, .. } = &action {
                self.count_shed(now, *statement, first_new_ticket);
            }
            self.carry_out(now, action, &mut commands);
        }
        self.order_keys.free_unused(now);
        commands
    }

    /// Cancels the executions in flight of statements whose deadlines have passed.
    fn cancel_expired(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while self.deadlines.first().is_some_and(|first| first.at <= now) {
            let Some(expired) = self.deadlines.pop_first() else {
                return;
            };
            let ticket = expired.ticket;
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

    /// Updates the remaining time of each new statement, which has shrunk if the process was
    /// stalled between accepting it and deciding on it. Returns the first new statement.
    fn refresh_time_left(&self, now: Micros, events: &mut [Event]) -> Option<Ticket> {
        let mut first_new_ticket = None;
        for event in events {
            let Event::Arrived(arrival) = event else {
                continue;
            };
            first_new_ticket.get_or_insert(arrival.statement);
            let statement = self.statements.get(&arrival.statement);
            let deadline = statement.map_or(now, |s| s.terms.deadline);
            arrival.time_left = deadline - now;
        }
        first_new_ticket
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
                engine,
                for_fleet: false,
            }),
            Action::ProbeEvacuated { engine } => commands.push(Command::Probe {
                engine,
                for_fleet: true,
            }),
            Action::SetConnectionRate { connections } => {
                commands.push(Command::SetConnectionRate { connections });
            }
            Action::Wake { at } => self.next_wake = at,
            // The front always subscribes to the coordinator's engine list.
            Action::Subscribe => {}
        }
    }

    /// Sets the memory and priority of a statement's next executions, and the priority of those in
    /// flight.
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

    fn execute(
        &mut self,
        now: Micros,
        ticket: Ticket,
        engine: EngineIndex,
        commands: &mut Vec<Command>,
    ) {
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return;
        };
        let window = repeat_window(&self.workloads[statement.workload]);
        let terms = Terms {
            send_by: statement.repeat_deadline(window),
            ..statement.terms
        };
        let execution = statement.executions.len();
        statement.executions.push(Execution::commanded(now, engine));
        self.engines[engine].execution_started(now);
        commands.push(Command::Send {
            ticket,
            execution,
            engine,
            terms,
        });
    }

    fn cancel(&mut self, ticket: Ticket, execution: usize, commands: &mut Vec<Command>) {
        let Some(statement) = self.statements.get(&ticket) else {
            return;
        };
        // A statement whose answer has started can't be retried elsewhere: its execution is
        // cancelled only once the statement is finished.
        if statement.finished || !statement.answer_started {
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
