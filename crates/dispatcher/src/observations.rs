//! What this front reports to others of engines, and what others report of them.

use hallmux::interface::{EngineEntry, Event, Micros, Mode, PeerReport};

use crate::engines::Engine;
use crate::{Dispatcher, Ending};

const STATS_HALF_LIFE: Micros = 2_000_000; // microseconds until what was seen of an engine counts half
const SILENT: Micros = 1_000_000; // microseconds of silence with something in flight that others are told of
/// Microseconds for which silence that ended with its execution cancelled is reported: else it would be taken
/// back before the report of it reached many fronts.
const SILENCE_REPORTED_FOR: Micros = 3_000_000;
/// Microseconds after trouble in which an answer is reported as recovery: zones stay evacuated long.
const TROUBLE_REMEMBERED_FOR: Micros = 120_000_000;
/// Microseconds for which a recovery is reported: the report reaches a thousand fronts in three seconds.
const RECOVERY_REPORTED_FOR: Micros = 4_000_000;

/// What was seen of an engine lately; counts halve with time.
#[derive(Clone, Copy, Default)]
pub struct EngineStats {
    pub failed: f64,
    pub answered: f64,
    pub at: Micros,
    /// When it last said anything, and since when something is out there.
    pub heard_at: Micros,
    pub busy_since: Micros,
    /// When it was last in trouble, here or by others' word, and since when it has answered again.
    pub troubled_at: Option<Micros>,
    pub recovered_at: Option<Micros>,
    /// The same, not taken back.
    pub recovered_since: Option<Micros>,
    /// When an execution was last given up there after silence worth a word, and how long that was.
    pub ended_silence: Option<(Micros, Micros)>,
}

impl EngineStats {
    pub fn fade(&mut self, now: Micros) {
        let left = 0.5f64.powf((now - self.at) as f64 / STATS_HALF_LIFE as f64);
        (self.failed, self.answered, self.at) = (self.failed * left, self.answered * left, now);
    }

    /// An execution there has ended.
    pub fn record_ending(&mut self, now: Micros, ending: Ending) {
        self.fade(now);
        match ending {
            Ending::Answered => self.record_answer(now),
            Ending::EngineFailed | Ending::ConnectionRefused | Ending::ConnectTimeout => {
                self.failed += 1.0
            }
            Ending::Reset | Ending::Closed | Ending::Unreadable => self.failed += 1.0,
            Ending::GivenUp | Ending::TimeUp => self.record_silence(now),
            _ => {}
        }
        if matches!(ending, Ending::EngineFailed | Ending::Rejected) {
            self.heard_at = now;
        }
    }

    /// An execution was given up: the silence before it is remembered if it is worth a report.
    fn record_silence(&mut self, now: Micros) {
        let silent = now - self.heard_at.max(self.busy_since);
        if silent >= SILENT {
            self.ended_silence = Some((now, silent));
        }
    }

    /// It has answered. Where it was in trouble lately, it is back.
    pub fn record_answer(&mut self, now: Micros) {
        (self.heard_at, self.ended_silence) = (now, None);
        self.answered += 1.0;
        if self
            .troubled_at
            .take()
            .is_some_and(|at| now - at < TROUBLE_REMEMBERED_FOR)
        {
            self.recovered_at = Some(now);
            self.recovered_since.get_or_insert(now);
        }
    }
}

/// What this front has seen of an engine, for others.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineObservation<'a> {
    /// Its id on the engine list.
    pub id: &'a str,
    /// Executions there that failed or were lost over the last seconds; older ones count less.
    pub failed: f64,
    /// Executions there that were answered over the last seconds; older ones count less.
    pub answered: f64,
    /// The time for which it has sent nothing with executions in flight; 0 where that is short.
    pub silent: Micros,
    /// It takes no new statements.
    pub draining: bool,
    /// The time of its last start, where that is known.
    pub started: Option<Micros>,
}

