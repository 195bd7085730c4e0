//! Messages into packets and back: small ones share a datagram, long ones are cut into fragments that are sent at a stated
//! pace, asked for again where they are lost, and put together.

use std::collections::BTreeMap;

use crate::forms::{Forms, OLDEST};
use crate::messages::{self, LedgerMessage, Packet, Payload};
use crate::{DiskId, FrontId, Micros, Moment, Setup};

/// Bytes of a packet at most: a datagram of gossip (1,200) less its seal (92), its sender's own rumour and lengths
/// (44), and the byte that tells whose packet it is.
pub(crate) const PACKET_BYTES: usize = 1_040;
const HEADER_BYTES: usize = 48; // bytes of a packet beside its messages or its fragment at most
const FRAGMENT_BYTES: usize = PACKET_BYTES - HEADER_BYTES;
const MAX_FRAGMENTS: usize = 4_096; // of a message: some 4 MB
const MAX_REASSEMBLIES: usize = 64; // messages of one front that are being put together
const MAX_BUFFERED: usize = 32 * 1_024 * 1_024; // bytes of fragments that wait for others
const GAP_TIMEOUT: Micros = 60_000; // microseconds without a fragment until gaps are asked for
const TAIL_TIMEOUT: Micros = 400_000; // microseconds until fragments count as lost that may yet have to be sent
const ACK_TIMEOUT: Micros = 250_000; // microseconds without a sign until its receiver is sent the last fragment again
const ABANDON_AFTER: Micros = 10_000_000; // microseconds without a sign until a long message is forgotten
const MAX_RECEIVED: usize = 4_096; // messages that are whole and remembered as such
const MAX_RESEND: usize = 256; // fragments asked for at once
const LOG_RATE: f64 = 2_000_000.0; // bytes a second of long messages of the log: a follower waits for them

/// How soon a long message has to be there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    Fast,
    /// The same, of a shard's log: in order.
    Log(u16),
    /// By the budget for making copies again.
    Repair,
}

/// Bytes a second, with a tenth of a second's worth saved up, and a fragment at least.
#[derive(Debug)]
struct Pacer {
    rate: f64,
    left: f64,
    at: Micros,
}

impl Pacer {
    fn new(rate: f64) -> Pacer {
        Pacer { rate, left: 0.0, at: 0 }
    }

    fn refill(&mut self, now: Micros) {
        let gained = (now - self.at).max(0) as f64 / 1e6 * self.rate;
        self.left = (self.left + gained).min((self.rate / 10.0).max(PACKET_BYTES as f64));
        self.at = now;
    }

    /// When the next fragment may leave.
    fn due(&self) -> Micros {
        self.at + ((PACKET_BYTES as f64 - self.left).max(0.0) / self.rate.max(1.0) * 1e6) as Micros + 1
    }
}

struct LongMessage {
    to: FrontId,
    pace: Pace,
    bytes: Vec<u8>,
    /// Fragments that are to be sent, the next last.
    to_send: Vec<u16>,
    touched: Micros,
    reminded: Micros,
}

impl LongMessage {
    /// When its receiver is to be reminded.
    fn ack_due(&self) -> Micros {
        if self.to_send.is_empty() {
            self.touched.max(self.reminded) + ACK_TIMEOUT
        } else {
            Micros::MAX
        }
    }
}

struct Reassembly {
    fragments: Vec<Option<Vec<u8>>>,
    buffered: usize,
    touched: Micros,
    asked: Micros,
}

pub(crate) struct Transport {
    pub fleet: u64,
    pub disk: DiskId,
    pub incarnation: u64,
    form: u8,
    forms: Forms,
    small: BTreeMap<FrontId, Vec<Vec<u8>>>,
    long: BTreeMap<u64, LongMessage>,
    next_long: u64,
    reassemblies: BTreeMap<(FrontId, u64), Reassembly>,
    /// Messages that became whole, and when: the acknowledgement may be lost, and is sent again to a sender that reminds.
    received: BTreeMap<(FrontId, u64), Micros>,
    buffered: usize,
    log_pacer: Pacer,
    repair_pacer: Pacer,
    payloads: Vec<(FrontId, Payload)>,
}

impl Transport {
    pub fn new(setup: &Setup, fleet: u64) -> Transport {
        let (disk, incarnation) = (setup.disk, setup.incarnation);
        Transport {
            fleet,
            disk,
            incarnation,
            form: setup.form,
            forms: Forms::default(),
            small: BTreeMap::new(),
            long: BTreeMap::new(),
            next_long: incarnation << 20, // an earlier life's are not this one's
            reassemblies: BTreeMap::new(),
            received: BTreeMap::new(),
            buffered: 0,
            log_pacer: Pacer::new(LOG_RATE),
            repair_pacer: Pacer::new(f64::from(setup.repair_bytes)),
            payloads: Vec::new(),
        }
    }

