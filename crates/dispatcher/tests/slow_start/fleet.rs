//! A fleet of dispatchers in front of a few engines, in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hallmux_config::Settings;
use hallmux_dispatcher::{
    Command, Dispatcher, Ending, ListScope, Listing, Micros, Mode, Protocol, StatementRequest,
    Ticket,
};

use crate::parameters::{Arrival, Behaviour, Demand, Parameters, Random, SECOND, START};

const ONE_WAY_DELAY: Micros = 500; // microseconds from a process to an engine or back
const WARM_ENGINES: usize = 2; // engines that are warm all the time

/// An execution that was sent to a cold engine.
pub struct SentCall {
    pub at: Micros,
    /// The work of the execution, as a multiple of the mean.
    pub calls: f64,
    /// Whether the sending process knew of the engine's start.
    pub knew_start: bool,
}

#[derive(Default)]
struct Engine {
    running: usize,
    /// Incremented whenever the engine stops and loses all running executions.
    incarnation: u32,
}

struct Process {
    dispatcher: Option<Dispatcher>,
    incarnation: u32,
    knows_start: bool,
    /// The engine number for each of the dispatcher's engine indices.
    engine_by_index: BTreeMap<usize, usize>,
    work_by_ticket: BTreeMap<Ticket, f64>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Submission(usize),
    /// Process and its incarnation, ticket, execution, engine, and how the execution ended.
    ExecutionEnds(usize, u32, Ticket, usize, usize, ExecutionEnd),
    /// Engine and the incarnation in which it finishes an execution.
    EngineFinishes(usize, u32),
    StartAnnounced(usize),
    ProcessStops(usize, Micros),
    ProcessStarts(usize),
    EnginesStop,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ExecutionEnd {
    Answered,
    Rejected,
    ConnectionRefused,
    Reset,
}

pub struct Fleet<'a> {
    parameters: &'a Parameters,
    settings: Settings,
    random: Random,
    now: Micros,
    next_serial: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    engines: Vec<Engine>,
    processes: Vec<Process>,
    sent_calls: Vec<Vec<SentCall>>,
    answered: usize,
}

impl<'a> Fleet<'a> {
    pub fn new(parameters: &'a Parameters, seed: u64) -> Self {
        let count = WARM_ENGINES + parameters.cold_engines;
        let settings = Settings::parse(&parameters.settings()).unwrap();
        let mut fleet = Fleet {
            parameters,
            settings,
            random: Random::new(seed),
            now: 0,
            next_serial: 0,
            events: BinaryHeap::new(),
            engines: (0..count).map(|_| Engine::default()).collect(),
            processes: Vec::new(),
            sent_calls: (0..parameters.cold_engines).map(|_| Vec::new()).collect(),
            answered: 0,
        };
        for process_index in 0..parameters.processes {
            let process = Process {
                dispatcher: None,
                incarnation: 0,
                knows_start: false,
                engine_by_index: BTreeMap::new(),
                work_by_ticket: BTreeMap::new(),
            };
            fleet.processes.push(process);
            fleet.start_process(process_index);
            fleet.schedule(1, Event::Submission(process_index));
            fleet.schedule(
                START + parameters.learned_after[process_index],
                Event::StartAnnounced(process_index),
            );
        }
        for (process_index, at, downtime) in &parameters.restarts {
            fleet.schedule(*at, Event::ProcessStops(*process_index, *downtime));
        }
        if parameters.arrival != Arrival::New {
            fleet.schedule(START - 3 * SECOND, Event::EnginesStop);
        }
        fleet
    }

