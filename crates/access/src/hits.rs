//! Hits of rules by customer and region: one table for each incarnation of a front, whose counts only grow, in pages
//! that the ledger keeps. Tables merge by the greater count of each row, in any order, twice without harm.

mod fold;
mod pages;
mod storage;
mod sweep;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hallmux_ledger::{Key, LedgerRequest, Operation, Outcome, Owner};
use serde::{Deserialize, Serialize};

use crate::{FrontId, Micros, Moment};

use fold::{Fold, VersionedPart};
use storage::IncarnationList;
use sweep::Sweep;

/// Microseconds until what the ledger could not do is requested again.
const RETRY_INTERVAL: Micros = 250_000;
/// The customer, or the rule, of rows for which there is no room.
const OVERFLOW_NAME: &str = "*";

/// What is counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hit {
    /// The name of the rule that decided or counted the statement.
    pub rule: String,
    /// The statement's customer.
    pub customer: String,
    /// The region of the front that was asked.
    pub region: String,
}

/// How many statements each rule decided or counted, by customer and region.
pub type HitCounts = BTreeMap<Hit, u64>;

/// The fleet's count, as of a moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetHits {
    /// The counts of all fronts together.
    pub counts: HitCounts,
    /// On the steady clock of the front that was asked: hits acknowledged before it are in the counts.
    pub as_of: Option<Micros>,
    /// Fronts whose counts are missing, or older than that.
    pub missing: BTreeSet<FrontId>,
}

/// Takes in a table of an incarnation: of two counts of a row the greater is the later.
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
    /// Hits added so far.
    added: u64,
    /// How many of them the ledger has.
    stored: u64,
    /// Its version in the ledger; 0 where it is not there yet.
    version: u64,
    /// A put is under way.
    putting: bool,
}

/// A hit that a statement waits for, until the ledger has it.
#[derive(Clone, Copy)]
struct AwaitedHit {
    page: usize,
    /// Which hit of the page it is, counted from 1.
    number: u64,
}

/// What a request to the ledger is for.
enum Pending {
    /// To store a page, with this many hits.
    Put { page: usize, added: u64 },
    /// To read or change the list of this front's incarnations.
    OwnList,
    /// To read a list for the fleet's count.
    SweepList(FrontId),
    /// To read a page for the fleet's count.
    SweepPage(Owner),
    /// To read a part of the fleet's table for its count.
    SweepFoldedPart(usize),
    /// A step of folding an earlier incarnation.
    Fold(FoldStep),
}

/// A step of folding an earlier incarnation into the fleet's table.
#[derive(Clone, Copy)]
enum FoldStep {
    /// Its pages are closed.
    Closing,
    /// Its counts are added to a part.
    Adding,
    /// Its pages are emptied.
    Clearing,
    /// It is taken out of the list.
    Delisting,
}

/// One front's counts and its view of the fleet's.
pub struct Hits {
    owner: Owner,
    fronts: Vec<FrontId>,
    pages: Vec<Page>,
    /// The page of each row.
    rows: HashMap<Hit, usize>,
    /// Statements that wait, and for which hits.
    waiting: BTreeMap<u64, Vec<AwaitedHit>>,
    /// This many pages of this incarnation are in the list.
    listed_pages: usize,
    /// The list of this front's incarnations, as read last.
    list: Option<IncarnationList>,
    /// A request for the list is out.
    list_requested: bool,
    pending: HashMap<u64, Pending>,
    retry_at: Micros,
    last_tick: Micros,
    /// An earlier incarnation of this front that is folded into the fleet's table.
    fold: Option<Fold>,
    /// The list has changed since it was read.
    list_is_stale: bool,
    /// A later incarnation of this front counts: this one may no more.
    pub superseded: bool,
    sweep: Option<Sweep>,
    /// The fleet's table, by part.
    folded: BTreeMap<usize, VersionedPart>,
    /// What is known of incarnations that are not folded yet.
    unfolded: BTreeMap<Owner, HitCounts>,
    fleet: FleetHits,
    /// Requests to the ledger that have yet to be sent.
    pub ledger_requests: Vec<LedgerRequest>,
    /// Statements whose counts the ledger has confirmed since the caller took them last.
    pub counted: Vec<u64>,
    /// The fleet's count is there, as it was asked for.
    pub fleet_hits_ready: bool,
    /// The ledger has refused a page for lack of space.
    pub ledger_full: bool,
}

impl Hits {
    /// `fronts` are all whose counts make the fleet's.
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

    /// A statement waits for its count no longer.
    pub fn stop_waiting(&mut self, statement: u64) {
        self.waiting.remove(&statement);
    }

    /// The fleet's count as it was asked for last.
    pub fn fleet(&self) -> &FleetHits {
        &self.fleet
    }

    /// Asks for the fleet's count.
    pub fn request_fleet_hits(&mut self, at: Moment) {
        if self.sweep.is_none() {
            self.sweep = Some(Sweep::new(at.steady, &self.fronts));
            self.retry_at = self.retry_at.min(at.steady);
        }
    }

    /// When `tick` is next due, on the steady clock; `Micros::MAX` if nothing is.
    pub fn due(&self) -> Micros {
        if self.retry_at > self.last_tick {
            self.retry_at
        } else {
            Micros::MAX
        }
    }

    /// Queues the requests that are due. `number` gives each request a number of its own.
    pub fn tick(&mut self, at: Moment, number: &mut impl FnMut() -> u64) {
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

    fn ask(
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

    /// The ledger has answered. False if it was not asked here.
    pub fn on_ledger_answer(
        &mut self,
        at: Moment,
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
