//! One front among its peers: what it sends when, and what it takes in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::channels::{Channel, ChannelMessage, Mailbox, MAX_PAYLOAD};
use crate::evidence::{Evidence, PeerReport, MOST_SIGHTINGS};
use crate::load_reports::LoadReports;
use crate::members::{FleetSize, Members, Outgoing};
use crate::message::{self, Message, Probe, Report, Sighting, Work, LONGEST};
use crate::seal::{Keys, Own, Peers, Refused, Tokens, SEAL};
use crate::{Chance, Micros, PeerId};

mod load;

const ROUND: Micros = 250_000; // microseconds between rounds: news reaches a thousand in some ten of them
const FANOUT: usize = 2; // members told in a round
const BYTES_A_SECOND: f64 = 3_000.0; // sent at most of its own accord, with a second's worth saved up
/// Bytes of answers to others, so that a flood of questions starves no news.
const ANSWERS_A_SECOND: f64 = 1_000.0;
const RENEWED: Micros = 1_000_000; // microseconds after which a front says again what it still sees
const FOR_PROBES: f64 = 800.0; // bytes that news leaves for probes: a peer that is not asked seems dead
const WELCOME: usize = 24; // members that a newcomer is told of at once: some 600 bytes
const MOST_RUMOURS: usize = 2; // in a datagram beside its sender's own: some 25 bytes each
const TOLD: usize = 420; // bytes of a datagram that only tells news
const SENT_EACH: f64 = 2.0; // times the logarithm of the peers that a report is passed on by each front

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub to: SocketAddr,
    pub bytes: Vec<u8>,
}

/// What it is at start.
pub struct Start {
    /// The secret half of its key pair.
    pub secret: [u8; 32],
    /// Public keys of all fronts that count.
    pub keys: Rc<Keys>,
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
}

pub struct Node {
    own: Own,
    peers: Peers,
    members: Members,
    evidence: Evidence,
    bytes: Tokens,
    answers: Tokens,
    round: Micros,
    sightings: Vec<Sighting>,
    work: Work,
    mailbox: Mailbox,
    /// Load reports, once they are enabled.
    load_reports: Option<LoadReports>,
    load_reported: Micros,
    load_version: u32,
    version: u32,
    renew: Micros,
    /// What counted for nothing, by why.
    pub refused: BTreeMap<Refused, u64>,
    /// Bytes that were sent, and datagrams that were not, for want of tokens.
    pub sent: u64,
    pub held_back: u64,
}

impl Node {
    /// `wall_ms` is the Unix clock: it is the name of this life.
    pub fn new(start: Start, wall_ms: u64) -> Node {
        let own = Own::new(&start.secret, wall_ms);
        Node {
            members: Members::new(own.id, start.address, wall_ms, start.seeds),
            peers: Peers::new(start.keys),
            evidence: Evidence::default(),
            bytes: Tokens::new(BYTES_A_SECOND),
            answers: Tokens::new(ANSWERS_A_SECOND),
            round: 0,
            sightings: Vec::new(),
            work: Work::default(),
            mailbox: Mailbox::new(),
            load_reports: None,
            load_reported: Micros::MIN / 2,
            load_version: 0,
            version: 0,
            renew: 0,
            refused: BTreeMap::new(),
            sent: 0,
            held_back: 0,
            own,
        }
    }

    pub fn id(&self) -> PeerId {
        self.own.id
    }

