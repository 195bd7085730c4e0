//! Hits of rules by customer and region: one table for each life of a front, whose counts only grow, in pages that
//! the ledger keeps. Tables merge by the greater count of each row, in any order, twice without harm.

mod fold;
mod sweep;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hallmux_ledger::{Key, Kind, LedgerRequest, Operation, Outcome, Owner};
use serde::{Deserialize, Serialize};

use crate::{FrontId, Micros, Moment};

use fold::{Fold, Folded};
use sweep::Sweep;

const PAGE: usize = 64; // rows of a page; some 3 KB
const MOST_PAGES: usize = 64; // of a life; rows beyond are counted under any customer
const RETRY_INTERVAL: Micros = 250_000; // microseconds until what the ledger could not do is asked again
const FORMAT: u8 = 1; // of a page and of the list of lives
const CLOSED: u8 = 2; // of a page that is written no more
const OTHERS: &str = "*"; // the customer, or the rule, of rows for which there is no room

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

/// Takes in a table of a life: of two counts of a row the greater is the later.
pub fn merge_counts(into: &mut HitCounts, from: &HitCounts) {
    for (hit, count) in from {
        let known = into.entry(hit.clone()).or_default();
        *known = (*known).max(*count);
    }
}

#[derive(Default)]
struct Page {
    counts: HitCounts,
    /// Hits added so far, and how many of them stand.
    added: u64,
    standing: u64,
    /// Its version in the ledger; 0 where it is not there yet.
    version: u64,
    /// A put is under way, for so many hits.
    putting: bool,
}

enum Pending {
    Put {
        page: usize,
        added: u64,
    },
    Lives,
    /// For the fleet's count.
    LivesOf(FrontId),
    PageOf(Owner),
    Folded(usize),
    /// Of the earlier life that is being folded.
    Closing,
    Adding,
    Blanking,
    Dropping,
}

/// A life of a front and how many pages it has.
type Lives = (u8, Vec<(u64, u32)>);

/// One front's counts and its view of the fleet's.
pub struct Hits {
    own: Owner,
    fronts: Vec<FrontId>,
    pages: Vec<Page>,
    rows: HashMap<Hit, usize>,
    /// Statements that wait, and for which page up to which hit.
    waiting: BTreeMap<u64, Vec<(usize, u64)>>,
    /// This life and so many of its pages are in the list of lives; and the list's version.
    listed: usize,
    lives: Option<(Vec<(u64, u32)>, u64)>,
    listing: bool,
    asked: HashMap<u64, Pending>,
    retry_at: Micros,
    ticked: Micros,
    /// An earlier life of this front that is taken into the fleet's table.
    fold: Option<Fold>,
    /// The list of lives has changed since it was read.
    list_is_stale: bool,
    /// A later life of this front counts: this one may no more.
    pub superseded: bool,
    sweep: Option<Sweep>,
    folded: BTreeMap<usize, (Folded, u64)>,
    known: BTreeMap<Owner, HitCounts>,
    fleet: FleetHits,
    /// Requests to the ledger that have yet to be sent.
    pub asks: Vec<LedgerRequest>,
    /// Statements whose counts the ledger has confirmed since the caller took them last.
    pub counted: Vec<u64>,
    /// The fleet's count is there, as it was asked for.
    pub swept: bool,
    /// The ledger has refused a page for lack of space.
    pub ledger_full: bool,
}

fn lives_key(front: FrontId) -> Key {
    Key {
        kind: Kind::Hits,
        name: format!("lives {front:016x}"),
    }
}

fn page_key(front: FrontId, life: u64, page: usize) -> Key {
    Key {
        kind: Kind::Hits,
        name: format!("hits {front:016x} {life} {page}"),
    }
}

fn bytes<T: Serialize>(what: &T) -> Vec<u8> {
    postcard::to_stdvec(what).unwrap_or_default()
}

fn whole<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    match postcard::take_from_bytes::<(u8, T)>(bytes) {
        Ok(((FORMAT, what), [])) => Some(what),
        _ => None,
    }
}

fn is_closed(bytes: &[u8]) -> bool {
    bytes.first() == Some(&CLOSED)
}

/// The counts of a page, whether it is closed or not.
fn counts(bytes: &[u8]) -> Option<HitCounts> {
    match postcard::take_from_bytes::<(u8, HitCounts)>(bytes) {
        Ok(((FORMAT | CLOSED, counts), [])) => Some(counts),
        _ => None,
    }
}

