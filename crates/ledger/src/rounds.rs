//! Applies what the log of a shard has decided, and answers the requests.

use crate::batch::CommandId;
use crate::formats::KEY_QUEUE_FORMAT;
use crate::ledger::Ledger;
use crate::long_message::Pace;
use crate::messages::LedgerMessage;
use crate::replica::{DecidedCommand, MemberMessage};
use crate::{ClockReading, LedgerAnswer, Micros, Outcome};

impl Ledger {
    /// Applies what a shard's log has decided, answers the requests, and sends the log's messages.
    pub(crate) fn process_shard(&mut self, at: ClockReading, shard: u16) {
        let wall_ms = self.wall_ms(at, shard);
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(replica) = &mut view.replica else {
            return;
        };
        replica.format = self.proposal_format;
        let advanced = replica.advance(at.steady, wall_ms);
        for DecidedCommand { command, outcome } in &advanced.answers {
            let front = command.owner.front;
            let can_be_notified = front == self.local.front
                || self.transport.common_format(front) >= KEY_QUEUE_FORMAT;
            if can_be_notified {
                replica.key_queues.record(at.steady, command, outcome);
            }
        }
        let notified = replica.waiters_to_notify(at.steady, wall_ms);
        let messages = replica.take_messages();
        self.update_leadership(at.steady, shard);
        self.counters.rounds += advanced.rounds;
        for message in messages {
            self.send_to_member(at, shard, &message);
        }
        for answer in advanced.answers {
            self.answer(at, answer);
        }
        for command in notified {
            self.notify_key_free(at, command);
        }
        self.answer_hashes(at, shard);
        self.adopt_next_members(at, shard);
    }

    /// Updates the time since which this front leads the shard; a front that does not lead it drops
    /// its replacement in progress.
    fn update_leadership(&mut self, now: Micros, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let is_leader = view
            .replica
            .as_ref()
            .is_some_and(|replica| replica.is_leader());
        if is_leader {
            view.leader_since = view.leader_since.or(Some(now));
        } else {
            view.leader_since = None;
            view.repair = None;
        }
    }

    /// Sends a message of a shard's log. A message that would overtake a long one to the same
    /// member is dropped and counts as lost: the log sends it again later.
    fn send_to_member(&mut self, at: ClockReading, shard: u16, message: &MemberMessage) {
        let pace = if message.is_ordered {
            Pace::Log(shard)
        } else {
            Pace::Fast
        };
        if message.is_ordered && self.transport.is_busy(message.to, pace) {
            return;
        }
        self.transport.send(at, message.to, &message.message, pace);
    }

    /// Answers a request of this front or of another one.
    fn answer(&mut self, at: ClockReading, answer: DecidedCommand) {
        let DecidedCommand { command, outcome } = answer;
        let CommandId { owner, number } = command.id();
        if owner.front != self.local.front {
            let message = LedgerMessage::Reply {
                incarnation: owner.incarnation,
                number,
                outcome,
            };
            self.transport.send(at, owner.front, &message, Pace::Fast);
        } else if owner.incarnation == self.setup.incarnation {
            self.record_answer(None, number, outcome);
        }
    }

    /// Notifies the first front in a key's queue that the key is free.
    fn notify_key_free(&mut self, at: ClockReading, command: CommandId) {
        let CommandId { owner, number } = command;
        if owner.front == self.local.front {
            return self.on_key_free(command);
        }
        let message = LedgerMessage::KeyFree {
            incarnation: owner.incarnation,
            number,
        };
        self.transport.send(at, owner.front, &message, Pace::Fast);
    }

    /// Handles the notification that a key is free and this front is the first in its queue.
    pub(crate) fn on_key_free(&mut self, command: CommandId) {
        let CommandId { owner, number } = command;
        if owner.incarnation == self.setup.incarnation && !self.pending.is_pending(number) {
            self.pending_answers.push(LedgerAnswer {
                number,
                outcome: Outcome::Absent,
            });
        }
    }
}
