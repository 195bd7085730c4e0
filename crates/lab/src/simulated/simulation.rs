//! The fleet rig in simulated time: the same scenario and record as for processes, but fronts are
//! dispatchers whose exchange of datagrams is driven by one simulated clock, so that fleets can be
//! run that are too large for one machine. All decisions are made by `crates/dispatcher`; nothing
//! of a front is reimplemented here.

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

pub(super) const NETWORK_DELAY_US: (i64, i64) = (200, 2_000); // microseconds of a network transfer, drawn evenly
pub(super) const PROBE_TIMEOUT_US: i64 = 250_000; // a probe without an answer by then has failed
pub(super) const SETTLE_TIME_US: i64 = 10_000_000; // lead time for the fronts to find each other before the load starts
pub(super) const RUN_OUT_US: i64 = 10_000_000; // time that the run goes on after the load and its last timeout
pub(super) const ANSWER_SLACK_US: i64 = 50_000; // extra time for a final answer: two check intervals of the dispatcher
pub(super) const START_WALL_US: i64 = 1_800_000_000_000_000; // Unix time in microseconds at which the simulation starts
pub(super) const DRIFT_PPM: u32 = 10_000; // clock drift bound in millionths; simulated clocks run at one rate
pub(super) const SEED_COUNT: usize = 3; // random seed peers per front: the same few for all would be overloaded

/// An execution: the ticket of its statement and its number.
pub(super) type ExecutionId = (Ticket, usize);

/// The events of the simulation. Fields are front, incarnation, execution and engine, in this order.
pub(super) enum Event {
    /// The next statement of the load arrives.
    StatementDue,
    /// The front's next wake-up is due.
    Due(usize),
    /// An execution of that incarnation arrives at an engine.
    ExecutionArrives(usize, u32, ExecutionId, usize),
    EndedExecution(EndedExecution),
    /// An engine answers a dropped duplicate.
    DuplicateAnswered(usize, u32, ExecutionId, usize),
    /// The engine's answer arrives at the front; the last field reports the engine's active
    /// statements.
    Answers(usize, u32, ExecutionId, Ending, Option<usize>),
    /// A probe arrives at an engine, or its answer or timeout at the front; the number identifies
    /// it.
    ProbeArrives(usize, u32, usize, u64),
    ProbeAnswers(usize, u32, EngineIndex, u64, Option<usize>),
    Datagram(usize, usize, Vec<u8>),
    /// A disk sync of the front of that incarnation has finished.
    SyncFinished(usize, u32),
    /// A client retries at another front.
    ClientRetries(Client),
    /// A step of a ledger entry is reached at a front; the time limit of a fault's step has passed.
    StepReached(Step, usize),
    StepTimedOut(usize),
    /// Checks whether a front of that incarnation that is shutting down may exit.
    CheckShutdown(usize, u32),
    /// Samples resource usage; checks whether all replicas exist.
    SampleSizes,
    CheckReplicas,
    FaultBegins(usize),
    FaultEnds(usize),
}

/// An execution that has finished on an engine.
pub(super) struct EndedExecution {
    pub(super) front: usize,
    pub(super) incarnation: u32,
    pub(super) sent: ExecutionId,
    pub(super) engine: usize,
    pub(super) resets: u64,
    /// The link number of this execution in the record.
    pub(super) link: u32,
}

/// Rules that ledger entries depend on, removed on purpose to verify that the checks detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mutation {
    /// Executions are sent before their ledger entry is replicated.
    pub skips_barrier: bool,
    /// An emptied disk returns with its former identity.
    pub reuses_disk_identity: bool,
    /// Datagrams are sent before the state that they rely on is durable.
    pub sends_before_sync: bool,
}

/// The state of a front while it runs.
pub(super) struct RunningFront {
    pub(super) dispatcher: Dispatcher,
    pub(super) exchange: Option<Exchange>,
    pub(super) barrier: Option<BarrierDriver>,
    /// Ledger answers that have yet to be taken.
    pub(super) ledger_answers: Vec<LedgerAnswer>,
    pub(super) probes: HashMap<u64, EngineIndex>,
    pub(super) connections: Connections,
}

