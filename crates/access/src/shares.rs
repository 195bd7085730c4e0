//! Limits of rules over the whole fleet: at most N statements begin in any window of T. Each front holds a share of
//! each limit that it has traffic for, in escrow: what it holds no other can spend. Shares are kept in the ledger, move
//! to where the traffic is before they run out, and are taken back from a front that is lost once it can surely
//! spend them no more.

mod demand;
mod share;
mod table;

use std::collections::{BTreeMap, HashMap};

use hallmux_ledger::{LedgerRequest, Outcome, Owner};

use crate::event::Event;
use crate::{Micros, Moment};

use share::{Share, ShareContext};
pub use table::Limit;

/// A statement that limits apply to.
struct LimitedStatement {
    limits: Vec<Limit>,
    /// Limits of which it has no share yet.
    lacks: usize,
    /// An execution of it has left.
    began: bool,
}

/// A request to the ledger that is out.
struct Request {
    limit: Limit,
    /// When it was made.
    at: Micros,
}

/// One front's shares of all limits that it has traffic for.
pub struct Shares {
    context: ShareContext,
    shares: BTreeMap<Limit, Share>,
    statements: BTreeMap<u64, LimitedStatement>,
    requests: HashMap<u64, Request>,
    /// Requests to the ledger that have yet to be sent.
    pub asks: Vec<LedgerRequest>,
    /// Statements that have waited for their shares and have them now, or have none.
    pub ready: Vec<u64>,
    /// Statements that were refused for want of a share since the caller took them last.
    pub refused: Vec<u64>,
    /// Statements refused by each rule's limit, so far.
    pub limited: BTreeMap<String, u64>,
}

impl Shares {
    /// A share is spent under a lease by `terms`; `fronts` is how many share.
    pub fn new(own: Owner, terms: hallmux_lease::LeaseTerms, fronts: usize) -> Shares {
        Shares {
            context: ShareContext { own, terms, fronts },
            shares: BTreeMap::new(),
            statements: BTreeMap::new(),
            requests: HashMap::new(),
            asks: Vec::new(),
            ready: Vec::new(),
            refused: Vec::new(),
            limited: BTreeMap::new(),
        }
    }

    /// Whether a statement may go on at once; else it waits, and is among `ready` or `refused` later.
    pub fn take(&mut self, now: Micros, statement: u64, limits: Vec<Limit>) -> bool {
        let context = self.context;
        let mut lacks = 0;
        for limit in &limits {
            let share = self
                .shares
                .entry(limit.clone())
                .or_insert_with(|| Share::new(limit.clone(), context));
            if !share.take(now, statement) {
                lacks += 1;
            }
        }
        self.statements.insert(
            statement,
            LimitedStatement {
                limits,
                lacks,
                began: false,
            },
        );
        self.collect();
        lacks == 0
    }

    /// Whether a statement's execution may leave now; the first is its beginning.
    pub fn begins(&mut self, now: Micros, statement: u64) -> bool {
        let Some(limited) = self.statements.get_mut(&statement) else {
            return true;
        };
        if limited.began {
            return true;
        }
        if limited.lacks > 0 {
            return false;
        }
        let mut may = true;
        // Every share has to learn of it, also where an earlier one has refused.
        for limit in &limited.limits {
            let share = self.shares.get_mut(limit);
            may &= share.is_some_and(|share| share.begins(now, statement));
        }
        limited.began = may;
        if !may {
            limited.lacks = 1;
        }
        may
    }

    /// A statement may not begin for want of a share.
    pub fn lacks(&self, statement: u64) -> bool {
        self.statements
            .get(&statement)
            .is_some_and(|limited| limited.lacks > 0)
    }

    /// A statement has ended or is abandoned: it waits for no share any more. What it spent stays spent for
    /// the limit's window.
    pub fn over(&mut self, statement: u64) {
        let Some(limited) = self.statements.remove(&statement) else {
            return;
        };
        for limit in &limited.limits {
            if let Some(share) = self.shares.get_mut(limit) {
                share.over(statement);
            }
        }
    }

    /// When `tick` is next due, on the steady clock; `Micros::MAX` if nothing is.
    pub fn due(&self, now: Micros) -> Micros {
        self.shares
            .values()
            .map(|share| share.due(now))
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Queues the requests that are due and serves the statements that wait. `number` gives each request a
    /// number of its own.
    pub fn tick(&mut self, at: Moment, number: &mut impl FnMut() -> u64) {
        for (limit, share) in &mut self.shares {
            let Some(operation) = share.tick(at.steady) else {
                continue;
            };
            let number = number();
            let request = Request {
                limit: limit.clone(),
                at: at.steady,
            };
            self.requests.insert(number, request);
            self.asks.push(LedgerRequest {
                number,
                key: limit.key(),
                operation,
            });
        }
        self.collect();
        self.shares.retain(|_, share| !share.is_idle());
    }

    /// The ledger has answered. False if it was not asked here.
    pub fn done(
        &mut self,
        at: Moment,
        asked: u64,
        outcome: Outcome,
        number: &mut impl FnMut() -> u64,
    ) -> bool {
        let Some(request) = self.requests.remove(&asked) else {
            return false;
        };
        if let Some(share) = self.shares.get_mut(&request.limit) {
            share.on_answer(at.steady, request.at, outcome);
        }
        self.tick(at, number);
        true
    }

    /// What keeps shares from being spent, if anything that an operator should know of.
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

    /// Takes from each share the statements that have it now, and those that get none.
    fn collect(&mut self) {
        let mut refused = Vec::new();
        for share in self.shares.values_mut() {
            for statement in share.ready.drain(..) {
                let Some(limited) = self.statements.get_mut(&statement) else {
                    continue;
                };
                limited.lacks = limited.lacks.saturating_sub(1);
                if limited.lacks == 0 {
                    self.ready.push(statement);
                }
            }
            for statement in share.refused.drain(..) {
                *self.limited.entry(share.limit.rule.clone()).or_default() += 1;
                refused.push(statement);
            }
        }
        for statement in refused {
            if self.statements.contains_key(&statement) {
                self.over(statement);
                self.refused.push(statement);
            }
        }
    }
}
