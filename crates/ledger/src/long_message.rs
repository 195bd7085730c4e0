//! The sender's side of a message that is longer than a packet: which fragments are still to be
//! sent.

use crate::messages::Payload;
use crate::packet_limits::FRAGMENT_BYTES;
use crate::{FrontId, Micros};

/// Microseconds without activity after which the receiver is sent the last fragment again.
const ACK_TIMEOUT: Micros = 250_000;

/// The rate and order in which a long message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    /// At the rate of the log.
    Fast,
    /// At the rate of the log, for messages of the log of this shard: one at a time, as the log
    /// relies on their order.
    Log(u16),
    /// At the operator's rate for rebuilding replicas.
    Repair,
}

/// A message that is longer than a packet and not acknowledged yet.
pub(crate) struct LongMessage {
    pub to: FrontId,
    pub pace: Pace,
    pub bytes: Vec<u8>,
    /// Fragments still to be sent, in reverse order.
    pub unsent: Vec<u16>,
    /// When a fragment was last sent or requested.
    pub last_activity: Micros,
    /// When the receiver was last sent the last fragment again.
    pub last_reminder: Micros,
}

impl LongMessage {
    /// The number of fragments of the message.
    pub fn count(&self) -> u16 {
        self.bytes.len().div_ceil(FRAGMENT_BYTES) as u16
    }

    pub fn slice(&self, index: u16) -> Option<&[u8]> {
        self.bytes.chunks(FRAGMENT_BYTES).nth(index.into())
    }

    /// The payload of a fragment; `id` is the number of the message at its sender.
    pub fn fragment(&self, id: u64, index: u16) -> Option<Payload> {
        let bytes = self.slice(index)?.to_vec();
        Some(Payload::Fragment {
            id,
            index,
            count: self.count(),
            bytes,
        })
    }

    /// Queues the fragments that the receiver is missing.
    pub fn resend(&mut self, now: Micros, missing: Vec<u16>) {
        let count = self.count();
        let new = missing
            .into_iter()
            .rev()
            .filter(|n| *n < count && !self.unsent.contains(n));
        let new: Vec<u16> = new.collect();
        self.unsent.extend(new);
        self.last_activity = now;
    }

    /// When the receiver is to be sent the last fragment again; [`Micros::MAX`] while fragments are
    /// still to be sent.
    pub fn ack_due(&self) -> Micros {
        if self.unsent.is_empty() {
            self.last_activity.max(self.last_reminder) + ACK_TIMEOUT
        } else {
            Micros::MAX
        }
    }
}
