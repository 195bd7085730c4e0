//! The replicated ledger as one front takes part in it: its messages go out in gossip datagrams, and those
//! that rest on a save wait for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux_dispatcher::Micros;
use hallmux_gossip::channels::Channel;
use hallmux_gossip::message::Health;
use hallmux_gossip::node::{Datagram, Node};
use hallmux_gossip::PeerId;
use hallmux_ledger::{Ask, Done, Error, Ledger, Member, OutgoingPacket, Saved, Setup};

use crate::{Moment, Output};

const HEALTH_EVERY: Micros = 1_000_000; // microseconds between updates of the ledger on which members are up

/// Ledger records that must be durable before the datagrams beside them leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerSave {
    /// Its number, by which [`crate::Exchange::ledger_saved`] is told of the outcome.
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
    answers: Vec<Done>,
    next_health: Micros,
}

impl LedgerNode {
    /// `saved` is what an earlier run on the same disk has saved.
    pub fn new(
        at: Moment,
        setup: Setup,
        addresses: BTreeMap<PeerId, SocketAddr>,
        saved: Option<Saved>,
    ) -> Result<LedgerNode, Error> {
        Ok(LedgerNode {
            ledger: Ledger::new(moment(at), setup, saved)?,
            addresses,
            answers: Vec::new(),
            next_health: at.steady,
        })
    }

    pub fn ask(&mut self, at: Moment, ask: Ask) {
        self.ledger.ask(moment(at), ask);
    }

    /// Takes the answers since the last call.
    pub fn answers(&mut self) -> Vec<Done> {
        std::mem::take(&mut self.answers)
    }

    /// Takes in a message on the ledger channel.
    pub fn receive(&mut self, at: Moment, from: PeerId, bytes: &[u8]) {
        self.ledger.receive(moment(at), from, bytes);
    }

    /// The operator's list has changed.
    pub fn set_members(
        &mut self,
        at: Moment,
        members: Vec<Member>,
        addresses: BTreeMap<PeerId, SocketAddr>,
    ) -> Result<(), Error> {
        self.ledger.set_members(moment(at), members)?;
        self.addresses = addresses;
        Ok(())
    }

    /// This front is to end.
    pub fn hand_over(&mut self, at: Moment) {
        self.ledger.begin_shutdown(moment(at));
    }

    pub fn hands_over(&self) -> bool {
        self.ledger.hands_over()
    }

    pub fn is_needed(&self, at: Moment) -> bool {
        self.ledger.is_needed(moment(at))
    }

    /// Tells the ledger which members are up and which are not, as far as gossip knows them.
    fn health(&mut self, at: Moment, node: &Node) {
        self.next_health = at.steady + HEALTH_EVERY;
        let of = |front: &PeerId| node.members().health(*front);
        let which = |healths: [Health; 2]| -> Vec<PeerId> {
            let all = self.addresses.keys().copied();
            all.filter(|front| of(front).is_some_and(|health| healths.contains(&health)))
                .collect()
        };
        let (up, away) = (
            which([Health::Alive; 2]),
            which([Health::Dead, Health::Left]),
        );
        self.ledger.set_health(moment(at), &up, &away);
    }

    pub fn tick(&mut self, at: Moment, node: &Node) {
        if self.next_health <= at.steady {
            self.health(at, node);
        }
        if self.ledger.due() <= at.steady {
            self.ledger.tick(moment(at));
        }
    }

    /// When `tick` is next due, in microseconds from now.
    pub fn due(&self, steady: Micros) -> Micros {
        self.ledger.due().saturating_sub(steady).max(0)
    }

    /// A save is durable, or has failed.
    pub fn saved(&mut self, at: Moment, number: u64, ok: bool) {
        self.ledger.saved(moment(at), number, ok);
    }

    /// Begins anew on another disk, holding nothing.
    pub fn start_over(&mut self, at: Moment, disk: u64) {
        self.ledger.start_over(moment(at), disk);
    }

    pub fn differences(&self) -> hallmux_ledger::Differences {
        self.ledger.differences()
    }

    pub fn counters(&self) -> hallmux_ledger::Counters {
        self.ledger.counters()
    }

    /// Puts what there is to send into datagrams: behind the saves that they rest on.
    pub fn send(&mut self, at: Moment, node: &mut Node, out: &mut Output) {
        let hallmux_ledger::Output {
            packets,
            saves,
            done,
        } = self.ledger.take_output();
        self.answers.extend(done);
        let mut seal = |packets: Vec<OutgoingPacket>| -> Vec<Datagram> {
            let mut datagrams = Vec::new();
            for OutgoingPacket { to, bytes } in packets {
                // A message that can't be sent counts as lost on the way.
                let address = self
                    .addresses
                    .get(&to)
                    .copied()
                    .or_else(|| node.address(to));
                datagrams.extend(address.and_then(|to| {
                    node.channel_datagram(at.now, at.wall_ms, to, Channel::Ledger, &bytes)
                }));
            }
            datagrams
        };
        out.datagrams.extend(seal(packets));
        for save in saves {
            let datagrams = seal(save.packets);
            out.ledger_saves.push(LedgerSave {
                number: save.number,
                records: save.records,
                datagrams,
            });
        }
    }
}

fn moment(at: Moment) -> hallmux_ledger::Moment {
    hallmux_ledger::Moment {
        steady: at.steady,
        wall_ms: at.wall_ms,
    }
}
