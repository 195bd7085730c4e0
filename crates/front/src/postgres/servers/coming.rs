//! What comes from engines: logins, parts of answers, whole ones, words that they are there.

use std::collections::BTreeMap;

use hallmux_dispatcher::{Ending, Micros, Place};
use hallmux_postgres::client_error::is_engine_fault;
use hallmux_postgres::engine::{EngineEvent, UnitOutcome};
use hallmux_postgres::pool;

use super::leaving::dialled;
use super::{Execution, Sent, ServerId, Servers, Stage, Told};
use crate::link::Broken;

const LOGIN: Micros = 2_000_000; // microseconds for a login once the connection is up; it takes a few ms
const QUIET: Micros = 300_000; // microseconds that an engine with units out may say nothing before it is asked
const ONE_READ: usize = 64 << 10; // bytes taken from an engine at once, and so how far a client may be behind

impl Servers {
    /// Hands on what has come of an answer, if it is due: too much to hold, or a client that waits for it.
    pub(super) fn pass(&mut self, sent: Sent, caught: bool) {
        let Some(x) = self.executions.get_mut(&sent) else { return };
        let flushed = x.unit.parts.last().is_some_and(|part| !part.ends);
        let due = x.begun || flushed || x.back.len() > self.limits.buffer_bytes || caught;
        if due && !x.back.is_empty() {
            x.begun = true;
            let bytes = std::mem::take(&mut x.back);
            let link = x.link.and_then(|id| self.links.get(&id));
            let whole = link.is_some_and(|l| l.engine.is_between_messages());
            self.told.push(Told::Part { sent, bytes, whole });
        }
    }

    /// A client is behind with its answer, or has caught up.
    pub fn pause(&mut self, sent: Sent, paused: bool) -> Option<ServerId> {
        let x = self.executions.get_mut(&sent)?;
        let resumes = x.paused && !paused;
        x.paused = paused;
        x.link.filter(|_| resumes)
    }

    /// A connection has changed; true if there is more for another turn.
    pub fn read(&mut self, now: Micros, id: ServerId) -> bool {
        let Some(server) = self.links.get_mut(&id) else { return false };
        if !server.up {
            match server.link.is_up() {
                Ok(false) => return false,
                Ok(true) => {
                    server.up = true;
                    self.coming.insert(id, now + LOGIN);
                    if let Some(engine) = self.engines.get_mut(&server.place).filter(|e| e.failing) {
                        engine.failing = false;
                        log::info!("engine {}: reached again", engine.id);
                    }
                }
                Err(e) => {
                    self.end(now, id, dialled(&e));
                    return false;
                }
            }
        }
        self.dirty.insert(id);
        if let Some(engine) = self.engines.get_mut(&server.place) {
            engine.heard = now;
        }
        let execution = server.serves.and_then(|sent| self.executions.get_mut(&sent));
        if execution.as_ref().is_some_and(|x| x.paused) {
            return false;
        }
        let (more, broken) = server.link.read_some(ONE_READ);
        let mut input = std::mem::take(&mut server.link.input);
        let mut at = 0;
        let ended = loop {
            let Some(server) = self.links.get_mut(&id) else { return false };
            let sent = server.serves;
            let execution = sent.and_then(|sent| self.executions.get_mut(&sent));
            let mut dropped = Vec::new();
            let back = execution.map_or(&mut dropped, |x| &mut x.back);
            let room = self.limits.buffer_bytes;
            let read = server.engine.read(&input[at..], server.link.output(), back, room);
            match read {
                Err(what) => break Some(what),
                Ok((used, heard)) => {
                    at += used;
                    let over = heard.is_none() && used == 0;
                    if let Some(sent) = sent {
                        self.pass(sent, false);
                    }
                    if let Some(heard) = heard {
                        self.heard(now, id, heard);
                    }
                    if over || at == input.len() {
                        break None;
                    }
                }
            }
        };
        if let Some(what) = ended {
            if broken.is_none() {
                log::info!("engine {}: {what}; its connection is closed", self.name(id));
            }
            self.end(now, id, if broken.is_some() { Ending::Closed } else { Ending::Unreadable });
            return false;
        }
        if let Some(server) = self.links.get_mut(&id) {
            input.drain(..at);
            server.link.input = input;
        }
        match broken {
            Some(Broken::Closed) => self.end(now, id, Ending::Closed),
            Some(Broken::Reset) => self.end(now, id, Ending::Reset),
            None => return more,
        }
        false
    }

