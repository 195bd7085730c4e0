//! Executions: the attempts of a statement at engines, from the command that sends one until its end.

use hallmux::interface::{Event, Micros, ProgressReport};

use crate::{Dispatcher, Ending, Place, Ticket};

/// What holds for one execution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The time at which its client stops waiting, in microseconds.
    pub deadline: Micros,
    /// The time, in microseconds, after which it may no longer leave for its engine: engines drop its repeats for a
    /// while only.
    pub leave_by: Micros,
    /// The memory to grant, in MB; 0 leaves it to the engine.
    pub grant_mb: f64,
    /// 0 to 3; a higher one goes first.
    pub priority: u8,
}

/// One attempt of a statement at an engine.
pub struct Execution {
    pub engine: Place,
    /// When it was commanded, or when it left this front if it was held first.
    pub sent: Micros,
    /// It was commanded and has not ended.
    pub in_flight: bool,
    /// It is in flight, but waits in this front for what it depends on.
    pub held: bool,
    /// How it ended, once it has.
    pub ending: Option<Ending>,
}

impl Execution {
    /// An execution that is commanded now.
    pub fn sent(now: Micros, engine: Place) -> Execution {
        Execution {
            engine,
            sent: now,
            in_flight: true,
            held: false,
            ending: None,
        }
    }

    /// It has ended.
    pub fn end(&mut self, ending: Ending) {
        self.in_flight = false;
        self.held = false;
        self.ending = Some(ending);
    }

    /// Whether it may have run, or may still run.
    pub fn may_have_run(&self) -> bool {
        self.ending.is_none_or(Ending::may_have_run)
    }
}

impl Dispatcher {
    /// The numbers of a statement's executions that are in flight.
    pub fn executions_out(&self, ticket: Ticket) -> Vec<usize> {
        self.statements
            .get(&ticket)
            .map_or(Vec::new(), |s| s.in_flight().collect())
    }

    /// Something is learned of an execution that is in flight; nothing happens where it is not.
    pub fn note(&mut self, ticket: Ticket, execution: usize, progress: ProgressReport) {
        let Some(statement) = self.statements.get(&ticket) else {
            return;
        };
        let Some(noted) = statement.execution_in_flight(execution) else {
            return;
        };
        self.events.push(Event::Progress {
            statement: ticket,
            execution,
            engine: noted.engine,
            progress,
        });
    }

    /// An execution that was commanded waits in this front. To be called again while it does, else the scheduler
    /// takes it for silent.
    pub fn execution_held(&mut self, now: Micros, ticket: Ticket, execution: usize) {
        self.set_held(now, ticket, execution, true);
    }

    /// An execution that was held leaves this front: from now on its engine has it.
    pub fn execution_sent(&mut self, now: Micros, ticket: Ticket, execution: usize) {
        self.set_held(now, ticket, execution, false);
    }

    fn set_held(&mut self, now: Micros, ticket: Ticket, execution: usize, held: bool) {
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return;
        };
        let Some(changed) = statement.execution_in_flight_mut(execution) else {
            return;
        };
        self.engines[changed.engine].change_held(now, changed.held, held);
        changed.held = held;
        changed.sent = now;
        self.events.push(Event::Progress {
            statement: ticket,
            execution,
            engine: changed.engine,
            progress: ProgressReport::NotSentYet,
        });
    }
}
