//! Candidate filter: may this engine be sent this statement now, and if not, why not?
//!
//! It asks the rules in turn, the cheapest first. Whether the engine has capacity is asked after it, see
//! [`placement`](super::placement).
//! Source: ours, `docs/design.md`, "what may be sent where".

use crate::interface::{EngineEntry, EngineId, StatementId};
use crate::policy::idempotency::is_safe_repeat;
use crate::policy::slow_start::SlowStartOutcome;
use crate::statement::Statement;

use super::Scheduler;

/// Whether an engine may be sent a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eligibility {
    /// It may, where it has capacity.
    Eligible,
    /// The statement had an attempt, and the engine hasn't earned enough credit for retries.
    Untrusted,
    /// No connection can carry another statement there now.
    NoConnection,
    /// The engine seems gone and is ejected for a time.
    Ejected,
    /// The engine's zone is evacuated, and engines of other zones are open.
    EvacuatedZone,
    /// The engine drains, or is not listed.
    NotOpen,
    /// The workload, or what the statement is allowed, excludes the engine.
    NotAllowed,
    /// The statement's transaction is open on another engine.
    OtherStickyEngine,
    /// The engine doesn't take the statement's protocol.
    OtherProtocol,
    /// The engine is warming up and has had this front's share.
    WarmingUp,
    /// An earlier attempt may have run, and this engine might run the statement again.
    UnsafeRepeat,
    /// A load holds the data set there.
    DataSetLocked,
}

impl Scheduler {
    /// Whether a statement may be sent at all now; never a second copy beside one in flight.
    pub(super) fn may_be_sent(&self, id: StatementId, statement: &Statement) -> bool {
        !statement.closed
            && !statement.is_in_flight()
            && self.clock.now < statement.deadline
            && self.is_first_in_order(id, statement)
            && (statement.attempts.is_empty() || self.is_within_retry_limits(statement))
    }

    /// Whether an engine may be sent a statement that may be sent at all. `avoid_evacuated`: engines outside
    /// evacuated zones may have it.
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

    /// Whether a load, of this front or another, holds the statement's data set there.
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
