//! Handles received datagrams.

use std::net::SocketAddr;

use crate::channels::Channel;
use crate::members::Outgoing;
use crate::message::{self, Message, Report, Signed};
use crate::seal::VerificationError;
use crate::{Micros, PeerId};

use super::sending::Purpose;
use super::{Datagram, Node};

/// The messages to send in response to a datagram.
struct Responses {
    /// Probes on behalf of other fronts, and answers to probes.
    outgoing: Vec<Outgoing>,
    /// The address of the sender if it was not in the view before.
    newcomer: Option<SocketAddr>,
}

impl Node {
    /// Handles a datagram received from the address `from` and returns the datagrams to send in
    /// response. Rejected datagrams and reports are counted.
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
        // A new front receives many membership updates at once; otherwise it would discover the
        // members one by one.
        if let Some(to) = responses.newcomer {
            let outgoing = Outgoing::without_probe(to);
            datagrams.extend(self.send(now, wall_ms, outgoing, Purpose::Welcome));
        }
        datagrams
    }

    /// Opens a datagram and handles its content.
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
            return Err(VerificationError::Replay); // a datagram of this front, sent back to it
        }
        // Answers are sent to the address that the sender announces, which may differ from its
        // source address.
        let own_update = message
            .updates
            .iter()
            .find(|update| update.member == sender);
        let address = own_update.map_or(from, |update| update.address);
        let is_new = self.members.health(sender).is_none();
        for update in message.updates {
            // Only updates on fronts with a known key are applied: those fronts can refute them.
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

    /// Handles a subsystem's message: load reports at once, others are stored until the caller
    /// takes them.
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
            // Most received reports are known already: skip the cost of verifying their signatures.
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
