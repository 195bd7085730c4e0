//! Builds datagrams: gossip rounds, probes and their answers, and messages of other subsystems,
//! within byte rate limits.

use std::net::SocketAddr;

use crate::channels::Channel;
use crate::members::Outgoing;
use crate::message::{self, Message, Probe, MAX_DATAGRAM};
use crate::seal::SEAL_BYTES;
use crate::{Micros, RandomSource};

use super::{Datagram, Node};

/// Rate limit in bytes per second of unsolicited datagrams, with a burst of one second's worth.
pub(super) const GOSSIP_BYTES_PER_SECOND: f64 = 3_000.0;
/// Rate limit in bytes per second of answers. A separate limit, so that a flood of probes can't
/// starve reports.
pub(super) const ANSWER_BYTES_PER_SECOND: f64 = 1_000.0;
/// Microseconds between gossip rounds.
const ROUND_PERIOD: Micros = 250_000;
/// Number of members that receive a datagram in each round.
const FANOUT: usize = 2;
/// Number of members to which a front announces that it leaves.
const LEAVE_FANOUT: usize = 2 * FANOUT;
/// Bytes of the rate limit reserved for probes: without probes a peer would seem dead.
const PROBE_RESERVE_BYTES: f64 = 800.0;
/// Membership updates in the first datagram to a new front.
const WELCOME_UPDATES: usize = 24;
/// Maximum number of membership updates in a gossip datagram besides the sender's own.
const MAX_UPDATES: usize = 2;
/// Size in bytes to which a gossip datagram is filled with reports.
const REPORT_DATAGRAM_BYTES: usize = 420;
/// Bytes of the encoded number of reports in a message.
const REPORT_COUNT_BYTES: usize = 2;
/// Each front sends a report up to this factor times the binary logarithm of the number of peers.
const RETRANSMIT_FACTOR: f64 = 2.0;

/// The purpose of a datagram, which decides what it may carry and which rate limit applies.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A gossip round or a probe.
    Gossip,
    /// An answer to a probe, or a probe on behalf of another front.
    Answer,
    /// The first datagram to a front that was not in the view before.
    Welcome,
}

impl Purpose {
    /// The maximum number of membership updates besides the sender's own.
    fn max_updates(self) -> usize {
        match self {
            // Answers carry no updates, so that a flood of probes can't use up the retransmissions
            // of updates.
            Purpose::Answer => 0,
            Purpose::Gossip => MAX_UPDATES,
            Purpose::Welcome => WELCOME_UPDATES,
        }
    }

    /// The bytes left for reports in a datagram whose other content takes `used_bytes`.
    fn report_budget(self, used_bytes: usize) -> usize {
        match self {
            Purpose::Gossip => REPORT_DATAGRAM_BYTES
                .min(MAX_DATAGRAM)
                .saturating_sub(used_bytes),
            Purpose::Answer | Purpose::Welcome => 0,
        }
    }
}

impl Node {
    /// When `tick` is next due, in microseconds on the caller's clock.
    pub fn due(&self) -> Micros {
        self.members.due().min(self.next_round)
    }

    /// Runs the failure detector and the gossip round if they are due, and returns the datagrams to
    /// send.
    pub fn tick(
        &mut self,
        now: Micros,
        wall_ms: u64,
        random: &mut impl RandomSource,
    ) -> Vec<Datagram> {
        let mut outgoing = Vec::new();
        let mut datagrams = Vec::new();
        self.members.tick(now, random, &mut outgoing);
        if self.next_round <= now {
            self.next_round = now + ROUND_PERIOD;
            self.evidence.expire(now);
            for to in self.pick_targets(FANOUT, random) {
                outgoing.push(Outgoing::without_probe(to));
                datagrams.extend(self.load_report_datagram(now, wall_ms, to));
            }
        }
        for outgoing in outgoing {
            datagrams.extend(self.send(now, wall_ms, outgoing, Purpose::Gossip));
        }
        datagrams
    }