    /// The public half of its key pair.
    pub fn public(&self) -> [u8; 32] {
        self.own.public()
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The size of the fleet, this front included. Where there are more fronts than the view holds, the
    /// number of keys stands for those known, and the part of the view that is up for the part of the fleet.
    pub fn fleet_size(&self) -> FleetSize {
        let FleetSize { known, up } = self.members.size();
        if !self.members.is_full() {
            return FleetSize { known: known + 1, up: up + 1 };
        }
        let known = self.peers.len().max(known + 1);
        FleetSize { known, up: (up + 1) * known / (self.members.len() + 1) }
    }

    /// Other public keys count from now on.
    pub fn keys(&mut self, keys: Rc<Keys>) {
        self.peers.keys(keys);
    }

    /// What this front sees of engines now; only those in some trouble, or with something told of them.
    pub fn sees(&mut self, now: Micros, wall_ms: u64, sightings: Vec<Sighting>) {
        self.says(now, wall_ms, sightings, Work::default());
    }

    /// The same, with what it has to say of work on behalf of the fleet.
    pub fn says(&mut self, now: Micros, wall_ms: u64, mut sightings: Vec<Sighting>, work: Work) {
        sightings.truncate(MOST_SIGHTINGS);
        let changed = sightings != self.sightings || !work.is_like(&self.work);
        if !changed && (sightings.is_empty() && work.is_empty() || now < self.renew) {
            return;
        }
        self.work = work.clone();
        self.renew = now + RENEWED;
        self.version += 1;
        let report = Report {
            reporter: self.own.id,
            life: self.own.life,
            version: self.version,
            created_ms: wall_ms,
            sightings: sightings.clone(),
            work,
        };
        self.sightings = sightings;
        let signed = self.own.sign(&report);
        self.evidence.merge(now, report, signed, 0);
    }

    /// What others say of engines, with its age.
    pub fn peer_reports(&self, now: Micros) -> Vec<PeerReport> {
        self.evidence.peer_reports(now, self.own.id)
    }

    /// What each front says of work on behalf of the fleet, with its age; this front's own too.
    pub fn work(&self, now: Micros) -> impl Iterator<Item = (PeerId, &Work, Micros)> {
        self.evidence.work(now)
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
        let rumours = vec![self.members.own_rumour()];
        let payload = [&[channel as u8], payload].concat();
        let message = Message { probe: Probe::None, rumours, reports: Vec::new(), payload };
        let content = message::bytes(&message);
        let len = content.len() + SEAL;
        if len > LONGEST || !self.mailbox.may_send(now, channel, len) {
            self.held_back += 1;
            return None;
        }
        self.sent += len as u64;
        Some(Datagram { to, bytes: self.own.seal(wall_ms, &content) })
    }

    /// Takes the channel messages received since the last call.
    pub fn received(&mut self) -> Vec<ChannelMessage> {
        self.mailbox.take()
    }

    /// Where a front is heard, as far as it is known.
    pub fn address(&self, front: PeerId) -> Option<SocketAddr> {
        self.members.up().find(|(id, _)| *id == front).map(|(_, at)| at)
    }

    /// When `tick` is next due.
    pub fn due(&self) -> Micros {
        self.members.due().min(self.round)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, wall_ms: u64, chance: &mut impl Chance) -> Vec<Datagram> {
        let (mut sends, mut out) = (Vec::new(), Vec::new());
        self.members.tick(now, chance, &mut sends);
        if self.round <= now {
            self.round = now + ROUND;
            self.evidence.expire(now);
            let mut targets: Vec<SocketAddr> = self.members.up().map(|(_, at)| at).collect();
            for _ in 0..FANOUT.min(targets.len()) {
                let to = targets.swap_remove(chance.below(targets.len()));
                sends.push(Outgoing { to, probe: Probe::None });
                out.extend(self.pass_load_reports(now, wall_ms, to));
            }
        }
        for send in sends {
            out.extend(self.send(now, wall_ms, send, Why::Gossip));
        }
        out
    }

    /// Says good-bye to some members; they tell the others.
    pub fn leave(&mut self, now: Micros, wall_ms: u64, chance: &mut impl Chance) -> Vec<Datagram> {
        self.members.leave();
        let mut targets: Vec<SocketAddr> = self.members.up().map(|(_, at)| at).collect();
        let mut out = Vec::new();
        for _ in 0..(2 * FANOUT).min(targets.len()) {
            let to = targets.swap_remove(chance.below(targets.len()));
            out.extend(self.send(now, wall_ms, Outgoing { to, probe: Probe::None }, Why::Gossip));
        }
        out
    }

    fn send(&mut self, now: Micros, wall_ms: u64, outgoing: Outgoing, why: Why) -> Option<Datagram> {
        let mut rumours = vec![self.members.own_rumour()];
        let answers = why == Why::Answer;
        let most = match why {
            // Guards against one who asks without end: answers use up no news that others are to hear.
            Why::Answer => 0,
            Why::Gossip => MOST_RUMOURS,
            Why::Welcome => WELCOME,
        };
        rumours.extend(self.members.pass_on(outgoing.to, most));
        let most_sent = (SENT_EACH * ((self.peers.len() + 2) as f64).log2()).ceil() as u32;
        let mut message =
            Message { probe: outgoing.probe, rumours, reports: Vec::new(), payload: Vec::new() };
        let used = SEAL + message::bytes(&message).len() + 2;
        let budget = if why == Why::Gossip { TOLD.min(LONGEST).saturating_sub(used) } else { 0 };
        message.reports = self.evidence.pass_on(now, most_sent, budget);
        let content = message::bytes(&message);
        let len = content.len() + SEAL;
        let tokens = if answers { &mut self.answers } else { &mut self.bytes };
        let rest = if outgoing.probe == Probe::None { FOR_PROBES } else { 0.0 };
        if len > LONGEST || !tokens.take_leaving(now, len as f64, rest) {
            self.held_back += 1;
            return None;
        }
        self.sent += len as u64;
        Some(Datagram { to: outgoing.to, bytes: self.own.seal(wall_ms, &content) })
    }

    /// A datagram has come; what is to go back.
    pub fn heard(&mut self, now: Micros, wall_ms: u64, from: SocketAddr, bytes: &[u8]) -> Vec<Datagram> {
        match self.take(now, wall_ms, from, bytes) {
            Ok((sends, newcomer)) => {
                let mut out: Vec<Datagram> =
                    sends.into_iter().filter_map(|send| self.send(now, wall_ms, send, Why::Answer)).collect();
                // One that was not known is told of others at once: it would meet them one by one.
                let welcome = newcomer.map(|to| Outgoing { to, probe: Probe::None });
                out.extend(welcome.and_then(|send| self.send(now, wall_ms, send, Why::Welcome)));
                out
            }
            Err(why) => {
                *self.refused.entry(why).or_default() += 1;
                Vec::new()
            }
        }
    }

    fn take(
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
            return Err(Refused::Replay); // our own, come back
        }
        // Answers go where the sender says that it is heard, which need not be where it speaks from.
        let own = message.rumours.iter().find(|rumour| rumour.member == sender);
        let from_address = own.map_or(from, |rumour| rumour.address);
        let newcomer = self.members.health(sender).is_none().then_some(from_address);
        for rumour in message.rumours {
            // Only those count that could speak for themselves.
            if self.peers.knows(rumour.member) {
                self.members.apply(now, sender, rumour);
            }
        }
        let mut sends = Vec::new();
        self.members.receive(now, sender, from_address, message.probe, &mut sends);
        if message.payload.first() == Some(&(Channel::Load as u8)) {
            self.receive_load_reports(now, wall_ms, from.ip(), &message.payload[1..]);
        } else if !self.mailbox.deliver(sender, from_address, message.payload) {
            *self.refused.entry(Refused::Form).or_default() += 1;
        }
        for signed in message.reports {
            let Some(report) = message::read::<Report>(&signed.report) else { continue };
            // Guards against the cost of what is known already, which is most of what comes.
            if report.reporter == self.own.id
                || !self.evidence.is_later(report.reporter, report.life, report.version)
            {
                continue;
            }
            match self.peers.read(now, from.ip(), &signed) {
                Ok(report) => {
                    let age = self.peers.age(report.reporter, wall_ms, report.created_ms);
                    if let Some(age) = age {
                        self.evidence.merge(now, report, signed, age);
                    }
                }
                Err(why) => *self.refused.entry(why).or_default() += 1,
            }
        }
        Ok((sends, newcomer.filter(|_| self.members.len() > 1)))
    }
}

/// Why a datagram is sent: it bounds what it may carry, and which tokens it takes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Why {
    Gossip,
    Answer,
    /// To one that was not known before.
    Welcome,
}
