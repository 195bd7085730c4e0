//! The failure detector: probes, indirect probes on behalf of others, and what their outcome means.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::message::{Health, Probe};
use crate::{Micros, PeerId, RandomSource};

use super::{MemberAddress, Members, Outgoing, MAX_LOCAL_HEALTH};

/// Microseconds between probes, while the local health score is 0.
const PROBE_PERIOD: Micros = 500_000;
/// Microseconds until others are asked to probe: some round trips.
const ACK_TIMEOUT: Micros = 150_000;
/// Other fronts that are asked to probe.
const INDIRECT_PROBES: usize = 3;
/// Indirect probes under way for others at once.
const MAX_RELAYS: usize = 64;
/// Probe periods between probes of a seed, so that parts of a split fleet meet again.
const SEED_PROBE_INTERVAL: u32 = 8;

/// The probe under way.
pub(super) struct Probing {
    member: PeerId,
    address: SocketAddr,
    number: u32,
    acked: bool,
    /// When others are asked to probe it too; None once they were.
    indirect_at: Option<Micros>,
    /// Fronts asked to probe it that have not answered with a nack yet.
    missing_nacks: usize,
}

/// An indirect probe under way on behalf of another front.
pub(super) struct Relay {
    requester: SocketAddr,
    /// The number of the requester's ping request.
    number: u32,
    /// When the requester learns that no ack has come; None once it has.
    nack_at: Option<Micros>,
    /// When an ack is of no use any more.
    ends: Micros,
}

impl Members {
    /// When `tick` is next due, in microseconds on the caller's clock.
    pub fn due(&self) -> Micros {
        let indirect = self
            .probing
            .as_ref()
            .and_then(|probing| probing.indirect_at);
        let relays = self
            .relays
            .values()
            .map(|relay| relay.nack_at.unwrap_or(relay.ends))
            .min();
        self.period_ends
            .min(indirect.unwrap_or(Micros::MAX))
            .min(relays.unwrap_or(Micros::MAX))
    }

    /// Does what is due: probes, indirect probes, suspicions that expire. What is to be sent is added to
    /// `out`.
    pub fn tick(&mut self, now: Micros, random: &mut impl RandomSource, out: &mut Vec<Outgoing>) {
        let stretch = Micros::from(self.local_health + 1);
        self.probe_indirectly(now, random, out);
        if self.period_ends <= now {
            self.period_ends = now + PROBE_PERIOD * stretch;
            self.conclude_probe(now);
            self.expire(now);
            self.probe(now, random, out);
        }
        self.tick_relays(now, out);
    }

    /// Sends the nacks that are due, and forgets relays that are over.
    fn tick_relays(&mut self, now: Micros, out: &mut Vec<Outgoing>) {
        for relay in self.relays.values_mut() {
            if relay.nack_at.take_if(|at| *at <= now).is_some() {
                out.push(Outgoing {
                    to: relay.requester,
                    probe: Probe::Nack {
                        number: relay.number,
                    },
                });
            }
        }
        self.relays.retain(|_, relay| relay.ends > now);
    }

