//! Words with other fronts over datagrams: what this front has seen of engines goes out, what others have seen
//! comes in. Switched on by the operator's file; off, it is not there.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use hallmux_agreement::{hexadecimal, Gossip};
use hallmux_dispatcher::{Dispatcher, Micros, Sighted};
use hallmux_gossip::evidence::News;
use hallmux_gossip::message::{Sighting, LONGEST};
use hallmux_gossip::node::{Datagram, Node, Start};
use hallmux_gossip::seal::{id, Keys, Refused};
use hallmux_gossip::PeerId;

use crate::doors::{Changes, Door};

const LOOK: Micros = 250_000; // microseconds between looks at what this front has seen itself
const ONE_TURN: usize = 64; // datagrams taken before others have their turn
const MOST_MAKERS: usize = 4_096; // fronts that the module keeps apart in one life of this one
const SAID: Micros = 10_000_000; // microseconds between lines of the log on what was refused

pub struct Peers {
    socket: Rc<UdpSocket>,
    node: Node,
    names: BTreeMap<PeerId, String>,
    chance: RandomState,
    drawn: u64,
    look: Micros,
    said: Micros,
    refused: BTreeMap<Refused, u64>,
    /// What others said last, so that a change is told once.
    known: BTreeMap<(PeerId, u64), Sighting>,
    /// Their places for the module, in the order in which they were first heard.
    makers: BTreeMap<PeerId, usize>,
    left: bool,
}

/// An engine's id as it goes out: the same on every front.
fn named(engine: &str) -> u64 {
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
        silent_ms: (seen.silent / 1000).min(Micros::from(u16::MAX)) as u16,
        drains: seen.drains,
        started_s: seen.started.map_or(0, |at| (at / 1_000_000) as u32),
    }
}

fn keys(gossip: &Gossip) -> Rc<Keys> {
    Keys::new(&gossip.peers.iter().map(|(_, key)| *key).collect::<Vec<_>>())
}

fn names(gossip: &Gossip) -> BTreeMap<PeerId, String> {
    gossip.peers.iter().map(|(name, key)| (id(key), name.clone())).collect()
}

impl Peers {
    /// `now` is the Unix clock: this life's name.
    pub fn new(
        gossip: &Gossip,
        now: Micros,
        handle: &LoopHandle<'static, Changes>,
    ) -> std::io::Result<Peers> {
        let why = |what: String| std::io::Error::other(format!("gossip: {what}"));
        let secret = std::fs::read_to_string(&gossip.secret_file);
        let secret = secret.map_err(|e| why(format!("secret_file: {}: {e}", gossip.secret_file)))?;
        let secret = hexadecimal(&secret);
        let secret = secret.ok_or_else(|| why("secret_file: holds no 64 hexadecimal digits".to_string()))?;
        let socket =
            UdpSocket::bind(gossip.listen).map_err(|e| why(format!("listen: {}: {e}", gossip.listen)))?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let at = socket.local_addr()?;
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Edge);
        let told = handle.insert_source(source, |_, _, changes: &mut Changes| {
            changes.parties.push(Door::Peers.party(0));
            Ok(PostAction::Continue)
        });
        told.map_err(|e| why(e.error.to_string()))?;
        let start = Start { secret, keys: keys(gossip), at, seeds: gossip.seeds.clone() };
        let node = Node::new(start, (now / 1000) as u64);
        let public: String = node.public().iter().map(|byte| format!("{byte:02x}")).collect();
        log::info!(
            "talks with other fronts, {} keys count; its own is {public}, its address {at}",
            gossip.peers.len()
        );
        Ok(Peers {
            socket,
            node,
            names: names(gossip),
            chance: RandomState::new(),
            drawn: 0,
            look: 0,
            said: 0,
            refused: BTreeMap::new(),
            known: BTreeMap::new(),
            makers: BTreeMap::new(),
            left: false,
        })
    }

    /// The file was read again: its keys count from now on.
    pub fn reload(&mut self, gossip: &Gossip) {
        self.names = names(gossip);
        self.node.keys(keys(gossip));
        log::info!("{} keys of other fronts count", gossip.peers.len());
    }

    pub fn due(&self) -> Micros {
        if self.left {
            Micros::MAX
        } else {
            self.node.due().min(self.look)
        }
    }

    /// Datagrams have come; true if there are more for another turn.
    pub fn read(&mut self, now: Micros) -> bool {
        let mut bytes = [0; LONGEST + 1];
        for _ in 0..ONE_TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((len, from)) => {
                    let back = self.node.heard(now, (now / 1000) as u64, from, &bytes[..len]);
                    self.send(back);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // A peer that is gone shows here; it will show as silent as well.
                Err(_) => {}
            }
        }
        true
    }

    /// What does not go out is as if it were lost on the way.
    fn send(&self, datagrams: Vec<Datagram>) {
        for datagram in datagrams {
            let _ = self.socket.send_to(&datagram.bytes, datagram.to);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
        if self.left || now < self.due() {
            return;
        }
        let wall = (now / 1000) as u64;
        if self.look <= now {
            self.look = now + LOOK;
            let mut seen: Vec<Sighting> = dispatcher.sighted(now).iter().map(sighting).collect();
            seen.sort_by_key(|s| (std::cmp::Reverse(s.silent_ms), std::cmp::Reverse(s.failed), s.engine));
            self.node.sees(now, wall, seen);
            self.tell(now, dispatcher);
        }
        let out = self.node.tick(now, wall, &mut draws(&self.chance, &mut self.drawn));
        self.send(out);
    }

    /// This front ends: some peers hear so, and tell the others.
    pub fn leave(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.left, true) {
            let out = self.node.leave(now, (now / 1000) as u64, &mut draws(&self.chance, &mut self.drawn));
            self.send(out);
        }
    }

    /// Hands on what has changed in what others say; the log says what is new, and what was refused.
    fn tell(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
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
            dispatcher.hearsay(maker, |id| named(id) == s.engine, &seen, n.age);
        }
        for n in news.iter().filter(|n| !self.known.contains_key(&(n.maker, n.sighting.engine))) {
            let News { maker, sighting: s, age } = n;
            let name = self.names.get(maker).map_or("?", String::as_str);
            log::info!(
                "front {name} says of engine {:016x}: {} failed, {} answered, silent for {} ms{}; {} ms ago",
                s.engine,
                s.failed,
                s.answered,
                s.silent_ms,
                if s.drains { ", drains" } else { "" },
                age / 1000
            );
        }
        self.known = known;
        if self.node.refused != self.refused && self.said + SAID <= now {
            self.said = now;
            self.refused = self.node.refused.clone();
            log::warn!(
                "datagrams and reports of other fronts that count for nothing so far: {:?}",
                self.refused
            );
        }
    }
}

/// Numbers that nobody can foretell.
fn draws<'a>(chance: &'a RandomState, drawn: &'a mut u64) -> impl FnMut() -> u64 + 'a {
    move || {
        *drawn += 1;
        chance.hash_one(*drawn)
    }
}
