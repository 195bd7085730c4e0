//! What one front and its fleet know of each other, carried between gossip and the dispatcher: what this
//! front has seen of engines goes out, what others have seen and how many fronts there are goes to the module
//! as events. No sockets, no clock, no chance of its own; nothing is decided here.

pub mod gate;
mod load;
mod ownership;
mod promises;

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;

use hallmux_dispatcher::{Dispatcher, Micros, Sighted};
use hallmux_gossip::evidence::PeerReport;
use hallmux_gossip::members::FleetSize;
use hallmux_gossip::message::Sighting;
use hallmux_gossip::node::{Datagram, Node, NodeConfig};
use hallmux_gossip::seal::{Keys, Refused};
use hallmux_gossip::{PeerId, RandomSource};

const LOOK: Micros = 250_000; // microseconds between looks at what this front has seen itself
/// Milliseconds that silence is told in: each change is a report for all to pass on.
const SILENCE_STEP_MS: Micros = 500;
const MAX_RECEIVED: usize = 1_024; // channel messages held for other subsystems: some 100 KB
const MAX_REPORTERS: usize = 4_096; // fronts that the module keeps apart in one life of this one

pub use hallmux_gossip::channels::{Channel, ChannelMessage};
pub use ownership::{OwnedLease, OwnershipConfig, VoterSave};
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
    pub saved: Vec<VoterSave>,
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
    reporters: BTreeMap<PeerId, usize>,
    /// The size of the fleet as the dispatcher knows it.
    fleet: FleetSize,
    left: bool,
    received: Vec<ChannelMessage>,
    /// One owner at a time for work on behalf of the fleet, where voters are named.
    ownership: Option<ownership::Ownership>,
    /// The ledger of promises, where it is switched on.
    promises: Option<promises::Promises>,
    /// What the fleet is asked, where it sheds as one.
    load: Option<load::Load>,
    /// Whether the dispatcher was told last that the fleet's probes are this front's.
    probes: Option<bool>,
}

/// An engine's id as it goes out: the same on every front.
pub fn named(engine: &str) -> u64 {
    // FNV-1a, as published: it has to come to the same in every build.
    let mut hash = fnv::FnvHasher::default();
    hash.write(engine.as_bytes());
    hash.finish()
}

fn sighting(seen: &Sighted) -> Sighting {
    Sighting {
        engine: named(seen.id),
        failed: seen.failed.min(255.0) as u8,
        answered: seen.answered.min(255.0) as u8,
        silent_ms: (seen.silent / 1000 / SILENCE_STEP_MS * SILENCE_STEP_MS).min(Micros::from(u16::MAX))
            as u16,
        drains: seen.drains,
        started_s: seen.started.map_or(0, |at| (at / 1_000_000) as u32),
    }
}

impl Exchange {
    /// `wall_ms` is the Unix clock: it is the name of this life.
    pub fn new(config: NodeConfig, wall_ms: u64) -> Exchange {
        Exchange {
            node: Node::new(config, wall_ms),
            look: 0,
            known: BTreeMap::new(),
            reporters: BTreeMap::new(),
            fleet: FleetSize { known: 1, up: 1 },
            left: false,
            received: Vec::new(),
            ownership: None,
            promises: None,
            load: None,
            probes: None,
        }
    }

    /// Switches on that one front at a time owns the fleet's work. An error says why the saved state can't be
    /// used.
    pub fn enable_ownership(
        &mut self,
        at: Moment,
        config: OwnershipConfig,
    ) -> Result<(), hallmux_lease::disk::Spoilt> {
        self.ownership = Some(ownership::Ownership::new(at, self.node.peer_id(), config)?);
        Ok(())
    }

    /// Switches on that the fleet sheds as one.
    pub fn enable_load_reports(&mut self) {
        self.node.enable_load_reports();
        self.load.get_or_insert_default();
    }

    /// The lease under which this front owns the fleet's work now.
    pub fn owned_lease(&self, steady: Micros) -> Option<OwnedLease> {
        self.ownership.as_ref().and_then(|ownership| ownership.owned_lease(steady))
    }

    /// Whether a probe on behalf of the fleet may leave now: where such work has owners, only the owner's.
    pub fn may_probe(&self, steady: Micros) -> bool {
        self.ownership.as_ref().is_none_or(|ownership| ownership.owned_lease(steady).is_some())
    }

