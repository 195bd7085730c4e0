//! The fleet rig in simulated time: the same scenario, the same record, but fronts are dispatchers with their
//! exchange of words driven by one clock that is a number, so that fleets beyond what one machine holds as
//! processes can be played. Nothing here is a front of its own: all decisions come out of `crates/dispatcher`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

use hallmux_config::Settings;
use hallmux_dispatcher::{Dispatcher, Ending, EngineIndex, Ticket};
use hallmux_fleet::ledger_barrier::BarrierDriver;
use hallmux_fleet::{ClockReading, Exchange};
use hallmux_gossip::seal::Keys;
use hallmux_ledger::LedgerAnswer;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::clients::Client;
use super::connections::Connections;
use super::disk::Disk;
use super::growth::Growth;
use super::steps::Armed;
use crate::engine::lines::Warmth;
use crate::record::account::Account;
use crate::rig::datagrams::DatagramFaults;
use crate::rig::relay::LinkState;
use crate::rig::scenario::{Fault, Scenario, Step};

pub(super) const WAY: (i64, i64) = (200, 2_000); // microseconds that anything takes from one place to another, drawn evenly
pub(super) const PROBED_WITHIN: i64 = 250_000; // microseconds until a probe without an answer counts as failed
pub(super) const SETTLES: i64 = 10_000_000; // microseconds before the load, for the fronts to find each other
pub(super) const AFTER: i64 = 10_000_000; // microseconds beyond the load and its last time-out
pub(super) const SLACK: i64 = 50_000; // microseconds for a final answer: two looks of the module's
pub(super) const WALL: i64 = 1_800_000_000_000_000; // Unix microseconds at time 0
pub(super) const DRIFT_PPM: u32 = 10_000; // millionths; clocks here run alike
pub(super) const MOST_SEEDS: usize = 3; // fronts that each asks first, drawn: a few for all would be slow to answer them

pub(super) type Sent = (Ticket, usize);

pub(super) enum Event {
    /// The next statement of the load is due.
    Offered,
    /// A front's own clock is due.
    Due(usize),
    /// An execution has come to an engine, or its answer back to the front of that life.
    Arrives(usize, u32, Sent, usize),
    EndedExecution(EndedExecution),
    /// A repeat that an engine drops is answered.
    Dropped(usize, u32, Sent, usize),
    /// The last is its report of the statements in hand.
    Answers(usize, u32, Sent, Ending, Option<usize>),
    /// A probe likewise; its number tells which.
    ProbeArrives(usize, u32, usize, u64),
    ProbeAnswers(usize, u32, EngineIndex, u64, Option<usize>),
    Datagram(usize, usize, Vec<u8>),
    /// What the front of that life has written is lasting.
    Lasting(usize, u32),
    /// A client asks again, at another front.
    Again(Client),
    /// A step of a promise is reached at a front; and the time for that is over.
    Reached(Step, usize),
    Unarmed(usize),
    /// A front of that life that is to end may close its listener.
    Closes(usize, u32),
    /// Time to look at what fronts hold; and at whether all copies stand.
    SampleSizes,
    Copies,
    Begins(usize),
    Ends(usize),
}

/// An execution that has run on an engine.
pub(super) struct EndedExecution {
    pub(super) front: usize,
    pub(super) life: u32,
    pub(super) sent: Sent,
    pub(super) engine: usize,
    pub(super) resets: u64,
    /// Its own in the record.
    pub(super) link: u32,
}

/// A rule that promises rest on, taken out, to see that the checks find it missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mutation {
    /// Executions leave before their promise stands.
    pub skips_barrier: bool,
    /// An emptied disk comes back under the identity that it had.
    pub reuses_disk_identity: bool,
    /// Words leave before what they rest on is lasting.
    pub sends_before_sync: bool,
}

/// A front while it runs.
pub(super) struct Life {
    pub(super) dispatcher: Dispatcher,
    pub(super) exchange: Option<Exchange>,
    pub(super) guard: Option<BarrierDriver>,
    /// Answers of the ledger that have yet to be taken.
    pub(super) done: Vec<LedgerAnswer>,
    pub(super) probes: HashMap<u64, EngineIndex>,
    pub(super) connections: Connections,
}

pub(super) struct Member {
    pub(super) life: Option<Life>,
    /// Counts its lives: what was meant for an earlier one means nothing.
    pub(super) lives: u32,
    pub(super) stopped: bool,
    /// When it was asked to end.
    pub(super) ending: Option<i64>,
    /// What came while it was stopped, in order.
    pub(super) waits: Vec<Event>,
    pub(super) due: i64,
    pub(super) ahead: i64,
    pub(super) links: BTreeMap<usize, LinkState>,
    /// What it saved as a voter.
    pub(super) saved: Option<Vec<u8>>,
    pub(super) disk: Disk,
    /// Spans in which it was stopped, killed or ending.
    pub(super) troubled: Vec<(i64, i64)>,
}

pub(super) struct Engine {
    pub(super) zone: usize,
    pub(super) started: i64,
    pub(super) running: usize,
    /// Counts its connections' lives: a reset ends what is out.
    pub(super) resets: u64,
    pub(super) turned_away: i64,
    pub(super) peak: f64,
    pub(super) peak_since_start: f64,
}

