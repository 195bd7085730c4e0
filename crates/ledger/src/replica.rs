//! A replica of a shard: the state as far as entries are decided, and, on the shard's leader, the
//! requests that wait for the next round.

use std::collections::BTreeSet;
use std::ops::Range;

use hallmux_replica::{Changes, LogState, LogStore, MessageOrder};
use omnipaxos::messages::Message;
use omnipaxos::storage::Storage;

use crate::batch::{Batch, Command, CommandId};
use crate::encoding::encode;
use crate::formats::OLDEST_FORMAT;
use crate::key_queues::KeyQueues;
use crate::log::{DecidedSuffix, Log, LogMessage, Received};
use crate::members::{Configuration, ReplicaId, ReplicaIncarnation};
use crate::messages::{Base, LedgerMessage};
use crate::snapshot::LogSnapshot;
use crate::state::{State, StateAt};
use crate::tail::Tail;
use crate::{FrontId, Micros, Outcome};

mod saving;

/// Maximum number of requests that wait for a round.
const MAX_QUEUED: usize = 4_096;
/// Bytes of requests at which a round takes no more of them: a few datagrams to each member.
const BATCH_BYTES: usize = 8_192;
/// Microseconds for which a membership change has priority over the next round.
const MEMBER_CHANGE_TIMEOUT: Micros = 250_000;

/// The first index of a log after its base: the state that a configuration starts from counts as
/// one entry.
pub(crate) const FIRST_INDEX: u64 = 1;

struct QueuedRequest {
    command: Command,
    received_at: Micros,
    /// The time on this front's clock after which the requester no longer waits.
    deadline: Micros,
}

/// A replica of a shard in one configuration.
pub(crate) struct Replica {
    pub shard: u16,
    pub config: u32,
    pub members: Vec<ReplicaId>,
    log: Log,
    store: LogStore<Batch>,
    pub state: State,
    applied: usize,
    queue: Vec<QueuedRequest>,
    /// The requests that are queued or proposed here.
    known_commands: BTreeSet<CommandId>,
    /// The fronts that wait for keys held by others, if this front leads the shard.
    pub key_queues: KeyQueues,
    changes: Changes,
    dirty: bool,
    /// The indices of the saved log records.
    saved_indices: Range<usize>,
    /// Detects messages that arrive out of order; they count as lost.
    message_order: MessageOrder,
    /// A membership change is proposed: nothing more is proposed in this configuration.
    is_changing_members: bool,
    /// The format of proposed batches.
    pub format: u8,
    pending_change: Option<PendingChange>,
}

/// The members to propose once the round in progress has ended.
struct PendingChange {
    members: Vec<ReplicaId>,
    /// Until when the change has priority over the next round.
    deadline: Micros,
}

/// A decided request and its outcome.
pub(crate) struct DecidedCommand {
    pub command: Command,
    pub outcome: Outcome,
}

/// A message for another member of the shard.
pub(crate) struct MemberMessage {
    pub to: FrontId,
    pub message: LedgerMessage,
    /// Whether the message must be processed in the order in which it was sent.
    pub is_ordered: bool,
}

/// The requests that were decided, and the rounds that were proposed, since the last call.
#[derive(Default)]
pub(crate) struct AdvanceResult {
    pub answers: Vec<DecidedCommand>,
    pub rounds: u64,
}

impl Replica {
    /// Creates the replica of a configuration from the state that its members agree on; it becomes
    /// durable with the next save. `preferred`: this front wins the first election if there is no
    /// leader yet. None if the log cannot be created, for example because `local` is not a member.
    pub fn create(
        shard: u16,
        configuration: &Configuration,
        local: ReplicaId,
        preferred: bool,
        base: StateAt,
    ) -> Option<Replica> {
        let index = usize::try_from(base.index).ok()?;
        let log_state = LogState {
            decided: index,
            compacted: index,
            snapshot: Some(LogSnapshot::of(base.state)),
            ..LogState::default()
        };
        let mut replica = Replica::open(shard, configuration, local, preferred, log_state)?;
        replica.changes = Changes {
            must_persist: true,
            log_from: None,
            snapshot: true,
        };
        replica.dirty = true;
        Some(replica)
    }

