//! What is looked at from time to time: silent attempts, probes, the pace of connections.

use crate::engine_table::AttemptId;
use crate::interface::{Action, EngineId};
use crate::policy::fleet_budget::share_of;
use crate::policy::health_checks::HealthChecks;
use crate::policy::outliers::Charge;
use crate::policy::stuck_attempts::{check_silence, InFlightAttempt, SilenceOutcome};

use super::{Scheduler, SWEEP_INTERVAL};

/// Sweeps between looks at silent engines, which walk all attempts in flight.
const SWEEPS_PER_ENGINE_CHECK: u32 = 4;

/// A silent attempt.
struct StuckAttempt {
    attempt: AttemptId,
    charge: Charge,
}

impl Scheduler {
    /// Probes engines at each sweep, looks for silent attempts at some.
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
                self.cancel_silent(engine);
            }
        }
    }

    /// Probes the engines that are due.
    fn probe_for_load(&mut self) {
        let budget = self.agreed.budgets.map(|budgets| budgets.probes);
        let each = budget.map_or(f64::INFINITY, |probes| self.fleet_share(probes));
        let (open, actions) = (&self.engines.open, &mut self.actions);
        let probe = |engine| actions.push(Action::Probe { engine });
        self.health_checks
            .probe_due(open, each, self.clock.now, probe);
    }

    /// All fronts together probe evacuated zones: each draws at its share of the rate. Where probes are not
    /// allowed the engine counts as healthy without proof, and gets a statement or two as one that is warming up.
    fn probe_evacuated(&mut self) {
        let rate = HealthChecks::fleet_probes_per(SWEEP_INTERVAL);
        let drawn =
            self.peer_evidence.has_evacuated() && self.random.next() * self.fleet.probers < rate;
        if !drawn {
            return;
        }
        let draw = self.random.next();
        match self.pick_suspect(draw) {
            Some(engine) if self.agreed.probes => {
                self.actions.push(Action::ProbeEvacuated { engine });
            }
            Some(engine) => self.found_healthy(engine),
            None => {}
        }
    }

    /// What is known of an attempt in flight at an engine.
    pub(super) fn in_flight_attempt(
        &self,
        attempt: AttemptId,
        engine: EngineId,
    ) -> InFlightAttempt {
        let statement = &self.statements[&attempt.statement];
        let known = &statement.attempts[attempt.number];
        let sends_progress = self.engines.listed[engine]
            .as_ref()
            .is_some_and(|entry| entry.sends_progress);
        let agreed = Some(self.agreed.progress_interval).filter(|every| *every != 0);
        InFlightAttempt {
            sent_at: known.sent_at,
            heard_at: known.heard_at,
            engine_heard_at: self.engines.heard_at[engine],
            progress_interval: agreed.filter(|_| sends_progress),
            expected_run: self.expected_run(statement),
        }
    }

    /// Cancels the attempts at an engine that have been silent for too long.
    fn cancel_silent(&mut self, engine: EngineId) {
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

    /// An attempt that has been silent for too long, the first time that it is found so.
    fn stuck_attempt(&self, attempt: AttemptId, engine: EngineId) -> Option<StuckAttempt> {
        if self.statements[&attempt.statement].attempts[attempt.number].silent {
            return None;
        }
        let known = self.in_flight_attempt(attempt, engine);
        match check_silence(&known, self.clock.running_since, self.clock.now) {
            SilenceOutcome::Silent(charge) => Some(StuckAttempt { attempt, charge }),
            SilenceOutcome::Heard => None,
        }
    }

    /// This front's share of the fleet's budget for connections, where it has changed.
    pub(super) fn pace_connections(&mut self) {
        let budget = self.agreed.budgets.map(|budgets| budgets.connections);
        let pace = budget.map(|connections| self.fleet_share(connections));
        if self.connection_pace == pace {
            return;
        }
        self.connection_pace = pace;
        if let Some(connections) = pace {
            self.actions.push(Action::SetConnectionRate { connections });
        }
    }

    fn fleet_share(&self, budget: f64) -> f64 {
        share_of(budget, self.fleet.relative_demand, self.fleet.known)
    }
}
