//! A message that is longer than a packet, on the side of its sender: which fragments have yet to be sent.

use crate::messages::Payload;
use crate::packet_limits::FRAGMENT_BYTES;
use crate::{FrontId, Micros};

const ACK_TIMEOUT: Micros = 250_000; // microseconds without a sign until its receiver is sent the last fragment again

/// How soon a long message has to be there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    /// At the rate of the log.
    Fast,
    /// The same, for the log of this shard: one message at a time, as the log relies on their order.
    Log(u16),
    /// At the rate that the operator gives to rebuilding replicas.
    Repair,
}

/// A message that is longer than a packet and not acknowledged yet.
pub(crate) struct LongMessage {
    pub to: FrontId,
    pub pace: Pace,
    pub bytes: Vec<u8>,
    /// Fragments that are to be sent, the next last.
    pub to_send: Vec<u16>,
    /// When a fragment of it was sent or asked for last.
    pub touched: Micros,
    /// When its receiver was sent the last fragment again.
    pub reminded: Micros,
}

impl LongMessage {
    /// Fragments of it in all.
    pub fn count(&self) -> u16 {
        self.bytes.len().div_ceil(FRAGMENT_BYTES) as u16
    }

    pub fn slice(&self, index: u16) -> Option<&[u8]> {
        self.bytes.chunks(FRAGMENT_BYTES).nth(index.into())
    }

    /// A fragment of it as it is sent; `id` is its number here.
    pub fn fragment(&self, id: u64, index: u16) -> Option<Payload> {
        let bytes = self.slice(index)?.to_vec();
        Some(Payload::Fragment {
            id,
            index,
            count: self.count(),
            bytes,
        })
    }

    /// Its receiver lacks these fragments.
    pub fn resend(&mut self, now: Micros, missing: Vec<u16>) {
        let count = self.count();
        let new = missing
            .into_iter()
            .rev()
            .filter(|n| *n < count && !self.to_send.contains(n));
        let new: Vec<u16> = new.collect();
        self.to_send.extend(new);
        self.touched = now;
    }

    /// When its receiver is to be reminded.
    pub fn ack_due(&self) -> Micros {
        if self.to_send.is_empty() {
            self.touched.max(self.reminded) + ACK_TIMEOUT
        } else {
            Micros::MAX
        }
    }
}
