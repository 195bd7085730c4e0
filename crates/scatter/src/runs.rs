//! The ranges that contain the values of a column of numbers, with no value between them. They rule
//! out what the bounds can't once a few values lie far from the others.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The maximum number of runs of a column, which take some 1,500 bytes.
pub const MAX_RUNS: usize = 256;
// For layered summaries, whose signed part all fronts hold.
pub(crate) const MAX_LAYERED_RUNS: usize = 64;
// While rows are added.
const MAX_BUILDER_RUNS: usize = 4_096;

/// The first and the last value of each run, in ascending order.
pub type Runs = Vec<(i128, i128)>;

/// The encoded form of runs: the first value, then for each run its distance from the end of the
/// previous one, and its length.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EncodedRuns {
    first: i128,
    steps: Vec<(u128, u128)>,
}

impl EncodedRuns {
    /// Encodes runs; None if there are none.
    pub fn of(runs: &[(i128, i128)]) -> Option<EncodedRuns> {
        let first = runs.first()?.0;
        let mut end = first;
        let step = |(from, to): &(i128, i128)| {
            let step = (from.abs_diff(end), to.abs_diff(*from));
            end = *to;
            step
        };
        Some(EncodedRuns {
            first,
            steps: runs.iter().map(step).collect(),
        })
    }

    /// Decodes the runs; None if they are invalid.
    pub fn runs(&self) -> Option<Runs> {
        let (mut end, mut runs) = (self.first, Runs::new());
        for (at, (gap, length)) in self.steps.iter().enumerate() {
            let from = end
                .checked_add_unsigned(*gap)
                .filter(|_| at == 0 || *gap > 0)?;
            end = from.checked_add_unsigned(*length)?;
            runs.push((from, end));
        }
        (runs.len() <= MAX_RUNS).then_some(runs)
    }
}

/// Whether a run intersects the range from `low` to `high`, both included.
pub fn overlaps(runs: &[(i128, i128)], low: i128, high: i128) -> bool {
    let at = runs.partition_point(|(_, end)| *end < low);
    runs.get(at).is_some_and(|(from, _)| *from <= high)
}

/// Merges the runs with the smallest gaps between them until at most `max_runs` are left.
pub fn merge_closest(runs: Runs, max_runs: usize) -> Runs {
    if runs.len() <= max_runs.max(1) {
        return runs;
    }
    let gap_before = |at: usize| runs[at].0.abs_diff(runs[at - 1].1);
    let mut order: Vec<usize> = (1..runs.len()).collect();
    order.sort_by_key(|at| (std::cmp::Reverse(gap_before(*at)), *at));
    order.truncate(max_runs.max(1) - 1);
    order.sort_unstable();
    let begins = std::iter::once(0).chain(order.iter().copied());
    let ends = order.iter().copied().chain([runs.len()]);
    begins
        .zip(ends)
        .map(|(from, to)| (runs[from].0, runs[to - 1].1))
        .collect()
}

/// Collects runs from values in any order.
#[derive(Default)]
pub(crate) struct RunsBuilder(BTreeMap<i128, i128>);

impl RunsBuilder {
    /// Adds a value.
    pub fn add_value(&mut self, value: i128) {
        let before = self
            .0
            .range(..=value)
            .next_back()
            .map(|(from, end)| (*from, *end));
        if before.is_some_and(|(_, end)| value <= end) {
            return;
        }
        // A value adjacent to a run extends it, as there is no value between them.
        let from = match before {
            Some((from, end)) if end.checked_add(1) == Some(value) => from,
            _ => value,
        };
        let end = value
            .checked_add(1)
            .and_then(|next| self.0.remove(&next))
            .unwrap_or(value);
        self.0.insert(from, end);
        if self.0.len() > MAX_BUILDER_RUNS {
            let all = std::mem::take(&mut self.0).into_iter().collect();
            self.0 = merge_closest(all, MAX_BUILDER_RUNS / 2)
                .into_iter()
                .collect();
        }
    }

    /// The runs, merged if there are more than [`MAX_RUNS`].
    pub fn runs(self) -> Runs {
        merge_closest(self.0.into_iter().collect(), MAX_RUNS)
    }
}

#[cfg(test)]
#[path = "runs_tests.rs"]
mod tests;
