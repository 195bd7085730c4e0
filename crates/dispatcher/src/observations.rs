//! What this front reports to other fronts of engines, and what other fronts report of them.

use hallmux::interface::{EngineEntry, Event, Micros, Mode, PeerReport};

use crate::engine_stats::{MIN_SILENCE, RECOVERY_REPORTED_FOR};
use crate::engines::Engine;
use crate::Dispatcher;

/// What this front has seen of an engine, for others.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineObservation<'a> {
    /// Its id on the engine list.
    pub id: &'a str,
    /// Executions there that failed or were lost over the last seconds; older ones count less.
    pub failed: f64,
    /// Executions there that were answered over the last seconds; older ones count less.
    pub answered: f64,
    /// Microseconds for which it has sent nothing with executions in flight; 0 where that is short.
    pub silent: Micros,
    /// It takes no new statements.
    pub draining: bool,
    /// The time of its last start, in microseconds, where that is known.
    pub started: Option<Micros>,
}

impl EngineObservation<'_> {
    /// Whether it tells of failures or silence.
    fn shows_fault(&self) -> bool {
        self.failed >= 1.0 || self.silent > 0
    }
}

/// An engine that had a fault and answers again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery<'a> {
    /// The engine's id on the engine list.
    pub engine_id: &'a str,
    /// Since when it answers again, in microseconds.
    pub since: Micros,
}

impl Engine {
    /// Microseconds of silence worth a report, now or lately; 0 where there are none.
    fn reported_silence(&self, now: Micros) -> Micros {
        let all_held = self.in_flight == self.held;
        let current = if all_held { 0 } else { self.stats.silence(now) };
        let longest = current.max(self.stats.recent_silence(now));
        if longest < MIN_SILENCE {
            return 0;
        }
        longest
    }

    fn observation(&self, now: Micros) -> EngineObservation<'_> {
        // Guards against a recovery that is not seen: its answer may have faded below one.
        let answered = match self.stats.recovered_at {
            Some(_) => self.stats.answered.max(1.0),
            None => self.stats.answered,
        };
        EngineObservation {
            id: &self.id,
            failed: self.stats.failed,
            answered,
            silent: self.reported_silence(now),
            draining: self.entry.mode != Mode::Ready,
            started: self.entry.started,
        }
    }
}

impl Dispatcher {
    /// Engines that others may want to know of: those with a fault, draining, or back from a fault.
    pub fn observations(&mut self, now: Micros) -> Vec<EngineObservation<'_>> {
        for engine in &mut self.engines {
            engine.stats.fade(now);
            if engine.observation(now).shows_fault() {
                engine.stats.record_fault(now);
            }
            engine.stats.expire_recovery(now);
        }
        let mut observations = Vec::new();
        for engine in &self.engines {
            let recovered = engine.stats.recovered_at.is_some();
            let observation = engine.observation(now);
            if observation.shows_fault() || observation.draining || recovered {
                observations.push(observation);
            }
        }
        observations
    }

    /// Another front reports on the engine whose id `is_observed` accepts. `reporter` is its index among the other
    /// fronts, `age` that of the report in microseconds.
    pub fn peer_report(
        &mut self,
        now: Micros,
        reporter: usize,
        is_observed: impl Fn(&str) -> bool,
        observed: &EngineObservation,
        age: Micros,
    ) {
        let Some(index) = self.engines.iter().position(|e| is_observed(&e.id)) else {
            return;
        };
        let report = PeerReport {
            reporter,
            engine: index,
            failed: observed.failed,
            answered: observed.answered,
            silent: observed.silent,
            age,
        };
        let stats = &mut self.engines[index].stats;
        if observed.shows_fault() {
            stats.fault_at = Some(now);
        }
        if report.answers() {
            stats.ended_silence = None; // the engine has answered since
        }
        self.events.push(Event::PeerReport(report));
    }

    /// How many fronts there are, this one too: `known` are those that have not announced their end. `probers` are those
    /// that share the probes into what the fleet has left: infinitely many where it is another's work.
    pub fn set_fleet_size(&mut self, known: usize, probers: f64) {
        self.events.push(Event::Fleet {
            known: known as f64,
            up: probers.max(1.0),
        });
    }

    /// Engines that had a fault and answer again, while they may still be warming up after it.
    pub fn recovered(&self, now: Micros) -> Vec<Recovery<'_>> {
        let remembered_for = self.warm_up_time.max(RECOVERY_REPORTED_FOR);
        self.engines
            .iter()
            .filter_map(|engine| {
                let since = engine.stats.recovered_since?;
                Some(Recovery {
                    engine_id: &engine.id,
                    since,
                })
            })
            .filter(|recovery| now - recovery.since < remembered_for)
            .collect()
    }

    /// The owner of the fleet's recoveries says that the engine whose id `is_recovered` accepts answers again since
    /// then: as if it had started.
    pub fn set_recovered_since(&mut self, is_recovered: impl Fn(&str) -> bool, since: Micros) {
        let Some(engine) = self.engines.iter_mut().find(|e| is_recovered(&e.id)) else {
            return;
        };
        engine.stats.recovered_since = Some(since);
        engine.stats.ended_silence = None;
        let entry = EngineEntry {
            started: Some(since),
            ..engine.entry.clone()
        };
        self.events.push(Event::EngineList {
            complete: false,
            entries: vec![entry],
        });
    }
}

#[cfg(test)]
#[path = "observations_tests.rs"]
mod tests;
