//! The fronts of a simulated fleet: started, asked, and told by one clock; what each decides is obeyed.

use std::collections::HashMap;

use hallmux_dispatcher::{Ask, Dispatcher, Listing, Mode, Order, Speech, Ticket};
use hallmux_fleet::{Exchange, Out, Ownership};
use hallmux_gossip::node::{Datagram, Start};
use hallmux_gossip::seal::{id, Own};
use hallmux_lease::Terms;
use rand::Rng;

use super::play::{address, front_at, moment, secret, Event, Life, Play};
use super::play::{DRIFT_PPM, MOST_SEEDS, PROBED_WITHIN};
use crate::check::{Asked, Outcome, Repeat};
use crate::record::account::Offered;
use crate::rig::agreed::zone_name;
use crate::rig::post::Posted;

impl Play<'_> {
    /// A front starts, anew where it ran before.
    pub(super) fn start(&mut self, n: usize) {
        let wall = self.now + self.members[n].ahead;
        let exchange = self.scenario.fleet.gossip.then(|| {
            let fronts = self.scenario.fleet.fronts;
            let seeds = (0..MOST_SEEDS).map(|_| address(self.chance.random_range(0..fronts))).collect();
            let start = Start { secret: secret(n), keys: self.keys.clone(), at: address(n), seeds };
            let mut exchange = Exchange::new(start, (wall / 1000) as u64);
            if self.scenario.fleet.sheds_as_one {
                exchange.tells_load();
            }
            if let Some(voters) = self.scenario.fleet.voters {
                let voters =
                    (0..voters).map(|n| (id(&Own::new(&secret(n), 0).public()), address(n))).collect();
                let scenario = &self.scenario.fleet;
                let terms = Terms { length: scenario.lease_ms as i64 * 1000, drift_ppm: DRIFT_PPM };
                let saved = self.members[n].saved.clone();
                let ownership = Ownership { fleet: "lab".to_string(), voters, terms, saved };
                let owns = exchange.own(moment(self.now, self.members[n].ahead), ownership);
                debug_assert!(owns.is_ok(), "what was saved is whole");
            }
            exchange
        });
        let mut dispatcher = Dispatcher::new(&self.contract, self.chance.random());
        let zones: Vec<String> = (0..self.scenario.fleet.zones).map(zone_name).collect();
        let ids: Vec<String> = (0..self.engines.len()).map(|e| format!("e{e}")).collect();
        let list: Vec<Listing> =
            self.engines.iter().zip(&ids).map(|(e, id)| listing(id, &zones[e.zone], None)).collect();
        dispatcher.list(true, &list);
        let member = &mut self.members[n];
        member.lives += 1;
        member.life = Some(Life { dispatcher, exchange, probes: HashMap::new() });
        self.turn(n);
    }

    /// A statement comes to a front drawn among those that take statements.
    pub(super) fn offer(&mut self) {
        let load = &self.scenario.load;
        let elapsed = self.now - self.began;
        if elapsed >= self.scenario.seconds as i64 * 1_000_000 {
            return;
        }
        self.at(self.now + 1_000_000 / load.per_second as i64, Event::Offered);
        let here: Vec<usize> = (0..self.members.len())
            .filter(|n| self.members[*n].life.is_some() && !self.members[*n].stopped)
            .collect();
        let Some(&front) = here.get(self.chance.random_range(0..here.len().max(1))) else { return };
        self.statements += 1;
        let (id, timeout) = (format!("s{}", self.statements), load.timeout_ms as i64 * 1000);
        let mut asked = Asked::new(id, self.now, timeout, Repeat::Idempotent);
        asked.rows = 1;
        (asked.outcome, asked.answered) = (Outcome::Nothing, i64::MAX);
        let class = self.scenario.draw_class(self.chance.random());
        let ask = Ask {
            workload: &self.scenario.classes[class].name,
            customer: "acme",
            time_left: timeout,
            work: load.work_ms as f64 * 1000.0,
            memory_mb: load.memory_mb as f64,
            ..Ask::default()
        };
        let (now, lives) = (self.now, self.members[front].lives);
        if let Some(life) = &mut self.members[front].life {
            if let Ok(ticket) = life.dispatcher.pick(now, &ask) {
                self.named.insert((front, lives, ticket), self.account.asked.len());
            }
        }
        self.account.asked.push(Offered { front, class, asked, barred: false, again: false, starved: 0 });
        self.turn(front);
    }

    /// A front decides on all that it was told, and does what is due.
    pub(super) fn turn(&mut self, n: usize) {
        let (now, member) = (self.now, &mut self.members[n]);
        let Some(life) = member.life.as_mut().filter(|_| !member.stopped) else { return };
        let at = moment(now, member.ahead);
        let mut out = Out::default();
        if let Some(exchange) = &mut life.exchange {
            let chance = &mut self.chance;
            (out, _) = exchange.tick(at, &mut life.dispatcher, &mut || chance.random());
        }
        let mut orders = Vec::new();
        for _ in 0..8 {
            let next = life.dispatcher.tick(now);
            if next.is_empty() {
                break;
            }
            // What is given up is reported at once, as the front's network code does.
            for order in &next {
                if let Order::Stop { ticket, execution, ending } = order {
                    life.dispatcher.report(now, *ticket, *execution, *ending, None, None);
                }
            }
            orders.extend(next);
        }
        let exchange_due = life.exchange.as_ref().map_or(i64::MAX, |exchange| exchange.due(at));
        let due = life.dispatcher.wake().min(exchange_due).max(now + 1);
        if due < member.due || member.due <= now {
            member.due = due;
            self.at(due, Event::Due(n));
        }
        let lives = self.members[n].lives;
        for order in orders {
            self.obey(n, lives, order);
        }
        self.sends(n, out);
    }

    /// Sends what is to go out; what a voter has to save is lasting at once.
    pub(super) fn sends(&mut self, n: usize, out: Out) {
        self.posts(n, out.datagrams);
        for saved in out.saved {
            if saved.bytes.is_some() {
                self.members[n].saved = saved.bytes;
            }
            self.posts(n, saved.datagrams);
        }
    }

    pub(super) fn obey(&mut self, n: usize, lives: u32, order: Order) {
        match order {
            Order::Send { ticket, execution, place, .. } => {
                self.relays(n, place, 1, 0);
                let first = self.account.first_tries.get_or_insert(0);
                *first += i64::from(execution == 0);
                if self.passes(n, place, true) {
                    self.out.entry(place).or_default().push((n, lives, (ticket, execution)));
                    let at = self.now + self.way() + self.delay(n, place);
                    self.at(at, Event::Arrives(n, lives, (ticket, execution), place));
                }
            }
            Order::Probe { place, for_fleet } => {
                let steady = moment(self.now, self.members[n].ahead).steady;
                let exchange = self.members[n].life.as_ref().and_then(|life| life.exchange.as_ref());
                if for_fleet && exchange.is_some_and(|x| !x.may_probe(steady)) {
                    return;
                }
                self.relays(n, place, 0, 1);
                self.number += 1;
                let probe = self.number;
                if let Some(life) = &mut self.members[n].life {
                    life.probes.insert(probe, place);
                }
                if self.passes(n, place, true) {
                    let at = self.now + self.way() + self.delay(n, place);
                    self.at(at, Event::ProbeArrives(n, lives, place, probe));
                }
                self.at(self.now + PROBED_WITHIN, Event::ProbeAnswers(n, lives, place, probe, false));
            }
            Order::Reject { ticket, .. } => self.answer(n, ticket, Outcome::Error("53000".into())),
            Order::Abort { ticket } => self.answer(n, ticket, Outcome::Error("08007".into())),
            Order::Stop { .. } | Order::Hurry { .. } => {}
        }
    }

    /// A statement has its final answer.
    pub(super) fn answer(&mut self, n: usize, ticket: Ticket, outcome: Outcome) {
        let number = self.named.get(&(n, self.members[n].lives, ticket));
        if let Some(Offered { asked, .. }) = number.and_then(|number| self.account.asked.get_mut(*number)) {
            (asked.outcome, asked.answered) = (outcome, self.now);
        }
    }

    /// An engine's answer has come to a front.
    pub(super) fn told(&mut self, n: usize, event: Event) {
        let now = self.now;
        let Some(life) = &mut self.members[n].life else { return };
        if let Event::Answers(_, _, (ticket, execution), ending, active) = event {
            let report = active.map(|active| vec![active as f64]);
            if life.dispatcher.report(now, ticket, execution, ending, report, None) {
                self.answer(n, ticket, Outcome::Completed { rows: 1 });
            }
        } else if let Event::ProbeAnswers(_, _, place, probe, alive) = event {
            if life.probes.remove(&probe).is_some() {
                life.dispatcher.probed(now, place, alive, None);
            }
        }
        self.turn(n);
    }

    pub(super) fn posts(&mut self, from: usize, datagrams: Vec<Datagram>) {
        for Datagram { to, bytes } in datagrams {
            let Some(to) = front_at(to).filter(|to| *to < self.members.len()) else { continue };
            let drawn = self.chance.random_range(0..100);
            let passed = self.post.passes(from, to, drawn);
            self.account.posted.push(Posted { at: self.now, from, to, bytes: bytes.len(), passed });
            if !passed {
                continue;
            }
            let shuffled = match self.post.shuffled_ms {
                0 => 0,
                ms => self.chance.random_range(0..=ms as i64 * 1000),
            };
            let at = self.now + self.way() + self.post.delay_ms as i64 * 1000 + shuffled;
            if let Some(ms) = self.post.doubled_ms {
                self.at(at + ms as i64 * 1000, Event::Datagram(from, to, bytes.clone()));
            }
            self.at(at, Event::Datagram(from, to, bytes));
        }
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
        speaks: &[Speech::Lines],
    }
}
