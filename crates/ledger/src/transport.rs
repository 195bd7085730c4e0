//! Sends and receives messages between fronts as packets, each for one datagram. Small messages
//! share a packet; long ones are split into fragments that are sent at a limited rate, and sent
//! again if they are lost.

use std::collections::BTreeMap;

use crate::encoding::{decode, encode};
use crate::formats::OLDEST_FORMAT;
use crate::long_message::{LongMessage, Pace};
use crate::messages::{LedgerMessage, OutgoingPayload, Packet, Payload};
use crate::pacer::Pacer;
use crate::packet_limits::{ABANDON_AFTER, FRAGMENT_BYTES, HEADER_BYTES, MAX_FRAGMENTS};
use crate::peer_formats::PeerFormats;
use crate::reassembly::{Fragment, FragmentOutcome, MessageId, Reassembly};
use crate::rejection::Rejection;
use crate::{ClockReading, DiskId, FrontId, Micros, OutgoingPacket, Setup};

/// Bytes per second of long messages of the log, which followers wait for.
const LOG_RATE: f64 = 2_000_000.0;

/// Maximum bytes of the length prefix of a message.
const LENGTH_BYTES: usize = 3;

/// A packet from another front: its sender's disk and incarnation, and the messages that it
/// completes.
#[derive(Debug)]
pub(crate) struct ReceivedPacket {
    pub disk: DiskId,
    pub incarnation: u64,
    /// Unix milliseconds on the sender's clock.
    pub wall_ms: u64,
    pub messages: Vec<LedgerMessage>,
}

/// Sends messages to other fronts and receives theirs.
pub(crate) struct Transport {
    pub fleet: u64,
    pub disk: DiskId,
    pub incarnation: u64,
    format: u8,
    formats: PeerFormats,
    /// Encoded messages that share packets, by receiver.
    small_messages: BTreeMap<FrontId, Vec<Vec<u8>>>,
    /// Long messages in progress, by the number that this front gave them.
    long_messages: BTreeMap<u64, LongMessage>,
    next_message_number: u64,
    reassembly: Reassembly,
    log_pacer: Pacer,
    repair_pacer: Pacer,
    /// Requests for fragments and acknowledgements to be sent next.
    pending_payloads: Vec<OutgoingPayload>,
}

impl Transport {
    pub fn new(setup: &Setup, fleet: u64) -> Transport {
        let (disk, incarnation) = (setup.disk, setup.incarnation);
        Transport {
            fleet,
            disk,
            incarnation,
            format: setup.format,
            formats: PeerFormats::default(),
            small_messages: BTreeMap::new(),
            long_messages: BTreeMap::new(),
            next_message_number: incarnation << 20, // numbers differ from those of earlier incarnations
            reassembly: Reassembly::default(),
            log_pacer: Pacer::new(LOG_RATE),
            repair_pacer: Pacer::new(f64::from(setup.repair_bytes_per_s)),
            pending_payloads: Vec::new(),
        }
    }

    /// The latest format that both this front and the given one read.
    pub fn common_format(&self, front: FrontId) -> u8 {
        self.formats.common_format(self.format, front)
    }

    /// The latest format that all of the fronts and this one read.
    pub fn common_format_of_all(&self, fronts: impl Iterator<Item = FrontId>) -> u8 {
        self.formats.common_format_of_all(self.format, fronts)
    }

    /// Queues a message to a front.
    pub fn send(&mut self, at: ClockReading, to: FrontId, message: &LedgerMessage, pace: Pace) {
        let bytes = encode(message);
        if bytes.len() + LENGTH_BYTES <= FRAGMENT_BYTES {
            self.small_messages.entry(to).or_default().push(bytes);
            return;
        }
        let count = bytes.len().div_ceil(FRAGMENT_BYTES);
        if count > MAX_FRAGMENTS {
            return; // the limits of a shard keep messages below this size
        }
        let unsent = (0..count as u16).rev().collect();
        let (last_activity, last_reminder) = (at.steady, at.steady);
        self.long_messages.insert(
            self.next_message_number,
            LongMessage {
                to,
                pace,
                bytes,
                unsent,
                last_activity,
                last_reminder,
            },
        );
        self.next_message_number += 1;
    }

