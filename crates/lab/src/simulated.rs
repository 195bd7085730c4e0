//! The fleet rig in simulated time: the same scenario, the same record, but fronts are dispatchers with their
//! exchange of words driven by one clock that is a number, so that fleets beyond what one machine holds as
//! processes can be played. Nothing here is a front of its own: all decisions come out of `crates/dispatcher`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

use hallmux_agreement::Contract;
use hallmux_dispatcher::{Ask, Dispatcher, Ending, Listing, Mode, Order, Place, Speech, Ticket};
use hallmux_fleet::{Exchange, Moment, Out, Ownership};
use hallmux_gossip::node::{Datagram, Start};
use hallmux_gossip::seal::{id, Keys, Own};
use hallmux_lease::Terms;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::account::{judge, warmth, Account, Offered, Run};
use crate::check::{Asked, Outcome, Repeat};
use crate::engine::{Deed, Kind};
use crate::fleet::{settings, zone_name};
use crate::lines::Warmth;
use crate::post::{Posted, State as PostState};
use crate::relay::{Relayed, State as LinkState};
use crate::scenario::{Fault, Scenario, What};

const WAY: (i64, i64) = (200, 2_000); // microseconds that anything takes from one place to another, drawn evenly
const PROBED_WITHIN: i64 = 250_000; // microseconds until a probe without an answer counts as failed
const SETTLES: i64 = 10_000_000; // microseconds before the load, for the fronts to find each other
const AFTER: i64 = 10_000_000; // microseconds beyond the load and its last time-out
const SLACK: i64 = 50_000; // microseconds for a final answer: two looks of the module's
const WALL: i64 = 1_800_000_000_000_000; // Unix microseconds at time 0
const DRIFT_PPM: u32 = 10_000; // millionths; clocks here run alike
const MOST_SEEDS: usize = 3; // fronts that each asks first, drawn: a few for all would be slow to answer them

type Sent = (Ticket, usize);

enum Event {
    /// The next statement of the load is due.
    Offered,
    /// A front's own clock is due.
    Due(usize),
    /// An execution has come to an engine, or its answer back to the front of that life.
    Arrives(usize, u32, Sent, usize),
    Ran(usize, u32, Sent, usize, u64),
    /// The last is its report of the statements in hand.
    Answers(usize, u32, Sent, Ending, Option<usize>),
    /// A probe likewise; its number tells which.
    ProbeArrives(usize, u32, usize, u64),
    ProbeAnswers(usize, u32, Place, u64, bool),
    Datagram(usize, usize, Vec<u8>),
    Begins(usize),
    Ends(usize),
}

/// A front while it runs.
struct Life {
    dispatcher: Dispatcher,
    exchange: Option<Exchange>,
    probes: HashMap<u64, Place>,
}

struct Member {
    life: Option<Life>,
    /// Counts its lives: what was meant for an earlier one means nothing.
    lives: u32,
    stopped: bool,
    /// What came while it was stopped, in order.
    waits: Vec<Event>,
    due: i64,
    ahead: i64,
    links: BTreeMap<usize, LinkState>,
    /// What it saved as a voter.
    saved: Option<Vec<u8>>,
    /// Spans in which it was stopped, killed or ending.
    troubled: Vec<(i64, i64)>,
}

struct Engine {
    zone: usize,
    started: i64,
    running: usize,
    /// Counts its connections' lives: a reset ends what is out.
    resets: u64,
    turned_away: i64,
    peak: f64,
    peak_since_start: f64,
}

struct Play<'a> {
    scenario: &'a Scenario,
    contract: Contract,
    warmth: Warmth,
    now: i64,
    began: i64,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    events: HashMap<u64, Event>,
    number: u64,
    chance: Pcg64Mcg,
    members: Vec<Member>,
    engines: Vec<Engine>,
    keys: std::rc::Rc<Keys>,
    post: PostState,
    account: Account,
    /// Executions out at engines, for resets: by engine.
    out: BTreeMap<usize, Vec<(usize, u32, Sent)>>,
    statements: u64,
    /// The statements by front, life and ticket: their place in the record.
    named: HashMap<(usize, u32, Ticket), usize>,
    /// Faults that are played now, by their place in the scenario.
    playing: BTreeMap<usize, Fault>,
}

