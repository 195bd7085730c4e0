//! The ledger of promises as one front takes part in it: its letters among the datagrams, and what waits for
//! its disk.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux_gossip::channels::Channel;
use hallmux_gossip::message::Health;
use hallmux_gossip::node::{Datagram, Node};
use hallmux_gossip::PeerId;
use hallmux_ledger::{Ask, Done, Error, Ledger, Member, Saved, Setup};

use crate::{Moment, Out};

const HEALTH: hallmux_dispatcher::Micros = 1_000_000; // microseconds between words of gossip on who is there

/// Records to be kept, and the datagrams that wait for them to be lasting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    pub number: u64,
    pub records: Vec<hallmux_ledger::Record>,
    pub datagrams: Vec<Datagram>,
}

pub(crate) struct Promises {
    ledger: Ledger,
    /// Where the fronts that keep copies are heard, as the operator says.
    members: BTreeMap<PeerId, SocketAddr>,
    done: Vec<Done>,
    health_at: hallmux_dispatcher::Micros,
}

impl Promises {
    /// `saved` is what an earlier life on the same disk has kept.
    pub fn new(
        at: Moment,
        setup: Setup,
        members: BTreeMap<PeerId, SocketAddr>,
        saved: Option<Saved>,
    ) -> Result<Promises, Error> {
        Ok(Promises {
            ledger: Ledger::new(moment(at), setup, saved)?,
            members,
            done: Vec::new(),
            health_at: at.steady,
        })
    }

    pub fn ask(&mut self, at: Moment, ask: Ask) {
        self.ledger.ask(moment(at), ask);
    }

    pub fn done(&mut self) -> Vec<Done> {
        std::mem::take(&mut self.done)
    }

    pub fn heard(&mut self, at: Moment, from: PeerId, bytes: &[u8]) {
        self.ledger.heard(moment(at), from, bytes);
    }

    /// The operator's list has changed.
    pub fn members(
        &mut self,
        at: Moment,
        members: Vec<Member>,
        addresses: BTreeMap<PeerId, SocketAddr>,
    ) -> Result<(), Error> {
        self.ledger.members(moment(at), members)?;
        self.members = addresses;
        Ok(())
    }

    /// This front is to end.
    pub fn hand_over(&mut self, at: Moment) {
        self.ledger.goes(moment(at));
    }

    pub fn hands_over(&self) -> bool {
        self.ledger.hands_over()
    }

    pub fn is_needed(&self, at: Moment) -> bool {
        self.ledger.is_needed(moment(at))
    }

    /// Who of the members is up and who is not, as far as gossip knows them.
    fn health(&mut self, at: Moment, node: &Node) {
        self.health_at = at.steady + HEALTH;
        let of = |front: &PeerId| node.members().health(*front);
        let which = |healths: [Health; 2]| -> Vec<PeerId> {
            let all = self.members.keys().copied();
            all.filter(|front| of(front).is_some_and(|health| healths.contains(&health))).collect()
        };
        let (up, away) = (which([Health::Alive; 2]), which([Health::Dead, Health::Left]));
        self.ledger.health(moment(at), &up, &away);
    }

    pub fn tick(&mut self, at: Moment, node: &Node) {
        if self.health_at <= at.steady {
            self.health(at, node);
        }
        if self.ledger.due() <= at.steady {
            self.ledger.tick(moment(at));
        }
    }

    /// When `tick` is next due, in microseconds from now.
    pub fn due(&self, steady: hallmux_dispatcher::Micros) -> hallmux_dispatcher::Micros {
        self.ledger.due().saturating_sub(steady).max(0)
    }

    /// A save is lasting, or has failed.
    pub fn saved(&mut self, at: Moment, number: u64, ok: bool) {
        self.ledger.saved(moment(at), number, ok);
    }

    /// Begins anew with another disk, as a front that remembers nothing.
    pub fn start_over(&mut self, at: Moment, disk: u64) {
        self.ledger.start_over(moment(at), disk);
    }

    pub fn differed(&self) -> (u64, u64) {
        self.ledger.differed()
    }

    pub fn tallies(&self) -> hallmux_ledger::Tallies {
        self.ledger.tallies()
    }

    /// Puts what there is to send into datagrams: behind what has to be kept before.
    pub fn send(&mut self, at: Moment, node: &mut Node, out: &mut Out) {
        let hallmux_ledger::Out { letters, saves, done } = self.ledger.take();
        self.done.extend(done);
        let mut post =
            |letters: Vec<(PeerId, Vec<u8>)>| -> Vec<Datagram> {
                let mut datagrams = Vec::new();
                for (to, letter) in letters {
                    // What does not go out is as if it were lost on the way.
                    let at_peer = self.members.get(&to).copied().or_else(|| node.address(to));
                    datagrams.extend(at_peer.and_then(|to| {
                        node.channel_datagram(at.now, at.wall_ms, to, Channel::Ledger, &letter)
                    }));
                }
                datagrams
            };
        out.datagrams.extend(post(letters));
        for save in saves {
            let datagrams = post(save.letters);
            out.kept.push(Kept { number: save.number, records: save.records, datagrams });
        }
    }
}

fn moment(at: Moment) -> hallmux_ledger::Moment {
    hallmux_ledger::Moment { steady: at.steady, wall_ms: at.wall_ms }
}