    /// Restores the replica from its saved state. None if the log cannot be created, for example
    /// because `local` is not a member.
    pub fn open(
        shard: u16,
        configuration: &Configuration,
        local: ReplicaId,
        preferred: bool,
        log_state: LogState<Batch>,
    ) -> Option<Replica> {
        let Configuration { config, members } = configuration;
        let saved = log_state.compacted..log_state.end();
        let store = LogStore::new(log_state);
        let log = Log::new(*config, members, local, preferred, store.clone())?;
        let mut replica = Replica {
            shard,
            config: *config,
            members: members.clone(),
            log,
            store,
            state: State::default(),
            applied: 0,
            queue: Vec::new(),
            known_commands: BTreeSet::new(),
            key_queues: KeyQueues::default(),
            changes: Changes::default(),
            dirty: false,
            saved_indices: saved,
            message_order: MessageOrder::default(),
            is_changing_members: false,
            format: OLDEST_FORMAT,
            pending_change: None,
        };
        replica.apply();
        Some(replica)
    }

    /// Advances the log's clock by one tick; returns the members that are to ask for messages that
    /// they may have missed.
    pub fn tick(&mut self) -> Vec<FrontId> {
        let resync = self.log.tick();
        let other_fronts = self.members.iter().map(|member| member.front);
        other_fronts.filter(|_| resync).collect()
    }

    /// Tries to become the leader.
    pub fn campaign(&mut self) {
        if !self.is_leader() {
            self.log.campaign();
        }
    }

    /// Handles the leader's notice that messages may have been missed.
    pub fn resync(&mut self, leader: FrontId) {
        if self.leader() == Some(leader) {
            self.log.resync(leader);
        }
    }

    pub fn is_leader(&self) -> bool {
        self.log.is_leader()
    }

    pub fn leader(&self) -> Option<FrontId> {
        self.log.leader().map(|leader| leader.front)
    }

    /// The applied index: the number of applied entries.
    pub fn applied(&self) -> u64 {
        self.applied as u64
    }

    /// Handles a message from a member, with its number in the sender's order.
    pub fn receive(
        &mut self,
        sender: ReplicaIncarnation,
        number: u64,
        message: Message<Batch>,
    ) -> Received {
        let from = sender.id.front;
        if !self.message_order.accepts(from, sender.incarnation, number) {
            return Received::OutOfOrder;
        }
        self.log.receive(from, message)
    }

    /// Queues a request on the leader, unless it is queued or proposed already; false if the queue
    /// is full.
    pub fn enqueue(&mut self, command: Command, received_at: Micros, deadline: Micros) -> bool {
        if self.queue.len() >= MAX_QUEUED {
            return false;
        }
        if self.known_commands.insert(command.id()) {
            self.queue.push(QueuedRequest {
                command,
                received_at,
                deadline,
            });
        }
        true
    }

    /// Proposes other members after the round in progress. The change takes priority over the next
    /// round, as successive rounds would otherwise delay it forever.
    pub fn propose_members(&mut self, now: Micros, next: Vec<ReplicaId>) {
        if !self.is_changing_members && self.is_leader() {
            self.pending_change = Some(PendingChange {
                members: next,
                deadline: now + MEMBER_CHANGE_TIMEOUT,
            });
        }
    }

    fn propose_change(&mut self, now: Micros, wall_ms: u64) {
        if self.log.has_pending() {
            return;
        }
        let pending = self.pending_change.take();
        if let Some(change) = pending.filter(|change| now < change.deadline) {
            let batch = Batch::change(self.format, wall_ms, change.members);
            self.is_changing_members = self.log.append(batch);
        }
    }

    /// Applies decided entries, and proposes the queued requests once the previous round has ended.
    pub fn advance(&mut self, now: Micros, wall_ms: u64) -> AdvanceResult {
        let mut advanced = AdvanceResult {
            answers: self.apply(),
            rounds: 0,
        };
        if !self.is_leader() {
            // The requesters send their requests to the new leader.
            self.queue.clear();
            self.known_commands.clear();
            self.key_queues.clear();
            (self.is_changing_members, self.pending_change) = (false, None);
            return advanced;
        }
        self.propose_change(now, wall_ms);
        if !self.queue.is_empty() && !self.log.has_pending() && !self.is_changing_members {
            advanced.rounds = u64::from(self.propose_batch(now, wall_ms));
            advanced.answers.extend(self.apply());
        }
        self.log.compact();
        advanced
    }

