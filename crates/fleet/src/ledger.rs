//! The replicated ledger as one front takes part in it: its messages go out in gossip datagrams, and those
//! that rest on a save wait for it.

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

/// Microseconds between updates of the ledger on which members are up.
const HEALTH_INTERVAL: Micros = 1_000_000;

/// Ledger records that must be durable before the datagrams beside them leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerSave {
    /// Its number, by which the outcome is passed to [`crate::Exchange::ledger_saved`].
    pub number: u64,
    /// To be written in this order.
    pub records: Vec<hallmux_ledger::Record>,
    /// To be sent once the records are durable.
    pub datagrams: Vec<Datagram>,
}

pub(crate) struct LedgerNode {
    ledger: Ledger,
    /// Where the fronts that hold replicas listen, as the operator has configured.
    addresses: BTreeMap<PeerId, SocketAddr>,
    answers: Vec<LedgerAnswer>,
    next_health: Micros,
}

impl LedgerNode {
    /// `saved` is what an earlier run on the same disk has saved.
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

    pub fn submit(&mut self, at: ClockReading, request: LedgerRequest) {
        self.ledger.ask(clock(at), request);
    }

    /// Takes the answers since the last call.
    pub fn take_answers(&mut self) -> Vec<LedgerAnswer> {
        std::mem::take(&mut self.answers)
    }

    /// Takes in a message on the ledger channel.
    pub fn receive(&mut self, at: ClockReading, from: PeerId, bytes: &[u8]) {
        self.ledger.receive(clock(at), from, bytes);
    }

    /// The operator's list has changed.
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

    /// This front is to end.
    pub fn hand_over_shards(&mut self, at: ClockReading) {
        self.ledger.begin_shutdown(clock(at));
    }

    pub fn has_shards_to_hand_over(&self) -> bool {
        self.ledger.hands_over()
    }

    pub fn is_needed_for_quorum(&self, at: ClockReading) -> bool {
        self.ledger.is_needed(clock(at))
    }

    /// Passes on to the ledger which members are up and which are not, as far as gossip knows them.
    fn update_health(&mut self, at: ClockReading, node: &Node) {
        self.next_health = at.steady + HEALTH_INTERVAL;
        let members = node.members();
        let up = self.members_where(|front| members.health(front) == Some(Health::Alive));
        let away = self.members_where(|front| {
            matches!(members.health(front), Some(Health::Dead | Health::Left))
        });
        self.ledger.set_health(clock(at), &up, &away);
    }

    fn members_where(&self, condition: impl Fn(PeerId) -> bool) -> Vec<PeerId> {
        let members = self.addresses.keys().copied();
        members.filter(|front| condition(*front)).collect()
    }

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

    /// A save is durable, or has failed.
    pub fn saved(&mut self, at: ClockReading, number: u64, ok: bool) {
        self.ledger.saved(clock(at), number, ok);
    }

    /// Begins anew on another disk, holding nothing.
    pub fn reset(&mut self, at: ClockReading, disk: u64) {
        self.ledger.start_over(clock(at), disk);
    }

    pub fn replica_differences(&self) -> hallmux_ledger::Differences {
        self.ledger.differences()
    }

    pub fn counters(&self) -> hallmux_ledger::Counters {
        self.ledger.counters()
    }

    /// Puts what there is to send into datagrams: behind the saves that they rest on.
    pub fn send(&mut self, at: ClockReading, node: &mut Node, out: &mut Output) {
        let hallmux_ledger::Output {
            packets,
            saves,
            done,
        } = self.ledger.take_output();
        self.answers.extend(done);
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

    /// Seals messages in datagrams. One that can't be sent counts as lost on the way.
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

fn clock(at: ClockReading) -> hallmux_ledger::Moment {
    hallmux_ledger::Moment {
        steady: at.steady,
        wall_ms: at.wall_ms,
    }
}
