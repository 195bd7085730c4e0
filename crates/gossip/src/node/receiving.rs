//! What a front does with a datagram that comes in.

use std::net::SocketAddr;

use crate::channels::Channel;
use crate::members::Outgoing;
use crate::message::{self, Message, Report, Signed};
use crate::seal::VerificationError;
use crate::{Micros, PeerId};

use super::sending::Purpose;
use super::{Datagram, Node};

/// What has to be sent because of a datagram.
struct Responses {
    /// Probes on behalf of others, and answers to probes.
    outgoing: Vec<Outgoing>,
    /// Where a front listens that was not known before.
    newcomer: Option<SocketAddr>,
}

impl Node {
    /// Takes in a datagram from the address `from` and returns what is to be sent in answer. What is refused
    /// is counted.
    pub fn receive(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Vec<Datagram> {
        let responses = match self.open(now, wall_ms, from, bytes) {
            Ok(responses) => responses,
            Err(error) => {
                self.count_rejected(error);
                return Vec::new();
            }
        };
        let mut datagrams = Vec::new();
        for outgoing in responses.outgoing {
            datagrams.extend(self.send(now, wall_ms, outgoing, Purpose::Answer));
        }
        // A newcomer learns of others at once: else it would meet them one by one.
        if let Some(to) = responses.newcomer {
            let outgoing = Outgoing::without_probe(to);
            datagrams.extend(self.send(now, wall_ms, outgoing, Purpose::Welcome));
        }
        datagrams
    }

    /// Opens a datagram and takes in what it holds.
    fn open(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<Responses, VerificationError> {
        let opened = self.peers.open(now, wall_ms, from.ip(), bytes)?;
        let sender = opened.sender;
        let message: Message = message::decode(opened.content).ok_or(VerificationError::Form)?;
        if sender == self.identity.id {
            return Err(VerificationError::Replay); // this front's own, come back
        }
        // Answers go where the sender says that it listens, which need not be where it sends from.
        let own_update = message
            .updates
            .iter()
            .find(|update| update.member == sender);
        let address = own_update.map_or(from, |update| update.address);
        let is_new = self.members.health(sender).is_none();
        for update in message.updates {
            // Only fronts with a known key count: they could refute the update.
            if self.peers.has_key(update.member) {
                self.members.apply(now, sender, update);
            }
        }
        let mut outgoing = Vec::new();
        self.members
            .receive(now, sender, address, message.probe, &mut outgoing);
        self.receive_payload(now, wall_ms, from, sender, address, message.payload);
        self.merge_reports(now, wall_ms, from, message.reports);
        let needs_welcome = is_new && self.members.len() > 1;
        Ok(Responses {
            outgoing,
            newcomer: needs_welcome.then_some(address),
        })
    }

    /// Takes in a subsystem's message: load reports here, others when they are asked for.
    fn receive_payload(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: SocketAddr,
        sender: PeerId,
        address: SocketAddr,
        payload: Vec<u8>,
    ) {
        if payload.first() == Some(&(Channel::Load as u8)) {
            self.receive_load_reports(now, wall_ms, from.ip(), &payload[1..]);
        } else if !self.mailbox.deliver(sender, address, payload) {
            self.count_rejected(VerificationError::Form);
        }
    }

    fn merge_reports(&mut self, now: Micros, wall_ms: u64, from: SocketAddr, reports: Vec<Signed>) {
        for signed in reports {
            let Some(report) = message::decode::<Report>(&signed.report) else {
                continue;
            };
            // Guards against the cost of what is known already, which is most of what comes.
            let is_own = report.reporter == self.identity.id;
            if is_own
                || !self
                    .evidence
                    .is_later(report.reporter, report.started_ms, report.version)
            {
                continue;
            }
            match self.peers.verify_report(now, from.ip(), &signed) {
                Ok(report) => {
                    let age = self.peers.age(report.reporter, wall_ms, report.created_ms);
                    if let Some(age) = age {
                        self.evidence.merge(now, report, signed, age);
                    }
                }
                Err(error) => self.count_rejected(error),
            }
        }
    }

    pub(super) fn count_rejected(&mut self, error: VerificationError) {
        *self.rejected.entry(error).or_default() += 1;
    }
}
