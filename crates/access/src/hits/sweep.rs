//! The fleet's count: what was folded into its table, and the tables of the lives that were not.

use std::collections::BTreeSet;

use hallmux_ledger::{Operation, Outcome, Owner};

use super::fold::{folded_key, part_of, Folded, FOLDED_PARTS};
use super::{
    counts, lives_key, merge_counts, page_key, whole, FleetHits, HitCounts, Hits, Pending,
};
use crate::{FrontId, Micros};

const AT_ONCE: usize = 32; // pages read at once for the fleet's count

enum Read {
    Lives(FrontId),
    Page(Owner, u32),
    Folded(usize),
}

pub(super) struct Sweep {
    begun: Micros,
    reads: Vec<Read>,
    out: usize,
    missing: BTreeSet<FrontId>,
    /// The fleet's table comes last: a life whose pages are gone by then is in it.
    last: bool,
}

impl Sweep {
    pub fn new(begun: Micros, fronts: &[FrontId]) -> Sweep {
        let reads = fronts.iter().map(|front| Read::Lives(*front)).collect();
        Sweep {
            begun,
            reads,
            out: 0,
            missing: BTreeSet::new(),
            last: false,
        }
    }
}

impl Hits {
    /// Reads on for the fleet's count.
    pub(super) fn advance_sweep(&mut self, number: &mut impl FnMut() -> u64) {
        loop {
            let Some(sweep) = self.sweep.as_mut().filter(|sweep| sweep.out < AT_ONCE) else {
                return;
            };
            let Some(read) = sweep.reads.pop() else {
                if sweep.out > 0 || sweep.last {
                    break;
                }
                sweep.last = true;
                sweep.reads.extend((0..FOLDED_PARTS).map(Read::Folded));
                continue;
            };
            sweep.out += 1;
            let (asked, key) = match read {
                Read::Lives(front) => (Pending::LivesOf(front), lives_key(front)),
                Read::Page(owner, page) => (
                    Pending::PageOf(owner),
                    page_key(owner.front, owner.incarnation, page as usize),
                ),
                Read::Folded(place) => (Pending::Folded(place), folded_key(place)),
            };
            self.ask(number, asked, key, Operation::Read);
        }
        if let Some(sweep) = self.sweep.take_if(|sweep| sweep.out == 0) {
            let counts = self.sum();
            self.fleet = FleetHits {
                counts,
                as_of: Some(sweep.begun),
                missing: sweep.missing,
            };
            self.swept = true;
        }
    }

    /// What is in the fleet's table, and of each life what is not.
    fn sum(&mut self) -> HitCounts {
        let mut counts = HitCounts::new();
        for (hit, count) in self.folded.values().flat_map(|(folded, _)| &folded.counts) {
            *counts.entry(hit.clone()).or_default() += count;
        }
        let folded = &self.folded;
        let has = |hit: &super::Hit, owner: &Owner| {
            folded
                .get(&part_of(hit))
                .is_some_and(|(folded, _)| folded.has(*owner))
        };
        for (owner, table) in &mut self.known {
            table.retain(|hit, _| !has(hit, owner));
            for (hit, count) in table.iter() {
                *counts.entry(hit.clone()).or_default() += count;
            }
        }
        self.known.retain(|_, table| !table.is_empty());
        counts
    }

    pub(super) fn on_sweep_answer(&mut self, asked: Pending, outcome: Outcome) {
        let Some(sweep) = &mut self.sweep else { return };
        sweep.out -= 1;
        match (asked, outcome) {
            (_, Outcome::Absent) => {}
            (Pending::LivesOf(front), Outcome::Stands(entry)) => {
                match whole::<Vec<(u64, u32)>>(&entry.value) {
                    Some(lives) => {
                        for (incarnation, pages) in lives {
                            let owner = Owner { front, incarnation };
                            sweep
                                .reads
                                .extend((0..pages).map(|page| Read::Page(owner, page)));
                        }
                    }
                    None => _ = sweep.missing.insert(front),
                }
            }
            (Pending::PageOf(owner), Outcome::Stands(entry)) => match counts(&entry.value) {
                Some(counts) => merge_counts(self.known.entry(owner).or_default(), &counts),
                None => _ = sweep.missing.insert(owner.front),
            },
            (Pending::Folded(place), Outcome::Stands(entry)) => match Folded::read(&entry.value) {
                Some(folded) => {
                    let known = self.folded.get(&place).map_or(0, |(_, version)| *version);
                    if entry.version >= known {
                        self.folded.insert(place, (folded, entry.version));
                    }
                }
                None => sweep.missing.extend(&self.fronts),
            },
            (Pending::LivesOf(front) | Pending::PageOf(Owner { front, .. }), _) => {
                _ = sweep.missing.insert(front)
            }
            // Of any front something may be there.
            (Pending::Folded(_), _) => sweep.missing.extend(&self.fronts),
            _ => {}
        }
    }
}
