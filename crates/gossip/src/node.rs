//! One front among its peers: it sends rounds of gossip and probes, and takes in datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::channels::{Channel, ChannelMessage, Mailbox, MAX_PAYLOAD};
use crate::evidence::{Evidence, PeerOwnership, PeerReport, MAX_SIGHTINGS};
use crate::load_reports::LoadReports;
use crate::members::{FleetSize, Members, Outgoing};
use crate::message::{
    self, Message, OwnershipReport, Probe, Report, Sighting, Signed, MAX_DATAGRAM,
};
use crate::seal::{Identity, Keys, Peers, Refused, TokenBucket, SEAL_BYTES};
use crate::{Micros, PeerId, RandomSource};

mod load;

/// Microseconds between rounds: a report reaches a thousand fronts in some ten.
const ROUND_PERIOD: Micros = 250_000;
const FANOUT: usize = 2; // members that a round sends to
const GOSSIP_RATE: f64 = 3_000.0; // bytes a second sent of its own accord, with a second's worth saved up
const ANSWER_RATE: f64 = 1_000.0; // bytes a second of answers, so that a flood of probes starves no reports
const RENEW_AFTER: Micros = 1_000_000; // microseconds after which a front repeats a report that still holds
const PROBE_RESERVE: f64 = 800.0; // bytes that reports leave for probes: a peer that is not probed seems dead
const WELCOME_UPDATES: usize = 24; // members that a newcomer learns of at once: some 600 bytes
const MAX_UPDATES: usize = 2; // in a datagram beside its sender's own: some 25 bytes each
const REPORT_DATAGRAM: usize = 420; // bytes of a datagram that carries reports unasked
/// Times the logarithm of the peers that a report is passed on by each front.
const RETRANSMIT_FACTOR: f64 = 2.0;
const COUNT_BYTES: usize = 8; // at the most, of the number of load reports in a payload

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Its receiver.
    pub to: SocketAddr,
    /// The sealed message.
    pub bytes: Vec<u8>,
}

/// What a front needs to take part.
pub struct NodeConfig {
    /// The secret half of its key pair.
    pub secret: [u8; 32],
    /// Public keys of all fronts that count.
    pub keys: Rc<Keys>,
    /// Where other fronts reach this one.
    pub address: SocketAddr,
    /// Addresses of fronts to contact first, and now and then later.
    pub seeds: Vec<SocketAddr>,
}

/// One front's part in the gossip.
pub struct Node {
    own: Identity,
    peers: Peers,
    members: Members,
    evidence: Evidence,
    gossip_tokens: TokenBucket,
    answer_tokens: TokenBucket,
    next_round: Micros,
    sightings: Vec<Sighting>,
    ownership: OwnershipReport,
    mailbox: Mailbox,
    /// Load reports, once they are enabled.
    load_reports: Option<LoadReports>,
    load_reported_at: Micros,
    load_version: u32,
    version: u32,
    renew_at: Micros,
    /// Datagrams and reports that were refused, by reason.
    pub refused: BTreeMap<Refused, u64>,
    /// Bytes that were sent.
    pub sent: u64,
    /// Datagrams that were not sent: too long, or beyond a rate limit.
    pub held_back: u64,
}

impl Node {
    /// `wall_ms` is Unix time in milliseconds: it names this run of the front.
    pub fn new(start: NodeConfig, wall_ms: u64) -> Node {
        let own = Identity::new(&start.secret, wall_ms);
        Node {
            members: Members::new(own.id, start.address, wall_ms, start.seeds),
            peers: Peers::new(start.keys),
            evidence: Evidence::default(),
            gossip_tokens: TokenBucket::new(GOSSIP_RATE),
            answer_tokens: TokenBucket::new(ANSWER_RATE),
            next_round: 0,
            sightings: Vec::new(),
            ownership: OwnershipReport::default(),
            mailbox: Mailbox::new(),
            load_reports: None,
            load_reported_at: Micros::MIN / 2,
            load_version: 0,
            version: 0,
            renew_at: 0,
            refused: BTreeMap::new(),
            sent: 0,
            held_back: 0,
            own,
        }
    }

    /// The id that other fronts know this one by.
    pub fn peer_id(&self) -> PeerId {
        self.own.id
    }

    /// The public half of this front's key pair.
    pub fn public_key(&self) -> [u8; 32] {
        self.own.public_key()
    }

    /// This front's view of the fleet.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The size of the fleet, this front included. Where there are more fronts than the view holds, the
    /// number of keys stands for those known, and the part of the view that is up for the part of the fleet.
    pub fn fleet_size(&self) -> FleetSize {
        let FleetSize { known, up } = self.members.size();
        if !self.members.is_full() {
            return FleetSize {
                known: known + 1,
                up: up + 1,
            };
        }
        let known = self.peers.len().max(known + 1);
        FleetSize {
            known,
            up: (up + 1) * known / (self.members.len() + 1),
        }
    }

    /// Other public keys count from now on.
    pub fn set_keys(&mut self, keys: Rc<Keys>) {
        self.peers.set_keys(keys);
    }

