//! A small facade in blocking style over the decision module. `pick` asks for an engine for a statement,
//! `report` says how an execution ended, `tick` decides on all that was told since and returns what the
//! network is to do. Whoever calls it knows neither the module's events nor its actions.

mod ending;

use std::collections::{BTreeSet, HashMap};

use hallmux::interface::{
    Action, Arrival, Effect, Ended, Event, Hearsay, KeyId, Listed, Report, StatementId,
};
use hallmux::Front;
use hallmux_agreement::{Contract, Names};

pub use ending::Ending;
pub use hallmux::interface::{Cost, Micros, Mode, Note};

/// A statement as this front knows it, from `pick` until it is over and nothing is out for it.
pub type Ticket = StatementId;
/// An engine as this front knows it.
pub type Place = usize;

/// What a statement asks for.
#[derive(Clone, Debug, Default)]
pub struct Ask<'a> {
    pub workload: &'a str,
    pub customer: &'a str,
    pub key: Option<&'a str>,
    pub dedup_key: Option<&'a str>,
    pub time_left: Micros,
    /// Microseconds on one thread, 0 where it is not told.
    pub work: f64,
    /// 0 where it is not told.
    pub memory_mb: f64,
    pub data_set: Option<u32>,
    pub speech: Speech,
    /// The engine of the open transaction it belongs to.
    pub pinned: Option<Place>,
}

/// A protocol that statements are sent to engines in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Speech {
    #[default]
    Lines = 1,
    Postgres = 2,
}

/// Why a statement was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    Workload,
    Customer,
    /// It may run twice, and engines could not tell.
    DedupKey,
}

/// A line of the engine list, by the names that the settings use.
#[derive(Clone, Debug)]
pub struct Listing<'a> {
    pub id: &'a str,
    pub location: &'a str,
    pub kind: &'a str,
    pub cell: usize,
    pub mode: Mode,
    pub started: Option<Micros>,
    /// The protocols that it takes statements in.
    pub speaks: &'a [Speech],
}

/// What holds for an execution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// When its client's time is up.
    pub ends: Micros,
    /// 0 leaves it to the engine.
    pub grant_mb: f64,
    pub priority: u8,
}

/// What the network is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Send {
        ticket: Ticket,
        execution: usize,
        place: Place,
        terms: Terms,
    },
    Hurry {
        ticket: Ticket,
        execution: usize,
        priority: u8,
    },
    /// Give the execution up and report it: as told, or as withdrawn where it never left.
    Stop {
        ticket: Ticket,
        execution: usize,
        ending: Ending,
    },
    /// Final: trying again is harmless.
    Reject {
        ticket: Ticket,
        retry_after: Option<Micros>,
    },
    /// Final: nothing is promised.
    Abort {
        ticket: Ticket,
    },
    Probe {
        place: Place,
        /// On behalf of the fleet: only whoever owns that work may send it.
        for_fleet: bool,
    },
}

struct Execution {
    place: Place,
    sent: Micros,
    out: bool,
}

struct Statement {
    terms: Terms,
    over: bool,
    /// Part of its answer has gone on: whatever ends it now ends the statement.
    begun: bool,
    /// Its transaction goes on when it ends, and keeps its order key.
    keeps: bool,
    key: Option<String>,
    executions: Vec<Execution>,
}

impl Statement {
    /// The numbers of its executions that are out.
    fn out(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.executions.len()).filter(|n| self.executions[*n].out)
    }
}

fn position(list: &[String], name: &str) -> Option<usize> {
    list.iter().position(|n| n == name)
}

/// An order key while statements of it are held or out, and for the rest that was agreed.
struct Key {
    id: KeyId,
    statements: usize,
}

/// An engine's id, while it is listed or has executions out.
struct Engine {
    id: String,
    entry: Listed,
    out: usize,
    seen: Seen,
}

/// What was seen of an engine lately; counts halve with time.
#[derive(Clone, Copy, Default)]
struct Seen {
    failed: f64,
    answered: f64,
    at: Micros,
    /// When it last said anything, and since when something is out there.
    heard: Micros,
    busy: Micros,
    /// When it was last in trouble, here or by others' word, and since when it has answered again.
    ill: Option<Micros>,
    back: Option<Micros>,
    /// The same, not taken back.
    back_since: Option<Micros>,
    /// When an execution was last given up there after silence worth a word, and how long that was.
    hushed: Option<(Micros, Micros)>,
}