    /// The latest form that a front and this one read.
    pub fn reads(&self, front: FrontId) -> u8 {
        self.forms.of(self.form, front)
    }

    /// The latest form that all of them and this one read.
    pub fn all_read(&self, fronts: impl Iterator<Item = FrontId>) -> u8 {
        self.forms.of_all(self.form, fronts)
    }

    pub fn send(&mut self, at: Moment, to: FrontId, message: &LedgerMessage, pace: Pace) {
        let bytes = messages::encode(message);
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
        self.long.insert(self.next_long, LongMessage { to, pace, bytes, to_send, touched, reminded });
        self.next_long += 1;
    }

    /// Whether a long message to this front is under way at this pace.
    pub fn is_busy(&self, to: FrontId, pace: Pace) -> bool {
        self.long.values().any(|long| long.to == to && long.pace == pace)
    }

    /// A packet has come: its head, and the messages that are whole by it.
    pub fn receive(
        &mut self,
        at: Moment,
        from: FrontId,
        bytes: &[u8],
    ) -> Result<(Packet, Vec<LedgerMessage>), &'static str> {
        let mut packet: Packet = messages::decode(bytes).ok_or("form")?;
        if !(OLDEST..=self.form).contains(&packet.form) {
            return Err("version");
        }
        if packet.fleet != self.fleet {
            return Err("fleet");
        }
        let payload = std::mem::replace(&mut packet.payload, Payload::Messages(Vec::new()));
        let whole = match payload {
            Payload::Messages(messages) => messages,
            Payload::Fragment { id, index, count, bytes } => {
                self.add_fragment(at, (from, id), index, count, bytes)?.into_iter().collect()
            }
            Payload::Resend { id, missing } => {
                if let Some(long) = self.long.get_mut(&id).filter(|long| long.to == from) {
                    let count = long.bytes.len().div_ceil(FRAGMENT_BYTES) as u16;
                    let new = missing.into_iter().rev().filter(|n| *n < count && !long.to_send.contains(n));
                    let new: Vec<u16> = new.collect();
                    long.to_send.extend(new);
                    long.touched = at.steady;
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
        self.forms.heard(from, packet.incarnation, packet.form);
        let messages: Option<Vec<LedgerMessage>> =
            whole.iter().map(|message| messages::decode(message)).collect();
        let mut messages =
            messages.filter(|messages| messages.iter().all(|w| w.form() <= self.form)).ok_or("form")?;
        messages.retain(|message| {
            let form = message.introduced();
            form.into_iter().for_each(|form| self.forms.heard(from, packet.incarnation, form));
            form.is_none()
        });
        Ok((packet, messages))
    }

    fn add_fragment(
        &mut self,
        at: Moment,
        of: (FrontId, u64),
        index: u16,
        count: u16,
        bytes: Vec<u8>,
    ) -> Result<Option<Vec<u8>>, &'static str> {
        if self.received.contains_key(&of) {
            self.payloads.push((of.0, Payload::Received { id: of.1 }));
            return Ok(None);
        }
        let many = self.reassemblies.range((of.0, 0)..=(of.0, u64::MAX)).count() >= MAX_REASSEMBLIES;
        if index >= count || usize::from(count) > MAX_FRAGMENTS || bytes.len() > FRAGMENT_BYTES {
            return Err("form");
        }
        if !self.reassemblies.contains_key(&of) && many || self.buffered + bytes.len() > MAX_BUFFERED {
            return Err("too much");
        }
        let none = || Reassembly {
            fragments: vec![None; count.into()],
            buffered: 0,
            touched: at.steady,
            asked: at.steady,
        };
        let reassembly = self.reassemblies.entry(of).or_insert_with(none);
        let place = reassembly.fragments.get_mut(usize::from(index)).ok_or("form")?;
        reassembly.touched = at.steady;
        if place.is_none() {
            (reassembly.buffered, self.buffered) =
                (reassembly.buffered + bytes.len(), self.buffered + bytes.len());
            *place = Some(bytes);
        }
        if reassembly.fragments.iter().any(Option::is_none) {
            return Ok(None);
        }
        let reassembly = self.reassemblies.remove(&of).ok_or("form")?;
        self.buffered -= reassembly.buffered;
        if self.received.len() < MAX_RECEIVED {
            self.received.insert(of, at.steady);
        }
        self.payloads.push((of.0, Payload::Received { id: of.1 }));
        Ok(Some(reassembly.fragments.into_iter().flatten().flatten().collect()))
    }

    /// When there is something to do without a message or a packet.
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
        let reassemblies = self
            .reassemblies
            .values()
            .map(|reassembly| reassembly.touched.max(reassembly.asked) + GAP_TIMEOUT);
        let long = self.long.values().map(|long| long.ack_due().min(long.touched + ABANDON_AFTER));
        let log_pacer = paced(false, &self.log_pacer).min(paced(true, &self.repair_pacer));
        reassemblies.chain(long).min().unwrap_or(Micros::MAX).min(log_pacer)
    }

