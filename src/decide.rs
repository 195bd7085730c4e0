//! Every decision of a front. Call `Front::new` once with what was agreed and the instance's seed, then
//! `Front::decide` with the clock and what has happened since the last call; it returns what is to be done,
//! in order. Nothing else goes in or out: no clock, no input or output, and chance only from the seed.
//! The types stand in `interface.rs`; docs/design.md says what is the paper's and what is ours.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::state::*;

const SECOND: Micros = 1_000_000; // microseconds
const BOUNDARIES: [f64; 4] = [1.0, 0.9, 0.8, 0.0]; // conformance that opens each level; the design page's
const HALF_LIFE: Micros = 10 * SECOND; // until a count of conformance has halved; the design page's value
const UNSEEN: f64 = 0.05; // statements, counted as timely on top, so that an unseen class has conformance 1
const THREADS_PER_CORE: f64 = 2.0; // threads a core that all fronts may use at start; the design page's value
const MOST_PER_CORE: f64 = 3.0; // threads a core that all fronts may use at most; some of them read
const MEMORY_USED: f64 = 0.9; // share of memory promised at the starting bound; the rest covers low estimates
const QUICK: f64 = 0.35; // share of the SLO time; answers within it say that there is room left
const GROWTH: f64 = 0.15; // threads gained among many fronts for each thread-second answered quickly
const LEAST_SHARE: f64 = 0.06; // of the bound at start; one thread of eight cores: no engine is given up
const IDLE: f64 = 1.0; // threads a core up to which fresh news lets a front among many beyond its share
const FRESH: Micros = SECOND; // age of such news; reports are refreshed about once a second
const SHRINK: f64 = 0.2; // threads lost for each thread of a late answer: a jam is all late
const LEARNING: f64 = 0.05; // least weight of the newest sample in learned means: some twenty statements
const GUESSED: f64 = 4.0; // samples that an estimate's good faith counts for until answers tell its bias
const EARNED: f64 = 0.1; // credit for each answer: full credit takes ten good answers
const SPENT_ERROR: f64 = 0.8; // factor on credit for an execution that failed: half failing leaves a quarter
const SPENT_LOST: f64 = 0.2; // factor on credit for no route or whole silence: the process may be gone
const TRUSTED: f64 = 0.5; // credit from which further executions go to an engine, and which a new one has
const LOST_REST: Micros = SECOND; // rest of an engine that seems gone: a try a second finds it soon
const SILENCE_RUNS: f64 = 4.0; // usual run times, and a second, that one may be silent for without notes
const SILENT_NOTES: f64 = 1.5; // gaps between notes of progress, where agreed, that one may be silent for
const BAD_PLAN: f64 = 6.0; // times the expected run time that an execution must head for to be given up
const LATE_WORTH: f64 = 0.25; // late share under which a statement that must be late is given up at once
const COLD_MARGIN: f64 = 0.4; // share of the overload factor sent to a cold engine: estimates may be half off
const SWEEP: Micros = 25_000; // microseconds between looks at what is due; finer than any slack agreed
const LAST_CALL: Micros = 40_000; // microseconds before the client's time is up when a held statement ends
const SWEEPS_PER_LOOK: u32 = 4; // sweeps between looks at silent engines, which walk all executions out
const PROBE_GAP: Micros = SECOND / 2; // least time between probes of an engine, where only they bring reports
const PROBES: f64 = 1.0; // probes that each statement taken pays for
const MOST_PROBES: f64 = 8.0; // probes that may be saved up
const HEADS: usize = 8; // statements tried of a class, the overdue or the late: the next mostly need as much
const ENOUGH: f64 = 0.99; // factor on the memory need learned when one had enough: answers tell no cost
const SLOW_RUN: f64 = 2.0; // times the usual run that a start still counts as timely for: half run longer
const SCARCE: f64 = 1.0; // threads a core an engine counts as fuller where bound workloads need it
const GRANTED: f64 = 1.25; // memory granted against the need expected: a quarter over, as engines do
const COME_BACK: f64 = 0.3; // seconds after which a rejected client may try again, spread by half
const REMEMBERED: f64 = 0.99; // share of those given up that may still come back, at each arrival
const SAME_TRY: Micros = 20_000; // microseconds less time than a first try has that mark a later one
const STOOD_STILL: Micros = 4 * SWEEP; // between two calls; a front that waits so long has missed its turns
const FORGOTTEN: f64 = 0.007; // share of what reports told that each look forgets: half is gone in about 10 s
const OUTDATED: f64 = 0.02; // share of what one engine told that a look turns into the usual: half in 3.5 s
const HEARD_FOR: Micros = 8 * SECOND; // age at which what others say of an engine is worth nothing
const HEARSAY: f64 = 0.5; // most that others' word takes of a bound, however many speak; one half of it
const TOLD_WRONG: f64 = 0.8; // factor on the credit of a front that speaks ill of an engine that does well
const DOUBTFUL: f64 = 0.3; // share of failures or silence from which a word counts as ill
const FLEET_PROBES: f64 = 4.0; // a second into zones that the fleet has left, of all fronts together

impl ServiceClass {
    fn conformance(&self) -> f64 {
        (self.timely + UNSEEN) / (self.counted + UNSEEN)
    }

    fn on_top(&self) -> bool {
        self.conformance() >= BOUNDARIES[1]
    }
}

/// The larger of opportunity cost and marginal gain at a conformance.
pub fn penalty(conformance: f64, delta: f64) -> f64 {
    let last = BOUNDARIES.len() - 2;
    let level = (0..last).find(|i| conformance >= BOUNDARIES[i + 1]).unwrap_or(last);
    let (high, low) = (BOUNDARIES[level], BOUNDARIES[level + 1]);
    // Departure: the lowest level has an opportunity cost too, or a class deep in it would always rank last.
    let cost = (high - conformance) / (high - low);
    let gain = if level > 0 { (conformance - low) / (high - low) } else { 0.0 };
    cost.max(gain).powi(2) * delta
}