    fn heard(&mut self, now: Micros, id: ServerId, heard: EngineEvent) {
        let Some(server) = self.links.get_mut(&id) else { return };
        let place = server.place;
        match heard {
            EngineEvent::PingAnswered => self.alive(place),
            EngineEvent::Ready => {
                self.coming.remove(&id);
                if !server.engine.parameters.is_empty() {
                    self.parameters = std::mem::take(&mut server.engine.parameters);
                }
                self.alive(place);
                self.rests(now, id);
            }
            EngineEvent::LoginRefused { code, error } => {
                log::warn!("engine {}: no login: {code}", self.name(id));
                let lost = self.forget(id);
                self.links.remove(&id);
                for sent in lost {
                    match code.as_str() {
                        "53300" => self.ended(sent, Ending::TurnedAway),
                        code if is_engine_fault(code.as_bytes()) => self.ended(sent, Ending::Refused),
                        _ => self.refused(sent, error.clone()),
                    }
                }
                let step = self.pools.next_action(place);
                self.step(now, place, step);
            }
            EngineEvent::SettingsRefused { error } => {
                let sent = server.serves.take();
                self.close(id);
                sent.into_iter().for_each(|sent| self.refused(sent, error.clone()));
                let step = self.pools.next_action(place);
                self.step(now, place, step);
            }
            EngineEvent::UnitDone(done) => self.done(now, id, done),
        }
    }

    /// An engine has answered: what is out there is not held up by its silence.
    fn alive(&mut self, place: Place) {
        let out = |x: &Execution| x.place == place && x.stage != Stage::Waits;
        let one = self.executions.iter().filter(|(_, x)| out(x)).map(|(sent, _)| *sent).min();
        self.told.extend(one.map(Told::Alive));
    }

    /// Asks engines that have units out and say nothing whether they are there. They send no notes of progress,
    /// and a long statement on an engine that does little else is not to be taken for a hung one.
    pub(super) fn ask(&mut self, now: Micros) {
        let mut quiet: BTreeMap<Place, pool::AccountId> = BTreeMap::new();
        for x in self.executions.values().filter(|x| x.stage == Stage::Out) {
            let engine = self.engines.get(&x.place);
            if engine.is_some_and(|e| e.up && now - e.heard.max(e.asked) >= QUIET) {
                quiet.entry(x.place).or_insert(x.unit.account);
            }
        }
        for (place, account) in quiet {
            if let Some(engine) = self.engines.get_mut(&place) {
                engine.asked = now;
            }
            match self.pools.idle_connection(place) {
                Some(id) => {
                    if let Some(server) = self.links.get_mut(&id) {
                        server.engine.ping(server.link.output());
                        self.dirty.insert(id);
                    }
                }
                // A login is an answer as well.
                None if self.pools.may_dial(place) && self.dials.borrow_mut().take(now, place) => {
                    _ = self.dial(now, place, account)
                }
                None => {}
            }
        }
    }

    fn refused(&mut self, sent: Sent, error: Vec<u8>) {
        self.executions.remove(&sent);
        self.told.push(Told::Refused { sent, error });
    }

    fn done(&mut self, now: Micros, id: ServerId, done: UnitOutcome) {
        let Some(server) = self.links.get_mut(&id) else { return };
        let (place, sent, session) = (server.place, server.serves.take(), server.holds.take());
        server.discards = false;
        let open = done.status != b'I';
        let listed = self.engines.get(&place).is_some_and(|e| e.up);
        let x = sent.and_then(|sent| self.executions.remove(&sent));
        let Some((sent, x)) = sent.zip(x) else {
            // Of one that was given up, or of none: a transaction that it left open is nobody's.
            return if open { self.gone(now, id, place) } else { self.rests(now, id) };
        };
        if done.fault && !x.begun && x.unit.pin.is_none() {
            self.told.push(Told::Ended { sent, ending: Ending::EngineFailed });
            return if open { self.gone(now, id, place) } else { self.rests(now, id) };
        }
        let (holder, keeps) = (x.unit.session, open && listed);
        let held = keeps.then_some(id);
        self.told.push(Told::Answered { sent, bytes: x.back, done, held });
        if keeps {
            if let Some(server) = self.links.get_mut(&id) {
                server.holds = session.or(Some(holder));
            }
        } else if open {
            // Its engine drains: the transaction has no further statement there.
            self.told.push(Told::Lost { session: holder });
            self.gone(now, id, place);
        } else {
            self.rests(now, id);
        }
    }
}
