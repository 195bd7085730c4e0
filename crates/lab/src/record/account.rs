//! What happened in a run of a fleet as the rig saw it, and the result of the run. The record is
//! the same for front processes and for simulated time.

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

/// Raises a tally to a value if it is lower.
pub(super) fn raise_to(tallies: &mut Tallies, key: &'static str, value: i64) {
    let entry = tallies.entry(key).or_insert(0);
    *entry = (*entry).max(value);
}

/// What happened as the rig saw it; times are microseconds since the rig began.
#[derive(Default)]
pub struct Account {
    /// When the load began.
    pub began: i64,
    pub asked: Vec<Offered>,
    pub engine_events: Vec<EngineEvent>,
    /// The front that sent what an engine recorded under a link number.
    pub sent_by: HashMap<(usize, u32), usize>,
    /// The relay's port and the statement id under which each execution arrived; and the messages
    /// on all connections.
    pub arrivals: HashMap<(usize, u32), (u16, String)>,
    pub wire_events: Vec<WireEvent>,
    /// Warnings of fronts, with the time at which they were read.
    pub warned: Vec<(usize, i64, String)>,
    pub relayed: Vec<Relayed>,
    pub datagrams: Vec<RelayedDatagram>,
    /// Faults as injected: fault, start, end.
    pub played: Vec<(Fault, i64, i64)>,
    /// Shutdowns that were requested of fronts.
    pub shutdowns: Vec<Shutdown>,
    pub rejected: i64,
    /// The highest ratio of statements requested at once to the capacity of an engine at that time;
    /// and the same ratio of each engine since its last start.
    pub peak: f64,
    pub peaks_since_start: Vec<f64>,
    /// Configuration files that fronts reported to have reloaded.
    pub config_reloads: i64,
    /// Fronts killed at a step of a ledger entry, with the step and the time.
    pub steps: Vec<(Step, usize, i64)>,
    /// Statements sent to any engine at least once, where that is known.
    pub dispatched_statements: Option<i64>,
    /// Microseconds by which a final answer may exceed its time limit.
    pub slack: i64,
    /// CPU time that the fronts and the rig waited for.
    pub starved: Starved,
}

/// The result of a run: tallies, violations and the table by the second.
pub struct Run {
    pub tallies: BTreeMap<&'static str, i64>,
    pub violations: check::Violations,
    pub table: String,
    /// Faults as injected: fault, start, end.
    pub played: Vec<(Fault, i64, i64)>,
    pub asked: Vec<Offered>,
    /// The process ids of all fronts that were started, to look for survivors afterwards.
    pub pids: Vec<u32>,
}

impl Run {
    /// Returns whether no rule was violated and all faults were injected.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
            && self.tallies.get("faults_played") == self.tallies.get("faults")
    }

    /// Formats the tallies and the number of violations by rule as one result line.
    pub fn line(&self) -> String {
        let tallies = self.tallies.iter().map(|(k, v)| format!("{k}={v}"));
        let violations = self
            .violations
            .iter()
            .map(|(rule, seen)| format!("violations_{rule}={}", seen.len()));
        tallies.chain(violations).collect::<Vec<_>>().join(" ")
    }
}
