//! The failure detector: probes, indirect probes on behalf of other fronts, and the conclusions
//! from both.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::message::{Health, Probe};
use crate::{Micros, PeerId, RandomSource};

use super::{MemberAddress, Members, Outgoing, MAX_LOCAL_HEALTH_SCORE};

/// Microseconds between probes when the local health score is 0.
const PROBE_PERIOD: Micros = 500_000;
/// Microseconds without an ack until other fronts are asked to probe; several round trips.
const ACK_TIMEOUT: Micros = 150_000;
/// Number of fronts that are asked to probe a member that did not answer.
const INDIRECT_PROBERS: usize = 3;
/// Maximum number of concurrent indirect probes on behalf of other fronts.
const MAX_INDIRECT_PROBES: usize = 64;
/// Probe periods between probes of a seed, which let the parts of a split fleet rejoin.
const SEED_PROBE_INTERVAL: u32 = 8;

/// The current probe.
pub(super) struct Probing {
    member: PeerId,
    address: SocketAddr,
    number: u32,
    is_acked: bool,
    /// When other fronts are asked to probe the member too; None once they were asked.
    indirect_at: Option<Micros>,
    /// Number of fronts asked to probe the member that have not answered with a nack.
    missing_nacks: usize,
}

/// An indirect probe in progress on behalf of another front.
pub(super) struct IndirectProbe {
    requester: SocketAddr,
    /// The number of the requester's ping request.
    number: u32,
    /// When a nack is sent to the requester; None once it was sent.
    nack_at: Option<Micros>,
    /// When the probe is dropped, as an ack is too late for the requester.
    expires_at: Micros,
}

impl Members {
    /// When `tick` is next due, in microseconds on the caller's clock.
    pub fn due(&self) -> Micros {
        let indirect = self
            .probing
            .as_ref()
            .and_then(|probing| probing.indirect_at);
        let indirect_probes = self
            .indirect_probes
            .values()
            .map(|indirect_probe| indirect_probe.nack_at.unwrap_or(indirect_probe.expires_at))
            .min();
        self.period_ends
            .min(indirect.unwrap_or(Micros::MAX))
            .min(indirect_probes.unwrap_or(Micros::MAX))
    }

    /// Runs what is due: probes, indirect probes and the expiry of suspicions. Messages to be sent
    /// are added to `outgoing`.
    pub fn tick(
        &mut self,
        now: Micros,
        random: &mut impl RandomSource,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let timeout_factor = Micros::from(self.local_health_score + 1);
        self.probe_indirectly(now, random, outgoing);
        if self.period_ends <= now {
            self.period_ends = now + PROBE_PERIOD * timeout_factor;
            self.conclude_probe(now);
            self.expire(now);
            self.probe(now, random, outgoing);
        }
        self.tick_indirect_probes(now, outgoing);
    }

    /// Sends the nacks that are due, and drops expired indirect probes.
    fn tick_indirect_probes(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        for indirect_probe in self.indirect_probes.values_mut() {
            if indirect_probe.nack_at.take_if(|at| *at <= now).is_some() {
                outgoing.push(Outgoing {
                    to: indirect_probe.requester,
                    probe: Probe::Nack {
                        number: indirect_probe.number,
                    },
                });
            }
        }
        self.indirect_probes
            .retain(|_, indirect_probe| indirect_probe.expires_at > now);
    }

