//! How long the harness or the front waited for a CPU. An answer may be later by as much, as
//! neither could prevent it.

const MAX_WAIT_US: i64 = 1_000_000; // beyond this an answer is late, however busy the machine was

/// Samples of the accumulated waiting time; all times are in microseconds.
#[derive(Clone, Debug, Default)]
pub struct ProcessorWaits {
    /// Time of the sample, and how long the harness and the front had waited by then.
    pub samples: Vec<(i64, i64)>,
}

impl ProcessorWaits {
    /// Returns an upper bound of the waiting between two times: from the last sample before the
    /// first to the first sample after the second, at most `MAX_WAIT_US`.
    pub fn between(&self, from: i64, to: i64) -> i64 {
        let before = self
            .samples
            .partition_point(|(at, _)| *at <= from)
            .saturating_sub(1);
        let after = self.samples.partition_point(|(at, _)| *at < to);
        let at = |n: usize| {
            self.samples
                .get(n)
                .or(self.samples.last())
                .map_or(0, |(_, waited)| *waited)
        };
        (at(after) - at(before)).clamp(0, MAX_WAIT_US)
    }
}

#[cfg(test)]
#[path = "waits_tests.rs"]
mod tests;
