//! Executions that depend on promises are held here until those stand in the ledger: one at a time of an order key
//! over all fronts, a repeat only where it is dropped, a non-idempotent statement never twice. What depends on
//! nothing never comes here. No sockets, no clock, no chance; it says what to ask the ledger and what may leave.

mod guard;
mod hold;
mod needs;

use std::collections::{BTreeMap, HashMap};

use hallmux_agreement::Contract;
use hallmux_dispatcher::{Micros, Place, PromiseEvent, Site, StatementArrived, StatementOver, Terms, Ticket};
use hallmux_ledger::{self as ledger, Done, Key, Kind};

pub use guard::{Asks, Guard};
use hold::{Hold, Verdict, Wanted};
use needs::{Need, Needs};

/// The highest byte of the numbers of this part's asks: others of one front have others.
pub const NUMBERS: u64 = 1 << 56;

/// Microseconds from a front's start within which a shard may yet have to begin, or to be found.
const FIRST: Micros = 10_000_000;
/// Microseconds that an execution waits for the first word of its shard at most; half of its time at most.
const FIRST_WAIT: Micros = 3_000_000;

/// An execution that was ordered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ordered {
    pub ticket: Ticket,
    pub execution: usize,
    pub place: Place,
    pub terms: Terms,
    /// Where that engine is.
    pub site: Site,
}

/// What becomes of what is held.
#[derive(Clone, Debug, PartialEq)]
pub enum Ruling {
    /// Its promises stand: it leaves at once, or never under them.
    Go(Ordered),
    /// Its promise can't be had now: final, and trying again is harmless.
    TurnAway(Ticket),
    /// It was begun before, here or elsewhere: final, and nothing is promised.
    Abort(Ticket),
}

struct Statement {
    needs: Vec<Need>,
    held: Option<Ordered>,
    patient_until: Micros,
}

pub struct Gate {
    life: u64,
    /// By shard, whether it has said anything in this life.
    spoke: Vec<bool>,
    needs: Needs,
    statements: HashMap<Ticket, Statement>,
    holds: BTreeMap<Key, Hold>,
    asked: BTreeMap<u64, Key>,
    next: u64,
    /// When the first of the holds is due; asked anew of all only then.
    due: Micros,
    asks: Vec<ledger::Ask>,
    rulings: Vec<Ruling>,
    /// Statements that were turned away, by why.
    pub refused: BTreeMap<&'static str, u64>,
}

impl Gate {
    /// `life` is the name of this life of the front: as for the ledger, Unix milliseconds when it began.
    pub fn new(contract: &Contract, life: u64, shards: u16) -> Gate {
        Gate {
            life,
            spoke: vec![false; usize::from(shards)],
            needs: Needs::new(contract),
            statements: HashMap::new(),
            holds: BTreeMap::new(),
            asked: BTreeMap::new(),
            next: NUMBERS,
            due: Micros::MAX,
            asks: Vec::new(),
            rulings: Vec::new(),
            refused: BTreeMap::new(),
        }
    }

    /// What the dispatcher tells of statements that depend on promises. `id` names one that was taken wherever it is
    /// tried, if anything does.
    pub fn hear(&mut self, now: Micros, word: PromiseEvent, id: impl Fn(Ticket) -> Option<String>) {
        match word {
            PromiseEvent::Arrived(taken) => {
                let id = id(taken.ticket);
                self.taken(&taken, id);
            }
            PromiseEvent::KeyKept(key) => self.keeps(&key),
            PromiseEvent::KeyFreed { key, rests } => self.freed(now, &key, rests),
            PromiseEvent::Over(gone) => self.gone(now, gone),
        }
    }

    /// A statement was taken.
    fn taken(&mut self, taken: &StatementArrived, id: Option<String>) {
        // One that nothing names is told apart by this front alone: its entry is for the record.
        let own = || format!("{}-{}", self.life, taken.ticket);
        let needs = self.needs.of(taken, &id.unwrap_or_else(own));
        if !needs.is_empty() {
            self.statements.insert(taken.ticket, Statement { needs, held: None, patient_until: 0 });
        }
    }

    /// Whether an execution of it may only leave by a ruling.
    pub fn guards(&self, ticket: Ticket) -> bool {
        self.statements.contains_key(&ticket)
    }

