//! Periodic work: silent attempts, health checks and the rate of new connections.

use crate::engine_table::AttemptId;
use crate::interface::{Action, EngineId};
use crate::policy::fleet_budget::budget_share;
use crate::policy::health_checks::HealthChecks;
use crate::policy::outliers::Charge;
use crate::policy::stuck_attempts::{check_silence, InFlightAttempt, SilenceOutcome};

use super::{Scheduler, SWEEP_INTERVAL};

/// Sweeps between two checks for silent attempts, which visit all attempts in flight.
const SWEEPS_PER_ENGINE_CHECK: u32 = 4;

/// An attempt that has been silent for too long, and the charge against its engine.
struct StuckAttempt {
    attempt: AttemptId,
    charge: Charge,
}

impl Scheduler {
    /// Runs health checks at every sweep and looks for silent attempts at every
    /// `SWEEPS_PER_ENGINE_CHECK`th.
    pub(super) fn sweep(&mut self) {
        if !self.clock.sweep_is_due() {
            return;
        }
        self.clock.sweeps += 1;
        self.probe_evacuated();
        self.probe_for_load();
        if self.clock.sweeps.is_multiple_of(SWEEPS_PER_ENGINE_CHECK) {
            let engines = &self.engines;
            self.load_reports
                .decay(|engine| (engines.kind(engine), engines.size[engine].threads));
            for engine in 0..self.engines.open.len() {
                self.handle_silent_attempts(engine);
            }
        }
    }

    /// Sends the health checks that are due.
    fn probe_for_load(&mut self) {
        let budget = self.agreement.budgets.map(|budgets| budgets.probes);
        let probe_rate = budget.map_or(f64::INFINITY, |probes| self.fleet_share(probes));
        let (open, actions) = (&self.engines.open, &mut self.actions);
        let probe = |engine| actions.push(Action::Probe { engine });
        self.health_checks
            .probe_due(open, probe_rate, self.clock.now, probe);
    }

    /// Probes a suspect of an evacuated zone at random. All fronts share the rate, so each draws
    /// with its part of it. If probes are not allowed, the engine counts as healthy without proof.
    /// As it is warming up, it then gets only a statement or two.
    fn probe_evacuated(&mut self) {
        let rate = HealthChecks::fleet_probes_in(SWEEP_INTERVAL);
        let drawn =
            self.peer_evidence.has_evacuated() && self.random.next() * self.fleet.probers < rate;
        if !drawn {
            return;
        }
        let draw = self.random.next();
        match self.pick_suspect(draw) {
            Some(engine) if self.agreement.probes => {
                self.actions.push(Action::ProbeEvacuated { engine });
            }
            Some(engine) => self.mark_healthy(engine),
            None => {}
        }
    }

    /// The inputs of the silence rule for an attempt in flight on an engine.
    pub(super) fn in_flight_attempt(
        &self,
        attempt: AttemptId,
        engine: EngineId,
    ) -> InFlightAttempt {
        let statement = &self.statements[&attempt.statement];
        let known = &statement.attempts[attempt.number];
        let sends_progress = self.engines.entries[engine]
            .as_ref()
            .is_some_and(|entry| entry.sends_progress);
        let interval = Some(self.agreement.progress_interval).filter(|every| *every != 0);
        InFlightAttempt {
            sent_at: known.sent_at,
            last_seen: known.last_seen,
            engine_last_seen: self.engines.last_seen[engine],
            progress_interval: interval.filter(|_| sends_progress),
            expected_run: self.expected_run(statement),
        }
    }

    /// Charges an engine for attempts that have been silent for too long, and cancels those that
    /// may be retried.
    fn handle_silent_attempts(&mut self, engine: EngineId) {
        let in_flight = self.engines.in_flight[engine].iter();
        let stuck: Vec<StuckAttempt> = in_flight
            .filter_map(|attempt| self.stuck_attempt(*attempt, engine))
            .collect();
        for StuckAttempt { attempt, charge } in stuck {
            self.outliers.charge(engine, charge, self.clock.now);
            self.cancel_to_retry(attempt.statement, attempt.number);
            if let Some(statement) = self.statements.get_mut(&attempt.statement) {
                statement.attempts[attempt.number].silent = true;
            }
        }
    }

    /// The attempt as a stuck one if it has been silent for too long. Reported once per attempt.
    fn stuck_attempt(&self, attempt: AttemptId, engine: EngineId) -> Option<StuckAttempt> {
        if self.statements[&attempt.statement].attempts[attempt.number].silent {
            return None;
        }
        let known = self.in_flight_attempt(attempt, engine);
        match check_silence(&known, self.clock.running_since, self.clock.now) {
            SilenceOutcome::Silent(charge) => Some(StuckAttempt { attempt, charge }),
            SilenceOutcome::Active => None,
        }
    }

    /// Sets the rate of new connections if this front's share of the fleet's budget has changed.
    pub(super) fn update_connection_rate(&mut self) {
        let budget = self.agreement.budgets.map(|budgets| budgets.connections);
        let rate = budget.map(|connections| self.fleet_share(connections));
        if self.connection_rate == rate {
            return;
        }
        self.connection_rate = rate;
        if let Some(connections) = rate {
            self.actions.push(Action::SetConnectionRate { connections });
        }
    }

    fn fleet_share(&self, budget: f64) -> f64 {
        budget_share(budget, self.fleet.relative_demand, self.fleet.known)
    }
}