    /// Acts and messages of owners and voters that counted for nothing, by why.
    pub fn refused_acts(&self) -> BTreeMap<&'static str, u64> {
        self.ownership.as_ref().map(|ownership| ownership.refused.clone()).unwrap_or_default()
    }

    /// The public half of its key pair.
    pub fn public_key(&self) -> [u8; 32] {
        self.node.public_key()
    }

    /// Other public keys count from now on.
    pub fn set_keys(&mut self, keys: Rc<Keys>) {
        self.node.set_keys(keys);
    }

    /// The size of the fleet, this front included, as the dispatcher knows it.
    pub fn fleet_size(&self) -> FleetSize {
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
            let ownership = self.ownership.as_ref().map_or(Micros::MAX, ownership::Ownership::due);
            let load = self.load.as_ref().map_or(Micros::MAX, load::Load::due);
            self.node.due().min(self.look).min(ownership).min(promises).min(load)
        }
    }

    /// A datagram has come; what is to go back.
    pub fn receive(&mut self, at: Moment, from: SocketAddr, bytes: &[u8]) -> Out {
        let mut out = Out { datagrams: self.node.receive(at.now, at.wall_ms, from, bytes), ..Out::default() };
        for ChannelMessage { from, at: heard_at, channel, bytes } in self.node.received() {
            match (channel, &mut self.ownership) {
                (Channel::Lease, Some(ownership)) => ownership.receive(at, from, heard_at, &bytes),
                (Channel::Lease, None) => {}
                (Channel::Ledger, _) => {
                    self.promises.iter_mut().for_each(|promises| promises.heard(at, from, &bytes));
                }
                _ if self.received.len() >= MAX_RECEIVED => {}
                _ => self.received.push(ChannelMessage { from, at: heard_at, channel, bytes }),
            }
        }
        if let Some(ownership) = &mut self.ownership {
            ownership.send(at, &mut self.node, &mut out);
        }
        self.send_promises(at, &mut out);
        out
    }

    /// Switches on the ledger of promises; `members` are heard there. An error says why it can't be, or why
    /// what was saved can't be used.
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

    /// Other fronts keep copies from now on, as the operator says; nothing changes where the list can't be
    /// used.
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

    /// The front's copies are lost with their disk: it begins anew with another, as one that remembers
    /// nothing.
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

    /// Takes the messages received on other channels; beyond a bound those not taken are dropped.
    pub fn received(&mut self) -> Vec<ChannelMessage> {
        std::mem::take(&mut self.received)
    }

    /// Seals such a message to another front. None if its address is unknown or the channel's rate is
    /// exceeded.
    pub fn channel_datagram(
        &mut self,
        at: Moment,
        to: PeerId,
        channel: Channel,
        bytes: &[u8],
    ) -> Option<Datagram> {
        let to = self.node.address(to)?;
        self.node.channel_datagram(at.now, at.wall_ms, to, channel, bytes)
    }

    /// Does what is due: what is to go out, and what others say that was not known before.
    pub fn tick(
        &mut self,
        at: Moment,
        dispatcher: &mut Dispatcher,
        random: &mut impl RandomSource,
    ) -> (Out, Vec<PeerReport>) {
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
        if let Some(ownership) = &mut self.ownership {
            ownership.tick(at, self.fleet.up, dispatcher, random);
            ownership.send(at, &mut self.node, &mut out);
        }
        let node = &self.node;
        self.promises.iter_mut().for_each(|promises| promises.tick(at, node));
        self.send_promises(at, &mut out);
        if self.look <= at.now {
            self.look = at.now + LOOK;
            let mut seen: Vec<Sighting> = dispatcher.sighted(at.now).iter().map(sighting).collect();
            seen.sort_by_key(|s| (std::cmp::Reverse(s.silent_ms), std::cmp::Reverse(s.failed), s.engine));
            let ownership = self.ownership.as_ref().map(|ownership| ownership.report(at, dispatcher));
            self.node.report(at.now, at.wall_ms, seen, ownership.unwrap_or_default());
            if let Some(ownership) = &mut self.ownership {
                ownership.admit(at, &self.node, dispatcher);
            }
            new = self.tell(at.now, dispatcher);
        }
        if let Some(load) = &mut self.load {
            load.tick(at, &mut self.node, dispatcher);
        }
        self.share(at, dispatcher);
        out.datagrams.extend(self.node.tick(at.now, at.wall_ms, random));
        (out, new)
    }

    /// Tells the dispatcher how many fronts there are and who of them probes for the fleet, once that
    /// changes.
    fn share(&mut self, at: Moment, dispatcher: &mut Dispatcher) {
        let fleet = self.node.fleet_size();
        let probes = self.ownership.as_ref().map(|ownership| ownership.owned_lease(at.steady).is_some());
        if (fleet, probes) != (self.fleet, self.probes) {
            (self.fleet, self.probes) = (fleet, probes);
            let probers = match probes {
                None => fleet.up as f64,
                Some(true) => 1.0,
                Some(false) => f64::INFINITY,
            };
            dispatcher.fleet(fleet.known, probers);
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
    pub fn leave(&mut self, now: Micros, wall_ms: u64, random: &mut impl RandomSource) -> Vec<Datagram> {
        if std::mem::replace(&mut self.left, true) {
            return Vec::new();
        }
        self.node.leave(now, wall_ms, random)
    }

    /// Hands on what has changed in what others say; gives what is new.
    fn tell(&mut self, now: Micros, dispatcher: &mut Dispatcher) -> Vec<PeerReport> {
        let news = self.node.peer_reports(now);
        let known: BTreeMap<(PeerId, u64), Sighting> =
            news.iter().map(|n| ((n.reporter, n.sighting.engine), n.sighting)).collect();
        for n in &news {
            let s = n.sighting;
            // Guards against reporters without end, as keys come and go.
            if self.known.get(&(n.reporter, s.engine)) == Some(&s) || self.reporters.len() >= MAX_REPORTERS {
                continue;
            }
            let next = self.reporters.len();
            let reporter = *self.reporters.entry(n.reporter).or_insert(next);
            let seen = Sighted {
                id: "",
                failed: f64::from(s.failed),
                answered: f64::from(s.answered),
                silent: Micros::from(s.silent_ms) * 1000,
                drains: s.drains,
                started: None,
            };
            dispatcher.hearsay(now, reporter, |id| named(id) == s.engine, &seen, n.age);
        }
        let before = std::mem::replace(&mut self.known, known);
        news.into_iter().filter(|n| !before.contains_key(&(n.reporter, n.sighting.engine))).collect()
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
