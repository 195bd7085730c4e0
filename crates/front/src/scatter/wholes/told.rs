//! What is told without asking a site: numbers of distinct values by sketches; and what the log says of sites
//! asked.

use hallmux_dispatcher::Micros;
use hallmux_scatter::plan::{Why, Word};
use hallmux_scatter::sketch;
use hallmux_scatter::whole::Answer;

use super::{One, Scatters};

impl Scatters {
    /// The answer to a statement for distinct values, where sketches tell it as well as its customer wants
    /// it, or where there is no other way to one. None: the site that has all rows is asked.
    pub(super) fn by_sketch(&self, now: Micros, one: &One, word: &Word) -> Option<Answer> {
        let accepted = self.settings.distinct_error.get(&one.call.customer).copied().unwrap_or(0);
        let allowed: Option<Vec<&str>> =
            one.allowed.as_ref().map(|names| names.iter().map(String::as_str).collect());
        let doubted = |site: &str| self.doubts.as_ref().is_some_and(|doubts| doubts.doubts(site));
        let (book, wall_ms) = (&self.summaries.book, (now / 1000) as u64);
        let (sites, allowed) = (&self.sites, allowed.as_deref());
        let told = sketch::distinct(&one.query, sites, allowed, book, wall_ms, word, &doubted);
        match told.filter(|told| told.error * 1e6 <= f64::from(accepted)) {
            Some(told) => Some(Answer::About { distinct: told.distinct, error: told.error }),
            None => self.settings.whole_site.is_none().then_some(Answer::Untold),
        }
    }

    /// Says what was asked and what for.
    pub(super) fn tell(&self) {
        let (asked, left_out) = self.counts;
        let of = |(why, count): (&Why, &u64)| format!(", {}: {count}", why.name());
        let needless: String = self.needless.iter().map(of).collect();
        log::info!(
            "sites asked so far {asked}, left out by their summaries {left_out}; asked and without rows{}",
            if needless.is_empty() { ", none" } else { &needless }
        );
    }
}
