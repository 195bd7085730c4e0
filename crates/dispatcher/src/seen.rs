//! What is spoken of by the fleet: what this front has seen of engines, and what others say of them.

use hallmux::interface::{EngineEntry, Event, Micros, Mode, PeerReport};

use crate::engines::Engine;
use crate::Dispatcher;

const SEEN_HALVES: Micros = 2_000_000; // microseconds until what was seen of an engine counts half
pub const SILENT: Micros = 1_000_000; // microseconds of silence with something out that are worth a word
const HUSHED_FOR: Micros = 3_000_000; // microseconds for which silence that ended in giving up is told: else it would
                                      // be taken back before the word of it reached many fronts
const ILL_FOR: Micros = 120_000_000; // microseconds after trouble that an answer is worth a word; zones stay away long
const BACK_FOR: Micros = 4_000_000; // microseconds for which that word is said: it reaches a thousand fronts in three

/// What was seen of an engine lately; counts halve with time.
#[derive(Clone, Copy, Default)]
pub struct Seen {
    pub failed: f64,
    pub answered: f64,
    pub at: Micros,
    /// When it last said anything, and since when something is out there.
    pub heard: Micros,
    pub busy: Micros,
    /// When it was last in trouble, here or by others' word, and since when it has answered again.
    pub ill: Option<Micros>,
    pub back: Option<Micros>,
    /// The same, not taken back.
    pub back_since: Option<Micros>,
    /// When an execution was last given up there after silence worth a word, and how long that was.
    pub hushed: Option<(Micros, Micros)>,
}

impl Seen {
    pub fn fade(&mut self, now: Micros) {
        let left = 0.5f64.powf((now - self.at) as f64 / SEEN_HALVES as f64);
        (self.failed, self.answered, self.at) = (self.failed * left, self.answered * left, now);
    }

    /// It has answered. Where it was in trouble lately, it is back.
    pub fn answers(&mut self, now: Micros) {
        (self.heard, self.hushed) = (now, None);
        self.answered += 1.0;
        if self.ill.take().is_some_and(|at| now - at < ILL_FOR) {
            self.back = Some(now);
            self.back_since.get_or_insert(now);
        }
    }
}

/// What this front has seen of an engine, for others.
#[derive(Clone, Debug, PartialEq)]
pub struct Sighted<'a> {
    pub id: &'a str,
    /// Executions that failed or were lost, and that were answered, of some seconds.
    pub failed: f64,
    pub answered: f64,
    /// How long it has said nothing though something is out there.
    pub silent: Micros,
    pub drains: bool,
    pub started: Option<Micros>,
}

impl Dispatcher {
    /// Engines that others may want to know of: those in some trouble, draining, or started lately.
    pub fn sighted(&mut self, now: Micros) -> Vec<Sighted<'_>> {
        self.engines.iter_mut().for_each(|e| e.seen.fade(now));
        let silent = |e: &Engine| {
            let hushed =
                e.seen.hushed.filter(|(at, _)| now - at < HUSHED_FOR).map_or(0, |(_, silent)| silent);
            let now_silent = if e.out == e.held { 0 } else { now - e.seen.heard.max(e.seen.busy) };
            Some(now_silent.max(hushed)).filter(|silent| *silent >= SILENT).unwrap_or(0)
        };
        for e in &mut self.engines {
            if e.seen.failed >= 1.0 || silent(e) > 0 {
                (e.seen.ill, e.seen.back, e.seen.back_since) = (Some(now), None, None);
            }
            e.seen.back = e.seen.back.filter(|at| now - at < BACK_FOR);
        }
        let back =
            |e: &Engine| if e.seen.back.is_some() { e.seen.answered.max(1.0) } else { e.seen.answered };
        let all = self.engines.iter().map(|e| Sighted {
            id: &e.id,
            failed: e.seen.failed,
            answered: back(e),
            silent: silent(e),
            drains: e.entry.mode != Mode::Ready,
            started: e.entry.started,
        });
        let is_back = self.engines.iter().map(|e| e.seen.back.is_some());
        let worth = |(s, back): &(Sighted, bool)| s.failed >= 1.0 || s.silent > 0 || s.drains || *back;
        all.zip(is_back).filter(worth).map(|(s, _)| s).collect()
    }

    /// Another front reports on an engine, which `is` knows by its id; `reporter` is its index among the other fronts.
    pub fn peer_report(
        &mut self,
        now: Micros,
        reporter: usize,
        is: impl Fn(&str) -> bool,
        seen: &Sighted,
        age: Micros,
    ) {
        let Some(engine) = self.engines.iter().position(|e| is(&e.id)) else { return };
        if seen.failed >= 1.0 || seen.silent > 0 {
            self.engines[engine].seen.ill = Some(now);
        }
        let Sighted { failed, answered, silent, .. } = *seen;
        let report = PeerReport { reporter, engine, failed, answered, silent, age };
        if report.answers() {
            self.engines[engine].seen.hushed = None; // the engine has answered since
        }
        self.told.push(Event::PeerReport(report));
    }

    /// How many fronts there are, this one too: those that have not said good-bye, and of them those heard of.
    /// `probers` are those that share the probes into what the fleet has left: infinitely many where it is another's
    /// work.
    pub fn fleet(&mut self, known: usize, probers: f64) {
        self.told.push(Event::Fleet { known: known as f64, up: probers.max(1.0) });
    }

    /// Engines that were in trouble and have answered again, and since when, while they may be cold for it.
    pub fn back(&self, now: Micros) -> Vec<(&str, Micros)> {
        let lately = |since: &Micros| now - since < self.warm_within.max(BACK_FOR);
        let back = self.engines.iter().filter_map(|e| Some((e.id.as_str(), e.seen.back_since?)));
        back.filter(|(_, since)| lately(since)).collect()
    }

    /// The owner of that work says that an engine has answered again since then: as if it had started.
    pub fn answers_since(&mut self, is: impl Fn(&str) -> bool, since: Micros) {
        let Some(engine) = self.engines.iter_mut().find(|e| is(&e.id)) else { return };
        (engine.seen.back_since, engine.seen.hushed) = (Some(since), None);
        let entry = EngineEntry { started: Some(since), ..engine.entry.clone() };
        self.told.push(Event::Engines { whole: false, entries: vec![entry] });
    }
}

#[cfg(test)]
#[path = "seen_tests.rs"]
mod tests;
