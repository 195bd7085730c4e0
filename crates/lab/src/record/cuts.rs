//! Which fronts could reach each other: the partitions as injected, and the fronts that were
//! unavailable.

/// A span in which fronts reached only those of their own group.
#[derive(Clone, Debug, PartialEq)]
pub struct Partition {
    pub from: i64,
    pub to: i64,
    /// The group of each front.
    pub groups: Vec<usize>,
}

/// The connectivity of the fronts over a run.
#[derive(Clone, Debug, Default)]
pub struct Connectivity {
    pub fronts: usize,
    pub cuts: Vec<Partition>,
    /// Fronts that were stopped, killed or shutting down, and the span of each.
    pub unavailable: Vec<(usize, i64, i64)>,
    /// Spans in which messages between fronts were lost, delayed or duplicated, or a disk was
    /// faulty.
    pub disturbed: Vec<(i64, i64)>,
    /// Spans in which a front or the rig had no CPU for long.
    pub starved: Vec<(i64, i64)>,
}

impl Connectivity {
    /// Returns the smallest number of fronts, including itself, that `front` could reach at any
    /// time of a span.
    pub fn min_reachable(&self, front: usize, (from, to): (i64, i64)) -> usize {
        let heard = |at: i64| {
            let is_same_group = |groups: &[usize], n: usize| groups.get(n) == groups.get(front);
            let cuts: Vec<&Partition> = self
                .cuts
                .iter()
                .filter(|c| c.from <= at && at < c.to)
                .collect();
            let unavailable = |n: usize| {
                self.unavailable
                    .iter()
                    .any(|(f, from, to)| *f == n && *from <= at && at < *to)
            };
            (0..self.fronts)
                .filter(|n| {
                    !unavailable(*n) && cuts.iter().all(|cut| is_same_group(&cut.groups, *n))
                })
                .count()
        };
        let inside = |at: &i64| from <= *at && *at <= to;
        let starts = self
            .cuts
            .iter()
            .map(|c| c.from)
            .chain(self.unavailable.iter().map(|a| a.1))
            .filter(inside);
        starts
            .chain([from, to])
            .map(heard)
            .min()
            .unwrap_or(self.fronts)
    }

    /// Returns the largest number of fronts that it could reach.
    pub fn max_reachable(&self, front: usize, (from, to): (i64, i64)) -> usize {
        let ends = self
            .cuts
            .iter()
            .map(|c| c.to)
            .chain(self.unavailable.iter().map(|a| a.2));
        let inside = ends.filter(|at| from <= *at && *at <= to);
        inside
            .chain([from, to])
            .map(|at| self.min_reachable(front, (at, at)))
            .max()
            .unwrap_or(0)
    }

    /// Returns whether the front itself was unavailable or without a CPU in a span.
    pub fn is_impaired(&self, front: usize, (from, to): (i64, i64)) -> bool {
        let unavailable = self
            .unavailable
            .iter()
            .filter(|(unavailable_front, ..)| *unavailable_front == front)
            .map(|(_, f, t)| (*f, *t));
        unavailable
            .chain(self.starved.iter().copied())
            .any(|(f, t)| f <= to && from <= t)
    }

    /// Returns whether communication between fronts was disturbed in a span.
    pub fn is_disturbed(&self, (from, to): (i64, i64)) -> bool {
        let disturbed = self.disturbed.iter().chain(&self.starved);
        disturbed.into_iter().any(|(f, t)| *f <= to && from <= *t)
    }
}

#[cfg(test)]
#[path = "cuts_tests.rs"]
mod tests;