    /// Asks others to probe a member that has not answered in time.
    fn probe_indirectly(
        &mut self,
        now: Micros,
        random: &mut impl RandomSource,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(probing) = &mut self.probing else {
            return;
        };
        let due = probing.indirect_at.take_if(|at| *at <= now);
        if due.is_none() || probing.acked {
            return;
        }
        let (member, address, number) = (probing.member, probing.address, probing.number);
        let mut others: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(id, other)| **id != member && other.health == Health::Alive)
            .map(|(_, other)| other.address)
            .collect();
        for _ in 0..INDIRECT_PROBES.min(others.len()) {
            let to = others.swap_remove(random.below(others.len()));
            out.push(Outgoing {
                to,
                probe: Probe::PingRequest {
                    number,
                    member,
                    address,
                },
            });
            probing.missing_nacks += 1;
        }
    }

    /// The period of a probe is over: an unanswered one makes its member a suspect.
    fn conclude_probe(&mut self, now: Micros) {
        let Some(probing) = self.probing.take() else {
            return;
        };
        if probing.acked {
            self.local_health = self.local_health.saturating_sub(1);
            return;
        }
        // Fronts that did not even answer with a nack: the fault may be here.
        let missing = probing.missing_nacks.max(1) as u32;
        self.local_health = (self.local_health + missing).min(MAX_LOCAL_HEALTH);
        let Some(member) = self.members.get(&probing.member) else {
            return;
        };
        if member.health == Health::Alive {
            let update = member.update(probing.member, Health::Suspect);
            self.apply(now, self.own, update);
        }
    }

    /// Probes the next member of the round, and seeds where it is due.
    fn probe(&mut self, now: Micros, random: &mut impl RandomSource, out: &mut Vec<Outgoing>) {
        if self.left {
            return;
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        if let Some(MemberAddress { id, address }) = self.next_probed(random) {
            let timeout = ACK_TIMEOUT * Micros::from(self.local_health + 1);
            self.probing = Some(Probing {
                member: id,
                address,
                number,
                acked: false,
                indirect_at: Some(now + timeout),
                missing_nacks: 0,
            });
            out.push(Outgoing {
                to: address,
                probe: Probe::Ping { number },
            });
        }
        self.probe_seeds(number, random, out);
    }

    /// The member to be probed next: round robin, in an order that is drawn anew for each round.
    fn next_probed(&mut self, random: &mut impl RandomSource) -> Option<MemberAddress> {
        while self.up().next().is_some() {
            let Some(id) = self.probe_order.pop() else {
                self.draw_probe_order(random);
                continue;
            };
            if let Some(member) = self.members.get(&id).filter(|member| member.is_up()) {
                let address = member.address;
                return Some(MemberAddress { id, address });
            }
        }
        None
    }

    fn draw_probe_order(&mut self, random: &mut impl RandomSource) {
        self.probe_order = self.up().map(|member| member.id).collect();
        for n in (1..self.probe_order.len()).rev() {
            self.probe_order.swap(n, random.below(n + 1));
        }
    }

    /// Alone, probes all seeds; else one now and then, so that two parts of a fleet that lost each other meet
    /// again.
    fn probe_seeds(
        &mut self,
        number: u32,
        random: &mut impl RandomSource,
        out: &mut Vec<Outgoing>,
    ) {
        let probe = Probe::Ping { number };
        if self.members.is_empty() {
            let all: BTreeSet<SocketAddr> = self.seeds.iter().copied().collect();
            let others = all.into_iter().filter(|to| *to != self.address);
            out.extend(others.map(|to| Outgoing { to, probe }));
            return;
        }
        let is_due = self.probing.is_none() || number.is_multiple_of(SEED_PROBE_INTERVAL);
        if self.seeds.is_empty() || !is_due {
            return;
        }
        let to = self.seeds[random.below(self.seeds.len())];
        if to != self.address {
            out.push(Outgoing { to, probe });
        }
    }

    /// Takes in a probe, or an answer to one, of the peer `from`, which listens at `address`.
    pub fn receive(
        &mut self,
        now: Micros,
        from: PeerId,
        address: SocketAddr,
        probe: Probe,
        out: &mut Vec<Outgoing>,
    ) {
        match probe {
            Probe::None => {}
            Probe::Ping { number } => out.push(Outgoing {
                to: address,
                probe: Probe::Ack { number },
            }),
            Probe::PingRequest {
                number,
                member,
                address: target,
            } => {
                let target = MemberAddress {
                    id: member,
                    address: target,
                };
                out.extend(self.relay(now, address, number, target));
            }
            Probe::Ack { number } => out.extend(self.acked(number)),
            Probe::Nack { number } => self.nacked(from, number),
        }
    }

    /// Probes a member on behalf of another front, whose ping request has this number.
    fn relay(
        &mut self,
        now: Micros,
        requester: SocketAddr,
        number: u32,
        target: MemberAddress,
    ) -> Option<Outgoing> {
        // Guards against being used to flood others: only members are probed, and few at a time.
        let member = self.members.get(&target.id)?;
        if member.address != target.address || self.relays.len() >= MAX_RELAYS {
            return None;
        }
        self.next_number = self.next_number.wrapping_add(1);
        let relay = Relay {
            requester,
            number,
            nack_at: Some(now + ACK_TIMEOUT),
            ends: now + 2 * PROBE_PERIOD,
        };
        self.relays.insert(self.next_number, relay);
        Some(Outgoing {
            to: target.address,
            probe: Probe::Ping {
                number: self.next_number,
            },
        })
    }

    /// A ping of this number was answered: passed on where it was sent for another front.
    fn acked(&mut self, number: u32) -> Option<Outgoing> {
        if let Some(relay) = self.relays.remove(&number) {
            return Some(Outgoing {
                to: relay.requester,
                probe: Probe::Ack {
                    number: relay.number,
                },
            });
        }
        if let Some(probing) = &mut self.probing {
            probing.acked |= probing.number == number;
        }
        None
    }

    /// A front that was asked to probe a member is there itself.
    fn nacked(&mut self, from: PeerId, number: u32) {
        if let Some(probing) = &mut self.probing {
            if probing.number == number && probing.member != from {
                probing.missing_nacks = probing.missing_nacks.saturating_sub(1);
            }
        }
    }
}
