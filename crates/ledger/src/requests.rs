//! Requests for entries: those of this front, forwarded to the shard's leader, and those of other
//! fronts.

use crate::batch::Command;
use crate::ledger::Ledger;
use crate::long_message::Pace;
use crate::messages::LedgerMessage;
use crate::pending_requests;
use crate::rejection::Rejection;
use crate::replica::Replica;
use crate::{
    shard_of, ClockReading, FrontId, Key, LedgerAnswer, LedgerRequest, Operation, Outcome, Owner,
};

/// Maximum bytes of a key's name.
const MAX_NAME_BYTES: usize = 1_024;
/// Maximum bytes of a value.
const MAX_VALUE_BYTES: usize = 32 * 1_024;

impl Ledger {
    /// Submits a request; exactly one answer follows. A request whose number is already waiting is
    /// ignored.
    pub fn submit(&mut self, at: ClockReading, request: LedgerRequest) {
        let LedgerRequest {
            number,
            key,
            operation,
        } = request;
        if self.pending.is_pending(number) {
            return;
        }
        if self.counters.failed {
            // Without a working disk, every request is answered as unreachable until the ledger is
            // reset.
            return self.answer_at_once(number, Outcome::Unreachable);
        }
        if is_too_long(&key, &operation) {
            self.reject(Rejection::TooLong);
            return self.answer_at_once(number, Outcome::Full);
        }
        let shard = shard_of(&key, self.setup.shards);
        let command = Command {
            owner: Owner {
                front: self.local.front,
                incarnation: self.setup.incarnation,
            },
            number,
            asked_ms: self.pending.first_requested_ms(number, at.wall_ms),
            key,
            operation,
        };
        let deadline = at.steady + self.setup.request_timeout;
        if !self.pending.add(command, shard, deadline) {
            return self.answer_at_once(number, Outcome::Unreachable);
        }
        self.send_request(at, number);
        self.process_changes(at);
    }

    /// Answers a request without waiting for any save.
    fn answer_at_once(&mut self, number: u64, outcome: Outcome) {
        self.output.answers.push(LedgerAnswer { number, outcome });
    }

    /// Sends a request to the shard's leader, or to a front that may know the leader.
    pub(crate) fn send_request(&mut self, at: ClockReading, number: u64) {
        let Some(attempt) = self.pending.next_attempt(at.steady, number) else {
            return;
        };
        let waiting = attempt.request;
        let Some(view) = self.shards.get_mut(usize::from(waiting.shard)) else {
            return;
        };
        let shard = waiting.shard;
        if let Some(replica) = view.replica.as_mut().filter(|replica| replica.is_leader()) {
            replica.enqueue(waiting.command.clone(), at.steady, waiting.deadline);
            self.changed_shards.insert(shard);
            return;
        }
        let leader = view
            .replica
            .as_ref()
            .and_then(Replica::leader)
            .or(view.leader_hint);
        let members: Vec<FrontId> = view.members().iter().map(|member| member.front).collect();
        let non_members = view
            .ranked
            .iter()
            .filter(|front| !members.contains(front))
            .copied();
        let other_fronts: Vec<FrontId> = members.iter().copied().chain(non_members).collect();
        if let Some(to) = pending_requests::next_receiver(
            leader,
            &other_fronts,
            self.local.front,
            attempt.previous_attempts,
        ) {
            let message = LedgerMessage::Request {
                shard,
                command: waiting.command.clone(),
            };
            self.transport.send(at, to, &message, Pace::Fast);
        }
    }

    /// Handles another front's answer that it does not lead the shard, and the leader that it
    /// names.
    pub(crate) fn redirect(
        &mut self,
        at: ClockReading,
        from: FrontId,
        number: u64,
        leader: Option<FrontId>,
    ) {
        let Some(shard) = self.pending.shard(number) else {
            return;
        };
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let leader = leader.filter(|leader| *leader != from);
        let is_new_leader = leader.is_some() && leader != view.leader_hint;
        view.leader_hint = leader.or(view.leader_hint.filter(|hint| *hint != from));
        if is_new_leader {
            self.send_request(at, number);
        }
    }

    /// Records the answer to a request of this front, to be returned once the state that it depends
    /// on is durable here.
    pub(crate) fn record_answer(&mut self, leader: Option<FrontId>, number: u64, outcome: Outcome) {
        let Some(shard) = self.pending.remove(number) else {
            return;
        };
        if let Some(view) = self.shards.get_mut(usize::from(shard)) {
            view.leader_hint = leader.or(view.leader_hint);
        }
        self.counters.answered += 1;
        self.pending_answers.push(LedgerAnswer { number, outcome });
    }

    /// Handles a request from another front.
    pub(crate) fn receive_request(
        &mut self,
        at: ClockReading,
        from: FrontId,
        shard: u16,
        command: Command,
    ) {
        let is_valid =
            command.owner.front == from && shard_of(&command.key, self.setup.shards) == shard;
        if !is_valid || command.size() > MAX_NAME_BYTES + MAX_VALUE_BYTES {
            return self.reject(Rejection::ForeignRequest);
        }
        let (incarnation, number) = (command.owner.incarnation, command.number);
        let deadline = at.steady + self.setup.request_timeout;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let leader = match &mut view.replica {
            Some(replica) if replica.is_leader() => {
                if !replica.enqueue(command, at.steady, deadline) {
                    self.reject(Rejection::QueueFull);
                }
                return;
            }
            Some(replica) => replica.leader(),
            None => view.leader_hint,
        };
        let (config, members) = (view.config(), view.members().to_vec());
        let message = LedgerMessage::NotLeader {
            shard,
            incarnation,
            number,
            leader,
        };
        self.transport.send(at, from, &message, Pace::Fast);
        if view.replica.is_none() && config > 0 {
            let message = LedgerMessage::Membership {
                shard,
                config,
                members,
            };
            self.transport.send(at, from, &message, Pace::Fast);
        }
    }
}

fn is_too_long(key: &Key, operation: &Operation) -> bool {
    let value_bytes = match operation {
        Operation::Claim { value, .. } | Operation::Put { value, .. } => value.len(),
        Operation::Free | Operation::Read => 0,
    };
    key.name.len() > MAX_NAME_BYTES || value_bytes > MAX_VALUE_BYTES
}