impl Seen {
    fn fade(&mut self, now: Micros) {
        let left = 0.5f64.powf((now - self.at) as f64 / SEEN_HALVES as f64);
        (self.failed, self.answered, self.at) = (self.failed * left, self.answered * left, now);
    }

    /// It has answered. Where it was in trouble lately, it is back.
    fn answers(&mut self, now: Micros) {
        (self.heard, self.hushed) = (now, None);
        self.answered += 1.0;
        if self.ill.take().is_some_and(|at| now - at < ILL_FOR) {
            self.back = Some(now);
            self.back_since.get_or_insert(now);
        }
    }
}

const SEEN_HALVES: Micros = 2_000_000; // microseconds until what was seen of an engine counts half
const SILENT: Micros = 1_000_000; // microseconds of silence with something out that are worth a word
const HUSHED_FOR: Micros = 3_000_000; // microseconds for which silence that ended in giving up is told: else it would
                                      // be taken back before the word of it reached many fronts
const ILL_FOR: Micros = 120_000_000; // microseconds after trouble that an answer is worth a word; zones stay away long
const BACK_FOR: Micros = 4_000_000; // microseconds for which that word is said: it reaches a thousand fronts in three

/// What this front has seen of an engine, for others.
#[derive(Clone, Debug, PartialEq)]
pub struct Sighted<'a> {
    pub id: &'a str,
    /// Executions that failed or were lost, and that were answered, of some seconds.
    pub failed: f64,
    pub answered: f64,
    /// How long it has said nothing though something is out there.
    pub silent: Micros,
    pub drains: bool,
    pub started: Option<Micros>,
}

pub struct Dispatcher {
    front: Front,
    names: Names,
    needs_dedup_key: Vec<bool>, // by workload
    turn_gap: Micros,
    warm_within: Micros,
    wake: Micros,
    told: Vec<Event>,
    next_ticket: Ticket,
    statements: HashMap<Ticket, Statement>,
    ends: BTreeSet<(Micros, Ticket)>,
    keys: HashMap<String, Key>,
    free_keys: Vec<KeyId>,
    resting: BTreeSet<(Micros, String)>,
    engines: Vec<Engine>,
}

impl Dispatcher {
    pub fn new(contract: &Contract, seed: u64) -> Self {
        Dispatcher {
            front: Front::new(contract.agreement.clone(), seed),
            names: contract.names.clone(),
            needs_dedup_key: (contract.agreement.workloads.iter())
                .map(|w| w.effect == Effect::Deduplicated)
                .collect(),
            turn_gap: contract.agreement.turn_gap,
            warm_within: contract.agreement.warm_within,
            wake: 0,
            told: Vec::new(),
            next_ticket: 0,
            statements: HashMap::new(),
            ends: BTreeSet::new(),
            keys: HashMap::new(),
            free_keys: Vec::new(),
            resting: BTreeSet::new(),
            engines: Vec::new(),
        }
    }

    /// Statements that are not over, or that something is still out for.
    pub fn held(&self) -> usize {
        self.statements.len()
    }

