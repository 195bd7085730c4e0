//! One front among its peers: what it reports and what it knows of the fleet. Datagrams go out in `sending` and
//! come in in `receiving`; load reports are in `load`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::channels::{ChannelMessage, Mailbox};
use crate::evidence::{Evidence, PeerOwnership, PeerReport, MAX_ENGINE_STATUSES};
use crate::load_reports::LoadReports;
use crate::members::{FleetSize, Members};
use crate::message::{EngineStatus, OwnershipReport, Report};
use crate::seal::{Identity, Keys, Peers, TokenBucket, VerificationError};
use crate::{Micros, PeerId};

use sending::{ANSWER_BYTES_PER_SECOND, GOSSIP_BYTES_PER_SECOND};

mod load;
mod receiving;
mod sending;

/// Microseconds after which a front repeats a report that still holds.
const REPORT_RENEWAL: Micros = 1_000_000;

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
    identity: Identity,
    peers: Peers,
    members: Members,
    evidence: Evidence,
    gossip_tokens: TokenBucket,
    answer_tokens: TokenBucket,
    next_round: Micros,
    /// What this front reported last.
    statuses: Vec<EngineStatus>,
    ownership: OwnershipReport,
    mailbox: Mailbox,
    /// Load reports, once they are enabled.
    load_reports: Option<LoadReports>,
    load_reported_at: Micros,
    load_version: u32,
    /// The number of the report made last.
    report_version: u32,
    /// When a report that still holds is repeated.
    renew_at: Micros,
    /// Datagrams and reports that were refused, by reason.
    pub rejected: BTreeMap<VerificationError, u64>,
    /// Bytes that were sent.
    pub bytes_sent: u64,
    /// Datagrams that were not sent: too long, or beyond a rate limit.
    pub datagrams_withheld: u64,
}

impl Node {
    /// `wall_ms` is Unix time in milliseconds: it names this run of the front.
    pub fn new(config: NodeConfig, wall_ms: u64) -> Node {
        let identity = Identity::new(&config.secret, wall_ms);
        Node {
            members: Members::new(identity.id, config.address, wall_ms, config.seeds),
            peers: Peers::new(config.keys),
            evidence: Evidence::default(),
            gossip_tokens: TokenBucket::new(GOSSIP_BYTES_PER_SECOND),
            answer_tokens: TokenBucket::new(ANSWER_BYTES_PER_SECOND),
            next_round: 0,
            statuses: Vec::new(),
            ownership: OwnershipReport::default(),
            mailbox: Mailbox::new(),
            load_reports: None,
            load_reported_at: Micros::MIN / 2,
            load_version: 0,
            report_version: 0,
            renew_at: 0,
            rejected: BTreeMap::new(),
            bytes_sent: 0,
            datagrams_withheld: 0,
            identity,
        }
    }

    /// The id that other fronts know this one by.
    pub fn peer_id(&self) -> PeerId {
        self.identity.id
    }

    /// The public half of this front's key pair.
    pub fn public_key(&self) -> [u8; 32] {
        self.identity.public_key()
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

    /// Reports what this front observes of engines now: only those with a fault, or with something
    /// announced of them. Beyond [`MAX_ENGINE_STATUSES`] the rest is left out.
    pub fn report_engine_statuses(
        &mut self,
        now: Micros,
        wall_ms: u64,
        statuses: Vec<EngineStatus>,
    ) {
        self.report(now, wall_ms, statuses, OwnershipReport::default());
    }

    /// The same, with what this front reports of work on behalf of the fleet.
    pub fn report(
        &mut self,
        now: Micros,
        wall_ms: u64,
        mut statuses: Vec<EngineStatus>,
        ownership: OwnershipReport,
    ) {
        statuses.truncate(MAX_ENGINE_STATUSES);
        let changed = statuses != self.statuses || !ownership.is_equivalent(&self.ownership);
        let is_empty = statuses.is_empty() && ownership.is_empty();
        if !changed && (is_empty || now < self.renew_at) {
            return;
        }
        self.ownership = ownership.clone();
        self.renew_at = now + REPORT_RENEWAL;
        self.report_version += 1;
        let report = Report {
            reporter: self.identity.id,
            started_ms: self.identity.started_ms,
            version: self.report_version,
            created_ms: wall_ms,
            statuses: statuses.clone(),
            ownership,
        };
        self.statuses = statuses;
        let signed = self.identity.sign(&report);
        self.evidence.merge(now, report, signed, 0);
    }

    /// What other fronts report of engines.
    pub fn peer_reports(&self, now: Micros) -> Vec<PeerReport> {
        self.evidence.peer_reports(now, self.identity.id)
    }

    /// What each front reports of the fleet's work, this front's own report included.
    pub fn ownership_reports(&self, now: Micros) -> impl Iterator<Item = PeerOwnership<'_>> {
        self.evidence.ownership_reports(now)
    }

    /// Takes the channel messages received since the last call.
    pub fn take_messages(&mut self) -> Vec<ChannelMessage> {
        self.mailbox.take()
    }

    /// Where a front that is up listens, as far as it is known.
    pub fn address(&self, front: PeerId) -> Option<SocketAddr> {
        let member = self.members.up().find(|member| member.id == front)?;
        Some(member.address)
    }
}
