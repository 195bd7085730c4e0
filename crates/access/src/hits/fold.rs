//! Incarnations of a front that can write no more are folded into one table of the fleet, each row exactly once.
//!
//! A later incarnation of the same front does it: it is in the list of incarnations, so an earlier one that goes on all
//! the same can neither list nor count any more. It closes the pages of the earliest incarnation (a put of that one that
//! is still on its way finds another version), adds its rows to each part of the fleet's table that they belong to, and
//! then takes it out of the list. A part names, for each front, the last incarnation that is in it: what was added is
//! never added again, whoever goes on from whatever step.

use std::collections::BTreeMap;

use hallmux_hash::fnv1a;
use hallmux_ledger::{Entry, Key, Operation, Outcome, Owner};
use serde::{Deserialize, Serialize};

use super::storage::{
    decode, decode_counts, encode, encode_closed, folded_key, is_closed, list_key, page_key,
    IncarnationList, ListedIncarnation,
};
use super::{FoldStep, Hit, HitCounts, Hits, Pending, OVERFLOW_NAME};
use crate::FrontId;

/// Parts of the fleet's table.
pub(super) const FOLDED_PART_COUNT: usize = 16;
/// Rows of a part; rows beyond are counted under any customer.
const MAX_PART_ROWS: usize = 256;
/// Milliseconds for which the page of a folded incarnation stays closed, without its counts.
const CLOSED_PAGE_MS: u64 = 7 * 86_400_000;

/// A part of the fleet's table. Fields are positional in the stored part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FoldedCounts {
    pub counts: HitCounts,
    /// Of each front the last incarnation that is in it.
    incarnations: BTreeMap<FrontId, u64>,
}

impl FoldedCounts {
    /// Whether the counts of an incarnation are in it. Incarnations are folded in their order.
    pub fn contains(&self, owner: Owner) -> bool {
        self.incarnations
            .get(&owner.front)
            .is_some_and(|last| *last >= owner.incarnation)
    }

    fn add(&mut self, owner: Owner, rows: &HitCounts) {
        if self.contains(owner) {
            return;
        }
        self.incarnations.insert(owner.front, owner.incarnation);
        for (hit, count) in rows {
            let fits = self.counts.contains_key(hit) || self.counts.len() < MAX_PART_ROWS;
            let hit = if fits {
                hit.clone()
            } else {
                Hit {
                    customer: OVERFLOW_NAME.to_string(),
                    region: OVERFLOW_NAME.to_string(),
                    ..hit.clone()
                }
            };
            *self.counts.entry(hit).or_default() += count;
        }
    }
}

/// A part of the fleet's table with its version in the ledger; 0 where it is not there yet.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionedPart {
    pub folded: FoldedCounts,
    pub version: u64,
}

impl VersionedPart {
    /// None where the entry is of a format that this build does not know.
    pub fn read(entry: &Entry) -> Option<VersionedPart> {
        Some(VersionedPart {
            folded: decode(&entry.value)?,
            version: entry.version,
        })
    }
}

/// The part that a row belongs to; the same in every build.
pub(super) fn part_index(hit: &Hit) -> usize {
    let texts = [&hit.rule, &hit.customer, &hit.region];
    let hash = fnv1a(texts.into_iter().flat_map(|text| text.bytes().chain([0])));
    ((hash ^ (hash >> 32)) % FOLDED_PART_COUNT as u64) as usize
}

/// A page as it was read, to be closed on its version.
struct OpenPage {
    counts: HitCounts,
    version: u64,
}

/// An earlier incarnation on its way into the fleet's table.
pub(super) struct Fold {
    owner: Owner,
    /// The page that is to be closed next, once it was read.
    open_page: Option<OpenPage>,
    /// Its pages as they were closed.
    closed_pages: Vec<HitCounts>,
    /// How many pages it has.
    page_count: usize,
    /// What has yet to be added, by part; None until all pages are closed.
    remaining: Option<BTreeMap<usize, HitCounts>>,
    /// The part that is to be added to next, once it was read.
    open_part: Option<VersionedPart>,
    /// Pages that were emptied.
    cleared: usize,
    request_pending: bool,
    /// Of a format that this build does not know: it stays as it is.
    is_unreadable: bool,
}

/// A request to the ledger that brings a fold one step on.
struct Request {
    step: FoldStep,
    key: Key,
    operation: Operation,
}

impl Fold {
    fn new(front: FrontId, listed: ListedIncarnation) -> Fold {
        Fold {
            owner: Owner {
                front,
                incarnation: listed.incarnation,
            },
            open_page: None,
            closed_pages: Vec::new(),
            page_count: listed.pages as usize,
            remaining: None,
            open_part: None,
            cleared: 0,
            request_pending: false,
            is_unreadable: false,
        }
    }

    /// The next request; None once nothing is left but to take it out of the list.
    fn next_request(&self, wall_ms: u64) -> Option<Request> {
        if self.closed_pages.len() < self.page_count {
            return Some(self.close_page());
        }
        let remaining = self.remaining.as_ref();
        if let Some((part, rows)) = remaining.and_then(|remaining| remaining.first_key_value()) {
            return Some(self.add_to_part(*part, rows));
        }
        (self.cleared < self.page_count).then(|| Request {
            step: FoldStep::Clearing,
            key: self.page_key(self.cleared),
            operation: Operation::Put {
                expects: None,
                ends_ms: wall_ms.saturating_add(CLOSED_PAGE_MS),
                value: encode_closed(&HitCounts::new()),
            },
        })
    }