    /// An execution of such a statement is ordered.
    pub fn order(&mut self, now: Micros, ordered: Ordered) {
        let Some(s) = self.statements.get_mut(&ordered.ticket) else { return };
        s.held = Some(ordered);
        s.patient_until = now + FIRST_WAIT.min((ordered.terms.ends - now) / 2);
        self.want(now, ordered.ticket);
    }

    /// The priority of what is held may change before it leaves.
    pub fn hurry(&mut self, ticket: Ticket, priority: u8) {
        if let Some(held) = self.statements.get_mut(&ticket).and_then(|s| s.held.as_mut()) {
            held.terms.priority = priority;
        }
    }

    /// Gives an execution up. True if it was held: nothing of it has left.
    pub fn stop(&mut self, now: Micros, ticket: Ticket, execution: usize) -> bool {
        let Some(s) = self.statements.get_mut(&ticket) else { return false };
        if s.held.take_if(|held| held.execution == execution).is_none() {
            return false;
        }
        for key in s.needs.iter().map(|need| need.key.clone()).collect::<Vec<_>>() {
            self.holds.get_mut(&key).map(|hold| hold.wanting.remove(&ticket));
            self.advance(now, &key);
        }
        true
    }

    /// A statement is over with nothing out for it.
    fn gone(&mut self, now: Micros, gone: StatementOver) {
        let Some(s) = self.statements.remove(&gone.ticket) else { return };
        for Need { key, .. } in s.needs {
            self.holds.get_mut(&key).into_iter().for_each(|hold| hold.gone(now, gone));
            self.advance(now, &key);
        }
    }

    /// A transaction keeps the order key of one of its statements until `freed`.
    fn keeps(&mut self, name: &str) {
        let key = Key { kind: Kind::Order, name: name.to_string() };
        self.holds.get_mut(&key).into_iter().for_each(Hold::keep);
    }

    fn freed(&mut self, now: Micros, name: &str, rests: bool) {
        let key = Key { kind: Kind::Order, name: name.to_string() };
        self.holds.get_mut(&key).into_iter().for_each(|hold| hold.freed(now, rests));
        self.advance(now, &key);
    }

    /// The ledger has answered an ask.
    pub fn done(&mut self, now: Micros, done: Done) {
        let Some(key) = self.asked.remove(&done.number) else { return self.turn(now, done.number) };
        let shard = usize::from(ledger::shard_of(&key, self.spoke.len() as u16));
        let spoke = self.spoke.get_mut(shard).is_none_or(|spoke| {
            *spoke |= done.outcome != ledger::Outcome::Unreachable;
            *spoke
        });
        let first = !spoke && now < self.life as Micros * 1_000 + FIRST;
        let Some(hold) = self.holds.get_mut(&key) else { return };
        let verdict = hold.answered(now, done.outcome, first);
        self.ruled(now, &key, verdict);
    }

    /// A key that another had is free, and it is this front's turn: known by the latest ask for it.
    fn turn(&mut self, now: Micros, number: u64) {
        let next = self.holds.iter_mut().find_map(|(key, hold)| hold.turn(now, number).then(|| key.clone()));
        next.into_iter().for_each(|key| self.advance(now, &key));
    }

    /// Asks again what is due.
    pub fn tick(&mut self, now: Micros) {
        if now < self.due {
            return;
        }
        let due = |(_, hold): &(&Key, &Hold)| hold.due() <= now;
        let due: Vec<Key> = self.holds.iter().filter(due).map(|(key, _)| key.clone()).collect();
        due.iter().for_each(|key| self.advance(now, key));
        self.due = self.holds.values().map(Hold::due).min().unwrap_or(Micros::MAX);
    }

    pub fn due(&self) -> Micros {
        if !self.asks.is_empty() || !self.rulings.is_empty() {
            return 0;
        }
        self.due
    }

    /// Nothing is asked that has no answer yet.
    pub fn is_idle(&self) -> bool {
        self.asked.is_empty()
    }