    /// Picks up to `count` random members that are up.
    fn pick_targets(&self, count: usize, random: &mut impl RandomSource) -> Vec<SocketAddr> {
        let mut up: Vec<SocketAddr> = self.members.up().map(|member| member.address).collect();
        (0..count.min(up.len()))
            .map(|_| up.swap_remove(random.below(up.len())))
            .collect()
    }

    /// Announces to some members that this front leaves, for them to spread. Returns the datagrams
    /// to send.
    pub fn leave(
        &mut self,
        now: Micros,
        wall_ms: u64,
        random: &mut impl RandomSource,
    ) -> Vec<Datagram> {
        self.members.leave();
        let targets = self.pick_targets(LEAVE_FANOUT, random);
        targets
            .into_iter()
            .filter_map(|to| self.send(now, wall_ms, Outgoing::without_probe(to), Purpose::Gossip))
            .collect()
    }

    /// Seals a message with membership updates, and with reports if it is gossip. None if it is too
    /// long or beyond the rate limit.
    pub(super) fn send(
        &mut self,
        now: Micros,
        wall_ms: u64,
        outgoing: Outgoing,
        purpose: Purpose,
    ) -> Option<Datagram> {
        let content = self.content(now, outgoing, purpose);
        let len = content.len() + SEAL_BYTES;
        if len > MAX_DATAGRAM || !self.take_tokens(now, len, outgoing.probe, purpose) {
            self.datagrams_withheld += 1;
            return None;
        }
        Some(self.seal(wall_ms, outgoing.to, &content))
    }

    /// The encoded content of a datagram.
    fn content(&mut self, now: Micros, outgoing: Outgoing, purpose: Purpose) -> Vec<u8> {
        let mut updates = vec![self.members.own_update()];
        updates.extend(
            self.members
                .pick_to_send(outgoing.to, purpose.max_updates()),
        );
        let mut message = Message {
            probe: outgoing.probe,
            updates,
            reports: Vec::new(),
            payload: Vec::new(),
        };
        let used_bytes = SEAL_BYTES + message::encode(&message).len() + REPORT_COUNT_BYTES;
        let peers = (self.peers.len() + 2) as f64;
        let max_sends = (RETRANSMIT_FACTOR * peers.log2()).ceil() as u32;
        let budget = purpose.report_budget(used_bytes);
        message.reports = self.evidence.pick_to_send(now, max_sends, budget);
        message::encode(&message)
    }

    /// Charges a datagram of `len` bytes to its rate limit. False if it exceeds the limit.
    fn take_tokens(&mut self, now: Micros, len: usize, probe: Probe, purpose: Purpose) -> bool {
        let tokens = match purpose {
            Purpose::Answer => &mut self.answer_tokens,
            Purpose::Gossip | Purpose::Welcome => &mut self.gossip_tokens,
        };
        let reserve = if probe == Probe::None {
            PROBE_RESERVE_BYTES
        } else {
            0.0
        };
        tokens.take_with_reserve(now, len as f64, reserve)
    }

    fn seal(&mut self, wall_ms: u64, to: SocketAddr, content: &[u8]) -> Datagram {
        self.bytes_sent += (content.len() + SEAL_BYTES) as u64;
        Datagram {
            to,
            bytes: self.identity.seal(wall_ms, content),
        }
    }

    /// Seals a subsystem's message to another front. None if it is too long for a datagram or
    /// beyond the channel's rate limit.
    pub fn channel_datagram(
        &mut self,
        now: Micros,
        wall_ms: u64,
        to: SocketAddr,
        channel: Channel,
        payload: &[u8],
    ) -> Option<Datagram> {
        let updates = vec![self.members.own_update()];
        let payload = [&[channel as u8], payload].concat();
        let message = Message {
            probe: Probe::None,
            updates,
            reports: Vec::new(),
            payload,
        };
        let content = message::encode(&message);
        let len = content.len() + SEAL_BYTES;
        if len > MAX_DATAGRAM || !self.mailbox.take_tokens(now, channel, len) {
            self.datagrams_withheld += 1;
            return None;
        }
        Some(self.seal(wall_ms, to, &content))
    }
}