    /// Asks for an engine; the answer comes with a later `tick`.
    pub fn pick(&mut self, now: Micros, ask: &Ask) -> Result<Ticket, Unfit> {
        let workload = position(&self.names.workloads, ask.workload).ok_or(Unfit::Workload)?;
        let customer = match position(&self.names.customers, ask.customer) {
            None if !self.names.customers.is_empty() => return Err(Unfit::Customer),
            found => found.unwrap_or(0),
        };
        if ask.dedup_key.is_none() && self.needs_dedup_key[workload] {
            return Err(Unfit::DedupKey);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let key = ask.key.map(|key| self.key(key));
        self.told.push(Event::Arrived(Arrival {
            statement: ticket,
            workload,
            customer,
            key,
            time_left: ask.time_left,
            work: ask.work,
            memory_mb: ask.memory_mb,
            data_set: ask.data_set,
            speech: ask.speech as u8,
            pinned: ask.pinned,
        }));
        let ends = now + ask.time_left;
        self.ends.insert((ends, ticket));
        let key = ask.key.map(str::to_string);
        let terms = Terms { ends, grant_mb: 0.0, priority: 1 };
        let executions = Vec::new();
        let statement = Statement { terms, over: false, begun: false, keeps: false, key, executions };
        self.statements.insert(ticket, statement);
        Ok(ticket)
    }

    fn key(&mut self, name: &str) -> KeyId {
        let next = self.keys.len() as KeyId;
        let free = &mut self.free_keys;
        let key = self
            .keys
            .entry(name.to_string())
            .or_insert_with(|| Key { id: free.pop().unwrap_or(next), statements: 0 });
        key.statements += 1;
        key.id
    }

    /// The first byte of a statement's answer goes on to its client: it is never executed again.
    pub fn begun(&mut self, ticket: Ticket) {
        if let Some(s) = self.statements.get_mut(&ticket) {
            s.begun = true;
        }
    }

    /// Says that the transaction which a statement belongs to goes on once its answer is reported. True if the
    /// transaction keeps the turn of an order key from then on, until `freed`.
    pub fn keeps(&mut self, ticket: Ticket) -> bool {
        let workload_keeps = |s: &Statement| s.key.is_some() && !s.over;
        match self.statements.get_mut(&ticket).filter(|s| workload_keeps(s)) {
            Some(s) => {
                s.keeps = true;
                true
            }
            None => false,
        }
    }

    /// A transaction that kept an order key is over; the key rests where the transaction may still run.
    pub fn freed(&mut self, now: Micros, name: &str, rests: bool) {
        let Some(key) = self.keys.get_mut(name) else { return };
        self.told.push(Event::Freed { key: key.id, rests });
        key.statements -= 1;
        if key.statements == 0 {
            self.resting.insert((now + self.turn_gap, name.to_string()));
        }
    }

    /// Says how an execution ended. True if this ends its statement: its answer now goes to the client.
    pub fn report(
        &mut self,
        now: Micros,
        ticket: Ticket,
        execution: usize,
        ending: Ending,
        report: Option<Report>,
        cost: Option<Cost>,
    ) -> bool {
        let Some(s) = self.statements.get_mut(&ticket) else { return false };
        let Some(x) = s.executions.get_mut(execution).filter(|x| x.out) else { return false };
        x.out = false;
        let engine = &mut self.engines[x.place];
        engine.out -= 1;
        engine.seen.fade(now);
        match ending {
            Ending::Answered => engine.seen.answers(now),
            Ending::EngineFailed | Ending::Refused | Ending::NeverUp => engine.seen.failed += 1.0,
            Ending::Reset | Ending::Closed | Ending::Unreadable => engine.seen.failed += 1.0,
            Ending::GivenUp | Ending::TimeUp => {
                let silent = now - engine.seen.heard.max(engine.seen.busy);
                engine.seen.hushed = Some((now, silent)).filter(|_| silent >= SILENT).or(engine.seen.hushed);
            }
            _ => {}
        }
        if matches!(ending, Ending::EngineFailed | Ending::TurnedAway) {
            engine.seen.heard = now;
        }
        let answers = (ending == Ending::Answered || s.begun) && !s.over;
        s.over |= answers;
        let holds = answers && s.keeps && ending == Ending::Answered;
        if let Some(key) = s.key.as_ref().filter(|_| holds).and_then(|name| self.keys.get_mut(name)) {
            key.statements += 1;
        }
        self.told.push(Event::Ended(Ended {
            statement: ticket,
            execution,
            engine: x.place,
            outcome: ending.outcome(),
            took: now - x.sent,
            settled: s.over,
            holds,
            cost,
            report,
        }));
        self.forget(now, ticket);
        answers
    }

    /// Word on an execution that is still out.
    pub fn note(&mut self, ticket: Ticket, execution: usize, note: Note) {
        let Some(s) = self.statements.get(&ticket) else { return };
        let Some(x) = s.executions.get(execution).filter(|x| x.out) else { return };
        self.told.push(Event::Noted { statement: ticket, execution, engine: x.place, note });
    }

    /// Engines that others may want to know of: those in some trouble, draining, or started lately.
    pub fn sighted(&mut self, now: Micros) -> Vec<Sighted<'_>> {
        self.engines.iter_mut().for_each(|e| e.seen.fade(now));
        let silent = |e: &Engine| {
            let hushed =
                e.seen.hushed.filter(|(at, _)| now - at < HUSHED_FOR).map_or(0, |(_, silent)| silent);
            let now_silent = if e.out == 0 { 0 } else { now - e.seen.heard.max(e.seen.busy) };
            Some(now_silent.max(hushed)).filter(|silent| *silent >= SILENT).unwrap_or(0)
        };
        for e in &mut self.engines {
            if e.seen.failed >= 1.0 || silent(e) > 0 {
                (e.seen.ill, e.seen.back, e.seen.back_since) = (Some(now), None, None);
            }
            e.seen.back = e.seen.back.filter(|at| now - at < BACK_FOR);
        }
        let back =
            |e: &Engine| if e.seen.back.is_some() { e.seen.answered.max(1.0) } else { e.seen.answered };
        let all = self.engines.iter().map(|e| Sighted {
            id: &e.id,
            failed: e.seen.failed,
            answered: back(e),
            silent: silent(e),
            drains: e.entry.mode != Mode::Ready,
            started: e.entry.started,
        });
        let is_back = self.engines.iter().map(|e| e.seen.back.is_some());
        let worth = |(s, back): &(Sighted, bool)| s.failed >= 1.0 || s.silent > 0 || s.drains || *back;
        all.zip(is_back).filter(worth).map(|(s, _)| s).collect()
    }

