//! The step of a promise at which a front is to die, for fronts that are processes and for simulated ones.

use super::scenario::Step;

/// Every so many messages one is where a front dies that is to die while it sends copies.
const COPY_DRAW_RANGE: u64 = 4;

/// A front that is to die at a step of a promise.
pub struct DeathStep {
    pub step: Step,
    pub front: usize,
    /// How often the step may still be passed before the front dies of it.
    remaining_passes: u64,
    /// A statement that needs a promise has come to the front since.
    statement_arrived: bool,
}

impl DeathStep {
    /// Among several copies on their way `draw` chooses the one, so that each loss is between others.
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

    /// Takes note of a step that a front has come to; true if this front dies of it now.
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
