//! Hits of rules by customer and region. Each incarnation of a front has a table of counts that
//! only grow, stored in the ledger in pages. Two copies of a table merge by taking the greater
//! count of each row, so copies may be merged in any order and repeatedly.

mod fold;
mod pages;
mod storage;
mod sweep;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hallmux_ledger::{Key, LedgerRequest, Operation, Outcome, Owner};
use serde::{Deserialize, Serialize};

use crate::{ClockReading, FrontId, Micros};

use fold::{Fold, VersionedPart};
use storage::IncarnationList;
use sweep::Sweep;

/// Microseconds until a request that failed at the ledger is repeated.
const RETRY_INTERVAL: Micros = 250_000;
/// Stands for the customer, rule or region of hits that no longer fit in a row of their own.
const OVERFLOW_NAME: &str = "*";

/// The key of a row of counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hit {
    /// The name of the rule that decided or counted the statement.
    pub rule: String,
    /// The statement's customer.
    pub customer: String,
    /// The region of the front that received the statement.
    pub region: String,
}

/// How many statements each rule decided or counted, by customer and region.
pub type HitCounts = BTreeMap<Hit, u64>;

/// The fleet's hit counts as of a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetHits {
    /// The counts of all fronts together.
    pub counts: HitCounts,
    /// The time on the steady clock of the requesting front: the counts include all hits confirmed
    /// before it. `None` if no count was completed.
    pub as_of: Option<Micros>,
    /// Fronts whose counts are missing or older than `as_of`.
    pub missing: BTreeSet<FrontId>,
}

/// Merges a copy of an incarnation's table into another: the greater count of a row is the later
/// one.
pub fn merge_counts(into: &mut HitCounts, from: &HitCounts) {
    for (hit, count) in from {
        let merged = into.entry(hit.clone()).or_default();
        *merged = (*merged).max(*count);
    }
}

/// A page of this incarnation's counts.
#[derive(Default)]
struct Page {
    counts: HitCounts,
    /// The number of hits added so far.
    added: u64,
    /// The number of added hits that the ledger has stored.
    stored: u64,
    /// The page's version in the ledger; 0 if it is not stored yet.
    version: u64,
    /// Whether a put of the page is pending.
    putting: bool,
}

/// A hit that a statement waits for until the ledger has stored it.
#[derive(Clone, Copy)]
struct AwaitedHit {
    page: usize,
    /// The number of the hit within the page, counted from 1.
    number: u64,
}

/// The purpose of a pending request to the ledger.
enum Pending {
    /// Stores a page that includes this many hits.
    Put { page: usize, added: u64 },
    /// Reads or changes the list of this front's incarnations.
    OwnList,
    /// Reads the list of a front's incarnations for the fleet's counts.
    SweepList(FrontId),
    /// Reads a page of an incarnation for the fleet's counts.
    SweepPage(Owner),
    /// Reads a part of the fleet's table for the fleet's counts.
    SweepFoldedPart(usize),
    /// Takes a step of folding an earlier incarnation.
    Fold(FoldStep),
}

/// A step of folding an earlier incarnation into the fleet's table.
#[derive(Clone, Copy)]
enum FoldStep {
    /// Closes its pages, so that it can no longer write them.
    Closing,
    /// Adds its counts to a part of the fleet's table.
    Adding,
    /// Empties its pages.
    Clearing,
    /// Removes it from the list of incarnations.
    Delisting,
}

/// One front's hit counts and its view of the fleet's.
pub struct Hits {
    owner: Owner,
    fronts: Vec<FrontId>,
    pages: Vec<Page>,
    /// The page of each row.
    rows: HashMap<Hit, usize>,
    /// The statements that wait for their hits to be stored, with those hits.
    waiting: BTreeMap<u64, Vec<AwaitedHit>>,
    /// The number of pages of this incarnation that the stored list includes.
    listed_pages: usize,
    /// The list of this front's incarnations, as last read.
    list: Option<IncarnationList>,
    /// Whether a request for the list is pending.
    list_requested: bool,
    pending: HashMap<u64, Pending>,
    retry_at: Micros,
    last_tick: Micros,
    /// The fold of an earlier incarnation of this front into the fleet's table.
    fold: Option<Fold>,
    /// Whether the list has changed since it was read.
    list_is_stale: bool,
    /// Whether a later incarnation of this front counts hits, so that this one must not any more.
    pub superseded: bool,
    sweep: Option<Sweep>,
    /// The fleet's table, by part.
    folded: BTreeMap<usize, VersionedPart>,
    /// The counts of incarnations that are not folded yet, as last read.
    unfolded: BTreeMap<Owner, HitCounts>,
    fleet: FleetHits,
    /// Requests to the ledger that have yet to be sent.
    pub ledger_requests: Vec<LedgerRequest>,
    /// Statements whose hits the ledger has confirmed since the caller last took them.
    pub counted: Vec<u64>,
    /// Whether requested fleet counts are complete and have yet to be taken.
    pub fleet_hits_ready: bool,
    /// Whether the ledger has rejected a write for lack of space.
    pub ledger_full: bool,
}

