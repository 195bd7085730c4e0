//! Folds the hit counts of earlier incarnations, which can no longer write, into one table of the
//! fleet, each row exactly once.
//!
//! A later incarnation of the same front folds an earlier one. The later one is in the list of
//! incarnations, so an earlier process that is still running can neither list pages nor count any
//! more. The fold closes the pages of the earliest incarnation (a put by that incarnation still in
//! flight then finds another version and fails), adds its rows to the parts of the fleet's table
//! that they belong to, and then removes it from the list. Each part records, for each front, the
//! last incarnation added to it, so counts are never added twice, whichever process continues a
//! fold and from whichever step.

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

/// The number of parts of the fleet's table.
pub(super) const FOLDED_PART_COUNT: usize = 16;
/// The number of rows in a part up to which new rows are added; further hits are counted for each
/// rule under `OVERFLOW_NAME` as the customer and the region.
const MAX_PART_ROWS: usize = 256;
/// Milliseconds for which a page of a folded incarnation stays closed after its counts are removed.
const CLOSED_PAGE_MS: u64 = 7 * 86_400_000;

/// A part of the fleet's table. Fields are positional in the stored part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FoldedCounts {
    pub counts: HitCounts,
    /// For each front, the last incarnation whose counts are included.
    incarnations: BTreeMap<FrontId, u64>,
}

impl FoldedCounts {
    /// Returns whether an incarnation's counts are included. Incarnations are folded in ascending
    /// order.
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

/// A part of the fleet's table with its version in the ledger; 0 if it is not stored yet.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionedPart {
    pub folded: FoldedCounts,
    pub version: u64,
}

impl VersionedPart {
    /// Decodes an entry; `None` if its format is unknown to this build.
    pub fn read(entry: &Entry) -> Option<VersionedPart> {
        Some(VersionedPart {
            folded: decode(&entry.value)?,
            version: entry.version,
        })
    }
}

/// Returns the part that a row belongs to; it must be the same in every build.
pub(super) fn part_index(hit: &Hit) -> usize {
    let texts = [&hit.rule, &hit.customer, &hit.region];
    let hash = fnv1a(texts.into_iter().flat_map(|text| text.bytes().chain([0])));
    ((hash ^ (hash >> 32)) % FOLDED_PART_COUNT as u64) as usize
}

/// A page as it was read; it is closed only if its entry still has this version.
struct OpenPage {
    counts: HitCounts,
    version: u64,
}

/// The fold of an earlier incarnation into the fleet's table.
pub(super) struct Fold {
    owner: Owner,
    /// The page to be closed next, once it has been read.
    open_page: Option<OpenPage>,
    /// The counts of the pages closed so far.
    closed_pages: Vec<HitCounts>,
    /// The number of the incarnation's pages.
    page_count: usize,
    /// The rows that have yet to be added, by part; `None` until all pages are closed.
    remaining: Option<BTreeMap<usize, HitCounts>>,
    /// The part to be added to next, once it has been read.
    open_part: Option<VersionedPart>,
    /// The number of pages emptied so far.
    cleared: usize,
    request_pending: bool,
    /// Whether an entry has a format unknown to this build; the incarnation is then left as it is.
    is_unreadable: bool,
}

/// A request to the ledger for the next step of a fold.
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

    /// Returns the next request; `None` once only the removal from the list remains.
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

    /// Returns the request that removes the incarnation from the list.
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
            // The page was listed but never written. Closing it keeps the incarnation from writing
            // it later.
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

    /// Once all pages are closed, groups their rows by the part that they belong to.
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

/// Returns a put that is applied only if the entry still has this version; 0 means no entry.
fn put(version: u64, value: Vec<u8>) -> Operation {
    Operation::Put {
        expects: Some(version),
        ends_ms: 0,
        value,
    }
}

impl Hits {
    /// Takes the next step of folding the earliest incarnation. Incarnations are folded one at a
    /// time, so that each part includes every incarnation up to the last one recorded.
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
        self.queue_request(
            number,
            Pending::Fold(request.step),
            request.key,
            request.operation,
        );
    }

    /// Returns the earliest incarnation before this one. An earlier incarnation is certain not to
    /// write any more only once this one is listed.
    fn earliest_to_fold(&self, list: &IncarnationList) -> Option<ListedIncarnation> {
        let own = self.owner.incarnation;
        if list.entries.iter().all(|entry| entry.incarnation != own) {
            return None;
        }
        let earlier = list.entries.iter().filter(|entry| entry.incarnation < own);
        earlier.min().copied()
    }

    /// Handles the ledger's answer to a step.
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
            // The list has changed meanwhile: it is read again, and the parts show which
            // incarnations are folded.
            _ => self.list_is_stale = true,
        }
    }
}

#[cfg(test)]
#[path = "fold_tests.rs"]
mod tests;