    /// Reports what this front observes of engines now: only those in some trouble, or with something
    /// announced of them. Beyond [`MAX_SIGHTINGS`] the rest is left out.
    pub fn report_sightings(&mut self, now: Micros, wall_ms: u64, sightings: Vec<Sighting>) {
        self.report(now, wall_ms, sightings, OwnershipReport::default());
    }

    /// The same, with what this front reports of work on behalf of the fleet.
    pub fn report(
        &mut self,
        now: Micros,
        wall_ms: u64,
        mut sightings: Vec<Sighting>,
        ownership: OwnershipReport,
    ) {
        sightings.truncate(MAX_SIGHTINGS);
        let changed = sightings != self.sightings || !ownership.is_equivalent(&self.ownership);
        if !changed && (sightings.is_empty() && ownership.is_empty() || now < self.renew_at) {
            return;
        }
        self.ownership = ownership.clone();
        self.renew_at = now + RENEW_AFTER;
        self.version += 1;
        let report = Report {
            reporter: self.own.id,
            started_ms: self.own.started_ms,
            version: self.version,
            created_ms: wall_ms,
            sightings: sightings.clone(),
            ownership,
        };
        self.sightings = sightings;
        let signed = self.own.sign(&report);
        self.evidence.merge(now, report, signed, 0);
    }

    /// What other fronts report of engines.
    pub fn peer_reports(&self, now: Micros) -> Vec<PeerReport> {
        self.evidence.peer_reports(now, self.own.id)
    }

