//! The failure detector: probes, indirect probes on behalf of others, and what their outcome means.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::message::{Health, Probe};
use crate::{Micros, PeerId, RandomSource};

use super::{Members, Outgoing, MAX_LOCAL_HEALTH};

const PROBE_PERIOD: Micros = 500_000; // microseconds between probes, while the local health score is 0
/// Microseconds until others are asked to probe: some round trips on a campus.
const ACK_TIMEOUT: Micros = 150_000;
const INDIRECT_PROBES: usize = 3; // other fronts that are asked to probe; SWIM's usual number
const MAX_RELAYS: usize = 64; // indirect probes under way for others at once
/// Probe periods between probes of a seed, so that parts of a split fleet meet again.
const SEED_PROBE_EVERY: u32 = 8;

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
    number: u32,
    nack_at: Option<Micros>,
    ends: Micros,
}

impl Members {
    /// When `tick` is next due, in microseconds on the caller's clock.
    pub fn due(&self) -> Micros {
        let indirect = self
            .probing
            .as_ref()
            .and_then(|p| p.indirect_at)
            .unwrap_or(Micros::MAX);
        let relays = self
            .relays
            .values()
            .map(|r| r.nack_at.unwrap_or(r.ends))
            .min()
            .unwrap_or(Micros::MAX);
        self.period_ends.min(indirect).min(relays)
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
        let mut nacks = Vec::new();
        for relay in self
            .relays
            .values_mut()
            .filter(|r| r.nack_at.is_some_and(|at| at <= now))
        {
            relay.nack_at = None;
            nacks.push(Outgoing {
                to: relay.requester,
                probe: Probe::Nack {
                    number: relay.number,
                },
            });
        }
        self.relays.retain(|_, r| r.ends > now);
        out.extend(nacks);
    }

    /// Asks others to probe a member that has not answered in time.
    fn probe_indirectly(
        &mut self,
        now: Micros,
        random: &mut impl RandomSource,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(probing) = self
            .probing
            .as_mut()
            .filter(|p| p.indirect_at.is_some_and(|at| at <= now))
        else {
            return;
        };
        probing.indirect_at = None;
        if probing.acked {
            return;
        }
        let (member, address, number) = (probing.member, probing.address, probing.number);
        let mut others: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(id, m)| **id != member && m.health == Health::Alive)
            .map(|(_, m)| m.address)
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
        let missing = if probing.missing_nacks > 0 {
            probing.missing_nacks as u32
        } else {
            1
        };
        self.local_health = (self.local_health + missing).min(MAX_LOCAL_HEALTH);
        if let Some(member) = self
            .members
            .get(&probing.member)
            .filter(|m| m.health == Health::Alive)
        {
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
        // Round robin, in an order that is drawn anew for each round.
        while self.members.values().any(|m| m.is_up()) {
            let Some(id) = self.probe_order.pop() else {
                self.probe_order = self.up().map(|(id, _)| id).collect();
                for n in (1..self.probe_order.len()).rev() {
                    self.probe_order.swap(n, random.below(n + 1));
                }
                continue;
            };
            let Some(member) = self.members.get(&id).filter(|m| m.is_up()) else {
                continue;
            };
            let indirect_at = Some(now + ACK_TIMEOUT * Micros::from(self.local_health + 1));
            let address = member.address;
            self.probing = Some(Probing {
                member: id,
                address,
                number,
                acked: false,
                indirect_at,
                missing_nacks: 0,
            });
            out.push(Outgoing {
                to: address,
                probe: Probe::Ping { number },
            });
            break;
        }
        self.probe_seeds(number, random, out);
    }

    /// Alone, probes all seeds; else one now and then, so that two parts of a fleet that lost each other meet
    /// again.
    fn probe_seeds(
        &mut self,
        number: u32,
        random: &mut impl RandomSource,
        out: &mut Vec<Outgoing>,
    ) {
        if self.members.is_empty() {
            let others = self
                .seeds
                .iter()
                .filter(|to| **to != self.address)
                .collect::<BTreeSet<_>>();
            out.extend(others.into_iter().map(|to| Outgoing {
                to: *to,
                probe: Probe::Ping { number },
            }));
        } else if !self.seeds.is_empty()
            && (self.probing.is_none() || number.is_multiple_of(SEED_PROBE_EVERY))
        {
            let to = self.seeds[random.below(self.seeds.len())];
            if to != self.address {
                out.push(Outgoing {
                    to,
                    probe: Probe::Ping { number },
                });
            }
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
                // Guards against being used to flood others: only members are probed, and few at a time.
                if self
                    .members
                    .get(&member)
                    .is_none_or(|m| m.address != target)
                    || self.relays.len() >= MAX_RELAYS
                {
                    return;
                }
                self.next_number = self.next_number.wrapping_add(1);
                let own = self.next_number;
                let (nack_at, ends) = (Some(now + ACK_TIMEOUT), now + 2 * PROBE_PERIOD);
                self.relays.insert(
                    own,
                    Relay {
                        requester: address,
                        number,
                        nack_at,
                        ends,
                    },
                );
                out.push(Outgoing {
                    to: target,
                    probe: Probe::Ping { number: own },
                });
            }
            Probe::Ack { number } => {
                if let Some(relay) = self.relays.remove(&number) {
                    out.push(Outgoing {
                        to: relay.requester,
                        probe: Probe::Ack {
                            number: relay.number,
                        },
                    });
                } else if let Some(p) = self.probing.as_mut().filter(|p| p.number == number) {
                    p.acked = true;
                }
            }
            Probe::Nack { number } => {
                if let Some(p) = self
                    .probing
                    .as_mut()
                    .filter(|p| p.number == number && p.member != from)
                {
                    p.missing_nacks = p.missing_nacks.saturating_sub(1);
                }
            }
        }
    }
}
