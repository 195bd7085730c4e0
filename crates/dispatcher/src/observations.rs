//! Reports on engines that this front sends to its peers and receives from them.

use hallmux::interface::{EngineEntry, Event, Micros, Mode, PeerReport};

use crate::engine_stats::{MIN_SILENCE, RECOVERY_REPORTED_FOR};
use crate::engines::Engine;
use crate::Dispatcher;

/// A report on an engine, as exchanged between fronts.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineObservation<'a> {
    /// The engine's id on the engine list.
    pub id: &'a str,
    /// Recent executions that failed or were lost; a count that decays with time.
    pub failed: f64,
    /// Recent executions and probes that were answered; a count that decays with time.
    pub answered: f64,
    /// Microseconds for which the engine has sent nothing with executions in flight; 0 if too short
    /// to report.
    pub silent: Micros,
    /// Whether the engine accepts no new statements.
    pub draining: bool,
    /// The time of its last start, in microseconds, if known.
    pub started: Option<Micros>,
}

impl EngineObservation<'_> {
    /// Whether the report contains failures or silence.
    fn shows_fault(&self) -> bool {
        self.failed >= 1.0 || self.silent > 0
    }
}

/// An engine that answers again after a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery<'a> {
    /// The engine's id on the engine list.
    pub engine_id: &'a str,
    /// The time of its first answer after the fault, in microseconds.
    pub since: Micros,
}

impl Engine {
    /// Microseconds of current or recent silence; 0 if shorter than [`MIN_SILENCE`].
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
        // The count of answers may have decayed below 1, and peers would overlook the recovery.
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
    /// Reports on the engines that are relevant to peers: those with a fault, draining, or
    /// recovered from a fault.
    pub fn observations(&mut self, now: Micros) -> Vec<EngineObservation<'_>> {
        for engine in &mut self.engines {
            engine.stats.decay(now);
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

    /// Records a peer's report on the engine whose id `is_observed` accepts; ignored if there is no
    /// such engine. `reporter` is the index of the peer, `age` the age of the report in
    /// microseconds.
    pub fn record_peer_report(
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
            stats.ended_silence = None; // the engine has answered in the meantime
        }
        self.events.push(Event::PeerReport(report));
    }

    /// Sets the size of the fleet, including this front. `known` counts the fronts that have not
    /// announced their shutdown. `probers` counts the fronts that share the probes of evacuated
    /// zones; it is infinite if another front owns them.
    pub fn set_fleet_size(&mut self, known: usize, probers: f64) {
        self.events.push(Event::Fleet {
            known: known as f64,
            up: probers.max(1.0),
        });
    }

    /// The engines that recovered from a fault and may still be warming up after it.
    pub fn recoveries(&self, now: Micros) -> Vec<Recovery<'_>> {
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

    /// Applies an announcement by the owner of the fleet's recoveries: the engine whose id
    /// `is_recovered` accepts has answered again since `since`. The engine is treated as if it had
    /// started then.
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
