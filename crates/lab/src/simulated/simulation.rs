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

pub(super) const NETWORK_DELAY_US: (i64, i64) = (200, 2_000); // microseconds that anything takes from one place to another, drawn evenly
pub(super) const PROBE_TIMEOUT_US: i64 = 250_000; // microseconds until a probe without an answer counts as failed
pub(super) const SETTLE_TIME_US: i64 = 10_000_000; // microseconds before the load, for the fronts to find each other
pub(super) const RUN_OUT_US: i64 = 10_000_000; // microseconds beyond the load and its last time-out
pub(super) const ANSWER_SLACK_US: i64 = 50_000; // microseconds for a final answer: two looks of the module's
pub(super) const START_WALL_US: i64 = 1_800_000_000_000_000; // Unix microseconds at time 0
pub(super) const DRIFT_PPM: u32 = 10_000; // millionths; clocks here run alike
pub(super) const SEED_COUNT: usize = 3; // fronts that each asks first, drawn: a few for all would be slow to answer them

pub(super) type ExecutionId = (Ticket, usize);

pub(super) enum Event {
    /// The next statement of the load is due.
    StatementDue,
    /// A front's own clock is due.
    Due(usize),
    /// An execution has come to an engine, or its answer back to the front of that life.
    ExecutionArrives(usize, u32, ExecutionId, usize),
    EndedExecution(EndedExecution),
    /// A repeat that an engine drops is answered.
    DuplicateAnswered(usize, u32, ExecutionId, usize),
    /// The last is its report of the statements in hand.
    Answers(usize, u32, ExecutionId, Ending, Option<usize>),
    /// A probe likewise; its number tells which.
    ProbeArrives(usize, u32, usize, u64),
    ProbeAnswers(usize, u32, EngineIndex, u64, Option<usize>),
    Datagram(usize, usize, Vec<u8>),
    /// What the front of that life has written is lasting.
    SyncFinished(usize, u32),
    /// A client asks again, at another front.
    ClientRetries(Client),
    /// A step of a promise is reached at a front; and the time for that is over.
    StepReached(Step, usize),
    StepTimedOut(usize),
    /// A front of that life that is to end may close its listener.
    CheckShutdown(usize, u32),
    /// Time to look at what fronts hold; and at whether all copies stand.
    SampleSizes,
    CheckReplicas,
    FaultBegins(usize),
    FaultEnds(usize),
}

