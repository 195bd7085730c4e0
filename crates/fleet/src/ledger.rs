//! Runs a front's node of the replicated ledger: sends its messages in gossip datagrams, and holds back messages
//! that depend on a save until the save is durable.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux_dispatcher::Micros;
use hallmux_gossip::channels::Channel;
use hallmux_gossip::message::Health;
use hallmux_gossip::node::{Datagram, Node};
use hallmux_gossip::PeerId;
use hallmux_ledger::{
    Error, Ledger, LedgerAnswer, LedgerRequest, Member, OutgoingPacket, Saved, Setup,
};

use crate::{ClockReading, Output};

/// Microseconds between updates of the members' health in the ledger.
const HEALTH_INTERVAL: Micros = 1_000_000;

/// Ledger records that must be durable before the datagrams of the same save are sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerSave {
    /// The number of the save; pass it to [`crate::Exchange::ledger_saved`] with the outcome.
    pub number: u64,
    /// The records to write, in this order.
    pub records: Vec<hallmux_ledger::Record>,
    /// The datagrams to send once the records are durable.
    pub datagrams: Vec<Datagram>,
}

/// A front's node of the ledger, with the addresses of the other members.
pub(crate) struct LedgerNode {
    ledger: Ledger,
    /// The listen addresses of the fronts that hold replicas, as configured by the operator.
    addresses: BTreeMap<PeerId, SocketAddr>,
    answers: Vec<LedgerAnswer>,
    next_health: Micros,
}

impl LedgerNode {
    /// Creates the node; `saved` is the state that an earlier incarnation saved on the same disk, if any. Fails
    /// if the setup or the saved state can't be used.
    pub fn new(
        at: ClockReading,
        setup: Setup,
        addresses: BTreeMap<PeerId, SocketAddr>,
        saved: Option<Saved>,
    ) -> Result<LedgerNode, Error> {
        Ok(LedgerNode {
            ledger: Ledger::new(clock(at), setup, saved)?,
            addresses,
            answers: Vec::new(),
            next_health: at.steady,
        })
    }

    /// Submits a request to the ledger.
    pub fn submit(&mut self, at: ClockReading, request: LedgerRequest) {
        self.ledger.submit(clock(at), request);
    }

    /// Removes and returns the answers since the last call.
    pub fn take_answers(&mut self) -> Vec<LedgerAnswer> {
        std::mem::take(&mut self.answers)
    }

    /// Processes a message received on the ledger channel.
    pub fn receive(&mut self, at: ClockReading, from: PeerId, bytes: &[u8]) {
        self.ledger.receive(clock(at), from, bytes);
    }

    /// Applies a changed member list of the operator. Fails without any change if the list can't be used.
    pub fn set_members(
        &mut self,
        at: ClockReading,
        members: Vec<Member>,
        addresses: BTreeMap<PeerId, SocketAddr>,
    ) -> Result<(), Error> {
        self.ledger.set_members(clock(at), members)?;
        self.addresses = addresses;
        Ok(())
    }

    /// Starts handing over the shards that this front leads.
    pub fn hand_over_shards(&mut self, at: ClockReading) {
        self.ledger.begin_shutdown(clock(at));
    }

    /// Whether this front still leads a shard that another front could lead.
    pub fn has_shards_to_hand_over(&self) -> bool {
        self.ledger.leads_transferable_shard()
    }

    /// Whether a shard would lose its quorum without this front.
    pub fn is_needed_for_quorum(&self, at: ClockReading) -> bool {
        self.ledger.is_needed_for_quorum(clock(at))
    }

    /// Passes the health of the members, as known from gossip, to the ledger.
    fn update_health(&mut self, at: ClockReading, node: &Node) {
        self.next_health = at.steady + HEALTH_INTERVAL;
        let members = node.members();
        let up = self.members_where(|front| members.health(front) == Some(Health::Alive));
        let down = self.members_where(|front| {
            matches!(members.health(front), Some(Health::Dead | Health::Left))
        });
        self.ledger.set_health(clock(at), &up, &down);
    }

    /// The members that satisfy a condition.
    fn members_where(&self, condition: impl Fn(PeerId) -> bool) -> Vec<PeerId> {
        let members = self.addresses.keys().copied();
        members.filter(|front| condition(*front)).collect()
    }

    /// Updates the members' health and runs the ledger where either is due.
    pub fn tick(&mut self, at: ClockReading, node: &Node) {
        if self.next_health <= at.steady {
            self.update_health(at, node);
        }
        if self.ledger.due() <= at.steady {
            self.ledger.tick(clock(at));
        }
    }

    /// When `tick` is next due, in microseconds from now.
    pub fn due(&self, steady: Micros) -> Micros {
        self.ledger.due().saturating_sub(steady).max(0)
    }

    /// Reports the outcome of a save: durable if `ok`, otherwise failed.
    pub fn saved(&mut self, at: ClockReading, number: u64, ok: bool) {
        self.ledger.saved(clock(at), number, ok);
    }

    /// Restarts the ledger without any replicas on the disk with the identity `disk`.
    pub fn reset(&mut self, at: ClockReading, disk: u64) {
        self.ledger.reset(clock(at), disk);
    }

    /// The number of replicas found to differ from their majority so far, and of those repaired on this front.
    pub fn replica_differences(&self) -> hallmux_ledger::Differences {
        self.ledger.differences()
    }

    /// The ledger's counters.
    pub fn counters(&self) -> hallmux_ledger::Counters {
        self.ledger.counters()
    }

    /// Moves the ledger's answers to `take_answers`, and its messages and saves to `out`; messages that depend on
    /// a save become that save's datagrams.
    pub fn send(&mut self, at: ClockReading, node: &mut Node, out: &mut Output) {
        let hallmux_ledger::Output {
            packets,
            saves,
            answers,
        } = self.ledger.take_output();
        self.answers.extend(answers);
        out.datagrams.extend(self.datagrams(at, node, packets));
        for save in saves {
            let datagrams = self.datagrams(at, node, save.packets);
            out.ledger_saves.push(LedgerSave {
                number: save.number,
                records: save.records,
                datagrams,
            });
        }
    }

    /// Seals messages in datagrams. Messages that can't be sent are dropped, as if lost in the network.
    fn datagrams(
        &self,
        at: ClockReading,
        node: &mut Node,
        packets: Vec<OutgoingPacket>,
    ) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        for OutgoingPacket { to, bytes } in packets {
            let configured = self.addresses.get(&to).copied();
            let Some(address) = configured.or_else(|| node.address(to)) else {
                continue;
            };
            datagrams.extend(node.channel_datagram(
                at.now,
                at.wall_ms,
                address,
                Channel::Ledger,
                &bytes,
            ));
        }
        datagrams
    }
}

/// Converts a clock reading to the ledger's type.
fn clock(at: ClockReading) -> hallmux_ledger::ClockReading {
    hallmux_ledger::ClockReading {
        steady: at.steady,
        wall_ms: at.wall_ms,
    }
}
