//! How long the machine let the harness or the front wait for a processor: an answer may be later by as much, as
//! neither could do anything about it.

const MAX_WAIT_US: i64 = 1_000_000; // microseconds: beyond them an answer is late, whatever the machine did

/// Waiting so far, by the time it was looked at; all in microseconds.
#[derive(Clone, Debug, Default)]
pub struct ProcessorWaits {
    /// When, and how long the harness and the front had waited by then.
    pub samples: Vec<(i64, i64)>,
}

impl ProcessorWaits {
    /// How long at most somebody waited between two moments: from the last look before to the first one after.
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
