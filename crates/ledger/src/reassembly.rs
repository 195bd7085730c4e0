//! Puts long messages together again from their fragments: bounded in number and bytes, with missing fragments asked for
//! again, and finished messages remembered so that a repeated fragment is only acknowledged.

use std::collections::BTreeMap;

use crate::messages::{OutgoingPayload, Payload};
use crate::packet_limits::{ABANDON_AFTER, FRAGMENT_BYTES, MAX_FRAGMENTS};
use crate::rejection::Rejection;
use crate::{FrontId, Micros};

const MAX_REASSEMBLIES: usize = 64; // messages of one front that are being put together
const MAX_BUFFERED: usize = 32 * 1_024 * 1_024; // bytes of fragments that wait for others
const GAP_TIMEOUT: Micros = 60_000; // microseconds without a fragment until gaps are asked for
const TAIL_TIMEOUT: Micros = 400_000; // microseconds until fragments count as lost that may yet have to be sent
const MAX_FINISHED: usize = 4_096; // messages that are complete and remembered as such
const MAX_RESEND: usize = 256; // fragments asked for at once

/// A long message: its sender, and the number that the sender has given it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageId {
    pub from: FrontId,
    pub number: u64,
}

/// One fragment of a long message.
pub(crate) struct Fragment {
    pub index: u16,
    /// Fragments of the message in all.
    pub count: u16,
    pub bytes: Vec<u8>,
}

/// What a fragment has led to.
pub(crate) enum Added {
    /// Others of its message are missing.
    Incomplete,
    /// Its message was complete before: the sender has missed the acknowledgement.
    Repeated,
    /// Its message is complete now.
    Complete(Vec<u8>),
}

struct Partial {
    fragments: Vec<Option<Vec<u8>>>,
    buffered: usize,
    touched: Micros,
    asked: Micros,
}

impl Partial {
    /// Missing fragments that count as lost, and are not only waiting to be sent.
    fn lost(&self, now: Micros) -> Vec<u16> {
        // What follows the last that has come may only be waiting for its turn.
        let last = self
            .fragments
            .iter()
            .rposition(Option::is_some)
            .unwrap_or(0);
        let sure = if now - self.touched >= TAIL_TIMEOUT {
            self.fragments.len()
        } else {
            last
        };
        let missing = self
            .fragments
            .iter()
            .take(sure)
            .enumerate()
            .filter(|(_, fragment)| fragment.is_none());
        missing.map(|(n, _)| n as u16).take(MAX_RESEND).collect()
    }
}

/// The long messages of all fronts that are being put together.
#[derive(Default)]
pub(crate) struct Reassembly {
    partial: BTreeMap<MessageId, Partial>,
    /// Messages that became complete, and when.
    finished: BTreeMap<MessageId, Micros>,
    /// Bytes of all fragments that wait for others.
    buffered: usize,
}

impl Reassembly {
    /// Takes in a fragment.
    pub fn add(
        &mut self,
        now: Micros,
        id: MessageId,
        fragment: Fragment,
    ) -> Result<Added, Rejection> {
        if self.finished.contains_key(&id) {
            return Ok(Added::Repeated);
        }
        let Fragment {
            index,
            count,
            bytes,
        } = fragment;
        if index >= count || usize::from(count) > MAX_FRAGMENTS || bytes.len() > FRAGMENT_BYTES {
            return Err(Rejection::Malformed);
        }
        let is_new = !self.partial.contains_key(&id);
        if is_new && self.incomplete_of(id.from) >= MAX_REASSEMBLIES {
            return Err(Rejection::TooManyFragments);
        }
        if self.buffered + bytes.len() > MAX_BUFFERED {
            return Err(Rejection::TooManyFragments);
        }
        let none = || Partial {
            fragments: vec![None; count.into()],
            buffered: 0,
            touched: now,
            asked: now,
        };
        let partial = self.partial.entry(id).or_insert_with(none);
        let slot = partial
            .fragments
            .get_mut(usize::from(index))
            .ok_or(Rejection::Malformed)?;
        partial.touched = now;
        if slot.is_none() {
            partial.buffered += bytes.len();
            self.buffered += bytes.len();
            *slot = Some(bytes);
        }
        if partial.fragments.iter().any(Option::is_none) {
            return Ok(Added::Incomplete);
        }
        let partial = self.partial.remove(&id).ok_or(Rejection::Malformed)?;
        self.buffered -= partial.buffered;
        if self.finished.len() < MAX_FINISHED {
            self.finished.insert(id, now);
        }
        Ok(Added::Complete(
            partial.fragments.into_iter().flatten().flatten().collect(),
        ))
    }

    /// The number of long messages of a front that are incomplete.
    fn incomplete_of(&self, from: FrontId) -> usize {
        let first = MessageId { from, number: 0 };
        let last = MessageId {
            from,
            number: u64::MAX,
        };
        self.partial.range(first..=last).count()
    }

    /// Forgets what its sender has abandoned; requests for fragments that count as lost, which their senders have to send again.
    pub fn request_missing(&mut self, now: Micros) -> Vec<OutgoingPayload> {
        self.finished.retain(|_, at| now - *at < 2 * ABANDON_AFTER);
        let buffered = &mut self.buffered;
        self.partial.retain(|_, partial| {
            let stays = now - partial.touched < ABANDON_AFTER;
            *buffered -= if stays { 0 } else { partial.buffered };
            stays
        });
        let mut requests = Vec::new();
        for (id, partial) in &mut self.partial {
            if now - partial.touched.max(partial.asked) < GAP_TIMEOUT {
                continue;
            }
            partial.asked = now;
            let missing = partial.lost(now);
            if !missing.is_empty() {
                let payload = Payload::Resend {
                    id: id.number,
                    missing,
                };
                requests.push(OutgoingPayload {
                    to: id.from,
                    payload,
                });
            }
        }
        requests
    }

    /// When `request_missing` is next due; [`Micros::MAX`] if nothing is incomplete.
    pub fn due(&self) -> Micros {
        let due = self
            .partial
            .values()
            .map(|partial| partial.touched.max(partial.asked) + GAP_TIMEOUT);
        due.min().unwrap_or(Micros::MAX)
    }
}
