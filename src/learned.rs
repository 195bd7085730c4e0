//! What is learned of workloads, as plain figures: nothing is decided here.

use crate::interface::*;
use crate::state::positive_or;

/// Least weight of the newest sample in a learned mean.
pub const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// A learned mean and the number of its samples.
#[derive(Default, Clone, Copy)]
pub struct Mean {
    pub value: f64,
    pub samples: f64,
}

impl Mean {
    /// Takes a sample; the weight of the newest is its share of all, but not under the least given.
    pub fn take(&mut self, least: f64, sample: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * least.max(1.0 / self.samples);
    }

    /// The same; a sample of 0 is not known and is not taken.
    pub fn take_known(&mut self, least: f64, sample: f64) {
        if sample > 0.0 {
            self.take(least, sample);
        }
    }

    /// The same for ratios, as a geometric mean.
    pub fn take_ratio(&mut self, least: f64, sample: f64) {
        let (sample, value) = (sample.max(1e-6), positive_or(self.value, 1.0));
        self.samples += 1.0;
        self.value = value * (sample / value).powf(least.max(1.0 / self.samples));
    }
}

/// What has been learned of a workload.
#[derive(Default, Clone)]
pub struct Learned {
    pub work: Mean,        // mean microseconds on one thread
    pub run: Mean,         // mean microseconds from execution to answer
    pub pace: Mean, // run time over the estimate's share for each thread, or over one second; geometric mean
    pub memory_bias: Mean, // true need over its estimate
    pub shed: f64,  // statements shed whose clients may ask again
    pub beyond: Mean, // share of its statements that are beyond their customers' shares
    pub first_try: Micros, // the most time that a statement had left on arrival: what a first try gets
}

impl Learned {
    /// Work of a usual statement: as estimates tell, else as its runs do, which are no shorter; before any
    /// has run, as long as one may run to be in time.
    pub fn usual_work(&self, threads: f64, in_time: Micros) -> f64 {
        positive_or(
            self.work.value,
            positive_or(self.run.value, in_time as f64) * threads,
        )
    }

    /// An execution was answered after so long, against the estimate's time; `had_enough` moves the need of
    /// memory.
    pub fn completed(&mut self, least: f64, (took, estimate): (f64, f64), had_enough: f64) {
        self.run.take(least, took);
        self.pace.take_ratio(least, took / estimate);
        self.memory_bias.value *= had_enough;
    }
}
