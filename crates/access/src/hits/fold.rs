//! Lives of a front that can write no more are folded into one table of the fleet, each row exactly once.
//!
//! A later life of the same front does it: it is in the list of lives, so an earlier one that goes on all the same can
//! neither list nor count any more. It closes the pages of the earliest life (a put of that life that is still on its way
//! finds another version), adds its rows to each part of the fleet's table that they belong to, and then takes it out of
//! the list. A part names, for each front, the last life that is in it: what was added is never added again, whoever goes
//! on from whatever step.

use std::collections::BTreeMap;

use hallmux_hash::fnv1a;
use hallmux_ledger::{Key, Kind, Operation, Outcome, Owner};
use serde::{Deserialize, Serialize};

use super::{
    bytes, counts, lives_key, page_key, whole, Hit, HitCounts, Hits, Lives, Pending, CLOSED,
    FORMAT, OTHERS,
};
use crate::FrontId;

pub(super) const FOLDED_PARTS: usize = 16; // parts of the fleet's table
const MOST_ROWS: usize = 256; // of a part; rows beyond are counted under any customer
const LINGERS_MS: u64 = 7 * 86_400_000; // milliseconds for which the page of a folded life stays closed, without its counts

/// A part of the fleet's table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Folded {
    pub counts: HitCounts,
    /// Of each front the last life that is in it.
    lives: BTreeMap<FrontId, u64>,
}

impl Folded {
    pub fn read(bytes: &[u8]) -> Option<Folded> {
        super::whole(bytes)
    }

    /// Lives are folded in their order.
    pub fn has(&self, owner: Owner) -> bool {
        self.lives
            .get(&owner.front)
            .is_some_and(|last| *last >= owner.incarnation)
    }

    fn add(&mut self, owner: Owner, rows: &HitCounts) {
        if self.has(owner) {
            return;
        }
        self.lives.insert(owner.front, owner.incarnation);
        for (hit, count) in rows {
            let hit = match self.counts.contains_key(hit) || self.counts.len() < MOST_ROWS {
                true => hit.clone(),
                false => Hit {
                    customer: OTHERS.to_string(),
                    region: OTHERS.to_string(),
                    ..hit.clone()
                },
            };
            *self.counts.entry(hit).or_default() += count;
        }
    }
}

/// The part that a row belongs to; the same in every build.
pub(super) fn part_of(hit: &Hit) -> usize {
    let texts = [&hit.rule, &hit.customer, &hit.region];
    let hash = fnv1a(texts.into_iter().flat_map(|text| text.bytes().chain([0])));
    ((hash ^ (hash >> 32)) % FOLDED_PARTS as u64) as usize
}

pub(super) fn folded_key(place: usize) -> Key {
    Key {
        kind: Kind::Hits,
        name: format!("folded {place}"),
    }
}

/// An earlier life on its way into the fleet's table.
pub(super) struct Fold {
    owner: Owner,
    /// A page as it was read, to be closed on its version.
    open: Option<(HitCounts, u64)>,
    /// Its pages as they were closed.
    pages: Vec<HitCounts>,
    count: usize,
    /// What has yet to be added, by part; None until all pages are closed.
    left: Option<BTreeMap<usize, HitCounts>>,
    part: Option<(Folded, u64)>,
    blanked: usize,
    asking: bool,
    /// Of a format that this build does not know: it stays as it is.
    stuck: bool,
}