    /// Another front says something of an engine, which `is` knows by its id; `maker` is its place among them.
    pub fn hearsay(
        &mut self,
        now: Micros,
        maker: usize,
        is: impl Fn(&str) -> bool,
        seen: &Sighted,
        age: Micros,
    ) {
        let Some(engine) = self.engines.iter().position(|e| is(&e.id)) else { return };
        if seen.failed >= 1.0 || seen.silent > 0 {
            self.engines[engine].seen.ill = Some(now);
        }
        let Sighted { failed, answered, silent, .. } = *seen;
        let said = Hearsay { maker, engine, failed, answered, silent, age };
        if said.answers() {
            self.engines[engine].seen.hushed = None; // whoever was silent has spoken since
        }
        self.told.push(Event::Hearsay(said));
    }

    /// The client no longer waits.
    pub fn left(&mut self, now: Micros, ticket: Ticket) {
        let Some(s) = self.statements.get_mut(&ticket).filter(|s| !s.over) else { return };
        s.over = true;
        // What was withdrawn before it was decided on counts for nothing: the module never hears of it.
        let unheard = |e: &Event| matches!(e, Event::Arrived(a) if a.statement == ticket);
        match self.told.iter().position(unheard) {
            Some(at) => _ = self.told.remove(at),
            None => self.told.push(Event::Left(ticket)),
        }
        self.forget(now, ticket);
    }

    /// How many fronts there are, this one too: those that have not said good-bye, and of them those heard of.
    /// `probers` are those that share the probes into what the fleet has left: infinitely many where it is another's
    /// work.
    pub fn fleet(&mut self, known: usize, probers: f64) {
        self.told.push(Event::Fleet { known: known as f64, up: probers.max(1.0) });
    }

    /// Engines that were in trouble and have answered again, and since when, while they may be cold for it.
    pub fn back(&self, now: Micros) -> Vec<(&str, Micros)> {
        let lately = |since: &Micros| now - since < self.warm_within.max(BACK_FOR);
        let back = self.engines.iter().filter_map(|e| Some((e.id.as_str(), e.seen.back_since?)));
        back.filter(|(_, since)| lately(since)).collect()
    }

    /// The owner of that work says that an engine has answered again since then: as if it had started.
    pub fn answers_since(&mut self, is: impl Fn(&str) -> bool, since: Micros) {
        let Some(engine) = self.engines.iter_mut().find(|e| is(&e.id)) else { return };
        (engine.seen.back_since, engine.seen.hushed) = (Some(since), None);
        let entry = Listed { started: Some(since), ..engine.entry.clone() };
        self.told.push(Event::Engines { whole: false, entries: vec![entry] });
    }

    pub fn probed(&mut self, now: Micros, place: Place, alive: bool, report: Option<Report>) {
        if let Some(engine) = self.engines.get_mut(place).filter(|_| alive) {
            engine.seen.fade(now);
            engine.seen.answers(now);
        }
        self.told.push(Event::Probed { engine: place, alive, report });
    }

