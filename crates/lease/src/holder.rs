//! The owner's side: requests the lease of voters, renews it, and knows by its own monotonic clock alone
//! until when it may act.

use crate::{AddressedRequest, FrontId, LeaseTerms, Micros, Reply, Request, Task, Token};

/// Microseconds until the request goes to the next voter instead; some round trips.
const REPLY_TIMEOUT: Micros = 250_000;

/// What a front does about a lease that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Intent {
    /// It requests the lease.
    Acquire,
    /// It only renews a lease that it holds.
    RenewOnly,
}

/// A lease that was granted to this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    token: Token,
    /// The owner may act before this time.
    valid_until: Micros,
}

/// A request that awaits its reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    number: u64,
    /// When it was made.
    sent_at: Micros,
    /// The place of the voter that it went to.
    voter_index: usize,
}

/// One front's claim on one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    task: Task,
    terms: LeaseTerms,
    voters: Vec<FrontId>,
    held: Option<HeldLease>,
    pending: Option<PendingRequest>,
    next_number: u64,
    /// The place of the voter that the next request goes to.
    voter_index: usize,
    /// The progress that came with the lease, until it is taken.
    inherited_progress: Option<Vec<u8>>,
}

impl Holder {
    /// `first` is the number of its first request; it has to be above all of an earlier run, whose replies
    /// are not for this one.
    pub fn new(task: Task, terms: LeaseTerms, voters: Vec<FrontId>, first_number: u64) -> Holder {
        Holder {
            task,
            terms,
            voters,
            held: None,
            pending: None,
            next_number: first_number,
            voter_index: 0,
            inherited_progress: None,
        }
    }

    /// The token under which it may act now.
    pub fn token(&self, now: Micros) -> Option<Token> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.token)
    }

    /// Until when it may act, in the past where the lease has run out; None where it never held one.
    pub fn valid_until(&self) -> Option<Micros> {
        self.held.map(|held| held.valid_until)
    }

    /// Takes the progress of the owner before; there is one after each grant.
    pub fn take_inherited_progress(&mut self) -> Option<Vec<u8>> {
        self.inherited_progress.take()
    }

    /// The request that is due, and the voter to send it to: for a renewal, or for the lease by `intent`. None
    /// while a reply is awaited or nothing is due. `progress` goes with a renewal.
    pub fn next_request(
        &mut self,
        now: Micros,
        intent: Intent,
        progress: &[u8],
    ) -> Option<AddressedRequest> {
        if self.awaits_reply(now) || !self.is_due(now, intent) || self.voters.is_empty() {
            return None;
        }
        let unanswered = self.pending.as_ref().map(|pending| pending.voter_index);
        if unanswered == Some(self.voter_index) {
            self.choose_next_voter();
        }
        let number = self.next_number;
        self.next_number += 1;
        self.pending = Some(PendingRequest {
            number,
            sent_at: now,
            voter_index: self.voter_index,
        });
        let token = self.token(now);
        let progress = if token.is_some() {
            progress.to_vec()
        } else {
            Vec::new()
        };
        let request = Request {
            task: self.task,
            number,
            token,
            progress,
        };
        let to = self.voters[self.voter_index];
        Some(AddressedRequest { to, request })
    }

    fn awaits_reply(&self, now: Micros) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| now - pending.sent_at < REPLY_TIMEOUT)
    }

    /// Whether a request is due. A lease is renewed from a third of its time on: two more attempts fit in.
    fn is_due(&self, now: Micros, intent: Intent) -> bool {
        match self.held.filter(|held| now < held.valid_until) {
            Some(held) => held.valid_until - now < self.terms.owner_valid_for() * 2 / 3,
            None => intent == Intent::Acquire,
        }
    }

    fn choose_next_voter(&mut self) {
        self.voter_index = (self.voter_index + 1) % self.voters.len();
    }

    /// Takes in a voter's reply. One that is not to the latest request is ignored.
    pub fn receive(&mut self, reply: &Reply) {
        let number = reply.number();
        let Some(pending) = self.pending.take_if(|pending| pending.number == number) else {
            return;
        };
        match reply {
            Reply::Granted {
                token, progress, ..
            } => {
                // Counted from the request: however long the reply took, the voters count from later.
                let held = HeldLease {
                    token: *token,
                    valid_until: pending.sent_at + self.terms.owner_valid_for(),
                };
                if self.held.is_none_or(|before| before.token != *token) {
                    self.inherited_progress = Some(progress.clone());
                }
                self.held = Some(held);
            }
            // Another front holds it, since no later than now.
            Reply::Denied { .. } => self.held = None,
            Reply::NotLeader { leader, .. } => {
                let leader_index = self.voters.iter().position(|voter| voter == leader);
                self.voter_index =
                    leader_index.unwrap_or((self.voter_index + 1) % self.voters.len());
            }
        }
    }
}

#[cfg(test)]
#[path = "holder_tests.rs"]
mod tests;