    /// Whether a long message to this front is in progress at this pace.
    pub fn is_busy(&self, to: FrontId, pace: Pace) -> bool {
        self.long_messages
            .values()
            .any(|long| long.to == to && long.pace == pace)
    }

    /// Handles a packet. Fails if it is malformed, of another fleet or of an unknown format.
    pub fn receive(
        &mut self,
        at: ClockReading,
        from: FrontId,
        bytes: &[u8],
    ) -> Result<ReceivedPacket, Rejection> {
        let packet: Packet = decode(bytes).ok_or(Rejection::Malformed)?;
        if !(OLDEST_FORMAT..=self.format).contains(&packet.format) {
            return Err(Rejection::UnknownFormat);
        }
        if packet.fleet != self.fleet {
            return Err(Rejection::OtherFleet);
        }
        let incarnation = packet.incarnation;
        let completed = self.receive_payload(at.steady, from, packet.payload)?;
        self.formats.record_format(from, incarnation, packet.format);
        let mut messages = self.decode_messages(&completed)?;
        messages.retain(|message| {
            let Some(format) = message.introduced_format() else {
                return true;
            };
            self.formats.record_format(from, incarnation, format);
            false
        });
        Ok(ReceivedPacket {
            disk: packet.disk,
            incarnation,
            wall_ms: packet.wall_ms,
            messages,
        })
    }

    /// Handles a packet's payload; returns the encoded messages that it completes.
    fn receive_payload(
        &mut self,
        now: Micros,
        from: FrontId,
        payload: Payload,
    ) -> Result<Vec<Vec<u8>>, Rejection> {
        match payload {
            Payload::Messages(messages) => return Ok(messages),
            Payload::Fragment {
                id,
                index,
                count,
                bytes,
            } => {
                let fragment = Fragment {
                    index,
                    count,
                    bytes,
                };
                return self.receive_fragment(now, MessageId { from, number: id }, fragment);
            }
            Payload::Resend { id, missing } => {
                if let Some(long) = self
                    .long_messages
                    .get_mut(&id)
                    .filter(|long| long.to == from)
                {
                    long.resend(now, missing);
                }
            }
            Payload::Received { id } => {
                if self
                    .long_messages
                    .get(&id)
                    .is_some_and(|long| long.to == from)
                {
                    self.long_messages.remove(&id);
                }
            }
        }
        Ok(Vec::new())
    }

    /// Adds a fragment, and acknowledges its message once that is complete.
    fn receive_fragment(
        &mut self,
        now: Micros,
        id: MessageId,
        fragment: Fragment,
    ) -> Result<Vec<Vec<u8>>, Rejection> {
        let completed = match self.reassembly.add(now, id, fragment)? {
            FragmentOutcome::Incomplete => return Ok(Vec::new()),
            FragmentOutcome::Repeated => Vec::new(),
            FragmentOutcome::Complete(message) => vec![message],
        };
        self.pending_payloads.push(OutgoingPayload {
            to: id.from,
            payload: Payload::Received { id: id.number },
        });
        Ok(completed)
    }

    /// Decodes messages; fails if one is malformed or of a later format than this front's.
    fn decode_messages(&self, encoded: &[Vec<u8>]) -> Result<Vec<LedgerMessage>, Rejection> {
        let decoded = encoded.iter().map(|bytes| decode::<LedgerMessage>(bytes));
        let messages: Option<Vec<LedgerMessage>> = decoded.collect();
        messages
            .filter(|messages| {
                messages
                    .iter()
                    .all(|message| message.format() <= self.format)
            })
            .ok_or(Rejection::Malformed)
    }

