//! What the ledger's answers mean for a key and for the executions that wait for it.

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_ledger::{Entry, Kind, Outcome};

use super::super::refusal::Refusal;
use super::super::requirements::{EngineGroup, EntryValue};
use super::{
    to_unix_ms, KeyState, Purpose, ShardState, Verdict, FREE_RETRY_INTERVAL, MAX_RETRY_BACKOFF,
    REQUEST_TIMEOUT, RETRY_BACKOFF, STARTING_SHARD_RETRY_INTERVAL,
};

/// After this many attempts the backoff grows no more.
const MAX_BACKOFF_DOUBLING_ATTEMPTS: u32 = 5;

impl KeyState {
    /// The ledger has answered the request that was out; `shard` is the state of the key's shard.
    pub fn handle_answer(&mut self, now: Micros, outcome: Outcome, shard: ShardState) -> Verdict {
        let Some(purpose) = self.pending_request.take() else {
            return Verdict::Recheck;
        };
        match (purpose, outcome) {
            (Purpose::Claim { group }, outcome) => {
                self.handle_claim_answer(now, group, outcome, shard)
            }
            (Purpose::Read, Outcome::Stands(entry)) if self.is_local_entry(&entry) => {
                self.adopt_entry(&entry);
                Verdict::Recheck
            }
            (_, Outcome::Unreachable | Outcome::Full) => {
                self.free_retry_at = now + FREE_RETRY_INTERVAL;
                Verdict::Recheck
            }
            (Purpose::Reserve | Purpose::Free | Purpose::Read, _) => {
                self.clear_entry();
                Verdict::Recheck
            }
        }
    }

    fn handle_claim_answer(
        &mut self,
        now: Micros,
        group: EngineGroup,
        outcome: Outcome,
        shard: ShardState,
    ) -> Verdict {
        match outcome {
            Outcome::Stands(entry) => self.claim_granted(group, &entry),
            Outcome::Held(entry) => self.handle_existing_entry(now, &entry),
            Outcome::Absent => {
                // The entry to be taken over has ended meanwhile.
                self.version = 0;
                self.retry_at = now;
                Verdict::Recheck
            }
            Outcome::Unreachable => self.claim_unreachable(now, shard),
            Outcome::Full => {
                self.record_failed_claim(now);
                Verdict::Refuse {
                    tickets: self.take_waiting(),
                    reason: Refusal::ShardFull,
                }
            }
        }
    }

    fn claim_granted(&mut self, group: EngineGroup, entry: &Entry) -> Verdict {
        self.held_until_ms = entry.ends_ms;
        self.group = group;
        self.version = entry.version;
        self.unconfirmed = false;
        self.may_be_held_until_ms = self.may_be_held_until_ms.max(entry.ends_ms);
        self.blocked_attempts = 0;
        self.blocked = false;
        self.retry_at = 0;
        self.refuse_outside_group(group)
    }

    /// No majority of the shard has answered. While it may be starting, executions wait for it as long as
    /// their own time allows.
    fn claim_unreachable(&mut self, now: Micros, shard: ShardState) -> Verdict {
        self.record_failed_claim(now);
        let tickets = match shard {
            ShardState::Started => self.take_waiting(),
            ShardState::Starting => {
                self.retry_at = now + STARTING_SHARD_RETRY_INTERVAL;
                let answer_by = self.retry_at + REQUEST_TIMEOUT;
                self.waiting
                    .extract_if(.., |_, claim| claim.wait_deadline < answer_by)
                    .map(|(ticket, _)| ticket)
                    .collect()
            }
        };
        Verdict::Refuse {
            tickets,
            reason: Refusal::Unreachable,
        }
    }

    /// A request to hold the key has failed, and may have been carried out all the same.
    fn record_failed_claim(&mut self, now: Micros) {
        self.retry_at = now;
        self.free_retry_at = now + FREE_RETRY_INTERVAL;
        // The entry to be replaced exists as it was, or as this front's: either is respected.
        if self.version != 0 {
            self.may_be_held_until_ms = self.held_until_ms;
        }
        self.unconfirmed |= self.kind != Kind::Order && self.version == 0;
    }

