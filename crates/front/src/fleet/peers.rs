//! Gossip with other fronts over datagrams: what this front has seen of engines goes out, what others have seen
//! comes in. Switched on by the operator's file; off, it is not there.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Instant;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use hallmux_config::{parse_key, Gossip, OnDiskFailure};
use hallmux_dispatcher::{Dispatcher, Micros};
use hallmux_fleet::{ClockReading, Exchange, LedgerSave, Output, OwnedLease, TickOutput};
use hallmux_gossip::channels::Channel;
use hallmux_gossip::evidence::PeerReport;
use hallmux_gossip::members::FleetSize;
use hallmux_gossip::message::MAX_DATAGRAM;
use hallmux_gossip::node::{Datagram, NodeConfig};
use hallmux_gossip::seal::{peer_id, Keys, Refused};
use hallmux_gossip::PeerId;
use hallmux_ledger::{Differences, LedgerAnswer, LedgerRequest};

use super::copies::{random_disk_id, Copies, Write};
use super::errors::PeersError;
use super::join::{join_ledger, join_ownership};
use super::members::members;
use super::votes::Votes;
use crate::events::{LoopEvents, SocketKind};
use crate::shutdown::LedgerDuty;
use crate::transient;

const DATAGRAMS_PER_ITERATION: usize = 64; // datagrams taken before others are served
const PART_SHIFT: u32 = 56; // bits of a number that a part of the front counts in
const LOG_INTERVAL: Micros = 10_000_000; // microseconds between lines of the log on what was refused

pub struct Peers {
    socket: Rc<UdpSocket>,
    exchange: Exchange,
    names: BTreeMap<PeerId, String>,
    random: RandomState,
    draws_made: u64,
    last_log: Micros,
    refused: BTreeMap<Refused, u64>,
    /// The clock that leases go by: it runs evenly on, whatever becomes of the wall clock.
    started: Instant,
    votes: Option<Votes>,
    /// Where copies of promises are kept; none: in memory alone.
    copies: Option<Copies>,
    /// A disk that fails leaves them in memory.
    memory_on_disk_failure: bool,
    ownership: Option<OwnedLease>,
    refused_acts: BTreeMap<&'static str, u64>,
    /// Replicas of the ledger that were found to differ, as was logged last.
    differences: Differences,
    messages: BTreeMap<Channel, Vec<(PeerId, Vec<u8>)>>,
    /// Answers of the ledger that their part of this front has not taken yet.
    done: Vec<LedgerAnswer>,
    /// A ledger is kept.
    has_ledger: bool,
}

fn keys(gossip: &Gossip) -> Rc<Keys> {
    Keys::new(&gossip.peers.iter().map(|(_, key)| *key).collect::<Vec<_>>())
}

fn names(gossip: &Gossip) -> BTreeMap<PeerId, String> {
    gossip
        .peers
        .iter()
        .map(|(name, key)| (peer_id(key), name.clone()))
        .collect()
}

