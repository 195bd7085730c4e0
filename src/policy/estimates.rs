//! Learned estimates: how long does a statement run, how much work and memory is it?
//!
//! Inputs: the site's estimates, how attempts went. Work is microseconds on one thread, runs are microseconds, memory
//! is megabytes.
//! Reason: estimates are off, or missing; answers, notes of spills and usual runs correct them.
//! Source: our extension, `docs/design.md`, "learning".

use crate::interface::SECOND;
use crate::load::Load;
use crate::random::positive_or;

/// Least weight of the newest sample in a learned mean.
pub const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Samples that the trust in estimates counts for until answers tell their bias.
const ESTIMATE_PRIOR_SAMPLES: f64 = 4.0;
/// Factor on the learned memory need for an answer without a spill: answers don't tell how much was too much.
const MEMORY_BIAS_DECAY_PER_ANSWER: f64 = 0.99;
/// Memory granted against the need expected, as engines grant it.
const MEMORY_GRANT_FACTOR: f64 = 1.25;
/// Least ratio that a geometric mean takes.
const MIN_RATIO: f64 = 1e-6;

/// A learned mean and the number of its samples.
#[derive(Default, Clone, Copy)]
pub struct Mean {
    value: f64,
    samples: f64,
}

impl Mean {
    /// The mean; 0 before any sample.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Takes a sample; the weight of the newest is its share of all, but not under `MIN_SAMPLE_WEIGHT`.
    pub fn add(&mut self, sample: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * MIN_SAMPLE_WEIGHT.max(1.0 / self.samples);
    }

    /// The same; a sample of 0 is not known and is not taken.
    fn add_known(&mut self, sample: f64) {
        if sample > 0.0 {
            self.add(sample);
        }
    }

    /// The same for ratios, as a geometric mean.
    fn add_ratio(&mut self, sample: f64) {
        let (sample, value) = (sample.max(MIN_RATIO), positive_or(self.value, 1.0));
        self.samples += 1.0;
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / self.samples);
        self.value = value * (sample / value).powf(weight);
    }
}

/// The run of a statement as its estimate has it, in microseconds; a second where there is none.
pub fn estimated_run(work: f64, threads: f64) -> f64 {
    positive_or(work / threads, SECOND as f64)
}

/// An answered attempt.
pub struct AnsweredRun {
    /// Microseconds that it took.
    pub took: f64,
    /// Microseconds that its estimate gave.
    pub estimated: f64,
    /// It had too little memory.
    pub spilled: bool,
}

#[derive(Clone)]
struct WorkloadEstimates {
    /// Work of a statement.
    work: Mean,
    /// Run of an attempt.
    run: Mean,
    /// Run over the estimated run; a geometric mean.
    run_ratio: Mean,
    /// True memory need over its estimate.
    memory_bias: Mean,
}

/// What has been learned of each workload, and of statements as a whole.
#[derive(Default)]
pub struct Estimates {
    workloads: Vec<WorkloadEstimates>,
    /// What a statement usually holds while it runs.
    typical: Load,
}

impl Estimates {
    /// Nothing is learned yet.
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

    /// What a statement usually holds while it runs.
    pub fn typical_load(&self) -> Load {
        self.typical
    }

    /// The mean work of a workload's statements.
    pub fn mean_work(&self, workload: usize) -> f64 {
        self.workloads[workload].work.value
    }

    /// The usual run of a workload's attempts; 0 before any was answered.
    pub fn mean_run(&self, workload: usize) -> f64 {
        self.workloads[workload].run.value
    }

    /// The longest of all workloads' usual runs, in microseconds.
    pub fn longest_mean_run(&self) -> f64 {
        let runs = self.workloads.iter().map(|learned| learned.run.value);
        runs.fold(0.0, f64::max)
    }

    /// The work of a statement: its own estimate, else the workload's mean.
    pub fn expected_work(&self, workload: usize, estimate: f64) -> f64 {
        positive_or(estimate, self.workloads[workload].work.value)
    }

    /// The run of a statement, from its estimated run; 0 before any of its workload was answered.
    pub fn expected_run(&self, workload: usize, estimated: f64) -> f64 {
        self.workloads[workload].run_ratio.value * estimated
    }

    /// Work of a usual statement: as estimates tell, else as its runs do, which are no shorter; before any was
    /// answered, as long as one may run to be in time.
    pub fn typical_work(&self, workload: usize, threads: f64, slo: f64) -> f64 {
        let learned = &self.workloads[workload];
        positive_or(
            learned.work.value,
            positive_or(learned.run.value, slo) * threads,
        )
    }

    /// The memory that a statement needs, from its estimate.
    pub fn memory_need(&self, workload: usize, estimate_mb: f64) -> f64 {
        estimate_mb * self.workloads[workload].memory_bias.value
    }

    /// The memory to grant a statement that needs so much, `most` at most.
    pub fn memory_grant(need_mb: f64, max_mb: f64) -> f64 {
        (need_mb * MEMORY_GRANT_FACTOR).min(max_mb)
    }

    /// A statement arrived with an estimate of its work; 0 where there is none.
    pub fn record_arrival(&mut self, workload: usize, work: f64) {
        self.workloads[workload].work.add_known(work);
    }

    /// An attempt spilled: it lacks memory beyond what was expected.
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

    /// An attempt that held so much was answered.
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
