//! The claims of held executions on their keys: requested of the ledger, released once all are held, or refused.

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_ledger::{self as ledger, Key};

use super::key_state::{Claim, KeyState, Verdict};
use super::refusal::Refusal;
use super::requirements::{RequestId, Requirement};
use super::{BarrierDecision, LedgerBarrier, PendingExecution};

impl LedgerBarrier {
    /// A held execution claims its entries in order: none behind one that another front holds, so that fronts
    /// that claim the same ones do not wait for each other.
    pub(super) fn claim(&mut self, now: Micros, ticket: Ticket) {
        let Some(statement) = self.statements.get(&ticket) else {
            return;
        };
        let Some(held) = statement.held else {
            return;
        };
        let wait_deadline = statement.wait_deadline;
        let mut behind_blocked_key = false;
        for requirement in statement.requirements.clone() {
            let state = self.keys.entry(requirement.key.clone()).or_insert_with(|| {
                KeyState::new(requirement.key.kind, requirement.retention_after_end)
            });
            if behind_blocked_key {
                state.withdraw_claim(ticket);
                continue;
            }
            let verdict = state.claim(now, ticket, claim_for(&requirement, &held, wait_deadline));
            behind_blocked_key = state.is_blocked();
            if verdict != Verdict::Recheck {
                return self.apply_verdict(now, &requirement.key, verdict);
            }
        }
        for key in self.required_keys(ticket) {
            self.advance(now, &key);
        }
    }

    /// Rules on the executions of a verdict, and claims anew for the others.
    pub(super) fn apply_verdict(&mut self, now: Micros, key: &Key, verdict: Verdict) {
        if let Verdict::Refuse { tickets, reason } = verdict {
            for ticket in tickets {
                self.refuse(now, ticket, reason);
            }
        }
        // Executions that go on waiting may claim their other entries now.
        for ticket in self.waiting_for(key) {
            self.claim(now, ticket);
        }
        self.advance(now, key);
    }

    fn refuse(&mut self, now: Micros, ticket: Ticket, reason: Refusal) {
        *self.refused.entry(reason.name()).or_default() += 1;
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return;
        };
        statement.held = None;
        self.withdraw_claims(now, ticket);
        let decision = match reason {
            Refusal::MayHaveRun => BarrierDecision::Abort(ticket),
            Refusal::ShardFull | Refusal::OtherGroup | Refusal::Unreachable => {
                BarrierDecision::Reject(ticket)
            }
        };
        self.decisions.push(decision);
    }

    /// Withdraws what a statement's execution claims; others may have it then.
    pub(super) fn withdraw_claims(&mut self, now: Micros, ticket: Ticket) {
        for key in self.required_keys(ticket) {
            if let Some(state) = self.keys.get_mut(&key) {
                state.withdraw_claim(ticket);
            }
            self.advance(now, &key);
        }
    }

    /// Releases executions that may leave, and makes the request that is due of a key.
    pub(super) fn advance(&mut self, now: Micros, key: &Key) {
        let Some(state) = self.keys.get_mut(key) else {
            return;
        };
        let dedup_expired = state.take_dedup_expired(now);
        if !dedup_expired.is_empty() {
            let verdict = Verdict::Refuse {
                tickets: dedup_expired,
                reason: Refusal::MayHaveRun,
            };
            return self.apply_verdict(now, key, verdict);
        }
        for ticket in self.waiting_for(key) {
            self.release(now, ticket);
        }
        self.request(now, key);
    }

    /// Makes the request that is due of a key, and forgets the key once nothing needs it.
    fn request(&mut self, now: Micros, key: &Key) {
        let Some(state) = self.keys.get_mut(key) else {
            return;
        };
        let number = self.last_request_number + 1;
        let request_id = RequestId {
            started_ms: self.started_ms,
            number,
        };
        if let Some(operation) = state.next_request(now, request_id) {
            self.last_request_number = number;
            self.pending_requests.insert(number, key.clone());
            self.requests.push(ledger::LedgerRequest {
                number,
                key: key.clone(),
                operation,
            });
        }
        self.due = self.due.min(state.due());
        if state.is_discardable(now) {
            self.keys.remove(key);
        }
    }

    /// Releases a held execution once all its entries are held.
    fn release(&mut self, now: Micros, ticket: Ticket) {
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return;
        };
        let Some(held) = statement.held.filter(|held| now < held.terms.deadline) else {
            return;
        };
        let wait_deadline = statement.wait_deadline;
        let is_held = |requirement: &Requirement| {
            let claim = claim_for(requirement, &held, wait_deadline);
            self.keys
                .get(&requirement.key)
                .is_some_and(|state| state.permits(now, ticket, claim))
        };
        if !statement.requirements.iter().all(is_held) {
            return;
        }
        for requirement in &statement.requirements {
            if let Some(state) = self.keys.get_mut(&requirement.key) {
                state.start_execution(now, ticket);
            }
        }
        statement.held = None;
        self.decisions.push(BarrierDecision::Release(held));
    }

    fn required_keys(&self, ticket: Ticket) -> Vec<Key> {
        let Some(statement) = self.statements.get(&ticket) else {
            return Vec::new();
        };
        let requirements = statement.requirements.iter();
        requirements
            .map(|requirement| requirement.key.clone())
            .collect()
    }

    /// The statements with an execution that waits for a key.
    fn waiting_for(&self, key: &Key) -> Vec<Ticket> {
        self.keys
            .get(key)
            .map(KeyState::waiting)
            .unwrap_or_default()
    }
}

fn claim_for(requirement: &Requirement, held: &PendingExecution, wait_deadline: Micros) -> Claim {
    let ends = held.terms.deadline;
    Claim {
        hold_until_ms: requirement.hold_until_ms(ends),
        runs_until_ms: requirement.runs_until_ms(ends),
        group: requirement.group(held.site),
        wait_deadline,
    }
}
