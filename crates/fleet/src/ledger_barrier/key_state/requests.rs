//! What is requested of the ledger for a key, and when.

use hallmux_dispatcher::Micros;
use hallmux_ledger::{Kind, Operation};

use super::super::requirements::{EntryMark, EntryValue, Group};
use super::{ms, Claim, KeyState, Purpose, TRANSACTION_CLAIM_MS};

impl KeyState {
    /// When it has something to request, if nothing happens before.
    pub fn due(&self) -> Micros {
        if self.requested.is_some() {
            return Micros::MAX;
        }
        if !self.waiting.is_empty() {
            return self.claims_due();
        }
        match (self.transactions, self.is_unused()) {
            (0, false) => Micros::MAX,
            (0, true) => self.retry_free_at,
            _ => {
                let renew_at_ms = self.held_until_ms as Micros - TRANSACTION_CLAIM_MS as Micros / 2;
                (renew_at_ms * 1000).max(self.retry_at)
            }
        }
    }

    /// When something is due for the executions that wait.
    fn claims_due(&self) -> Micros {
        // Those that have it wait for another key: for them it is due when it expires.
        let lacking = self
            .waiting
            .iter()
            .any(|(ticket, claim)| !self.permits(0, *ticket, *claim));
        let due = if lacking {
            self.retry_at
        } else {
            self.held_until_ms as Micros * 1000
        };
        let forgotten_ms = self
            .waiting
            .keys()
            .filter_map(|ticket| self.repeats_until_ms(*ticket))
            .min();
        forgotten_ms.map_or(due, |until_ms| due.min(until_ms as Micros * 1000))
    }

    /// What is to be requested of the ledger now, if anything; `mark` names the request.
    pub fn next_request(&mut self, now: Micros, mark: EntryMark) -> Option<Operation> {
        if self.requested.is_some() {
            return None;
        }
        if let Some(claim) = self.next_claim(now) {
            return Some(self.request_claim(now, claim, mark));
        }
        if !self.waiting.is_empty() || !self.executing.is_empty() {
            return None;
        }
        if self.transactions > 0 {
            return self.renew_for_transaction(now);
        }
        self.request_end(now)
    }

    /// The first claim that the key is not held for, once it is due.
    fn next_claim(&self, now: Micros) -> Option<Claim> {
        if self.retry_at > now {
            return None;
        }
        self.waiting
            .iter()
            .find(|(ticket, claim)| !self.permits(now, **ticket, **claim))
            .map(|(_, claim)| *claim)
    }

    fn request_claim(&mut self, now: Micros, claim: Claim, mark: EntryMark) -> Operation {
        let until_ms = claim
            .until_ms
            .max(self.held_until_ms)
            .max(ms(self.reserved_until));
        if !self.unconfirmed && self.version == 0 {
            self.mark = mark;
            if self.first.is_none() {
                self.dropped_until_ms = self.repeats_dropped_until_ms(now);
            }
        }
        self.requested = Some(Purpose::Claim { group: claim.group });
        self.claim_number = mark.number;
        self.may_be_held_until_ms = self.may_be_held_until_ms.max(until_ms);
        let runs_until_ms = claim.runs_until_ms.max(self.runs_until_ms);
        self.operation(until_ms, claim.group, runs_until_ms)
    }

    /// Renews the key that a transaction holds, from half of its time on.
    fn renew_for_transaction(&mut self, now: Micros) -> Option<Operation> {
        let renews = self.held_until_ms < ms(now) + TRANSACTION_CLAIM_MS / 2;
        if !renews || self.retry_at > now {
            return None;
        }
        let until_ms = ms(now) + TRANSACTION_CLAIM_MS;
        self.requested = Some(Purpose::Claim { group: self.group });
        self.may_be_held_until_ms = self.may_be_held_until_ms.max(until_ms);
        Some(Operation::Claim {
            ends_ms: until_ms,
            value: Vec::new(),
        })
    }

    /// Nothing needs the key here any more: it is freed, or reserved for as long as others must be kept from
    /// it.
    fn request_end(&mut self, now: Micros) -> Option<Operation> {
        if self.may_be_held_until_ms <= ms(now) || self.retry_free_at > now {
            return None;
        }
        let reserved = self.reserved_until > now;
        if self.kind == Kind::Begun && reserved {
            // It is held for long enough as it is: nothing is to be requested.
            self.may_be_held_until_ms = 0;
            return None;
        }
        if self.unconfirmed {
            // Freeing it blindly could free what an earlier statement left there for others.
            self.requested = Some(Purpose::Read);
            return Some(Operation::Read);
        }
        self.held_until_ms = 0; // nothing may leave under it any more, even before the ledger answers
        if !reserved {
            self.requested = Some(Purpose::Free);
            return Some(Operation::Free);
        }
        self.requested = Some(Purpose::Reserve);
        let runs_until_ms = if self.may_still_run {
            self.runs_until_ms
        } else {
            ms(now)
        };
        Some(self.operation(ms(self.reserved_until), self.group, runs_until_ms))
    }

    /// The request that holds the key until `ends_ms`, by its kind.
    fn operation(&self, ends_ms: u64, group: Group, runs_until_ms: u64) -> Operation {
        if self.kind == Kind::Order {
            return Operation::Claim {
                ends_ms,
                value: Vec::new(),
            };
        }
        let value = EntryValue {
            mark: self.mark,
            group,
            runs_until_ms,
            dropped_until_ms: self.inherited_until_ms.unwrap_or(self.dropped_until_ms),
        };
        // An entry that exists already is not replaced, even if it is this front's: a repeat is one whoever
        // sends it.
        Operation::Put {
            expects: Some(self.version),
            ends_ms,
            value: value.bytes(),
        }
    }
}
