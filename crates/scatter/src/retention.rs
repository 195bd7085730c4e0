//! Decides which summaries a front holds and in which detail, within a budget of memory and one of
//! traffic, by the number of sites that each summary has ruled out per byte. The observations
//! decay, and can be saved and restored as bytes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::layers::{Detail, ALL};
use crate::Micros;

// Microseconds. The daily pattern of a load is followed within hours.
const BENEFIT_HALF_LIFE: f64 = 3_600e6;
// A summary is held both encoded and decoded.
const MEMORY_BYTES_PER_BYTE: f64 = 2.0;
// The fraction of sites without matching rows, within the bounds, that a small and a full filter
// rule out.
const FILTER_PRUNE_RATES: [f64; 2] = [0.845, 0.996];
// The weight of detail already held, since a change costs its traffic again.
const HELD_DETAIL_FACTOR: f64 = 1.25;
// Benefit assumed for a summary about which nothing is known yet, so that its bounds are held where
// there is room.
const NEW_SUMMARY_BENEFIT: f64 = 0.5;
// Bytes up to the end of each level of detail, for a summary not seen yet.
const DEFAULT_BYTES: [u32; 3] = [200, 1_200, 3_600];
// Microseconds between versions, until two versions were seen.
const DEFAULT_VERSION_INTERVAL: f64 = 60e6;
const SAVED_STATE_FORMAT: u16 = 1;
// Summaries about which observations are kept.
const MAX_ENTRIES: usize = 65_536;

/// The limits on what is held and received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Bytes of memory.
    pub memory: f64,
    /// Average bytes per second of the versions received.
    pub traffic: f64,
}

/// What a scatter shows about the summary of a site that has no matching row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The summary's bounds rule the site out.
    ByBounds,
    /// Only the summary's filter rules the site out.
    ByFilter,
    /// The site was asked in vain: its bounds did not rule it out, and the condition contains an
    /// equality that a filter might have ruled out.
    MissedByBounds,
    /// The site was asked in vain although its filter was held.
    MissedByFilter,
    /// The site was asked in vain, and no summary of it was held.
    Unknown,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    /// Decayed numbers of scatters for which the site was or could have been ruled out: by the
    /// bounds, and by the filters only.
    bounds: f64,
    filter: f64,
    decayed_at: Micros,
    bytes: [u32; 3],
    version: u64,
    /// When that version arrived, and the average interval between versions.
    arrived: Micros,
    interval: f64,
    detail: Option<Detail>,
}

impl Entry {
    fn new(now: Micros) -> Entry {
        let bytes = DEFAULT_BYTES;
        Entry {
            bounds: NEW_SUMMARY_BENEFIT,
            filter: 0.0,
            decayed_at: now,
            bytes,
            version: 0,
            arrived: now,
            interval: DEFAULT_VERSION_INTERVAL,
            detail: Some(Detail::Bounds),
        }
    }

    fn decay(&mut self, now: Micros) {
        let factor = 0.5_f64.powf((now - self.decayed_at).max(0) as f64 / BENEFIT_HALF_LIFE);
        (self.bounds, self.filter, self.decayed_at) =
            (self.bounds * factor, self.filter * factor, now);
    }

    /// The expected number of sites ruled out with this detail; `hit_rate` is the fraction of the
    /// possible cases in which a filter rules a site out.
    fn benefit(&self, detail: Option<Detail>, hit_rate: f64) -> f64 {
        match detail {
            None => 0.0,
            Some(Detail::Bounds) => self.bounds,
            Some(Detail::Small) => self.bounds + self.filter * hit_rate * FILTER_PRUNE_RATES[0],
            Some(Detail::Full) => self.bounds + self.filter * hit_rate * FILTER_PRUNE_RATES[1],
        }
    }

    fn cost(&self, detail: Option<Detail>) -> (f64, f64) {
        let bytes = detail
            .and_then(|f| self.bytes.get(f as usize))
            .copied()
            .unwrap_or(0);
        (
            f64::from(bytes) * MEMORY_BYTES_PER_BYTE,
            f64::from(bytes) / (self.interval / 1e6).max(1.0),
        )
    }
}