    /// Proposes the queued requests, as many as fit in a round, and drops those whose deadline has
    /// passed; false if none is proposed.
    fn propose_batch(&mut self, now: Micros, wall_ms: u64) -> bool {
        let (mut commands, mut bytes) = (Vec::new(), 0);
        for waiting in std::mem::take(&mut self.queue) {
            let command = &waiting.command;
            if waiting.deadline <= now {
                self.known_commands.remove(&command.id());
            } else if bytes < BATCH_BYTES
                && !self
                    .key_queues
                    .is_reserved_for_another(now, command, waiting.received_at)
            {
                bytes += command.size();
                commands.push(waiting.command);
            } else {
                self.queue.push(waiting);
            }
        }
        !commands.is_empty()
            && self.log.append(Batch {
                wall_ms,
                commands,
                tail: Tail::of(self.format, None),
            })
    }

    /// The latest requests of the fronts to be notified that a key is free.
    pub fn waiters_to_notify(&mut self, now: Micros, wall_ms: u64) -> Vec<CommandId> {
        self.key_queues
            .waiters_to_notify(now, |key| self.state.is_free(key, wall_ms))
    }

    /// Applies decided entries; returns the answers if this front leads the shard.
    fn apply(&mut self) -> Vec<DecidedCommand> {
        let decided = self.log.decided();
        let mut answers = Vec::new();
        if decided <= self.applied {
            return answers;
        }
        let is_leader = self.is_leader();
        let DecidedSuffix { state, batches } = self.log.decided_since(self.applied);
        if let Some(state) = state {
            self.state = state;
        }
        for batch in batches {
            let outcomes = self.state.apply(&batch);
            for (command, outcome) in batch.commands.into_iter().zip(outcomes) {
                self.known_commands.remove(&command.id());
                if is_leader {
                    answers.push(DecidedCommand { command, outcome });
                }
            }
        }
        self.applied = decided;
        if !is_leader {
            self.log.compact();
        }
        answers
    }

    /// Removes and returns the messages to be sent to other members.
    pub fn take_messages(&mut self) -> Vec<MemberMessage> {
        let (shard, config) = (self.shard, self.config);
        let message_order = &mut self.message_order;
        let numbered = |LogMessage { to, message }| {
            let number = message_order.next_number(&message);
            let message = LedgerMessage::Log {
                shard,
                config,
                number,
                message: Box::new(message),
            };
            MemberMessage {
                to,
                message,
                is_ordered: number > 0,
            }
        };
        self.log.take_messages().into_iter().map(numbered).collect()
    }

    /// The base from which a new member starts the next configuration if it has this log's entries
    /// up to the given index: the later entries, or a snapshot if this log no longer has all of
    /// them.
    pub fn base_after(&self, index: u64) -> Base {
        let from = usize::try_from(index).unwrap_or_default();
        let DecidedSuffix { state, batches } = self.log.decided_since(from);
        if state.is_none() && from >= self.log.compacted() {
            return Base::Suffix { index, batches };
        }
        Base::Snapshot {
            index: FIRST_INDEX,
            state: encode(&self.state.for_next_configuration()),
        }
    }

    /// Replaces the state as of an index, and applies the local log's later entries to it. False if
    /// the log no longer has those entries, or has undecided or unapplied ones.
    pub fn replace_state(&mut self, index: u64, mut state: State) -> bool {
        let from = usize::try_from(index).unwrap_or(usize::MAX);
        if from < self.log.compacted() || from > self.applied || self.log.decided() != self.applied
        {
            return false;
        }
        let DecidedSuffix {
            state: later_state,
            batches,
        } = self.log.decided_since(from);
        if later_state.is_some() || batches.len() != self.applied - from {
            return false;
        }
        self.log.compact_all();
        if self.log.compacted() != self.applied {
            return false;
        }
        batches.iter().for_each(|batch| _ = state.apply(batch));
        self.state = state.clone();
        let snapshot = LogSnapshot::of(state);
        self.store.set_snapshot(Some(snapshot)).is_ok()
    }
}
