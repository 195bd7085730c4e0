//! Limits of rules over the whole fleet: at most N statements begin in any window of T. Each front
//! with traffic for a limit holds a share of its tokens in escrow; no other front can spend them.
//! Shares are stored in the ledger. They move to the fronts with traffic before those run out, and
//! are revoked from a lost front once it certainly can no longer spend them.

mod demand;
mod share;
mod table;

use std::collections::{BTreeMap, HashMap};

use hallmux_ledger::{LedgerRequest, Outcome, Owner};

use crate::event::Event;
use crate::{ClockReading, Micros};

use share::{Share, ShareContext};
pub use table::Limit;

/// A statement that limits apply to.
struct LimitedStatement {
    limits: Vec<Limit>,
    /// The number of limits for which the statement has no token yet.
    missing_shares: usize,
    /// Whether an execution of the statement has been sent.
    has_begun: bool,
}

/// A pending request to the ledger.
struct Request {
    limit: Limit,
    /// The time of the request, from which a lease is counted.
    requested_at: Micros,
}

/// One front's shares of all limits that it has traffic for.
pub struct Shares {
    context: ShareContext,
    shares: BTreeMap<Limit, Share>,
    statements: BTreeMap<u64, LimitedStatement>,
    requests: HashMap<u64, Request>,
    /// Requests to the ledger that have yet to be sent.
    pub ledger_requests: Vec<LedgerRequest>,
    /// Statements that waited and now have a token of each of their limits.
    pub ready: Vec<u64>,
    /// Statements rejected for lack of a token since the caller last took them.
    pub rejected: Vec<u64>,
    /// The number of statements rejected by the limit of each rule.
    pub rejections_by_rule: BTreeMap<String, u64>,
}

impl Shares {
    /// Creates the shares of one front. Each share is spent under a lease by `terms`; `fronts` is
    /// the number of fronts that share the limits.
    pub fn new(own: Owner, terms: hallmux_lease::LeaseTerms, fronts: usize) -> Shares {
        Shares {
            context: ShareContext {
                owner: own,
                terms,
                front_count: fronts,
            },
            shares: BTreeMap::new(),
            statements: BTreeMap::new(),
            requests: HashMap::new(),
            ledger_requests: Vec::new(),
            ready: Vec::new(),
            rejected: Vec::new(),
            rejections_by_rule: BTreeMap::new(),
        }
    }

    /// Reserves a token of each limit. Returns whether the statement may proceed at once; otherwise
    /// it waits, and is in `ready` or `rejected` later.
    pub fn acquire(&mut self, now: Micros, statement: u64, limits: Vec<Limit>) -> bool {
        let context = self.context;
        let mut missing_shares = 0;
        for limit in &limits {
            let share = self
                .shares
                .entry(limit.clone())
                .or_insert_with(|| Share::new(limit.clone(), context));
            if !share.acquire(now, statement) {
                missing_shares += 1;
            }
        }
        self.statements.insert(
            statement,
            LimitedStatement {
                limits,
                missing_shares,
                has_begun: false,
            },
        );
        self.collect_outcomes();
        missing_shares == 0
    }

    /// Returns whether an execution of a statement may be sent now. The first execution spends the
    /// statement's tokens.
    pub fn begin(&mut self, now: Micros, statement: u64) -> bool {
        let Some(limited) = self.statements.get_mut(&statement) else {
            return true;
        };
        if limited.has_begun {
            return true;
        }
        if limited.missing_shares > 0 {
            return false;
        }
        let mut is_allowed = true;
        // Every share has to be notified, even if an earlier one did not allow the statement.
        for limit in &limited.limits {
            let share = self.shares.get_mut(limit);
            is_allowed &= share.is_some_and(|share| share.begin(now, statement));
        }
        limited.has_begun = is_allowed;
        if !is_allowed {
            limited.missing_shares = 1;
        }
        is_allowed
    }

    /// Returns whether a statement cannot begin for lack of a token.
    pub fn awaits_share(&self, statement: u64) -> bool {
        self.statements
            .get(&statement)
            .is_some_and(|limited| limited.missing_shares > 0)
    }

    /// Removes a statement that has ended or is abandoned, and ends its waiting. A spent token
    /// stays spent for the limit's window.
    pub fn release(&mut self, statement: u64) {
        let Some(limited) = self.statements.remove(&statement) else {
            return;
        };
        for limit in &limited.limits {
            if let Some(share) = self.shares.get_mut(limit) {
                share.release(statement);
            }
        }
    }

    /// Returns the time on the steady clock at which `tick` is next due; `Micros::MAX` if nothing
    /// is scheduled.
    pub fn due(&self, now: Micros) -> Micros {
        self.shares
            .values()
            .map(|share| share.due(now))
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Queues the requests that are due and serves waiting statements. `number` returns a new
    /// number for each request.
    pub fn tick(&mut self, at: ClockReading, number: &mut impl FnMut() -> u64) {
        for (limit, share) in &mut self.shares {
            let Some(operation) = share.tick(at.steady) else {
                continue;
            };
            let number = number();
            let request = Request {
                limit: limit.clone(),
                requested_at: at.steady,
            };
            self.requests.insert(number, request);
            self.ledger_requests.push(LedgerRequest {
                number,
                key: limit.key(),
                operation,
            });
        }
        self.collect_outcomes();
        self.shares.retain(|_, share| !share.is_idle());
    }

    /// Handles an answer of the ledger. Returns false if the request was not made here.
    pub fn on_ledger_answer(
        &mut self,
        at: ClockReading,
        request_number: u64,
        outcome: Outcome,
        number: &mut impl FnMut() -> u64,
    ) -> bool {
        let Some(request) = self.requests.remove(&request_number) else {
            return false;
        };
        if let Some(share) = self.shares.get_mut(&request.limit) {
            share.on_answer(at.steady, request.requested_at, outcome);
        }
        self.tick(at, number);
        true
    }

    /// Returns the fault that prevents tokens from being spent, if an operator should know of it.
    pub fn fault(&self) -> Option<Event> {
        let unreadable = self.shares.values().any(|share| share.unreadable);
        let full = self.shares.values().any(|share| share.full);
        let what = "shares of a limit";
        if unreadable {
            Some(Event::Unreadable { what })
        } else if full {
            Some(Event::LedgerFull { what })
        } else {
            None
        }
    }

    /// Collects from each share the statements that were granted a token and those that were
    /// rejected.
    fn collect_outcomes(&mut self) {
        let mut rejected = Vec::new();
        for share in self.shares.values_mut() {
            for statement in share.ready.drain(..) {
                let Some(limited) = self.statements.get_mut(&statement) else {
                    continue;
                };
                limited.missing_shares = limited.missing_shares.saturating_sub(1);
                if limited.missing_shares == 0 {
                    self.ready.push(statement);
                }
            }
            for statement in share.rejected.drain(..) {
                *self
                    .rejections_by_rule
                    .entry(share.limit.rule.clone())
                    .or_default() += 1;
                rejected.push(statement);
            }
        }
        for statement in rejected {
            if self.statements.contains_key(&statement) {
                self.release(statement);
                self.rejected.push(statement);
            }
        }
    }
}