#[derive(Default)]
pub struct Front {
    agreed: Agreement,
    chance: Chance,
    now: Micros,
    awake: Micros, // since when this front has had its turns without standing still
    started: Option<Micros>,
    wake: Micros,
    sweeps: u32,
    actions: Vec<Action>,
    engines: Engines,
    classes: Vec<ServiceClass>,
    learned: Vec<Learned>,
    statements: BTreeMap<StatementId, Statement>,
    due: BTreeSet<(Micros, StatementId)>, // when a statement's standing changes by time alone
    overdue: BTreeSet<StatementId>,
    late: BTreeSet<StatementId>,
    turns: BTreeMap<KeyId, Turn>,
    shares: Vec<Bucket>, // of each customer
    taken: Times,
    further: Times,
    many: bool,       // so many fronts that a share of one engine's bound holds no statement
    asked_work: Mean, // work of a statement taken, in microseconds on one thread
    ran: Load,        // what a statement usually holds while it runs
    may_probe: f64,   // probes that statements have paid for
    asks_next: usize, // engine whose turn it is to be probed
    words: Words,     // of other fronts, with their credit by whether what they said came true
    known: f64,       // fronts that may share a returning zone: silent ones too, no fewer than agreed
    up: f64,          // of them those that are heard of, this one too
    first_look: f64,  // where in the list of engines the next choice looks first
}

impl Front {
    pub fn new(agreed: Agreement, seed: u64) -> Self {
        let customers = agreed.customers.len().max(1);
        let classes = agreed.workloads.len() * customers * 2;
        let guess = Mean { value: 1.0, seen: GUESSED };
        let fresh = Learned { memory_bias: guess, ..Learned::default() };
        let mut chance = Chance::new(seed);
        let narrowest = agreed.workloads.iter().map(|w| w.threads).fold(f64::INFINITY, f64::min);
        let smallest = agreed.cores.iter().copied().fold(f64::INFINITY, f64::min);
        Front {
            first_look: chance.next(),
            asks_next: (chance.next() * 256.0) as usize,
            many: THREADS_PER_CORE * smallest / agreed.fronts < narrowest,
            engines: Engines { usual: vec![Load::default(); agreed.cores.len()], ..Engines::default() },
            ran: Load { threads: 1.0, memory: 0.0 },
            known: agreed.fronts,
            up: agreed.fronts,
            classes: (0..classes).map(|_| ServiceClass::default()).collect(),
            learned: vec![fresh; agreed.workloads.len()],
            shares: vec![Bucket { left: f64::INFINITY, at: 0 }; agreed.customers.len()],
            chance,
            agreed,
            ..Front::default()
        }
    }

    pub fn decide(&mut self, now: Micros, happened: impl IntoIterator<Item = Event>) -> Vec<Action> {
        // Guards against a front that stood still: what it finds is old, and its silence is nobody's fault.
        let gap = now - std::mem::replace(&mut self.now, now);
        self.awake = if gap > STOOD_STILL { now } else { self.awake };
        if self.started.is_none() && self.agreed.subscribe {
            self.actions.push(Action::Subscribe);
        }
        self.started.get_or_insert(now);
        for event in happened {
            match event {
                Event::Engines { whole, entries } => self.list(whole, entries),
                Event::ListFailed if self.agreed.subscribe => self.actions.push(Action::Subscribe),
                Event::ListFailed | Event::Woken => {}
                Event::Arrived(arrival) => self.arrive(arrival, gap),
                Event::Ended(ended) => self.ended(ended),
                Event::Noted { statement: s, execution: n, engine: e, note } => self.noted(s, n, e, note),
                Event::Left(id) => self.close(id, false),
                Event::Freed { key, rests } => self.freed(key, rests),
                Event::Hearsay(said) => self.hear(said),
                Event::Fleet { known, up } => (self.known, self.up) = (known.max(self.agreed.fronts), up),
                Event::Probed { engine, alive, report } => {
                    self.engines.know(engine, TRUSTED);
                    self.found_well(engine, alive);
                    self.engines.credit[engine] *= if alive { 1.0 } else { SPENT_ERROR };
                    report.iter().for_each(|r| self.reported(engine, r));
                }
            }
        }
        self.sweep();
        self.release();
        let window = self.agreed.further.map_or(0, |budget| budget.window);
        self.taken.forget(now - window);
        self.further.forget(now - window);
        if self.wake <= now {
            self.wake = now + SWEEP;
            self.actions.push(Action::Wake { at: self.wake });
        }
        std::mem::take(&mut self.actions)
    }

    fn list(&mut self, whole: bool, entries: Vec<Listed>) {
        if whole {
            self.engines.open.fill(false);
        }
        for entry in entries {
            let e = entry.engine;
            self.engines.know(e, TRUSTED);
            let known = self.engines.listed[e].as_ref();
            let restarted = known.is_none_or(|k| k.started != entry.started);
            if known.is_none() {
                let of = |list: &[f64], other| list.get(entry.kind).copied().unwrap_or(other);
                let (threads, memory) = (of(&self.agreed.cores, 1.0), of(&self.agreed.memory_mb, f64::MAX));
                self.engines.size[e] = Load { threads, memory };
                self.engines.bound[e] = THREADS_PER_CORE * threads / self.agreed.fronts;
            }
            if let Some(start) = entry.started.filter(|_| restarted) {
                (self.engines.credit[e], self.engines.rests_until[e]) = (TRUSTED, 0);
                self.engines.others[e] = Load::default();
                self.words.forget(e); // of an earlier start
                self.found_well(e, true);
                self.found_cold(e, start + self.agreed.warm_within);
            }
            self.engines.open[e] = entry.mode == Mode::Ready;
            self.engines.listed[e] = Some(entry);
        }
        // What is pinned to an engine that takes nothing new any more is to end now.
        let pinned = self.statements.iter().filter(|(_, s)| self.stranded(s));
        let ended: Vec<_> = pinned.map(|(id, _)| (self.now, *id)).collect();
        self.due.extend(ended);
    }

    /// Whether the engine that holds its transaction takes nothing new any more.
    fn stranded(&self, s: &Statement) -> bool {
        s.asked.pinned.is_some_and(|e| !self.engines.open.get(e).is_some_and(|open| *open))
    }

