//! Claims of held executions on their keys: requests the entries from the ledger, releases an execution once all
//! its entries are held, and refuses executions whose entries can't be acquired.

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_ledger::{self as ledger, Key};

use super::key_state::{Claim, KeyState, Verdict};
use super::refusal::Refusal;
use super::requirements::{RequestId, Requirement};
use super::{BarrierDecision, LedgerBarrier, PendingExecution};

impl LedgerBarrier {
    /// Claims the entries of a statement's held execution in order, up to and including the first one that
    /// another front holds. Claiming no later entries prevents a deadlock between fronts that need the same
    /// ones.
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

    /// Refuses the executions that a verdict names, and renews the claims of the others that wait for the key.
    pub(super) fn apply_verdict(&mut self, now: Micros, key: &Key, verdict: Verdict) {
        if let Verdict::Refuse { tickets, reason } = verdict {
            for ticket in tickets {
                self.refuse(now, ticket, reason);
            }
        }
        // Executions that keep waiting may now be able to claim their other entries.
        for ticket in self.waiting_for(key) {
            self.claim(now, ticket);
        }
        self.advance(now, key);
    }

    /// Ends a statement: counts it under the reason, withdraws its claims and records the decision.
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

    /// Withdraws all claims of a statement's execution, which can make the keys available to other executions.
    pub(super) fn withdraw_claims(&mut self, now: Micros, ticket: Ticket) {
        for key in self.required_keys(ticket) {
            if let Some(state) = self.keys.get_mut(&key) {
                state.withdraw_claim(ticket);
            }
            self.advance(now, &key);
        }
    }

    /// Refuses executions whose dedup window is over, releases those that hold all their entries, and makes the
    /// request that is due for a key.
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

    /// Makes the request that is due for a key, if any, and discards the key once nothing needs it.
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

    /// Releases a statement's held execution if all its entries are held and its deadline has not passed.
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

    /// The keys that a statement requires, in claim order; empty for an unknown statement.
    fn required_keys(&self, ticket: Ticket) -> Vec<Key> {
        let Some(statement) = self.statements.get(&ticket) else {
            return Vec::new();
        };
        let requirements = statement.requirements.iter();
        requirements
            .map(|requirement| requirement.key.clone())
            .collect()
    }

    /// The statements with an execution waiting for a key.
    fn waiting_for(&self, key: &Key) -> Vec<Ticket> {
        self.keys
            .get(key)
            .map(KeyState::waiting)
            .unwrap_or_default()
    }
}

/// The claim that a held execution makes on a required entry.
fn claim_for(requirement: &Requirement, held: &PendingExecution, wait_deadline: Micros) -> Claim {
    let ends = held.terms.deadline;
    Claim {
        hold_until_ms: requirement.hold_until_ms(ends),
        runs_until_ms: requirement.runs_until_ms(ends),
        group: requirement.group(held.site),
        wait_deadline,
    }
}
