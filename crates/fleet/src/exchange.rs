//! Exchanges reports and messages between a front's dispatcher and the fleet.

mod ledger;
mod reports;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use hallmux_dispatcher::{Dispatcher, Micros};
use hallmux_gossip::channels::{Channel, ChannelMessage};
use hallmux_gossip::evidence::PeerReport;
use hallmux_gossip::members::FleetSize;
use hallmux_gossip::message::EngineStatus;
use hallmux_gossip::node::{Datagram, Node, NodeConfig};
use hallmux_gossip::seal::{Keys, VerificationError};
use hallmux_gossip::{PeerId, RandomSource};

use crate::ledger::LedgerNode;
use crate::load::Load;
use crate::ownership::Ownership;
use crate::{ClockReading, Output, OwnedLease, OwnershipConfig};

use reports::ReportedEngine;

/// Microseconds between reports of this front's own observations.
const REPORT_INTERVAL: Micros = 250_000;
/// Maximum number of channel messages held for other subsystems, about 100 KB.
const MAX_RECEIVED_MESSAGES: usize = 1_024;

/// The results of [`Exchange::tick`].
#[derive(Default)]
pub struct TickOutput {
    /// The datagrams to send and the state to save.
    pub output: Output,
    /// Peer reports on engines that the reporting peer's previous report did not list.
    pub new_reports: Vec<PeerReport>,
}

/// Connects a front's dispatcher to gossip, lease ownership, the replicated ledger and load reports.
pub struct Exchange {
    node: Node,
    next_report: Micros,
    /// The latest report of each peer on each engine, so that each change is passed to the dispatcher once.
    known_reports: BTreeMap<ReportedEngine, EngineStatus>,
    /// The dispatcher's numbers for reporters, assigned in the order of their first reports.
    reporters: BTreeMap<PeerId, usize>,
    /// The fleet size that was last passed to the dispatcher.
    fleet_size: FleetSize,
    /// Whether this front has announced that it leaves the fleet.
    has_left: bool,
    /// Messages on channels that other subsystems of the front read.
    received: Vec<ChannelMessage>,
    /// Ownership of the fleet-wide work, if voters are configured.
    ownership: Option<Ownership>,
    /// The replicated ledger, if it is enabled.
    ledger: Option<LedgerNode>,
    /// The load offered to the fleet, if fronts shed overload by fleet-wide load.
    load: Option<Load>,
    /// Whether this front makes the probes for the fleet, as last passed to the dispatcher; None if probes have
    /// no owner.
    is_prober: Option<bool>,
}

impl Exchange {
    /// Creates the exchange of a front that knows no other front yet. `wall_ms` is Unix time in milliseconds and
    /// identifies this incarnation.
    pub fn new(config: NodeConfig, wall_ms: u64) -> Exchange {
        Exchange {
            node: Node::new(config, wall_ms),
            next_report: 0,
            known_reports: BTreeMap::new(),
            reporters: BTreeMap::new(),
            fleet_size: FleetSize { known: 1, up: 1 },
            has_left: false,
            received: Vec::new(),
            ownership: None,
            ledger: None,
            load: None,
            is_prober: None,
        }
    }

    /// Enables lease ownership: one front at a time owns the fleet-wide work. Fails if the saved voter state
    /// can't be used.
    pub fn enable_ownership(
        &mut self,
        at: ClockReading,
        config: OwnershipConfig,
    ) -> Result<(), hallmux_lease::state::StateError> {
        self.ownership = Some(Ownership::new(at, self.node.peer_id(), config)?);
        Ok(())
    }

    /// Enables load reports, by which fronts shed overload according to the load of the whole fleet.
    pub fn enable_load_reports(&mut self) {
        self.node.enable_load_reports();
        self.load.get_or_insert_default();
    }

    /// The lease under which this front owns the fleet-wide work at `steady`, if it holds one.
    pub fn owned_lease(&self, steady: Micros) -> Option<OwnedLease> {
        self.ownership
            .as_ref()
            .and_then(|ownership| ownership.owned_lease(steady))
    }

    /// Whether this front may probe on behalf of the fleet now: always without lease ownership, otherwise only
    /// while it owns the lease.
    pub fn may_probe(&self, steady: Micros) -> bool {
        self.ownership
            .as_ref()
            .is_none_or(|ownership| ownership.owned_lease(steady).is_some())
    }