    fn hear(&mut self, said: Hearsay) {
        // Silence counts beyond what the longest usual run may take here: long statements are silent too.
        let longest = self.learned.iter().map(|l| l.run.value).fold(0.0, f64::max);
        let beyond = (said.silent as f64 - SILENCE_RUNS * longest).max(0.0);
        let silence = beyond / (beyond + SECOND as f64);
        let ill = (said.failed / (said.failed + said.answered + 1.0)).max(silence);
        let (at, until) = ((said.engine, said.maker), self.now - said.age + HEARD_FOR);
        self.words.said.retain(|_, (_, until)| *until > self.now);
        let believed = self.words.credit(said.maker, TRUSTED) >= TRUSTED;
        // What was said before an engine was found well, or of an earlier start, is over.
        let well_since = self.engines.cold_until[said.engine] - self.agreed.warm_within;
        if ill >= DOUBTFUL && until > self.now && until - HEARD_FOR >= well_since {
            self.words.said.insert(at, (ill, until));
            self.leave_zone(said.engine);
        } else {
            self.words.said.remove(&at);
            let well = self.engines.left.get_mut(&said.engine).filter(|_| believed && said.answers());
            let enough = well.is_some_and(|w| w.insert(said.maker) && w.len() >= self.agreed.zone_quorum);
            self.found_well(said.engine, enough);
        }
    }

    /// How much of an engine's bound others' word leaves: one believed front takes half at most, fading with
    /// age; of a zone that the fleet has left nothing.
    fn doubt(&self, e: EngineId) -> f64 {
        let worth = |(maker, ill, until): (usize, f64, Micros)| {
            let left = (until - self.now).max(0) as f64 / HEARD_FOR as f64;
            (self.words.credit(maker, TRUSTED) * ill * left.sqrt()).min(0.5)
        };
        let taken = HEARSAY * self.words.of(e).map(worth).sum::<f64>().min(1.0);
        f64::from(u8::from(!self.engines.is_left(e))) * (1.0 - taken)
    }

    /// Believed fronts of as many vantages as agreed that speak ill of most of a zone are the fleet's word:
    /// it is left, and stays so when the word fades, as nobody has anything out there by then.
    fn leave_zone(&mut self, e: EngineId) {
        let (near, quorum) = (self.engines.near(e), self.agreed.zone_quorum);
        let (makers, ill) = self.words.against(&near, TRUSTED, TRUSTED);
        if quorum > 0 && makers.len() >= quorum && 2 * ill.len() > near.len() {
            ill.iter().for_each(|o| _ = self.engines.left.entry(*o).or_default());
        }
    }

    /// An engine of a zone that was left is well: once half of them are, the zone is used again, as cold.
    fn found_well(&mut self, e: EngineId, well: bool) {
        if !well || self.engines.left.remove(&e).is_none() {
            return;
        }
        let near = self.engines.near(e);
        if 2 * near.iter().filter(|o| self.engines.left.contains_key(o)).count() <= near.len() {
            for o in near {
                self.engines.left.remove(&o);
                self.words.forget(o);
                (self.engines.credit[o], self.engines.rests_until[o]) = (TRUSTED, 0);
                self.found_cold(o, self.now + self.agreed.warm_within);
            }
        }
    }

    /// An engine has shown here what others' word of it was worth.
    fn proved(&mut self, e: EngineId, ill: bool) {
        let Words { said, credit } = &mut self.words;
        for ((_, maker), _) in said.range((e, 0)..(e + 1, 0)) {
            let credit = credit.entry(*maker).or_insert(TRUSTED);
            *credit = if ill { (*credit + EARNED).min(1.0) } else { *credit * TOLD_WRONG };
        }
    }

    fn workload(&self, s: &Statement) -> &Workload {
        &self.agreed.workloads[s.asked.workload]
    }

    fn slo_time(&self, s: &Statement) -> Micros {
        let (workload, work) = (self.workload(s), self.expected_work(s));
        workload.slo_time + (workload.slo_stretch * work / workload.threads) as Micros
    }

    fn expected_work(&self, s: &Statement) -> f64 {
        let learned = &self.learned[s.asked.workload];
        either(s.asked.work, learned.work.value)
    }

    fn basis(&self, s: &Statement) -> f64 {
        either(s.asked.work / self.workload(s).threads, SECOND as f64)
    }

    fn last_timely_start(&self, s: &Statement) -> Micros {
        let slo = self.slo_time(s);
        let run = self.learned[s.asked.workload].pace.value * self.basis(s) * SLOW_RUN;
        // While few of its class run, half the time may be waited: else a jam's run times shut it out.
        let few = self.classes[s.class].out.len() < self.engines.open.iter().filter(|o| **o).count();
        s.first_asked + slo - if few { (run as Micros).min(slo / 2) } else { run as Micros }
    }

    /// Whether a statement that must be late is given up at once: its late answer is worth little, or others
    /// wait behind it in the line of its order key, where running it would make them late too.
    fn hopeless(&self, s: &Statement) -> bool {
        let turn = s.asked.key.and_then(|key| self.turns.get(&key));
        let blocks = turn.is_some_and(|t| t.line.len() > 1);
        let late = self.now >= self.last_timely_start(s);
        self.stranded(s) || late && (blocks || self.workload(s).late_share < LATE_WORTH)
    }

    fn latest_start(&self, s: &Statement) -> Micros {
        s.ends - self.learned[s.asked.workload].run.value as Micros
    }

