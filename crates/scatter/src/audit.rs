//! Audits of sites whose summaries may be wrong. From time to time a scatter asks a site although
//! the site's summary rules it out. A site that has matching rows nevertheless is suspected and is
//! asked by every scatter until enough of its answers agree with its summaries.

use std::collections::BTreeMap;

use crate::Micros;

// Consecutive answers that agree with the site's summaries, after it was refuted once.
const ANSWERS_TO_RECOVER: u32 = 20;
// Upper bound: the number doubles each time the site is refuted again.
const MAX_ANSWERS_TO_RECOVER: u32 = 640;
// Audits that a front may accumulate.
const MAX_AUDIT_BUDGET: f64 = 1.0;

/// How many audits are made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AuditSettings {
    /// One scatter out of this many is audited.
    pub one_in: u64,
    /// Audits per second, for all fronts together.
    pub per_second: f64,
}

#[derive(Clone, Debug, Default)]
struct Site {
    /// When the site was last audited.
    audited_at: Micros,
    /// Answers that must still agree before the site's summaries count again; 0 if they count.
    answers_to_recover: u32,
    /// The number of answers last required; it doubles when the site is refuted again.
    penalty: u32,
}

/// What the answer of a site that its summary ruled out shows about the summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuditResult {
    /// The site has no rows, as its summary says.
    Confirmed,
    /// The site has no rows, and its summaries count again from now on.
    Recovered,
    /// The summary is wrong: the site is suspected.
    Refuted,
    /// The site has rows, but a load may have added them after the summary.
    Inconclusive,
}

/// Totals of the audits since the front started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AuditCounts {
    /// Sites asked although their summaries ruled them out.
    pub audits: u64,
    /// Answers that refuted a summary.
    pub found: u64,
    /// Rows in those answers.
    pub rows: u64,
}

/// The audits of one front: when an audit is due, and which sites are suspected.
pub struct Audits {
    settings: AuditSettings,
    /// The audits that may be made as of `refilled_at`; grows with the configured rate.
    budget: f64,
    refilled_at: Option<Micros>,
    sites: BTreeMap<String, Site>,
    /// Totals of the audits; the caller reads them for its log and counters.
    pub counts: AuditCounts,
}

impl Audits {
    /// Creates a state in which no site is suspected and one audit may be made at once.
    pub fn new(settings: AuditSettings) -> Audits {
        Audits {
            settings,
            budget: MAX_AUDIT_BUDGET,
            refilled_at: None,
            sites: BTreeMap::new(),
            counts: AuditCounts::default(),
        }
    }

    /// Changes the settings; the state of the sites is kept.
    pub fn reconfigure(&mut self, settings: AuditSettings) {
        self.settings = settings;
    }

    /// Chooses which of the sites that a scatter leaves out (`pruned`) is audited: the one whose
    /// last audit is longest ago. Returns its index, or None if no audit is due. `random` is a
    /// random number; `fronts` is the number of fronts that share the fleet's rate.
    pub fn choose_site(
        &mut self,
        now: Micros,
        random: u64,
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
        if !random.is_multiple_of(self.settings.one_in.max(1)) || self.budget < 1.0 {
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

    /// Whether the site's summaries do not count at present.
    pub fn is_suspected(&self, site: &str) -> bool {
        self.sites
            .get(site)
            .is_some_and(|site| site.answers_to_recover > 0)
    }

    /// Records that another front has refuted a site's summary. The site must recover here too, by
    /// as many answers as if this front had refuted it for the first time.
    pub fn reported_by_peer(&mut self, site: &str) {
        let site = self.sites.entry(site.to_string()).or_default();
        site.penalty = site.penalty.max(ANSWERS_TO_RECOVER);
        site.answers_to_recover = site.answers_to_recover.max(ANSWERS_TO_RECOVER);
    }

    /// Records the number of rows in the answer of a site that its summary rules out. `load_free`
    /// means that no load can have added the rows.
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
