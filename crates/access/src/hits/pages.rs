//! The pages of this incarnation's counts: adds the hits of statements to them, lists them, and
//! stores them in the ledger.

use hallmux_ledger::{Operation, Outcome};

use super::storage::{
    decode, encode, is_closed, list_key, page_key, IncarnationList, ListedIncarnation,
};
use super::{AwaitedHit, Hit, Hits, Page, Pending, OVERFLOW_NAME, RETRY_INTERVAL};
use crate::Micros;

/// The number of rows in a page, about 3 KB.
const PAGE_ROWS: usize = 64;
/// The number of pages of an incarnation; further rows are counted under any customer.
const MAX_PAGES: usize = 64;
const MAX_ROWS: usize = PAGE_ROWS * MAX_PAGES;
/// Rows reserved for rules once customers are no longer counted separately.
const RESERVED_ROWS: usize = 512;
/// Microseconds until a list of unknown format is read again.
const UNKNOWN_FORMAT_INTERVAL: Micros = 20 * RETRY_INTERVAL;
impl Hits {
    /// Counts the hits of a statement, which may proceed once it is in `counted`.
    pub fn count(&mut self, statement: u64, hits: Vec<Hit>) {
        let awaited = hits.into_iter().map(|hit| self.add_hit(hit)).collect();
        self.waiting.insert(statement, awaited);
    }

    /// Adds a hit to its row.
    fn add_hit(&mut self, hit: Hit) -> AwaitedHit {
        let row = self.assign_row(hit);
        let page = self.rows.get(&row).copied().unwrap_or_default();
        let Some(counted) = self.pages.get_mut(page) else {
            return AwaitedHit { page, number: 0 };
        };
        *counted.counts.entry(row).or_default() += 1;
        counted.added += 1;
        AwaitedHit {
            page,
            number: counted.added,
        }
    }

    /// Returns the row that a hit is counted in, creating it if necessary.
    fn assign_row(&mut self, hit: Hit) -> Hit {
        if self.rows.contains_key(&hit) {
            return hit;
        }
        let rows = self.rows.len();
        let hit = if rows + RESERVED_ROWS < MAX_ROWS {
            hit
        } else if rows + 1 < MAX_ROWS {
            Hit {
                customer: OVERFLOW_NAME.to_string(),
                ..hit
            }
        } else {
            Hit {
                rule: OVERFLOW_NAME.to_string(),
                customer: OVERFLOW_NAME.to_string(),
                region: OVERFLOW_NAME.to_string(),
            }
        };
        if !self.rows.contains_key(&hit) {
            let page = rows / PAGE_ROWS;
            if self.pages.len() <= page {
                self.pages.push(Page::default());
            }
            let last = self.pages.len().saturating_sub(1);
            self.rows.insert(hit.clone(), page.min(last));
        }
        hit
    }

    /// Adds this incarnation and its pages to the list, which must precede the first put of a page.
    pub(super) fn list_pages(&mut self, number: &mut impl FnMut() -> u64) {
        let has_to_list = self.list_is_stale || self.listed_pages < self.pages.len();
        if self.superseded || !has_to_list || self.list_requested {
            return;
        }
        self.list_requested = true;
        let key = list_key(self.owner.front);
        let own = ListedIncarnation {
            incarnation: self.owner.incarnation,
            pages: self.pages.len() as u32,
        };
        let operation = match &self.list {
            Some(list) if !std::mem::take(&mut self.list_is_stale) => {
                let mut entries = list.entries.clone();
                entries.retain(|entry| entry.incarnation != own.incarnation);
                entries.push(own);
                Operation::Put {
                    expects: Some(list.version),
                    ends_ms: 0,
                    value: encode(&entries),
                }
            }
            _ => Operation::Read,
        };
        self.queue_request(number, Pending::OwnList, key, operation);
    }

    /// Stores a page if it has hits that the ledger has not stored.
    pub(super) fn put_page(&mut self, page_index: usize, number: &mut impl FnMut() -> u64) {
        let Some(page) = self.pages.get_mut(page_index) else {
            return;
        };
        if page.putting || page.stored >= page.added {
            return;
        }
        page.putting = true;
        // Compare-and-swap, so that a delayed put cannot revert the page.
        let operation = Operation::Put {
            expects: Some(page.version),
            ends_ms: 0,
            value: encode(&page.counts),
        };
        let pending = Pending::Put {
            page: page_index,
            added: page.added,
        };
        let key = page_key(self.owner.front, self.owner.incarnation, page_index);
        self.queue_request(number, pending, key, operation);
    }

    pub(super) fn on_put_answer(&mut self, page_index: usize, added: u64, outcome: Outcome) {
        let Some(page) = self.pages.get_mut(page_index) else {
            return;
        };
        page.putting = false;
        match outcome {
            Outcome::Stands(entry) => {
                page.stored = page.stored.max(added);
                page.version = entry.version;
            }
            // An earlier put of this incarnation that seemed lost has been applied.
            Outcome::Held(entry) => {
                // Only a later incarnation of this front closes its pages.
                self.superseded |= is_closed(&entry.value);
                page.version = entry.version;
            }
            _ => {}
        }
        self.release_counted();
    }

    /// Releases the statements all of whose hits the ledger has stored.
    pub(super) fn release_counted(&mut self) {
        let pages = &self.pages;
        let is_stored = |hit: &AwaitedHit| {
            let page = pages.get(hit.page);
            page.is_none_or(|page| page.stored >= hit.number)
        };
        let counted = self
            .waiting
            .extract_if(.., |_, awaited| awaited.iter().all(is_stored))
            .map(|(statement, _)| statement);
        self.counted.extend(counted);
    }

    pub(super) fn on_list_answer(&mut self, outcome: Outcome) {
        self.list_requested = false;
        let entry = match outcome {
            Outcome::Stands(entry) | Outcome::Held(entry) => entry,
            Outcome::Absent => return self.list = Some(IncarnationList::default()),
            Outcome::Unreachable | Outcome::Full => return,
        };
        let Some(entries) = decode::<Vec<ListedIncarnation>>(&entry.value) else {
            // A repeated answer has no value, so the list is read again. A list of a format unknown
            // to this build is left as it is.
            let wait = if entry.value.is_empty() {
                0
            } else {
                UNKNOWN_FORMAT_INTERVAL
            };
            self.retry_at = self.retry_at.max(self.last_tick + wait);
            return self.list = None;
        };
        let own = self.owner.incarnation;
        self.superseded |= entries.iter().any(|entry| entry.incarnation > own);
        if let Some(listed) = entries.iter().find(|entry| entry.incarnation == own) {
            let pages = self.listed_pages.max(listed.pages as usize);
            self.listed_pages = pages.min(self.pages.len());
        }
        self.list = Some(IncarnationList {
            entries,
            version: entry.version,
        });
    }
}