    /// Takes a change of the engine list and gives each line's place back, in order.
    pub fn list(&mut self, whole: bool, listings: &[Listing]) -> Vec<Place> {
        let mut places = Vec::new();
        let mut entries = Vec::new();
        let named = |e: &Engine| listings.iter().any(|l| l.id == e.id);
        for missing in self.engines.iter_mut().filter(|e| whole && !named(e)) {
            missing.entry.mode = Mode::Gone;
        }
        for listing in listings {
            let place = |list: &[String], name: &str| position(list, name).unwrap_or(list.len());
            let mut entry = Listed {
                engine: 0,
                location: place(&self.names.locations, listing.location),
                kind: place(&self.names.kinds, listing.kind),
                cell: listing.cell,
                mode: listing.mode,
                started: listing.started,
                speaks: listing.speaks.iter().fold(0, |all, speech| all | *speech as u8),
                // Only the protocol of lines has notes.
                tells: listing.speaks.contains(&Speech::Lines),
            };
            entry.engine = self.place(listing.id, &entry);
            let seen = Seen::default();
            let engine = Engine { id: listing.id.to_string(), entry: entry.clone(), out: 0, seen };
            match self.engines.get_mut(entry.engine) {
                Some(known) => {
                    // What was seen of another, or of an earlier start, says nothing of this one.
                    let same = known.id == engine.id && known.entry.started == engine.entry.started;
                    let seen = if same { known.seen } else { seen };
                    *known = Engine { out: known.out, seen, ..engine };
                }
                None => self.engines.push(engine),
            }
            places.push(entry.engine);
            entries.push(entry);
        }
        self.told.push(Event::Engines { whole, entries });
        places
    }

    /// The place of an engine: its own, that of one like it that is gone with nothing out, or a new one.
    /// The module starts an engine with a start of its own afresh, so only such a one may follow another.
    fn place(&self, id: &str, entry: &Listed) -> Place {
        let like = |e: &Engine| {
            let same = |of: &Listed| (of.location, of.kind, of.cell, of.speaks);
            e.entry.mode == Mode::Gone && e.out == 0 && same(&e.entry) == same(entry)
        };
        let follows = entry.started.is_some();
        let own = self.engines.iter().position(|e| e.id == id);
        own.or_else(|| self.engines.iter().position(|e| follows && like(e))).unwrap_or(self.engines.len())
    }

    /// When `tick` is next due, whatever happens.
    pub fn wake(&self) -> Micros {
        if !self.told.is_empty() {
            return 0;
        }
        self.ends.first().map_or(self.wake, |(ends, _)| self.wake.min(*ends))
    }

    /// Decides on all that was told since the last call.
    pub fn tick(&mut self, now: Micros) -> Vec<Order> {
        let mut orders = Vec::new();
        while let Some(&(ends, ticket)) = self.ends.first().filter(|(ends, _)| *ends <= now) {
            self.ends.remove(&(ends, ticket));
            let Some(s) = self.statements.get(&ticket) else { continue };
            let ending = Ending::TimeUp;
            orders.extend(s.out().map(|execution| Order::Stop { ticket, execution, ending }));
        }
        if self.told.is_empty() && now < self.wake {
            return orders;
        }
        if self.wake <= now {
            self.told.push(Event::Woken);
        }
        let mut told = std::mem::take(&mut self.told);
        for event in &mut told {
            if let Event::Arrived(arrival) = event {
                // Guards against a stop between taking a statement and deciding: its time has run on.
                let ends = self.statements.get(&arrival.statement).map_or(now, |s| s.terms.ends);
                arrival.time_left = ends - now;
            }
        }
        for action in self.front.decide(now, told) {
            self.order(now, action, &mut orders);
        }
        self.rest(now);
        orders
    }