    /// The packets that may leave now.
    pub fn packets(&mut self, at: Moment) -> Vec<(FrontId, Vec<u8>)> {
        self.request_missing(at.steady);
        self.remind_receivers(at.steady);
        let mut payloads = std::mem::take(&mut self.payloads);
        for (to, mut messages) in std::mem::take(&mut self.small) {
            let first = self.forms.introduces(at.steady, self.form, to);
            first.into_iter().for_each(|message| messages.insert(0, messages::encode(&message)));
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
        let (fleet, disk, incarnation, wall_ms) = (self.fleet, self.disk, self.incarnation, at.wall_ms);
        let packet =
            |form, payload| messages::encode(&Packet { form, fleet, disk, incarnation, wall_ms, payload });
        payloads.into_iter().map(|(to, payload)| (to, packet(self.reads(to), payload))).collect()
    }

    fn send_fragments(&mut self, now: Micros, payloads: &mut Vec<(FrontId, Payload)>) {
        self.log_pacer.refill(now);
        self.repair_pacer.refill(now);
        for (id, long) in &mut self.long {
            let pacer = if long.pace == Pace::Repair { &mut self.repair_pacer } else { &mut self.log_pacer };
            let count = long.bytes.len().div_ceil(FRAGMENT_BYTES) as u16;
            while pacer.left >= PACKET_BYTES as f64 {
                let Some(index) = long.to_send.pop() else { break };
                let Some(bytes) = long.bytes.chunks(FRAGMENT_BYTES).nth(index.into()) else { continue };
                pacer.left -= (bytes.len() + HEADER_BYTES) as f64;
                long.touched = now;
                payloads.push((long.to, Payload::Fragment { id: *id, index, count, bytes: bytes.to_vec() }));
            }
        }
    }

    /// Of a message that is sent and not known to be whole, its last fragment again: until one knows that it is, nothing else
    /// of the same log goes to its receiver.
    fn remind_receivers(&mut self, now: Micros) {
        self.long.retain(|_, long| now - long.touched < ABANDON_AFTER);
        for (id, long) in self.long.iter_mut().filter(|(_, long)| long.ack_due() <= now) {
            long.reminded = now;
            let count = long.bytes.len().div_ceil(FRAGMENT_BYTES) as u16;
            let Some(bytes) = long.bytes.chunks(FRAGMENT_BYTES).next_back() else { continue };
            let (index, bytes) = (count - 1, bytes.to_vec());
            self.payloads.push((long.to, Payload::Fragment { id: *id, index, count, bytes }));
        }
    }

    fn request_missing(&mut self, now: Micros) {
        self.received.retain(|_, at| now - *at < 2 * ABANDON_AFTER);
        let buffered = &mut self.buffered;
        self.reassemblies.retain(|_, reassembly| {
            let stays = now - reassembly.touched < ABANDON_AFTER;
            *buffered -= if stays { 0 } else { reassembly.buffered };
            stays
        });
        for ((from, id), reassembly) in &mut self.reassemblies {
            if now - reassembly.touched.max(reassembly.asked) < GAP_TIMEOUT {
                continue;
            }
            reassembly.asked = now;
            // What follows the last that has come may only be waiting for its turn.
            let last = reassembly.fragments.iter().rposition(Option::is_some).unwrap_or(0);
            let sure =
                if now - reassembly.touched >= TAIL_TIMEOUT { reassembly.fragments.len() } else { last };
            let missing =
                reassembly.fragments.iter().take(sure).enumerate().filter(|(_, fragment)| fragment.is_none());
            let missing: Vec<u16> = missing.map(|(n, _)| n as u16).take(MAX_RESEND).collect();
            if !missing.is_empty() {
                self.payloads.push((*from, Payload::Resend { id: *id, missing }));
            }
        }
    }
}

#[cfg(test)]
#[path = "transport_tests.rs"]
mod tests;
