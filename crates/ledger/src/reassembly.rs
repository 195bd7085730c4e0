//! Reassembles long messages from their fragments. Their number and bytes are bounded, missing
//! fragments are requested again, and completed messages are remembered so that a repeated fragment
//! is only acknowledged.

use std::collections::BTreeMap;

use crate::messages::{OutgoingPayload, Payload};
use crate::packet_limits::{ABANDON_AFTER, FRAGMENT_BYTES, MAX_FRAGMENTS};
use crate::rejection::Rejection;
use crate::{FrontId, Micros};

/// Maximum number of incomplete messages per sender.
const MAX_REASSEMBLIES: usize = 64;
/// Maximum bytes of buffered fragments.
const MAX_BUFFERED: usize = 32 * 1_024 * 1_024;
/// Microseconds without a fragment after which gaps are requested.
const GAP_TIMEOUT: Micros = 60_000;
/// Microseconds without a fragment after which fragments behind the last received one count as
/// lost; until then they may not have been sent yet.
const TAIL_TIMEOUT: Micros = 400_000;
/// Maximum number of completed messages that are remembered.
const MAX_FINISHED: usize = 4_096;
/// Maximum number of fragments requested at once.
const MAX_RESEND: usize = 256;

/// A long message, identified by its sender and the number that the sender gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageId {
    pub from: FrontId,
    pub number: u64,
}

/// One fragment of a long message.
pub(crate) struct Fragment {
    pub index: u16,
    /// The number of fragments of the message.
    pub count: u16,
    pub bytes: Vec<u8>,
}

/// The result of adding a fragment.
pub(crate) enum FragmentOutcome {
    /// Other fragments of the message are missing.
    Incomplete,
    /// The message was complete before: the sender has missed the acknowledgement.
    Repeated,
    /// The message is complete now.
    Complete(Vec<u8>),
}

struct Partial {
    fragments: Vec<Option<Vec<u8>>>,
    buffered: usize,
    last_activity: Micros,
    last_request: Micros,
}

impl Partial {
    /// The missing fragments that count as lost, as opposed to not sent yet.
    fn lost_fragments(&self, now: Micros) -> Vec<u16> {
        // Fragments behind the last received one may not have been sent yet.
        let last = self
            .fragments
            .iter()
            .rposition(Option::is_some)
            .unwrap_or(0);
        let expected = if now - self.last_activity >= TAIL_TIMEOUT {
            self.fragments.len()
        } else {
            last
        };
        let missing = self
            .fragments
            .iter()
            .take(expected)
            .enumerate()
            .filter(|(_, fragment)| fragment.is_none());
        missing.map(|(n, _)| n as u16).take(MAX_RESEND).collect()
    }
}

/// The incomplete long messages of all senders.
#[derive(Default)]
pub(crate) struct Reassembly {
    partial: BTreeMap<MessageId, Partial>,
    /// The completed messages, and when each was completed.
    finished: BTreeMap<MessageId, Micros>,
    /// Bytes of all buffered fragments.
    buffered: usize,
}

impl Reassembly {
    /// Adds a fragment. Fails if it is malformed or exceeds the limits.
    pub fn add(
        &mut self,
        now: Micros,
        id: MessageId,
        fragment: Fragment,
    ) -> Result<FragmentOutcome, Rejection> {
        if self.finished.contains_key(&id) {
            return Ok(FragmentOutcome::Repeated);
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
        let empty = || Partial {
            fragments: vec![None; count.into()],
            buffered: 0,
            last_activity: now,
            last_request: now,
        };
        let partial = self.partial.entry(id).or_insert_with(empty);
        let slot = partial
            .fragments
            .get_mut(usize::from(index))
            .ok_or(Rejection::Malformed)?;
        partial.last_activity = now;
        if slot.is_none() {
            partial.buffered += bytes.len();
            self.buffered += bytes.len();
            *slot = Some(bytes);
        }
        if partial.fragments.iter().any(Option::is_none) {
            return Ok(FragmentOutcome::Incomplete);
        }
        let partial = self.partial.remove(&id).ok_or(Rejection::Malformed)?;
        self.buffered -= partial.buffered;
        if self.finished.len() < MAX_FINISHED {
            self.finished.insert(id, now);
        }
        Ok(FragmentOutcome::Complete(
            partial.fragments.into_iter().flatten().flatten().collect(),
        ))
    }

    /// The number of incomplete messages from a front.
    fn incomplete_of(&self, from: FrontId) -> usize {
        let first = MessageId { from, number: 0 };
        let last = MessageId {
            from,
            number: u64::MAX,
        };
        self.partial.range(first..=last).count()
    }

    /// Drops messages that their senders have abandoned, and requests the fragments that count as
    /// lost.
    pub fn request_missing(&mut self, now: Micros) -> Vec<OutgoingPayload> {
        self.finished.retain(|_, at| now - *at < 2 * ABANDON_AFTER);
        let buffered = &mut self.buffered;
        self.partial.retain(|_, partial| {
            let is_active = now - partial.last_activity < ABANDON_AFTER;
            *buffered -= if is_active { 0 } else { partial.buffered };
            is_active
        });
        let mut requests = Vec::new();
        for (id, partial) in &mut self.partial {
            if now - partial.last_activity.max(partial.last_request) < GAP_TIMEOUT {
                continue;
            }
            partial.last_request = now;
            let missing = partial.lost_fragments(now);
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
            .map(|partial| partial.last_activity.max(partial.last_request) + GAP_TIMEOUT);
        due.min().unwrap_or(Micros::MAX)
    }
}
