//! One version of the set for the fleet: what this front knows of it, its lease on it, and its part in changing it.

mod adopt;
mod change;

use std::collections::HashMap;

use hallmux_lease::LeaseTerms;
use hallmux_ledger::{Key, LedgerRequest, Operation, Outcome};

use crate::event::Event;
use crate::head::{head_key, Head, StoredVersion};
use crate::index::Index;
use crate::known::KnownNames;
use crate::read::RulesCommand;
use crate::rule::RuleSet;
use crate::{Micros, Moment};

/// Microseconds; what left under a lease that has ended may still be under way.
const IN_FLIGHT: Micros = 200_000;
/// Microseconds until a request that the ledger failed is repeated.
const RETRY_INTERVAL: Micros = 250_000;
/// Microseconds until a set that this build or these settings can't read is fetched again.
const UNREADABLE_INTERVAL: Micros = 20 * RETRY_INTERVAL;
/// Microseconds that others wait for the front that changed the head to confirm it first.
const OTHERS_DELAY: Micros = 1_000_000;

/// A file that this front wants to be the fleet's.
struct Offer {
    file: String,
    command: RulesCommand,
    text: String,
    /// Parts that stand; the head follows once all do.
    parts_stored: usize,
    /// The head is being changed.
    swapping: bool,
    /// What the head is to name.
    wanted: Option<StoredVersion>,
}

/// What a request to the ledger is for.
enum Pending {
    /// To read the head.
    Head,
    /// To read a part of a version's text.
    Part { of: StoredVersion, number: usize },
    /// To store a part of an offer's text.
    PutPart,
    /// To change the head.
    Swap {
        to: StoredVersion,
        /// The version whose text is kept no longer.
        dropped: Option<StoredVersion>,
    },
    /// To store that the head is in force.
    ConfirmInForce,
    /// To let a part end that nothing names any more.
    ExpirePart,
}

/// A request that is out.
struct Request {
    pending: Pending,
    /// When it was made.
    at: Micros,
}

/// The head with its version in the ledger.
struct StoredHead {
    head: Head,
    version: u64,
}

/// The text of a version, as its parts come.
struct Fetch {
    of: StoredVersion,
    parts: Vec<Option<Vec<u8>>>,
}

/// One front's view of the fleet's version, and its lease on it.
pub struct Versions {
    known: KnownNames,
    terms: LeaseTerms,
    held: Index,
    /// What the set held was read from; None: the empty set that holds before there is any.
    held_from: Option<StoredVersion>,
    /// The head read last; None where there is none yet.
    head: Option<StoredHead>,
    /// The ledger has answered in this incarnation.
    ledger_has_answered: bool,
    /// When this head was first read.
    head_since: Micros,
    /// This front has made it the head.
    changed_here: bool,
    /// It may be judged by the set held before this.
    lease_until: Micros,
    /// When a head was asked for whose set is still being fetched.
    lease_once_adopted: Option<Micros>,
    /// Whether the rules could be judged by at the last tick.
    was_open: bool,
    /// The text that is being fetched.
    fetch: Option<Fetch>,
    offer: Option<Offer>,
    requests: HashMap<u64, Request>,
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
    pub fn new(known: KnownNames, terms: LeaseTerms, first_number: u64) -> Versions {
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
            requests: HashMap::new(),
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
        let head_read = if self.is_pending(|pending| matches!(pending, Pending::Head)) {
            Micros::MAX
        } else {
            self.next_head_read
        };
        let lease_end = if self.was_open {
            self.lease_until
        } else {
            Micros::MAX
        };
        let confirmation = if self.awaits_confirmation() {
            self.in_force_at().max(self.retry_at)
        } else {
            Micros::MAX
        };
        let retry = if self.retry_at > self.ticked {
            self.retry_at
        } else {
            Micros::MAX
        };
        head_read.min(lease_end).min(confirmation).min(retry)
    }

    fn awaits_confirmation(&self) -> bool {
        self.head
            .as_ref()
            .is_some_and(|stored| !stored.head.in_force)
            && !self.is_pending(|pending| matches!(pending, Pending::ConfirmInForce))
    }

    /// When every lease on an earlier version has surely ended.
    fn in_force_at(&self) -> Micros {
        let others = if self.changed_here { 0 } else { OTHERS_DELAY };
        self.head_since
            .saturating_add(self.terms.blocked_for() + IN_FLIGHT + others)
    }

    fn is_pending(&self, what: impl Fn(&Pending) -> bool) -> bool {
        let mut requests = self.requests.values();
        requests.any(|request| what(&request.pending))
    }

    fn ask(&mut self, at: Moment, pending: Pending, key: Key, operation: Operation) {
        let number = self.number();
        let request = Request {
            pending,
            at: at.steady,
        };
        self.requests.insert(number, request);
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
        if at.steady >= self.next_head_read
            && !self.is_pending(|pending| matches!(pending, Pending::Head))
        {
            self.next_head_read = at.steady + self.terms.owner_valid_for() / 3;
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
        let Some(request) = self.requests.remove(&number) else {
            return false;
        };
        if matches!(outcome, Outcome::Unreachable | Outcome::Full) {
            self.on_failure(at, request.pending, outcome);
        } else {
            self.on_answer(at, request, outcome);
        }
        self.tick(at);
        true
    }

    fn on_failure(&mut self, at: Moment, pending: Pending, outcome: Outcome) {
        self.retry_at = at.steady + RETRY_INTERVAL;
        match pending {
            Pending::Head => self.next_head_read = at.steady + RETRY_INTERVAL,
            // It may stand or not: the head will tell.
            Pending::Swap { .. } => {
                self.next_head_read = at.steady;
                self.stop_swapping();
            }
            Pending::Part { .. } => self.fetch = None,
            _ => {}
        }
        if outcome == Outcome::Full && !matches!(pending, Pending::ExpirePart) {
            self.offer = None;
            self.events.push(Event::LedgerFull {
                what: "a set of rules",
            });
        }
    }

    fn on_answer(&mut self, at: Moment, request: Request, outcome: Outcome) {
        let entry = match outcome {
            Outcome::Stands(entry) => Some(entry),
            _ => None,
        };
        match (request.pending, entry) {
            (Pending::Head, entry) => self.on_head(at, request.at, entry),
            (Pending::Part { of, number }, Some(entry)) => {
                self.on_part(at, of, number, entry.value)
            }
            // Not there (yet): the head is looked at again.
            (Pending::Part { .. }, None) => {
                self.fetch = None;
                self.retry_at = at.steady + RETRY_INTERVAL;
            }
            (Pending::PutPart, Some(_)) => {
                if let Some(offer) = &mut self.offer {
                    offer.parts_stored += 1;
                }
            }
            (Pending::PutPart, None) => self.stop_swapping(),
            (Pending::Swap { to, dropped }, Some(entry)) => {
                self.on_swapped(at, request.at, to, dropped, entry)
            }
            (Pending::Swap { .. }, None) => {
                self.next_head_read = at.steady;
                self.stop_swapping();
            }
            (Pending::ConfirmInForce, Some(entry)) => self.on_head(at, request.at, Some(entry)),
            (Pending::ConfirmInForce, None) => self.next_head_read = at.steady,
            (Pending::ExpirePart, _) => {}
        }
    }

    /// The head that was to be changed is to be read first.
    fn stop_swapping(&mut self) {
        if let Some(offer) = &mut self.offer {
            offer.swapping = false;
        }
    }

    fn unreadable(&mut self, what: &'static str) {
        if self.reported_unreadable.replace(what) != Some(what) {
            self.events.push(Event::Unreadable { what });
        }
    }
}