impl Dispatcher {
    /// Engines that others may want to know of: those in some trouble, draining, or started lately.
    pub fn observations(&mut self, now: Micros) -> Vec<EngineObservation<'_>> {
        self.engines.iter_mut().for_each(|e| e.stats.fade(now));
        let silent = |e: &Engine| {
            let ended_silence = e
                .stats
                .ended_silence
                .filter(|(at, _)| now - at < SILENCE_REPORTED_FOR)
                .map_or(0, |(_, silent)| silent);
            let now_silent = if e.out == e.held {
                0
            } else {
                now - e.stats.heard_at.max(e.stats.busy_since)
            };
            Some(now_silent.max(ended_silence))
                .filter(|silent| *silent >= SILENT)
                .unwrap_or(0)
        };
        for e in &mut self.engines {
            if e.stats.failed >= 1.0 || silent(e) > 0 {
                (
                    e.stats.troubled_at,
                    e.stats.recovered_at,
                    e.stats.recovered_since,
                ) = (Some(now), None, None);
            }
            e.stats.recovered_at = e
                .stats
                .recovered_at
                .filter(|at| now - at < RECOVERY_REPORTED_FOR);
        }
        let answered = |e: &Engine| {
            if e.stats.recovered_at.is_some() {
                e.stats.answered.max(1.0)
            } else {
                e.stats.answered
            }
        };
        let all = self.engines.iter().map(|e| EngineObservation {
            id: &e.id,
            failed: e.stats.failed,
            answered: answered(e),
            silent: silent(e),
            draining: e.entry.mode != Mode::Ready,
            started: e.entry.started,
        });
        let has_recovered = self.engines.iter().map(|e| e.stats.recovered_at.is_some());
        let worth = |(s, recovered): &(EngineObservation, bool)| {
            s.failed >= 1.0 || s.silent > 0 || s.draining || *recovered
        };
        all.zip(has_recovered)
            .filter(worth)
            .map(|(s, _)| s)
            .collect()
    }

    /// Another front reports on an engine, which `is` knows by its id; `reporter` is its index among the
    /// other fronts.
    pub fn peer_report(
        &mut self,
        now: Micros,
        reporter: usize,
        is: impl Fn(&str) -> bool,
        observed: &EngineObservation,
        age: Micros,
    ) {
        let Some(engine) = self.engines.iter().position(|e| is(&e.id)) else {
            return;
        };
        if observed.failed >= 1.0 || observed.silent > 0 {
            self.engines[engine].stats.troubled_at = Some(now);
        }
        let EngineObservation {
            failed,
            answered,
            silent,
            ..
        } = *observed;
        let report = PeerReport {
            reporter,
            engine,
            failed,
            answered,
            silent,
            age,
        };
        if report.answers() {
            self.engines[engine].stats.ended_silence = None; // the engine has answered since
        }
        self.events.push(Event::PeerReport(report));
    }

    /// How many fronts there are, this one too: those that have not said good-bye, and of them those heard
    /// of. `probers` are those that share the probes into what the fleet has left: infinitely many where it
    /// is another's work.
    pub fn set_fleet_size(&mut self, known: usize, probers: f64) {
        self.events.push(Event::Fleet {
            known: known as f64,
            up: probers.max(1.0),
        });
    }

    /// Engines that were in trouble and have answered again, and since when, while they may be cold for it.
    pub fn recovered(&self, now: Micros) -> Vec<(&str, Micros)> {
        let lately = |since: &Micros| now - since < self.warm_within.max(RECOVERY_REPORTED_FOR);
        let recovered = self
            .engines
            .iter()
            .filter_map(|e| Some((e.id.as_str(), e.stats.recovered_since?)));
        recovered.filter(|(_, since)| lately(since)).collect()
    }

    /// The owner of that work says that an engine has answered again since then: as if it had started.
    pub fn set_recovered_since(&mut self, is: impl Fn(&str) -> bool, since: Micros) {
        let Some(engine) = self.engines.iter_mut().find(|e| is(&e.id)) else {
            return;
        };
        (engine.stats.recovered_since, engine.stats.ended_silence) = (Some(since), None);
        let entry = EngineEntry {
            started: Some(since),
            ..engine.entry.clone()
        };
        self.events.push(Event::Engines {
            whole: false,
            entries: vec![entry],
        });
    }
}

#[cfg(test)]
#[path = "observations_tests.rs"]
mod tests;
