//! One version of the set for the fleet: what this front knows of it, its lease on it, and its part in changing it.

mod change;

use std::collections::HashMap;

use hallmux_lease::Terms;
use hallmux_ledger::{Act, Ask, Entry, Key, Outcome};

use crate::event::Event;
use crate::head::{head_key, joined, part_keys, Head, StoredVersion};
use crate::index::Index;
use crate::known::KnownNames;
use crate::read::{read, RulesCommand};
use crate::rule::RuleSet;
use crate::{Micros, Moment};

const ON_THE_WAY: Micros = 200_000; // microseconds; what left under a lease that has ended may still be under way
const AGAIN: Micros = 250_000; // microseconds until what the ledger could not do is asked again
const OTHERS: Micros = 1_000_000; // microseconds after which another front says what the one that changed it did not

/// A file that this front wants to be the fleet's.
struct Offer {
    file: String,
    command: RulesCommand,
    text: String,
    /// Parts that stand; the head follows once all do.
    standing: usize,
    swapping: bool,
    /// What the head is to name.
    wanted: Option<StoredVersion>,
}

enum Pending {
    Head,
    Part { of: StoredVersion, number: usize },
    Keeps,
    Swap { to: StoredVersion, gone: Option<StoredVersion> },
    Settle,
    Lets,
}

/// The text of a version, as its parts come.
struct Fetch {
    of: StoredVersion,
    parts: Vec<Option<Vec<u8>>>,
}

/// One front's view of the fleet's version, and its lease on it.
pub struct Versions {
    known: KnownNames,
    terms: Terms,
    held: Index,
    /// What the set held was read from; None: the empty set that holds before there is any.
    held_from: Option<StoredVersion>,
    /// The head read last and its version in the ledger; None where there is none yet.
    head: Option<(Head, u64)>,
    /// The ledger has answered in this life.
    heard: bool,
    /// When this head was first read.
    since: Micros,
    changed_here: bool,
    /// It may be judged by the set held before this.
    until: Micros,
    /// When a head was asked for whose set is still being fetched.
    will_hold: Option<Micros>,
    was_open: bool,
    fetch: Option<Fetch>,
    offer: Option<Offer>,
    asked: HashMap<u64, (Pending, Micros)>,
    next_number: u64,
    look: Micros,
    try_again: Micros,
    ticked: Micros,
    unread: Option<&'static str>,
    /// Requests to the ledger that have yet to be sent.
    pub asks: Vec<Ask>,
    /// Events for the log since the caller took them last.
    pub events: Vec<Event>,
}

impl Versions {
    /// A front that has read nothing yet. Requests are numbered from above `first_number`.
    pub fn new(known: KnownNames, terms: Terms, first_number: u64) -> Versions {
        Versions {
            known,
            terms,
            held: Index::new(RuleSet::empty()),
            held_from: None,
            head: None,
            heard: false,
            since: 0,
            changed_here: false,
            until: Micros::MIN,
            will_hold: None,
            was_open: false,
            fetch: None,
            offer: None,
            asked: HashMap::new(),
            next_number: first_number,
            look: Micros::MIN,
            try_again: Micros::MIN,
            ticked: Micros::MIN,
            unread: None,
            asks: Vec::new(),
            events: Vec::new(),
        }
    }

    /// The names that rules may use.
    pub fn known(&self) -> &KnownNames {
        &self.known
    }

    /// The set to judge by, while this front may.
    pub fn lease(&self, steady: Micros) -> Option<&Index> {
        (steady < self.until).then_some(&self.held)
    }

    /// The set held, whether it may be judged by or not.
    pub fn held(&self) -> &Index {
        &self.held
    }

    /// A number for the next request to the ledger; each is given out once.
    pub fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// When `tick` is next due.
    pub fn due(&self) -> Micros {
        let runs_out = if self.was_open { self.until } else { Micros::MAX };
        let settles = if self.unsettled() { self.settles().max(self.try_again) } else { Micros::MAX };
        let retries = if self.try_again > self.ticked { self.try_again } else { Micros::MAX };
        let look = if self.waits(|a| matches!(a, Pending::Head)) { Micros::MAX } else { self.look };
        look.min(runs_out).min(settles).min(retries)
    }

