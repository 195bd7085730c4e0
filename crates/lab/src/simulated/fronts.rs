//! The fronts of a simulated fleet: started, asked, and told by one clock; what each decides is obeyed.

use std::collections::HashMap;

use hallmux_dispatcher::{Command, Dispatcher, Ending, ListScope, Listing, Mode, Protocol};
use hallmux_fleet::ledger_barrier::{BarrierDriver, OrderedExecution};
use hallmux_fleet::{Exchange, OwnershipConfig, VoterAddress};
use hallmux_gossip::node::NodeConfig;
use hallmux_gossip::seal::{peer_id, Identity};
use hallmux_lease::LeaseTerms;
use rand::Rng;

use super::connections::Connections;
use super::simulation::{address, secret, Event, Life, Sent, Simulation};
use super::simulation::{DRIFT_PPM, MOST_SEEDS, PROBED_WITHIN};
use crate::check::Outcome;
use crate::rig::agreed::zone_name;

const ROUNDS: usize = 8; // decisions in a turn, as in the front

impl Simulation<'_> {
    /// A front starts, anew where it ran before.
    pub(super) fn start(&mut self, n: usize) {
        let at = self.moment(n);
        let exchange = self.scenario.fleet.gossip.then(|| {
            let fronts = self.scenario.fleet.fronts;
            let seeds = (0..MOST_SEEDS)
                .map(|_| address(self.chance.random_range(0..fronts)))
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
                let saved = self.members[n].saved.clone();
                let ownership = OwnershipConfig {
                    fleet: "lab".to_string(),
                    voters,
                    terms,
                    saved,
                };
                let owns = exchange.enable_ownership(at, ownership);
                debug_assert!(owns.is_ok(), "what was saved is whole");
            }
            let promises = self.promises(n, &mut exchange);
            debug_assert!(promises.is_ok(), "what was kept is whole: {promises:?}");
            exchange
        });
        let seed = self.chance.random();
        let mut dispatcher = Dispatcher::new(&self.settings, seed);
        let paced = self.settings.agreement.budgets.is_some();
        let connections = Connections::new(paced, self.own(n), seed);
        let zones: Vec<String> = (0..self.scenario.fleet.zones).map(zone_name).collect();
        let ids: Vec<String> = (0..self.engines.len()).map(|e| format!("e{e}")).collect();
        let list: Vec<Listing> = self
            .engines
            .iter()
            .zip(&ids)
            .map(|(e, id)| listing(id, &zones[e.zone], None))
            .collect();
        dispatcher.update_engines(ListScope::Full, &list);
        let own = self.own(n);
        let guards = self.scenario.fleet.copies.is_some();
        let guard =
            guards.then(|| BarrierDriver::new(&self.settings, own, self.shards, &mut dispatcher));
        let member = &mut self.members[n];
        member.lives += 1;
        member.life = Some(Life {
            dispatcher,
            exchange,
            guard,
            done: Vec::new(),
            probes: HashMap::new(),
            connections,
        });
        self.turn(n);
    }

    /// A front decides on all that it was told, and does what is due.
    pub(super) fn turn(&mut self, n: usize) {
        let (own, at) = (self.own(n), self.moment(n));
        let member = &mut self.members[n];
        let Some(life) = member.life.as_mut().filter(|_| !member.stopped) else {
            return;
        };
        let lives = member.lives;
        if let Some(exchange) = &mut life.exchange {
            let chance = &mut self.chance;
            let ticked = exchange.tick(at, &mut life.dispatcher, &mut || chance.random());
            self.send_output(n, ticked.output);
        }
        for _ in 0..ROUNDS {
            self.guarded(n);
            let Some(life) = &mut self.members[n].life else {
                return;
            };
            life.connections.tell(own, &mut life.dispatcher);
            let next = life.dispatcher.tick(own);
            if next.is_empty() {
                break;
            }
            next.into_iter()
                .for_each(|order| self.obey(n, lives, order));
        }
        self.wakes(n);
    }

    /// Notes when something is next due at a front.
    pub(super) fn wakes(&mut self, n: usize) {
        let at = self.moment(n);
        let member = &mut self.members[n];
        let Some(life) = member.life.as_ref().filter(|_| !member.stopped) else {
            return;
        };
        let exchange = life
            .exchange
            .as_ref()
            .map_or(i64::MAX, |exchange| exchange.due(at));
        let guard = life.guard.as_ref().map_or(i64::MAX, BarrierDriver::due);
        let due = life
            .dispatcher
            .next_tick()
            .min(exchange)
            .min(guard)
            .saturating_sub(member.ahead)
            .max(self.now + 1);
        if due < member.due || member.due <= self.now {
            member.due = due;
            self.at(due, Event::Due(n));
        }
    }

    pub(super) fn obey(&mut self, n: usize, lives: u32, order: Command) {
        match order {
            Command::Send {
                ticket,
                execution,
                engine: place,
                terms,
            } => {
                let own = self.own(n);
                let Some(life) = &mut self.members[n].life else {
                    return;
                };
                let (sent, dispatcher) = ((ticket, execution), &mut life.dispatcher);
                let ordered = OrderedExecution {
                    ticket,
                    execution,
                    place,
                    terms,
                };
                let held = life
                    .guard
                    .as_mut()
                    .is_some_and(|guard| guard.hold(own, dispatcher, ordered));
                if !held || self.spoil.acts_first {
                    self.leaves(n, sent, place);
                }
            }
            Command::Probe {
                engine: place,
                for_fleet,
            } => {
                let steady = self.now;
                let exchange = self.members[n]
                    .life
                    .as_ref()
                    .and_then(|life| life.exchange.as_ref());
                if for_fleet && exchange.is_some_and(|x| !x.may_probe(steady)) {
                    return;
                }
                if !self.reaches(n, place, None) {
                    return;
                }
                self.relays((n, place), (0, 1, 0));
                self.number += 1;
                let probe = self.number;
                if let Some(life) = &mut self.members[n].life {
                    life.probes.insert(probe, place);
                }
                if self.passes(n, place, true) {
                    let at = self.now + self.way() + self.delay(n, place);
                    self.at(at, Event::ProbeArrives(n, lives, place, probe));
                }
                self.at(
                    self.now + PROBED_WITHIN,
                    Event::ProbeAnswers(n, lives, place, probe, None),
                );
            }
            Command::Reject { ticket, .. } => {
                self.answer(n, ticket, Outcome::Error("53000".into()))
            }
            Command::Abort { ticket, .. } => self.answer(n, ticket, Outcome::Error("08007".into())),
            // What is given up is reported at once, as the front's network code does.
            Command::Cancel {
                ticket,
                execution,
                ending,
            } => {
                let own = self.own(n);
                let Some(life) = &mut self.members[n].life else {
                    return;
                };
                let held = life
                    .guard
                    .as_mut()
                    .is_some_and(|guard| guard.cancel(own, ticket, execution));
                let ending = if held { Ending::Withdrawn } else { ending };
                life.connections.ended((ticket, execution), ending);
                life.dispatcher
                    .execution_ended(own, ticket, execution, ending, None);
            }
            Command::SetConnectionRate { connections } => {
                let own = self.own(n);
                let life = self.members[n].life.iter_mut();
                life.for_each(|life| life.connections.pacer.set_rate(own, connections));
            }
            Command::SetPriority { .. } => {}
        }
    }

    /// An execution leaves for its engine.
    pub(super) fn leaves(&mut self, n: usize, sent: Sent, place: usize) {
        let lives = self.members[n].lives;
        let before = self.account.relayed.len();
        if !self.reaches(n, place, Some(sent)) {
            let own = self.own(n);
            let Some(life) = &mut self.members[n].life else {
                return;
            };
            life.dispatcher
                .execution_ended(own, sent.0, sent.1, Ending::Withdrawn, None);
            return;
        }
        let opened = self.account.relayed.len() > before;
        self.relays((n, place), (1, 0, 0));
        *self.account.dispatched_statements.get_or_insert(0) += i64::from(sent.1 == 0);
        if self.passes(n, place, true) {
            self.out.entry(place).or_default().push((n, lives, sent));
            let there = if opened { self.way() + self.way() } else { 0 };
            let at = self.now + there + self.way() + self.delay(n, place);
            self.at(at, Event::Arrives(n, lives, sent, place));
        }
    }

    /// An engine's answer has come to a front.
    pub(super) fn receive_answer(&mut self, n: usize, event: Event) {
        let now = self.own(n);
        let Some(life) = &mut self.members[n].life else {
            return;
        };
        if let Event::Answers(_, _, (ticket, execution), ending, active) = event {
            life.connections.ended((ticket, execution), ending);
            let inline = !self.scenario.engine.load_on_probe;
            let report = active.filter(|_| inline).map(|active| vec![active as f64]);
            if life
                .dispatcher
                .execution_ended(now, ticket, execution, ending, report)
            {
                self.answer(n, ticket, Outcome::Completed { rows: 1 });
            }
        } else if let Event::ProbeAnswers(_, _, place, probe, active) = event {
            if life.probes.remove(&probe).is_some() {
                let report = active.map(|active| vec![active as f64]);
                life.dispatcher
                    .probe_ended(now, place, active.is_some(), report);
            }
        }
        self.turn(n);
    }
}

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
