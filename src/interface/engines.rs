//! Engines, as the engine list and their load reports describe them.

use super::{DedupGroup, EngineId, Micros};

/// Whether an engine takes statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It takes new statements.
    Ready,
    /// It completes what it has and takes nothing new.
    Draining,
    /// It is off the list.
    Gone,
}

/// One line of the engine list.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// The engine that the line is about.
    pub engine: EngineId,
    /// The place of its location.
    pub location: usize,
    /// The place of its kind.
    pub kind: usize,
    /// Its cell, a part of a location.
    pub cell: usize,
    /// Whether it takes statements.
    pub mode: Mode,
    /// The time of its last start; None where that is unknown, or too long ago to matter.
    pub started: Option<Micros>,
    /// The protocols that it takes statements in, a bit for each.
    pub protocols: u8,
    /// It sends notes of progress, where they are agreed.
    pub sends_progress: bool,
}

impl EngineEntry {
    /// Whether both engines are in one group that drops the repeats of a statement.
    pub fn deduplicates_with(&self, other: &EngineEntry, group: DedupGroup) -> bool {
        match group {
            DedupGroup::All => true,
            DedupGroup::Location => self.location == other.location,
            DedupGroup::Cell => self.cell == other.cell,
        }
    }
}

/// A load report: the figures in the order that the agreement names.
pub type LoadReport = Vec<f64>;