    /// What each front reports of the fleet's work, this front's own report included.
    pub fn ownership_reports(&self, now: Micros) -> impl Iterator<Item = PeerOwnership<'_>> {
        self.evidence.ownership_reports(now)
    }

    /// Seals a subsystem's message to another front. None if it is too long for a datagram or beyond its
    /// channel's rate.
    pub fn channel_datagram(
        &mut self,
        now: Micros,
        wall_ms: u64,
        to: SocketAddr,
        channel: Channel,
        payload: &[u8],
    ) -> Option<Datagram> {
        let updates = vec![self.members.own_update()];
        let payload = [&[channel as u8], payload].concat();
        let message = Message {
            probe: Probe::None,
            updates,
            reports: Vec::new(),
            payload,
        };
        let content = message::bytes(&message);
        let len = content.len() + SEAL_BYTES;
        if len > MAX_DATAGRAM || !self.mailbox.may_send(now, channel, len) {
            self.held_back += 1;
            return None;
        }
        self.sent += len as u64;
        Some(Datagram {
            to,
            bytes: self.own.seal(wall_ms, &content),
        })
    }

    /// Takes the channel messages received since the last call.
    pub fn received(&mut self) -> Vec<ChannelMessage> {
        self.mailbox.take()
    }

    /// Where a front that is up listens, as far as it is known.
    pub fn address(&self, front: PeerId) -> Option<SocketAddr> {
        self.members
            .up()
            .find(|(id, _)| *id == front)
            .map(|(_, at)| at)
    }

    /// When `tick` is next due, in microseconds on the caller's clock.
    pub fn due(&self) -> Micros {
        self.members.due().min(self.next_round)
    }

    /// Does what is due and returns what is to be sent.
    pub fn tick(
        &mut self,
        now: Micros,
        wall_ms: u64,
        random: &mut impl RandomSource,
    ) -> Vec<Datagram> {
        let (mut sends, mut out) = (Vec::new(), Vec::new());
        self.members.tick(now, random, &mut sends);
        if self.next_round <= now {
            self.next_round = now + ROUND_PERIOD;
            self.evidence.expire(now);
            let mut targets: Vec<SocketAddr> = self.members.up().map(|(_, at)| at).collect();
            for _ in 0..FANOUT.min(targets.len()) {
                let to = targets.swap_remove(random.below(targets.len()));
                sends.push(Outgoing {
                    to,
                    probe: Probe::None,
                });
                out.extend(self.pass_load_reports(now, wall_ms, to));
            }
        }
        for send in sends {
            out.extend(self.send(now, wall_ms, send, Purpose::Gossip));
        }
        out
    }

    /// Announces to some members that this front leaves; they pass it on.
    pub fn leave(
        &mut self,
        now: Micros,
        wall_ms: u64,
        random: &mut impl RandomSource,
    ) -> Vec<Datagram> {
        self.members.leave();
        let mut targets: Vec<SocketAddr> = self.members.up().map(|(_, at)| at).collect();
        let mut out = Vec::new();
        for _ in 0..(2 * FANOUT).min(targets.len()) {
            let to = targets.swap_remove(random.below(targets.len()));
            out.extend(self.send(
                now,
                wall_ms,
                Outgoing {
                    to,
                    probe: Probe::None,
                },
                Purpose::Gossip,
            ));
        }
        out
    }

    fn send(
        &mut self,
        now: Micros,
        wall_ms: u64,
        outgoing: Outgoing,
        purpose: Purpose,
    ) -> Option<Datagram> {
        let mut updates = vec![self.members.own_update()];
        let answers = purpose == Purpose::Answer;
        let most = match purpose {
            // Guards against a flood of probes: answers use up no updates that others are to learn.
            Purpose::Answer => 0,
            Purpose::Gossip => MAX_UPDATES,
            Purpose::Welcome => WELCOME_UPDATES,
        };
        updates.extend(self.members.pass_on(outgoing.to, most));
        let most_sent = (RETRANSMIT_FACTOR * ((self.peers.len() + 2) as f64).log2()).ceil() as u32;
        let mut message = Message {
            probe: outgoing.probe,
            updates,
            reports: Vec::new(),
            payload: Vec::new(),
        };
        let used = SEAL_BYTES + message::bytes(&message).len() + 2;
        let budget = if purpose == Purpose::Gossip {
            REPORT_DATAGRAM.min(MAX_DATAGRAM).saturating_sub(used)
        } else {
            0
        };
        message.reports = self.evidence.pass_on(now, most_sent, budget);
        let content = message::bytes(&message);
        let len = content.len() + SEAL_BYTES;
        let tokens = if answers {
            &mut self.answer_tokens
        } else {
            &mut self.gossip_tokens
        };
        let reserve = if outgoing.probe == Probe::None {
            PROBE_RESERVE
        } else {
            0.0
        };
        if len > MAX_DATAGRAM || !tokens.take_leaving(now, len as f64, reserve) {
            self.held_back += 1;
            return None;
        }
        self.sent += len as u64;
        Some(Datagram {
            to: outgoing.to,
            bytes: self.own.seal(wall_ms, &content),
        })
    }

    /// Takes in a datagram from the address `from` and returns what is to be sent in answer. What is refused
    /// is counted.
    pub fn receive(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Vec<Datagram> {
        match self.open(now, wall_ms, from, bytes) {
            Ok((sends, newcomer)) => {
                let mut out: Vec<Datagram> = sends
                    .into_iter()
                    .filter_map(|send| self.send(now, wall_ms, send, Purpose::Answer))
                    .collect();
                // A newcomer learns of others at once: else it would meet them one by one.
                let welcome = newcomer.map(|to| Outgoing {
                    to,
                    probe: Probe::None,
                });
                out.extend(
                    welcome.and_then(|send| self.send(now, wall_ms, send, Purpose::Welcome)),
                );
                out
            }
            Err(why) => {
                *self.refused.entry(why).or_default() += 1;
                Vec::new()
            }
        }
    }

    /// Opens a datagram and takes in what it holds: probes to be answered, and the address of a newcomer.
    fn open(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<(Vec<Outgoing>, Option<SocketAddr>), Refused> {
        let opened = self.peers.open(now, wall_ms, from.ip(), bytes)?;
        let sender = opened.sender;
        let message: Message = message::read(opened.content).ok_or(Refused::Form)?;
        if sender == self.own.id {
            return Err(Refused::Replay); // this front's own, come back
        }
        // Answers go where the sender says that it listens, which need not be where it sends from.
        let own = message
            .updates
            .iter()
            .find(|update| update.member == sender);
        let from_address = own.map_or(from, |update| update.address);
        let newcomer = self
            .members
            .health(sender)
            .is_none()
            .then_some(from_address);
        for update in message.updates {
            // Only fronts with a known key count: they could refute the update.
            if self.peers.knows(update.member) {
                self.members.apply(now, sender, update);
            }
        }
        let mut sends = Vec::new();
        self.members
            .receive(now, sender, from_address, message.probe, &mut sends);
        if message.payload.first() == Some(&(Channel::Load as u8)) {
            self.receive_load_reports(now, wall_ms, from.ip(), &message.payload[1..]);
        } else if !self.mailbox.deliver(sender, from_address, message.payload) {
            *self.refused.entry(Refused::Form).or_default() += 1;
        }
        self.merge_reports(now, wall_ms, from, message.reports);
        Ok((sends, newcomer.filter(|_| self.members.len() > 1)))
    }

    fn merge_reports(&mut self, now: Micros, wall_ms: u64, from: SocketAddr, reports: Vec<Signed>) {
        for signed in reports {
            let Some(report) = message::read::<Report>(&signed.report) else {
                continue;
            };
            // Guards against the cost of what is known already, which is most of what comes.
            if report.reporter == self.own.id
                || !self
                    .evidence
                    .is_later(report.reporter, report.started_ms, report.version)
            {
                continue;
            }
            match self.peers.verify_report(now, from.ip(), &signed) {
                Ok(report) => {
                    let age = self.peers.age(report.reporter, wall_ms, report.created_ms);
                    if let Some(age) = age {
                        self.evidence.merge(now, report, signed, age);
                    }
                }
                Err(why) => *self.refused.entry(why).or_default() += 1,
            }
        }
    }
}

/// Why a datagram is sent: it bounds what the datagram may carry, and which tokens it takes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Gossip,
    Answer,
    /// To a front that was not known before.
    Welcome,
}