    fn arrive(&mut self, mut a: Arrival, gap: Micros) {
        let customers = self.agreed.customers.len().max(1);
        let class = (a.workload * customers + a.customer.min(customers - 1)) * 2;
        let rate = self.agreed.customers.get(a.customer).map_or(f64::INFINITY, |r| r / self.agreed.fronts);
        let bucket = self.shares.get_mut(a.customer);
        let class = class + usize::from(bucket.is_some_and(|bucket| !bucket.take(rate, self.now)));
        let workload = &self.agreed.workloads[a.workload];
        let learned = &mut self.learned[a.workload];
        learned.first_try = learned.first_try.max(a.time_left);
        // What a front that stood still finds has waited; what first tries have left tells how long.
        let missing = learned.first_try - a.time_left;
        let later = missing > SAME_TRY && learned.given_up >= 1.0;
        learned.given_up = learned.given_up * REMEMBERED - f64::from(u8::from(later));
        let past = if later { (workload.statement_timeout - a.time_left).max(0) } else { 0 };
        let spent = if self.awake == self.now && missing <= gap { missing } else { past };
        if a.work > 0.0 {
            learned.work.take(LEARNING, a.work);
        }
        let memory = a.memory_mb * learned.memory_bias.value;
        let least_mb = self.agreed.memory_mb.iter().copied().fold(f64::INFINITY, f64::min);
        let memory = memory.min(least_mb * self.agreed.largest_grant);
        self.may_probe = (self.may_probe + PROBES).min(MOST_PROBES);
        self.taken.0.extend(self.agreed.further.map(|_| self.now));
        a.key = a.key.filter(|_| workload.in_order);
        if let Some(key) = a.key {
            self.turns.entry(key).or_default().line.push_back(a.statement);
        }
        let (id, ends) = (a.statement, self.now + a.time_left);
        let load = Load { threads: workload.threads, memory };
        let s = Statement::new(a, class, self.now - spent, ends, load);
        self.asked_work.take(LEARNING, either(self.expected_work(&s), SECOND as f64));
        self.statements.insert(id, s);
        self.hold(id);
    }

