//! Sites whose word turns out to be false: now and then one is asked that its own summary rules out. One that has rows all the
//! same loses credit, and is asked always until it has earned it back.

use std::collections::BTreeMap;

use crate::Micros;

const ANSWERS_TO_RECOVER: u32 = 20; // answers in a row that bear its word out, for a site that was found wrong once
const MAX_ANSWERS_TO_RECOVER: u32 = 640; // for one that was found wrong again and again: each time twice as many
const MAX_AUDIT_BUDGET: f64 = 1.0; // audits that a front may save up

/// How much is spent on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AuditSettings {
    /// One scatter of so many.
    pub one_in: u64,
    /// Audits a second, of the whole fleet.
    pub per_second: f64,
}

#[derive(Clone, Debug, Default)]
struct Site {
    /// When it was audited last.
    audited_at: Micros,
    /// Answers that it still has to give before its word counts again; 0: it counts.
    answers_to_recover: u32,
    /// What the next false word costs.
    penalty: u32,
}

/// What an answer of a site that its summary rules out has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuditResult {
    /// Its word holds.
    Confirmed,
    /// It holds, and counts again from now on.
    Recovered,
    /// It was false: the site is asked always for now.
    Refuted,
    /// It has rows, which may be those of a load.
    Inconclusive,
}

/// What audits have found since the front started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AuditCounts {
    /// Sites asked that their summaries rule out.
    pub audits: u64,
    /// False words found.
    pub found: u64,
    /// Rows that sites have by such answers and have not by their own word.
    pub rows: u64,
}

/// The audits of one front: when one is due, and which sites are suspected.
pub struct Audits {
    settings: AuditSettings,
    /// What may be spent, as of when.
    budget: f64,
    refilled_at: Option<Micros>,
    sites: BTreeMap<String, Site>,
    /// What audits have found; the caller reads it for its log and counters.
    pub counts: AuditCounts,
}

impl Audits {
    /// No site is suspected yet, and one audit may be made at once.
    pub fn new(settings: AuditSettings) -> Audits {
        Audits {
            settings,
            budget: MAX_AUDIT_BUDGET,
            refilled_at: None,
            sites: BTreeMap::new(),
            counts: AuditCounts::default(),
        }
    }

    /// Changes the settings; what is known of the sites stays.
    pub fn reconfigure(&mut self, settings: AuditSettings) {
        self.settings = settings;
    }

    /// Which of the sites that a scatter leaves out it asks all the same: the one audited longest ago. `drawn` is chance,
    /// `fronts` how many share the fleet's budget.
    pub fn choose_site(
        &mut self,
        now: Micros,
        drawn: u64,
        fronts: f64,
        pruned: &[String],
    ) -> Option<usize> {
        let since = self
            .refilled_at
            .replace(now)
            .map_or(0, |filled| (now - filled).max(0));
        self.budget = (self.budget
            + since as f64 / 1e6 * self.settings.per_second / fronts.max(1.0))
        .min(MAX_AUDIT_BUDGET);
        if !drawn.is_multiple_of(self.settings.one_in.max(1)) || self.budget < 1.0 {
            return None;
        }
        let audited_at = |name: &String| {
            self.sites
                .get(name)
                .map_or(Micros::MIN, |site| site.audited_at)
        };
        let (index, name) = pruned
            .iter()
            .enumerate()
            .min_by_key(|(_, name)| audited_at(name))?;
        self.budget -= 1.0;
        self.counts.audits += 1;
        self.sites.entry(name.clone()).or_default().audited_at = now;
        Some(index)
    }

    /// A site's word counts for nothing for now.
    pub fn is_suspected(&self, site: &str) -> bool {
        self.sites
            .get(site)
            .is_some_and(|site| site.answers_to_recover > 0)
    }

    /// Another front has found a site's word false: it loses credit here too, as much as for one that was
    /// found here first.
    pub fn reported_by_peer(&mut self, site: &str) {
        let site = self.sites.entry(site.to_string()).or_default();
        site.penalty = site.penalty.max(ANSWERS_TO_RECOVER);
        site.answers_to_recover = site.answers_to_recover.max(ANSWERS_TO_RECOVER);
    }

    /// A site that its summary rules out has answered with so many rows. `sure`: no load can have brought them.
    pub fn record_answer(&mut self, site: &str, rows: u64, load_free: bool) -> AuditResult {
        if rows > 0 && !load_free {
            return AuditResult::Inconclusive;
        }
        let site = self.sites.entry(site.to_string()).or_default();
        if rows > 0 {
            site.penalty = (site.penalty * 2).clamp(ANSWERS_TO_RECOVER, MAX_ANSWERS_TO_RECOVER);
            site.answers_to_recover = site.penalty;
            self.counts.found += 1;
            self.counts.rows += rows;
            return AuditResult::Refuted;
        }
        let remaining = site.answers_to_recover;
        site.answers_to_recover = remaining.saturating_sub(1);
        if remaining == 1 {
            AuditResult::Recovered
        } else {
            AuditResult::Confirmed
        }
    }
}