    /// Runs the simulation until the engines are warm. Returns the executions sent to each cold
    /// engine and the number of answered statements.
    pub fn run(mut self) -> (Vec<Vec<SentCall>>, usize) {
        let end = START + self.parameters.warm_up_time;
        loop {
            let wake_times = self.processes.iter().enumerate();
            let wake_times = wake_times.filter_map(|(process_index, process)| {
                Some((
                    process.dispatcher.as_ref()?.next_tick().max(self.now),
                    process_index,
                ))
            });
            let wake = wake_times.min().unwrap_or((end, 0));
            let next = self.events.peek().map_or(end, |Reverse((at, ..))| *at);
            self.now = wake.0.min(next);
            if self.now >= end {
                return (self.sent_calls, self.answered);
            }
            match wake.0 <= next {
                true => self.run_dispatcher(wake.1),
                false => self
                    .events
                    .pop()
                    .into_iter()
                    .for_each(|Reverse((.., event))| self.handle(event)),
            }
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.next_serial += 1;
        self.events.push(Reverse((at, self.next_serial, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submission(process_index) => self.submit_statement(process_index),
            Event::ExecutionEnds(process_index, incarnation, ticket, execution, engine, end) => {
                if self.processes[process_index].incarnation == incarnation {
                    self.end_execution(process_index, ticket, execution, engine, end);
                }
            }
            Event::EngineFinishes(engine, incarnation) => {
                let engine = &mut self.engines[engine];
                engine.running -= usize::from(engine.incarnation == incarnation);
            }
            Event::StartAnnounced(process_index) => self.announce_list(process_index, false),
            Event::ProcessStops(process_index, downtime) => {
                let process = &mut self.processes[process_index];
                process.incarnation += 1;
                process.dispatcher = None;
                self.schedule(self.now + downtime, Event::ProcessStarts(process_index));
            }
            Event::ProcessStarts(process_index) => self.start_process(process_index),
            Event::EnginesStop => {
                for engine in &mut self.engines[WARM_ENGINES..] {
                    (engine.running, engine.incarnation) = (0, engine.incarnation + 1);
                }
                if self.parameters.arrival == Arrival::Relisted {
                    (0..self.processes.len())
                        .for_each(|process_index| self.announce_list(process_index, false));
                }
            }
        }
    }

    /// Starts a new incarnation of a process, which knows nothing but the engine list.
    fn start_process(&mut self, process_index: usize) {
        let seed = self.random.next_u64();
        let process = &mut self.processes[process_index];
        process.dispatcher = Some(Dispatcher::new(&self.settings, seed));
        process.engine_by_index.clear();
        process.work_by_ticket.clear();
        self.announce_list(process_index, true);
    }

    fn announce_list(&mut self, process_index: usize, is_full: bool) {
        let learned_at = START
            + if is_full && self.parameters.has_stale_list {
                self.parameters.learned_after[process_index]
            } else {
                0
            };
        let started = self.now >= learned_at;
        let mode = match self.parameters.arrival {
            _ if started => Some(Mode::Ready),
            Arrival::New => None,
            Arrival::Relisted if self.now >= START - 3 * SECOND => Some(Mode::Gone),
            _ => Some(Mode::Ready),
        };
        let ids: Vec<String> = (0..self.engines.len()).map(|e| format!("e{e}")).collect();
        let entry = |e: usize, mode| Listing {
            id: &ids[e],
            location: "here",
            kind: "std",
            cell: 0,
            mode,
            started: (e >= WARM_ENGINES && started).then_some(START),
            protocols: &[Protocol::Lines],
        };
        let warm_entries = (0..WARM_ENGINES)
            .filter(|_| is_full)
            .map(|e| (e, Mode::Ready));
        let cold_entries = (WARM_ENGINES..ids.len()).filter_map(|e| Some((e, mode?)));
        let entries: Vec<_> = warm_entries.chain(cold_entries).collect();
        let listings: Vec<_> = entries.iter().map(|(e, mode)| entry(*e, *mode)).collect();
        let process = &mut self.processes[process_index];
        let Some(dispatcher) = &mut process.dispatcher else {
            return;
        };
        let scope = if is_full {
            ListScope::Full
        } else {
            ListScope::Changes
        };
        let indices = dispatcher.update_engines(scope, &listings);
        process
            .engine_by_index
            .extend(indices.into_iter().zip(entries.iter().map(|(e, _)| *e)));
        process.knows_start = started;
        self.run_dispatcher(process_index);
    }

    fn submit_statement(&mut self, process_index: usize) {
        let load_factor = match self.parameters.demand {
            Demand::Steady => 1.33,
            Demand::Burst(after) if self.now >= START + after => 3.0,
            Demand::Burst(_) => 0.02,
        };
        let count = self.engines.len() as f64;
        let gap = self.random.exponential_gap(
            self.parameters.engine_rate() * load_factor * count / self.parameters.processes as f64,
        );
        // The first statement of a burst does not wait for a gap drawn before the burst.
        let next = match self.parameters.demand {
            Demand::Burst(after) if self.now < START + after => {
                let first_gap = self.random.exponential_gap(
                    self.parameters.engine_rate() * 3.0 * count / self.parameters.processes as f64,
                );
                (self.now + gap).min(START + after + first_gap)
            }
            _ => self.now + gap,
        };
        self.schedule(next.max(self.now + 1), Event::Submission(process_index));
        let work_factor = if self.parameters.has_varied_work {
            0.5 + self.random.unit()
        } else {
            1.0
        };
        let is_long = self.random.unit() < self.parameters.long_share;
        let work = self.parameters.mean_work_of(is_long) * work_factor;
        let estimate = work * (0.7 + 0.6 * self.random.unit());
        let reported_work = if self.parameters.has_estimates {
            estimate
        } else {
            0.0
        };
        let time_left = self.parameters.time_left();
        let workload = if is_long { "report" } else { "lookup" };
        let request = StatementRequest {
            workload,
            customer: "acme",
            time_left,
            work: reported_work,
            ..StatementRequest::default()
        };
        let process = &mut self.processes[process_index];
        let Some(dispatcher) = &mut process.dispatcher else {
            return;
        };
        let ticket = dispatcher.submit(self.now, &request).unwrap();
        process.work_by_ticket.insert(ticket, work);
        self.run_dispatcher(process_index);
    }

    fn run_dispatcher(&mut self, process_index: usize) {
        loop {
            let Some(dispatcher) = &mut self.processes[process_index].dispatcher else {
                return;
            };
            let commands = dispatcher.tick(self.now);
            for command in commands {
                match command {
                    Command::Send {
                        ticket,
                        execution,
                        engine,
                        ..
                    } => self.send_execution(process_index, ticket, execution, engine),
                    Command::Cancel {
                        ticket,
                        execution,
                        ending,
                    } => {
                        let Some(dispatcher) = &mut self.processes[process_index].dispatcher else {
                            return;
                        };
                        dispatcher.execution_ended(self.now, ticket, execution, ending, None);
                    }
                    Command::Reject { ticket, .. } | Command::Abort { ticket, .. } => {
                        self.processes[process_index].work_by_ticket.remove(&ticket);
                    }
                    _ => {}
                }
            }
            if self.processes[process_index]
                .dispatcher
                .as_ref()
                .is_none_or(|dispatcher| dispatcher.next_tick() > self.now)
            {
                return;
            }
        }
    }

    fn send_execution(
        &mut self,
        process_index: usize,
        ticket: Ticket,
        execution: usize,
        engine_index: usize,
    ) {
        let parameters = self.parameters;
        let process = &self.processes[process_index];
        let (engine_number, incarnation, knew_start) = (
            process.engine_by_index[&engine_index],
            process.incarnation,
            process.knows_start,
        );
        let work = process
            .work_by_ticket
            .get(&ticket)
            .copied()
            .unwrap_or(parameters.mean_work);
        let since = self.now - START;
        let is_cold = engine_number >= WARM_ENGINES && since >= 0;
        if is_cold {
            self.sent_calls[engine_number - WARM_ENGINES].push(SentCall {
                at: self.now,
                calls: work / parameters.mean_work,
                knew_start,
            });
        }
        let ends = |end| {
            Event::ExecutionEnds(
                process_index,
                incarnation,
                ticket,
                execution,
                engine_number,
                end,
            )
        };
        let is_down = engine_number >= WARM_ENGINES
            && parameters.arrival != Arrival::New
            && (-3 * SECOND..0).contains(&since);
        if is_down
            || is_cold
                && parameters.behaviour == Behaviour::RefusesConnections
                && since < 3 * SECOND
        {
            return self.schedule(
                self.now + 2 * ONE_WAY_DELAY,
                ends(ExecutionEnd::ConnectionRefused),
            );
        }
        if is_cold && parameters.behaviour == Behaviour::Rejects {
            return self.schedule(self.now + 2 * ONE_WAY_DELAY, ends(ExecutionEnd::Rejected));
        }
        let engine = &mut self.engines[engine_number];
        engine.running += 1;
        let cores = parameters.cores
            * if is_cold {
                parameters.capacity_share(self.now)
            } else {
                1.0
            };
        let slowdown = (engine.running as f64 * parameters.threads / cores).max(1.0);
        let silence = if is_cold && parameters.behaviour == Behaviour::Silent {
            (4 * SECOND - since).max(0)
        } else {
            0
        };
        let ends_at =
            self.now + ONE_WAY_DELAY + silence + (work / parameters.threads * slowdown) as Micros;
        // Executions that run when an engine stops are reset at that time.
        let stopped_at = START - 3 * SECOND;
        let is_cut = engine_number >= WARM_ENGINES
            && parameters.arrival != Arrival::New
            && self.now < stopped_at
            && ends_at >= stopped_at;
        let (ends_at, end) = if is_cut {
            (stopped_at, ExecutionEnd::Reset)
        } else {
            (ends_at, ExecutionEnd::Answered)
        };
        let engine_incarnation = engine.incarnation;
        self.schedule(
            ends_at,
            Event::EngineFinishes(engine_number, engine_incarnation),
        );
        self.schedule(ends_at + ONE_WAY_DELAY, ends(end));
    }

    fn end_execution(
        &mut self,
        process_index: usize,
        ticket: Ticket,
        execution: usize,
        engine_number: usize,
        end: ExecutionEnd,
    ) {
        let ending = match end {
            ExecutionEnd::Answered => Ending::Answered,
            ExecutionEnd::Rejected => Ending::Rejected,
            ExecutionEnd::ConnectionRefused => Ending::ConnectionRefused,
            ExecutionEnd::Reset => Ending::Reset,
        };
        let has_report = self.parameters.has_load_reports
            && matches!(end, ExecutionEnd::Answered | ExecutionEnd::Rejected);
        let report = has_report.then(|| vec![self.engines[engine_number].running as f64]);
        let Some(dispatcher) = &mut self.processes[process_index].dispatcher else {
            return;
        };
        self.answered +=
            usize::from(dispatcher.execution_ended(self.now, ticket, execution, ending, report));
        self.run_dispatcher(process_index);
    }
}