    fn unsettled(&self) -> bool {
        self.head.as_ref().is_some_and(|(head, _)| !head.in_force)
            && !self.waits(|a| matches!(a, Pending::Settle))
    }

    /// When every lease on an earlier version has surely ended.
    fn settles(&self) -> Micros {
        let others = if self.changed_here { 0 } else { OTHERS };
        self.since.saturating_add(self.terms.rests_for() + ON_THE_WAY + others)
    }

    fn waits(&self, what: impl Fn(&Pending) -> bool) -> bool {
        self.asked.values().any(|(asked, _)| what(asked))
    }

    fn ask(&mut self, at: Moment, asked: Pending, key: Key, act: Act) {
        let number = self.number();
        self.asked.insert(number, (asked, at.steady));
        self.asks.push(Ask { number, key, act });
    }

    /// Queues the requests that are due, and says whether this front may judge.
    pub fn tick(&mut self, at: Moment) {
        self.ticked = at.steady;
        let open = at.steady < self.until;
        if open != self.was_open {
            self.was_open = open;
            let version = self.held.set.version;
            self.events.push(if open { Event::RulesKnown { version } } else { Event::RulesUnknown });
        }
        if at.steady >= self.look && !self.waits(|a| matches!(a, Pending::Head)) {
            self.look = at.steady + self.terms.acts_for() / 3;
            self.ask(at, Pending::Head, head_key(), Act::Read);
        }
        if at.steady < self.try_again {
            return;
        }
        self.fetch(at);
        self.propose(at);
        if self.unsettled() && at.steady >= self.settles() {
            self.settle(at);
        }
    }

    /// The ledger has answered. False if it was not asked here.
    pub fn done(&mut self, at: Moment, number: u64, outcome: Outcome) -> bool {
        let Some((asked, asked_at)) = self.asked.remove(&number) else { return false };
        if matches!(outcome, Outcome::Unreachable | Outcome::Full) {
            self.failed(at, asked, outcome);
        } else {
            self.answered(at, asked, asked_at, outcome);
        }
        self.tick(at);
        true
    }

    fn failed(&mut self, at: Moment, asked: Pending, outcome: Outcome) {
        self.try_again = at.steady + AGAIN;
        match asked {
            Pending::Head => self.look = at.steady + AGAIN,
            // It may stand or not: the head will tell.
            Pending::Swap { .. } => {
                self.look = at.steady;
                self.offer.iter_mut().for_each(|offer| offer.swapping = false);
            }
            Pending::Part { .. } => self.fetch = None,
            _ => {}
        }
        if outcome == Outcome::Full && !matches!(asked, Pending::Lets) {
            self.offer = None;
            self.events.push(Event::LedgerFull { what: "a set of rules" });
        }
    }

    fn answered(&mut self, at: Moment, asked: Pending, asked_at: Micros, outcome: Outcome) {
        match (asked, outcome) {
            (Pending::Head, Outcome::Stands(entry)) => self.seen(at, asked_at, Some(entry)),
            (Pending::Head, _) => self.seen(at, asked_at, None),
            (Pending::Part { of, number }, Outcome::Stands(entry)) => self.part(at, of, number, entry.value),
            // Not there (yet): the head is looked at again.
            (Pending::Part { .. }, _) => (self.fetch, self.try_again) = (None, at.steady + AGAIN),
            (Pending::Keeps, Outcome::Stands(_)) => {
                self.offer.iter_mut().for_each(|offer| offer.standing += 1)
            }
            (Pending::Keeps, _) => self.offer.iter_mut().for_each(|offer| offer.swapping = false),
            (Pending::Swap { to, gone }, Outcome::Stands(entry)) => {
                self.swapped(at, asked_at, to, gone, entry)
            }
            (Pending::Swap { .. }, _) => {
                self.look = at.steady;
                self.offer.iter_mut().for_each(|offer| offer.swapping = false);
            }
            (Pending::Settle, Outcome::Stands(entry)) => self.seen(at, asked_at, Some(entry)),
            (Pending::Settle, _) => self.look = at.steady,
            (Pending::Lets, _) => {}
        }
    }

