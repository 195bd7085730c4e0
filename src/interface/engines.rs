//! Engines as described by the engine list and by their load reports.

use super::{DedupGroup, EngineId, Micros};

/// Whether an engine accepts statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The engine accepts new statements.
    Ready,
    /// The engine completes its statements and accepts no new ones.
    Draining,
    /// The engine was removed from the list.
    Gone,
}

/// One entry of the engine list.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// The engine that the entry describes.
    pub engine: EngineId,
    /// The index of the engine's location.
    pub location: usize,
    /// The index of the engine's kind.
    pub kind: usize,
    /// The engine's cell, a part of its location.
    pub cell: usize,
    /// Whether the engine accepts statements.
    pub mode: Mode,
    /// The time of the engine's last start; `None` if unknown or too long ago to matter.
    pub started: Option<Micros>,
    /// The protocols that the engine accepts, one bit each.
    pub protocols: u8,
    /// Whether the engine sends progress reports if they are agreed.
    pub sends_progress: bool,
}

impl EngineEntry {
    /// Whether both engines belong to one deduplication group, so that each drops repeats of a
    /// statement that the other has executed.
    pub fn deduplicates_with(&self, other: &EngineEntry, group: DedupGroup) -> bool {
        match group {
            DedupGroup::All => true,
            DedupGroup::Location => self.location == other.location,
            DedupGroup::Cell => self.cell == other.cell,
        }
    }
}

/// A load report: the figures in the order given by [`ReportLayout`](super::ReportLayout).
pub type LoadReport = Vec<f64>;