    /// This front has no entry of the key any more.
    fn clear_entry(&mut self) {
        self.held_until_ms = 0;
        self.may_be_held_until_ms = 0;
        self.version = 0;
        self.runs_until_ms = 0;
        self.may_still_run = false;
        self.unconfirmed = false;
        self.first_executed = None;
        self.inherited_dropped_until_ms = None;
    }

    fn is_local_entry(&self, entry: &Entry) -> bool {
        self.unconfirmed
            && EntryValue::read(&entry.value)
                .is_some_and(|value| value.request_id == self.request_id)
    }

    /// The entry was made after all.
    fn adopt_entry(&mut self, entry: &Entry) {
        self.held_until_ms = entry.ends_ms;
        self.version = entry.version;
        self.unconfirmed = false;
        self.group = EntryValue::read(&entry.value).map_or(self.group, |value| value.group);
    }

    /// The ledger has an entry of the key already.
    fn handle_existing_entry(&mut self, now: Micros, entry: &Entry) -> Verdict {
        if self.is_local_entry(entry) {
            self.adopt_entry(entry);
            return self.refuse_outside_group(self.group);
        }
        self.unconfirmed = false;
        if self.executing.is_empty() && self.transactions == 0 {
            self.held_until_ms = 0;
            self.may_be_held_until_ms = 0;
        }
        let value = EntryValue::read(&entry.value);
        match self.kind {
            Kind::Begun => Verdict::Refuse {
                tickets: self.take_waiting(),
                reason: Refusal::MayHaveRun,
            },
            Kind::Dedup => self.handle_held_dedup_key(now, entry, value),
            _ => self.wait_for_holder(now, entry),
        }
    }

    /// A dedup key has an entry already: executions here repeat what runs, or ran, under it.
    fn handle_held_dedup_key(
        &mut self,
        now: Micros,
        entry: &Entry,
        value: Option<EntryValue>,
    ) -> Verdict {
        let Some(value) = value else {
            return self.wait_for_holder(now, entry);
        };
        // Engines drop a repeat for the dedup window from the first execution on, whichever fronts have had
        // the entry since: without this a repeat that waited beyond it at another front ran a second time.
        self.inherited_dropped_until_ms = Some(value.dropped_until_ms);
        let dedup_expired = self.take_dedup_expired(now);
        if !dedup_expired.is_empty() {
            return Verdict::Refuse {
                tickets: dedup_expired,
                reason: Refusal::MayHaveRun,
            };
        }
        if value.runs_until_ms > to_unix_ms(now) {
            return self.wait_for_holder(now, entry);
        }
        // None of its executions runs any more: its group drops the repeat, and no other group may have it.
        self.version = entry.version;
        self.retry_at = now;
        self.blocked = false;
        self.group = value.group;
        // What ran before is respected beyond this front's hold, whatever becomes of that.
        self.reserved_until = self.reserved_until.max(expiry_of(entry));
        self.refuse_outside_group(value.group)
    }

    /// Another front holds the key: it is requested again after a backoff.
    fn wait_for_holder(&mut self, now: Micros, entry: &Entry) -> Verdict {
        self.blocked_attempts += 1;
        let doublings = self
            .blocked_attempts
            .min(MAX_BACKOFF_DOUBLING_ATTEMPTS)
            .saturating_sub(1);
        let backoff = MAX_RETRY_BACKOFF.min(RETRY_BACKOFF << doublings);
        self.version = 0;
        self.blocked = true;
        self.retry_at = (now + backoff).min(expiry_of(entry).max(now + RETRY_BACKOFF));
        Verdict::Recheck
    }

    /// Refuses claims on a dedup key by executions outside one group.
    fn refuse_outside_group(&mut self, group: EngineGroup) -> Verdict {
        if self.kind != Kind::Dedup {
            return Verdict::Recheck;
        }
        let outside: Vec<Ticket> = self
            .waiting
            .extract_if(.., |_, claim| claim.group != group)
            .map(|(ticket, _)| ticket)
            .collect();
        Verdict::refuse_any(outside, Refusal::OtherGroup)
    }

    fn take_waiting(&mut self) -> Vec<Ticket> {
        self.blocked_attempts = 0;
        self.blocked = false;
        std::mem::take(&mut self.waiting).into_keys().collect()
    }
}

/// The first moment after an entry's end.
fn expiry_of(entry: &Entry) -> Micros {
    entry.ends_ms as Micros * 1000 + 1_000
}
