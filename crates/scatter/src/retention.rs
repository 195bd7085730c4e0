//! Which summaries a front holds, and how fine: under a budget of memory and one of traffic, by what each has spared for its
//! bytes. What is learned fades, and is handed out and in as bytes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::layers::{Detail, ALL};
use crate::Micros;

const BENEFIT_HALF_LIFE: f64 = 3_600e6; // microseconds in which what was spared counts half: a day's turns are followed within hours
const MEMORY_BYTES_PER_BYTE: f64 = 2.0; // a byte is held as it came and as it is read
const FILTER_PRUNE_RATES: [f64; 2] = [0.845, 0.996]; // of what has no row and lies within the bounds, by a small and a full filter
const HELD_DETAIL_FACTOR: f64 = 1.25; // what is held counts so much more: a change costs its traffic again
const NEW_SUMMARY_BENEFIT: f64 = 0.5; // sites spared by what nothing is known of yet: it is tried, coarsely, where there is room
const DEFAULT_BYTES: [u32; 3] = [200, 1_200, 3_600]; // bytes, where no summary of that name was seen
const DEFAULT_VERSION_INTERVAL: f64 = 60e6; // microseconds between versions, until two were seen
const SAVED_STATE_FORMAT: u16 = 1;
const MAX_ENTRIES: usize = 65_536; // names that are known of

/// What may be held and taken in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Bytes of memory.
    pub memory: f64,
    /// Bytes a second of versions that come, in the mean.
    pub traffic: f64,
}

/// What a scatter has outcome of a site that has no row for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its bounds rule it out.
    ByBounds,
    /// Only its filter does.
    ByFilter,
    /// It was asked for nothing: its bounds did not rule it out, and an equality was asked for, so that a filter might have.
    MissedByBounds,
    /// It was asked for nothing though its filter was held.
    MissedByFilter,
    /// It was asked for nothing, and nothing of it was held.
    Unknown,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    /// Sites spared, or that could have been: by bounds, and by filters beyond them.
    bounds: f64,
    filter: f64,
    decayed_at: Micros,
    bytes: [u32; 3],
    version: u64,
    /// When that came, and how far interval versions come.
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

    /// Sites spared by a fineness, of which `hit` of the chances of a filter come true.
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

/// A step from one fineness of one summary to a finer one.
struct Upgrade {
    benefit_per_cost: f64,
    name: u64,
    from: Option<Detail>,
    to: Detail,
}

/// What is known of each summary's use, and the detail that each is to be held in.
pub struct Retention {
    budget: Budget,
    entries: BTreeMap<u64, Entry>,
    /// Of what bounds do not rule out: how often filters do, and how often they were there and did not.
    filter_hits: (f64, f64),
    /// Of sites that were asked for nothing: those that bounds rule out, and the others.
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
    /// Nothing is known yet.
    pub fn new(budget: Budget) -> Retention {
        Retention {
            budget,
            entries: BTreeMap::new(),
            filter_hits: (1.0, 0.0),
            bounds_share: (1.0, 1.0),
        }
    }

    /// What was learned in an earlier life. False: it is damaged, or of another format, and nothing is taken from it.
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
            // Nothing is held yet; a clock that went back fades nothing.
            (entry.detail, entry.version, entry.decayed_at) = (None, 0, entry.decayed_at.min(now));
            entry.arrived = now;
        }
        (self.entries, self.filter_hits, self.bounds_share) = (entries, filter_hits, bounds_share);
        true
    }

    /// What was learned, for [`Retention::restore`] after a restart.
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

    /// A version was taken in, of so many bytes up to the end of each fineness.
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

    /// What a scatter has outcome of a site without rows.
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
            // They halve as they grow: what was seen last counts most.
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

    /// How fine the summary of a name is to be held; None: not at all.
    pub fn wanted_detail(&self, name: u64) -> Option<Detail> {
        match self.entries.get(&name) {
            Some(entry) => entry.detail,
            // One that is new is looked at, coarsely.
            None => (self.entries.len() < MAX_ENTRIES).then_some(Detail::Bounds),
        }
    }

    /// Chooses anew what is held: by what each step spares for the part of the budget that it takes, the best first.
    pub fn choose(&mut self, now: Micros) {
        let hit_rate = self.filter_hits.0 / (self.filter_hits.0 + self.filter_hits.1).max(1.0);
        let Budget { memory, traffic } = self.budget;
        let budget_share =
            |(bytes, rate): (f64, f64)| bytes / memory.max(1.0) + rate / traffic.max(1.0);
        let mut steps = Vec::new();
        for (&name, entry) in &mut self.entries {
            entry.decay(now);
            let mut from = None;
            // Along the upper edge of what it spares over what it takes: always the steepest step next.
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

    /// Names that are known of.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known of any summary.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
