//! Takes in what the log of a shard has decided, and answers what was asked.

use crate::ledger::Ledger;
use crate::long_message::Pace;
use crate::messages::LedgerMessage;
use crate::{Done, Moment, Outcome, Owner};

impl Ledger {
    /// Takes in what a shard's log has decided, answers the asks, and sends the log's messages.
    pub(crate) fn settle_shard(&mut self, at: Moment, shard: u16) {
        let wall_ms = self.wall_ms(at, shard);
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(replica) = &mut view.replica else {
            return;
        };
        replica.format = self.format;
        let settled = replica.settle(at.steady, wall_ms);
        for (command, outcome) in &settled.answers {
            let front = command.owner.front;
            if front == self.own.front
                || self.transport.common_format(front) >= crate::formats::KEY_QUEUE_FORMAT
            {
                replica.key_queues.record(at.steady, command, outcome);
            }
        }
        let freed = replica.freed_keys(at.steady, wall_ms);
        view.leader_since = if replica.is_leader() {
            view.leader_since.or(Some(at.steady))
        } else {
            None
        };
        if view.leader_since.is_none() {
            view.repair = None;
        }
        let messages = replica.messages();
        self.counters.rounds += settled.rounds;
        for (to, message) in messages {
            // What would overtake a long one counts as lost instead: it is sent again once that has come.
            let ordered = matches!(message, LedgerMessage::Log { number, .. } if number > 0);
            if !ordered || !self.transport.is_busy(to, Pace::Log(shard)) {
                self.transport.send(
                    at,
                    to,
                    &message,
                    if ordered {
                        Pace::Log(shard)
                    } else {
                        Pace::Fast
                    },
                );
            }
        }
        for (command, outcome) in settled.answers {
            let (owner, number) = (command.owner, command.number);
            if owner.front != self.own.front {
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
        for (owner, number) in freed {
            if owner.front == self.own.front {
                self.key_is_free(owner, number);
            } else {
                let message = LedgerMessage::KeyFree {
                    incarnation: owner.incarnation,
                    number,
                };
                self.transport.send(at, owner.front, &message, Pace::Fast);
            }
        }
        self.answer_hashes(at, shard);
        self.adopt_next_members(at, shard);
    }

    /// A key that this front asked for is free, and this front is the first in its queue.
    pub(crate) fn key_is_free(&mut self, owner: Owner, number: u64) {
        if owner.incarnation == self.setup.incarnation && !self.asks.is_waiting(number) {
            self.done.push(Done {
                number,
                outcome: Outcome::Absent,
            });
        }
    }
}
