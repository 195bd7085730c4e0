//! The step of a ledger entry at which a front is killed, for front processes and simulated fronts.

use super::scenario::Step;

/// A front that is killed while copying dies at one of this many datagrams.
const COPY_DRAW_RANGE: u64 = 4;

/// A front that is to be killed at a step of a ledger entry.
pub struct DeathStep {
    pub step: Step,
    pub front: usize,
    /// How often the front may still pass the step before it dies there.
    remaining_passes: u64,
    /// Whether a statement that needs a ledger entry has arrived at the front since the fault
    /// started.
    statement_arrived: bool,
}

impl DeathStep {
    /// `draw` selects at which of several copies the front dies, so that each death loses a
    /// different one.
    pub fn new(step: Step, front: usize, draw: u64) -> DeathStep {
        let passes_left = if step == Step::Copying {
            draw % COPY_DRAW_RANGE
        } else {
            0
        };
        DeathStep {
            step,
            front,
            remaining_passes: passes_left,
            statement_arrived: false,
        }
    }

    /// Records that a front has reached a step; returns whether the front dies there.
    pub fn record_step(&mut self, step: Step, front: usize) -> bool {
        if self.front != front {
            return false;
        }
        self.statement_arrived |= step == Step::Taken;
        if self.step != step || !self.statement_arrived {
            return false;
        }
        let dies = self.remaining_passes == 0;
        self.remaining_passes = self.remaining_passes.saturating_sub(1);
        dies
    }
}
