//! What the module decides becomes orders to the network.

use hallmux::interface::{Action, Event, Micros};

use crate::statements::{repeat_window, Execution};
use crate::{Dispatcher, Ending, Place, Ticket};

/// What holds for one execution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The time at which its client stops waiting.
    pub ends: Micros,
    /// It may not leave for its engine later: engines drop its repeats for a while only.
    pub leave_by: Micros,
    /// The memory to grant, in MB; 0 leaves it to the engine.
    pub grant_mb: f64,
    /// 0 to 3; a higher one goes first.
    pub priority: u8,
}

/// What the network is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a statement to an engine.
    Send {
        /// The statement.
        ticket: Ticket,
        /// The number of this execution among those of the statement, from 0.
        execution: usize,
        /// The engine.
        place: Place,
        /// What holds for the execution.
        terms: Terms,
    },
    /// Change the priority of an execution in flight.
    SetPriority {
        /// The statement.
        ticket: Ticket,
        /// The number of the execution.
        execution: usize,
        /// The new priority, 0 to 3.
        priority: u8,
    },
    /// Cancel the execution and report its end: with this ending, or as withdrawn where it never left.
    Cancel {
        /// The statement.
        ticket: Ticket,
        /// The number of the execution.
        execution: usize,
        /// The ending to report.
        ending: Ending,
    },
    /// The final answer: the statement is rejected, and trying again is harmless.
    Reject {
        /// The statement.
        ticket: Ticket,
        /// The time after which the client may try again; None where no time may be named.
        retry_after: Option<Micros>,
    },
    /// The final answer: the statement is aborted, and it may have run.
    Abort {
        /// The statement.
        ticket: Ticket,
    },
    /// Probe an engine.
    Probe {
        /// The engine.
        place: Place,
        /// On behalf of the fleet: only whoever owns that work may send it.
        for_fleet: bool,
    },
    /// From now on this front may make so many connections to each engine.
    SetConnectionRate {
        /// New connections a second.
        connections: f64,
    },
}

impl Dispatcher {
    /// The time at which [`Dispatcher::tick`] is next due; 0 where something waits to be decided on.
    pub fn next_tick(&self) -> Micros {
        if !self.events.is_empty() {
            return 0;
        }
        self.ends
            .first()
            .map_or(self.wake, |(ends, _)| self.wake.min(*ends))
    }

    /// Decides on all that happened since the last call; the orders are to be carried out in this order.
    pub fn tick(&mut self, now: Micros) -> Vec<Command> {
        let mut orders = Vec::new();
        while let Some(&(ends, ticket)) = self.ends.first().filter(|(ends, _)| *ends <= now) {
            self.ends.remove(&(ends, ticket));
            let Some(s) = self.statements.get(&ticket) else {
                continue;
            };
            let ending = Ending::TimeUp;
            orders.extend(s.out().map(|execution| Command::Cancel {
                ticket,
                execution,
                ending,
            }));
        }
        if self.events.is_empty() && now < self.wake {
            return orders;
        }
        if self.wake <= now {
            self.events.push(Event::Woken);
        }
        let mut events = std::mem::take(&mut self.events);
        let mut first_new = None;
        for event in &mut events {
            if let Event::Arrived(arrival) = event {
                first_new.get_or_insert(arrival.statement);
                // Guards against a stop between taking a statement and deciding: its time has run on.
                let ends = self
                    .statements
                    .get(&arrival.statement)
                    .map_or(now, |s| s.terms.ends);
                arrival.time_left = ends - now;
            }
        }
        for action in self.front.decide(now, events) {
            if let Action::Reject { statement, .. } | Action::Abort { statement } = &action {
                self.count_shed(now, *statement, first_new);
            }
            self.order(now, action, &mut orders);
        }
        self.rest(now);
        orders
    }

    fn order(&mut self, now: Micros, action: Action, orders: &mut Vec<Command>) {
        match action {
            Action::Terms {
                statement: ticket,
                grant_mb,
                priority,
            } => {
                let Some(s) = self.statements.get_mut(&ticket) else {
                    return;
                };
                s.terms = Terms {
                    grant_mb,
                    priority,
                    ..s.terms
                };
                orders.extend(s.out().map(|execution| Command::SetPriority {
                    ticket,
                    execution,
                    priority,
                }));
            }
            Action::Execute {
                statement: ticket,
                engine: place,
            } => {
                let Some(s) = self.statements.get_mut(&ticket) else {
                    return;
                };
                let window = repeat_window(&self.workloads[s.workload]);
                let terms = Terms {
                    leave_by: s.repeats_until(window),
                    ..s.terms
                };
                let execution = s.executions.len();
                s.executions.push(Execution {
                    place,
                    sent: now,
                    out: true,
                    held: false,
                    ending: None,
                });
                let engine = &mut self.engines[place];
                if engine.out == 0 {
                    engine.stats.busy_since = now;
                }
                engine.out += 1;
                orders.push(Command::Send {
                    ticket,
                    execution,
                    place,
                    terms,
                });
            }
            Action::Cancel {
                statement: ticket,
                execution,
            } => {
                // What has begun to answer can't be tried elsewhere: it is only stopped with its statement.
                if self
                    .statements
                    .get(&ticket)
                    .is_some_and(|s| s.over || !s.begun)
                {
                    orders.push(Command::Cancel {
                        ticket,
                        execution,
                        ending: Ending::GivenUp,
                    });
                }
            }
            Action::Reject {
                statement: ticket,
                retry_after,
            } => {
                orders.push(Command::Reject {
                    ticket,
                    retry_after,
                });
                self.over(now, ticket);
            }
            Action::Abort { statement: ticket } => {
                orders.push(Command::Abort { ticket });
                self.over(now, ticket);
            }
            Action::Probe { engine: place } => orders.push(Command::Probe {
                place,
                for_fleet: false,
            }),
            Action::ProbeEvacuated { engine: place } => orders.push(Command::Probe {
                place,
                for_fleet: true,
            }),
            Action::Pace { connections } => orders.push(Command::SetConnectionRate { connections }),
            Action::Wake { at } => self.wake = at,
            // The coordinator is followed all the time, asked for or not.
            Action::Subscribe => {}
        }
    }
}

#[cfg(test)]
#[path = "commands_tests.rs"]
mod tests;