/// A front over its incarnations.
pub(super) struct Member {
    pub(super) running: Option<RunningFront>,
    /// The number of starts; events meant for an earlier incarnation are ignored.
    pub(super) incarnation: u32,
    pub(super) is_stalled: bool,
    /// The time at which a shutdown was requested.
    pub(super) shutdown_asked_at: Option<i64>,
    /// Events received while the front was stalled, in order.
    pub(super) pending_events: Vec<Event>,
    pub(super) next_due: i64,
    pub(super) clock_ahead: i64,
    pub(super) links: BTreeMap<usize, LinkState>,
    /// The state saved as a voter.
    pub(super) voter_state: Option<Vec<u8>>,
    pub(super) disk: Disk,
    /// Spans in which the front was stalled, killed or shutting down.
    pub(super) disruptions: Vec<(i64, i64)>,
}

/// A simulated engine and its load peaks.
pub(super) struct Engine {
    pub(super) zone: usize,
    pub(super) started_at: i64,
    pub(super) running: usize,
    /// Counts connection resets; the answers of executions that were in flight at a reset are
    /// dropped.
    pub(super) reset_count: u64,
    pub(super) rejected: i64,
    pub(super) peak: f64,
    pub(super) peak_since_start: f64,
}

/// The state of a run in simulated time.
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
    /// Executions in flight, by engine, for resets.
    pub(super) in_flight: BTreeMap<usize, Vec<(usize, u32, ExecutionId)>>,
    pub(super) statement_count: u64,
    /// Index in the record of each statement, by front, incarnation and ticket.
    pub(super) statement_numbers: HashMap<(usize, u32, Ticket), usize>,
    /// The client of each statement in the record, at the same index.
    pub(super) clients: Vec<Client>,
    pub(super) link_count: u32,
    /// Start and end of the first execution of each deduplicated statement, by front.
    pub(super) first_executions: HashMap<(usize, String), (i64, i64)>,
    /// The members of the ledger, and the address of each.
    pub(super) ledger_members: (
        Vec<hallmux_ledger::Member>,
        BTreeMap<hallmux_gossip::PeerId, SocketAddr>,
    ),
    pub(super) armed: Option<Armed>,
    pub(super) mutation: Mutation,
    pub(super) growth: Growth,
    /// The number of shards of the ledger.
    pub(super) shards: u16,
    /// Active faults by their index in the scenario.
    pub(super) active_faults: BTreeMap<usize, Fault>,
}

/// The secret key of a front.
pub(super) fn secret(n: usize) -> [u8; 32] {
    let mut secret = [7; 32];
    secret[..8].copy_from_slice(&(n as u64 + 1).to_be_bytes());
    secret
}

/// The gossip address of a front.
pub(super) fn address(n: usize) -> SocketAddr {
    ([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7946).into()
}

/// The front with that gossip address.
pub(super) fn front_at(at: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(at) = at else { return None };
    let [_, _, high, low] = at.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
}

impl Simulation<'_> {
    /// Schedules an event, not before the current time.
    pub(super) fn schedule_event(&mut self, when: i64, event: Event) {
        self.next_event += 1;
        self.queue
            .push(Reverse((when.max(self.now), self.next_event)));
        self.events.insert(self.next_event, event);
    }

    /// Draws the delay of a network transfer in microseconds.
    pub(super) fn draw_network_delay(&mut self) -> i64 {
        self.rng
            .random_range(NETWORK_DELAY_US.0..=NETWORK_DELAY_US.1)
    }

    /// Handles all events up to time `over`.
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

    /// Handles an event.
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

    /// Returns the event if the front of that incarnation runs; if the front is stalled, defers the
    /// event until it continues.
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

    /// Starts a fault of the scenario.
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

    /// Ends a fault of the scenario, or schedules a later attempt if its front has yet to exit.
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

    /// The front's own clock in Unix microseconds, including its offset.
    pub(super) fn local_time(&self, n: usize) -> i64 {
        self.now + self.members[n].clock_ahead
    }

    /// The clock reading of a front.
    pub(super) fn clock_reading(&self, n: usize) -> ClockReading {
        let local_time = self.local_time(n);
        ClockReading {
            now: local_time,
            steady: self.now,
            wall_ms: (local_time / 1000) as u64,
        }
    }
}
