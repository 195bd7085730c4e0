//! Whether one set of rules lets less through than another.

use super::Index;
use crate::known::KnownNames;
use crate::rule::{Attributes, Rule, RuleSet};
use crate::shares::Limit;

/// Kinds of statements that are compared; it takes some 100 ms.
const MAX_COMPARED_KINDS: usize = 200_000;

/// One kind of statements at one time.
struct Kind<'a> {
    attributes: Attributes<'a>,
    /// Unix milliseconds.
    at_ms: u64,
}

/// What a set permits to a kind of statements.
struct Permitted {
    /// Where they may be read, ascending.
    locations: Vec<u16>,
    limits: Vec<Limit>,
}

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
        let boundaries = rules().flat_map(|r| [r.from_ms, r.until_ms]);
        let later = boundaries.filter(|at| *at > now_ms && *at < u64::MAX);
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

    /// All of them, at each time that is looked at.
    fn all(&self) -> impl Iterator<Item = Kind<'a>> + '_ {
        let customers = self.customers.iter();
        customers.flat_map(move |customer| {
            let workloads = self.workloads.iter();
            workloads.flat_map(move |workload| {
                let fronts = self.fronts.iter();
                fronts.flat_map(move |front| self.kinds_for_front(customer, workload, front))
            })
        })
    }

    fn kinds_for_front(
        &self,
        customer: &'a str,
        workload: &'a str,
        front: &'a str,
    ) -> impl Iterator<Item = Kind<'a>> + '_ {
        self.groups.iter().flat_map(move |group| {
            let attributes = Attributes {
                customer,
                workload,
                group: *group,
                tables_known: false,
                front,
                first_judged_ms: None,
            };
            let times = self.times.iter();
            times.map(move |at_ms| Kind {
                attributes,
                at_ms: *at_ms,
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
        if kinds.count().is_none_or(|count| count > MAX_COMPARED_KINDS) {
            return true;
        }
        // One place more stands for those that are not known here.
        let all_locations: Vec<u16> = (0..=known.locations.len() as u16).collect();
        let tightens = |kind: Kind| {
            let new = self.permitted(&kind, &all_locations);
            let old = before.permitted(&kind, &all_locations);
            let is_limited = new.limits.iter().any(|limit| !old.limits.contains(limit));
            let mut locations = old.locations.iter();
            is_limited || locations.any(|location| new.locations.binary_search(location).is_err())
        };
        let mut kinds = kinds.all();
        kinds.any(tightens)
    }

    /// Where statements of a kind may be read, of all places, and within which limits.
    fn permitted(&self, kind: &Kind, all_locations: &[u16]) -> Permitted {
        let verdict = self.judge_group(&kind.attributes, kind.at_ms);
        let limits = self.limits(&verdict);
        let locations = match verdict.denied {
            Some(_) => Vec::new(),
            None => verdict.allowed.unwrap_or_else(|| all_locations.to_vec()),
        };
        Permitted { locations, limits }
    }
}