impl Hits {
    /// Brings the earliest life one step on; one after the other, so that what was folded is all up to a life.
    pub(super) fn advance_fold(&mut self, wall_ms: u64, number: &mut impl FnMut() -> u64) {
        let own = self.own;
        let Some((lives, version)) = self.lives.clone() else {
            return;
        };
        if self.fold.is_none() {
            // Only once this life is listed can an earlier one write no more.
            let listed = lives.iter().any(|(life, _)| *life == own.incarnation);
            let earliest = lives
                .iter()
                .filter(|(life, _)| listed && *life < own.incarnation)
                .min();
            let Some((life, pages)) = earliest else {
                return;
            };
            self.fold = Some(Fold {
                owner: Owner {
                    front: own.front,
                    incarnation: *life,
                },
                open: None,
                pages: Vec::new(),
                count: *pages as usize,
                left: None,
                part: None,
                blanked: 0,
                asking: false,
                stuck: false,
            });
        }
        let Some(fold) = self
            .fold
            .as_mut()
            .filter(|fold| !fold.asking && !fold.stuck)
        else {
            return;
        };
        let key = |page| page_key(own.front, fold.owner.incarnation, page);
        let put = |expects, ends_ms, value| Operation::Put {
            expects,
            ends_ms,
            value,
        };
        let closed = |counts: &HitCounts| bytes(&(CLOSED, counts));
        let left = fold.left.as_ref();
        let (asked, key, operation) = if fold.pages.len() < fold.count {
            let page = fold.pages.len();
            let operation = match &fold.open {
                None => Operation::Read,
                Some((counts, version)) => put(Some(*version), 0, closed(counts)),
            };
            (Pending::Closing, key(page), operation)
        } else if let Some((place, rows)) = left.and_then(|left| left.first_key_value()) {
            let operation = match &fold.part {
                None => Operation::Read,
                Some((folded, version)) => {
                    let mut folded = folded.clone();
                    folded.add(fold.owner, rows);
                    put(Some(*version), 0, bytes(&(FORMAT, folded)))
                }
            };
            (Pending::Adding, folded_key(*place), operation)
        } else if fold.blanked < fold.count {
            let operation = put(
                None,
                wall_ms.saturating_add(LINGERS_MS),
                closed(&HitCounts::new()),
            );
            (Pending::Blanking, key(fold.blanked), operation)
        } else if !self.listing {
            let lives: Vec<(u64, u32)> = lives
                .into_iter()
                .filter(|(life, _)| *life != fold.owner.incarnation)
                .collect();
            (
                Pending::Dropping,
                lives_key(own.front),
                put(Some(version), 0, bytes::<Lives>(&(FORMAT, lives))),
            )
        } else {
            return;
        };
        fold.asking = true;
        self.ask(number, asked, key, operation);
    }

    /// The ledger has answered a step.
    pub(super) fn on_fold_answer(&mut self, asked: &Pending, outcome: Outcome) {
        let Some(fold) = &mut self.fold else { return };
        fold.asking = false;
        match (asked, outcome) {
            (_, Outcome::Unreachable | Outcome::Full) => {}
            (Pending::Closing, Outcome::Stands(entry)) => match counts(&entry.value) {
                Some(counts) if entry.value.first() == Some(&CLOSED) => {
                    fold.pages.push(counts);
                    fold.open = None;
                }
                Some(counts) => fold.open = Some((counts, entry.version)),
                None => fold.stuck = true,
            },
            // Listed, and never written: it may not be any more.
            (Pending::Closing, Outcome::Absent) => fold.open = Some((HitCounts::new(), 0)),
            (Pending::Closing, Outcome::Held(_)) => fold.open = None,
            (Pending::Adding, Outcome::Stands(entry)) => match Folded::read(&entry.value) {
                Some(folded) if folded.has(fold.owner) => {
                    fold.left.iter_mut().for_each(|left| _ = left.pop_first());
                    fold.part = None;
                }
                Some(folded) => fold.part = Some((folded, entry.version)),
                None => fold.stuck = true,
            },
            (Pending::Adding, Outcome::Absent) if fold.part.is_none() => {
                fold.part = Some((Folded::default(), 0));
            }
            (Pending::Adding, _) => fold.part = None,
            (Pending::Blanking, _) => fold.blanked += 1,
            (Pending::Dropping, Outcome::Stands(entry)) => {
                self.lives =
                    whole::<Vec<(u64, u32)>>(&entry.value).map(|lives| (lives, entry.version));
                self.fold = None;
                return;
            }
            // The list has moved on: it is read anew, and what was folded is known by the parts.
            (Pending::Dropping, _) => {
                self.fold = None;
                return self.list_is_stale = true;
            }
            _ => {}
        }
        if fold.left.is_none() && fold.pages.len() == fold.count {
            let mut left: BTreeMap<usize, HitCounts> = BTreeMap::new();
            for (hit, count) in fold.pages.iter().flatten() {
                *left
                    .entry(part_of(hit))
                    .or_default()
                    .entry(hit.clone())
                    .or_default() += count;
            }
            fold.left = Some(left);
        }
    }
}

#[cfg(test)]
#[path = "fold_tests.rs"]
mod tests;