    /// Executions that are held.
    pub fn held(&self) -> impl Iterator<Item = (Ticket, usize)> + '_ {
        self.statements.values().filter_map(|s| s.held.map(|held| (held.ticket, held.execution)))
    }

    /// What to ask the ledger.
    pub fn asks(&mut self) -> Vec<ledger::Ask> {
        std::mem::take(&mut self.asks)
    }

    /// What becomes of what was held. Each is to be obeyed at once, at a time that is not later than it was asked at.
    pub fn rulings(&mut self) -> Vec<Ruling> {
        std::mem::take(&mut self.rulings)
    }

    /// A held execution wants its promises, in order: none behind one that another front has, so that fronts that
    /// want the same ones do not wait for each other.
    fn want(&mut self, now: Micros, ticket: Ticket) {
        let Some(s) = self.statements.get(&ticket) else { return };
        let (Some(held), patient_until) = (s.held, s.patient_until) else { return };
        let mut behind = false;
        for need in s.needs.clone() {
            let hold =
                self.holds.entry(need.key.clone()).or_insert_with(|| Hold::new(need.key.kind, need.after));
            let wanted = Wanted { patient_until, ..wanted(&need, &held) };
            let verdict = match behind {
                true => {
                    hold.wanting.remove(&ticket);
                    Verdict::Look
                }
                false => hold.want(now, ticket, wanted),
            };
            behind |= hold.blocked;
            if verdict != Verdict::Look {
                return self.ruled(now, &need.key, verdict);
            }
        }
        for need in self.statements.get(&ticket).map(|s| s.needs.clone()).unwrap_or_default() {
            self.advance(now, &need.key);
        }
    }

    fn ruled(&mut self, now: Micros, key: &Key, verdict: Verdict) {
        let (tickets, why) = match verdict {
            Verdict::Look => (Vec::new(), ""),
            Verdict::TurnAway(tickets, why) => (tickets, why),
            Verdict::Begun(tickets) => (tickets, "begun"),
        };
        for ticket in tickets {
            *self.refused.entry(why).or_default() += 1;
            let Some(s) = self.statements.get_mut(&ticket) else { continue };
            s.held = None;
            for other in s.needs.iter().map(|need| need.key.clone()).collect::<Vec<_>>() {
                self.holds.get_mut(&other).map(|hold| hold.wanting.remove(&ticket));
                self.advance(now, &other);
            }
            self.rulings.push(if why == "begun" { Ruling::Abort(ticket) } else { Ruling::TurnAway(ticket) });
        }
        // Those that go on waiting may want their other promises now.
        let wanting = self.holds.get(key).map(|hold| hold.wanting.keys().copied().collect::<Vec<_>>());
        wanting.unwrap_or_default().into_iter().for_each(|ticket| self.want(now, ticket));
        self.advance(now, key);
    }

    /// Lets go what may leave, and asks what is due of a key.
    fn advance(&mut self, now: Micros, key: &Key) {
        let wanting = self.holds.get(key).map(|hold| hold.wanting.keys().copied().collect::<Vec<_>>());
        for ticket in wanting.unwrap_or_default() {
            self.leaves(now, ticket);
        }
        let Some(hold) = self.holds.get_mut(key) else { return };
        if let Some(act) = hold.ask(now, (self.life, self.next + 1)) {
            self.next += 1;
            self.asked.insert(self.next, key.clone());
            self.asks.push(ledger::Ask { number: self.next, key: key.clone(), act });
        }
        self.due = self.due.min(hold.due());
        if hold.is_over(now) {
            self.holds.remove(key);
        }
    }

    fn leaves(&mut self, now: Micros, ticket: Ticket) {
        let Some(s) = self.statements.get_mut(&ticket) else { return };
        let Some(held) = s.held.filter(|held| now < held.terms.ends) else { return };
        let stands = |need: &Need| {
            self.holds.get(&need.key).is_some_and(|hold| hold.stands(now, ticket, wanted(need, &held)))
        };
        if s.needs.iter().all(stands) {
            s.needs.iter().for_each(|need| {
                self.holds.get_mut(&need.key).into_iter().for_each(|hold| hold.leaves(ticket));
            });
            s.held = None;
            self.rulings.push(Ruling::Go(held));
        }
    }
}

fn wanted(need: &Need, held: &Ordered) -> Wanted {
    let ends = held.terms.ends;
    let (until_ms, runs_ms) = (need.until(ends), need.runs_until(ends));
    Wanted { until_ms, runs_ms, group: need.group(held.site), patient_until: 0 }
}

#[cfg(test)]
mod tests;