impl Hits {
    /// `fronts` are all whose counts make the fleet's.
    pub fn new(own: Owner, fronts: Vec<FrontId>) -> Hits {
        Hits {
            own,
            fronts,
            pages: Vec::new(),
            rows: HashMap::new(),
            waiting: BTreeMap::new(),
            listed: 0,
            lives: None,
            listing: false,
            asked: HashMap::new(),
            retry_at: Micros::MIN,
            ticked: Micros::MIN,
            fold: None,
            list_is_stale: false,
            superseded: false,
            sweep: None,
            folded: BTreeMap::new(),
            known: BTreeMap::new(),
            fleet: FleetHits::default(),
            asks: Vec::new(),
            counted: Vec::new(),
            swept: false,
            ledger_full: false,
        }
    }

    /// Counts a statement, once for each hit; it may go on once `counted` names it.
    pub fn count(&mut self, statement: u64, hits: Vec<Hit>) {
        let waits = hits.into_iter().map(|hit| {
            let row = self.row(hit);
            let page = self.rows.get(&row).copied().unwrap_or_default();
            let Some(kept) = self.pages.get_mut(page) else {
                return (page, 0);
            };
            *kept.counts.entry(row).or_default() += 1;
            kept.added += 1;
            (page, kept.added)
        });
        let waits = waits.collect();
        self.waiting.insert(statement, waits);
    }

    /// The row that a hit goes to, made where it is new.
    fn row(&mut self, hit: Hit) -> Hit {
        if self.rows.contains_key(&hit) {
            return hit;
        }
        let room = |rows: usize, spare: usize| rows + spare < PAGE * MOST_PAGES;
        let hit = match (room(self.rows.len(), 512), room(self.rows.len(), 1)) {
            (true, _) => hit,
            (false, true) => Hit {
                customer: OTHERS.to_string(),
                ..hit
            },
            (false, false) => Hit {
                rule: OTHERS.to_string(),
                customer: OTHERS.to_string(),
                region: OTHERS.to_string(),
            },
        };
        if !self.rows.contains_key(&hit) {
            let page = self.rows.len() / PAGE;
            if self.pages.len() <= page {
                self.pages.push(Page::default());
            }
            self.rows
                .insert(hit.clone(), page.min(self.pages.len().saturating_sub(1)));
        }
        hit
    }

    /// A statement waits for its count no longer.
    pub fn forget(&mut self, statement: u64) {
        self.waiting.remove(&statement);
    }

    /// The fleet's count as it was asked for last.
    pub fn fleet(&self) -> &FleetHits {
        &self.fleet
    }

    /// Asks for the fleet's count.
    pub fn sweep(&mut self, at: Moment) {
        if self.sweep.is_none() {
            self.sweep = Some(Sweep::new(at.steady, &self.fronts));
            self.retry_at = self.retry_at.min(at.steady);
        }
    }

    /// When `tick` is next due, on the steady clock; `Micros::MAX` if nothing is.
    pub fn due(&self) -> Micros {
        if self.retry_at > self.ticked {
            self.retry_at
        } else {
            Micros::MAX
        }
    }

    /// Queues the requests that are due. `number` gives each request a number of its own.
    pub fn tick(&mut self, at: Moment, number: &mut impl FnMut() -> u64) {
        self.ticked = at.steady;
        if at.steady < self.retry_at {
            return;
        }
        self.list_pages(number);
        if !self.superseded {
            (0..self.listed).for_each(|page| self.put_page(page, number));
            self.advance_fold(at.wall_ms, number);
        }
        self.advance_sweep(number);
    }

    fn ask(
        &mut self,
        number: &mut impl FnMut() -> u64,
        asked: Pending,
        key: Key,
        operation: Operation,
    ) {
        let number = number();
        self.asked.insert(number, asked);
        self.asks.push(LedgerRequest {
            number,
            key,
            operation,
        });
    }