/// An execution that has run on an engine.
pub(super) struct EndedExecution {
    pub(super) front: usize,
    pub(super) incarnation: u32,
    pub(super) sent: ExecutionId,
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
pub(super) struct RunningFront {
    pub(super) dispatcher: Dispatcher,
    pub(super) exchange: Option<Exchange>,
    pub(super) barrier: Option<BarrierDriver>,
    /// Answers of the ledger that have yet to be taken.
    pub(super) ledger_answers: Vec<LedgerAnswer>,
    pub(super) probes: HashMap<u64, EngineIndex>,
    pub(super) connections: Connections,
}

pub(super) struct Member {
    pub(super) running: Option<RunningFront>,
    /// Counts its lives: what was meant for an earlier one means nothing.
    pub(super) incarnation: u32,
    pub(super) is_stalled: bool,
    /// When it was asked to end.
    pub(super) shutdown_asked_at: Option<i64>,
    /// What came while it was stopped, in order.
    pub(super) pending_events: Vec<Event>,
    pub(super) next_due: i64,
    pub(super) clock_ahead: i64,
    pub(super) links: BTreeMap<usize, LinkState>,
    /// What it saved as a voter.
    pub(super) voter_state: Option<Vec<u8>>,
    pub(super) disk: Disk,
    /// Spans in which it was stopped, killed or ending.
    pub(super) disruptions: Vec<(i64, i64)>,
}

pub(super) struct Engine {
    pub(super) zone: usize,
    pub(super) started_at: i64,
    pub(super) running: usize,
    /// Counts its connections' lives: a reset ends what is out.
    pub(super) reset_count: u64,
    pub(super) rejected: i64,
    pub(super) peak: f64,
    pub(super) peak_since_start: f64,
}

pub(super) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) settings: Settings,
    pub(super) warmth: Warmth,
    pub(super) now: i64,
    pub(super) load_began: i64,
    pub(super) queue: BinaryHeap<Reverse<(i64, u64)>>,
    pub(super) events: HashMap<u64, Event>,
    pub(super) next_event: u64,
    pub(super) rng: Pcg64Mcg,
    pub(super) members: Vec<Member>,
    pub(super) engines: Vec<Engine>,
    pub(super) keys: std::rc::Rc<Keys>,
    pub(super) datagram_faults: DatagramFaults,
    pub(super) account: Account,
    /// Executions out at engines, for resets: by engine.
    pub(super) in_flight: BTreeMap<usize, Vec<(usize, u32, ExecutionId)>>,
    pub(super) statement_count: u64,
    /// The statements by front, life and ticket: their place in the record.
    pub(super) statement_numbers: HashMap<(usize, u32, Ticket), usize>,
    /// Whoever asked, beside what the record has of it.
    pub(super) clients: Vec<Client>,
    pub(super) link_count: u32,
    /// When the first of each deduplicated statement of a front began and ends.
    pub(super) first_executions: HashMap<(usize, String), (i64, i64)>,
    /// The fronts that keep copies, and where each is heard.
    pub(super) ledger_members: (
        Vec<hallmux_ledger::Member>,
        BTreeMap<hallmux_gossip::PeerId, SocketAddr>,
    ),
    pub(super) armed: Option<Armed>,
    pub(super) mutation: Mutation,
    pub(super) growth: Growth,
    /// Of the ledger.
    pub(super) shards: u16,
    /// Faults that are played now, by their place in the scenario.
    pub(super) active_faults: BTreeMap<usize, Fault>,
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
    pub(super) fn schedule_event(&mut self, when: i64, event: Event) {
        self.next_event += 1;
        self.queue
            .push(Reverse((when.max(self.now), self.next_event)));
        self.events.insert(self.next_event, event);
    }

    pub(super) fn draw_network_delay(&mut self) -> i64 {
        self.rng
            .random_range(NETWORK_DELAY_US.0..=NETWORK_DELAY_US.1)
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
            Event::StatementDue => self.offer(),
            Event::Due(n) if self.members[n].next_due <= self.now => self.run_front(n),
            Event::Due(_) => {}
            Event::ExecutionArrives(front, incarnation, sent, engine) => {
                self.receive_execution(front, incarnation, sent, engine)
            }
            Event::EndedExecution(ran) => self.end_execution(ran),
            Event::DuplicateAnswered(front, incarnation, sent, e) => {
                self.send_answer(front, incarnation, sent, e, Ending::Answered)
            }
            Event::ClientRetries(client) => self.submit_statement(client),
            Event::StepReached(step, front) => _ = self.record_step(step, front),
            Event::StepTimedOut(fault) => self.step_timed_out(fault),
            Event::CheckShutdown(front, incarnation) => self.try_shutdown(front, incarnation),
            Event::SampleSizes => self.sample_sizes(),
            Event::CheckReplicas => self.check_replicas(),
            Event::SyncFinished(front, incarnation) => {
                if self.deliver_or_defer(front, incarnation, event).is_some() {
                    self.finish_sync(front);
                }
            }
            Event::ProbeArrives(front, incarnation, engine, probe) => {
                if self.link_passes(front, engine, false) {
                    let at = self.now + self.draw_network_delay();
                    let active = self.engines[engine].running;
                    self.schedule_event(
                        at,
                        Event::ProbeAnswers(front, incarnation, engine, probe, Some(active)),
                    );
                }
            }
            Event::Answers(front, incarnation, ..)
            | Event::ProbeAnswers(front, incarnation, ..) => {
                if let Some(event) = self.deliver_or_defer(front, incarnation, event) {
                    self.receive_answer(front, event);
                }
            }
            Event::Datagram(from, to, bytes) => self.receive_datagram(from, to, bytes),
            Event::FaultBegins(n) => self.start_scenario_fault(n),
            Event::FaultEnds(n) => self.end_scenario_fault(n),
        }
    }

    /// The event, if the front of that life runs; if it is stopped, the event waits until it goes on.
    fn deliver_or_defer(&mut self, front: usize, incarnation: u32, event: Event) -> Option<Event> {
        let member = &mut self.members[front];
        if member.incarnation != incarnation || member.running.is_none() {
            return None;
        }
        if member.is_stalled {
            member.pending_events.push(event);
            return None;
        }
        Some(event)
    }

    fn receive_datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let clock_reading = self.clock_reading(to);
        let member = &mut self.members[to];
        if member.is_stalled {
            member.pending_events.push(Event::Datagram(from, to, bytes));
        } else if let Some(exchange) = member
            .running
            .as_mut()
            .and_then(|running| running.exchange.as_mut())
        {
            let out = exchange.receive(clock_reading, address(from), &bytes);
            self.send_output(to, out);
            self.take_ledger_answers(to);
        }
    }

    /// A fault of the scenario begins.
    fn start_scenario_fault(&mut self, n: usize) {
        let probed = self
            .account
            .relayed
            .iter()
            .rev()
            .find(|r| r.probes > 0)
            .map(|r| r.front);
        let fault = self.scenario.faults[n].resolve_owner(probed);
        self.active_faults.insert(n, fault.clone());
        self.start_fault(n, &fault);
    }

    /// A fault of the scenario ends, unless it has to wait.
    fn end_scenario_fault(&mut self, n: usize) {
        if let Some(later) = self.death_retry_at(n).or_else(|| self.shutdown_retry_at(n)) {
            return self.schedule_event(later, Event::FaultEnds(n));
        }
        let Some(fault) = self.active_faults.remove(&n) else {
            return;
        };
        self.end_fault(&fault);
        let from = self.load_began + fault.at_ms as i64 * 1000;
        self.account.played.push((fault, from, self.now));
    }

    /// The Unix clock of a front, by which it decides.
    pub(super) fn local_time(&self, n: usize) -> i64 {
        self.now + self.members[n].clock_ahead
    }

    pub(super) fn clock_reading(&self, n: usize) -> ClockReading {
        let local_time = self.local_time(n);
        ClockReading {
            now: local_time,
            steady: self.now,
            wall_ms: (local_time / 1000) as u64,
        }
    }
}
