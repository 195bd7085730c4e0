//! The owner's side of a lease: requests the lease from voters, renews it, and determines by the
//! local monotonic clock alone how long the owner may act.

use crate::{AddressedRequest, FrontId, LeaseTerms, Micros, Reply, Request, Task, Token};

/// Microseconds without a reply until the request is sent to the next voter; several round trips.
const REPLY_TIMEOUT: Micros = 250_000;

/// Whether a front requests a lease that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Intent {
    /// Requests the lease, and renews it once held.
    Acquire,
    /// Only renews a lease that the front already holds.
    RenewOnly,
}

/// A lease that was granted to this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    token: Token,
    /// The owner may act only before this time.
    valid_until: Micros,
}

/// A request that awaits its reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    number: u64,
    sent_at: Micros,
    /// The index in `voters` of the voter that it was sent to.
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
    /// The index in `voters` of the voter that the next request is sent to.
    voter_index: usize,
    /// The previous owner's progress, received with a grant, until the caller takes it.
    inherited_progress: Option<Vec<u8>>,
}

impl Holder {
    /// Creates a holder without a lease. `first_number` numbers its first request. It must be
    /// higher than the numbers of all earlier incarnations, so that replies to their requests are
    /// ignored.
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

    /// The token under which the front may act now; None without a valid lease.
    pub fn token(&self, now: Micros) -> Option<Token> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.token)
    }

    /// The end of the lease, in the past if it has expired; None if the front never held it or a
    /// request was denied since.
    pub fn valid_until(&self) -> Option<Micros> {
        self.held.map(|held| held.valid_until)
    }

    /// Takes the progress of the previous owner: Some once after each grant of a new token, not
    /// after renewals.
    pub fn take_inherited_progress(&mut self) -> Option<Vec<u8>> {
        self.inherited_progress.take()
    }

    /// The request that is due and the voter to send it to: a renewal, or a request for the lease
    /// if `intent` is to acquire it. None while a reply is awaited, if nothing is due, or without
    /// voters. `progress` is sent with a renewal.
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

    /// Whether a request is due. A lease is renewed once a third of its duration has passed, which
    /// leaves time for two more attempts.
    fn is_due(&self, now: Micros, intent: Intent) -> bool {
        match self.held.filter(|held| now < held.valid_until) {
            Some(held) => held.valid_until - now < self.terms.owner_valid_for() * 2 / 3,
            None => intent == Intent::Acquire,
        }
    }

    fn choose_next_voter(&mut self) {
        self.voter_index = (self.voter_index + 1) % self.voters.len();
    }

    /// Handles a voter's reply. A reply to any but the latest request is ignored.
    pub fn receive(&mut self, reply: &Reply) {
        let number = reply.number();
        let Some(pending) = self.pending.take_if(|pending| pending.number == number) else {
            return;
        };
        match reply {
            Reply::Granted {
                token, progress, ..
            } => {
                // Counted from the request: the voters count from a later time, however long the
                // reply took.
                let held = HeldLease {
                    token: *token,
                    valid_until: pending.sent_at + self.terms.owner_valid_for(),
                };
                if self.held.is_none_or(|before| before.token != *token) {
                    self.inherited_progress = Some(progress.clone());
                }
                self.held = Some(held);
            }
            // Another front may hold the lease already.
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