    /// When `packets` is next due even if nothing is sent or received.
    pub fn due(&self) -> Micros {
        let paced = |repair: bool, pacer: &Pacer| {
            let mut waiting = self
                .long_messages
                .values()
                .filter(|long| !long.unsent.is_empty());
            let is_waiting = waiting.any(|long| (long.pace == Pace::Repair) == repair);
            if is_waiting {
                pacer.due()
            } else {
                Micros::MAX
            }
        };
        let long = self
            .long_messages
            .values()
            .map(|long| long.ack_due().min(long.last_activity + ABANDON_AFTER));
        let fragments = paced(false, &self.log_pacer).min(paced(true, &self.repair_pacer));
        long.min()
            .unwrap_or(Micros::MAX)
            .min(self.reassembly.due())
            .min(fragments)
    }

    /// Removes and returns the packets that may be sent now.
    pub fn packets(&mut self, at: ClockReading) -> Vec<OutgoingPacket> {
        self.pending_payloads
            .extend(self.reassembly.request_missing(at.steady));
        self.remind_receivers(at.steady);
        let mut payloads = std::mem::take(&mut self.pending_payloads);
        self.pack_small_messages(at.steady, &mut payloads);
        self.send_fragments(at.steady, &mut payloads);
        payloads
            .into_iter()
            .map(|outgoing| self.packet(at, outgoing))
            .collect()
    }

    /// Wraps a payload in a packet, in the latest format that its receiver is known to read.
    fn packet(&self, at: ClockReading, outgoing: OutgoingPayload) -> OutgoingPacket {
        let OutgoingPayload { to, payload } = outgoing;
        let packet = Packet {
            format: self.common_format(to),
            fleet: self.fleet,
            disk: self.disk,
            incarnation: self.incarnation,
            wall_ms: at.wall_ms,
            payload,
        };
        OutgoingPacket {
            to,
            bytes: encode(&packet),
        }
    }

    /// Packs the queued small messages into payloads, as many as fit in each.
    fn pack_small_messages(&mut self, now: Micros, payloads: &mut Vec<OutgoingPayload>) {
        for (to, mut messages) in std::mem::take(&mut self.small_messages) {
            if let Some(introduction) = self.formats.introduction(now, self.format, to) {
                messages.insert(0, encode(&introduction));
            }
            let (mut packed, mut packed_bytes) = (Vec::new(), 0);
            for message in messages {
                let bytes = message.len() + LENGTH_BYTES;
                if packed_bytes + bytes > FRAGMENT_BYTES {
                    let payload = Payload::Messages(std::mem::take(&mut packed));
                    payloads.push(OutgoingPayload { to, payload });
                    packed_bytes = 0;
                }
                packed_bytes += bytes;
                packed.push(message);
            }
            let payload = Payload::Messages(packed);
            payloads.push(OutgoingPayload { to, payload });
        }
    }

    /// Adds the fragments of long messages that may be sent at their rate.
    fn send_fragments(&mut self, now: Micros, payloads: &mut Vec<OutgoingPayload>) {
        self.log_pacer.refill(now);
        self.repair_pacer.refill(now);
        for (id, long) in &mut self.long_messages {
            let pacer = if long.pace == Pace::Repair {
                &mut self.repair_pacer
            } else {
                &mut self.log_pacer
            };
            while pacer.has_packet() {
                let Some(index) = long.unsent.pop() else {
                    break;
                };
                let Some(payload) = long.fragment(*id, index) else {
                    continue;
                };
                pacer.spend(long.slice(index).map_or(0, <[u8]>::len) + HEADER_BYTES);
                long.last_activity = now;
                let to = long.to;
                payloads.push(OutgoingPayload { to, payload });
            }
        }
    }

    /// Sends the last fragment again for messages that are sent but not acknowledged: until then,
    /// no other message of the same log is sent to the receiver.
    fn remind_receivers(&mut self, now: Micros) {
        self.long_messages
            .retain(|_, long| now - long.last_activity < ABANDON_AFTER);
        for (id, long) in self
            .long_messages
            .iter_mut()
            .filter(|(_, long)| long.ack_due() <= now)
        {
            long.last_reminder = now;
            let to = long.to;
            let last = long.fragment(*id, long.count() - 1);
            self.pending_payloads
                .extend(last.map(|payload| OutgoingPayload { to, payload }));
        }
    }
}

#[cfg(test)]
#[path = "transport_tests.rs"]
mod tests;
