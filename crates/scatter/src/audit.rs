//! Sites whose word turns out to be false: now and then one is asked that its own summary rules out. One that has rows all the
//! same loses credit, and is asked always until it has earned it back.

use std::collections::BTreeMap;

use crate::Micros;

const EARNS: u32 = 20; // answers in a row that bear its word out, for a site that was found wrong once
const MOST: u32 = 640; // for one that was found wrong again and again: each time twice as many
const BURST: f64 = 1.0; // audits that a front may save up

/// How much is spent on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// One scatter of so many.
    pub one_in: u64,
    /// Audits a second, of the whole fleet.
    pub a_second: f64,
}

#[derive(Clone, Debug, Default)]
struct Site {
    /// When it was audited last.
    asked: Micros,
    /// Answers that it still has to give before its word counts again; 0: it counts.
    owes: u32,
    /// What the next false word costs.
    costs: u32,
}

/// What an answer of a site that its summary rules out has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its word holds.
    Holds,
    /// It holds, and counts again from now on.
    Earned,
    /// It was false: the site is asked always for now.
    False,
    /// It has rows, which may be those of a load.
    Unsure,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sites asked that their summaries rule out.
    pub audits: u64,
    /// False words found.
    pub found: u64,
    /// Rows that sites have by such answers and have not by their own word.
    pub rows: u64,
}

pub struct Audits {
    terms: Terms,
    /// What may be spent, as of when.
    left: f64,
    filled: Option<Micros>,
    sites: BTreeMap<String, Site>,
    pub counts: Counts,
}

impl Audits {
    pub fn new(terms: Terms) -> Audits {
        Audits { terms, left: BURST, filled: None, sites: BTreeMap::new(), counts: Counts::default() }
    }

    pub fn turn_to(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Which of the sites that a scatter leaves out it asks all the same: the one audited longest ago. `drawn` is chance,
    /// `fronts` how many share the fleet's budget.
    pub fn pick(&mut self, now: Micros, drawn: u64, fronts: f64, left_out: &[String]) -> Option<usize> {
        let since = self.filled.replace(now).map_or(0, |filled| (now - filled).max(0));
        self.left = (self.left + since as f64 / 1e6 * self.terms.a_second / fronts.max(1.0)).min(BURST);
        if !drawn.is_multiple_of(self.terms.one_in.max(1)) || self.left < 1.0 {
            return None;
        }
        let asked = |name: &String| self.sites.get(name).map_or(Micros::MIN, |site| site.asked);
        let (at, name) = left_out.iter().enumerate().min_by_key(|(_, name)| asked(name))?;
        self.left -= 1.0;
        self.counts.audits += 1;
        self.sites.entry(name.clone()).or_default().asked = now;
        Some(at)
    }

    /// A site's word counts for nothing for now.
    pub fn doubts(&self, site: &str) -> bool {
        self.sites.get(site).is_some_and(|site| site.owes > 0)
    }

    /// Another front has found a site's word false: it loses credit here too, as much as for one that was
    /// found here first.
    pub fn told(&mut self, site: &str) {
        let site = self.sites.entry(site.to_string()).or_default();
        site.costs = site.costs.max(EARNS);
        site.owes = site.owes.max(EARNS);
    }

    /// A site that its summary rules out has answered with so many rows. `sure`: no load can have brought them.
    pub fn answered(&mut self, site: &str, rows: u64, sure: bool) -> Verdict {
        if rows > 0 && !sure {
            return Verdict::Unsure;
        }
        let site = self.sites.entry(site.to_string()).or_default();
        if rows > 0 {
            site.costs = (site.costs * 2).clamp(EARNS, MOST);
            site.owes = site.costs;
            self.counts.found += 1;
            self.counts.rows += rows;
            return Verdict::False;
        }
        let owed = site.owes;
        site.owes = owed.saturating_sub(1);
        if owed == 1 {
            Verdict::Earned
        } else {
            Verdict::Holds
        }
    }
}