    /// Names this life and its pages in the list of lives, before anything is counted there.
    fn list_pages(&mut self, number: &mut impl FnMut() -> u64) {
        let lists = self.list_is_stale || self.listed < self.pages.len();
        if self.superseded || !lists || self.listing {
            return;
        }
        self.listing = true;
        let Some((lives, version)) = self
            .lives
            .as_ref()
            .filter(|_| !std::mem::take(&mut self.list_is_stale))
        else {
            return self.ask(
                number,
                Pending::Lives,
                lives_key(self.own.front),
                Operation::Read,
            );
        };
        let mut lives: Vec<(u64, u32)> = lives.clone();
        lives.retain(|(life, _)| *life != self.own.incarnation);
        lives.push((self.own.incarnation, self.pages.len() as u32));
        let value = bytes::<Lives>(&(FORMAT, lives));
        let operation = Operation::Put {
            expects: Some(*version),
            ends_ms: 0,
            value,
        };
        self.ask(number, Pending::Lives, lives_key(self.own.front), operation);
    }

    fn put_page(&mut self, at: usize, number: &mut impl FnMut() -> u64) {
        let Some(page) = self
            .pages
            .get_mut(at)
            .filter(|p| !p.putting && p.standing < p.added)
        else {
            return;
        };
        page.putting = true;
        // Compare and swap: one that was held up on its way can't set the page back.
        let operation = Operation::Put {
            expects: Some(page.version),
            ends_ms: 0,
            value: bytes(&(FORMAT, &page.counts)),
        };
        let asked = Pending::Put {
            page: at,
            added: page.added,
        };
        self.ask(
            number,
            asked,
            page_key(self.own.front, self.own.incarnation, at),
            operation,
        );
    }

    /// The ledger has answered. False if it was not asked here.
    pub fn done(
        &mut self,
        at: Moment,
        asked: u64,
        outcome: Outcome,
        number: &mut impl FnMut() -> u64,
    ) -> bool {
        let Some(asked) = self.asked.remove(&asked) else {
            return false;
        };
        let failed = matches!(outcome, Outcome::Unreachable | Outcome::Full);
        self.ledger_full |= outcome == Outcome::Full;
        match asked {
            Pending::Put { page, added } => self.on_put_answer(page, added, outcome),
            Pending::Lives => self.on_list_answer(outcome),
            Pending::LivesOf(_) | Pending::PageOf(_) | Pending::Folded(_) => {
                self.on_sweep_answer(asked, outcome)
            }
            step => self.on_fold_answer(&step, outcome),
        }
        if failed {
            self.retry_at = at.steady + RETRY_INTERVAL;
        }
        self.tick(at, number);
        true
    }

    fn on_put_answer(&mut self, at: usize, added: u64, outcome: Outcome) {
        let Some(page) = self.pages.get_mut(at) else {
            return;
        };
        page.putting = false;
        match outcome {
            Outcome::Stands(entry) => {
                (page.standing, page.version) = (page.standing.max(added), entry.version)
            }
            // An earlier put of this life that was thought lost has stood.
            Outcome::Held(entry) => {
                // Only a later life of this front closes its pages.
                self.superseded |= is_closed(&entry.value);
                page.version = entry.version;
            }
            _ => {}
        }
        let pages = &self.pages;
        let stands =
            |(page, hit): &(usize, u64)| pages.get(*page).is_none_or(|p| p.standing >= *hit);
        let counted = self
            .waiting
            .iter()
            .filter(|(_, waits)| waits.iter().all(stands));
        let counted: Vec<u64> = counted.map(|(statement, _)| *statement).collect();
        counted
            .iter()
            .for_each(|statement| _ = self.waiting.remove(statement));
        self.counted.extend(counted);
    }

    fn on_list_answer(&mut self, outcome: Outcome) {
        self.listing = false;
        let entry = match outcome {
            Outcome::Stands(entry) | Outcome::Held(entry) => entry,
            Outcome::Absent => return self.lives = Some((Vec::new(), 0)),
            Outcome::Unreachable | Outcome::Full => return,
        };
        // An answer told again comes without what stands: it is read anew.
        let Some(lives) = whole::<Vec<(u64, u32)>>(&entry.value) else {
            // One of a format that this build does not know stays as it is.
            let known = if entry.value.is_empty() {
                0
            } else {
                20 * RETRY_INTERVAL
            };
            self.retry_at = self.retry_at.max(self.ticked + known);
            return self.lives = None;
        };
        self.superseded |= lives.iter().any(|(life, _)| *life > self.own.incarnation);
        if let Some((_, pages)) = lives.iter().find(|(life, _)| *life == self.own.incarnation) {
            self.listed = self.listed.max(*pages as usize).min(self.pages.len());
        }
        self.lives = Some((lives, entry.version));
    }
}
