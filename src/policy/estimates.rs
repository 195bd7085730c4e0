//! Learned estimates of a statement's run time, work and memory.
//!
//! Inputs: the site's estimates and the results of attempts. Work is in microseconds on one
//! thread, run times in microseconds, memory in megabytes.
//!
//! The site's estimates are inaccurate or missing. Answers, reported spills and mean run times
//! correct them.
//!
//! Source: our extension, `docs/design.md`, "learning".

use crate::interface::SECOND;
use crate::load::Load;
use crate::random::positive_or;

/// Minimum weight of the newest sample in a learned mean.
pub const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Number of samples that the assumption of unbiased memory estimates counts for.
const ESTIMATE_PRIOR_SAMPLES: f64 = 4.0;
/// Factor on the learned memory need per answer without a spill, as answers do not tell how much
/// memory was left over.
const MEMORY_BIAS_DECAY_PER_ANSWER: f64 = 0.99;
/// Granted memory as a multiple of the expected need, equal to the factor that engines apply.
const MEMORY_GRANT_FACTOR: f64 = 1.25;
/// Minimum ratio that a geometric mean accepts.
const MIN_RATIO: f64 = 1e-6;

/// A learned mean with the number of its samples.
#[derive(Default, Clone, Copy)]
pub struct Mean {
    value: f64,
    samples: f64,
}

impl Mean {
    /// The mean; 0 before the first sample.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Adds a sample. Its weight is one over the number of samples, but at least
    /// `MIN_SAMPLE_WEIGHT`.
    pub fn add(&mut self, sample: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * MIN_SAMPLE_WEIGHT.max(1.0 / self.samples);
    }

    /// Adds a sample unless it is 0, which means unknown.
    fn add_known(&mut self, sample: f64) {
        if sample > 0.0 {
            self.add(sample);
        }
    }

    /// Adds a ratio to a geometric mean, with the same weights.
    fn add_ratio(&mut self, sample: f64) {
        let (sample, value) = (sample.max(MIN_RATIO), positive_or(self.value, 1.0));
        self.samples += 1.0;
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / self.samples);
        self.value = value * (sample / value).powf(weight);
    }
}

/// The run time that a work estimate gives, in microseconds; one second if there is no estimate.
pub fn estimated_run(work: f64, threads: f64) -> f64 {
    positive_or(work / threads, SECOND as f64)
}

/// An answered attempt.
pub struct AnsweredRun {
    /// The run time, in microseconds.
    pub took: f64,
    /// The run time that its estimate gave, in microseconds.
    pub estimated: f64,
    /// Whether the attempt spilled for lack of memory.
    pub spilled: bool,
}

#[derive(Clone)]
struct WorkloadEstimates {
    /// Mean work of a statement.
    work: Mean,
    /// Mean run time of an attempt.
    run: Mean,
    /// Run time divided by the estimated run time, as a geometric mean.
    run_ratio: Mean,
    /// Actual memory need divided by its estimate.
    memory_bias: Mean,
}

/// The learned estimates of each workload and the typical load of any statement.
#[derive(Default)]
pub struct Estimates {
    workloads: Vec<WorkloadEstimates>,
    /// The typical load of a running statement.
    typical: Load,
}

impl Estimates {
    /// Creates estimates before any answer.
    pub fn new(workloads: usize) -> Self {
        let initial = WorkloadEstimates {
            work: Mean::default(),
            run: Mean::default(),
            run_ratio: Mean::default(),
            memory_bias: Mean {
                value: 1.0,
                samples: ESTIMATE_PRIOR_SAMPLES,
            },
        };
        Estimates {
            workloads: vec![initial; workloads],
            typical: Load {
                threads: 1.0,
                memory: 0.0,
            },
        }
    }

    /// The typical load of a running statement.
    pub fn typical_load(&self) -> Load {
        self.typical
    }

    /// The mean work of a workload's statements; 0 before any estimate.
    pub fn mean_work(&self, workload: usize) -> f64 {
        self.workloads[workload].work.value
    }

    /// The mean run time of a workload's attempts, in microseconds; 0 before the first answer.
    pub fn mean_run(&self, workload: usize) -> f64 {
        self.workloads[workload].run.value
    }

    /// The longest mean run time of all workloads, in microseconds.
    pub fn longest_mean_run(&self) -> f64 {
        let runs = self.workloads.iter().map(|learned| learned.run.value);
        runs.fold(0.0, f64::max)
    }

    /// The work of a statement: its estimate or, without one, the workload's mean.
    pub fn expected_work(&self, workload: usize, estimate: f64) -> f64 {
        positive_or(estimate, self.workloads[workload].work.value)
    }

    /// The expected run time of a statement, from its estimated one; 0 before the first answer of
    /// its workload.
    pub fn expected_run(&self, workload: usize, estimated: f64) -> f64 {
        self.workloads[workload].run_ratio.value * estimated
    }

    /// The typical work of a workload's statement: the mean of the estimates or, without
    /// estimates, the mean run time times the threads, which is no less. Before the first answer
    /// the SLO time stands in for the run time.
    pub fn typical_work(&self, workload: usize, threads: f64, slo: f64) -> f64 {
        let learned = &self.workloads[workload];
        positive_or(
            learned.work.value,
            positive_or(learned.run.value, slo) * threads,
        )
    }

    /// The memory that a statement needs, in MB, from its estimate.
    pub fn memory_need(&self, workload: usize, estimate_mb: f64) -> f64 {
        estimate_mb * self.workloads[workload].memory_bias.value
    }

    /// The memory to grant for a need, in MB, limited to `max_mb`.
    pub fn memory_grant(need_mb: f64, max_mb: f64) -> f64 {
        (need_mb * MEMORY_GRANT_FACTOR).min(max_mb)
    }

    /// Records the work estimate of an arrived statement; 0 if there is none.
    pub fn record_arrival(&mut self, workload: usize, work: f64) {
        self.workloads[workload].work.add_known(work);
    }

    /// Records that an attempt spilled, with the memory that it lacks beyond its grant.
    pub fn record_spill(
        &mut self,
        workload: usize,
        need_mb: f64,
        lacking_mb: f64,
        estimate_mb: f64,
    ) {
        let need = (need_mb * MEMORY_GRANT_FACTOR + lacking_mb) / estimate_mb.max(1.0);
        self.workloads[workload].memory_bias.add_ratio(need);
    }

    /// Records an answered attempt and its load.
    pub fn record_answer(&mut self, workload: usize, load: Load, answer: &AnsweredRun) {
        let seconds = answer.took / SECOND as f64;
        self.typical
            .blend(load, MIN_SAMPLE_WEIGHT * seconds.min(1.0));
        let learned = &mut self.workloads[workload];
        learned.run.add(answer.took);
        learned.run_ratio.add_ratio(answer.took / answer.estimated);
        if !answer.spilled {
            learned.memory_bias.value *= MEMORY_BIAS_DECAY_PER_ANSWER;
        }
    }
}
