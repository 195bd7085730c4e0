//! The claims of held executions on their keys: requested of the ledger, released once all are held, or refused.

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_ledger::{self as ledger, Key};

use super::key_state::{Claim, KeyState, Verdict};
use super::refusal::Refusal;
use super::requirements::{EntryMark, Requirement};
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
        let wait_until = statement.wait_until;
        let mut behind_blocked_key = false;
        for requirement in statement.requirements.clone() {
            let state = self
                .keys
                .entry(requirement.key.clone())
                .or_insert_with(|| KeyState::new(requirement.key.kind, requirement.after_end));
            if behind_blocked_key {
                state.withdraw(ticket);
                continue;
            }
            let verdict = state.claim(now, ticket, claim_on(&requirement, &held, wait_until));
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
        let ruling = match reason {
            Refusal::MayHaveRun => BarrierDecision::Abort(ticket),
            Refusal::Full | Refusal::Group | Refusal::Unreachable => {
                BarrierDecision::Reject(ticket)
            }
        };
        self.rulings.push(ruling);
    }

    /// Withdraws what a statement's execution claims; others may have it then.
    pub(super) fn withdraw_claims(&mut self, now: Micros, ticket: Ticket) {
        for key in self.required_keys(ticket) {
            if let Some(state) = self.keys.get_mut(&key) {
                state.withdraw(ticket);
            }
            self.advance(now, &key);
        }
    }

    /// Releases executions that may leave, and makes the request that is due of a key.
    pub(super) fn advance(&mut self, now: Micros, key: &Key) {
        let Some(state) = self.keys.get_mut(key) else {
            return;
        };
        let forgotten = state.take_forgotten(now);
        if !forgotten.is_empty() {
            let verdict = Verdict::Refuse {
                tickets: forgotten,
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
        let number = self.last_number + 1;
        let mark = EntryMark {
            started_ms: self.started_ms,
            number,
        };
        if let Some(operation) = state.next_request(now, mark) {
            self.last_number = number;
            self.requested.insert(number, key.clone());
            self.asks.push(ledger::LedgerRequest {
                number,
                key: key.clone(),
                operation,
            });
        }
        self.due = self.due.min(state.due());
        if state.is_over(now) {
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
        let wait_until = statement.wait_until;
        let is_held = |requirement: &Requirement| {
            let claim = claim_on(requirement, &held, wait_until);
            self.keys
                .get(&requirement.key)
                .is_some_and(|state| state.permits(now, ticket, claim))
        };
        if !statement.requirements.iter().all(is_held) {
            return;
        }
        for requirement in &statement.requirements {
            if let Some(state) = self.keys.get_mut(&requirement.key) {
                state.start(now, ticket);
            }
        }
        statement.held = None;
        self.rulings.push(BarrierDecision::Release(held));
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

fn claim_on(requirement: &Requirement, held: &PendingExecution, wait_until: Micros) -> Claim {
    let ends = held.terms.deadline;
    Claim {
        until_ms: requirement.until(ends),
        runs_until_ms: requirement.runs_until(ends),
        group: requirement.group(held.site),
        wait_until,
    }
}
