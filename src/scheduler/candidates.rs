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
    pub(super) fn may_be_sent(&self, id: StatementId, s: &Statement) -> bool {
        !s.over
            && !s.is_in_flight()
            && self.clock.now < s.deadline
            && self.is_first_in_order(id, s)
            && (s.attempts.is_empty() || self.may_retry(s))
    }

    /// Whether an engine may be sent a statement that may be sent at all. `avoid_evacuated`: engines outside
    /// evacuated zones may have it.
    pub(super) fn eligibility(
        &self,
        s: &Statement,
        e: EngineId,
        avoid_evacuated: bool,
    ) -> Eligibility {
        let retry = !s.attempts.is_empty();
        let sticky = s.asked.pinned;
        if retry && !self.outliers.is_trusted(e) {
            return Eligibility::Untrusted;
        }
        if self.engines.send_capacity[e] == 0 && sticky.is_none() {
            return Eligibility::NoConnection;
        }
        if self.outliers.is_ejected(e, self.clock.now) {
            return Eligibility::Ejected;
        }
        if avoid_evacuated && self.is_evacuated(e) {
            return Eligibility::EvacuatedZone;
        }
        let Some(entry) = self.engines.entry(e) else {
            return Eligibility::NotOpen;
        };
        if !s.allows(self.workload(s), entry) {
            return Eligibility::NotAllowed;
        }
        if sticky.is_some_and(|engine| engine != e) {
            return Eligibility::OtherStickyEngine;
        }
        if entry.protocols & s.asked.protocols == 0 {
            return Eligibility::OtherProtocol;
        }
        if self.check_slow_start(e, s) == SlowStartOutcome::Denied {
            return Eligibility::WarmingUp;
        }
        if retry && !self.is_safe_at(s, entry) {
            return Eligibility::UnsafeRepeat;
        }
        if self.is_data_set_locked(s, e) {
            return Eligibility::DataSetLocked;
        }
        Eligibility::Eligible
    }

    fn is_safe_at(&self, s: &Statement, at: &EngineEntry) -> bool {
        is_safe_repeat(
            self.workload(s),
            s,
            &self.engines.listed,
            at,
            self.clock.now,
        )
    }

    /// Whether a load, of this front or another, holds the statement's data set there.
    fn is_data_set_locked(&self, s: &Statement, e: EngineId) -> bool {
        let workload = self.workload(s);
        let uses_data = workload.waits_for_data || workload.holds_data;
        if !uses_data || s.asked.data_set.is_none() {
            return false;
        }
        let holds = |other: &Statement| {
            self.workload(other).holds_data && other.asked.data_set == s.asked.data_set
        };
        let mut in_flight = self.engines.in_flight[e].iter();
        self.engines.holds(e, s.asked.data_set, self.clock.now)
            || in_flight.any(|attempt| holds(&self.statements[&attempt.statement]))
    }
}