    fn order(&mut self, now: Micros, action: Action, orders: &mut Vec<Order>) {
        match action {
            Action::Terms { statement: ticket, grant_mb, priority } => {
                let Some(s) = self.statements.get_mut(&ticket) else { return };
                s.terms = Terms { grant_mb, priority, ..s.terms };
                orders.extend(s.out().map(|execution| Order::Hurry { ticket, execution, priority }));
            }
            Action::Execute { statement: ticket, engine: place } => {
                let Some(s) = self.statements.get_mut(&ticket) else { return };
                let (execution, terms) = (s.executions.len(), s.terms);
                s.executions.push(Execution { place, sent: now, out: true });
                let engine = &mut self.engines[place];
                if engine.out == 0 {
                    engine.seen.busy = now;
                }
                engine.out += 1;
                orders.push(Order::Send { ticket, execution, place, terms });
            }
            Action::Cancel { statement: ticket, execution } => {
                // What has begun to answer can't be tried elsewhere: it is only stopped with its statement.
                if self.statements.get(&ticket).is_some_and(|s| s.over || !s.begun) {
                    orders.push(Order::Stop { ticket, execution, ending: Ending::GivenUp });
                }
            }
            Action::Reject { statement: ticket, retry_after } => {
                orders.push(Order::Reject { ticket, retry_after });
                self.over(now, ticket);
            }
            Action::Abort { statement: ticket } => {
                orders.push(Order::Abort { ticket });
                self.over(now, ticket);
            }
            Action::Probe { engine: place } => orders.push(Order::Probe { place, for_fleet: false }),
            Action::ProbeLeft { engine: place } => orders.push(Order::Probe { place, for_fleet: true }),
            Action::Wake { at } => self.wake = at,
            // The coordinator is followed all the time, asked for or not.
            Action::Subscribe => {}
        }
    }

    fn over(&mut self, now: Micros, ticket: Ticket) {
        if let Some(s) = self.statements.get_mut(&ticket) {
            s.over = true;
        }
        self.forget(now, ticket);
    }

    /// Lets go of a statement that is over with nothing out; its key rests as long as was agreed.
    fn forget(&mut self, now: Micros, ticket: Ticket) {
        let Some(s) = self.statements.get(&ticket) else { return };
        if !s.over || s.out().next().is_some() {
            return;
        }
        self.ends.remove(&(s.terms.ends, ticket));
        let Some(s) = self.statements.remove(&ticket) else { return };
        let Some((name, key)) = s.key.and_then(|name| self.keys.get_mut(&name).map(|key| (name, key))) else {
            return;
        };
        key.statements -= 1;
        if key.statements == 0 {
            self.resting.insert((now + self.turn_gap, name));
        }
    }