pub(super) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) settings: Settings,
    pub(super) warmth: Warmth,
    pub(super) now: i64,
    pub(super) began: i64,
    pub(super) queue: BinaryHeap<Reverse<(i64, u64)>>,
    pub(super) events: HashMap<u64, Event>,
    pub(super) number: u64,
    pub(super) chance: Pcg64Mcg,
    pub(super) members: Vec<Member>,
    pub(super) engines: Vec<Engine>,
    pub(super) keys: std::rc::Rc<Keys>,
    pub(super) datagram_faults: DatagramFaults,
    pub(super) account: Account,
    /// Executions out at engines, for resets: by engine.
    pub(super) out: BTreeMap<usize, Vec<(usize, u32, Sent)>>,
    pub(super) statements: u64,
    /// The statements by front, life and ticket: their place in the record.
    pub(super) named: HashMap<(usize, u32, Ticket), usize>,
    /// Whoever asked, beside what the record has of it.
    pub(super) clients: Vec<Client>,
    pub(super) links: u32,
    /// When the first of each deduplicated statement of a front began and ends.
    pub(super) firsts: HashMap<(usize, String), (i64, i64)>,
    /// The fronts that keep copies, and where each is heard.
    pub(super) ledger_members: (
        Vec<hallmux_ledger::Member>,
        BTreeMap<hallmux_gossip::PeerId, SocketAddr>,
    ),
    pub(super) armed: Option<Armed>,
    pub(super) spoil: Mutation,
    pub(super) growth: Growth,
    /// Of the ledger.
    pub(super) shards: u16,
    /// Faults that are played now, by their place in the scenario.
    pub(super) playing: BTreeMap<usize, Fault>,
}

pub(super) fn secret(n: usize) -> [u8; 32] {
    let mut secret = [7; 32];
    secret[..8].copy_from_slice(&(n as u64 + 1).to_be_bytes());
    secret
}

pub(super) fn address(n: usize) -> SocketAddr {
    ([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7946).into()
}

pub(super) fn front_at(at: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(at) = at else { return None };
    let [_, _, high, low] = at.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
}

impl Simulation<'_> {
    pub(super) fn at(&mut self, when: i64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((when.max(self.now), self.number)));
        self.events.insert(self.number, event);
    }

    pub(super) fn way(&mut self) -> i64 {
        self.chance.random_range(WAY.0..=WAY.1)
    }

    pub(super) fn run_until(&mut self, over: i64) {
        while let Some(Reverse((when, number))) =
            self.queue.pop().filter(|Reverse((when, _))| *when <= over)
        {
            self.now = when;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            self.handle(event);
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Offered => self.offer(),
            Event::Due(n) if self.members[n].due <= self.now => self.turn(n),
            Event::Due(_) => {}
            Event::Arrives(front, life, sent, engine) => self.arrives(front, life, sent, engine),
            Event::EndedExecution(ran) => self.ran(ran),
            Event::Dropped(front, life, sent, e) => {
                self.goes_back(front, life, sent, e, Ending::Answered)
            }
            Event::Again(client) => self.asks(client),
            Event::Reached(step, front) => _ = self.reached(step, front),
            Event::Unarmed(fault) => self.unarmed(fault),
            Event::Closes(front, life) => self.closes(front, life),
            Event::SampleSizes => self.sample_sizes(),
            Event::Copies => self.copies(),
            Event::Lasting(front, life) => {
                if self.is_there(front, life, event).is_some() {
                    self.lasting(front);
                }
            }
            Event::ProbeArrives(front, life, engine, probe) => {
                if self.passes(front, engine, false) {
                    let at = self.now + self.way();
                    let active = self.engines[engine].running;
                    self.at(
                        at,
                        Event::ProbeAnswers(front, life, engine, probe, Some(active)),
                    );
                }
            }
            Event::Answers(front, life, ..) | Event::ProbeAnswers(front, life, ..) => {
                if let Some(event) = self.is_there(front, life, event) {
                    self.receive_answer(front, event);
                }
            }
            Event::Datagram(from, to, bytes) => self.datagram(from, to, bytes),
            Event::Begins(n) => self.fault_begins(n),
            Event::Ends(n) => self.fault_ends(n),
        }
    }

    /// The event, if the front of that life runs; if it is stopped, the event waits until it goes on.
    fn is_there(&mut self, front: usize, life: u32, event: Event) -> Option<Event> {
        let member = &mut self.members[front];
        if member.lives != life || member.life.is_none() {
            return None;
        }
        if member.stopped {
            member.waits.push(event);
            return None;
        }
        Some(event)
    }

    fn datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let moment = self.moment(to);
        let member = &mut self.members[to];
        if member.stopped {
            member.waits.push(Event::Datagram(from, to, bytes));
        } else if let Some(exchange) = member.life.as_mut().and_then(|life| life.exchange.as_mut())
        {
            let out = exchange.receive(moment, address(from), &bytes);
            self.send_output(to, out);
            self.promised(to);
        }
    }

    /// A fault of the scenario begins.
    fn fault_begins(&mut self, n: usize) {
        let probed = self
            .account
            .relayed
            .iter()
            .rev()
            .find(|r| r.probes > 0)
            .map(|r| r.front);
        let fault = self.scenario.faults[n].on(probed);
        self.playing.insert(n, fault.clone());
        self.begin(n, &fault);
    }

    /// A fault of the scenario ends, unless it has to wait.
    fn fault_ends(&mut self, n: usize) {
        if let Some(later) = self.is_armed(n).or_else(|| self.still_ends(n)) {
            return self.at(later, Event::Ends(n));
        }
        let Some(fault) = self.playing.remove(&n) else {
            return;
        };
        self.end(&fault);
        let from = self.began + fault.at_ms as i64 * 1000;
        self.account.played.push((fault, from, self.now));
    }

    /// The Unix clock of a front, by which it decides.
    pub(super) fn own(&self, n: usize) -> i64 {
        self.now + self.members[n].ahead
    }

    pub(super) fn moment(&self, n: usize) -> ClockReading {
        let own = self.own(n);
        ClockReading {
            now: own,
            steady: self.now,
            wall_ms: (own / 1000) as u64,
        }
    }
}