    fn close_page(&self) -> Request {
        let operation = match &self.open_page {
            None => Operation::Read,
            Some(page) => put(page.version, encode_closed(&page.counts)),
        };
        Request {
            step: FoldStep::Closing,
            key: self.page_key(self.closed_pages.len()),
            operation,
        }
    }

    fn add_to_part(&self, part: usize, rows: &HitCounts) -> Request {
        let operation = match &self.open_part {
            None => Operation::Read,
            Some(VersionedPart { folded, version }) => {
                let mut folded = folded.clone();
                folded.add(self.owner, rows);
                put(*version, encode(&folded))
            }
        };
        Request {
            step: FoldStep::Adding,
            key: folded_key(part),
            operation,
        }
    }

    /// Takes the incarnation out of the list.
    fn delist(&self, list: IncarnationList) -> Request {
        let mut entries = list.entries;
        entries.retain(|entry| entry.incarnation != self.owner.incarnation);
        Request {
            step: FoldStep::Delisting,
            key: list_key(self.owner.front),
            operation: put(list.version, encode(&entries)),
        }
    }

    fn page_key(&self, page: usize) -> Key {
        page_key(self.owner.front, self.owner.incarnation, page)
    }

    fn on_closing(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Stands(entry) => match decode_counts(&entry.value) {
                Some(counts) if is_closed(&entry.value) => {
                    self.closed_pages.push(counts);
                    self.open_page = None;
                }
                Some(counts) => {
                    let version = entry.version;
                    self.open_page = Some(OpenPage { counts, version });
                }
                None => self.is_unreadable = true,
            },
            // Listed, and never written: it may not be any more.
            Outcome::Absent => {
                self.open_page = Some(OpenPage {
                    counts: HitCounts::new(),
                    version: 0,
                });
            }
            Outcome::Held(_) => self.open_page = None,
            Outcome::Unreachable | Outcome::Full => {}
        }
    }

    fn on_adding(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Stands(entry) => match VersionedPart::read(&entry) {
                Some(part) if part.folded.contains(self.owner) => {
                    if let Some(remaining) = &mut self.remaining {
                        remaining.pop_first();
                    }
                    self.open_part = None;
                }
                Some(part) => self.open_part = Some(part),
                None => self.is_unreadable = true,
            },
            Outcome::Absent if self.open_part.is_none() => {
                self.open_part = Some(VersionedPart::default())
            }
            _ => self.open_part = None,
        }
    }

    /// Once all pages are closed, sorts their rows by the parts that they belong to.
    fn sort_rows(&mut self) {
        if self.remaining.is_some() || self.closed_pages.len() != self.page_count {
            return;
        }
        let mut remaining: BTreeMap<usize, HitCounts> = BTreeMap::new();
        for (hit, count) in self.closed_pages.iter().flatten() {
            let rows = remaining.entry(part_index(hit)).or_default();
            *rows.entry(hit.clone()).or_default() += count;
        }
        self.remaining = Some(remaining);
    }
}

fn put(version: u64, value: Vec<u8>) -> Operation {
    Operation::Put {
        expects: Some(version),
        ends_ms: 0,
        value,
    }
}

impl Hits {
    /// Brings the earliest incarnation one step on; one after the other, so that what was folded is all up to an
    /// incarnation.
    pub(super) fn advance_fold(&mut self, wall_ms: u64, number: &mut impl FnMut() -> u64) {
        let Some(list) = self.list.clone() else {
            return;
        };
        if self.fold.is_none() {
            let earliest = self.earliest_to_fold(&list);
            self.fold = earliest.map(|listed| Fold::new(self.owner.front, listed));
        }
        let Some(fold) = &mut self.fold else { return };
        if fold.request_pending || fold.is_unreadable {
            return;
        }
        let request = match fold.next_request(wall_ms) {
            Some(request) => request,
            None if self.list_requested => return,
            None => fold.delist(list),
        };
        fold.request_pending = true;
        self.ask(
            number,
            Pending::Fold(request.step),
            request.key,
            request.operation,
        );
    }

    /// The earliest incarnation before this one. Only once this one is listed can an earlier one write no more.
    fn earliest_to_fold(&self, list: &IncarnationList) -> Option<ListedIncarnation> {
        let own = self.owner.incarnation;
        if list.entries.iter().all(|entry| entry.incarnation != own) {
            return None;
        }
        let earlier = list.entries.iter().filter(|entry| entry.incarnation < own);
        earlier.min().copied()
    }

    /// The ledger has answered a step.
    pub(super) fn on_fold_answer(&mut self, step: FoldStep, outcome: Outcome) {
        let Some(fold) = &mut self.fold else { return };
        fold.request_pending = false;
        let failed = matches!(outcome, Outcome::Unreachable | Outcome::Full);
        match step {
            _ if failed => {}
            FoldStep::Closing => fold.on_closing(outcome),
            FoldStep::Adding => fold.on_adding(outcome),
            FoldStep::Clearing => fold.cleared += 1,
            FoldStep::Delisting => return self.on_delisted(outcome),
        }
        fold.sort_rows();
    }

    fn on_delisted(&mut self, outcome: Outcome) {
        self.fold = None;
        match outcome {
            Outcome::Stands(entry) => {
                let entries = decode::<Vec<ListedIncarnation>>(&entry.value);
                self.list = entries.map(|entries| IncarnationList {
                    entries,
                    version: entry.version,
                });
            }
            // The list has moved on: it is read anew, and what was folded is known by the parts.
            _ => self.list_is_stale = true,
        }
    }
}

#[cfg(test)]
#[path = "fold_tests.rs"]
mod tests;
