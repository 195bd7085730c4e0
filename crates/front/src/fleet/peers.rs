//! Gossip with other fronts over datagrams: sends this front's reports about engines, receives
//! those of its peers, and carries the messages of lease elections, the ledger and summaries.
//! Created only if the operator's file enables gossip.

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
use super::members::{ledger_members, LedgerMembers};
use super::votes::Votes;
use crate::shutdown::LedgerDependency;
use log_lines::LogState;

/// Maximum number of datagrams read in one iteration of the event loop, so that other sockets are
/// served too.
const DATAGRAMS_PER_ITERATION: usize = 64;
/// Number of low bits of a ledger request's number in which a component of the front counts its
/// requests. The byte above them identifies the component.
const COMPONENT_SHIFT: u32 = 56;

/// A message that a peer sent on a channel other than gossip.
pub struct PeerMessage {
    /// The front that sent the message.
    pub from: PeerId,
    pub bytes: Vec<u8>,
}

/// The identities of this front and of all fronts that use the ledger.
pub struct LedgerFleet {
    pub local_id: PeerId,
    /// All fronts whose keys are accepted.
    pub fronts: Vec<PeerId>,
}

/// This front's connection to its peers: the socket, the state of the exchange, and durable storage.
pub struct Peers {
    socket: Rc<UdpSocket>,
    exchange: Exchange,
    peer_names: BTreeMap<PeerId, String>,
    random: RandomState,
    draws_made: u64,
    /// Origin of the monotonic clock that leases use; steps of the wall clock don't affect it.
    steady_start: Instant,
    votes: Option<Votes>,
    /// Storage of this front's ledger replicas; None if they are in memory only.
    copies: Option<Copies>,
    /// Whether replicas continue in memory after the disk has failed.
    memory_on_disk_failure: bool,
    log_state: LogState,
    messages: BTreeMap<Channel, Vec<PeerMessage>>,
    /// Answers of the ledger that the requesting component has not taken yet.
    ledger_answers: Vec<LedgerAnswer>,
    /// Whether this front uses a ledger.
    has_ledger: bool,
}

fn peer_keys(gossip: &Gossip) -> Rc<Keys> {
    Keys::new(&gossip.peers.iter().map(|peer| peer.key).collect::<Vec<_>>())
}

fn peer_names(gossip: &Gossip) -> BTreeMap<PeerId, String> {
    gossip
        .peers
        .iter()
        .map(|peer| (peer_id(&peer.key), peer.name.clone()))
        .collect()
}

impl Peers {
    /// Applies the peers' keys and the ledger members of a configuration that was read again.
    /// Members that can't be used are logged and change nothing.
    pub fn reload(&mut self, now: Micros, gossip: &Gossip) {
        self.peer_names = peer_names(gossip);
        self.exchange.set_keys(peer_keys(gossip));
        if let Some(ledger) = gossip.ledger.as_ref().filter(|_| self.has_ledger) {
            let LedgerMembers { members, addresses } = ledger_members(ledger);
            if let Err(e) =
                self.exchange
                    .set_ledger_members(self.clock_reading(now), members, addresses)
            {
                log::error!("gossip.ledger.members is left as it was: {e}");
            }
        }
        log::info!(
            "gossip.peers: {} keys of fronts are accepted from now on",
            gossip.peers.len()
        );
    }

    /// When `tick` is next due, in Unix microseconds.
    pub fn due(&self, now: Micros) -> Micros {
        self.exchange.due(self.clock_reading(now))
    }

