//! Words with other fronts over datagrams: what this front has seen of engines goes out, what others have seen
//! comes in. Switched on by the operator's file; off, it is not there.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Instant;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use hallmux_agreement::{hexadecimal, Gossip, OnDiskFailure};
use hallmux_dispatcher::{Dispatcher, Micros};
use hallmux_fleet::{Exchange, LedgerSave, Moment, Output, OwnedLease, OwnershipConfig};
use hallmux_gossip::channels::Channel;
use hallmux_gossip::evidence::PeerReport;
use hallmux_gossip::members::FleetSize;
use hallmux_gossip::message::MAX_DATAGRAM;
use hallmux_gossip::node::{Datagram, NodeConfig};
use hallmux_gossip::seal::{peer_id, Keys, Refused};
use hallmux_gossip::PeerId;
use hallmux_lease::Terms;
use hallmux_ledger::{Ask, Done};

use super::copies::{drawn, Copies, Found, Unfit, Write};
use super::fault::PeersFault;
use super::members::{members, setup};
use super::votes::Votes;
use crate::doors::{Changes, Door};
use crate::shutdown::Keeps;

const ONE_TURN: usize = 64; // datagrams taken before others have their turn
const PART: u32 = 56; // bits of a number that a part of the front counts in
const SAID: Micros = 10_000_000; // microseconds between lines of the log on what was refused

pub struct Peers {
    socket: Rc<UdpSocket>,
    exchange: Exchange,
    names: BTreeMap<PeerId, String>,
    chance: RandomState,
    drawn: u64,
    said: Micros,
    refused: BTreeMap<Refused, u64>,
    /// The clock that leases go by: it runs evenly on, whatever becomes of the wall clock.
    steady: Instant,
    votes: Option<Votes>,
    /// Where copies of promises are kept; none: in memory alone.
    copies: Option<Copies>,
    /// A disk that fails leaves them in memory.
    spares_disk: bool,
    owns: Option<OwnedLease>,
    refused_acts: BTreeMap<&'static str, u64>,
    /// Copies of promises that differed, and that were mended here.
    differed: (u64, u64),
    letters: BTreeMap<Channel, Vec<(PeerId, Vec<u8>)>>,
    /// Answers of the ledger that their part of this front has not taken yet.
    done: Vec<Done>,
    /// A ledger is kept.
    keeps: bool,
}

fn keys(gossip: &Gossip) -> Rc<Keys> {
    Keys::new(&gossip.peers.iter().map(|(_, key)| *key).collect::<Vec<_>>())
}

fn names(gossip: &Gossip) -> BTreeMap<PeerId, String> {
    gossip.peers.iter().map(|(name, key)| (peer_id(key), name.clone())).collect()
}

