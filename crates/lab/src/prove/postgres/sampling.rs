//! What the harness samples while a run goes on: the front's memory, and how long the machine lets somebody wait.

use std::sync::Arc;
use std::time::Duration;

use super::notes::Notes;
use crate::check::ProcessorWaits;

const TICK: Duration = Duration::from_millis(10);
const LATE: i64 = 2_000; // microseconds that a sleeper may oversleep on an idle machine
/// Accepted units after which buffers and tables have grown to what the load needs.
const SETTLED: usize = 10_000;
const MORE: u64 = 2_048; // kB beside a fifth that it may grow from then on

/// The front's memory, from when it has settled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    pub early_kb: u64,
    pub late_kb: u64,
}

impl Memory {
    /// Samples it again, with so many units accepted by now.
    pub fn sample(&mut self, units: usize, kb: u64) {
        if self.early_kb == 0 && units >= SETTLED {
            self.early_kb = kb;
        }
        self.late_kb = kb;
    }

    /// What is wrong with it. A run too short to settle says nothing.
    pub fn wrong(&self) -> Option<String> {
        let grown = self.early_kb > 0 && self.late_kb > self.early_kb * 12 / 10 + MORE;
        grown.then(|| {
            format!(
                "{} kB after {SETTLED} units, then {} kB",
                self.early_kb, self.late_kb
            )
        })
    }
}

/// Samples every few milliseconds how long the harness has overslept and the front has waited for a processor,
/// until the run ends.
pub fn sample_waits(front: u32, notes: &Arc<Notes>) -> ProcessorWaits {
    let (mut samples, mut overslept, mut fronts) = (Vec::new(), 0, 0);
    let before = waited(front);
    while !notes.done() {
        let slept = notes.records.now();
        std::thread::sleep(TICK);
        let now = notes.records.now();
        overslept += (now - slept - TICK.as_micros() as i64 - LATE).max(0);
        // An answer passes both, one after the other.
        fronts = (waited(front) - before).max(fronts); // once it has ended nothing more is counted
        samples.push((now, overslept + fronts));
    }
    ProcessorWaits { samples }
}

/// Microseconds for which the front's one thread could run and had no processor, as the kernel counts them.
fn waited(front: u32) -> i64 {
    let text = std::fs::read_to_string(format!("/proc/{front}/schedstat")).unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|ns| ns.parse::<i64>().ok())
        .map_or(0, |ns| ns / 1_000)
}

#[cfg(test)]
#[path = "sampling_tests.rs"]
mod tests;
