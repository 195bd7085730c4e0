//! One front's part in the exchange between the fleet and its dispatcher.

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

/// Microseconds between reports of what this front has observed itself.
const REPORT_INTERVAL: Micros = 250_000;
/// Channel messages held for other subsystems, some 100 KB.
const MAX_RECEIVED: usize = 1_024;

/// What a tick of the exchange gives out.
#[derive(Default)]
pub struct TickOutput {
    /// To be sent and saved.
    pub output: Output,
    /// Reports of other fronts on engines that they had not reported before.
    pub new_reports: Vec<PeerReport>,
}

/// One front's part in the exchange.
pub struct Exchange {
    node: Node,
    next_report: Micros,
    /// What each peer reported last of each engine, so that a change reaches the dispatcher once.
    known_reports: BTreeMap<ReportedEngine, EngineStatus>,
    /// The dispatcher's numbers for reporters, in the order in which they were first heard.
    reporters: BTreeMap<PeerId, usize>,
    /// The size of the fleet as the dispatcher knows it.
    fleet: FleetSize,
    /// Whether this front has announced that it leaves.
    left: bool,
    /// Messages on channels that other subsystems read.
    received: Vec<ChannelMessage>,
    /// Ownership of the fleet's work, where voters are configured.
    ownership: Option<Ownership>,
    /// The replicated ledger, where it is enabled.
    ledger: Option<LedgerNode>,
    /// The load offered to the fleet, where it sheds overload as one.
    load: Option<Load>,
    /// Whether this front makes the fleet's probes, as the dispatcher knows it; None where they have no
    /// owner.
    probes: Option<bool>,
}

impl Exchange {
    /// A front that knows of no other yet; `wall_ms` is Unix time in milliseconds and names this run.
    pub fn new(config: NodeConfig, wall_ms: u64) -> Exchange {
        Exchange {
            node: Node::new(config, wall_ms),
            next_report: 0,
            known_reports: BTreeMap::new(),
            reporters: BTreeMap::new(),
            fleet: FleetSize { known: 1, up: 1 },
            left: false,
            received: Vec::new(),
            ownership: None,
            ledger: None,
            load: None,
            probes: None,
        }
    }

    /// Switches on that one front at a time owns the fleet's work. An error says why the saved state can't be
    /// used.
    pub fn enable_ownership(
        &mut self,
        at: ClockReading,
        config: OwnershipConfig,
    ) -> Result<(), hallmux_lease::state::StateError> {
        self.ownership = Some(Ownership::new(at, self.node.peer_id(), config)?);
        Ok(())
    }

    /// Switches on that the fleet sheds overload as one.
    pub fn enable_load_reports(&mut self) {
        self.node.enable_load_reports();
        self.load.get_or_insert_default();
    }

    /// The lease under which this front owns the fleet's work now.
    pub fn owned_lease(&self, steady: Micros) -> Option<OwnedLease> {
        self.ownership
            .as_ref()
            .and_then(|ownership| ownership.owned_lease(steady))
    }

    /// Whether a probe on behalf of the fleet may leave now: where such work has an owner, only the owner's.
    pub fn may_probe(&self, steady: Micros) -> bool {
        self.ownership
            .as_ref()
            .is_none_or(|ownership| ownership.owned_lease(steady).is_some())
    }

    /// Acts and messages of owners and voters that were refused, by reason.
    pub fn refused_acts(&self) -> BTreeMap<&'static str, u64> {
        self.ownership
            .as_ref()
            .map(|ownership| ownership.refused.clone())
            .unwrap_or_default()
    }

    /// The public half of this front's key pair.
    pub fn public_key(&self) -> [u8; 32] {
        self.node.public_key()
    }

    /// These public keys count from now on, instead of those before.
    pub fn set_keys(&mut self, keys: Rc<Keys>) {
        self.node.set_keys(keys);
    }

    /// The size of the fleet, this front included, as the dispatcher knows it.
    pub fn fleet_size(&self) -> FleetSize {
        self.fleet
    }

    /// Datagrams and reports that were refused, by reason.
    pub fn refused(&self) -> &BTreeMap<VerificationError, u64> {
        &self.node.rejected
    }

    /// When `tick` is next due, on the dispatcher's clock.
    pub fn due(&self, at: ClockReading) -> Micros {
        let ledger = self.ledger.as_ref().map_or(Micros::MAX, |ledger| {
            at.now.saturating_add(ledger.due(at.steady))
        });
        if self.left {
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

    /// Takes in a datagram from the address `from`; gives what is to be sent in answer.
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
            _ if self.received.len() >= MAX_RECEIVED => {}
            _ => self.received.push(message),
        }
    }

    /// Takes the messages received on other channels; beyond a bound those not taken are dropped.
    pub fn received(&mut self) -> Vec<ChannelMessage> {
        std::mem::take(&mut self.received)
    }

    /// Seals such a message to another front. None if its address is unknown or the channel's rate is
    /// exceeded.
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

    /// Does what is due.
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
        if self.left {
            // Statements that it has yet to answer still depend on the ledger.
            self.tick_ledger(at, &mut output);
            return TickOutput {
                output,
                new_reports,
            };
        }
        if let Some(ownership) = &mut self.ownership {
            ownership.tick(at, self.fleet.up, dispatcher, random);
            ownership.send(at, &mut self.node, &mut output);
        }
        self.tick_ledger(at, &mut output);
        if self.next_report <= at.now {
            self.next_report = at.now + REPORT_INTERVAL;
            self.report(at, dispatcher);
            new_reports = self.take_reports(at.now, dispatcher);
        }
        if let Some(load) = &mut self.load {
            load.tick(at, &mut self.node, dispatcher);
        }
        self.announce_fleet(at, dispatcher);
        let datagrams = self.node.tick(at.now, at.wall_ms, random);
        output.datagrams.extend(datagrams);
        TickOutput {
            output,
            new_reports,
        }
    }

    /// Passes the fleet's size, and who of it probes for the fleet, to the dispatcher where it has changed.
    fn announce_fleet(&mut self, at: ClockReading, dispatcher: &mut Dispatcher) {
        let fleet = self.node.fleet_size();
        let probes = self
            .ownership
            .as_ref()
            .map(|ownership| ownership.owned_lease(at.steady).is_some());
        if (fleet, probes) != (self.fleet, self.probes) {
            (self.fleet, self.probes) = (fleet, probes);
            let probers = match probes {
                None => fleet.up as f64,
                Some(true) => 1.0,
                Some(false) => f64::INFINITY,
            };
            dispatcher.set_fleet_size(fleet.known, probers);
        }
    }

    /// This front ends: some peers learn so, and pass it on.
    pub fn leave(
        &mut self,
        now: Micros,
        wall_ms: u64,
        random: &mut impl RandomSource,
    ) -> Vec<Datagram> {
        if std::mem::replace(&mut self.left, true) {
            return Vec::new();
        }
        self.node.leave(now, wall_ms, random)
    }
}