impl Peers {
    /// `now` is the Unix clock: this life's name.
    pub fn new(
        gossip: &Gossip,
        now: Micros,
        handle: &LoopHandle<'static, Changes>,
    ) -> Result<Peers, PeersFault> {
        let file = || gossip.secret_file.clone();
        let secret = std::fs::read_to_string(&gossip.secret_file);
        let secret = secret.map_err(|why| PeersFault::SecretFile { file: file(), why })?;
        let secret = hexadecimal(&secret).ok_or_else(|| PeersFault::Secret(file()))?;
        let unheard = |why| PeersFault::Listen { at: gossip.listen, why };
        let socket = UdpSocket::bind(gossip.listen).map_err(unheard)?;
        socket.set_nonblocking(true).map_err(unheard)?;
        let socket = Rc::new(socket);
        let at = socket.local_addr().map_err(unheard)?;
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Edge);
        let told = handle.insert_source(source, |_, _, changes: &mut Changes| {
            changes.parties.push(Door::Peers.party(0));
            Ok(PostAction::Continue)
        });
        told.map_err(|e| PeersFault::system(e.error))?;
        let told = gossip.advertise.unwrap_or(at);
        let start = NodeConfig { secret, keys: keys(gossip), address: told, seeds: gossip.seeds.clone() };
        let mut exchange = Exchange::new(start, (now / 1000) as u64);
        if gossip.overload.is_some() {
            exchange.enable_load_reports();
            log::info!("sheds overload as one with the fleet");
        }
        let steady = Instant::now();
        let mut votes = None;
        if let Some(ownership) = &gossip.ownership {
            let voters: Vec<_> = ownership.voters.iter().map(|(key, at)| (peer_id(key), *at)).collect();
            let own = peer_id(&exchange.public_key());
            let mut saved = None;
            if voters.iter().any(|(voter, _)| *voter == own) {
                let socket = socket.try_clone().map_err(PeersFault::system)?;
                let (opened, kept) = Votes::open(&ownership.directory, socket)?;
                (votes, saved) = (Some(opened), kept);
            }
            let terms = Terms { length: ownership.lease, drift_ppm: ownership.drift_ppm };
            let ownership = OwnershipConfig { fleet: ownership.fleet.clone(), voters, terms, saved };
            let moment = Moment { now, steady: 0, wall_ms: (now / 1000) as u64 };
            exchange.enable_ownership(moment, ownership)?;
            log::info!(
                "takes part in ownership of the fleet's work{}",
                if votes.is_some() { ", and votes" } else { "" }
            );
        }
        let (mut copies, mut spares_disk) = (None, false);
        if let Some(ledger) = &gossip.ledger {
            let own = peer_id(&exchange.public_key());
            let moment = Moment { now, steady: 0, wall_ms: (now / 1000) as u64 };
            let (mut setup, members) = setup(ledger, own, (now / 1000) as u64);
            let keeps = ledger.members.iter().any(|member| peer_id(&member.key) == own);
            spares_disk = ledger.on_disk_failure == OnDiskFailure::Memory;
            let mut saved = None;
            if let Some(directory) = ledger.directory.as_ref().filter(|_| keeps) {
                let drill = ledger.drill.as_deref();
                let socket = socket.try_clone().map_err(PeersFault::system)?;
                let wakes = wakes(handle).map_err(PeersFault::system)?;
                match Copies::open(directory, drill, socket, wakes) {
                    Ok((opened, Found { disk, saved: found })) => {
                        (copies, setup.disk, saved) = (Some(opened), disk, found);
                    }
                    Err(e @ Unfit::Disk { .. }) if spares_disk => {
                        log::error!("{e}; copies are in memory alone")
                    }
                    Err(e) => return Err(e.into()),
                }
            }
            let (on_disk, remembers) = (copies.is_some(), saved.is_some());
            exchange.enable_ledger(moment, setup, members, saved)?;
            log::info!(
                "asks {} fronts for promises{}",
                ledger.members.len(),
                match (keeps, on_disk, remembers) {
                    (false, ..) => "",
                    (_, false, _) => ", and keeps copies in memory alone",
                    (_, _, false) => ", and keeps copies on a disk that is new",
                    _ => ", and keeps copies on the disk that it had",
                }
            );
        }
        let public: String = exchange.public_key().iter().map(|byte| format!("{byte:02x}")).collect();
        log::info!(
            "talks with other fronts, {} keys count; its own is {public}, its address {at}",
            gossip.peers.len()
        );
        Ok(Peers {
            socket,
            exchange,
            names: names(gossip),
            chance: RandomState::new(),
            drawn: 0,
            said: 0,
            refused: BTreeMap::new(),
            steady,
            votes,
            copies,
            spares_disk,
            owns: None,
            refused_acts: BTreeMap::new(),
            differed: (0, 0),
            done: Vec::new(),
            keeps: gossip.ledger.is_some(),
            letters: BTreeMap::new(),
        })
    }

    /// The file was read again: its keys count from now on.
    pub fn reload(&mut self, now: Micros, gossip: &Gossip) {
        self.names = names(gossip);
        self.exchange.set_keys(keys(gossip));
        if let Some(ledger) = gossip.ledger.as_ref().filter(|_| self.keeps) {
            let (members, addresses) = members(ledger);
            if let Err(e) = self.exchange.set_ledger_members(self.moment(now), members, addresses) {
                log::error!("gossip.ledger.members is left as it was: {e}");
            }
        }
        log::info!("{} keys of other fronts count", gossip.peers.len());
    }

    pub fn due(&self, now: Micros) -> Micros {
        self.exchange.due(self.moment(now))
    }

    /// Datagrams have come; true if there are more for another turn.
    pub fn read(&mut self, now: Micros) -> bool {
        self.lasting(now);
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..ONE_TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((len, from)) => {
                    let out = self.exchange.receive(self.moment(now), from, &bytes[..len]);
                    self.send(now, out);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // A peer that is gone shows here; it will show as silent as well.
                Err(_) => {}
            }
        }
        true
    }

    fn moment(&self, now: Micros) -> Moment {
        let steady = self.steady.elapsed().as_micros() as Micros;
        Moment { now, steady, wall_ms: (now / 1000) as u64 }
    }

    /// Letters that have come for a part beside gossip; of parts that take none, the latest are kept.
    pub fn letters(&mut self, channel: Channel) -> Vec<(PeerId, Vec<u8>)> {
        for letter in self.exchange.received() {
            let kept = self.letters.entry(letter.channel).or_default();
            if kept.len() < ONE_TURN {
                kept.push((letter.from, letter.bytes));
            }
        }
        self.letters.remove(&channel).unwrap_or_default()
    }

    /// Sends such a letter; what does not go out is as if it were lost on the way.
    pub fn post(&mut self, now: Micros, to: PeerId, channel: Channel, bytes: &[u8]) {
        let at = self.moment(now);
        let datagrams = self.exchange.channel_datagram(at, to, channel, bytes).into_iter().collect();
        self.send(now, Output { datagrams, ..Output::default() });
    }

    /// The other fronts whose word counts.
    pub fn others(&self) -> Vec<PeerId> {
        let own = peer_id(&self.exchange.public_key());
        self.names.keys().copied().filter(|peer| *peer != own).collect()
    }

    /// A number of this front's own, for turns that fronts should not all begin alike.
    pub fn turn(&self) -> usize {
        peer_id(&self.exchange.public_key()) as usize
    }

    /// Whether a probe on behalf of the fleet may leave now.
    pub fn may_probe(&self) -> bool {
        self.exchange.may_probe(self.steady.elapsed().as_micros() as Micros)
    }

    /// What does not go out is as if it were lost on the way.
    fn send(&mut self, now: Micros, out: Output) {
        for Datagram { to, bytes } in out.datagrams {
            let _ = self.socket.send_to(&bytes, to);
        }
        if let Some(votes) = &mut self.votes {
            out.voter_saves.into_iter().for_each(|saved| votes.save(saved));
        }
        for LedgerSave { number, records, datagrams } in out.ledger_saves {
            if let Some(copies) = &mut self.copies {
                copies.save(Write { number, records, datagrams });
                continue;
            }
            // In memory alone a copy is as lasting as it gets.
            for Datagram { to, bytes } in datagrams {
                let _ = self.socket.send_to(&bytes, to);
            }
            let out = self.exchange.ledger_saved(self.moment(now), number, true);
            self.send(now, out);
        }
    }

    /// Takes in what has become lasting, or has failed.
    fn lasting(&mut self, now: Micros) {
        let lasting = self.copies.as_ref().map(Copies::lasting).unwrap_or_default();
        for (number, ok) in lasting {
            let at = self.moment(now);
            let out = self.exchange.ledger_saved(at, number, ok);
            self.send(now, out);
            if !ok && self.spares_disk && self.copies.take().is_some() {
                log::error!(
                    "copies of promises are in memory alone from now on, as a front's that remembers nothing"
                );
                let out = self.exchange.start_over(at, drawn());
                self.send(now, out);
            }
        }
    }

    /// Asks the ledger; the answer comes with `promised`.
    pub fn ask(&mut self, now: Micros, ask: Ask) {
        let out = self.exchange.ask_ledger(self.moment(now), ask);
        self.send(now, out);
    }

    /// What the ledger has answered to the part of this front whose asks have that highest byte.
    pub fn promised(&mut self, part: u64) -> Vec<Done> {
        self.done.extend(self.exchange.ledger_answers());
        let (told, others) =
            std::mem::take(&mut self.done).into_iter().partition(|done| done.number >> PART == part >> PART);
        self.done = others;
        told
    }

    /// Where a ledger is kept, this front by its key, and all fronts whose keys count.
    pub fn fleet(&self) -> Option<(PeerId, Vec<PeerId>)> {
        let own = peer_id(&self.exchange.public_key());
        self.keeps.then(|| (own, self.names.keys().copied().collect()))
    }

    /// Does what is due; the log says what is new, and what was refused.
    pub fn tick(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
        self.lasting(now);
        let before = self.exchange.fleet_size();
        let at = self.moment(now);
        let (out, news) = self.exchange.tick(at, dispatcher, &mut draws(&self.chance, &mut self.drawn));
        self.send(now, out);
        let FleetSize { known, up } = self.exchange.fleet_size();
        if (FleetSize { known, up }) != before {
            log::debug!("{known} fronts are known, {up} of them up");
        }
        for PeerReport { reporter, sighting: s, age } in news {
            let name = self.names.get(&reporter).map_or("?", String::as_str);
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
        let owns = self.exchange.owned_lease(at.steady);
        match (self.owns, owns) {
            (before, Some(OwnedLease { token })) if before != owns => {
                log::info!("owns the fleet's work under token {token}")
            }
            (Some(OwnedLease { token }), None) => {
                log::info!("owns the fleet's work under token {token} no longer")
            }
            _ => {}
        }
        self.owns = owns;
        if self.exchange.refused_acts() != self.refused_acts && self.said + SAID <= now {
            self.refused_acts = self.exchange.refused_acts();
            log::warn!("words on the fleet's work that count for nothing so far: {:?}", self.refused_acts);
        }
        let differed = self.exchange.differed();
        if differed != self.differed {
            self.differed = differed;
            let (others, here) = differed;
            log::warn!(
                "ledger: {others} copies differed from the majority so far, {here} mended here; look at the disks"
            );
        }
        if self.exchange.refused() != &self.refused && self.said + SAID <= now {
            self.said = now;
            self.refused = self.exchange.refused().clone();
            log::warn!(
                "datagrams and reports of other fronts that count for nothing so far: {:?}",
                self.refused
            );
        }
    }

    /// What of promises stands or falls with this front.
    pub fn keeps(&self, now: Micros) -> Keeps {
        Keeps::of(self.exchange.is_needed(self.moment(now)), self.exchange.hands_over())
    }

    /// This front ends: what it owns of promises is handed over, and some peers hear so, and tell the others.
    pub fn leave(&mut self, now: Micros) {
        let out = self.exchange.hand_over(self.moment(now));
        self.send(now, out);
        let wall = (now / 1000) as u64;
        let datagrams = self.exchange.leave(now, wall, &mut draws(&self.chance, &mut self.drawn));
        self.send(now, Output { datagrams, ..Output::default() });
    }
}

/// What wakes the loop from the thread that writes copies.
fn wakes(handle: &LoopHandle<'static, Changes>) -> std::io::Result<impl Fn() + Send + 'static> {
    let (ping, source) = calloop::ping::make_ping()?;
    let told = handle.insert_source(source, |(), _, changes: &mut Changes| {
        changes.parties.push(Door::Peers.party(0));
    });
    told.map_err(|e| std::io::Error::other(e.error.to_string()))?;
    Ok(move || ping.ping())
}

/// Numbers that nobody can foretell.
fn draws<'a>(chance: &'a RandomState, drawn: &'a mut u64) -> impl FnMut() -> u64 + 'a {
    move || {
        *drawn += 1;
        chance.hash_one(*drawn)
    }
}
