//! One front on the wire: its own ids, the events it has been told since its last answer, its decisions.

use std::collections::{BTreeMap, HashMap};

use hallmux::interface::{
    Action, Agreement, Arrival, Ended, EngineEntry, Event, Micros, Mode, Note, Outcome,
};
use hallmux::Scheduler;

use crate::wire::{self, Line};

/// An engine as a list on the wire names it, before an instance has given it an index.
pub struct Listing {
    name: String,
    entry: EngineEntry,
}

impl Listing {
    pub fn read(line: &Line) -> Result<Self, String> {
        let started = line.number_or("onlineSinceMs", 0.0)?;
        let entry = EngineEntry {
            engine: 0,
            location: line.field("campus")?,
            kind: line.field("classOfHost")?,
            cell: line.field("group")?,
            mode: match line.field::<String>("mode")?.as_str() {
                "Ready" => Mode::Ready,
                "Terminating" => Mode::Draining,
                "Gone" => Mode::Gone,
                other => return Err(format!("mode: unknown word '{other}'")),
            },
            started: (started > 0.0).then(|| hallmux_config::micros(started)),
            protocols: 1,
            sends_progress: true,
        };
        Ok(Listing {
            name: line.field("engine")?,
            entry,
        })
    }
}

pub struct Instance {
    front: Scheduler,
    workloads: usize,
    engines: Vec<String>,
    engine_ids: HashMap<String, usize>,
    keys: HashMap<String, u32>,
    statements: Vec<u32>,
    statement_ids: HashMap<u32, u32>,
    happened: Vec<Event>,
}

impl Instance {
    pub fn new(agreement: Agreement, seed: u64) -> Self {
        Instance {
            workloads: agreement.workloads.len(),
            front: Scheduler::new(agreement, seed),
            engines: Vec::new(),
            engine_ids: HashMap::new(),
            keys: HashMap::new(),
            statements: Vec::new(),
            statement_ids: HashMap::new(),
            happened: Vec::new(),
        }
    }

    fn engine(&mut self, name: &str) -> usize {
        if let Some(&id) = self.engine_ids.get(name) {
            return id;
        }
        let id = self.engines.len();
        self.engines.push(name.to_string());
        self.engine_ids.insert(name.to_string(), id);
        id
    }

    /// The statement that a line names, if this instance has ever received it.
    fn statement(&self, line: &Line) -> Result<Option<u32>, String> {
        Ok(self.statement_ids.get(&line.field("req")?).copied())
    }

    pub fn take(&mut self, line: &Line, lists: &BTreeMap<u32, Vec<Listing>>) -> Result<(), String> {
        let event = match line.message {
            "JOB_IN" => Some(self.arrived(line)?),
            "RETURNED" => self.ended(line)?,
            "NOTICE" => self.noted(line)?,
            "GONE" => self.statement(line)?.map(Event::ClientLeft),
            "RING" => Some(Event::Woken),
            "FLEET" => Some(self.listed(line, lists)?),
            "PROBE_RESULT" => Some(Event::Probed {
                engine: self.engine(line.field::<String>("engine")?.as_str()),
                alive: line.field::<String>("status")? == "pass",
                report: line.report()?,
            }),
            "OPENED" | "NOTE_FROM" => None,
            other => return Err(format!("unknown message '{other}'")),
        };
        self.happened.extend(event);
        Ok(())
    }

    fn listed(
        &mut self,
        line: &Line,
        lists: &BTreeMap<u32, Vec<Listing>>,
    ) -> Result<Event, String> {
        let whole = match line.field::<String>("form")?.as_str() {
            "delta" => false,
            "full" | "cached" => true,
            "failed" => return Ok(Event::ListFailed),
            other => return Err(format!("form: unknown word '{other}'")),
        };
        let list: u32 = line.field("ref")?;
        let listings = lists
            .get(&list)
            .ok_or_else(|| format!("list {list} was never sent"))?;
        let entry = |l: &Listing| EngineEntry {
            engine: self.engine(&l.name),
            ..l.entry.clone()
        };
        Ok(Event::Engines {
            whole,
            entries: listings.iter().map(entry).collect(),
        })
    }

    fn arrived(&mut self, line: &Line) -> Result<Event, String> {
        let workload: usize = line.field("cls")?;
        if workload >= self.workloads {
            return Err(format!("no workload {workload}"));
        }
        let key = line.optional::<String>("object")?;
        let time_left = line.time("expiresInMs")?;
        let req: u32 = line.field("req")?;
        let arrival = Arrival {
            statement: self.statements.len() as u32,
            workload,
            customer: line.optional("clientGroup")?.unwrap_or(0),
            order_key: key.map(|key| {
                let next = self.keys.len() as u32;
                *self.keys.entry(key).or_insert(next)
            }),
            time_left,
            work: line.number_or("guessMs", 0.0)? * 1000.0,
            memory_mb: line.number_or("ramMb", 0.0)?,
            data_set: line.optional("tableGroup")?,
            protocols: 1,
            sticky_engine: None,
            allowed_locations: None,
        };
        self.statements.push(req);
        self.statement_ids.insert(req, arrival.statement);
        Ok(Event::Arrived(arrival))
    }

    fn ended(&mut self, line: &Line) -> Result<Option<Event>, String> {
        let Some(statement) = self.statement(line)? else {
            return Ok(None);
        };
        let outcome = match line.field::<String>("status")?.as_str() {
            "pass" => Outcome::Completed,
            "fault" => Outcome::Error,
            "no_room" => Outcome::NoCapacity,
            "too_slow" => Outcome::TimedOut,
            "no_route" => Outcome::Unreachable,
            "cut" => Outcome::Reset,
            "undone" => Outcome::Cancelled,
            "stale_send" => Outcome::NotSent,
            other => return Err(format!("status: unknown word '{other}'")),
        };
        line.optional::<u64>("note")?; // work and memory that the answer tells of, which nothing here uses
        Ok(Some(Event::Ended(Ended {
            statement,
            execution: line.field("seqNo")?,
            engine: self.engine(line.field::<String>("engine")?.as_str()),
            outcome,
            took: line.time("delaySeenMs")?,
            settled: line.flag("settled")?,
            keeps_order_key: false,
            report: line.report()?,
        })))
    }

    fn noted(&mut self, line: &Line) -> Result<Option<Event>, String> {
        let Some(statement) = self.statement(line)? else {
            return Ok(None);
        };
        let amount = line.number_or("amount", 0.0)?;
        let note = match line.field::<u32>("kind")? {
            1 => Note::ShareDone(amount),
            2 => Note::SpillsMb(amount),
            3 if amount == 1.0 => Note::WaitsForMemory,
            3 => Note::WaitsForData,
            _ => return Ok(None),
        };
        Ok(Some(Event::Noted {
            statement,
            execution: line.field("seqNo")?,
            engine: self.engine(line.field::<String>("engine")?.as_str()),
            note,
        }))
    }

    /// Hands the module what has happened since the last answer and writes what is to be done.
    pub fn answer(&mut self, now: Micros, who: i64, reply: &mut String) {
        if self.happened.is_empty() {
            return;
        }
        let actions: Vec<Action> = self.front.decide(now, self.happened.drain(..));
        for action in &actions {
            wire::write(reply, who, action, &self.statements, &self.engines);
        }
    }
}
