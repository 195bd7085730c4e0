//! What happened in a run of a fleet, as the rig saw it, and what the run came to. The record is the same for front
//! processes and for simulated time.

use std::collections::{BTreeMap, HashMap};

#[cfg(test)]
pub use super::offered::offered;
pub use super::offered::Offered;
use super::starved::Starved;
use crate::check;
use crate::engine::{EngineEvent, WireEvent};
use crate::rig::datagrams::RelayedDatagram;
use crate::rig::member::Shutdown;
use crate::rig::relay::Relayed;
use crate::rig::scenario::{Fault, Step};

/// Microseconds in a second.
pub(super) const SECOND: i64 = 1_000_000;

/// Counts of a run, by name.
pub type Tallies = BTreeMap<&'static str, i64>;

/// Raises a tally to a value.
pub(super) fn raise_to(tallies: &mut Tallies, key: &'static str, value: i64) {
    let entry = tallies.entry(key).or_insert(0);
    *entry = (*entry).max(value);
}

/// What happened, as the rig saw it; times are microseconds since the rig began.
#[derive(Default)]
pub struct Account {
    /// When the load began.
    pub began: i64,
    pub asked: Vec<Offered>,
    pub engine_events: Vec<EngineEvent>,
    /// The front that sent what an engine wrote down under a link.
    pub sent_by: HashMap<(usize, u32), usize>,
    /// The relay's port and the id that the same came over and under; what was finding over all connections.
    pub arrivals: HashMap<(usize, u32), (u16, String)>,
    pub wire_events: Vec<WireEvent>,
    /// Warnings of fronts, with when they were read.
    pub warned: Vec<(usize, i64, String)>,
    pub relayed: Vec<Relayed>,
    pub datagrams: Vec<RelayedDatagram>,
    /// Faults as played: what, from, to.
    pub played: Vec<(Fault, i64, i64)>,
    /// Ends that fronts were asked for.
    pub shutdowns: Vec<Shutdown>,
    pub rejected: i64,
    /// The most asked of any engine at once against what it bore then, and the same of each since its last start.
    pub peak: f64,
    pub peaks_since_start: Vec<f64>,
    /// Configuration files that fronts finding they had read again.
    pub config_reloads: i64,
    /// Fronts killed at a step of a promise, with the step and when.
    pub steps: Vec<(Step, usize, i64)>,
    /// Statements that were sent to any engine at least once, where that is known.
    pub dispatched_statements: Option<i64>,
    /// Microseconds that a final answer may take beyond its time.
    pub slack: i64,
    /// What the fronts and the rig wanted of the machine and were not given.
    pub starved: Starved,
}

/// Tallies, the check's findings and the table by the second.
pub struct Run {
    pub tallies: BTreeMap<&'static str, i64>,
    pub violations: check::Violations,
    pub table: String,
    /// Faults as played: what, from, to.
    pub played: Vec<(Fault, i64, i64)>,
    pub asked: Vec<Offered>,
    /// The ids of every front process that was started, to be looked for afterwards.
    pub pids: Vec<u32>,
}

impl Run {
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
            && self.tallies.get("faults_played") == self.tallies.get("faults")
    }

    pub fn line(&self) -> String {
        let tallies = self.tallies.iter().map(|(k, v)| format!("{k}={v}"));
        let violations = self
            .violations
            .iter()
            .map(|(rule, seen)| format!("violations_{rule}={}", seen.len()));
        tallies.chain(violations).collect::<Vec<_>>().join(" ")
    }
}
