//! A fleet of dispatchers in front of a few engines, in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hallmux_config::Settings;
use hallmux_dispatcher::{
    Command, Dispatcher, Ending, ListScope, Listing, Micros, Mode, Protocol, StatementRequest,
    Ticket,
};

use crate::shape::{Arrives, Chance, Deed, Demand, Shape, SECOND, START};

const WAY: Micros = 500; // microseconds from a process to an engine or back
const WARM: usize = 2; // engines that are warm all the time

/// What a cold engine was sent.
pub struct Push {
    pub at: Micros,
    /// In calls of mean work.
    pub calls: f64,
    /// By a process that had been told of the start.
    pub told: bool,
}

#[derive(Default)]
struct Engine {
    running: usize,
    /// Counts the times that it went down with all that it ran.
    life: u32,
}

struct Process {
    dispatcher: Option<Dispatcher>,
    life: u32,
    told: bool,
    /// The engine at each of the dispatcher's places.
    at: BTreeMap<usize, usize>,
    works: BTreeMap<Ticket, f64>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Asks(usize),
    /// Process and its life, ticket, execution, engine and whether it was turned away, cut or refused.
    Ends(usize, u32, Ticket, usize, usize, How),
    /// An engine's execution is over, in which life.
    Ran(usize, u32),
    Tell(usize),
    Down(usize, Micros),
    Up(usize),
    EnginesDown,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum How {
    Answered,
    TurnedAway,
    Refused,
    Reset,
}

pub struct Fleet<'a> {
    shape: &'a Shape,
    contract: Settings,
    chance: Chance,
    now: Micros,
    serial: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    engines: Vec<Engine>,
    processes: Vec<Process>,
    pushes: Vec<Vec<Push>>,
    answered: usize,
}

impl<'a> Fleet<'a> {
    pub fn new(shape: &'a Shape, seed: u64) -> Self {
        let count = WARM + shape.colds;
        let contract = Settings::parse(&shape.settings()).unwrap();
        let mut fleet = Fleet {
            shape,
            contract,
            chance: Chance::new(seed),
            now: 0,
            serial: 0,
            events: BinaryHeap::new(),
            engines: (0..count).map(|_| Engine::default()).collect(),
            processes: Vec::new(),
            pushes: (0..shape.colds).map(|_| Vec::new()).collect(),
            answered: 0,
        };
        for p in 0..shape.processes {
            let process = Process {
                dispatcher: None,
                life: 0,
                told: false,
                at: BTreeMap::new(),
                works: BTreeMap::new(),
            };
            fleet.processes.push(process);
            fleet.starts(p);
            fleet.at(1, Event::Asks(p));
            fleet.at(START + shape.told[p], Event::Tell(p));
        }
        for (p, at, away) in &shape.restarts {
            fleet.at(*at, Event::Down(*p, *away));
        }
        if shape.arrives != Arrives::New {
            fleet.at(START - 3 * SECOND, Event::EnginesDown);
        }
        fleet
    }

