//! Who could hear whom: the cuts between fronts as they were played, and the fronts that were unavailable.

/// A span in which fronts heard only those of their own group.
#[derive(Clone, Debug, PartialEq)]
pub struct Partition {
    pub from: i64,
    pub to: i64,
    /// The group of each front.
    pub groups: Vec<usize>,
}

/// What a run knows of its fronts' connectivity to each other.
#[derive(Clone, Debug, Default)]
pub struct Connectivity {
    pub fronts: usize,
    pub cuts: Vec<Partition>,
    /// Fronts that were stopped, killed or ending, and when.
    pub unavailable: Vec<(usize, i64, i64)>,
    /// Spans in which words between fronts were lost, slowed or doubled, or a disk was in trouble.
    pub disturbed: Vec<(i64, i64)>,
    /// Spans in which a front, or the rig, had no CPU for long.
    pub starved: Vec<(i64, i64)>,
}

impl Connectivity {
    /// The fewest fronts that `front` heard, itself among them, at any moment of a span.
    pub fn min_reachable(&self, front: usize, (from, to): (i64, i64)) -> usize {
        let heard = |at: i64| {
            let own = |groups: &[usize], n: usize| groups.get(n) == groups.get(front);
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
                .filter(|n| !unavailable(*n) && cuts.iter().all(|cut| own(&cut.groups, *n)))
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

    /// The most that it heard.
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

    /// Whether a front was itself away or without a CPU in a span.
    pub fn is_impaired(&self, front: usize, (from, to): (i64, i64)) -> bool {
        let unavailable = self
            .unavailable
            .iter()
            .filter(|(own, ..)| *own == front)
            .map(|(_, f, t)| (*f, *t));
        unavailable
            .chain(self.starved.iter().copied())
            .any(|(f, t)| f <= to && from <= t)
    }

    /// Whether anything between fronts was disturbed in a span.
    pub fn is_disturbed(&self, (from, to): (i64, i64)) -> bool {
        let disturbed = self.disturbed.iter().chain(&self.starved);
        disturbed.into_iter().any(|(f, t)| *f <= to && from <= *t)
    }
}

#[cfg(test)]
#[path = "cuts_tests.rs"]
mod tests;
