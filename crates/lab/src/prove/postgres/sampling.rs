//! Samples taken during a run: the front's memory, and how long the machine makes threads wait for
//! a processor.

use std::sync::Arc;
use std::time::Duration;

use super::notes::Notes;
use crate::check::ProcessorWaits;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Microseconds that a sleep may overrun on an idle machine.
const OVERSLEEP_ALLOWANCE_US: i64 = 2_000;
/// Accepted units after which buffers and tables have grown to what the load needs.
const SETTLED_UNITS: usize = 10_000;
/// Growth in kB that is allowed from then on, on top of a fifth.
const MEMORY_GROWTH_ALLOWANCE_KB: u64 = 2_048;

/// The front's memory in kB when it has settled (0 before) and at the last sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrontMemory {
    pub early_kb: u64,
    pub late_kb: u64,
}

impl FrontMemory {
    /// Adds a sample of the memory in kB, with the number of units accepted by now.
    pub fn sample(&mut self, units: usize, kb: u64) {
        if self.early_kb == 0 && units >= SETTLED_UNITS {
            self.early_kb = kb;
        }
        self.late_kb = kb;
    }

    /// Returns a violation if memory has grown too much. A run too short to settle has none.
    pub fn violation(&self) -> Option<String> {
        let grown = self.early_kb > 0
            && self.late_kb > self.early_kb * 12 / 10 + MEMORY_GROWTH_ALLOWANCE_KB;
        grown.then(|| {
            format!(
                "{} kB after {SETTLED_UNITS} units, then {} kB",
                self.early_kb, self.late_kb
            )
        })
    }
}

/// Samples every few milliseconds, until the run ends, for how long the harness has overslept and
/// the front has waited for a processor.
pub fn sample_waits(front: u32, notes: &Arc<Notes>) -> ProcessorWaits {
    let (mut samples, mut overslept, mut front_waited) = (Vec::new(), 0, 0);
    let before = processor_wait_us(front);
    while !notes.done() {
        let slept = notes.records.now();
        std::thread::sleep(SAMPLE_INTERVAL);
        let now = notes.records.now();
        overslept +=
            (now - slept - SAMPLE_INTERVAL.as_micros() as i64 - OVERSLEEP_ALLOWANCE_US).max(0);
        // An answer passes through both, one after the other, so the waits add up.
        // The count reads 0 once the front has exited.
        front_waited = (processor_wait_us(front) - before).max(front_waited);
        samples.push((now, overslept + front_waited));
    }
    ProcessorWaits { samples }
}

/// Returns the microseconds for which the front's only thread was runnable without a processor, as
/// the kernel counts them.
fn processor_wait_us(front: u32) -> i64 {
    let text = std::fs::read_to_string(format!("/proc/{front}/schedstat")).unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|ns| ns.parse::<i64>().ok())
        .map_or(0, |ns| ns / 1_000)
}

#[cfg(test)]
#[path = "sampling_tests.rs"]
mod tests;