    fn hold(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id).filter(|s| !s.over && !s.is_out()) else { return };
        let (class, timely, latest) = (s.class, self.last_timely_start(s), self.latest_start(s));
        let rests_until = s.asked.key.and_then(|key| self.turns.get(&key)).map_or(0, |t| t.rests_until);
        let has_turn = self.has_turn(id, s);
        // Once it is to be given up it is due now; till then at the next turn of its standing.
        let ends = if self.hopeless(s) { self.now } else { s.ends - LAST_CALL };
        let next = [timely, latest, rests_until].into_iter().filter(|t| *t > self.now).min();
        self.due.insert((next.map_or(ends, |t| t.min(ends)), id));
        self.unhold(id);
        if !has_turn {
        } else if self.now >= latest {
            self.overdue.insert(id);
        } else if self.now >= timely {
            self.late.insert(id);
        } else {
            self.classes[class].ready.insert(id);
        }
    }

    fn unhold(&mut self, id: StatementId) {
        if let Some(s) = self.statements.get(&id) {
            self.classes[s.class].ready.remove(&id);
        }
        self.late.remove(&id);
        self.overdue.remove(&id);
    }

    fn sweep(&mut self) {
        while let Some(&(at, id)) = self.due.first().filter(|(at, _)| *at <= self.now) {
            self.due.remove(&(at, id));
            let Some(s) = self.statements.get(&id).filter(|s| !s.over) else { continue };
            // Past its latest start one goes ahead of all, unless others wait that can still be in time.
            let others_wait = || self.classes.iter().any(|c| !c.ready.is_empty());
            let pressed = self.now >= self.latest_start(s) && others_wait();
            if s.is_out() {
                self.prioritise(id);
            } else if self.now >= s.ends - LAST_CALL || self.hopeless(s) || pressed {
                self.give_up(id);
            } else {
                self.hold(id);
            }
        }
        if self.wake <= self.now {
            self.sweeps += 1;
            self.probe();
            if self.sweeps.is_multiple_of(SWEEPS_PER_LOOK) {
                self.engines.usual.iter_mut().for_each(|usual| usual.blend(Load::default(), FORGOTTEN));
                for e in 0..self.engines.open.len() {
                    let usual = if self.many { self.engines.usual(e) } else { Load::default() };
                    self.engines.others[e].blend(usual, if self.many { OUTDATED } else { FORGOTTEN });
                    self.listen(e);
                }
            }
        }
    }

    /// Asks engines for their load where only probes bring it, in turn, as often as statements pay for.
    fn probe(&mut self) {
        // All fronts together probe what the fleet has left: each draws at its share of the rate. Where
        // probes are not allowed a statement or two go there instead, as to a cold engine.
        let rate = FLEET_PROBES * SWEEP as f64 / SECOND as f64;
        if !self.engines.left.is_empty() && self.chance.next() * self.up < rate {
            match self.engines.one_left(self.chance.next()) {
                Some(engine) if self.agreed.probes => self.actions.push(Action::ProbeLeft { engine }),
                other => other.into_iter().for_each(|e| self.found_well(e, true)),
            }
        }
        let (count, asks) = (self.engines.open.len(), self.agreed.report_on_probe && self.agreed.probes);
        for _ in 0..count {
            let e = self.asks_next % count;
            if !asks || self.may_probe < 1.0 || self.engines.probed[e] > self.now - PROBE_GAP {
                return;
            }
            self.asks_next = e + 1;
            if self.engines.open[e] {
                self.may_probe -= 1.0;
                self.engines.probed[e] = self.now;
                self.actions.push(Action::Probe { engine: e });
            }
        }
    }

    fn reported(&mut self, e: EngineId, report: &Report) {
        let read = |place: Option<usize>| place.and_then(|p| report.get(p)).copied();
        let (own, size) = (self.engines.own[e], self.engines.size[e]);
        let count = self.engines.out[e].len() as f64;
        let each = if self.many { self.ran.threads } else { either(own.threads, 1.0) / count.max(1.0) };
        // Where statements in hand are not told, busy cores and those that wait for memory stand in for them.
        let (places, busy) = (&self.agreed.report, |b: f64| b * size.threads / each.max(0.01));
        let in_hand =
            read(places.active).or(read(places.busy).map(|b| busy(b) + read(places.waiting).unwrap_or(0.0)));
        let active = in_hand.map_or(0.0, |active| (active - count).max(0.0));
        let need = if self.many { self.ran.memory } else { 0.0 };
        let granted = read(self.agreed.report.memory_granted).map(|x| x * size.memory - own.memory);
        // Where nothing tells what an engine holds, a report leaves what others are taken to hold.
        let threads = if in_hand.is_some() { active * each } else { self.engines.others[e].threads };
        let told = Load { threads, memory: granted.unwrap_or(active * need).max(0.0) };
        (self.engines.seen[e], self.engines.told[e]) = (own, self.now);
        self.engines.others[e].blend(told, if self.many { 1.0 } else { 0.5 });
        if let Some(usual) = self.engines.usual_of_kind(e) {
            usual.blend(told.times(1.0 / size.threads), LEARNING);
        }
    }

    /// Guards against executions that are taken and never answered, whatever the cause: a hung engine,
    /// answers lost on the way, a statement stuck in a sound engine. Where notes of progress are agreed, each
    /// execution must be heard of; else its engine. It could stop executions whose notes alone are lost.
    fn listen(&mut self, e: EngineId) {
        let quiet = |(id, n): &&(StatementId, usize)| {
            let s = &self.statements[id];
            let x = &s.executions[*n];
            let tells = self.engines.listed[e].as_ref().is_some_and(|entry| entry.tells);
            let (heard, patience) = match self.agreed.progress_every * Micros::from(tells) {
                0 => (
                    x.sent.max(self.engines.heard[e]),
                    SECOND as f64 + SILENCE_RUNS * self.learned[s.asked.workload].run.value,
                ),
                every => (x.heard, SILENT_NOTES * every as f64),
            };
            !x.quiet && (self.now - heard.max(self.awake)) as f64 > patience
        };
        let stuck: Vec<_> = self.engines.out[e].iter().filter(quiet).copied().collect();
        for (id, n) in stuck {
            let all_quiet = self.engines.heard[e] <= self.statements[&id].executions[n].heard;
            self.spend(e, if all_quiet { SPENT_LOST } else { SPENT_ERROR });
            self.stop(id, n);
            self.statements.entry(id).and_modify(|s| s.executions[n].quiet = true);
        }
    }

    fn stop(&mut self, id: StatementId, n: usize) {
        let s = &self.statements[&id];
        let in_time = self.now + (self.learned[s.asked.workload].run.value as Micros) < s.ends;
        let again = self.workload(s).effect == Effect::Idempotent && self.tries_left(s) && in_time;
        if again && self.agreed.cancel && !s.over {
            self.actions.push(Action::Cancel { statement: id, execution: n });
        }
    }

    fn tries_left(&self, s: &Statement) -> bool {
        let within = self.agreed.further.is_none_or(|budget| {
            let since = self.now - budget.window;
            let used = self.further.after(since - 1);
            used + 1.0 <= (budget.spare + budget.ratio * self.taken.after(since)).floor()
        });
        within && s.executions.len() < self.agreed.most_executions && s.asked.pinned.is_none()
    }

    fn noted(&mut self, id: StatementId, n: usize, e: EngineId, note: Note) {
        let Some(s) = self.statements.get_mut(&id) else { return };
        let Some(execution) = s.executions.get_mut(n).filter(|x| x.outcome.is_none()) else { return };
        execution.heard = self.now;
        self.engines.heard[e] = self.now;
        if let Note::SpillsMb(missing) = note {
            execution.spilled = true;
            let need = (s.load.memory * GRANTED + missing) / s.asked.memory_mb.max(1.0);
            self.learned[s.asked.workload].memory_bias.take_ratio(LEARNING, need);
        }
        if let (Note::WaitsForData, Some(data_set)) = (note, s.asked.data_set) {
            // Another front's load holds the data set there: guards against standing still behind it.
            let run = self.learned.iter().map(|l| l.run.value).fold(0.0, f64::max);
            self.engines.held[e].retain(|(d, until)| *d != data_set && *until > self.now);
            self.engines.held[e].push((data_set, self.now + run as Micros));
            return self.stop(id, n);
        }
        if let Note::ShareDone(done) = note {
            let run = (self.now - execution.sent) as f64;
            let s = &self.statements[&id];
            let expected = self.learned[s.asked.workload].pace.value * self.basis(s);
            // Guards against a bad plan, drawn anew at each execution, not against a long statement.
            let bad = expected > 0.0 && run > expected && run / done.max(0.001) > BAD_PLAN * expected;
            if bad && s.executions.len() == 1 {
                self.stop(id, n);
            }
        }
    }

    /// What an earlier life of this front has sent is not known and counts as all it might. Where a share
    /// holds no statement, each front waits for a turn drawn by chance: they send what the shares add up to.
    fn found_cold(&mut self, e: EngineId, until: Micros) {
        self.engines.cold_until[e] = until;
        let pushed = match () {
            _ if self.many => self.chance.next() * either(self.asked_work.value, SECOND as f64),
            _ if self.started == Some(self.now) => self.pushed(e).1,
            _ => self.engines.pushed[e].0,
        };
        self.engines.pushed[e] = (pushed, self.now);
    }

    /// Work pushed at a cold engine and not yet worked off, and how much of it there may be. It drains at
    /// this front's share of what the engine can do by now: any window holds less than the overload factor.
    fn pushed(&self, e: EngineId) -> (f64, f64) {
        let rate = self.engines.warmth(e, self.now, &self.agreed) * self.engines.size[e].threads / self.known;
        let burst = (self.agreed.overload_factor * COLD_MARGIN - 0.5).max(0.1) * rate;
        let most = if self.many { 0.0 } else { burst * self.agreed.fall_window as f64 };
        let (pushed, at) = self.engines.pushed[e];
        ((pushed - rate * (self.now - at) as f64).max(0.0), most)
    }

    /// The one gate: whether the rules let this statement be sent to this engine now; never a second copy.
    fn may_execute(&self, id: StatementId, e: EngineId) -> bool {
        let s = &self.statements[&id];
        let workload = self.workload(s);
        let entry = self.engines.listed[e].as_ref().filter(|_| self.engines.open[e]);
        let Some(entry) = entry else { return false };
        let open = !s.over && !s.is_out() && workload.allows(entry) && entry.speaks & s.asked.speech != 0;
        let open = open && s.asked.pinned.is_none_or(|pinned| pinned == e);
        let (pushed, most) = self.pushed(e);
        let work = either(self.learned[s.asked.workload].work.value, SECOND as f64);
        let bears =
            self.now >= self.engines.cold_until[e] || pushed + if self.many { 0.0 } else { work } <= most;
        open && bears
            && self.now < s.ends
            && self.has_turn(id, s)
            && (s.executions.is_empty() || self.may_repeat(s, Some(entry)))
    }

    fn may_repeat(&self, s: &Statement, at: Option<&Listed>) -> bool {
        let workload = self.workload(s);
        let dropped = |x: &Execution| {
            let earlier = self.engines.listed[x.engine].as_ref();
            let same = at
                .zip(earlier)
                .is_none_or(|(at, earlier)| at.drops_repeats_of(earlier, workload.dedup_group));
            same && self.now - x.sent < workload.dedup_window
        };
        let harmless = s.may_have_run().all(|x| match workload.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated => dropped(x),
        });
        harmless && self.tries_left(s)
    }

    fn has_turn(&self, id: StatementId, s: &Statement) -> bool {
        let rested = |t: &Turn| t.rests_until <= self.now || !s.executions.is_empty();
        let turn = s.asked.key.and_then(|key| self.turns.get(&key));
        turn.is_none_or(|t| t.line.front() == Some(&id) && t.astray == 0 && rested(t))
    }

    fn place(&self, id: StatementId) -> Option<EngineId> {
        let s = &self.statements[&id];
        let workload = self.workload(s);
        let stands = (workload.waits_for_data || workload.holds_data) && s.asked.data_set.is_some();
        let is_bound = |w: &Workload| w.kinds.is_some() || w.locations.is_some();
        let (mut best, mut best_room) = (None, f64::NEG_INFINITY);
        // Where all that it may use are spoken ill of, nothing is said.
        let may = |e: &EngineId| {
            self.engines.open[*e] && self.engines.listed[*e].as_ref().is_some_and(|l| workload.allows(l))
        };
        let all = || (0..self.engines.open.len()).filter(may);
        let heeds = !self.words.said.is_empty() && all().any(|e| self.doubt(e) >= 1.0);
        let leaves = !self.engines.left.is_empty() && all().any(|e| !self.engines.is_left(e));
        let (pool, out) = self.engines.open_totals();
        let (memory_pool, memory_out) = self.engines.open_memory(MEMORY_USED / THREADS_PER_CORE);
        // Among many fronts the pool bounds a front's threads and memory; with nothing out it may send one.
        let beyond = out + workload.threads > pool || memory_out + s.load.memory > memory_pool;
        let over = self.many && out > 0.0 && beyond;
        let count = self.engines.open.len();
        // Fronts that know the same must not all pick the same engine: each starts its look elsewhere.
        let first = (self.first_look * count as f64) as usize;
        let (guessed, mut drawn) = (self.many && !self.agreed.report.tells_load(), Vec::new());
        for e in (0..count).map(|i| (i + first) % count) {
            let trusted = s.executions.is_empty() || self.engines.credit[e] >= TRUSTED;
            let away = self.engines.rests_until[e] > self.now || leaves && self.engines.is_left(e);
            if !trusted || away || !self.may_execute(id, e) {
                continue;
            }
            let locked = |(other, _): &(StatementId, usize)| {
                let other = &self.statements[other];
                self.workload(other).holds_data && other.asked.data_set == s.asked.data_set
            };
            let held =
                self.engines.held[e].iter().any(|(d, t)| s.asked.data_set == Some(*d) && *t > self.now);
            if stands && (held || self.engines.out[e].iter().any(locked)) {
                continue;
            }
            let Some(entry) = &self.engines.listed[e] else { continue };
            let (size, own) = (self.engines.size[e], self.engines.own[e]);
            let credit = (self.engines.credit[e] / TRUSTED).min(1.0);
            let credit = if heeds { credit * self.doubt(e) } else { credit };
            let bound =
                self.engines.bound[e] * credit.max(0.01) * self.engines.warmth(e, self.now, &self.agreed);
            let memory = size.memory * MEMORY_USED * (bound / (THREADS_PER_CORE * size.threads)).min(1.0);
            // What this front has added since the last report, the others are taken to have added too.
            let (mut others, mut added) = (self.engines.others[e], own);
            added.add(self.engines.seen[e], -1.0);
            others.add(added, self.agreed.fronts - 1.0);
            let cores = size.threads * self.engines.warmth(e, self.now, &self.agreed);
            let whole = MOST_PER_CORE * cores;
            let share = if self.many { whole * credit } else { bound };
            let room = share.min(whole - others.threads) - own.threads;
            let spare = IDLE * cores - others.threads - own.threads;
            let fresh = self.agreed.report.tells_load() && self.engines.told[e] >= self.now - FRESH;
            let within = !over || spare >= workload.threads && fresh;
            let taken = own.memory + s.load.memory;
            let full = taken + others.memory > size.memory;
            let fits = room >= workload.threads && (taken <= memory || self.many) && !full;
            let idle =
                if self.many { out <= 0.0 } else { self.engines.out[e].is_empty() && room > 0.0 && !full };
            let needs = |w: &Workload| is_bound(w) && w.allows(entry);
            let scarce = !is_bound(workload) && self.agreed.workloads.iter().any(needs);
            let room = if scarce { room - SCARCE * size.threads } else { room };
            if (idle || fits && within) && guessed {
                drawn.push((e, room.max(LEAST_SHARE)));
            } else if (idle || fits && within) && room > best_room {
                (best, best_room) = (Some(e), room);
            }
        }
        // With no report of what others hold, the roomiest is the largest for all fronts: each draws by room.
        let mut at =
            (self.first_look * count as f64).fract() * drawn.iter().map(|(_, room)| room).sum::<f64>();
        for (e, room) in drawn {
            at -= room;
            if at < 0.0 {
                return Some(e);
            }
        }
        best
    }

    /// Lets held statements leave: those past their latest start, then by penalty, ties by arrival.
    fn release(&mut self) {
        let heads = |held: &BTreeSet<StatementId>| held.iter().copied().take(HEADS).collect::<Vec<_>>();
        // Past its latest start a statement could only answer after its client gives up: now or never.
        let stuck: Vec<_> = heads(&self.overdue).into_iter().filter(|id| !self.try_release(*id)).collect();
        stuck.into_iter().for_each(|id| self.give_up(id));
        let mut waiting: Vec<(f64, usize)> = Vec::new();
        for class in 0..self.classes.len() {
            self.classes[class].fade(self.now, HALF_LIFE);
            waiting.push((penalty(self.classes[class].conformance(), self.delta(class)), class));
        }
        while !waiting.is_empty() {
            let oldest = |class: usize| Reverse(self.classes[class].ready.first().copied());
            let order = |a: &(f64, usize), b: &(f64, usize)| {
                a.0.total_cmp(&b.0).then_with(|| oldest(a.1).cmp(&oldest(b.1)))
            };
            let Some(&(_, class)) = waiting.iter().max_by(|a, b| order(a, b)) else { break };
            let left = heads(&self.classes[class].ready).into_iter().any(|id| self.try_release(id));
            if !left || self.classes[class].ready.is_empty() {
                waiting.retain(|w| w.1 != class);
            }
        }
        if self.classes.iter().all(|c| c.ready.is_empty()) {
            heads(&self.late).into_iter().for_each(|id| _ = self.try_release(id));
        }
    }

    fn delta(&self, class: usize) -> f64 {
        let w = class / 2 / self.agreed.customers.len().max(1);
        let share = if class % 2 == 1 { self.agreed.over_share } else { 1.0 };
        let work = self.learned[w].work.value.max(1000.0) / SECOND as f64;
        self.agreed.workloads[w].importance * share / work
    }

    fn try_release(&mut self, id: StatementId) -> bool {
        let engine = self.place(id);
        engine.iter().for_each(|e| self.execute(id, *e));
        engine.is_some()
    }

    fn execute(&mut self, id: StatementId, e: EngineId) {
        self.unhold(id);
        self.first_look = self.chance.next();
        let (now, priority) = (self.now, self.priority(id));
        let s = &self.statements[&id];
        let (class, load, latest) = (s.class, s.load, self.latest_start(s));
        if now < self.engines.cold_until[e] {
            let work = either(self.learned[s.asked.workload].work.value, SECOND as f64);
            self.engines.pushed[e] = (self.pushed(e).0 + work, now);
        }
        let most = self.engines.size[e].memory * self.agreed.largest_grant;
        let grants = self.agreed.grants && s.asked.memory_mb > 0.0;
        let grant_mb = if grants { (s.load.memory * GRANTED).min(most) } else { 0.0 };
        if self.agreed.priorities || grant_mb > 0.0 {
            self.actions.push(Action::Terms { statement: id, grant_mb, priority });
        }
        self.actions.push(Action::Execute { statement: id, engine: e });
        let Some(s) = self.statements.get_mut(&id) else { return };
        self.further.0.extend((!s.executions.is_empty()).then_some(now));
        self.engines.out[e].insert((id, s.executions.len()));
        self.engines.own[e].add(load, 1.0);
        s.priority = priority;
        s.executions.push(Execution { engine: e, sent: now, heard: now, ..Execution::default() });
        self.classes[class].out.insert(id);
        self.due.insert((latest.max(now + 1), id));
    }

    fn priority(&self, id: StatementId) -> u8 {
        let s = &self.statements[&id];
        match () {
            _ if self.now >= self.latest_start(s) => 3,
            _ if self.classes[s.class].on_top() => 0,
            _ => 2,
        }
    }

    fn prioritise(&mut self, id: StatementId) {
        let priority = self.priority(id);
        let Some(s) = self.statements.get_mut(&id).filter(|s| !s.over) else { return };
        if s.priority != priority && self.agreed.priorities {
            s.priority = priority;
            self.actions.push(Action::Terms { statement: id, grant_mb: 0.0, priority });
        }
    }

    fn spend(&mut self, e: EngineId, left: f64) {
        self.engines.credit[e] *= left;
        if left <= SPENT_LOST {
            self.engines.rests_until[e] = self.now + LOST_REST;
        }
    }

    fn ended(&mut self, x: Ended) {
        let (now, e) = (self.now, x.engine);
        self.engines.know(e, TRUSTED);
        let Some(s) = self.statements.get_mut(&x.statement) else { return };
        let execution = s.executions.get_mut(x.execution).filter(|x| x.outcome.is_none());
        let Some(execution) = execution else { return };
        execution.outcome = Some(x.outcome);
        let (quiet, key, was_over, ends, load) = (execution.quiet, s.asked.key, s.over, s.ends, s.load);
        self.engines.out[e].remove(&(x.statement, x.execution));
        self.engines.own[e].add(load, -1.0);
        if let Some(turn) = key.and_then(|key| self.turns.get_mut(&key)) {
            turn.astray -= usize::from(was_over && turn.astray > 0);
            if matches!(x.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                turn.rests_until = now + self.agreed.turn_gap;
            }
            turn.astray += usize::from(x.holds && x.settled && !was_over);
        }
        if x.outcome != Outcome::NoRoute && self.engines.unreached[e] {
            // Back after it could not be reached: it may have restarted before the list says so.
            self.found_cold(e, now + self.agreed.warm_within);
        }
        self.engines.unreached[e] = x.outcome == Outcome::NoRoute;
        x.report.iter().for_each(|report| self.reported(e, report));
        match x.outcome {
            Outcome::Completed => {
                if x.took <= self.slo_time(&self.statements[&x.statement]) {
                    self.proved(e, false);
                }
                self.found_well(e, true);
                self.completed(&x, load.threads)
            }
            Outcome::TimedOut if quiet => {} // an engine that hangs has been charged for its silence
            // Guards against jams no answer tells of: one that turns work away or, among many fronts, lets it
            // run into the client's limit is full until it reports again, whatever it said before.
            Outcome::NoRoom | Outcome::TimedOut => {
                if self.many || x.outcome == Outcome::NoRoom {
                    self.engines.others[e].threads = MOST_PER_CORE * self.engines.size[e].threads;
                }
                self.sway(e, -SHRINK * load.threads);
            }
            // A crash resets all that an engine holds at once; single resets are the network's.
            Outcome::Error | Outcome::Reset | Outcome::NoRoute => {
                self.proved(e, true);
                self.spend(e, if x.outcome == Outcome::NoRoute { SPENT_LOST } else { SPENT_ERROR })
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        if was_over {
            self.forget(x.statement);
            key.into_iter().for_each(|key| self.next_in_line(key));
        } else if x.settled {
            let s = &self.statements[&x.statement];
            let slo = self.slo_time(s);
            self.close(x.statement, x.outcome == Outcome::Completed && now - s.first_asked <= slo);
        } else if self.may_repeat(&self.statements[&x.statement], None) && now < ends - LAST_CALL {
            self.hold(x.statement);
        } else {
            self.give_up(x.statement);
        }
    }

    /// Moves an engine's bound, or all alike: a front among many hears too seldom of each to know its own.
    fn sway(&mut self, e: EngineId, threads: f64) {
        let moved = if self.many { 0..self.engines.open.len() } else { e..e + 1 };
        let all: f64 = self.engines.bound[moved.clone()].iter().sum();
        for e in moved {
            let cores = self.engines.size[e].threads;
            let least = LEAST_SHARE * THREADS_PER_CORE * cores / self.agreed.fronts;
            let bound = self.engines.bound[e] * (1.0 + threads / all.max(0.01)).max(0.5);
            self.engines.bound[e] = bound.clamp(least, MOST_PER_CORE * cores);
        }
    }

    fn completed(&mut self, x: &Ended, threads: f64) {
        let (now, e, took) = (self.now, x.engine, x.took as f64);
        let s = &self.statements[&x.statement];
        let (w, spilled, basis) = (s.asked.workload, s.executions[x.execution].spilled, self.basis(s));
        let slo = self.slo_time(s) as f64;
        self.engines.heard[e] = now;
        self.engines.credit[e] = (self.engines.credit[e] + EARNED).min(1.0);
        let seconds = took / SECOND as f64;
        self.ran.blend(Load { threads, memory: s.load.memory }, LEARNING * seconds.min(1.0));
        let (bound, held) = if self.many {
            self.engines.open_totals()
        } else {
            (self.engines.bound[e], self.engines.own[e].threads)
        };
        if took <= slo * QUICK && held + 2.0 * threads >= bound {
            let growth = if self.many { GROWTH } else { 1.0 / bound.max(1.0) };
            self.sway(e, threads * seconds * growth);
        } else if took > slo {
            self.sway(e, -SHRINK * threads);
        }
        let learned = &mut self.learned[w];
        learned.run.take(LEARNING, took);
        learned.pace.take_ratio(LEARNING, took / basis);
        learned.memory_bias.value *= if spilled { 1.0 } else { ENOUGH };
    }

    /// Ends a statement unanswered: a rejection where trying again is harmless, else an abort.
    fn give_up(&mut self, id: StatementId) {
        let s = &self.statements[&id];
        let (workload, ran) = (self.workload(s), s.may_have_run().next().is_some());
        let (w, first) = (s.asked.workload, s.first_asked == s.ends - s.asked.time_left);
        let harmless = match workload.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => !ran || workload.dedup_group == DedupGroup::All,
            Effect::NonIdempotent => !ran,
        };
        if harmless {
            let wait = COME_BACK * (0.5 + self.chance.next()) * SECOND as f64;
            let retry_after = self.agreed.longest_retry_after.map(|most| most.min(wait as Micros));
            self.actions.push(Action::Reject { statement: id, retry_after });
        } else {
            self.actions.push(Action::Abort { statement: id });
        }
        self.learned[w].given_up += f64::from(u8::from(first));
        self.close(id, false);
    }

    /// Counts a statement that is over, and lets go of all it holds but executions still out.
    fn close(&mut self, id: StatementId, timely: bool) {
        self.unhold(id);
        let Some(s) = self.statements.get_mut(&id).filter(|s| !s.over) else { return };
        s.over = true;
        let (class, key) = (s.class, s.asked.key);
        let astray: Vec<usize> =
            (0..s.executions.len()).filter(|n| s.executions[*n].outcome.is_none()).collect();
        let cancel = |n: &usize| Action::Cancel { statement: id, execution: *n };
        self.actions.extend(astray.iter().filter(|_| self.agreed.cancel).map(cancel));
        let now = self.now;
        let counts = &mut self.classes[class];
        counts.out.remove(&id);
        let before = counts.on_top();
        counts.fade(now, HALF_LIFE);
        counts.counted += 1.0;
        counts.timely += f64::from(u8::from(timely));
        if counts.on_top() != before {
            for other in counts.out.clone() {
                self.prioritise(other);
            }
        }
        if let Some(key) = key {
            if let Some(turn) = self.turns.get_mut(&key) {
                turn.line.retain(|other| *other != id);
                turn.astray += astray.len();
            }
            self.next_in_line(key);
        }
        self.forget(id);
    }

    fn freed(&mut self, key: KeyId, rests: bool) {
        let Some(turn) = self.turns.get_mut(&key) else { return };
        turn.astray -= usize::from(turn.astray > 0);
        turn.rests_until = if rests { self.now + self.agreed.turn_gap } else { turn.rests_until };
        self.next_in_line(key);
    }

    fn next_in_line(&mut self, key: KeyId) {
        let Some(turn) = self.turns.get(&key) else { return };
        if let Some(next) = turn.line.front().copied() {
            self.hold(next);
        } else if turn.astray == 0 && turn.rests_until <= self.now {
            self.turns.remove(&key);
        }
    }

    fn forget(&mut self, id: StatementId) {
        if self.statements.get(&id).is_some_and(|s| s.over && !s.is_out()) {
            self.statements.remove(&id);
        }
    }
}
