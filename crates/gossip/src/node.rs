//! The local front's node in the gossip network: its own reports and its view of the fleet.
//! `sending` builds datagrams, `receiving` handles them, and `load` exchanges load reports.

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

/// Microseconds after which a front renews a report that has not changed.
const REPORT_RENEWAL: Micros = 1_000_000;

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The address of the receiver.
    pub to: SocketAddr,
    /// The sealed message.
    pub bytes: Vec<u8>,
}

/// The configuration of a node.
pub struct NodeConfig {
    /// The private key of the front.
    pub secret: [u8; 32],
    /// The public keys of all fronts of the fleet; datagrams and reports of others are rejected.
    pub keys: Rc<Keys>,
    /// The address at which other fronts reach this one.
    pub address: SocketAddr,
    /// Addresses of fronts to contact at start, and now and then later.
    pub seeds: Vec<SocketAddr>,
}

/// The local front as a member of the gossip network.
pub struct Node {
    identity: Identity,
    peers: Peers,
    members: Members,
    evidence: Evidence,
    gossip_tokens: TokenBucket,
    answer_tokens: TokenBucket,
    next_round: Micros,
    /// The engine statuses reported last.
    statuses: Vec<EngineStatus>,
    ownership: OwnershipReport,
    mailbox: Mailbox,
    /// The load reports; None until they are enabled.
    load_reports: Option<LoadReports>,
    load_reported_at: Micros,
    load_version: u32,
    /// The version of the report made last.
    report_version: u32,
    /// When an unchanged report is renewed.
    renew_at: Micros,
    /// The number of rejected datagrams and reports, by reason.
    pub rejected: BTreeMap<VerificationError, u64>,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Datagrams that were not sent because they were too long or beyond a rate limit.
    pub datagrams_withheld: u64,
}

impl Node {
    /// Creates the node. `wall_ms` is Unix time in milliseconds and identifies this incarnation of
    /// the front.
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

    /// The id of this front.
    pub fn peer_id(&self) -> PeerId {
        self.identity.id
    }

    /// The public key of this front.
    pub fn public_key(&self) -> [u8; 32] {
        self.identity.public_key()
    }

    /// This front's view of the fleet.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The size of the fleet, including this front. If the view is full the fleet may be larger
    /// than the view: then the number of keys is taken as the size, and the number of fronts that
    /// are up is extrapolated from the view.
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

    /// Replaces the public keys that are accepted.
    pub fn set_keys(&mut self, keys: Rc<Keys>) {
        self.peers.set_keys(keys);
    }

    /// Reports the engines that are faulty or have announced a start, drain or end, as this front
    /// observes them. Statuses beyond [`MAX_ENGINE_STATUSES`] are dropped.
    pub fn report_engine_statuses(
        &mut self,
        now: Micros,
        wall_ms: u64,
        statuses: Vec<EngineStatus>,
    ) {
        self.report(now, wall_ms, statuses, OwnershipReport::default());
    }

    /// Like [`Node::report_engine_statuses`], with the front's ownership report. No new report is
    /// made if neither changed and no renewal is due.
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

    /// The unexpired engine statuses that other fronts report.
    pub fn peer_reports(&self, now: Micros) -> Vec<PeerReport> {
        self.evidence.peer_reports(now, self.identity.id)
    }

    /// The unexpired ownership reports of all fronts, including this one.
    pub fn ownership_reports(&self, now: Micros) -> impl Iterator<Item = PeerOwnership<'_>> {
        self.evidence.ownership_reports(now)
    }

    /// Takes the channel messages received since the last call.
    pub fn take_messages(&mut self) -> Vec<ChannelMessage> {
        self.mailbox.take()
    }

    /// The address of a front; None if it is not up or not in the view.
    pub fn address(&self, front: PeerId) -> Option<SocketAddr> {
        let member = self.members.up().find(|member| member.id == front)?;
        Some(member.address)
    }
}