/// A step of one summary from one level of detail to a finer one.
struct Upgrade {
    benefit_per_cost: f64,
    name: u64,
    from: Option<Detail>,
    to: Detail,
}

/// The observed use of each summary, and the detail in which each is to be held.
pub struct Retention {
    budget: Budget,
    entries: BTreeMap<u64, Entry>,
    /// Of the sites that bounds did not rule out, how many filters ruled out, and how many they did
    /// not although they were held.
    filter_hits: (f64, f64),
    /// Of the sites ruled out, how many the bounds ruled out, and how many only the filters.
    bounds_share: (f64, f64),
}

#[derive(Serialize, Deserialize)]
struct SavedState {
    format: u16,
    entries: BTreeMap<u64, Entry>,
    filter_hits: (f64, f64),
    bounds_share: (f64, f64),
}

impl Retention {
    /// Creates a state without observations.
    pub fn new(budget: Budget) -> Retention {
        Retention {
            budget,
            entries: BTreeMap::new(),
            filter_hits: (1.0, 0.0),
            bounds_share: (1.0, 1.0),
        }
    }

    /// Restores the observations of an earlier incarnation of the front. Returns false and changes
    /// nothing if they are damaged or of another format.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> bool {
        let Ok((
            SavedState {
                format: SAVED_STATE_FORMAT,
                mut entries,
                filter_hits,
                bounds_share,
            },
            [],
        )) = postcard::take_from_bytes::<SavedState>(bytes)
        else {
            return false;
        };
        let is_valid_sum = |x: f64| x.is_finite() && x >= 0.0;
        let is_valid_entry = |entry: &Entry| {
            is_valid_sum(entry.bounds) && is_valid_sum(entry.filter) && entry.interval >= 1.0
        };
        let sums = [filter_hits.0, filter_hits.1, bounds_share.0, bounds_share.1];
        if entries.len() > MAX_ENTRIES
            || !entries.values().all(is_valid_entry)
            || !sums.into_iter().all(is_valid_sum)
        {
            return false;
        }
        for entry in entries.values_mut() {
            // Nothing is held yet. A clock that was set back must not cause decay.
            (entry.detail, entry.version, entry.decayed_at) = (None, 0, entry.decayed_at.min(now));
            entry.arrived = now;
        }
        (self.entries, self.filter_hits, self.bounds_share) = (entries, filter_hits, bounds_share);
        true
    }

    /// Encodes the observations for [`Retention::restore`] after a restart.
    pub fn to_bytes(&self) -> Vec<u8> {
        let (entries, filter_hits, bounds_share) =
            (self.entries.clone(), self.filter_hits, self.bounds_share);
        postcard::to_stdvec(&SavedState {
            format: SAVED_STATE_FORMAT,
            entries,
            filter_hits,
            bounds_share,
        })
        .unwrap_or_default()
    }

    /// Changes the budget; it takes effect with the next [`Retention::choose`].
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    fn entry(&mut self, now: Micros, name: u64) -> Option<&mut Entry> {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&name) {
            return None;
        }
        Some(self.entries.entry(name).or_insert_with(|| Entry::new(now)))
    }

    /// Records a version that was received, with its bytes up to the end of each level of detail.
    pub fn version_arrived(&mut self, now: Micros, name: u64, version: u64, bytes: [usize; 3]) {
        let Some(entry) = self.entry(now, name) else {
            return;
        };
        if version > entry.version && entry.version > 0 {
            entry.interval =
                (entry.interval * 0.75 + (now - entry.arrived).max(0) as f64 * 0.25).max(1e6);
        }
        if version > entry.version {
            (entry.version, entry.arrived) = (version, now);
        }
        entry.bytes = bytes.map(|bytes| bytes as u32);
    }

    /// Records what a scatter showed about a site without matching rows.
    pub fn record(&mut self, now: Micros, name: u64, outcome: Outcome) {
        let by_bounds = self.bounds_share.0 / (self.bounds_share.0 + self.bounds_share.1).max(1.0);
        let Some(entry) = self.entry(now, name) else {
            return;
        };
        entry.decay(now);
        let (bounds, filter) = match outcome {
            Outcome::ByBounds => (1.0, 0.0),
            Outcome::ByFilter | Outcome::MissedByBounds => (0.0, 1.0),
            Outcome::MissedByFilter => (0.0, 0.0),
            Outcome::Unknown => (by_bounds, 1.0 - by_bounds),
        };
        (entry.bounds, entry.filter) = (entry.bounds + bounds, entry.filter + filter);
        let add_sample = |sum: &mut (f64, f64), first: bool| {
            // Halving the sums as they grow gives recent observations more weight.
            if sum.0 + sum.1 > 2_000.0 {
                *sum = (sum.0 / 2.0, sum.1 / 2.0);
            }
            if first {
                sum.0 += 1.0;
            } else {
                sum.1 += 1.0;
            }
        };
        match outcome {
            Outcome::ByBounds => add_sample(&mut self.bounds_share, true),
            Outcome::ByFilter => {
                add_sample(&mut self.bounds_share, false);
                add_sample(&mut self.filter_hits, true);
            }
            Outcome::MissedByFilter => add_sample(&mut self.filter_hits, false),
            Outcome::MissedByBounds | Outcome::Unknown => {}
        }
    }

    /// The detail in which a summary is to be held; None if not at all.
    pub fn wanted_detail(&self, name: u64) -> Option<Detail> {
        match self.entries.get(&name) {
            Some(entry) => entry.detail,
            // An unknown summary is held with its bounds only.
            None => (self.entries.len() < MAX_ENTRIES).then_some(Detail::Bounds),
        }
    }

    /// Chooses again what is held, by the benefit of each step per share of the budget, in
    /// descending order.
    pub fn choose(&mut self, now: Micros) {
        let hit_rate = self.filter_hits.0 / (self.filter_hits.0 + self.filter_hits.1).max(1.0);
        let Budget { memory, traffic } = self.budget;
        let budget_share =
            |(bytes, rate): (f64, f64)| bytes / memory.max(1.0) + rate / traffic.max(1.0);
        let mut steps = Vec::new();
        for (&name, entry) in &mut self.entries {
            entry.decay(now);
            let mut from = None;
            // Always takes the step with the highest benefit per cost next, which follows the
            // convex hull of benefit over cost.
            while from < Some(Detail::Full) {
                let benefit_per_cost_to = |to: Detail| {
                    let gain = entry.benefit(Some(to), hit_rate) - entry.benefit(from, hit_rate);
                    gain / (budget_share(entry.cost(Some(to))) - budget_share(entry.cost(from)))
                        .max(1e-9)
                };
                let finer = ALL.into_iter().filter(|to| Some(*to) > from);
                let Some(to) = finer
                    .max_by(|a, b| benefit_per_cost_to(*a).total_cmp(&benefit_per_cost_to(*b)))
                else {
                    break;
                };
                let held_factor = if Some(to) <= entry.detail {
                    HELD_DETAIL_FACTOR
                } else {
                    1.0
                };
                steps.push(Upgrade {
                    benefit_per_cost: benefit_per_cost_to(to) * held_factor,
                    name,
                    from,
                    to,
                });
                from = Some(to);
            }
            entry.detail = None;
        }
        steps.sort_by(|a, b| {
            b.benefit_per_cost
                .total_cmp(&a.benefit_per_cost)
                .then(a.name.cmp(&b.name))
                .then(a.from.cmp(&b.from))
        });
        let mut left = (memory, traffic);
        for step in steps {
            let Some(entry) = self
                .entries
                .get_mut(&step.name)
                .filter(|entry| entry.detail == step.from)
            else {
                continue;
            };
            let (before, after) = (entry.cost(step.from), entry.cost(Some(step.to)));
            let remaining = (left.0 + before.0 - after.0, left.1 + before.1 - after.1);
            if step.benefit_per_cost > 0.0 && remaining.0 >= 0.0 && remaining.1 >= 0.0 {
                (entry.detail, left) = (Some(step.to), remaining);
            }
        }
    }

    /// The number of summaries with observations.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