    /// Frees the keys that have rested. The module has been told of their last ending by then.
    fn rest(&mut self, now: Micros) {
        while let Some((at, name)) = self.resting.pop_first() {
            if at >= now {
                self.resting.insert((at, name));
                return;
            }
            if self.keys.get(&name).is_some_and(|key| key.statements == 0) {
                self.free_keys.extend(self.keys.remove(&name).map(|key| key.id));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SETTINGS: &str = r#"{"instances": 1, "areas": ["here"], "kinds": ["std"],
        "customers": [{"name": "acme", "allowancePerS": 1000}],
        "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true},
        "extra": {"sizeCores": [8], "memoryByKindMb": [16384], "takesPriority": true},
        "requestClasses": [
            {"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"},
            {"name": "load", "aimMs": 1000, "deadlineMs": 5000, "repeat": "by_key", "group": "all",
             "dedupWindowMs": 9000, "inTurn": true},
            {"name": "pay", "aimMs": 1000, "deadlineMs": 5000, "repeat": "once"}],
        "rules": {"turnGapMs": 50}}"#;

    fn dispatcher() -> Dispatcher {
        Dispatcher::new(&hallmux_agreement::contract(SETTINGS).unwrap(), 7)
    }

    fn listing(id: &str, mode: Mode, started: Option<Micros>) -> Listing<'_> {
        let speaks = &[Speech::Lines];
        Listing { id, location: "here", kind: "std", cell: 0, mode, started, speaks }
    }

    fn ask<'a>(workload: &'a str, key: Option<&'a str>) -> Ask<'a> {
        Ask { workload, customer: "acme", key, dedup_key: Some("u"), time_left: 4_000_000, ..Ask::default() }
    }

    #[test]
    fn what_is_withdrawn_before_it_is_decided_on_is_never_heard_of() {
        let mut d = dispatcher();
        for _ in 0..1000 {
            let ticket = d.pick(0, &ask("load", Some("k"))).unwrap();
            d.left(0, ticket);
        }
        assert!(d.told.is_empty() && d.held() == 0);
    }

    fn sent(orders: &[Order]) -> Vec<(Ticket, usize)> {
        let send = |o: &Order| match o {
            Order::Send { ticket, execution, .. } => Some((*ticket, *execution)),
            _ => None,
        };
        orders.iter().filter_map(send).collect()
    }

    #[test]
    fn only_endings_that_prove_it_let_a_non_idempotent_statement_go_again() {
        for (ending, again) in [
            (Ending::TurnedAway, true),
            (Ending::Stale, true),
            (Ending::Refused, true),
            (Ending::NeverUp, true),
            (Ending::NoMeans, true),
            (Ending::Withdrawn, true),
            (Ending::HalfWritten, true),
            (Ending::BrokenNew, true),
            (Ending::EngineFailed, false),
            (Ending::PageLost, false),
            (Ending::Reset, false),
            (Ending::Closed, false),
            (Ending::Unreadable, false),
            (Ending::GivenUp, false),
        ] {
            let mut d = dispatcher();
            d.list(true, &[listing("a", Mode::Ready, None), listing("b", Mode::Ready, None)]);
            let ticket = d.pick(1_000_000, &ask("pay", None)).unwrap();
            assert_eq!(sent(&d.tick(1_000_000)), [(ticket, 0)]);
            assert!(!d.report(1_010_000, ticket, 0, ending, None, None));
            let mut next = d.tick(1_010_000);
            // An engine that could not be reached rests for a while.
            next.extend(d.tick(2_200_000));
            assert_eq!(sent(&next) == [(ticket, 1)], again, "{ending:?}: {next:?}");
            assert_eq!(next.contains(&Order::Abort { ticket }), !again, "{ending:?}: {next:?}");
        }
    }

    #[test]
    fn what_ends_for_want_of_descriptors_or_by_a_new_connection_is_not_held_against_the_engine() {
        for (ending, goes_on) in
            [(Ending::NoMeans, true), (Ending::BrokenNew, true), (Ending::Refused, false)]
        {
            let mut d = dispatcher();
            d.list(true, &[listing("a", Mode::Ready, None)]);
            let ticket = d.pick(0, &ask("lookup", None)).unwrap();
            d.tick(0);
            assert!(!d.report(1_000, ticket, 0, ending, None, None));
            assert_eq!(sent(&d.tick(1_000)), if goes_on { vec![(ticket, 1)] } else { vec![] }, "{ending:?}");
        }
    }

    #[test]
    fn the_first_answer_counts_and_nothing_follows_it() {
        let mut d = dispatcher();
        d.list(true, &[listing("a", Mode::Ready, None)]);
        let ticket = d.pick(0, &ask("lookup", None)).unwrap();
        d.tick(0);
        assert!(d.report(5_000, ticket, 0, Ending::Answered, None, None));
        assert!(!d.report(5_000, ticket, 0, Ending::Answered, None, None));
        assert_eq!((d.tick(5_000), d.held()), (vec![], 0));
        let other = d.pick(6_000, &ask("lookup", None)).unwrap();
        d.tick(6_000);
        d.left(7_000, other);
        let stop = Order::Stop { ticket: other, execution: 0, ending: Ending::GivenUp };
        assert_eq!(d.tick(7_000), [stop]);
        assert!(!d.report(7_000, other, 0, Ending::Answered, None, None));
        assert_eq!((d.tick(7_000), d.held()), (vec![], 0));
    }

    #[test]
    fn what_is_out_when_the_time_is_up_is_stopped_then_ended() {
        let mut d = dispatcher();
        d.list(true, &[listing("a", Mode::Ready, None)]);
        let ticket = d.pick(0, &ask("pay", None)).unwrap();
        d.tick(0);
        let stop = Order::Stop { ticket, execution: 0, ending: Ending::TimeUp };
        assert!(d.tick(4_000_000).contains(&stop));
        d.report(4_000_000, ticket, 0, Ending::TimeUp, None, None);
        assert_eq!(d.tick(4_000_000), [Order::Abort { ticket }]);
        assert_eq!(d.held(), 0);
    }

    #[test]
    fn a_statement_has_what_is_left_when_it_is_decided_on() {
        let mut d = dispatcher();
        d.list(true, &[listing("a", Mode::Ready, None)]);
        d.tick(0);
        // Of a class whose late answers are worth nothing: out of SLO time by the time it is decided on.
        let ticket = d.pick(10_000, &ask("lookup", None)).unwrap();
        let late = d.tick(3_990_000);
        assert!(matches!(late[..], [Order::Reject { .. }]), "{late:?}");
        assert_eq!((sent(&late), d.held()), (vec![], 0), "{ticket}");
    }

    #[test]
    fn unknown_names_and_a_missing_dedup_key_are_unfit() {
        let mut d = dispatcher();
        assert_eq!(d.pick(0, &ask("unheard", None)), Err(Unfit::Workload));
        assert_eq!(d.pick(0, &Ask { customer: "unheard", ..ask("pay", None) }), Err(Unfit::Customer));
        assert_eq!(d.pick(0, &Ask { dedup_key: None, ..ask("load", None) }), Err(Unfit::DedupKey));
        assert_eq!(d.held(), 0);
    }

    #[test]
    fn nothing_is_kept_of_statements_keys_and_engines_that_are_over() {
        let mut d = dispatcher();
        let mut now = 0;
        for i in 0..3_000 {
            now += 100_000;
            let (id, key) = (format!("e{i}"), format!("k{i}"));
            d.list(false, &[listing(&id, Mode::Ready, Some(now - 60_000_000))]);
            let ticket = d.pick(now, &ask("load", Some(&key))).unwrap();
            assert_eq!(sent(&d.tick(now)), [(ticket, 0)]);
            d.report(now + 10_000, ticket, 0, Ending::Answered, None, None);
            d.list(false, &[listing(&id, Mode::Gone, Some(now - 60_000_000))]);
            d.tick(now + 10_000);
        }
        let kept =
            (d.held(), d.ends.len(), d.keys.len(), d.free_keys.len(), d.resting.len(), d.engines.len());
        assert!(kept.0 == 0 && kept.1 == 0 && kept.2 <= 2 && kept.3 <= 2 && kept.4 <= 2, "{kept:?}");
        assert_eq!(kept.5, 1);
    }

    #[test]
    fn silence_is_told_beyond_the_statement_given_up_for_it_and_what_answers_again_is_told_too() {
        let mut d = dispatcher();
        d.list(true, &[listing("a", Mode::Ready, None)]);
        let ticket = d.pick(0, &ask("lookup", None)).unwrap();
        d.tick(0);
        assert!(d.sighted(900_000).is_empty());
        d.report(1_400_000, ticket, 0, Ending::GivenUp, None, None);
        let told: Vec<_> = d.sighted(1_500_000).iter().map(|s| (s.id.to_string(), s.silent)).collect();
        assert_eq!(told, [("a".to_string(), 1_400_000)]);
        assert!(d.sighted(1_400_000 + HUSHED_FOR).is_empty());
        // It answers a probe: for a while that is told, then nothing.
        d.probed(5_000_000, 0, true, None);
        let well: Vec<_> = d.sighted(5_100_000).iter().map(|s| (s.silent, s.answered >= 1.0)).collect();
        assert_eq!(well, [(0, true)]);
        assert!(d.sighted(5_000_000 + BACK_FOR).is_empty());
    }

    #[test]
    fn an_execution_given_up_before_its_engine_is_silent_for_long_says_nothing_of_it() {
        let mut d = dispatcher();
        d.list(true, &[listing("a", Mode::Ready, None)]);
        let ticket = d.pick(0, &ask("lookup", None)).unwrap();
        d.tick(0);
        d.report(SILENT - 1, ticket, 0, Ending::GivenUp, None, None);
        assert!(d.sighted(SILENT + 500_000).is_empty());
    }

    #[test]
    fn a_key_keeps_its_rest_when_its_statements_are_over() {
        let mut d = dispatcher();
        d.list(true, &[listing("a", Mode::Ready, None)]);
        let first = d.pick(0, &ask("load", Some("k"))).unwrap();
        d.tick(0);
        d.left(1_000, first);
        d.tick(1_000);
        d.report(1_000, first, 0, Ending::GivenUp, None, None);
        d.tick(1_000);
        let second = d.pick(2_000, &ask("load", Some("k"))).unwrap();
        assert_eq!(sent(&d.tick(2_000)), []);
        assert_eq!(sent(&d.tick(50_000)), []);
        let at = d.wake();
        assert_eq!(sent(&d.tick(at)), [(second, 0)]);
    }
}