    /// Asks other fronts to probe the member if it has not answered in time.
    fn probe_indirectly(
        &mut self,
        now: Micros,
        random: &mut impl RandomSource,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let Some(probing) = &mut self.probing else {
            return;
        };
        let due = probing.indirect_at.take_if(|at| *at <= now);
        if due.is_none() || probing.is_acked {
            return;
        }
        let (member, address, number) = (probing.member, probing.address, probing.number);
        let mut others: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(id, other)| **id != member && other.health == Health::Alive)
            .map(|(_, other)| other.address)
            .collect();
        for _ in 0..INDIRECT_PROBERS.min(others.len()) {
            let to = others.swap_remove(random.below(others.len()));
            outgoing.push(Outgoing {
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

    /// Concludes the current probe: a member that did not answer is suspected.
    fn conclude_probe(&mut self, now: Micros) {
        let Some(probing) = self.probing.take() else {
            return;
        };
        if probing.is_acked {
            self.local_health_score = self.local_health_score.saturating_sub(1);
            return;
        }
        // Missing nacks suggest that the fault is on the local side, so they raise the local health
        // score.
        let missing_nacks = probing.missing_nacks.max(1) as u32;
        self.local_health_score =
            (self.local_health_score + missing_nacks).min(MAX_LOCAL_HEALTH_SCORE);
        let Some(member) = self.members.get(&probing.member) else {
            return;
        };
        if member.health == Health::Alive {
            let update = member.update(probing.member, Health::Suspect);
            self.apply(now, self.local_id, update);
        }
    }

    /// Probes the next member of the round, and seeds if due.
    fn probe(&mut self, now: Micros, random: &mut impl RandomSource, outgoing: &mut Vec<Outgoing>) {
        if self.has_left {
            return;
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        if let Some(MemberAddress { id, address }) = self.next_probe_target(random) {
            let timeout = ACK_TIMEOUT * Micros::from(self.local_health_score + 1);
            self.probing = Some(Probing {
                member: id,
                address,
                number,
                is_acked: false,
                indirect_at: Some(now + timeout),
                missing_nacks: 0,
            });
            outgoing.push(Outgoing {
                to: address,
                probe: Probe::Ping { number },
            });
        }
        self.probe_seeds(number, random, outgoing);
    }

    /// The member to probe next: round robin, in a random order that changes with each round.
    fn next_probe_target(&mut self, random: &mut impl RandomSource) -> Option<MemberAddress> {
        while self.up().next().is_some() {
            let Some(id) = self.probe_order.pop() else {
                self.shuffle_probe_order(random);
                continue;
            };
            if let Some(member) = self.members.get(&id).filter(|member| member.is_up()) {
                let address = member.address;
                return Some(MemberAddress { id, address });
            }
        }
        None
    }

    fn shuffle_probe_order(&mut self, random: &mut impl RandomSource) {
        self.probe_order = self.up().map(|member| member.id).collect();
        for n in (1..self.probe_order.len()).rev() {
            self.probe_order.swap(n, random.below(n + 1));
        }
    }

    /// Probes all seeds if the view is empty; else one seed every `SEED_PROBE_INTERVAL` periods or
    /// when no member is probed, so that the parts of a split fleet rejoin.
    fn probe_seeds(
        &mut self,
        number: u32,
        random: &mut impl RandomSource,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let probe = Probe::Ping { number };
        if self.members.is_empty() {
            let all: BTreeSet<SocketAddr> = self.seeds.iter().copied().collect();
            let others = all.into_iter().filter(|to| *to != self.address);
            outgoing.extend(others.map(|to| Outgoing { to, probe }));
            return;
        }
        let is_due = self.probing.is_none() || number.is_multiple_of(SEED_PROBE_INTERVAL);
        if self.seeds.is_empty() || !is_due {
            return;
        }
        let to = self.seeds[random.below(self.seeds.len())];
        if to != self.address {
            outgoing.push(Outgoing { to, probe });
        }
    }

    /// Handles a probe or an answer from the peer `from`, which listens at `address`. Answers are
    /// added to `outgoing`.
    pub fn receive(
        &mut self,
        now: Micros,
        from: PeerId,
        address: SocketAddr,
        probe: Probe,
        outgoing: &mut Vec<Outgoing>,
    ) {
        match probe {
            Probe::None => {}
            Probe::Ping { number } => outgoing.push(Outgoing {
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
                outgoing.extend(self.start_indirect_probe(now, address, number, target));
            }
            Probe::Ack { number } => outgoing.extend(self.handle_ack(number)),
            Probe::Nack { number } => self.handle_nack(from, number),
        }
    }

    /// Probes a member on behalf of another front, whose ping request has this number. None if the
    /// target is not a member at that address or too many indirect probes are in progress.
    fn start_indirect_probe(
        &mut self,
        now: Micros,
        requester: SocketAddr,
        number: u32,
        target: MemberAddress,
    ) -> Option<Outgoing> {
        // Limited to known members and a few at a time, so that requests can't be used to flood
        // other hosts.
        let member = self.members.get(&target.id)?;
        if member.address != target.address || self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return None;
        }
        self.next_number = self.next_number.wrapping_add(1);
        let indirect_probe = IndirectProbe {
            requester,
            number,
            nack_at: Some(now + ACK_TIMEOUT),
            expires_at: now + 2 * PROBE_PERIOD,
        };
        self.indirect_probes
            .insert(self.next_number, indirect_probe);
        Some(Outgoing {
            to: target.address,
            probe: Probe::Ping {
                number: self.next_number,
            },
        })
    }

    /// Handles the ack to a ping of this number; forwards it if the ping was sent on behalf of
    /// another front.
    fn handle_ack(&mut self, number: u32) -> Option<Outgoing> {
        if let Some(indirect_probe) = self.indirect_probes.remove(&number) {
            return Some(Outgoing {
                to: indirect_probe.requester,
                probe: Probe::Ack {
                    number: indirect_probe.number,
                },
            });
        }
        if let Some(probing) = &mut self.probing {
            probing.is_acked |= probing.number == number;
        }
        None
    }

    /// Handles a nack: the front that was asked to probe a member is alive.
    fn handle_nack(&mut self, from: PeerId, number: u32) {
        if let Some(probing) = &mut self.probing {
            if probing.number == number && probing.member != from {
                probing.missing_nacks = probing.missing_nacks.saturating_sub(1);
            }
        }
    }
}
