//! Decides what to request from the ledger for a key, and when.

use hallmux_dispatcher::Micros;
use hallmux_ledger::{Kind, Operation};

use super::super::requirements::{EngineGroup, EntryValue, RequestId};
use super::{to_unix_ms, Claim, KeyState, Purpose, TRANSACTION_CLAIM_MS};

impl KeyState {
    /// When the key next needs a request or a check if no event arrives earlier; `Micros::MAX` if never.
    pub fn due(&self) -> Micros {
        if self.pending_request.is_some() {
            return Micros::MAX;
        }
        if !self.waiting.is_empty() {
            return self.claims_due();
        }
        match (self.transactions, self.is_unused()) {
            (0, false) => Micros::MAX,
            (0, true) => self.free_retry_at,
            _ => {
                let renew_at_ms = self.held_until_ms as Micros - TRANSACTION_CLAIM_MS as Micros / 2;
                (renew_at_ms * 1000).max(self.retry_at)
            }
        }
    }

    /// When the key next needs a request or a check for the executions that wait for it.
    fn claims_due(&self) -> Micros {
        // Executions that already hold this key wait for another one; this key is due when it expires.
        let lacking = self
            .waiting
            .iter()
            .any(|(ticket, claim)| !self.permits(0, *ticket, *claim));
        let due = if lacking {
            self.retry_at
        } else {
            self.held_until_ms as Micros * 1000
        };
        let dedup_expiry_ms = self
            .waiting
            .keys()
            .filter_map(|ticket| self.dedup_expiry_ms(*ticket))
            .min();
        dedup_expiry_ms.map_or(due, |until_ms| due.min(until_ms as Micros * 1000))
    }

    /// Returns the operation to request from the ledger now, if any; `request_id` identifies that request.
    pub fn next_request(&mut self, now: Micros, request_id: RequestId) -> Option<Operation> {
        if self.pending_request.is_some() {
            return None;
        }
        if let Some(claim) = self.next_claim(now) {
            return Some(self.request_claim(now, claim, request_id));
        }
        if !self.waiting.is_empty() || !self.executing.is_empty() {
            return None;
        }
        if self.transactions > 0 {
            return self.renew_for_transaction(now);
        }
        self.request_release(now)
    }

    /// The first waiting claim that the key does not satisfy; None while no retry is due.
    fn next_claim(&self, now: Micros) -> Option<Claim> {
        if self.retry_at > now {
            return None;
        }
        self.waiting
            .iter()
            .find(|(ticket, claim)| !self.permits(now, **ticket, **claim))
            .map(|(_, claim)| *claim)
    }

    /// Requests the key for an execution.
    fn request_claim(&mut self, now: Micros, claim: Claim, request_id: RequestId) -> Operation {
        let until_ms = claim
            .hold_until_ms
            .max(self.held_until_ms)
            .max(to_unix_ms(self.reserved_until));
        if !self.unconfirmed && self.version == 0 {
            self.request_id = request_id;
            if self.first_executed.is_none() {
                self.dropped_until_ms = self.dedup_expiry_ms_from(now);
            }
        }
        self.pending_request = Some(Purpose::Claim { group: claim.group });
        self.claim_number = request_id.number;
        self.may_be_held_until_ms = self.may_be_held_until_ms.max(until_ms);
        let runs_until_ms = claim.runs_until_ms.max(self.runs_until_ms);
        self.operation(until_ms, claim.group, runs_until_ms)
    }

    /// Renews the claim of a transaction once half of its time has passed.
    fn renew_for_transaction(&mut self, now: Micros) -> Option<Operation> {
        let renews = self.held_until_ms < to_unix_ms(now) + TRANSACTION_CLAIM_MS / 2;
        if !renews || self.retry_at > now {
            return None;
        }
        let until_ms = to_unix_ms(now) + TRANSACTION_CLAIM_MS;
        self.pending_request = Some(Purpose::Claim { group: self.group });
        self.may_be_held_until_ms = self.may_be_held_until_ms.max(until_ms);
        Some(Operation::Claim {
            ends_ms: until_ms,
            value: Vec::new(),
        })
    }

    /// Gives up a key that this front no longer needs: frees it, or reserves it for as long as other executions
    /// must be kept from it.
    fn request_release(&mut self, now: Micros) -> Option<Operation> {
        if self.may_be_held_until_ms <= to_unix_ms(now) || self.free_retry_at > now {
            return None;
        }
        let reserved = self.reserved_until > now;
        if self.kind == Kind::Begun && reserved {
            // The entry lasts as long as needed, so no request is made.
            self.may_be_held_until_ms = 0;
            return None;
        }
        if self.unconfirmed {
            // Freeing the key unread could remove an entry that an earlier statement left as a reservation.
            self.pending_request = Some(Purpose::Read);
            return Some(Operation::Read);
        }
        self.held_until_ms = 0; // no execution is released under the key, even before the ledger answers
        if !reserved {
            self.pending_request = Some(Purpose::Free);
            return Some(Operation::Free);
        }
        self.pending_request = Some(Purpose::Reserve);
        let runs_until_ms = if self.may_still_run {
            self.runs_until_ms
        } else {
            to_unix_ms(now)
        };
        Some(self.operation(to_unix_ms(self.reserved_until), self.group, runs_until_ms))
    }

    /// The operation that holds the key until `ends_ms`: a claim for an order key, a put for other kinds.
    fn operation(&self, ends_ms: u64, group: EngineGroup, runs_until_ms: u64) -> Operation {
        if self.kind == Kind::Order {
            return Operation::Claim {
                ends_ms,
                value: Vec::new(),
            };
        }
        let value = EntryValue {
            request_id: self.request_id,
            group,
            runs_until_ms,
            dropped_until_ms: self
                .inherited_dropped_until_ms
                .unwrap_or(self.dropped_until_ms),
        };
        // An entry of another version is not replaced, even if this front made it: a repeat counts as such
        // whichever front sends it.
        Operation::Put {
            expects: Some(self.version),
            ends_ms,
            value: value.bytes(),
        }
    }
}
