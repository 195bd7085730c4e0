//! One simulated front: its scheduler, the indices that it gives to the simulator's names, and its
//! pending events.

use std::collections::{BTreeMap, HashMap};

use hallmux::interface::{
    Action, Agreement, Arrival, EngineEntry, Event, ExecutionEnded, Micros, Mode, Outcome,
    ProgressReport,
};
use hallmux::Scheduler;

use crate::error::LineError;
use crate::line::Line;
use crate::reply::{self, ReplyNames};
use crate::wire_names::{field, input, value};

/// An engine of a list, before a front has given it an index.
pub struct ListedEngine {
    id: String,
    entry: EngineEntry,
}

impl ListedEngine {
    /// Reads an entry of an engine list.
    pub fn read(line: &Line) -> Result<Self, LineError> {
        let started = line.number_or(field::STARTED, 0.0)?;
        let entry = EngineEntry {
            engine: 0,
            location: line.field(field::LOCATION)?,
            kind: line.field(field::KIND)?,
            cell: line.field(field::CELL)?,
            mode: mode(line)?,
            started: (started > 0.0).then(|| hallmux_config::micros(started)),
            protocols: 1,
            sends_progress: true,
        };
        Ok(ListedEngine {
            id: line.field(field::ENGINE)?,
            entry,
        })
    }
}

fn mode(line: &Line) -> Result<Mode, LineError> {
    match line.field::<String>(field::MODE)?.as_str() {
        value::READY => Ok(Mode::Ready),
        value::DRAINING => Ok(Mode::Draining),
        value::GONE => Ok(Mode::Gone),
        other => Err(unknown_value(field::MODE, other)),
    }
}

fn outcome(line: &Line) -> Result<Outcome, LineError> {
    match line.field::<String>(field::OUTCOME)?.as_str() {
        value::COMPLETED => Ok(Outcome::Completed),
        value::ERROR => Ok(Outcome::Error),
        value::NO_CAPACITY => Ok(Outcome::NoCapacity),
        value::TIMED_OUT => Ok(Outcome::TimedOut),
        value::UNREACHABLE => Ok(Outcome::Unreachable),
        value::RESET => Ok(Outcome::Reset),
        value::CANCELLED => Ok(Outcome::Cancelled),
        value::NOT_SENT => Ok(Outcome::NotSent),
        other => Err(unknown_value(field::OUTCOME, other)),
    }
}

/// Reads a progress report; None if its kind is unknown.
fn note(line: &Line) -> Result<Option<ProgressReport>, LineError> {
    let figure = line.number_or(field::NOTE_FIGURE, 0.0)?;
    let note = match line.field::<u32>(field::NOTE_KIND)? {
        value::SHARE_DONE => ProgressReport::ShareDone(figure),
        value::SPILLS_MB => ProgressReport::SpillsMb(figure),
        value::WAITS if figure == 1.0 => ProgressReport::WaitsForMemory,
        value::WAITS => ProgressReport::WaitsForData,
        _ => return Ok(None),
    };
    Ok(Some(note))
}

fn unknown_value(field: &'static str, value: &str) -> LineError {
    LineError::UnknownValue {
        field,
        value: value.to_string(),
    }
}

/// A front of the simulation, with its indices for the simulator's names.
pub struct SimulatedFront {
    scheduler: Scheduler,
    /// The number of workloads in the settings.
    workloads: usize,
    /// The ids of the engines by index.
    engines: Vec<String>,
    /// The indices of the engines by id.
    engine_indices: HashMap<String, usize>,
    /// The indices of order keys by name.
    keys: HashMap<String, u32>,
    /// The numbers of the statements by index.
    statements: Vec<u32>,
    /// The indices of the statements by number.
    statement_indices: HashMap<u32, u32>,
    /// Events since the last decisions.
    events: Vec<Event>,
}

impl SimulatedFront {
    /// Creates a front with these settings; the seed drives the random draws of its scheduler.
    pub fn new(agreement: Agreement, seed: u64) -> Self {
        SimulatedFront {
            workloads: agreement.workloads.len(),
            scheduler: Scheduler::new(agreement, seed),
            engines: Vec::new(),
            engine_indices: HashMap::new(),
            keys: HashMap::new(),
            statements: Vec::new(),
            statement_indices: HashMap::new(),
            events: Vec::new(),
        }
    }

    /// The index of an engine. An unknown engine gets the next free index.
    fn engine_index(&mut self, id: &str) -> usize {
        if let Some(&index) = self.engine_indices.get(id) {
            return index;
        }
        let index = self.engines.len();
        self.engines.push(id.to_string());
        self.engine_indices.insert(id.to_string(), index);
        index
    }

    fn line_engine_index(&mut self, line: &Line) -> Result<usize, LineError> {
        let id: String = line.field(field::ENGINE)?;
        Ok(self.engine_index(&id))
    }

    /// The index of an order key. An unknown key gets the next free index.
    fn order_key_index(&mut self, name: String) -> u32 {
        let next = self.keys.len() as u32;
        *self.keys.entry(name).or_insert(next)
    }