impl Hits {
    /// Creates the counts of one incarnation. `fronts` are all fronts whose hits make up the
    /// fleet's counts.
    pub fn new(owner: Owner, fronts: Vec<FrontId>) -> Hits {
        Hits {
            owner,
            fronts,
            pages: Vec::new(),
            rows: HashMap::new(),
            waiting: BTreeMap::new(),
            listed_pages: 0,
            list: None,
            list_requested: false,
            pending: HashMap::new(),
            retry_at: Micros::MIN,
            last_tick: Micros::MIN,
            fold: None,
            list_is_stale: false,
            superseded: false,
            sweep: None,
            folded: BTreeMap::new(),
            unfolded: BTreeMap::new(),
            fleet: FleetHits::default(),
            ledger_requests: Vec::new(),
            counted: Vec::new(),
            fleet_hits_ready: false,
            ledger_full: false,
        }
    }

    /// Removes a statement that no longer waits for its hits.
    pub fn stop_waiting(&mut self, statement: u64) {
        self.waiting.remove(&statement);
    }

    /// Returns the fleet's hit counts as of the last request.
    pub fn fleet(&self) -> &FleetHits {
        &self.fleet
    }

    /// Starts reading the fleet's hit counts unless that is in progress.
    pub fn request_fleet_hits(&mut self, at: ClockReading) {
        if self.sweep.is_none() {
            self.sweep = Some(Sweep::new(at.steady, &self.fronts));
            self.retry_at = self.retry_at.min(at.steady);
        }
    }

    /// Returns the time on the steady clock at which `tick` is next due; `Micros::MAX` if nothing
    /// is scheduled.
    pub fn due(&self) -> Micros {
        if self.retry_at > self.last_tick {
            self.retry_at
        } else {
            Micros::MAX
        }
    }

    /// Queues the requests that are due. `number` returns a new number for each request.
    pub fn tick(&mut self, at: ClockReading, number: &mut impl FnMut() -> u64) {
        self.last_tick = at.steady;
        if at.steady < self.retry_at {
            return;
        }
        self.list_pages(number);
        if !self.superseded {
            for page in 0..self.listed_pages {
                self.put_page(page, number);
            }
            self.advance_fold(at.wall_ms, number);
        }
        self.advance_sweep(number);
    }

    fn queue_request(
        &mut self,
        number: &mut impl FnMut() -> u64,
        pending: Pending,
        key: Key,
        operation: Operation,
    ) {
        let number = number();
        self.pending.insert(number, pending);
        self.ledger_requests.push(LedgerRequest {
            number,
            key,
            operation,
        });
    }

    /// Handles an answer of the ledger. Returns false if the request was not made here.
    pub fn on_ledger_answer(
        &mut self,
        at: ClockReading,
        request_number: u64,
        outcome: Outcome,
        number: &mut impl FnMut() -> u64,
    ) -> bool {
        let Some(pending) = self.pending.remove(&request_number) else {
            return false;
        };
        let failed = matches!(outcome, Outcome::Unreachable | Outcome::Full);
        self.ledger_full |= outcome == Outcome::Full;
        match pending {
            Pending::Put { page, added } => self.on_put_answer(page, added, outcome),
            Pending::OwnList => self.on_list_answer(outcome),
            Pending::SweepList(front) => self.on_swept_list(front, outcome),
            Pending::SweepPage(owner) => self.on_swept_page(owner, outcome),
            Pending::SweepFoldedPart(part) => self.on_swept_part(part, outcome),
            Pending::Fold(step) => self.on_fold_answer(step, outcome),
        }
        if failed {
            self.retry_at = at.steady + RETRY_INTERVAL;
        }
        self.tick(at, number);
        true
    }
}
