//! The fleet's version of the rules as one front knows it: the rule set held, the lease on it, and
//! changes that this front proposes.

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
use crate::{ClockReading, Micros};

/// Microseconds for which an execution sent under a lease that has since ended may still be in
/// flight.
const IN_FLIGHT_TIME: Micros = 200_000;
/// Microseconds until a request that failed at the ledger is repeated.
const RETRY_INTERVAL: Micros = 250_000;
/// Microseconds until a rule set that this build or its settings cannot read is fetched again.
const UNREADABLE_INTERVAL: Micros = 20 * RETRY_INTERVAL;
/// Microseconds for which other fronts wait, so that the front that changed the head confirms it
/// first.
const PEER_CONFIRMATION_DELAY: Micros = 1_000_000;

/// A file that this front proposes as the fleet's version.
struct Proposal {
    file: String,
    command: RulesCommand,
    text: String,
    /// The number of parts stored; the head is changed once all are.
    parts_stored: usize,
    /// Whether a change of the head is pending.
    swapping: bool,
    /// The version that the changed head names.
    target: Option<StoredVersion>,
}

/// The purpose of a pending request to the ledger.
enum Pending {
    /// Reads the head.
    Head,
    /// Reads a part of a version's text.
    Part { target: StoredVersion, index: usize },
    /// Stores a part of a proposal's text.
    PutPart,
    /// Changes the head.
    Swap {
        to: StoredVersion,
        /// The version whose text is no longer kept.
        dropped: Option<StoredVersion>,
    },
    /// Stores in the head that its version is in force.
    ConfirmInForce,
    /// Lets a part expire that no version needs any more.
    ExpirePart,
}

/// A request to the ledger that has not been answered.
struct Request {
    pending: Pending,
    /// The time of the request, from which a lease is counted.
    requested_at: Micros,
}

/// The head with its version in the ledger.
struct StoredHead {
    head: Head,
    version: u64,
}

/// The text of a version whose parts are being read.
struct Fetch {
    target: StoredVersion,
    parts: Vec<Option<Vec<u8>>>,
}

/// One front's view of the fleet's version, and its lease on it.
pub struct Versions {
    known: KnownNames,
    terms: LeaseTerms,
    held: Index,
    /// The stored version of the rule set held; `None` for the empty set of a fleet that has none.
    held_from: Option<StoredVersion>,
    /// The latest head read; `None` if there is none yet.
    head: Option<StoredHead>,
    /// Whether the ledger has answered in this incarnation.
    ledger_has_answered: bool,
    /// When this head was first read.
    head_since: Micros,
    /// Whether this front stored this head.
    changed_here: bool,
    /// The end of the lease: before this time the rule set held may be applied.
    lease_until: Micros,
    /// When the head was requested whose rule set is still being fetched; a lease starts at this
    /// time once the set is adopted.
    lease_once_adopted: Option<Micros>,
    /// Whether the lease was valid at the last tick.
    had_lease: bool,
    /// The text being fetched.
    fetch: Option<Fetch>,
    proposal: Option<Proposal>,
    requests: HashMap<u64, Request>,
    last_request_number: u64,
    next_head_read: Micros,
    retry_at: Micros,
    last_tick: Micros,
    reported_unreadable: Option<&'static str>,
    /// Requests to the ledger that have yet to be sent.
    pub ledger_requests: Vec<LedgerRequest>,
    /// Events for the log since the caller last took them.
    pub events: Vec<Event>,
}

impl Versions {
    /// Creates a front that has read nothing yet. Requests are numbered from above `first_number`.
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
            had_lease: false,
            fetch: None,
            proposal: None,
            requests: HashMap::new(),
            last_request_number: first_number,
            next_head_read: Micros::MIN,
            retry_at: Micros::MIN,
            last_tick: Micros::MIN,
            reported_unreadable: None,
            ledger_requests: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the names that rules may use.
    pub fn known(&self) -> &KnownNames {
        &self.known
    }

    /// Returns the rule set held while the lease on it is valid, otherwise `None`.
    pub fn index_under_lease(&self, steady: Micros) -> Option<&Index> {
        (steady < self.lease_until).then_some(&self.held)
    }

    /// Returns the rule set held, whether the lease on it is valid or not.
    pub fn held(&self) -> &Index {
        &self.held
    }

    /// Returns a new number for a request to the ledger.
    pub fn next_request_number(&mut self) -> u64 {
        self.last_request_number += 1;
        self.last_request_number
    }

    /// Returns the time on the steady clock at which `tick` is next due.
    pub fn due(&self) -> Micros {
        let head_read = if self.is_pending(|pending| matches!(pending, Pending::Head)) {
            Micros::MAX
        } else {
            self.next_head_read
        };
        let lease_end = if self.had_lease {
            self.lease_until
        } else {
            Micros::MAX
        };
        let confirmation = if self.awaits_confirmation() {
            self.in_force_at().max(self.retry_at)
        } else {
            Micros::MAX
        };
        let retry = if self.retry_at > self.last_tick {
            self.retry_at
        } else {
            Micros::MAX
        };
        head_read.min(lease_end).min(confirmation).min(retry)
    }

