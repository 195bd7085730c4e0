//! Gossip with other fronts over datagrams: what this front has seen of engines goes out, what others have seen
//! comes in. Switched on by the operator's file; off, it is not there.

mod log_lines;
mod start;

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Instant;

use hallmux_config::Gossip;
use hallmux_dispatcher::{Dispatcher, Micros};
use hallmux_fleet::{ClockReading, Exchange, LedgerSave, Output, TickOutput};
use hallmux_gossip::channels::Channel;
use hallmux_gossip::message::MAX_DATAGRAM;
use hallmux_gossip::node::Datagram;
use hallmux_gossip::seal::{peer_id, Keys};
use hallmux_gossip::PeerId;
use hallmux_ledger::{LedgerAnswer, LedgerRequest};

use super::copies::{random_disk_id, Copies, Write, WriteOutcome};
use super::members::{members, LedgerMembers};
use super::votes::Votes;
use crate::shutdown::LedgerDependency;
use log_lines::LogState;

/// Datagrams taken before others are served.
const DATAGRAMS_PER_ITERATION: usize = 64;
/// Bits of an ask's number that a part of the front counts in; the byte above them says which part.
const PART_SHIFT: u32 = 56;

/// A message on a channel beside gossip.
pub struct PeerMessage {
    /// The front that has sent it.
    pub from: PeerId,
    pub bytes: Vec<u8>,
}

/// This front and the others, by their keys, where a ledger is kept.
pub struct LedgerFleet {
    pub own: PeerId,
    /// All fronts whose keys count.
    pub fronts: Vec<PeerId>,
}

/// The other fronts: the socket to them, and what is exchanged with them.
pub struct Peers {
    socket: Rc<UdpSocket>,
    exchange: Exchange,
    names: BTreeMap<PeerId, String>,
    random: RandomState,
    draws_made: u64,
    /// The clock that leases go by: it runs evenly on, whatever becomes of the wall clock.
    started: Instant,
    votes: Option<Votes>,
    /// Where copies of promises are kept; none: in memory alone.
    copies: Option<Copies>,
    /// A disk that fails leaves them in memory.
    memory_on_disk_failure: bool,
    log: LogState,
    messages: BTreeMap<Channel, Vec<PeerMessage>>,
    /// Answers of the ledger that their part of this front has not taken yet.
    done: Vec<LedgerAnswer>,
    /// A ledger is kept.
    has_ledger: bool,
}

fn keys(gossip: &Gossip) -> Rc<Keys> {
    Keys::new(&gossip.peers.iter().map(|peer| peer.key).collect::<Vec<_>>())
}

fn names(gossip: &Gossip) -> BTreeMap<PeerId, String> {
    gossip
        .peers
        .iter()
        .map(|peer| (peer_id(&peer.key), peer.name.clone()))
        .collect()
}

impl Peers {
    /// The file was read again: its keys count from now on.
    pub fn reload(&mut self, now: Micros, gossip: &Gossip) {
        self.names = names(gossip);
        self.exchange.set_keys(keys(gossip));
        if let Some(ledger) = gossip.ledger.as_ref().filter(|_| self.has_ledger) {
            let LedgerMembers { members, addresses } = members(ledger);
            if let Err(e) = self
                .exchange
                .set_ledger_members(self.moment(now), members, addresses)
            {
                log::error!("gossip.ledger.members is left as it was: {e}");
            }
        }
        log::info!("{} keys of other fronts count", gossip.peers.len());
    }

    /// When `tick` is next due, in Unix microseconds.
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
    pub fn take_messages(&mut self, channel: Channel) -> Vec<PeerMessage> {
        for message in self.exchange.take_received() {
            let kept = self.messages.entry(message.channel).or_default();
            if kept.len() < DATAGRAMS_PER_ITERATION {
                kept.push(PeerMessage {
                    from: message.from,
                    bytes: message.bytes,
                });
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
        for WriteOutcome { number, is_durable } in durable {
            let at = self.moment(now);
            let out = self.exchange.ledger_saved(at, number, is_durable);
            self.send(now, out);
            if !is_durable && self.memory_on_disk_failure && self.copies.take().is_some() {
                log::error!(
                    "copies of promises are in memory alone from now on, as a front's that remembers nothing"
                );
                let out = self.exchange.reset_ledger(at, random_disk_id());
                self.send(now, out);
            }
        }
    }

    /// Asks the ledger; the answer comes with `promised`.
    pub fn ask(&mut self, now: Micros, ask: LedgerRequest) {
        let out = self.exchange.submit_ledger_request(self.moment(now), ask);
        self.send(now, out);
    }

    /// What the ledger has answered to the part of this front whose asks have that highest byte.
    pub fn ledger_answers(&mut self, part: u64) -> Vec<LedgerAnswer> {
        self.done.extend(self.exchange.take_ledger_answers());
        let (told, others) = std::mem::take(&mut self.done)
            .into_iter()
            .partition(|done| done.number >> PART_SHIFT == part >> PART_SHIFT);
        self.done = others;
        told
    }

    /// The fronts that keep the ledger and ask it; none where none is kept.
    pub fn ledger_fleet(&self) -> Option<LedgerFleet> {
        let fleet = || LedgerFleet {
            own: peer_id(&self.exchange.public_key()),
            fronts: self.names.keys().copied().collect(),
        };
        self.has_ledger.then(fleet)
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
        let size = self.exchange.fleet_size();
        if size != before {
            log_lines::log_fleet_size(size);
        }
        for report in &new_reports {
            log_lines::log_peer_report(report, &self.names);
        }
        self.log.log_changes(now, at.steady, &self.exchange);
    }

    /// What of the ledger depends on this front.
    pub fn ledger_dependency(&self, now: Micros) -> LedgerDependency {
        if self.exchange.is_needed_for_quorum(self.moment(now)) {
            LedgerDependency::NeededForQuorum
        } else if self.exchange.has_shards_to_hand_over() {
            LedgerDependency::OwnsShards
        } else {
            LedgerDependency::None
        }
    }

    /// This front ends: what it owns of the ledger is handed over, and some peers are notified, which notify the others.
    pub fn leave(&mut self, now: Micros) {
        let out = self.exchange.hand_over_shards(self.moment(now));
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
