//! What one front and its fleet know of each other, carried between gossip and the dispatcher: what this front has
//! seen of engines goes out, what others have seen and how many fronts there are goes to the module as events.
//! No sockets, no clock, no chance of its own; nothing is decided here.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use hallmux_dispatcher::{Dispatcher, Micros, Sighted};
use hallmux_gossip::evidence::News;
use hallmux_gossip::message::Sighting;
use hallmux_gossip::node::{Datagram, Node, Start};
use hallmux_gossip::seal::{Keys, Refused};
use hallmux_gossip::{Chance, PeerId};

const LOOK: Micros = 250_000; // microseconds between looks at what this front has seen itself
const SILENCE_STEP_MS: Micros = 500; // milliseconds that silence is told in: each change is a report for all to pass on
const MOST_MAKERS: usize = 4_096; // fronts that the module keeps apart in one life of this one

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
}

/// An engine's id as it goes out: the same on every front.
pub fn named(engine: &str) -> u64 {
    // FNV-1a, as published: it has to come to the same in every build.
    engine
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
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
    pub fn new(start: Start, wall_ms: u64) -> Exchange {
        Exchange {
            node: Node::new(start, wall_ms),
            look: 0,
            known: BTreeMap::new(),
            makers: BTreeMap::new(),
            fleet: (1, 1),
            left: false,
        }
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

    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.node.sent
    }

    /// When `tick` is next due.
    pub fn due(&self) -> Micros {
        if self.left {
            Micros::MAX
        } else {
            self.node.due().min(self.look)
        }
    }

    /// A datagram has come; what is to go back.
    pub fn heard(&mut self, now: Micros, wall_ms: u64, from: SocketAddr, bytes: &[u8]) -> Vec<Datagram> {
        self.node.heard(now, wall_ms, from, bytes)
    }

    /// Does what is due: the datagrams to be sent, and what others say that was not known before.
    pub fn tick(
        &mut self,
        now: Micros,
        wall_ms: u64,
        dispatcher: &mut Dispatcher,
        chance: &mut impl Chance,
    ) -> (Vec<Datagram>, Vec<News>) {
        if self.left || now < self.due() {
            return (Vec::new(), Vec::new());
        }
        let mut new = Vec::new();
        if self.look <= now {
            self.look = now + LOOK;
            let mut seen: Vec<Sighting> = dispatcher.sighted(now).iter().map(sighting).collect();
            seen.sort_by_key(|s| (std::cmp::Reverse(s.silent_ms), std::cmp::Reverse(s.failed), s.engine));
            self.node.sees(now, wall_ms, seen);
            new = self.tell(now, dispatcher);
        }
        (self.node.tick(now, wall_ms, chance), new)
    }

    /// This front ends: some peers hear so, and tell the others.
    pub fn leave(&mut self, now: Micros, wall_ms: u64, chance: &mut impl Chance) -> Vec<Datagram> {
        if std::mem::replace(&mut self.left, true) {
            return Vec::new();
        }
        self.node.leave(now, wall_ms, chance)
    }

    /// Hands on what has changed in what others say and in how many there are; gives what is new.
    fn tell(&mut self, now: Micros, dispatcher: &mut Dispatcher) -> Vec<News> {
        let fleet = self.node.fleet();
        if std::mem::replace(&mut self.fleet, fleet) != fleet {
            dispatcher.fleet(fleet.0, fleet.1);
        }
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
            let seen = Sighted {
                id: "",
                failed: f64::from(s.failed),
                answered: f64::from(s.answered),
                silent: Micros::from(s.silent_ms) * 1000,
                drains: s.drains,
                started: None,
            };
            dispatcher.hearsay(now, maker, |id| named(id) == s.engine, &seen, n.age);
        }
        let before = std::mem::replace(&mut self.known, known);
        news.into_iter().filter(|n| !before.contains_key(&(n.maker, n.sighting.engine))).collect()
    }
}