    /// The number of refused acts and messages of owners and voters, by reason.
    pub fn refused_acts(&self) -> BTreeMap<&'static str, u64> {
        self.ownership
            .as_ref()
            .map(|ownership| ownership.refused.clone())
            .unwrap_or_default()
    }

    /// The public key of this front.
    pub fn public_key(&self) -> [u8; 32] {
        self.node.public_key()
    }

    /// Replaces the set of public keys whose messages this front accepts.
    pub fn set_keys(&mut self, keys: Rc<Keys>) {
        self.node.set_keys(keys);
    }

    /// The size of the fleet, including this front, as last passed to the dispatcher.
    pub fn fleet_size(&self) -> FleetSize {
        self.fleet_size
    }

    /// The number of refused datagrams and reports, by reason.
    pub fn refused(&self) -> &BTreeMap<VerificationError, u64> {
        &self.node.rejected
    }

    /// When `tick` is next due, on the dispatcher's clock.
    pub fn due(&self, at: ClockReading) -> Micros {
        let ledger = self.ledger.as_ref().map_or(Micros::MAX, |ledger| {
            at.now.saturating_add(ledger.due(at.steady))
        });
        if self.has_left {
            return ledger;
        }
        let ownership = self.ownership.as_ref().map_or(Micros::MAX, Ownership::due);
        let load = self.load.as_ref().map_or(Micros::MAX, Load::due);
        self.node
            .due()
            .min(self.next_report)
            .min(ownership)
            .min(ledger)
            .min(load)
    }

    /// Processes a datagram from the address `from`; returns the datagrams and saves that follow.
    pub fn receive(&mut self, at: ClockReading, from: SocketAddr, bytes: &[u8]) -> Output {
        let datagrams = self.node.receive(at.now, at.wall_ms, from, bytes);
        let mut out = Output {
            datagrams,
            ..Output::default()
        };
        for message in self.node.take_messages() {
            self.receive_message(at, message);
        }
        if let Some(ownership) = &mut self.ownership {
            ownership.send(at, &mut self.node, &mut out);
        }
        self.send_ledger(at, &mut out);
        out
    }

    /// Routes a channel message to its subsystem. Messages for subsystems outside this crate are queued up to
    /// `MAX_RECEIVED_MESSAGES`, then dropped.
    fn receive_message(&mut self, at: ClockReading, message: ChannelMessage) {
        match message.channel {
            Channel::Lease => {
                if let Some(ownership) = &mut self.ownership {
                    ownership.receive(at, &message);
                }
            }
            Channel::Ledger => {
                if let Some(ledger) = &mut self.ledger {
                    ledger.receive(at, message.from, &message.bytes);
                }
            }
            _ if self.received.len() >= MAX_RECEIVED_MESSAGES => {}
            _ => self.received.push(message),
        }
    }

    /// Removes and returns the messages received on channels of other subsystems, `MAX_RECEIVED_MESSAGES` at
    /// most; further ones were dropped.
    pub fn take_received(&mut self) -> Vec<ChannelMessage> {
        std::mem::take(&mut self.received)
    }

    /// Seals a channel message for the front `to`. None if the front's address is unknown or the channel's rate
    /// limit is exceeded.
    pub fn channel_datagram(
        &mut self,
        at: ClockReading,
        to: PeerId,
        channel: Channel,
        bytes: &[u8],
    ) -> Option<Datagram> {
        let to = self.node.address(to)?;
        self.node
            .channel_datagram(at.now, at.wall_ms, to, channel, bytes)
    }

    /// Does all work that is due: sends reports, passes peer reports to the dispatcher, and runs leases, the
    /// ledger and gossip.
    pub fn tick(
        &mut self,
        at: ClockReading,
        dispatcher: &mut Dispatcher,
        random: &mut impl RandomSource,
    ) -> TickOutput {
        let mut output = Output::default();
        let mut new_reports = Vec::new();
        if at.now < self.due(at) {
            return TickOutput::default();
        }
        if self.has_left {
            // Statements that this front has not answered yet still depend on the ledger.
            self.tick_ledger(at, &mut output);
            return TickOutput {
                output,
                new_reports,
            };
        }
        if let Some(ownership) = &mut self.ownership {
            ownership.tick(at, self.fleet_size.up, dispatcher, random);
            ownership.send(at, &mut self.node, &mut output);
        }
        self.tick_ledger(at, &mut output);
        if self.next_report <= at.now {
            self.next_report = at.now + REPORT_INTERVAL;
            self.report_observations(at, dispatcher);
            new_reports = self.pass_peer_reports(at.now, dispatcher);
        }
        if let Some(load) = &mut self.load {
            load.tick(at, &mut self.node, dispatcher);
        }
        self.update_fleet_size(at, dispatcher);
        let datagrams = self.node.tick(at.now, at.wall_ms, random);
        output.datagrams.extend(datagrams);
        TickOutput {
            output,
            new_reports,
        }
    }

    /// Passes the fleet size, and the number of fronts that share the probing, to the dispatcher if either has
    /// changed. The number is infinite on a front that another front probes for.
    fn update_fleet_size(&mut self, at: ClockReading, dispatcher: &mut Dispatcher) {
        let fleet_size = self.node.fleet_size();
        let is_prober = self
            .ownership
            .as_ref()
            .map(|ownership| ownership.owned_lease(at.steady).is_some());
        if (fleet_size, is_prober) != (self.fleet_size, self.is_prober) {
            (self.fleet_size, self.is_prober) = (fleet_size, is_prober);
            let probers = match is_prober {
                None => fleet_size.up as f64,
                Some(true) => 1.0,
                Some(false) => f64::INFINITY,
            };
            dispatcher.set_fleet_size(fleet_size.known, probers);
        }
    }

    /// Announces that this front leaves the fleet. Returns datagrams to some peers, which forward it; empty
    /// if the front has announced it before.
    pub fn leave(
        &mut self,
        now: Micros,
        wall_ms: u64,
        random: &mut impl RandomSource,
    ) -> Vec<Datagram> {
        if std::mem::replace(&mut self.has_left, true) {
            return Vec::new();
        }
        self.node.leave(now, wall_ms, random)
    }
}