    /// Reads datagrams that have arrived. Returns true if more may be left for the next iteration.
    pub fn receive_datagrams(&mut self, now: Micros) -> bool {
        self.apply_write_outcomes(now);
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..DATAGRAMS_PER_ITERATION {
            match self.socket.recv_from(&mut bytes) {
                Ok((len, from)) => {
                    let output =
                        self.exchange
                            .receive(self.clock_reading(now), from, &bytes[..len]);
                    self.send(now, output);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // The system reports an unreachable peer here. Gossip notices its silence itself.
                Err(_) => {}
            }
        }
        true
    }

    fn clock_reading(&self, now: Micros) -> ClockReading {
        let steady = self.steady_start.elapsed().as_micros() as Micros;
        ClockReading {
            now,
            steady,
            wall_ms: (now / 1000) as u64,
        }
    }

    /// Returns the messages received on a channel other than gossip. At most
    /// `DATAGRAMS_PER_ITERATION` messages of each channel are kept until they are taken.
    pub fn take_messages(&mut self, channel: Channel) -> Vec<PeerMessage> {
        for message in self.exchange.take_received() {
            let queue = self.messages.entry(message.channel).or_default();
            if queue.len() < DATAGRAMS_PER_ITERATION {
                queue.push(PeerMessage {
                    from: message.from,
                    bytes: message.bytes,
                });
            }
        }
        self.messages.remove(&channel).unwrap_or_default()
    }

    /// Sends a message on a channel other than gossip. One that can't be sent counts as lost on the
    /// network.
    pub fn send_message(&mut self, now: Micros, to: PeerId, channel: Channel, bytes: &[u8]) {
        let clock = self.clock_reading(now);
        let datagrams = self
            .exchange
            .channel_datagram(clock, to, channel, bytes)
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

    /// Returns the other fronts whose messages are accepted.
    pub fn accepted_peers(&self) -> Vec<PeerId> {
        let local_id = peer_id(&self.exchange.public_key());
        self.peer_names
            .keys()
            .copied()
            .filter(|peer| *peer != local_id)
            .collect()
    }

    /// Returns a number specific to this front, so that fronts that send to their peers in rotation
    /// start at different peers.
    pub fn spread_offset(&self) -> usize {
        peer_id(&self.exchange.public_key()) as usize
    }

    /// Whether a health check on behalf of the fleet may be sent now.
    pub fn may_probe(&self) -> bool {
        self.exchange
            .may_probe(self.steady_start.elapsed().as_micros() as Micros)
    }

    /// Sends datagrams and queues writes to disk. A datagram that can't be sent counts as lost on
    /// the network.
    fn send(&mut self, now: Micros, output: Output) {
        for Datagram { to, bytes } in output.datagrams {
            let _ = self.socket.send_to(&bytes, to);
        }
        if let Some(votes) = &mut self.votes {
            output
                .voter_saves
                .into_iter()
                .for_each(|saved| votes.save(saved));
        }
        for LedgerSave {
            number,
            records,
            datagrams,
        } in output.ledger_saves
        {
            if let Some(copies) = &mut self.copies {
                copies.save(Write {
                    number,
                    records,
                    datagrams,
                });
                continue;
            }
            // Without a disk, a replica counts as durable at once.
            for Datagram { to, bytes } in datagrams {
                let _ = self.socket.send_to(&bytes, to);
            }
            let output = self
                .exchange
                .ledger_saved(self.clock_reading(now), number, true);
            self.send(now, output);
        }
    }

    /// Passes the outcomes of writes of replicas to the ledger. After a failed write, replicas move
    /// to memory if the settings allow that.
    fn apply_write_outcomes(&mut self, now: Micros) {
        let outcomes = self
            .copies
            .as_ref()
            .map(Copies::take_outcomes)
            .unwrap_or_default();
        for WriteOutcome { number, is_durable } in outcomes {
            let clock = self.clock_reading(now);
            let output = self.exchange.ledger_saved(clock, number, is_durable);
            self.send(now, output);
            if !is_durable && self.memory_on_disk_failure && self.copies.take().is_some() {
                log::error!(
                    "gossip.ledger.directory: the disk failed; this front keeps its ledger replicas in memory only until it is restarted, under a new disk identity"
                );
                let output = self.exchange.reset_ledger(clock, random_disk_id());
                self.send(now, output);
            }
        }
    }

    /// Submits a request to the ledger. `take_ledger_answers` returns its answer.
    pub fn submit_ledger_request(&mut self, now: Micros, request: LedgerRequest) {
        let output = self
            .exchange
            .submit_ledger_request(self.clock_reading(now), request);
        self.send(now, output);
    }

    /// Returns the ledger's answers to the component whose request numbers have the same highest
    /// byte as `request_number_base`.
    pub fn take_ledger_answers(&mut self, request_number_base: u64) -> Vec<LedgerAnswer> {
        self.ledger_answers
            .extend(self.exchange.take_ledger_answers());
        let (answers, remaining) = std::mem::take(&mut self.ledger_answers)
            .into_iter()
            .partition(|answer| {
                answer.number >> COMPONENT_SHIFT == request_number_base >> COMPONENT_SHIFT
            });
        self.ledger_answers = remaining;
        answers
    }

    /// Returns the fronts that use the ledger; None if this front uses none.
    pub fn ledger_fleet(&self) -> Option<LedgerFleet> {
        let ledger_fleet = || LedgerFleet {
            local_id: peer_id(&self.exchange.public_key()),
            fronts: self.peer_names.keys().copied().collect(),
        };
        self.has_ledger.then(ledger_fleet)
    }

    /// Runs the timers of the exchange and logs new reports, changes and rejections.
    pub fn tick(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
        self.apply_write_outcomes(now);
        let previous_size = self.exchange.fleet_size();
        let clock = self.clock_reading(now);
        let TickOutput {
            output,
            new_reports,
        } = self.exchange.tick(
            clock,
            dispatcher,
            &mut random_numbers(&self.random, &mut self.draws_made),
        );
        self.send(now, output);
        let size = self.exchange.fleet_size();
        if size != previous_size {
            log_lines::log_fleet_size(size);
        }
        for report in &new_reports {
            log_lines::log_peer_report(report, &self.peer_names);
        }
        self.log_state
            .log_changes(now, clock.steady, &self.exchange);
    }

    /// Returns in which way the ledger depends on this front.
    pub fn ledger_dependency(&self, now: Micros) -> LedgerDependency {
        if self.exchange.is_needed_for_quorum(self.clock_reading(now)) {
            LedgerDependency::NeededForQuorum
        } else if self.exchange.has_shards_to_hand_over() {
            LedgerDependency::OwnsShards
        } else {
            LedgerDependency::None
        }
    }

    /// Announces that this front shuts down: hands over its shards of the ledger and notifies some
    /// peers, which notify the others.
    pub fn leave(&mut self, now: Micros) {
        let output = self.exchange.hand_over_shards(self.clock_reading(now));
        self.send(now, output);
        let wall_ms = (now / 1000) as u64;
        let datagrams = self.exchange.leave(
            now,
            wall_ms,
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

/// Returns a generator of numbers that other processes can't predict.
fn random_numbers<'a>(
    random: &'a RandomState,
    draws_made: &'a mut u64,
) -> impl FnMut() -> u64 + 'a {
    move || {
        *draws_made += 1;
        random.hash_one(*draws_made)
    }
}