    /// The index of the statement that a line names; None if this front never received it.
    fn statement_index(&self, line: &Line) -> Result<Option<u32>, LineError> {
        let number = line.field(field::STATEMENT)?;
        Ok(self.statement_indices.get(&number).copied())
    }

    /// Handles a line for this front; `lists` holds the engine lists received so far, by number.
    pub fn handle_line(
        &mut self,
        line: &Line,
        lists: &BTreeMap<u32, Vec<ListedEngine>>,
    ) -> Result<(), LineError> {
        let event = match line.message {
            input::ARRIVAL => Some(self.arrived(line)?),
            input::EXECUTION_ENDED => self.ended(line)?,
            input::NOTE => self.noted(line)?,
            input::CLIENT_LEFT => self.statement_index(line)?.map(Event::StatementWithdrawn),
            input::WAKE => Some(Event::Woken),
            input::ENGINE_LIST => Some(self.listed(line, lists)?),
            input::PROBE_ENDED => Some(self.probed(line)?),
            ignored if input::IGNORED.contains(&ignored) => None,
            other => return Err(LineError::UnknownMessage(other.to_string())),
        };
        self.events.extend(event);
        Ok(())
    }

    fn probed(&mut self, line: &Line) -> Result<Event, LineError> {
        Ok(Event::Probed {
            engine: self.line_engine_index(line)?,
            alive: line.field::<String>(field::OUTCOME)? == value::COMPLETED,
            report: line.load_report()?,
        })
    }

    fn listed(
        &mut self,
        line: &Line,
        lists: &BTreeMap<u32, Vec<ListedEngine>>,
    ) -> Result<Event, LineError> {
        let complete = match line.field::<String>(field::LIST_FORM)?.as_str() {
            value::CHANGES => false,
            value::FULL | value::CACHED => true,
            value::FAILED => return Ok(Event::EngineListFailed),
            other => return Err(unknown_value(field::LIST_FORM, other)),
        };
        let number: u32 = line.field(field::LIST)?;
        let list = lists.get(&number).ok_or(LineError::UnknownList(number))?;
        let mut entries = Vec::new();
        for listed in list {
            entries.push(EngineEntry {
                engine: self.engine_index(&listed.id),
                ..listed.entry.clone()
            });
        }
        Ok(Event::EngineList { complete, entries })
    }

    fn arrived(&mut self, line: &Line) -> Result<Event, LineError> {
        let workload: usize = line.field(field::WORKLOAD)?;
        if workload >= self.workloads {
            return Err(LineError::UnknownWorkload(workload));
        }
        let key = line.optional::<String>(field::ORDER_KEY)?;
        let time_left = line.time(field::TIME_LEFT)?;
        let number: u32 = line.field(field::STATEMENT)?;
        let arrival = Arrival {
            statement: self.statements.len() as u32,
            workload,
            customer: line.optional(field::CUSTOMER)?.unwrap_or(0),
            order_key: key.map(|name| self.order_key_index(name)),
            time_left,
            work: line.number_or(field::WORK, 0.0)? * 1000.0,
            memory_mb: line.number_or(field::MEMORY_MB, 0.0)?,
            data_set: line.optional(field::DATA_SET)?,
            protocols: 1,
            sticky_engine: None,
            allowed_locations: None,
        };
        self.statements.push(number);
        self.statement_indices.insert(number, arrival.statement);
        Ok(Event::Arrived(arrival))
    }

    /// Reads the end of an execution; None if its statement is unknown.
    fn ended(&mut self, line: &Line) -> Result<Option<Event>, LineError> {
        let Some(statement) = self.statement_index(line)? else {
            return Ok(None);
        };
        let outcome = outcome(line)?;
        line.optional::<u64>(field::COST)?;
        Ok(Some(Event::ExecutionEnded(ExecutionEnded {
            statement,
            execution: line.field(field::EXECUTION)?,
            engine: self.line_engine_index(line)?,
            outcome,
            took: line.time(field::TOOK)?,
            settled: line.flag(field::SETTLED)?,
            keeps_order_key: false,
            report: line.load_report()?,
        })))
    }

    /// Reads a progress report on an execution; None if its statement or the kind of the report is
    /// unknown.
    fn noted(&mut self, line: &Line) -> Result<Option<Event>, LineError> {
        let Some(statement) = self.statement_index(line)? else {
            return Ok(None);
        };
        let Some(progress) = note(line)? else {
            return Ok(None);
        };
        Ok(Some(Event::Progress {
            statement,
            execution: line.field(field::EXECUTION)?,
            engine: self.line_engine_index(line)?,
            progress,
        }))
    }

    /// Decides on all events since the last call and appends the decisions to the reply.
    pub fn decide(&mut self, now: Micros, number: i64, reply: &mut String) {
        if self.events.is_empty() {
            return;
        }
        let actions: Vec<Action> = self.scheduler.decide(now, self.events.drain(..));
        let names = ReplyNames {
            front: number,
            statements: &self.statements,
            engines: &self.engines,
        };
        for action in &actions {
            reply::write(reply, &names, action);
        }
    }
}
