//! Whether one set of rules lets less through than another.

use super::Index;
use crate::known::KnownNames;
use crate::rule::{Attributes, Rule, RuleSet};
use crate::shares::Limit;

const MOST_COMPARED: usize = 200_000; // kinds of statements; some 100 ms

/// The kinds of statements that two sets tell apart: every combination of one value of each list.
struct Kinds<'a> {
    /// The names in either set's rules, and an empty one for all that no rule names; so are the next two.
    customers: Vec<&'a str>,
    workloads: Vec<&'a str>,
    fronts: Vec<&'a str>,
    /// Where a range of groups begins, or another has ended.
    groups: Vec<Option<u32>>,
    /// The moment looked at first, and those after it at which a rule begins or ends, in Unix milliseconds.
    times: Vec<u64>,
}

impl<'a> Kinds<'a> {
    fn new(sets: [&'a RuleSet; 2], now_ms: u64) -> Kinds<'a> {
        let rules = || sets.into_iter().flat_map(|set| &set.rules);
        let names = |field: fn(&Rule) -> Option<&String>| {
            sorted(rules().filter_map(field).map(String::as_str).chain([""]))
        };
        let ranges = rules().filter_map(|r| r.tables.as_ref());
        let edges = ranges
            .flat_map(|t| [Some(t.first), t.last.checked_add(1)])
            .flatten()
            .map(Some);
        let changes = rules().flat_map(|r| [r.from_ms, r.until_ms]);
        let later = changes.filter(|at| *at > now_ms && *at < u64::MAX);
        Kinds {
            customers: names(|r| r.customer.as_ref()),
            workloads: names(|r| r.workload.as_ref()),
            fronts: names(|r| r.front.as_ref()),
            groups: sorted(edges.chain([None, Some(0)])),
            times: sorted(later.chain([now_ms])),
        }
    }

    /// How many there are; `None`: more than a number holds.
    fn count(&self) -> Option<usize> {
        let lists = [
            self.customers.len(),
            self.workloads.len(),
            self.fronts.len(),
            self.groups.len(),
            self.times.len(),
        ];
        lists.iter().try_fold(1usize, |all, n| all.checked_mul(*n))
    }

    /// All of them, each with the time at which it is looked at.
    fn all(&self) -> impl Iterator<Item = (Attributes<'a>, u64)> + '_ {
        let who = self.customers.iter().flat_map(move |customer| {
            self.workloads.iter().flat_map(move |workload| {
                self.fronts
                    .iter()
                    .map(move |front| (*customer, *workload, *front))
            })
        });
        who.flat_map(move |(customer, workload, front)| {
            self.groups.iter().flat_map(move |group| {
                let kind = Attributes {
                    customer,
                    workload,
                    group: *group,
                    tables_known: false,
                    front,
                    first_judged_ms: None,
                };
                self.times.iter().map(move |at| (kind, *at))
            })
        })
    }
}

fn sorted<T: Ord>(values: impl Iterator<Item = T>) -> Vec<T> {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    values.dedup();
    values
}

impl Index {
    /// Whether, for some statement, this set lets less through than an earlier one at any time from now on. Exact where
    /// the kinds of statements that the two tell apart are few; beyond that it says yes.
    pub fn tightens(&self, before: &Index, known: &KnownNames, now_ms: u64) -> bool {
        let kinds = Kinds::new([&self.set, &before.set], now_ms);
        if kinds.count().is_none_or(|count| count > MOST_COMPARED) {
            return true;
        }
        // One place more stands for those that are not known here.
        let all: Vec<u16> = (0..=known.locations.len() as u16).collect();
        let mut kinds = kinds.all();
        kinds.any(|(kind, at)| {
            let (new, limits) = self.permitted(&kind, at, &all);
            let (old, limits_before) = before.permitted(&kind, at, &all);
            let limited = limits.iter().any(|limit| !limits_before.contains(limit));
            limited || old.iter().any(|place| new.binary_search(place).is_err())
        })
    }

    /// Where statements of a kind may be read, of all places, and within which limits.
    fn permitted(&self, kind: &Attributes, at: u64, all: &[u16]) -> (Vec<u16>, Vec<Limit>) {
        let verdict = self.judge_one(kind, at);
        let limits = self.limits(&verdict);
        let allowed = match verdict.denied {
            Some(_) => Vec::new(),
            None => verdict.allowed.unwrap_or_else(|| all.to_vec()),
        };
        (allowed, limits)
    }
}
