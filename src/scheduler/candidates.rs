//! Candidate filter: decides whether a statement may be sent to an engine now, with the reason if
//! not.
//!
//! The filter checks the rules in turn, the cheapest first. The engine's capacity is checked
//! afterwards, see [`placement`](super::placement).
//!
//! Source: our extension, `docs/design.md`, "what may be sent where".

use crate::interface::{EngineEntry, EngineId, StatementId};
use crate::policy::idempotency::is_safe_repeat;
use crate::policy::slow_start::SlowStartOutcome;
use crate::statement::Statement;

use super::Scheduler;

/// Whether a statement may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eligibility {
    /// The statement may be sent if the engine has capacity.
    Eligible,
    /// The statement is a retry, and the engine has too little credit for retries.
    Untrusted,
    /// No connection to the engine can carry another statement now.
    NoConnection,
    /// The engine is ejected, as it was unreachable or silent.
    Ejected,
    /// The engine's zone is evacuated, and the statement may use engines outside evacuated zones.
    EvacuatedZone,
    /// The engine is draining or not listed.
    NotOpen,
    /// The workload or the statement's allowed locations exclude the engine.
    NotAllowed,
    /// The statement's transaction is open on another engine.
    OtherStickyEngine,
    /// The engine does not accept the statement's protocol.
    OtherProtocol,
    /// The engine is warming up, and this front's share of its capacity is used up.
    WarmingUp,
    /// An earlier attempt may have run, and the engine might run the statement again.
    UnsafeRepeat,
    /// A load statement locks the data set on the engine.
    DataSetLocked,
}

impl Scheduler {
    /// Whether a statement may be sent to any engine now. A statement with an attempt in flight is
    /// never sent a second time in parallel.
    pub(super) fn may_be_sent(&self, id: StatementId, statement: &Statement) -> bool {
        !statement.closed
            && !statement.is_in_flight()
            && self.clock.now < statement.deadline
            && self.is_first_in_order(id, statement)
            && (statement.attempts.is_empty() || self.is_within_retry_limits(statement))
    }

    /// Whether a statement for which `may_be_sent` holds may be sent to an engine. With
    /// `avoid_evacuated`, engines of evacuated zones are excluded, as the statement may use
    /// others.
    pub(super) fn eligibility(
        &self,
        statement: &Statement,
        engine: EngineId,
        avoid_evacuated: bool,
    ) -> Eligibility {
        let retry = !statement.attempts.is_empty();
        let sticky = statement.arrival.sticky_engine;
        if retry && !self.outliers.is_trusted(engine) {
            return Eligibility::Untrusted;
        }
        if self.engines.send_capacity[engine] == 0 && sticky.is_none() {
            return Eligibility::NoConnection;
        }
        if self.outliers.is_ejected(engine, self.clock.now) {
            return Eligibility::Ejected;
        }
        if avoid_evacuated && self.is_evacuated(engine) {
            return Eligibility::EvacuatedZone;
        }
        let Some(entry) = self.engines.entry(engine) else {
            return Eligibility::NotOpen;
        };
        if !statement.allows(self.workload(statement), entry) {
            return Eligibility::NotAllowed;
        }
        if sticky.is_some_and(|sticky| sticky != engine) {
            return Eligibility::OtherStickyEngine;
        }
        if entry.protocols & statement.arrival.protocols == 0 {
            return Eligibility::OtherProtocol;
        }
        if self.check_slow_start(engine, statement) == SlowStartOutcome::Denied {
            return Eligibility::WarmingUp;
        }
        if retry && !self.is_safe_at(statement, entry) {
            return Eligibility::UnsafeRepeat;
        }
        if self.is_data_set_locked(statement, engine) {
            return Eligibility::DataSetLocked;
        }
        Eligibility::Eligible
    }

    fn is_safe_at(&self, statement: &Statement, at: &EngineEntry) -> bool {
        is_safe_repeat(
            self.workload(statement),
            statement,
            &self.engines.entries,
            at,
            self.clock.now,
        )
    }

    /// Whether a load statement, of this front or a peer, locks the statement's data set on the
    /// engine.
    fn is_data_set_locked(&self, statement: &Statement, engine: EngineId) -> bool {
        let workload = self.workload(statement);
        let uses_data = workload.waits_for_data || workload.holds_data;
        if !uses_data || statement.arrival.data_set.is_none() {
            return false;
        }
        let holds = |other: &Statement| {
            self.workload(other).holds_data && other.arrival.data_set == statement.arrival.data_set
        };
        let mut in_flight = self.engines.in_flight[engine].iter();
        self.engines
            .is_data_set_locked(engine, statement.arrival.data_set, self.clock.now)
            || in_flight.any(|attempt| holds(&self.statements[&attempt.statement]))
    }
}
