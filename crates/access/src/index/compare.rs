//! Decides whether one rule set is more restrictive than another.

use super::Index;
use crate::known::KnownNames;
use crate::rule::{Attributes, Rule, RuleSet};
use crate::shares::Limit;

/// The number of kinds of statements compared; comparing this many takes about 100 ms.
const MAX_COMPARED_KINDS: usize = 200_000;

/// One kind of statements at one time.
struct Kind<'a> {
    attributes: Attributes<'a>,
    /// The time in Unix milliseconds.
    at_ms: u64,
}

/// What a rule set allows a kind of statements.
struct Permitted {
    /// The indices of the allowed locations, ascending.
    locations: Vec<u16>,
    limits: Vec<Limit>,
}

/// The kinds of statements that two rule sets distinguish: every combination of one value from each
/// list.
struct Kinds<'a> {
    /// The customers named in either set's rules, and an empty name for all others. `workloads` and
    /// `fronts` are built likewise.
    customers: Vec<&'a str>,
    workloads: Vec<&'a str>,
    fronts: Vec<&'a str>,
    /// The group at which each range starts, and the group after each range's end.
    groups: Vec<Option<u32>>,
    /// The time of the comparison and the later times at which a rule starts or ends, in Unix
    /// milliseconds.
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

    /// Returns the number of kinds; `None` if it exceeds the integer range.
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

    /// Returns all kinds at each of the times.
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
                first_evaluated_ms: None,
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
    /// Returns whether this set is more restrictive than an earlier one for some statement at any
    /// time from now on. The answer is exact if the two sets distinguish few kinds of statements;
    /// otherwise it is yes.
    pub fn tightens(&self, before: &Index, known: &KnownNames, now_ms: u64) -> bool {
        let kinds = Kinds::new([&self.set, &before.set], now_ms);
        if kinds.count().is_none_or(|count| count > MAX_COMPARED_KINDS) {
            return true;
        }
        // One more index stands for the locations that this front does not know.
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

    /// Returns the locations and limits for a kind of statements; `all_locations` replaces an
    /// unrestricted verdict.
    fn permitted(&self, kind: &Kind, all_locations: &[u16]) -> Permitted {
        let verdict = self.evaluate_group(&kind.attributes, kind.at_ms);
        let limits = self.limits(&verdict);
        let locations = match verdict.denied {
            Some(_) => Vec::new(),
            None => verdict.allowed.unwrap_or_else(|| all_locations.to_vec()),
        };
        Permitted { locations, limits }
    }
}
