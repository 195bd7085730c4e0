//! Executions: the attempts of a statement at engines, each from the command that sends it until
//! its end.

use hallmux::interface::{Event, Micros, ProgressReport};

use crate::{Dispatcher, Ending, EngineIndex, Ticket};

/// The time limits, memory and priority of one execution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The client's deadline, in microseconds.
    pub deadline: Micros,
    /// The time, in microseconds, after which the execution may no longer be sent: engines
    /// recognise repeats of a statement for a limited time only.
    pub send_by: Micros,
    /// The memory to grant, in MB; 0 leaves the choice to the engine.
    pub grant_mb: f64,
    /// The priority, 0 to 3; higher ones run first.
    pub priority: u8,
}

/// One attempt of a statement at an engine.
pub struct Execution {
    pub engine: EngineIndex,
    /// When the execution was commanded; if it was held in this front, when it was last reported as
    /// held or was sent.
    pub sent: Micros,
    /// The execution was commanded and has not ended.
    pub in_flight: bool,
    /// The execution is in flight, but waits in this front for something that it depends on.
    pub held: bool,
    /// How the execution ended; None while it is in flight.
    pub ending: Option<Ending>,
}

impl Execution {
    /// Creates an execution that is commanded now.
    pub fn commanded(now: Micros, engine: EngineIndex) -> Execution {
        Execution {
            engine,
            sent: now,
            in_flight: true,
            held: false,
            ending: None,
        }
    }

    /// Records the end of the execution.
    pub fn end(&mut self, ending: Ending) {
        self.in_flight = false;
        self.held = false;
        self.ending = Some(ending);
    }

    /// Whether the execution may have run, or may still run.
    pub fn may_have_run(&self) -> bool {
        self.ending.is_none_or(Ending::may_have_run)
    }
}

impl Dispatcher {
    /// The numbers of a statement's executions that are in flight.
    pub fn executions_in_flight(&self, ticket: Ticket) -> Vec<usize> {
        self.statements
            .get(&ticket)
            .map_or(Vec::new(), |s| s.in_flight().collect())
    }

    /// Passes a progress report on an execution to the scheduler. Ignored if the execution is not
    /// in flight.
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

    /// Records that a commanded execution is held in this front. The caller repeats this while it
    /// is held; otherwise the scheduler considers the engine silent.
    pub fn execution_held(&mut self, now: Micros, ticket: Ticket, execution: usize) {
        self.set_held(now, ticket, execution, true);
    }

    /// Records that an execution that was held is now sent to its engine.
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
