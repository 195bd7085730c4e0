//! One version of the set for the fleet: what this front knows of it, its lease on it, and its part in changing it.

mod change;

use std::collections::HashMap;

use hallmux_lease::Terms;
use hallmux_ledger::{Entry, Key, LedgerRequest, Operation, Outcome};

use crate::event::Event;
use crate::head::{head_key, joined, part_keys, Head, StoredVersion};
use crate::index::Index;
use crate::known::KnownNames;
use crate::read::{read, RulesCommand};
use crate::rule::RuleSet;
use crate::{Micros, Moment};

const IN_FLIGHT: Micros = 200_000; // microseconds; what left under a lease that has ended may still be under way
const RETRY_INTERVAL: Micros = 250_000; // microseconds until a request that the ledger failed is repeated
const OTHERS_DELAY: Micros = 1_000_000; // microseconds; the front that changed the head confirms it first

/// A file that this front wants to be the fleet's.
struct Offer {
    file: String,
    command: RulesCommand,
    text: String,
    /// Parts that stand; the head follows once all do.
    parts_stored: usize,
    swapping: bool,
    /// What the head is to name.
    wanted: Option<StoredVersion>,
}

enum Pending {
    Head,
    Part {
        of: StoredVersion,
        number: usize,
    },
    PutPart,
    Swap {
        to: StoredVersion,
        gone: Option<StoredVersion>,
    },
    ConfirmInForce,
    ExpirePart,
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
    ledger_has_answered: bool,
    /// When this head was first read.
    head_since: Micros,
    changed_here: bool,
    /// It may be judged by the set held before this.
    lease_until: Micros,
    /// When a head was asked for whose set is still being fetched.
    lease_once_adopted: Option<Micros>,
    was_open: bool,
    fetch: Option<Fetch>,
    offer: Option<Offer>,
    asked: HashMap<u64, (Pending, Micros)>,
    next_number: u64,
    next_head_read: Micros,
    retry_at: Micros,
    ticked: Micros,
    reported_unreadable: Option<&'static str>,
    /// Requests to the ledger that have yet to be sent.
    pub asks: Vec<LedgerRequest>,
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
            ledger_has_answered: false,
            head_since: 0,
            changed_here: false,
            lease_until: Micros::MIN,
            lease_once_adopted: None,
            was_open: false,
            fetch: None,
            offer: None,
            asked: HashMap::new(),
            next_number: first_number,
            next_head_read: Micros::MIN,
            retry_at: Micros::MIN,
            ticked: Micros::MIN,
            reported_unreadable: None,
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
        (steady < self.lease_until).then_some(&self.held)
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
        let runs_out = if self.was_open {
            self.lease_until
        } else {
            Micros::MAX
        };
        let settles = if self.awaits_confirmation() {
            self.in_force_at().max(self.retry_at)
        } else {
            Micros::MAX
        };
        let retries = if self.retry_at > self.ticked {
            self.retry_at
        } else {
            Micros::MAX
        };
        let look = if self.is_pending(|a| matches!(a, Pending::Head)) {
            Micros::MAX
        } else {
            self.next_head_read
        };
        look.min(runs_out).min(settles).min(retries)
    }

    fn awaits_confirmation(&self) -> bool {
        self.head.as_ref().is_some_and(|(head, _)| !head.in_force)
            && !self.is_pending(|a| matches!(a, Pending::ConfirmInForce))
    }

    /// When every lease on an earlier version has surely ended.
    fn in_force_at(&self) -> Micros {
        let others = if self.changed_here { 0 } else { OTHERS_DELAY };
        self.head_since
            .saturating_add(self.terms.rests_for() + IN_FLIGHT + others)
    }

    fn is_pending(&self, what: impl Fn(&Pending) -> bool) -> bool {
        self.asked.values().any(|(asked, _)| what(asked))
    }

    fn ask(&mut self, at: Moment, asked: Pending, key: Key, operation: Operation) {
        let number = self.number();
        self.asked.insert(number, (asked, at.steady));
        self.asks.push(LedgerRequest {
            number,
            key,
            operation,
        });
    }

    /// Queues the requests that are due, and says whether this front may judge.
    pub fn tick(&mut self, at: Moment) {
        self.ticked = at.steady;
        let open = at.steady < self.lease_until;
        if open != self.was_open {
            self.was_open = open;
            let version = self.held.set.version;
            self.events.push(if open {
                Event::RulesKnown { version }
            } else {
                Event::RulesUnknown
            });
        }
        if at.steady >= self.next_head_read && !self.is_pending(|a| matches!(a, Pending::Head)) {
            self.next_head_read = at.steady + self.terms.acts_for() / 3;
            self.ask(at, Pending::Head, head_key(), Operation::Read);
        }
        if at.steady < self.retry_at {
            return;
        }
        self.fetch(at);
        self.propose(at);
        if self.awaits_confirmation() && at.steady >= self.in_force_at() {
            self.confirm_in_force(at);
        }
    }

    /// The ledger has answered. False if it was not asked here.
    pub fn done(&mut self, at: Moment, number: u64, outcome: Outcome) -> bool {
        let Some((asked, asked_at)) = self.asked.remove(&number) else {
            return false;
        };
        if matches!(outcome, Outcome::Unreachable | Outcome::Full) {
            self.on_failure(at, asked, outcome);
        } else {
            self.on_answer(at, asked, asked_at, outcome);
        }
        self.tick(at);
        true
    }

    fn on_failure(&mut self, at: Moment, asked: Pending, outcome: Outcome) {
        self.retry_at = at.steady + RETRY_INTERVAL;
        match asked {
            Pending::Head => self.next_head_read = at.steady + RETRY_INTERVAL,
            // It may stand or not: the head will tell.
            Pending::Swap { .. } => {
                self.next_head_read = at.steady;
                self.offer
                    .iter_mut()
                    .for_each(|offer| offer.swapping = false);
            }
            Pending::Part { .. } => self.fetch = None,
            _ => {}
        }
        if outcome == Outcome::Full && !matches!(asked, Pending::ExpirePart) {
            self.offer = None;
            self.events.push(Event::LedgerFull {
                what: "a set of rules",
            });
        }
    }

    fn on_answer(&mut self, at: Moment, asked: Pending, asked_at: Micros, outcome: Outcome) {
        match (asked, outcome) {
            (Pending::Head, Outcome::Stands(entry)) => self.on_head(at, asked_at, Some(entry)),
            (Pending::Head, _) => self.on_head(at, asked_at, None),
            (Pending::Part { of, number }, Outcome::Stands(entry)) => {
                self.on_part(at, of, number, entry.value)
            }
            // Not there (yet): the head is looked at again.
            (Pending::Part { .. }, _) => {
                (self.fetch, self.retry_at) = (None, at.steady + RETRY_INTERVAL)
            }
            (Pending::PutPart, Outcome::Stands(_)) => self
                .offer
                .iter_mut()
                .for_each(|offer| offer.parts_stored += 1),
            (Pending::PutPart, _) => self
                .offer
                .iter_mut()
                .for_each(|offer| offer.swapping = false),
            (Pending::Swap { to, gone }, Outcome::Stands(entry)) => {
                self.on_swapped(at, asked_at, to, gone, entry)
            }
            (Pending::Swap { .. }, _) => {
                self.next_head_read = at.steady;
                self.offer
                    .iter_mut()
                    .for_each(|offer| offer.swapping = false);
            }
            (Pending::ConfirmInForce, Outcome::Stands(entry)) => {
                self.on_head(at, asked_at, Some(entry))
            }
            (Pending::ConfirmInForce, _) => self.next_head_read = at.steady,
            (Pending::ExpirePart, _) => {}
        }
    }

    /// What stands at the head, as of some moment after it was asked for.
    fn on_head(&mut self, at: Moment, asked_at: Micros, entry: Option<Entry>) {
        let stands = entry.as_ref().map_or(0, |entry| entry.version);
        let known = self.head.as_ref().map_or(0, |(_, version)| *version);
        if stands < known {
            return; // an answer that was overtaken
        }
        self.ledger_has_answered = true;
        if stands > known {
            let Some(head) = entry.as_ref().and_then(|entry| Head::read(&entry.value)) else {
                return self.unreadable("head");
            };
            // A set that is said to be in force after it was only changed is the same set.
            let before = self.head.take();
            let same = before
                .as_ref()
                .is_some_and(|(before, _)| before.current == head.current);
            if !same {
                (self.head_since, self.changed_here) = (at.steady, false);
            }
            if head.in_force && !(same && before.is_some_and(|(before, _)| before.in_force)) {
                self.events.push(Event::InForce {
                    version: head.current.version,
                });
            }
            self.head = Some((head, stands));
            self.offer
                .iter_mut()
                .for_each(|offer| offer.swapping = false);
        }
        if self.head.as_ref().map(|(head, _)| head.current) == self.held_from {
            self.lease_until = self.lease_until.max(asked_at + self.terms.acts_for());
            self.lease_once_adopted = None;
        } else {
            self.lease_once_adopted = Some(asked_at);
        }
        self.resolve_offer();
    }

    fn unreadable(&mut self, what: &'static str) {
        if self.reported_unreadable.replace(what) != Some(what) {
            self.events.push(Event::Unreadable { what });
        }
    }

    /// Fetches the set that the head names, where it is not the one held.
    fn fetch(&mut self, at: Moment) {
        let Some(now) = self.head.as_ref().map(|(head, _)| head.current) else {
            return;
        };
        if self.held_from == Some(now) || self.fetch.as_ref().is_some_and(|fetch| fetch.of == now) {
            return;
        }
        let keys: Vec<Key> = part_keys(now).collect();
        self.fetch = Some(Fetch {
            of: now,
            parts: vec![None; keys.len()],
        });
        for (number, key) in keys.into_iter().enumerate() {
            self.ask(at, Pending::Part { of: now, number }, key, Operation::Read);
        }
    }

    fn on_part(&mut self, at: Moment, of: StoredVersion, number: usize, bytes: Vec<u8>) {
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.of == of) else {
            return;
        };
        if let Some(part) = fetch.parts.get_mut(number) {
            *part = Some(bytes);
        }
        if fetch.parts.iter().all(Option::is_some) {
            let parts = fetch.parts.drain(..).flatten().collect();
            self.fetch = None;
            match joined(of, parts) {
                Some(text) => self.adopt(at, of, &text),
                None => {
                    self.retry_at = at.steady + RETRY_INTERVAL;
                    self.unreadable("text");
                }
            }
        }
    }

    /// Judges by a set from now on, if it is still the head's.
    fn adopt(&mut self, at: Moment, of: StoredVersion, text: &str) {
        let Some(head) = self
            .head
            .as_ref()
            .map(|(head, _)| head)
            .filter(|head| head.current == of)
        else {
            return;
        };
        let in_force = head.in_force;
        match read("the fleet's rules", text, &self.known, &|_| None) {
            Ok(RulesCommand::Replace(set)) => {
                self.held = Index::new(RuleSet {
                    version: of.version,
                    ..set
                });
                self.held_from = Some(of);
                self.reported_unreadable = None;
                let held = self
                    .lease_once_adopted
                    .take()
                    .map(|asked_at| asked_at + self.terms.acts_for());
                self.lease_until = held.unwrap_or(Micros::MIN);
                let rules = self.held.set.rules.len();
                self.events.push(Event::Adopted {
                    version: of.version,
                    rules,
                    in_force,
                });
                self.next_head_read = self.next_head_read.min(at.steady + RETRY_INTERVAL);
            }
            // What another front has checked and this one can't read: its settings differ.
            _ => {
                self.lease_until = Micros::MIN;
                self.retry_at = at.steady + 20 * RETRY_INTERVAL;
                self.unreadable("set by this front's settings");
            }
        }
    }
}