    /// What stands at the head, as of some moment after it was asked for.
    fn seen(&mut self, at: Moment, asked_at: Micros, entry: Option<Entry>) {
        let stands = entry.as_ref().map_or(0, |entry| entry.version);
        let known = self.head.as_ref().map_or(0, |(_, version)| *version);
        if stands < known {
            return; // an answer that was overtaken
        }
        self.heard = true;
        if stands > known {
            let Some(head) = entry.as_ref().and_then(|entry| Head::read(&entry.value)) else {
                return self.unreadable("head");
            };
            // A set that is said to be in force after it was only changed is the same set.
            let before = self.head.take();
            let same = before.as_ref().is_some_and(|(before, _)| before.current == head.current);
            if !same {
                (self.since, self.changed_here) = (at.steady, false);
            }
            if head.in_force && !(same && before.is_some_and(|(before, _)| before.in_force)) {
                self.events.push(Event::InForce { version: head.current.version });
            }
            self.head = Some((head, stands));
            self.offer.iter_mut().for_each(|offer| offer.swapping = false);
        }
        if self.head.as_ref().map(|(head, _)| head.current) == self.held_from {
            self.until = self.until.max(asked_at + self.terms.acts_for());
            self.will_hold = None;
        } else {
            self.will_hold = Some(asked_at);
        }
        self.fate();
    }

    fn unreadable(&mut self, what: &'static str) {
        if self.unread.replace(what) != Some(what) {
            self.events.push(Event::Unreadable { what });
        }
    }

    /// Fetches the set that the head names, where it is not the one held.
    fn fetch(&mut self, at: Moment) {
        let Some(now) = self.head.as_ref().map(|(head, _)| head.current) else { return };
        if self.held_from == Some(now) || self.fetch.as_ref().is_some_and(|fetch| fetch.of == now) {
            return;
        }
        let keys: Vec<Key> = part_keys(now).collect();
        self.fetch = Some(Fetch { of: now, parts: vec![None; keys.len()] });
        for (number, key) in keys.into_iter().enumerate() {
            self.ask(at, Pending::Part { of: now, number }, key, Act::Read);
        }
    }

    fn part(&mut self, at: Moment, of: StoredVersion, number: usize, bytes: Vec<u8>) {
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.of == of) else { return };
        if let Some(part) = fetch.parts.get_mut(number) {
            *part = Some(bytes);
        }
        if fetch.parts.iter().all(Option::is_some) {
            let parts = fetch.parts.drain(..).flatten().collect();
            self.fetch = None;
            match joined(of, parts) {
                Some(text) => self.adopt(at, of, &text),
                None => {
                    self.try_again = at.steady + AGAIN;
                    self.unreadable("text");
                }
            }
        }
    }

    /// Judges by a set from now on, if it is still the head's.
    fn adopt(&mut self, at: Moment, of: StoredVersion, text: &str) {
        let Some(head) = self.head.as_ref().map(|(head, _)| head).filter(|head| head.current == of) else {
            return;
        };
        let in_force = head.in_force;
        match read("the fleet's rules", text, &self.known, &|_| None) {
            Ok(RulesCommand::Replace(set)) => {
                self.held = Index::new(RuleSet { version: of.version, ..set });
                self.held_from = Some(of);
                self.unread = None;
                let held = self.will_hold.take().map(|asked_at| asked_at + self.terms.acts_for());
                self.until = held.unwrap_or(Micros::MIN);
                let rules = self.held.set.rules.len();
                self.events.push(Event::Adopted { version: of.version, rules, in_force });
                self.look = self.look.min(at.steady + AGAIN);
            }
            // What another front has checked and this one can't read: its settings differ.
            _ => {
                self.until = Micros::MIN;
                self.try_again = at.steady + 20 * AGAIN;
                self.unreadable("set by this front's settings");
            }
        }
    }
}
