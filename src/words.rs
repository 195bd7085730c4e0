//! What other fronts say of engines, as plain figures: nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;

/// Ill words of other fronts on engines, each until it is worth nothing, and the credit of those fronts.
#[derive(Default)]
pub struct Words {
    pub said: BTreeMap<(EngineId, usize), (f64, Micros)>,
    pub credit: BTreeMap<usize, f64>,
}

impl Words {
    /// The credit of a front, or that of one that has shown nothing yet.
    pub fn credit(&self, maker: usize, unheard: f64) -> f64 {
        self.credit.get(&maker).copied().unwrap_or(unheard)
    }

    /// What is said of an engine: by whom, how ill, until when.
    pub fn of(&self, e: EngineId) -> impl Iterator<Item = (usize, f64, Micros)> + '_ {
        let all = self.said.range((e, 0)..(e + 1, 0));
        all.map(|((_, maker), (ill, until))| (*maker, *ill, *until))
    }

    /// Who speaks ill of any of these engines, of fronts with such a credit, and of how many of them.
    pub fn against(
        &self,
        engines: &[EngineId],
        credit: f64,
        unheard: f64,
    ) -> (BTreeSet<usize>, Vec<EngineId>) {
        let (mut makers, mut ill) = (BTreeSet::new(), Vec::new());
        for e in engines {
            let mut word = self.of(*e).map(|(maker, ..)| maker);
            let before = ill.len();
            for maker in word.by_ref().filter(|maker| self.credit(*maker, unheard) >= credit) {
                makers.insert(maker);
                ill.truncate(before);
                ill.push(*e);
            }
        }
        (makers, ill)
    }

    /// Those who speak of an engine earn or lose credit.
    pub fn proved(&mut self, e: EngineId, unheard: f64, earns: impl Fn(f64) -> f64) {
        for ((_, maker), _) in self.said.range((e, 0)..(e + 1, 0)) {
            let credit = self.credit.entry(*maker).or_insert(unheard);
            *credit = earns(*credit);
        }
    }

    /// Nothing that was said of an engine counts any more.
    pub fn forget(&mut self, e: EngineId) {
        self.said.retain(|(at, _), _| *at != e);
    }
}
