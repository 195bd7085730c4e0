//! Applies the ledger's answers to a key and to the executions that wait for it.

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_ledger::{Entry, Kind, Outcome};

use super::super::refusal::Refusal;
use super::super::requirements::{EngineGroup, EntryValue};
use super::{
    to_unix_ms, KeyState, Purpose, ShardState, Verdict, FREE_RETRY_INTERVAL, MAX_RETRY_BACKOFF,
    REQUEST_TIMEOUT, RETRY_BACKOFF, STARTING_SHARD_RETRY_INTERVAL,
};

/// The number of consecutive blocked attempts after which the backoff no longer doubles.
const MAX_BACKOFF_DOUBLING_ATTEMPTS: u32 = 5;

impl KeyState {
    /// Processes the ledger's answer to the pending request; `shard` is the state of the key's shard.
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

    /// Processes the answer to a request that claims the key for `group`.
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
                // The entry to replace has expired in the meantime.
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

    /// Records that this front holds the key for `group` by `entry`.
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

    /// Handles a claim that no majority of the shard answered. While the shard may still be starting, those
    /// executions keep waiting that can still wait for the answer to another request.
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

    /// Records a failed claim, which the shard may have carried out nevertheless.
    fn record_failed_claim(&mut self, now: Micros) {
        self.retry_at = now;
        self.free_retry_at = now + FREE_RETRY_INTERVAL;
        // The entry to replace exists either unchanged or as this front's entry; both are respected.
        if self.version != 0 {
            self.may_be_held_until_ms = self.held_until_ms;
        }
        self.unconfirmed |= self.kind != Kind::Order && self.version == 0;
    }

    /// Records that this front has no entry for the key.
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

    /// Whether `entry` was made by this front's unconfirmed request.
    fn is_local_entry(&self, entry: &Entry) -> bool {
        self.unconfirmed
            && EntryValue::read(&entry.value)
                .is_some_and(|value| value.request_id == self.request_id)
    }

    /// Records that the unconfirmed request did make `entry`.
    fn adopt_entry(&mut self, entry: &Entry) {
        self.held_until_ms = entry.ends_ms;
        self.version = entry.version;
        self.unconfirmed = false;
        self.group = EntryValue::read(&entry.value).map_or(self.group, |value| value.group);
    }

    /// Handles a claim that failed because the ledger already has an entry for the key.
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

    /// Handles a dedup key that already has an entry: executions of this front repeat one that runs, or ran,
    /// under that entry.
    fn handle_held_dedup_key(
        &mut self,
        now: Micros,
        entry: &Entry,
        value: Option<EntryValue>,
    ) -> Verdict {
        let Some(value) = value else {
            return self.wait_for_holder(now, entry);
        };
        // Engines drop repeats until the dedup window after the first execution ends, whichever fronts have
        // held the entry since. Without the inherited limit, a repeat that waited at another front beyond the
        // window ran a second time.
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
        // None of the entry's executions runs any more. Its group drops the repeat; no other group may run it.
        self.version = entry.version;
        self.retry_at = now;
        self.blocked = false;
        self.group = value.group;
        // The reservation for earlier executions outlasts this front's hold, whatever happens to that hold.
        self.reserved_until = self.reserved_until.max(expiry_of(entry));
        self.refuse_outside_group(value.group)
    }

    /// Schedules the next request for a key that another front holds, after a backoff.
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

    /// Refuses the claims on a dedup key by executions outside `group`; does nothing for other kinds of keys.
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

    /// Removes all claims and returns their statements.
    fn take_waiting(&mut self) -> Vec<Ticket> {
        self.blocked_attempts = 0;
        self.blocked = false;
        std::mem::take(&mut self.waiting).into_keys().collect()
    }
}

/// The time when an entry has expired: one millisecond past its end.
fn expiry_of(entry: &Entry) -> Micros {
    entry.ends_ms as Micros * 1000 + 1_000
}