    /// Plays until the engines are warm: what each cold one was sent, and how many statements were answered.
    pub fn play(mut self) -> (Vec<Vec<Push>>, usize) {
        let end = START + self.shape.warm;
        loop {
            let wakes = self.processes.iter().enumerate();
            let wakes = wakes
                .filter_map(|(p, of)| Some((of.dispatcher.as_ref()?.next_tick().max(self.now), p)));
            let wake = wakes.min().unwrap_or((end, 0));
            let next = self.events.peek().map_or(end, |Reverse((at, ..))| *at);
            self.now = wake.0.min(next);
            if self.now >= end {
                return (self.pushes, self.answered);
            }
            match wake.0 <= next {
                true => self.settles(wake.1),
                false => self
                    .events
                    .pop()
                    .into_iter()
                    .for_each(|Reverse((.., event))| self.happens(event)),
            }
        }
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Asks(p) => self.asks(p),
            Event::Ends(p, life, ticket, execution, engine, how) => {
                if self.processes[p].life == life {
                    self.ends(p, ticket, execution, engine, how);
                }
            }
            Event::Ran(engine, life) => {
                let engine = &mut self.engines[engine];
                engine.running -= usize::from(engine.life == life);
            }
            Event::Tell(p) => self.tells(p, false),
            Event::Down(p, away) => {
                let process = &mut self.processes[p];
                process.life += 1;
                process.dispatcher = None;
                self.at(self.now + away, Event::Up(p));
            }
            Event::Up(p) => self.starts(p),
            Event::EnginesDown => {
                for engine in &mut self.engines[WARM..] {
                    (engine.running, engine.life) = (0, engine.life + 1);
                }
                if self.shape.arrives == Arrives::Again {
                    (0..self.processes.len()).for_each(|p| self.tells(p, false));
                }
            }
        }
    }

    /// A new life, which knows the list and nothing else.
    fn starts(&mut self, p: usize) {
        let seed = self.chance.number();
        let process = &mut self.processes[p];
        process.dispatcher = Some(Dispatcher::new(&self.contract, seed));
        process.at.clear();
        process.works.clear();
        self.tells(p, true);
    }

    fn tells(&mut self, p: usize, whole: bool) {
        let learned = START
            + if whole && self.shape.old_list {
                self.shape.told[p]
            } else {
                0
            };
        let started = self.now >= learned;
        let mode = match self.shape.arrives {
            _ if started => Some(Mode::Ready),
            Arrives::New => None,
            Arrives::Again if self.now >= START - 3 * SECOND => Some(Mode::Gone),
            _ => Some(Mode::Ready),
        };
        let ids: Vec<String> = (0..self.engines.len()).map(|e| format!("e{e}")).collect();
        let line = |e: usize, mode| Listing {
            id: &ids[e],
            location: "here",
            kind: "std",
            cell: 0,
            mode,
            started: (e >= WARM && started).then_some(START),
            protocols: &[Protocol::Lines],
        };
        let warm = (0..WARM).filter(|_| whole).map(|e| (e, Mode::Ready));
        let cold = (WARM..ids.len()).filter_map(|e| Some((e, mode?)));
        let lines: Vec<_> = warm.chain(cold).collect();
        let listings: Vec<_> = lines.iter().map(|(e, mode)| line(*e, *mode)).collect();
        let process = &mut self.processes[p];
        let Some(dispatcher) = &mut process.dispatcher else {
            return;
        };
        let scope = if whole {
            ListScope::Full
        } else {
            ListScope::Changes
        };
        let places = dispatcher.update_engines(scope, &listings);
        process
            .at
            .extend(places.into_iter().zip(lines.iter().map(|(e, _)| *e)));
        process.told = started;
        self.settles(p);
    }

    fn asks(&mut self, p: usize) {
        let share = match self.shape.demand {
            Demand::Steady => 1.33,
            Demand::Burst(after) if self.now >= START + after => 3.0,
            Demand::Burst(_) => 0.02,
        };
        let count = self.engines.len() as f64;
        let gap = self
            .chance
            .gap(self.shape.rate() * share * count / self.shape.processes as f64);
        // What comes in a burst does not wait for the gaps of before.
        let next = match self.shape.demand {
            Demand::Burst(after) if self.now < START + after => {
                let first = self
                    .chance
                    .gap(self.shape.rate() * 3.0 * count / self.shape.processes as f64);
                (self.now + gap).min(START + after + first)
            }
            _ => self.now + gap,
        };
        self.at(next.max(self.now + 1), Event::Asks(p));
        let varies = if self.shape.varied {
            0.5 + self.chance.share()
        } else {
            1.0
        };
        let long = self.chance.share() < self.shape.long;
        let work = self.shape.mean_work(long) * varies;
        let guess = work * (0.7 + 0.6 * self.chance.share());
        let told = if self.shape.told_work { guess } else { 0.0 };
        let time_left = self.shape.time_left();
        let workload = if long { "report" } else { "lookup" };
        let ask = StatementRequest {
            workload,
            customer: "acme",
            time_left,
            work: told,
            ..StatementRequest::default()
        };
        let process = &mut self.processes[p];
        let Some(dispatcher) = &mut process.dispatcher else {
            return;
        };
        let ticket = dispatcher.submit(self.now, &ask).unwrap();
        process.works.insert(ticket, work);
        self.settles(p);
    }

    fn settles(&mut self, p: usize) {
        loop {
            let Some(dispatcher) = &mut self.processes[p].dispatcher else {
                return;
            };
            let orders = dispatcher.tick(self.now);
            for order in orders {
                match order {
                    Command::Send {
                        ticket,
                        execution,
                        engine,
                        ..
                    } => self.sends(p, ticket, execution, engine),
                    Command::Cancel {
                        ticket,
                        execution,
                        ending,
                    } => {
                        let Some(dispatcher) = &mut self.processes[p].dispatcher else {
                            return;
                        };
                        dispatcher.execution_ended(self.now, ticket, execution, ending, None);
                    }
                    Command::Reject { ticket, .. } | Command::Abort { ticket, .. } => {
                        self.processes[p].works.remove(&ticket);
                    }
                    _ => {}
                }
            }
            if self.processes[p]
                .dispatcher
                .as_ref()
                .is_none_or(|d| d.next_tick() > self.now)
            {
                return;
            }
        }
    }

    fn sends(&mut self, p: usize, ticket: Ticket, execution: usize, place: usize) {
        let shape = self.shape;
        let process = &self.processes[p];
        let (e, life, told) = (process.at[&place], process.life, process.told);
        let work = process.works.get(&ticket).copied().unwrap_or(shape.work);
        let since = self.now - START;
        let cold = e >= WARM && since >= 0;
        if cold {
            self.pushes[e - WARM].push(Push {
                at: self.now,
                calls: work / shape.work,
                told,
            });
        }
        let ends = |how| Event::Ends(p, life, ticket, execution, e, how);
        let down = e >= WARM && shape.arrives != Arrives::New && (-3 * SECOND..0).contains(&since);
        if down || cold && shape.deed == Deed::Refuses && since < 3 * SECOND {
            return self.at(self.now + 2 * WAY, ends(How::Refused));
        }
        if cold && shape.deed == Deed::TurnsAway {
            return self.at(self.now + 2 * WAY, ends(How::TurnedAway));
        }
        let engine = &mut self.engines[e];
        engine.running += 1;
        let cores = shape.cores * if cold { shape.warmth(self.now) } else { 1.0 };
        let jam = (engine.running as f64 * shape.threads / cores).max(1.0);
        let silent = if cold && shape.deed == Deed::Silent {
            (4 * SECOND - since).max(0)
        } else {
            0
        };
        let over = self.now + WAY + silent + (work / shape.threads * jam) as Micros;
        // What it runs as it goes down ends there and then.
        let falls = START - 3 * SECOND;
        let cut = e >= WARM && shape.arrives != Arrives::New && self.now < falls && over >= falls;
        let (over, how) = if cut {
            (falls, How::Reset)
        } else {
            (over, How::Answered)
        };
        let in_life = engine.life;
        self.at(over, Event::Ran(e, in_life));
        self.at(over + WAY, ends(how));
    }

    fn ends(&mut self, p: usize, ticket: Ticket, execution: usize, e: usize, how: How) {
        let ending = match how {
            How::Answered => Ending::Answered,
            How::TurnedAway => Ending::Rejected,
            How::Refused => Ending::ConnectionRefused,
            How::Reset => Ending::Reset,
        };
        let tells = self.shape.reports && matches!(how, How::Answered | How::TurnedAway);
        let report = tells.then(|| vec![self.engines[e].running as f64]);
        let Some(dispatcher) = &mut self.processes[p].dispatcher else {
            return;
        };
        self.answered +=
            usize::from(dispatcher.execution_ended(self.now, ticket, execution, ending, report));
        self.settles(p);
    }
}