impl Peers {
    /// `now` is the Unix clock: it names this incarnation of the front.
    pub fn new(
        gossip: &Gossip,
        now: Micros,
        handle: &LoopHandle<'static, LoopEvents>,
    ) -> Result<Peers, PeersError> {
        let file = || gossip.secret_file.clone();
        let secret = std::fs::read_to_string(&gossip.secret_file);
        let secret = secret.map_err(|why| PeersError::SecretFile { file: file(), why })?;
        let secret = parse_key(&secret).ok_or_else(|| PeersError::Secret(file()))?;
        let unheard = |why| PeersError::Listen {
            at: gossip.listen,
            why,
        };
        let socket = transient::retry(|| UdpSocket::bind(gossip.listen)).map_err(unheard)?;
        socket.set_nonblocking(true).map_err(unheard)?;
        let socket = Rc::new(socket);
        let at = socket.local_addr().map_err(unheard)?;
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Edge);
        let told = handle.insert_source(source, |_, _, events: &mut LoopEvents| {
            events.ready.push(SocketKind::Peers.id(0));
            Ok(PostAction::Continue)
        });
        told.map_err(|e| PeersError::system(e.error))?;
        let told = gossip.advertise.unwrap_or(at);
        let start = NodeConfig {
            secret,
            keys: keys(gossip),
            address: told,
            seeds: gossip.seeds.clone(),
        };
        let mut exchange = Exchange::new(start, (now / 1000) as u64);
        if gossip.overload.is_some() {
            exchange.enable_load_reports();
            log::info!("sheds overload as one with the fleet");
        }
        let started = Instant::now();
        let votes = match &gossip.ownership {
            Some(ownership) => join_ownership(&mut exchange, ownership, now, &socket)?,
            None => None,
        };
        let copies = match &gossip.ledger {
            Some(ledger) => join_ledger(&mut exchange, ledger, now, &socket, handle)?,
            None => None,
        };
        let memory_on_disk_failure = gossip
            .ledger
            .as_ref()
            .is_some_and(|l| l.on_disk_failure == OnDiskFailure::Memory);
        let public: String = exchange
            .public_key()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        log::info!(
            "talks with other fronts, {} keys count; its own is {public}, its address {at}",
            gossip.peers.len()
        );
        Ok(Peers {
            socket,
            exchange,
            names: names(gossip),
            random: RandomState::new(),
            draws_made: 0,
            last_log: 0,
            refused: BTreeMap::new(),
            started,
            votes,
            copies,
            memory_on_disk_failure,
            ownership: None,
            refused_acts: BTreeMap::new(),
            differences: Differences::default(),
            done: Vec::new(),
            has_ledger: gossip.ledger.is_some(),
            messages: BTreeMap::new(),
        })
    }

    /// The file was read again: its keys count from now on.
    pub fn reload(&mut self, now: Micros, gossip: &Gossip) {
        self.names = names(gossip);
        self.exchange.set_keys(keys(gossip));
        if let Some(ledger) = gossip.ledger.as_ref().filter(|_| self.has_ledger) {
            let (members, addresses) = members(ledger);
            if let Err(e) = self
                .exchange
                .set_ledger_members(self.moment(now), members, addresses)
            {
                log::error!("gossip.ledger.members is left as it was: {e}");
            }
        }
        log::info!("{} keys of other fronts count", gossip.peers.len());
    }

    pub fn due(&self, now: Micros) -> Micros {
        self.exchange.due(self.moment(now))
    }

    /// Datagrams have come; true if there are more for another iteration.
    pub fn read(&mut self, now: Micros) -> bool {
        self.apply_durable(now);
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..DATAGRAMS_PER_ITERATION {
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

    fn moment(&self, now: Micros) -> ClockReading {
        let steady = self.started.elapsed().as_micros() as Micros;
        ClockReading {
            now,
            steady,
            wall_ms: (now / 1000) as u64,
        }
    }

    /// Messages that have come on a channel beside gossip; of a channel that nobody reads so many are kept.
    pub fn take_messages(&mut self, channel: Channel) -> Vec<(PeerId, Vec<u8>)> {
        for message in self.exchange.received() {
            let kept = self.messages.entry(message.channel).or_default();
            if kept.len() < DATAGRAMS_PER_ITERATION {
                kept.push((message.from, message.bytes));
            }
        }
        self.messages.remove(&channel).unwrap_or_default()
    }

    /// Sends such a message; what does not go out is as if it were lost on the way.
    pub fn send_message(&mut self, now: Micros, to: PeerId, channel: Channel, bytes: &[u8]) {
        let at = self.moment(now);
        let datagrams = self
            .exchange
            .channel_datagram(at, to, channel, bytes)
            .into_iter()
            .collect();
        self.send(
            now,
            Output {
                datagrams,
                ..Output::default()
            },
        );
    }

    /// The other fronts whose messages count.
    pub fn others(&self) -> Vec<PeerId> {
        let own = peer_id(&self.exchange.public_key());
        self.names
            .keys()
            .copied()
            .filter(|peer| *peer != own)
            .collect()
    }

    /// A number of this front's own, so that not all fronts begin with the same peer in what they send by turns.
    pub fn spread_offset(&self) -> usize {
        peer_id(&self.exchange.public_key()) as usize
    }

    /// Whether a probe on behalf of the fleet may leave now.
    pub fn may_probe(&self) -> bool {
        self.exchange
            .may_probe(self.started.elapsed().as_micros() as Micros)
    }

    /// What does not go out is as if it were lost on the way.
    fn send(&mut self, now: Micros, out: Output) {
        for Datagram { to, bytes } in out.datagrams {
            let _ = self.socket.send_to(&bytes, to);
        }
        if let Some(votes) = &mut self.votes {
            out.voter_saves
                .into_iter()
                .for_each(|saved| votes.save(saved));
        }
        for LedgerSave {
            number,
            records,
            datagrams,
        } in out.ledger_saves
        {
            if let Some(copies) = &mut self.copies {
                copies.save(Write {
                    number,
                    records,
                    datagrams,
                });
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

    /// Applies writes of copies that have become durable, or have failed.
    fn apply_durable(&mut self, now: Micros) {
        let durable = self
            .copies
            .as_ref()
            .map(Copies::durable)
            .unwrap_or_default();
        for (number, ok) in durable {
            let at = self.moment(now);
            let out = self.exchange.ledger_saved(at, number, ok);
            self.send(now, out);
            if !ok && self.memory_on_disk_failure && self.copies.take().is_some() {
                log::error!(
                    "copies of promises are in memory alone from now on, as a front's that remembers nothing"
                );
                let out = self.exchange.start_over(at, random_disk_id());
                self.send(now, out);
            }
        }
    }

    /// Asks the ledger; the answer comes with `promised`.
    pub fn ask(&mut self, now: Micros, ask: LedgerRequest) {
        let out = self.exchange.ask_ledger(self.moment(now), ask);
        self.send(now, out);
    }

    /// What the ledger has answered to the part of this front whose asks have that highest byte.
    pub fn ledger_answers(&mut self, part: u64) -> Vec<LedgerAnswer> {
        self.done.extend(self.exchange.ledger_answers());
        let (told, others) = std::mem::take(&mut self.done)
            .into_iter()
            .partition(|done| done.number >> PART_SHIFT == part >> PART_SHIFT);
        self.done = others;
        told
    }

    /// Where a ledger is kept, this front by its key, and all fronts whose keys count.
    pub fn fleet(&self) -> Option<(PeerId, Vec<PeerId>)> {
        let own = peer_id(&self.exchange.public_key());
        self.has_ledger
            .then(|| (own, self.names.keys().copied().collect()))
    }

    /// Does what is due; the log says what is new, and what was refused.
    pub fn tick(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
        self.apply_durable(now);
        let before = self.exchange.fleet_size();
        let at = self.moment(now);
        let TickOutput {
            output,
            new_reports,
        } = self.exchange.tick(
            at,
            dispatcher,
            &mut random_numbers(&self.random, &mut self.draws_made),
        );
        self.send(now, output);
        let FleetSize { known, up } = self.exchange.fleet_size();
        if (FleetSize { known, up }) != before {
            log::debug!("{known} fronts are known, {up} of them up");
        }
        for PeerReport {
            reporter,
            sighting: s,
            age,
        } in new_reports
        {
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
        match (self.ownership, owns) {
            (before, Some(OwnedLease { token })) if before != owns => {
                log::info!("owns the fleet's work under token {token}")
            }
            (Some(OwnedLease { token }), None) => {
                log::info!("owns the fleet's work under token {token} no longer")
            }
            _ => {}
        }
        self.ownership = owns;
        if self.exchange.refused_acts() != self.refused_acts && self.last_log + LOG_INTERVAL <= now
        {
            self.refused_acts = self.exchange.refused_acts();
            log::warn!(
                "words on the fleet's work that count for nothing so far: {:?}",
                self.refused_acts
            );
        }
        let differences = self.exchange.differences();
        if differences != self.differences {
            self.differences = differences;
            let Differences {
                found: others,
                repaired_here: here,
            } = differences;
            log::warn!(
                "ledger: {others} copies differed from the majority so far, {here} mended here; look at the disks"
            );
        }
        if self.exchange.refused() != &self.refused && self.last_log + LOG_INTERVAL <= now {
            self.last_log = now;
            self.refused = self.exchange.refused().clone();
            log::warn!(
                "datagrams and reports of other fronts that count for nothing so far: {:?}",
                self.refused
            );
        }
    }

    /// What of the ledger depends on this front.
    pub fn ledger_duty(&self, now: Micros) -> LedgerDuty {
        LedgerDuty::of(
            self.exchange.is_needed(self.moment(now)),
            self.exchange.hands_over(),
        )
    }

    /// This front ends: what it owns of the ledger is handed over, and some peers are notified, which notify the others.
    pub fn leave(&mut self, now: Micros) {
        let out = self.exchange.hand_over(self.moment(now));
        self.send(now, out);
        let wall = (now / 1000) as u64;
        let datagrams = self.exchange.leave(
            now,
            wall,
            &mut random_numbers(&self.random, &mut self.draws_made),
        );
        self.send(
            now,
            Output {
                datagrams,
                ..Output::default()
            },
        );
    }
}

/// Numbers that nobody can predict.
fn random_numbers<'a>(
    random: &'a RandomState,
    draws_made: &'a mut u64,
) -> impl FnMut() -> u64 + 'a {
    move || {
        *draws_made += 1;
        random.hash_one(*draws_made)
    }
}
