//! Sends and receives messages between fronts as packets, each for one datagram: small messages share a packet, long ones
//! are cut into fragments that are sent at a stated pace, and sent again where they are lost.

use std::collections::BTreeMap;

use crate::encoding::{decode, encode};
use crate::formats::OLDEST_FORMAT;
use crate::long_message::{LongMessage, Pace};
use crate::messages::{LedgerMessage, Packet, Payload};
use crate::pacer::Pacer;
use crate::packet_limits::{ABANDON_AFTER, FRAGMENT_BYTES, HEADER_BYTES, MAX_FRAGMENTS};
use crate::peer_formats::PeerFormats;
use crate::reassembly::{Added, Fragment, MessageId, Reassembly};
use crate::{DiskId, FrontId, Micros, Moment, Setup};

const LOG_RATE: f64 = 2_000_000.0; // bytes a second of long messages of the log: a follower waits for them

/// Sends messages to other fronts and receives theirs.
pub(crate) struct Transport {
    pub fleet: u64,
    pub disk: DiskId,
    pub incarnation: u64,
    format: u8,
    formats: PeerFormats,
    /// Encoded messages that share packets, by receiver.
    small: BTreeMap<FrontId, Vec<Vec<u8>>>,
    /// By the number that this front has given them.
    long: BTreeMap<u64, LongMessage>,
    next_long: u64,
    reassembly: Reassembly,
    log_pacer: Pacer,
    repair_pacer: Pacer,
    /// Requests and acknowledgements of fragments that leave next.
    payloads: Vec<(FrontId, Payload)>,
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
            small: BTreeMap::new(),
            long: BTreeMap::new(),
            next_long: incarnation << 20, // an earlier life's are not this one's
            reassembly: Reassembly::default(),
            log_pacer: Pacer::new(LOG_RATE),
            repair_pacer: Pacer::new(f64::from(setup.repair_bytes)),
            payloads: Vec::new(),
        }
    }

    /// The latest format that a front and this one read.
    pub fn common_format(&self, front: FrontId) -> u8 {
        self.formats.of(self.format, front)
    }

    /// The latest format that all of them and this one read.
    pub fn common_format_of_all(&self, fronts: impl Iterator<Item = FrontId>) -> u8 {
        self.formats.of_all(self.format, fronts)
    }

    /// Puts a message into the next packets to this front.
    pub fn send(&mut self, at: Moment, to: FrontId, message: &LedgerMessage, pace: Pace) {
        let bytes = encode(message);
        if bytes.len() + 3 <= FRAGMENT_BYTES {
            self.small.entry(to).or_default().push(bytes);
            return;
        }
        let count = bytes.len().div_ceil(FRAGMENT_BYTES);
        if count > MAX_FRAGMENTS {
            return; // bounds of a shard keep it below
        }
        let to_send = (0..count as u16).rev().collect();
        let (touched, reminded) = (at.steady, at.steady);
        self.long.insert(
            self.next_long,
            LongMessage {
                to,
                pace,
                bytes,
                to_send,
                touched,
                reminded,
            },
        );
        self.next_long += 1;
    }

    /// Whether a long message to this front is under way at this pace.
    pub fn is_busy(&self, to: FrontId, pace: Pace) -> bool {
        self.long
            .values()
            .any(|long| long.to == to && long.pace == pace)
    }

    /// Takes in a packet: its header, and the messages that are complete by it; why it was refused, otherwise.
    pub fn receive(
        &mut self,
        at: Moment,
        from: FrontId,
        bytes: &[u8],
    ) -> Result<(Packet, Vec<LedgerMessage>), &'static str> {
        let mut packet: Packet = decode(bytes).ok_or("form")?;
        if !(OLDEST_FORMAT..=self.format).contains(&packet.format) {
            return Err("version");
        }
        if packet.fleet != self.fleet {
            return Err("fleet");
        }
        let payload = std::mem::replace(&mut packet.payload, Payload::Messages(Vec::new()));
        let whole = match payload {
            Payload::Messages(messages) => messages,
            Payload::Fragment {
                id,
                index,
                count,
                bytes,
            } => {
                let id = MessageId { from, number: id };
                let added = self.reassembly.add(
                    at.steady,
                    id,
                    Fragment {
                        index,
                        count,
                        bytes,
                    },
                )?;
                if !matches!(added, Added::Incomplete) {
                    self.payloads
                        .push((from, Payload::Received { id: id.number }));
                }
                match added {
                    Added::Complete(message) => vec![message],
                    Added::Incomplete | Added::Repeated => Vec::new(),
                }
            }
            Payload::Resend { id, missing } => {
                if let Some(long) = self.long.get_mut(&id).filter(|long| long.to == from) {
                    long.resend(at.steady, missing);
                }
                Vec::new()
            }
            Payload::Received { id } => {
                if self.long.get(&id).is_some_and(|long| long.to == from) {
                    self.long.remove(&id);
                }
                Vec::new()
            }
        };
        self.formats.heard(from, packet.incarnation, packet.format);
        let messages: Option<Vec<LedgerMessage>> =
            whole.iter().map(|message| decode(message)).collect();
        let mut messages = messages
            .filter(|messages| messages.iter().all(|w| w.format() <= self.format))
            .ok_or("form")?;
        messages.retain(|message| {
            let format = message.introduced_format();
            format
                .into_iter()
                .for_each(|format| self.formats.heard(from, packet.incarnation, format));
            format.is_none()
        });
        Ok((packet, messages))
    }

    /// When `packets` is next due though nothing is sent or received.
    pub fn due(&self) -> Micros {
        let paced = |repair: bool, pacer: &Pacer| {
            let mut waits = self.long.values().filter(|long| !long.to_send.is_empty());
            let waits = waits.any(|long| (long.pace == Pace::Repair) == repair);
            if waits {
                pacer.due()
            } else {
                Micros::MAX
            }
        };
        let long = self
            .long
            .values()
            .map(|long| long.ack_due().min(long.touched + ABANDON_AFTER));
        let fragments = paced(false, &self.log_pacer).min(paced(true, &self.repair_pacer));
        long.min()
            .unwrap_or(Micros::MAX)
            .min(self.reassembly.due())
            .min(fragments)
    }

    /// The packets that may leave now, each with its receiver.
    pub fn packets(&mut self, at: Moment) -> Vec<(FrontId, Vec<u8>)> {
        self.payloads
            .extend(self.reassembly.request_missing(at.steady));
        self.remind_receivers(at.steady);
        let mut payloads = std::mem::take(&mut self.payloads);
        for (to, mut messages) in std::mem::take(&mut self.small) {
            let first = self.formats.introduction(at.steady, self.format, to);
            first
                .into_iter()
                .for_each(|message| messages.insert(0, encode(&message)));
            let (mut payload, mut used) = (Vec::new(), 0);
            for message in messages {
                if used + message.len() + 3 > FRAGMENT_BYTES {
                    payloads.push((to, Payload::Messages(std::mem::take(&mut payload))));
                    used = 0;
                }
                used += message.len() + 3;
                payload.push(message);
            }
            payloads.push((to, Payload::Messages(payload)));
        }
        self.send_fragments(at.steady, &mut payloads);
        let (fleet, disk, incarnation, wall_ms) =
            (self.fleet, self.disk, self.incarnation, at.wall_ms);
        let packet = |format, payload| {
            encode(&Packet {
                format,
                fleet,
                disk,
                incarnation,
                wall_ms,
                payload,
            })
        };
        payloads
            .into_iter()
            .map(|(to, payload)| (to, packet(self.common_format(to), payload)))
            .collect()
    }

    fn send_fragments(&mut self, now: Micros, payloads: &mut Vec<(FrontId, Payload)>) {
        self.log_pacer.refill(now);
        self.repair_pacer.refill(now);
        for (id, long) in &mut self.long {
            let pacer = if long.pace == Pace::Repair {
                &mut self.repair_pacer
            } else {
                &mut self.log_pacer
            };
            while pacer.has_packet() {
                let Some(index) = long.to_send.pop() else {
                    break;
                };
                let Some(fragment) = long.fragment(*id, index) else {
                    continue;
                };
                pacer.spend(long.slice(index).map_or(0, <[u8]>::len) + HEADER_BYTES);
                long.touched = now;
                payloads.push((long.to, fragment));
            }
        }
    }

    /// Sends the last fragment of a message again that is sent and not acknowledged: until it is, nothing else of the same
    /// log goes to its receiver.
    fn remind_receivers(&mut self, now: Micros) {
        self.long
            .retain(|_, long| now - long.touched < ABANDON_AFTER);
        for (id, long) in self
            .long
            .iter_mut()
            .filter(|(_, long)| long.ack_due() <= now)
        {
            long.reminded = now;
            self.payloads.extend(
                long.fragment(*id, long.count() - 1)
                    .map(|last| (long.to, last)),
            );
        }
    }
}

#[cfg(test)]
#[path = "transport_tests.rs"]
mod tests;
