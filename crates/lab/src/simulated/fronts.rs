//! The fronts of a simulated fleet: starts them, runs them by the simulated clock, and executes
//! their commands.

use std::collections::HashMap;

use hallmux_dispatcher::{Command, Dispatcher, Ending, ListScope, Listing, Mode, Protocol};
use hallmux_fleet::ledger_barrier::{BarrierDriver, OrderedExecution};
use hallmux_fleet::{Exchange, OwnershipConfig, VoterAddress};
use hallmux_gossip::node::NodeConfig;
use hallmux_gossip::seal::{peer_id, Identity};
use hallmux_lease::LeaseTerms;
use rand::Rng;

use super::connections::Connections;
use super::simulation::{address, secret, Event, ExecutionId, RunningFront, Simulation};
use super::simulation::{DRIFT_PPM, PROBE_TIMEOUT_US, SEED_COUNT};
use crate::check::Outcome;
use crate::rig::agreed::zone_name;

const DECISION_ROUNDS: usize = 8; // limit on decisions per iteration, as in the front

impl Simulation<'_> {
    /// Starts or restarts a front.
    pub(super) fn start(&mut self, n: usize) {
        let at = self.clock_reading(n);
        let exchange = self.scenario.fleet.gossip.then(|| {
            let fronts = self.scenario.fleet.fronts;
            let seeds = (0..SEED_COUNT)
                .map(|_| address(self.rng.random_range(0..fronts)))
                .collect();
            let start = NodeConfig {
                secret: secret(n),
                keys: self.keys.clone(),
                address: address(n),
                seeds,
            };
            let mut exchange = Exchange::new(start, at.wall_ms);
            if self.scenario.fleet.sheds_as_one {
                exchange.enable_load_reports();
            }
            if let Some(voters) = self.scenario.fleet.voters {
                let voters = (0..voters)
                    .map(|n| VoterAddress {
                        id: peer_id(&Identity::new(&secret(n), 0).public_key()),
                        address: address(n),
                    })
                    .collect();
                let scenario = &self.scenario.fleet;
                let terms = LeaseTerms {
                    length: scenario.lease_ms as i64 * 1000,
                    drift_ppm: DRIFT_PPM,
                };
                let saved = self.members[n].voter_state.clone();
                let ownership = OwnershipConfig {
                    fleet: "lab".to_string(),
                    voters,
                    terms,
                    saved,
                };
                let owns = exchange.enable_ownership(at, ownership);
                debug_assert!(owns.is_ok(), "the saved voter state is valid");
            }
            let enabled = self.enable_ledger(n, &mut exchange);
            debug_assert!(
                enabled.is_ok(),
                "the records on disk are valid: {enabled:?}"
            );
            exchange
        });
        let seed = self.rng.random();
        let mut dispatcher = Dispatcher::new(&self.settings, seed);
        let paced = self.settings.agreement.budgets.is_some();
        let connections = Connections::new(paced, self.local_time(n), seed);
        let zones: Vec<String> = (0..self.scenario.fleet.zones).map(zone_name).collect();
        let ids: Vec<String> = (0..self.engines.len()).map(|e| format!("e{e}")).collect();
        let list: Vec<Listing> = self
            .engines
            .iter()
            .zip(&ids)
            .map(|(e, id)| listing(id, &zones[e.zone], None))
            .collect();
        dispatcher.update_engines(ListScope::Full, &list);
        let local_time = self.local_time(n);
        let has_ledger = self.scenario.fleet.copies.is_some();
        let barrier = has_ledger
            .then(|| BarrierDriver::new(&self.settings, local_time, self.shards, &mut dispatcher));
        let member = &mut self.members[n];
        member.incarnation += 1;
        member.running = Some(RunningFront {
            dispatcher,
            exchange,
            barrier,
            ledger_answers: Vec::new(),
            probes: HashMap::new(),
            connections,
        });
        self.run_front(n);
    }

    /// Runs one iteration of the front: exchange, ledger barrier and dispatcher.
    pub(super) fn run_front(&mut self, n: usize) {
        let (local_time, at) = (self.local_time(n), self.clock_reading(n));
        let member = &mut self.members[n];
        let Some(running) = member.running.as_mut().filter(|_| !member.is_stalled) else {
            return;
        };
        let incarnation = member.incarnation;
        if let Some(exchange) = &mut running.exchange {
            let chance = &mut self.rng;
            let ticked = exchange.tick(at, &mut running.dispatcher, &mut || chance.random());
            self.send_output(n, ticked.output);
        }
        for _ in 0..DECISION_ROUNDS {
            self.advance_barrier(n);
            let Some(running) = &mut self.members[n].running else {
                return;
            };
            running
                .connections
                .update_capacity(local_time, &mut running.dispatcher);
            let next = running.dispatcher.tick(local_time);
            if next.is_empty() {
                break;
            }
            next.into_iter()
                .for_each(|command| self.execute_command(n, incarnation, command));
        }
        self.schedule_wakeup(n);
    }

    /// Schedules the front's next wake-up.
    pub(super) fn schedule_wakeup(&mut self, n: usize) {
        let at = self.clock_reading(n);
        let member = &mut self.members[n];
        let Some(running) = member.running.as_ref().filter(|_| !member.is_stalled) else {
            return;
        };
        let exchange = running
            .exchange
            .as_ref()
            .map_or(i64::MAX, |exchange| exchange.due(at));
        let barrier = running
            .barrier
            .as_ref()
            .map_or(i64::MAX, BarrierDriver::due);
        let due = running
            .dispatcher
            .next_tick()
            .min(exchange)
            .min(barrier)
            .saturating_sub(member.clock_ahead)
            .max(self.now + 1);
        if due < member.next_due || member.next_due <= self.now {
            member.next_due = due;
            self.schedule_event(due, Event::Due(n));
        }
    }

    /// Executes a command of the front's dispatcher.
    pub(super) fn execute_command(&mut self, n: usize, incarnation: u32, command: Command) {
        match command {
            Command::Send {
                ticket,
                execution,
                engine: place,
                terms,
            } => {
                let local_time = self.local_time(n);
                let Some(running) = &mut self.members[n].running else {
                    return;
                };
                let (sent, dispatcher) = ((ticket, execution), &mut running.dispatcher);
                let ordered = OrderedExecution {
                    ticket,
                    execution,
                    place,
                    terms,
                };
                let held = running
                    .barrier
                    .as_mut()
                    .is_some_and(|barrier| barrier.hold(local_time, dispatcher, ordered));
                if !held || self.mutation.skips_barrier {
                    self.send_execution(n, sent, place);
                }
            }
            Command::Probe {
                engine: place,
                for_fleet,
            } => {
                let steady = self.now;
                let exchange = self.members[n]
                    .running
                    .as_ref()
                    .and_then(|running| running.exchange.as_ref());
                if for_fleet && exchange.is_some_and(|x| !x.may_probe(steady)) {
                    return;
                }
                if !self.acquire_connection(n, place, None) {
                    return;
                }
                self.record_traffic((n, place), (0, 1, 0));
                self.next_event += 1;
                let probe = self.next_event;
                if let Some(running) = &mut self.members[n].running {
                    running.probes.insert(probe, place);
                }
                if self.link_passes(n, place, true) {
                    let at = self.now + self.draw_network_delay() + self.link_delay(n, place);
                    self.schedule_event(at, Event::ProbeArrives(n, incarnation, place, probe));
                }
                self.schedule_event(
                    self.now + PROBE_TIMEOUT_US,
                    Event::ProbeAnswers(n, incarnation, place, probe, None),
                );
            }
            Command::Reject { ticket, .. } => {
                self.answer(n, ticket, Outcome::Error("53000".into()))
            }
            Command::Abort { ticket, .. } => self.answer(n, ticket, Outcome::Error("08007".into())),
            // A cancelled execution is reported as ended at once, as in the front's network code.
            Command::Cancel {
                ticket,
                execution,
                ending,
            } => {
                let local_time = self.local_time(n);
                let Some(running) = &mut self.members[n].running else {
                    return;
                };
                let held = running
                    .barrier
                    .as_mut()
                    .is_some_and(|barrier| barrier.cancel(local_time, ticket, execution));
                let ending = if held { Ending::Withdrawn } else { ending };
                running
                    .connections
                    .execution_ended((ticket, execution), ending);
                running
                    .dispatcher
                    .execution_ended(local_time, ticket, execution, ending, None);
            }
            Command::SetConnectionRate { connections } => {
                let local_time = self.local_time(n);
                let running = self.members[n].running.iter_mut();
                running.for_each(|running| {
                    running.connections.pacer.set_rate(local_time, connections)
                });
            }
            Command::SetPriority { .. } => {}
        }
    }

    /// Sends an execution to its engine.
    pub(super) fn send_execution(&mut self, n: usize, sent: ExecutionId, place: usize) {
        let incarnation = self.members[n].incarnation;
        let before = self.account.relayed.len();
        if !self.acquire_connection(n, place, Some(sent)) {
            let local_time = self.local_time(n);
            let Some(running) = &mut self.members[n].running else {
                return;
            };
            running
                .dispatcher
                .execution_ended(local_time, sent.0, sent.1, Ending::Withdrawn, None);
            return;
        }
        let opened = self.account.relayed.len() > before;
        self.record_traffic((n, place), (1, 0, 0));
        *self.account.dispatched_statements.get_or_insert(0) += i64::from(sent.1 == 0);
        if self.link_passes(n, place, true) {
            self.in_flight
                .entry(place)
                .or_default()
                .push((n, incarnation, sent));
            let there = if opened {
                self.draw_network_delay() + self.draw_network_delay()
            } else {
                0
            };
            let at = self.now + there + self.draw_network_delay() + self.link_delay(n, place);
            self.schedule_event(at, Event::ExecutionArrives(n, incarnation, sent, place));
        }
    }

    /// Handles an answer of an engine to a statement or a probe.
    pub(super) fn receive_answer(&mut self, n: usize, event: Event) {
        let now = self.local_time(n);
        let Some(running) = &mut self.members[n].running else {
            return;
        };
        if let Event::Answers(_, _, (ticket, execution), ending, active) = event {
            running
                .connections
                .execution_ended((ticket, execution), ending);
            let inline = !self.scenario.engine.load_on_probe;
            let report = active.filter(|_| inline).map(|active| vec![active as f64]);
            if running
                .dispatcher
                .execution_ended(now, ticket, execution, ending, report)
            {
                self.answer(n, ticket, Outcome::Completed { rows: 1 });
            }
        } else if let Event::ProbeAnswers(_, _, place, probe, active) = event {
            if running.probes.remove(&probe).is_some() {
                let report = active.map(|active| vec![active as f64]);
                running
                    .dispatcher
                    .probe_ended(now, place, active.is_some(), report);
            }
        }
        self.run_front(n);
    }
}

/// The endpoint list entry of an engine.
pub(super) fn listing<'a>(id: &'a str, zone: &'a str, started: Option<i64>) -> Listing<'a> {
    Listing {
        id,
        location: zone,
        kind: "lines",
        cell: 0,
        mode: Mode::Ready,
        started,
        protocols: &[Protocol::Lines],
    }
}
