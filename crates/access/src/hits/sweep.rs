//! Reads the fleet's hit counts: the fleet's table of folded incarnations, and the tables of all
//! other incarnations.

use std::collections::BTreeSet;

use hallmux_ledger::{Operation, Outcome, Owner};

use super::fold::{part_index, VersionedPart, FOLDED_PART_COUNT};
use super::storage::{decode, decode_counts, folded_key, list_key, page_key, ListedIncarnation};
use super::{merge_counts, FleetHits, Hit, HitCounts, Hits, Pending};
use crate::{FrontId, Micros};

/// The number of entries read at the same time.
const MAX_READS: usize = 32;

/// A ledger entry to be read.
enum Read {
    List(FrontId),
    Page { owner: Owner, page: u32 },
    FoldedPart(usize),
}

/// A read of the fleet's counts in progress.
pub(super) struct Sweep {
    started_at: Micros,
    /// The entries that have yet to be read.
    queue: Vec<Read>,
    /// The number of reads in flight.
    in_flight: usize,
    missing: BTreeSet<FrontId>,
    /// Whether the fleet's table is being read. It is read last, so that it includes every
    /// incarnation whose pages were already emptied.
    is_reading_folded: bool,
}

impl Sweep {
    /// Creates a read that starts with the incarnation lists of these fronts.
    pub fn new(started_at: Micros, fronts: &[FrontId]) -> Sweep {
        let reads = fronts.iter().map(|front| Read::List(*front)).collect();
        Sweep {
            started_at,
            queue: reads,
            in_flight: 0,
            missing: BTreeSet::new(),
            is_reading_folded: false,
        }
    }
}

impl Hits {
    /// Sends further reads, and completes the fleet's counts once all are answered.
    pub(super) fn advance_sweep(&mut self, number: &mut impl FnMut() -> u64) {
        loop {
            let Some(sweep) = self
                .sweep
                .as_mut()
                .filter(|sweep| sweep.in_flight < MAX_READS)
            else {
                return;
            };
            let Some(read) = sweep.queue.pop() else {
                if sweep.in_flight > 0 || sweep.is_reading_folded {
                    break;
                }
                sweep.is_reading_folded = true;
                sweep
                    .queue
                    .extend((0..FOLDED_PART_COUNT).map(Read::FoldedPart));
                continue;
            };
            sweep.in_flight += 1;
            let (pending, key) = match read {
                Read::List(front) => (Pending::SweepList(front), list_key(front)),
                Read::Page { owner, page } => (
                    Pending::SweepPage(owner),
                    page_key(owner.front, owner.incarnation, page as usize),
                ),
                Read::FoldedPart(part) => (Pending::SweepFoldedPart(part), folded_key(part)),
            };
            self.queue_request(number, pending, key, Operation::Read);
        }
        if let Some(sweep) = self.sweep.take_if(|sweep| sweep.in_flight == 0) {
            let counts = self.total_counts();
            self.fleet = FleetHits {
                counts,
                as_of: Some(sweep.started_at),
                missing: sweep.missing,
            };
            self.fleet_hits_ready = true;
        }
    }

    /// Adds up the fleet's table and the rows of each incarnation that the table does not include.
    fn total_counts(&mut self) -> HitCounts {
        let mut counts = HitCounts::new();
        for (hit, count) in self.folded.values().flat_map(|part| &part.folded.counts) {
            *counts.entry(hit.clone()).or_default() += count;
        }
        let folded = &self.folded;
        let is_folded = |hit: &Hit, owner: Owner| {
            let part = folded.get(&part_index(hit));
            part.is_some_and(|part| part.folded.contains(owner))
        };
        for (owner, table) in &mut self.unfolded {
            table.retain(|hit, _| !is_folded(hit, *owner));
            for (hit, count) in table.iter() {
                *counts.entry(hit.clone()).or_default() += count;
            }
        }
        self.unfolded.retain(|_, table| !table.is_empty());
        counts
    }

    pub(super) fn on_swept_list(&mut self, front: FrontId, outcome: Outcome) {
        let Some(sweep) = &mut self.sweep else { return };
        sweep.in_flight -= 1;
        let entry = match outcome {
            Outcome::Absent => return,
            Outcome::Stands(entry) => Some(entry),
            _ => None,
        };
        let list = entry.and_then(|entry| decode::<Vec<ListedIncarnation>>(&entry.value));
        let Some(list) = list else {
            sweep.missing.insert(front);
            return;
        };
        for ListedIncarnation { incarnation, pages } in list {
            let owner = Owner { front, incarnation };
            let reads = (0..pages).map(|page| Read::Page { owner, page });
            sweep.queue.extend(reads);
        }
    }

    pub(super) fn on_swept_page(&mut self, owner: Owner, outcome: Outcome) {
        let Some(sweep) = &mut self.sweep else { return };
        sweep.in_flight -= 1;
        let entry = match outcome {
            Outcome::Absent => return,
            Outcome::Stands(entry) => Some(entry),
            _ => None,
        };
        match entry.and_then(|entry| decode_counts(&entry.value)) {
            Some(counts) => merge_counts(self.unfolded.entry(owner).or_default(), &counts),
            None => _ = sweep.missing.insert(owner.front),
        }
    }

    pub(super) fn on_swept_part(&mut self, part: usize, outcome: Outcome) {
        let Some(sweep) = &mut self.sweep else { return };
        sweep.in_flight -= 1;
        let entry = match outcome {
            Outcome::Absent => return,
            Outcome::Stands(entry) => Some(entry),
            _ => None,
        };
        let Some(read) = entry.and_then(|entry| VersionedPart::read(&entry)) else {
            // The part may include counts of any front.
            sweep.missing.extend(&self.fronts);
            return;
        };
        let known = self.folded.get(&part).map_or(0, |part| part.version);
        if read.version >= known {
            self.folded.insert(part, read);
        }
    }
}
