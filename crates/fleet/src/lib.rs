//! What one front and its fleet know of each other, carried between gossip and the dispatcher: what this front has
//! seen of engines goes out, what others have seen and how many fronts there are goes to the module as events.
//! No sockets, no clock, no chance of its own; nothing is decided here.

pub mod gate;
mod load;
mod owning;
mod promises;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use hallmux_dispatcher::{Dispatcher, EngineObservation, Micros};
use hallmux_gossip::evidence::News;
use hallmux_gossip::message::Sighting;
use hallmux_gossip::node::{Datagram, Node, Start};
use hallmux_gossip::seal::{Keys, Refused};
use hallmux_gossip::{Chance, PeerId};
use hallmux_hash::fnv1a;

const LOOK: Micros = 250_000; // microseconds between looks at what this front has seen itself
const SILENCE_STEP_MS: Micros = 500; // milliseconds that silence is told in: each change is a report for all to pass on
const MOST_CAME: usize = 1_024; // letters that wait for other parts: some 100 KB
const MOST_MAKERS: usize = 4_096; // fronts that the module keeps apart in one life of this one

pub use hallmux_gossip::post::{Channel, Letter};
pub use owning::{Ownership, Owns, Saved};
pub use promises::Kept;

/// One moment on a front's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Microseconds on the clock that the dispatcher goes by.
    pub now: Micros,
    /// Microseconds on a clock that only ever runs evenly on: leases go by it alone.
    pub steady: Micros,
    /// Unix milliseconds, as other fronts are told.
    pub wall_ms: u64,
}

/// What is to go out.
#[derive(Default)]
pub struct Out {
    pub datagrams: Vec<Datagram>,
    /// Must be lasting before the datagrams beside it leave, in this order.
    pub saved: Vec<Saved>,
    /// The same of the ledger; `saved` is to be said of each.
    pub kept: Vec<Kept>,
}

/// One front's part in the exchange.
pub struct Exchange {
    node: Node,
    look: Micros,
    /// What others said last, so that a change is told once.
    known: BTreeMap<(PeerId, u64), Sighting>,
    /// Their places for the module, in the order in which they were first heard.
    makers: BTreeMap<PeerId, usize>,
    /// How many fronts the dispatcher was told of last.
    fleet: (usize, usize),
    left: bool,
    came: Vec<Letter>,
    /// One owner at a time for work on behalf of the fleet, where voters are named.
    owning: Option<owning::Owning>,
    /// The ledger of promises, where it is switched on.
    promises: Option<promises::Promises>,
    /// What the fleet is asked, where it sheds as one.
    load: Option<load::Load>,
    /// Whether the dispatcher was told last that the fleet's probes are this front's.
    probes: Option<bool>,
}

/// An engine's id as it goes out: the same on every front.
pub fn named(engine: &str) -> u64 {
    fnv1a(engine.bytes())
}

fn sighting(seen: &EngineObservation) -> Sighting {
    Sighting {
        engine: named(seen.id),
        failed: seen.failed.min(255.0) as u8,
        answered: seen.answered.min(255.0) as u8,
        silent_ms: (seen.silent / 1000 / SILENCE_STEP_MS * SILENCE_STEP_MS).min(Micros::from(u16::MAX))
            as u16,
        drains: seen.draining,
        started_s: seen.started.map_or(0, |at| (at / 1_000_000) as u32),
    }
}

impl Exchange {
    /// `wall_ms` is the Unix clock: it is the name of this life.
    pub fn new(start: Start, wall_ms: u64) -> Exchange {
        Exchange {
            node: Node::new(start, wall_ms),
            look: 0,
            known: BTreeMap::new(),
            makers: BTreeMap::new(),
            fleet: (1, 1),
            left: false,
            came: Vec::new(),
            owning: None,
            promises: None,
            load: None,
            probes: None,
        }
    }

    /// Switches on one owner at a time. An error says why what was saved can't be used.
    pub fn own(&mut self, at: Moment, ownership: Ownership) -> Result<(), hallmux_lease::disk::Spoilt> {
        self.owning = Some(owning::Owning::new(at, self.node.id(), ownership)?);
        Ok(())
    }

    /// Switches on that the fleet sheds as one.
    pub fn tells_load(&mut self) {
        self.node.tells_load();
        self.load.get_or_insert_default();
    }

    /// Under which token this front owns the fleet's work now.
    pub fn owns(&self, steady: Micros) -> Option<Owns> {
        self.owning.as_ref().and_then(|owning| owning.owns(steady))
    }

    /// Whether a probe on behalf of the fleet may leave now: where such work has owners, only the owner's.
    pub fn may_probe(&self, steady: Micros) -> bool {
        self.owning.as_ref().is_none_or(|owning| owning.owns(steady).is_some())
    }