    /// Returns whether the head has yet to be confirmed as in force, by no pending request.
    fn awaits_confirmation(&self) -> bool {
        self.head
            .as_ref()
            .is_some_and(|stored| !stored.head.in_force)
            && !self.is_pending(|pending| matches!(pending, Pending::ConfirmInForce))
    }

    /// Returns the time at which every lease on an earlier version has certainly ended.
    fn in_force_at(&self) -> Micros {
        let delay = if self.changed_here {
            0
        } else {
            PEER_CONFIRMATION_DELAY
        };
        self.head_since
            .saturating_add(self.terms.blocked_for() + IN_FLIGHT_TIME + delay)
    }

    fn is_pending(&self, what: impl Fn(&Pending) -> bool) -> bool {
        let mut requests = self.requests.values();
        requests.any(|request| what(&request.pending))
    }

    fn queue_request(
        &mut self,
        at: ClockReading,
        pending: Pending,
        key: Key,
        operation: Operation,
    ) {
        let number = self.next_request_number();
        let request = Request {
            pending,
            requested_at: at.steady,
        };
        self.requests.insert(number, request);
        self.ledger_requests.push(LedgerRequest {
            number,
            key,
            operation,
        });
    }

    /// Queues the requests that are due, and reports when the lease starts or ends.
    pub fn tick(&mut self, at: ClockReading) {
        self.last_tick = at.steady;
        let has_lease = at.steady < self.lease_until;
        if has_lease != self.had_lease {
            self.had_lease = has_lease;
            let version = self.held.set.version;
            self.events.push(if has_lease {
                Event::RulesKnown { version }
            } else {
                Event::RulesUnknown
            });
        }
        if at.steady >= self.next_head_read
            && !self.is_pending(|pending| matches!(pending, Pending::Head))
        {
            self.next_head_read = at.steady + self.terms.owner_valid_for() / 3;
            self.queue_request(at, Pending::Head, head_key(), Operation::Read);
        }
        if at.steady < self.retry_at {
            return;
        }
        self.fetch(at);
        self.advance_proposal(at);
        if self.awaits_confirmation() && at.steady >= self.in_force_at() {
            self.confirm_in_force(at);
        }
    }

    /// Handles an answer of the ledger. Returns false if the request was not made here.
    pub fn on_ledger_answer(&mut self, at: ClockReading, number: u64, outcome: Outcome) -> bool {
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

    fn on_failure(&mut self, at: ClockReading, pending: Pending, outcome: Outcome) {
        self.retry_at = at.steady + RETRY_INTERVAL;
        match pending {
            Pending::Head => self.next_head_read = at.steady + RETRY_INTERVAL,
            // The change may have been stored or not; reading the head shows which.
            Pending::Swap { .. } => {
                self.next_head_read = at.steady;
                self.stop_swapping();
            }
            Pending::Part { .. } => self.fetch = None,
            _ => {}
        }
        if outcome == Outcome::Full && !matches!(pending, Pending::ExpirePart) {
            self.proposal = None;
            self.events.push(Event::LedgerFull {
                what: "a set of rules",
            });
        }
    }

    fn on_answer(&mut self, at: ClockReading, request: Request, outcome: Outcome) {
        let entry = match outcome {
            Outcome::Stands(entry) => Some(entry),
            _ => None,
        };
        match (request.pending, entry) {
            (Pending::Head, entry) => self.on_head(at, request.requested_at, entry),
            (Pending::Part { target, index }, Some(entry)) => {
                self.on_part(at, target, index, entry.value)
            }
            // The part is not in the ledger, or not yet: the text is fetched again later.
            (Pending::Part { .. }, None) => {
                self.fetch = None;
                self.retry_at = at.steady + RETRY_INTERVAL;
            }
            (Pending::PutPart, Some(_)) => {
                if let Some(proposal) = &mut self.proposal {
                    proposal.parts_stored += 1;
                }
            }
            (Pending::PutPart, None) => self.stop_swapping(),
            (Pending::Swap { to, dropped }, Some(entry)) => {
                self.on_swapped(at, request.requested_at, to, dropped, entry)
            }
            (Pending::Swap { .. }, None) => {
                self.next_head_read = at.steady;
                self.stop_swapping();
            }
            (Pending::ConfirmInForce, Some(entry)) => {
                self.on_head(at, request.requested_at, Some(entry))
            }
            (Pending::ConfirmInForce, None) => self.next_head_read = at.steady,
            (Pending::ExpirePart, _) => {}
        }
    }

    /// Ends the pending change of the head, so that the head is read before another attempt.
    fn stop_swapping(&mut self) {
        if let Some(proposal) = &mut self.proposal {
            proposal.swapping = false;
        }
    }

    /// Reports an unreadable entry once, until a rule set is adopted or another entry is unreadable.
    fn report_unreadable(&mut self, what: &'static str) {
        if self.reported_unreadable.replace(what) != Some(what) {
            self.events.push(Event::Unreadable { what });
        }
    }
}