fn secret(n: usize) -> [u8; 32] {
    let mut secret = [7; 32];
    secret[..8].copy_from_slice(&(n as u64 + 1).to_be_bytes());
    secret
}

fn address(n: usize) -> SocketAddr {
    ([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7946).into()
}

fn front_at(at: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(at) = at else { return None };
    let [_, _, high, low] = at.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
}

/// Plays the scenario in simulated time and checks what happened.
pub fn run(scenario: &Scenario, seed: u64) -> Result<Run, String> {
    let mut contract = hallmux_agreement::contract(&settings(scenario).to_string())?;
    if let Some(quorum) = scenario.fleet.zone_quorum {
        contract.agreement.zone_quorum = quorum;
    }
    let fronts = scenario.fleet.fronts;
    let keys: Vec<[u8; 32]> = (0..fronts).map(|n| Own::new(&secret(n), 0).public()).collect();
    let engine = |n: usize| Engine {
        zone: n / scenario.fleet.engines_per_zone,
        started: WALL - 3_600_000_000,
        running: 0,
        resets: 0,
        turned_away: 0,
        peak: 0.0,
        peak_since_start: 0.0,
    };
    let mut play = Play {
        scenario,
        contract,
        warmth: warmth(scenario),
        now: WALL,
        began: WALL + SETTLES,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        number: 0,
        chance: Pcg64Mcg::seed_from_u64(seed),
        members: Vec::new(),
        engines: (0..scenario.fleet.zones * scenario.fleet.engines_per_zone).map(engine).collect(),
        keys: Keys::new(&keys),
        post: PostState::default(),
        account: Account { began: WALL + SETTLES, slack: SLACK, ..Account::default() },
        out: BTreeMap::new(),
        statements: 0,
        named: HashMap::new(),
        playing: BTreeMap::new(),
    };
    let apart = scenario.fleet.clocks_apart_ms as i64 * 1000;
    for n in 0..fronts {
        let ahead = play.chance.random_range(-apart..=apart);
        play.members.push(Member {
            life: None,
            lives: 0,
            stopped: false,
            waits: Vec::new(),
            due: i64::MAX,
            ahead,
            links: BTreeMap::new(),
            saved: None,
            troubled: Vec::new(),
        });
        play.start(n);
    }
    let began = play.began;
    play.at(began, Event::Offered);
    for (n, fault) in scenario.faults.iter().enumerate() {
        play.at(began + fault.at_ms as i64 * 1000, Event::Begins(n));
        play.at(began + (fault.at_ms + fault.for_ms) as i64 * 1000, Event::Ends(n));
    }
    let over = began + scenario.seconds as i64 * 1_000_000 + scenario.load.timeout_ms as i64 * 1000 + AFTER;
    play.play(over);
    let Play { engines, mut account, members, .. } = play;
    account.turned_away = engines.iter().map(|e| e.turned_away).sum();
    account.peak = engines.iter().map(|e| e.peak).fold(0.0, f64::max);
    account.peaks_since_start = engines.iter().map(|e| e.peak_since_start).collect();
    for Offered { front, asked, .. } in &mut account.asked {
        let troubled = &members[*front].troubled;
        let excused = troubled.iter().any(|(from, to)| asked.sent <= *to && asked.answered >= *from);
        if excused {
            (asked.may_be_lost, asked.timeout) = (true, asked.timeout + 70_000_000);
        }
    }
    Ok(judge(scenario, &account, Vec::new()))
}

impl Play<'_> {
    fn at(&mut self, when: i64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((when.max(self.now), self.number)));
        self.events.insert(self.number, event);
    }

    fn way(&mut self) -> i64 {
        self.chance.random_range(WAY.0..=WAY.1)
    }

    fn play(&mut self, over: i64) {
        while let Some(Reverse((when, number))) = self.queue.pop().filter(|Reverse((when, _))| *when <= over)
        {
            self.now = when;
            let Some(event) = self.events.remove(&number) else { continue };
            self.happens(event);
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Offered => self.offer(),
            Event::Due(n) if self.members[n].due <= self.now => self.turn(n),
            Event::Due(_) => {}
            Event::Arrives(front, life, sent, engine) => self.arrives(front, life, sent, engine),
            Event::Ran(front, life, sent, engine, resets) => self.ran(front, life, sent, engine, resets),
            Event::ProbeArrives(front, life, engine, probe) => {
                if self.passes(front, engine, false) {
                    let at = self.now + self.way();
                    self.at(at, Event::ProbeAnswers(front, life, engine, probe, true));
                }
            }
            Event::Answers(front, life, ..) | Event::ProbeAnswers(front, life, ..) => {
                let member = &mut self.members[front];
                if member.lives != life || member.life.is_none() {
                } else if member.stopped {
                    member.waits.push(event);
                } else {
                    self.told(front, event);
                }
            }
            Event::Datagram(from, to, bytes) => {
                let member = &mut self.members[to];
                if member.stopped {
                    member.waits.push(Event::Datagram(from, to, bytes));
                } else if let Some(exchange) = member.life.as_mut().and_then(|life| life.exchange.as_mut()) {
                    let moment = moment(self.now, member.ahead);
                    let out = exchange.heard(moment, address(from), &bytes);
                    self.sends(to, out);
                }
            }
            Event::Begins(n) => {
                let probed = self.account.relayed.iter().rev().find(|r| r.probes > 0).map(|r| r.front);
                let fault = self.scenario.faults[n].on(probed);
                self.playing.insert(n, fault.clone());
                self.begin(&fault);
            }
            Event::Ends(n) => {
                let Some(fault) = self.playing.remove(&n) else { return };
                self.end(&fault);
                let from = self.began + fault.at_ms as i64 * 1000;
                self.account.played.push((fault, from, self.now));
            }
        }
    }

    /// A front starts, anew where it ran before.
    fn start(&mut self, n: usize) {
        let wall = self.now + self.members[n].ahead;
        let exchange = self.scenario.fleet.gossip.then(|| {
            let fronts = self.scenario.fleet.fronts;
            let seeds = (0..MOST_SEEDS).map(|_| address(self.chance.random_range(0..fronts))).collect();
            let start = Start { secret: secret(n), keys: self.keys.clone(), at: address(n), seeds };
            let mut exchange = Exchange::new(start, (wall / 1000) as u64);
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
    fn offer(&mut self) {
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
        self.account.asked.push(Offered { front, class, asked });
        self.turn(front);
    }

    /// A front decides on all that it was told, and does what is due.
    fn turn(&mut self, n: usize) {
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
        let exchange_due = life.exchange.as_ref().map_or(i64::MAX, Exchange::due);
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
    fn sends(&mut self, n: usize, out: Out) {
        self.posts(n, out.datagrams);
        for saved in out.saved {
            if saved.bytes.is_some() {
                self.members[n].saved = saved.bytes;
            }
            self.posts(n, saved.datagrams);
        }
    }

    fn obey(&mut self, n: usize, lives: u32, order: Order) {
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
    fn answer(&mut self, n: usize, ticket: Ticket, outcome: Outcome) {
        let number = self.named.get(&(n, self.members[n].lives, ticket));
        if let Some(Offered { asked, .. }) = number.and_then(|number| self.account.asked.get_mut(*number)) {
            (asked.outcome, asked.answered) = (outcome, self.now);
        }
    }

    fn relays(&mut self, front: usize, engine: usize, statements: usize, probes: usize) {
        let (at, zone) = (self.now, self.engines[engine].zone);
        let passed = self.passes(front, engine, true);
        self.account.relayed.push(Relayed { at, front, engine, zone, statements, probes, passed });
    }

    fn link(&self, front: usize, engine: usize) -> LinkState {
        self.members[front].links.get(&engine).copied().unwrap_or_default()
    }

    fn passes(&self, front: usize, engine: usize, out: bool) -> bool {
        let link = self.link(front, engine);
        !if out { link.out_lost } else { link.back_lost }
    }

    fn delay(&self, front: usize, engine: usize) -> i64 {
        self.link(front, engine).delay_ms as i64 * 1000
    }

    fn arrives(&mut self, front: usize, life: u32, sent: Sent, e: usize) {
        let engine = &mut self.engines[e];
        let bears = self.warmth.bears(self.now - engine.started);
        let load = (engine.running + 1) as f64 / bears.max(1) as f64;
        (engine.peak, engine.peak_since_start) = (engine.peak.max(load), engine.peak_since_start.max(load));
        if engine.running >= bears {
            engine.turned_away += 1;
            return self.goes_back(front, life, sent, e, Ending::TurnedAway);
        }
        engine.running += 1;
        let resets = engine.resets;
        let number = self.named.get(&(front, life, sent.0)).copied();
        if let Some(number) = number {
            let id = self.account.asked[number].asked.id.clone();
            let kind = Kind::Began { id, key: String::new() };
            self.account.deeds.push(Deed { at: self.now, engine: e, link: 0, kind });
        }
        let at = self.now + self.scenario.load.work_ms as i64 * 1000;
        self.at(at, Event::Ran(front, life, sent, e, resets));
    }

    fn ran(&mut self, front: usize, life: u32, sent: Sent, e: usize, resets: u64) {
        self.engines[e].running = self.engines[e].running.saturating_sub(1);
        let number = self.named.get(&(front, life, sent.0)).copied();
        if let Some(number) = number {
            let id = self.account.asked[number].asked.id.clone();
            for kind in [Kind::Ended { id: id.clone() }, Kind::Kept { id }] {
                self.account.deeds.push(Deed { at: self.now, engine: e, link: 0, kind });
            }
        }
        if resets == self.engines[e].resets {
            self.goes_back(front, life, sent, e, Ending::Answered);
        }
    }

    fn goes_back(&mut self, front: usize, life: u32, sent: Sent, e: usize, ending: Ending) {
        if let Some(out) = self.out.get_mut(&e) {
            out.retain(|(f, l, s)| (*f, *l, *s) != (front, life, sent));
        }
        if self.passes(front, e, false) {
            let active = self.engines[e].running;
            let at = self.now + self.way() + self.delay(front, e);
            self.at(at, Event::Answers(front, life, sent, ending, Some(active)));
        }
    }

    /// An engine's answer has come to a front.
    fn told(&mut self, n: usize, event: Event) {
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

    fn posts(&mut self, from: usize, datagrams: Vec<Datagram>) {
        for Datagram { to, bytes } in datagrams {
            let Some(to) = front_at(to).filter(|to| *to < self.members.len()) else { continue };
            let drawn = self.chance.random_range(0..100);
            let passed = self.post.passes(from, to, drawn);
            self.account.posted.push(Posted { at: self.now, from, to, bytes: bytes.len(), passed });
            if !passed {
                continue;
            }
            let at = self.now + self.way() + self.post.delay_ms as i64 * 1000;
            if let Some(ms) = self.post.doubled_ms {
                self.at(at + ms as i64 * 1000, Event::Datagram(from, to, bytes.clone()));
            }
            self.at(at, Event::Datagram(from, to, bytes));
        }
    }

    /// The links that a fault is played on: of all fronts, or of one, into the zone.
    fn links(&mut self, fault: &Fault, all: bool, change: impl Fn(&mut LinkState)) {
        let own: Vec<usize> =
            (0..self.engines.len()).filter(|e| self.engines[*e].zone == fault.zone).collect();
        let members = self.members.iter_mut().enumerate();
        for (_, member) in members.filter(|(n, _)| all || *n == fault.front) {
            own.iter().for_each(|e| change(member.links.entry(*e).or_default()));
        }
    }

    /// Every connection into the zone ends, or those of one front: what is out there is reset.
    fn reset(&mut self, fault: &Fault, all: bool) {
        for e in 0..self.engines.len() {
            if self.engines[e].zone != fault.zone {
                continue;
            }
            let out = std::mem::take(self.out.entry(e).or_default());
            let (ended, kept) = out.into_iter().partition::<Vec<_>, _>(|(n, ..)| all || *n == fault.front);
            self.out.insert(e, kept);
            if all {
                self.engines[e].resets += 1;
            }
            for (front, life, sent) in ended {
                self.at(self.now, Event::Answers(front, life, sent, Ending::Reset, None));
            }
        }
    }

    fn begin(&mut self, fault: &Fault) {
        let now = self.now;
        match fault.what {
            What::ZoneLost => self.links(fault, true, |s| (s.out_lost, s.back_lost) = (true, true)),
            What::LinkCut => self.links(fault, false, |s| (s.out_lost, s.back_lost) = (true, true)),
            What::LinkCutBack => self.links(fault, false, |s| s.back_lost = true),
            What::ZoneSlow => self.links(fault, true, |s| s.delay_ms = fault.delay_ms),
            What::ZoneReset => self.reset(fault, true),
            What::FrontsSplit => self.post.split = Some((fault.front, false)),
            What::FrontsSplitOut => self.post.split = Some((fault.front, true)),
            What::PostLossy => self.post.lost_percent = fault.percent,
            What::PostDoubled => self.post.doubled_ms = Some(fault.delay_ms),
            What::PostSlow => self.post.delay_ms = fault.delay_ms,
            What::StallOwner | What::KillOwner => {} // played as what it is on the owner
            What::Hup => self.account.read_again += 1, // nothing that is read again plays a part here
            What::Stall | What::Kill | What::Term => {
                let member = &mut self.members[fault.front];
                member.troubled.push((now, i64::MAX));
                member.stopped = fault.what == What::Stall;
                if fault.what == What::Term {
                    let wall = ((now + member.ahead) / 1000) as u64;
                    let chance = &mut self.chance;
                    let exchange = member.life.as_mut().and_then(|life| life.exchange.as_mut());
                    let bye = exchange.map(|x| x.leave(now, wall, &mut || chance.random()));
                    self.posts(fault.front, bye.unwrap_or_default());
                }
                let member = &mut self.members[fault.front];
                if !member.stopped {
                    member.life = None;
                    // Its clients see their connections end.
                    let out = |o: &&mut Offered| o.front == fault.front && o.asked.answered == i64::MAX;
                    for Offered { asked, .. } in self.account.asked.iter_mut().filter(out) {
                        (asked.outcome, asked.answered) = (Outcome::Lost, now);
                    }
                }
            }
        }
    }

    fn end(&mut self, fault: &Fault) {
        let now = self.now;
        match fault.what {
            What::ZoneLost => {
                for engine in self.engines.iter_mut().filter(|e| e.zone == fault.zone) {
                    (engine.started, engine.peak_since_start, engine.running) = (now, 0.0, 0);
                }
                self.links(fault, true, |s| (s.out_lost, s.back_lost) = (false, false));
                self.reset(fault, true);
                if fault.told {
                    self.tell_started(fault.zone);
                }
            }
            What::LinkCut | What::LinkCutBack => {
                self.links(fault, false, |s| (s.out_lost, s.back_lost) = (false, false));
                self.reset(fault, false);
            }
            What::ZoneSlow => self.links(fault, true, |s| s.delay_ms = 0),
            What::ZoneReset | What::Hup | What::StallOwner | What::KillOwner => {}
            What::FrontsSplit | What::FrontsSplitOut => self.post.split = None,
            What::PostLossy => self.post.lost_percent = 0,
            What::PostDoubled => self.post.doubled_ms = None,
            What::PostSlow => self.post.delay_ms = 0,
            What::Stall | What::Kill | What::Term => {
                let member = &mut self.members[fault.front];
                member.troubled.iter_mut().filter(|(_, to)| *to == i64::MAX).for_each(|(_, to)| *to = now);
                if fault.what == What::Stall {
                    member.stopped = false;
                    let waits = std::mem::take(&mut member.waits);
                    waits.into_iter().for_each(|event| self.happens(event));
                    self.turn(fault.front);
                } else {
                    self.start(fault.front);
                }
            }
        }
    }

    /// Discovery tells every front that the zone's engines have started now.
    fn tell_started(&mut self, zone: usize) {
        let name = zone_name(zone);
        let back: Vec<String> = (0..self.engines.len())
            .filter(|e| self.engines[*e].zone == zone)
            .map(|e| format!("e{e}"))
            .collect();
        let list: Vec<Listing> = back.iter().map(|id| listing(id, &name, Some(self.now))).collect();
        for n in 0..self.members.len() {
            if let Some(life) = &mut self.members[n].life {
                life.dispatcher.list(false, &list);
            }
            self.turn(n);
        }
    }
}

fn moment(now: i64, ahead: i64) -> Moment {
    Moment { now, steady: now, wall_ms: ((now + ahead) / 1000) as u64 }
}

fn listing<'a>(id: &'a str, zone: &'a str, started: Option<i64>) -> Listing<'a> {
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