    /// Acts and letters of owners and voters that counted for nothing, by why.
    pub fn refused_acts(&self) -> BTreeMap<&'static str, u64> {
        self.owning.as_ref().map(|owning| owning.refused.clone()).unwrap_or_default()
    }

    /// The public half of its key pair.
    pub fn public(&self) -> [u8; 32] {
        self.node.public()
    }

    /// Other public keys count from now on.
    pub fn keys(&mut self, keys: Rc<Keys>) {
        self.node.keys(keys);
    }

    /// How many fronts there are, this one too: those that have not said good-bye, and of them those that are up.
    pub fn fleet(&self) -> (usize, usize) {
        self.fleet
    }

    /// What counted for nothing, by why.
    pub fn refused(&self) -> &BTreeMap<Refused, u64> {
        &self.node.refused
    }

    /// When `tick` is next due.
    pub fn due(&self, at: Moment) -> Micros {
        let promises =
            self.promises.as_ref().map_or(Micros::MAX, |p| at.now.saturating_add(p.due(at.steady)));
        if self.left {
            promises
        } else {
            let owning = self.owning.as_ref().map_or(Micros::MAX, owning::Owning::due);
            let load = self.load.as_ref().map_or(Micros::MAX, load::Load::due);
            self.node.due().min(self.look).min(owning).min(promises).min(load)
        }
    }

    /// A datagram has come; what is to go back.
    pub fn heard(&mut self, at: Moment, from: SocketAddr, bytes: &[u8]) -> Out {
        let mut out = Out { datagrams: self.node.heard(at.now, at.wall_ms, from, bytes), ..Out::default() };
        for Letter { from, at: heard_at, channel, bytes } in self.node.letters() {
            match (channel, &mut self.owning) {
                (Channel::Lease, Some(owning)) => owning.heard(at, from, heard_at, &bytes),
                (Channel::Lease, None) => {}
                (Channel::Ledger, _) => {
                    self.promises.iter_mut().for_each(|promises| promises.heard(at, from, &bytes));
                }
                _ if self.came.len() >= MOST_CAME => {}
                _ => self.came.push(Letter { from, at: heard_at, channel, bytes }),
            }
        }
        if let Some(owning) = &mut self.owning {
            owning.send(at, &mut self.node, &mut out);
        }
        self.send_promises(at, &mut out);
        out
    }

    /// Switches on the ledger of promises; `members` are heard there. An error says why it can't be, or why what was saved can't be used.
    pub fn promise(
        &mut self,
        at: Moment,
        setup: hallmux_ledger::Setup,
        members: BTreeMap<PeerId, SocketAddr>,
        saved: Option<hallmux_ledger::Saved>,
    ) -> Result<(), hallmux_ledger::Error> {
        self.promises = Some(promises::Promises::new(at, setup, members, saved)?);
        Ok(())
    }

    /// Other fronts keep copies from now on, as the operator says; nothing changes where the list can't be used.
    pub fn members(
        &mut self,
        at: Moment,
        members: Vec<hallmux_ledger::Member>,
        addresses: BTreeMap<PeerId, SocketAddr>,
    ) -> Result<(), hallmux_ledger::Error> {
        self.promises.as_mut().map_or(Ok(()), |promises| promises.members(at, members, addresses))
    }

    /// Asks the ledger; what is to go out for it. The answer comes with `promised`, maybe at once.
    pub fn ask(&mut self, at: Moment, ask: hallmux_ledger::Ask) -> Out {
        let mut out = Out::default();
        self.promises.iter_mut().for_each(|promises| promises.ask(at, ask.clone()));
        self.send_promises(at, &mut out);
        out
    }

    /// What the ledger has answered.
    pub fn promised(&mut self) -> Vec<hallmux_ledger::Done> {
        self.promises.as_mut().map(promises::Promises::done).unwrap_or_default()
    }

    /// What the ledger gave out to be kept is lasting, or could not be.
    pub fn saved(&mut self, at: Moment, number: u64, ok: bool) -> Out {
        let mut out = Out::default();
        self.promises.iter_mut().for_each(|promises| promises.saved(at, number, ok));
        self.send_promises(at, &mut out);
        out
    }

    /// The front's copies are lost with their disk: it begins anew with another, as one that remembers nothing.
    pub fn start_over(&mut self, at: Moment, disk: u64) -> Out {
        let mut out = Out::default();
        self.promises.iter_mut().for_each(|promises| promises.start_over(at, disk));
        self.send_promises(at, &mut out);
        out
    }

    /// Copies of the ledger that were found to differ by this front, and that were mended here.
    pub fn differed(&self) -> (u64, u64) {
        self.promises.as_ref().map_or((0, 0), promises::Promises::differed)
    }

    pub fn ledger_tallies(&self) -> Option<hallmux_ledger::Tallies> {
        self.promises.as_ref().map(promises::Promises::tallies)
    }

    fn send_promises(&mut self, at: Moment, out: &mut Out) {
        if let Some(promises) = &mut self.promises {
            promises.send(at, &mut self.node, out);
        }
    }

    /// Letters that have come for parts beside this one; what is not taken from turn to turn gets lost.
    pub fn letters(&mut self) -> Vec<Letter> {
        std::mem::take(&mut self.came)
    }

    /// A letter of such a part to another front: None if it is not known, or too much was sent this second.
    pub fn post(&mut self, at: Moment, to: PeerId, channel: Channel, bytes: &[u8]) -> Option<Datagram> {
        let to = self.node.address(to)?;
        self.node.post(at.now, at.wall_ms, to, channel, bytes)
    }

    /// Does what is due: what is to go out, and what others say that was not known before.
    pub fn tick(
        &mut self,
        at: Moment,
        dispatcher: &mut Dispatcher,
        chance: &mut impl Chance,
    ) -> (Out, Vec<News>) {
        let (mut out, mut new) = (Out::default(), Vec::new());
        if at.now < self.due(at) {
            return (out, new);
        }
        if self.left {
            // What it has yet to answer still rests on promises.
            let node = &self.node;
            self.promises.iter_mut().for_each(|promises| promises.tick(at, node));
            self.send_promises(at, &mut out);
            return (out, new);
        }
        if let Some(owning) = &mut self.owning {
            owning.tick(at, self.fleet.1, dispatcher, chance);
            owning.send(at, &mut self.node, &mut out);
        }
        let node = &self.node;
        self.promises.iter_mut().for_each(|promises| promises.tick(at, node));
        self.send_promises(at, &mut out);
        if self.look <= at.now {
            self.look = at.now + LOOK;
            let mut seen: Vec<Sighting> = dispatcher.observations(at.now).iter().map(sighting).collect();
            seen.sort_by_key(|s| (std::cmp::Reverse(s.silent_ms), std::cmp::Reverse(s.failed), s.engine));
            let work = self.owning.as_ref().map(|owning| owning.says(at, dispatcher));
            self.node.says(at.now, at.wall_ms, seen, work.unwrap_or_default());
            if let Some(owning) = &mut self.owning {
                owning.admits(at, &self.node, dispatcher);
            }
            new = self.tell(at.now, dispatcher);
        }
        if let Some(load) = &mut self.load {
            load.tick(at, &mut self.node, dispatcher);
        }
        self.share(at, dispatcher);
        out.datagrams.extend(self.node.tick(at.now, at.wall_ms, chance));
        (out, new)
    }

    /// Tells the dispatcher how many fronts there are and who of them probes for the fleet, once that changes.
    fn share(&mut self, at: Moment, dispatcher: &mut Dispatcher) {
        let fleet = self.node.fleet();
        let probes = self.owning.as_ref().map(|owning| owning.owns(at.steady).is_some());
        if (fleet, probes) != (self.fleet, self.probes) {
            (self.fleet, self.probes) = (fleet, probes);
            let probers = match probes {
                None => fleet.1 as f64,
                Some(true) => 1.0,
                Some(false) => f64::INFINITY,
            };
            dispatcher.fleet(fleet.0, probers);
        }
    }

    /// This front is to end: what it owns of the ledger is handed over.
    pub fn hand_over(&mut self, at: Moment) -> Out {
        let mut out = Out::default();
        self.promises.iter_mut().for_each(|promises| promises.hand_over(at));
        self.send_promises(at, &mut out);
        out
    }

    /// Whether it still owns a part of the ledger that others could own.
    pub fn hands_over(&self) -> bool {
        self.promises.as_ref().is_some_and(promises::Promises::hands_over)
    }

    /// Whether a part of the ledger would have no majority without this front, as others are away.
    pub fn is_needed(&self, at: Moment) -> bool {
        self.promises.as_ref().is_some_and(|promises| promises.is_needed(at))
    }

    /// This front ends: some peers hear so, and tell the others.
    pub fn leave(&mut self, now: Micros, wall_ms: u64, chance: &mut impl Chance) -> Vec<Datagram> {
        if std::mem::replace(&mut self.left, true) {
            return Vec::new();
        }
        self.node.leave(now, wall_ms, chance)
    }

    /// Hands on what has changed in what others say; gives what is new.
    fn tell(&mut self, now: Micros, dispatcher: &mut Dispatcher) -> Vec<News> {
        let news = self.node.news(now);
        let known: BTreeMap<(PeerId, u64), Sighting> =
            news.iter().map(|n| ((n.maker, n.sighting.engine), n.sighting)).collect();
        for n in &news {
            let s = n.sighting;
            // Guards against makers without end, as keys come and go.
            if self.known.get(&(n.maker, s.engine)) == Some(&s) || self.makers.len() >= MOST_MAKERS {
                continue;
            }
            let next = self.makers.len();
            let maker = *self.makers.entry(n.maker).or_insert(next);
            let seen = EngineObservation {
                id: "",
                failed: f64::from(s.failed),
                answered: f64::from(s.answered),
                silent: Micros::from(s.silent_ms) * 1000,
                draining: s.drains,
                started: None,
            };
            dispatcher.peer_report(now, maker, |id| named(id) == s.engine, &seen, n.age);
        }
        let before = std::mem::replace(&mut self.known, known);
        news.into_iter().filter(|n| !before.contains_key(&(n.maker, n.sighting.engine))).collect()
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
