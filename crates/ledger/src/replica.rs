//! A replica of a shard: the entries as far as they are decided, and, where it leads the shard, what
//! was asked and waits for the next round.

use std::collections::BTreeSet;

use hallmux_replica::{Changes, LogState, LogStore, MessageOrder};
use omnipaxos::messages::Message;

use crate::batch::{Batch, Command};
use crate::encoding::encode;
use crate::formats::OLDEST_FORMAT;
use crate::key_queues::KeyQueues;
use crate::log::{Log, Received};
use crate::members::{Configuration, ReplicaId};
use crate::messages::{Base, LedgerMessage};
use crate::records::{self, Meta};
use crate::snapshot::LogSnapshot;
use crate::state::{State, StateAt};
use crate::tail::Tail;
use crate::{FrontId, Micros, Outcome, Owner, Record};

const MAX_QUEUED: usize = 4_096; // asks that wait for a round
const BATCH_BYTES: usize = 8_192; // bytes of asks in a round: some datagrams to each member
const CHANGE_WAITS: Micros = 250_000; // microseconds for which a change of members goes before the next round
const ASK_OVERHEAD: usize = 48; // bytes that an ask counts beside its name and value

/// Entries that the log starts with: the state that was handed over stands for one.
pub(crate) const FIRST: u64 = 1;

struct Waiting {
    command: Command,
    came: Micros,
    /// Microseconds on this clock from which its asker no longer waits.
    ends: Micros,
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
    queue: Vec<Waiting>,
    /// The asks that wait or are proposed here.
    known: BTreeSet<(Owner, u64)>,
    /// The fronts that wait for keys that others have, where this front leads the shard.
    pub key_queues: KeyQueues,
    changes: Changes,
    dirty: bool,
    /// Log records that are saved: the numbers of the first, and of the next after the last.
    saved: (usize, usize),
    /// By which messages that come out of order count as lost.
    order: MessageOrder,
    /// Members are to change: nothing more is proposed here.
    changing: bool,
    /// The format of what it proposes.
    pub format: u8,
    /// The members to propose once the round under way has ended, and until when that goes before the next round.
    pending_change: Option<(Vec<ReplicaId>, Micros)>,
}

/// The asks that were decided, and the rounds that were proposed, since the last call.
#[derive(Default)]
pub(crate) struct Settled {
    pub answers: Vec<(Command, Outcome)>,
    pub rounds: u64,
}

impl Replica {
    /// Starts a configuration from the state that its members agree on; it becomes durable with the next save.
    pub fn begin(
        shard: u16,
        configuration: &Configuration,
        own: ReplicaId,
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
        let mut replica = Replica::open(shard, configuration, own, preferred, log_state)?;
        replica.changes = Changes {
            must_persist: true,
            log_from: None,
            snapshot: true,
        };
        replica.dirty = true;
        Some(replica)
    }

    /// Goes on from what was saved.
    pub fn open(
        shard: u16,
        configuration: &Configuration,
        own: ReplicaId,
        preferred: bool,
        log_state: LogState<Batch>,
    ) -> Option<Replica> {
        let Configuration { config, members } = configuration;
        let saved = (log_state.compacted, log_state.end());
        let store = LogStore::new(log_state);
        let log = Log::new(*config, members, own, preferred, store.clone())?;
        let mut replica = Replica {
            shard,
            config: *config,
            members: members.clone(),
            log,
            store,
            state: State::default(),
            applied: 0,
            queue: Vec::new(),
            known: BTreeSet::new(),
            key_queues: KeyQueues::default(),
            changes: Changes::default(),
            dirty: false,
            saved,
            order: MessageOrder::default(),
            changing: false,
            format: OLDEST_FORMAT,
            pending_change: None,
        };
        replica.apply();
        Some(replica)
    }

    /// One tick of the log's clock; the members that are to ask for what they may have missed.
    pub fn tick(&mut self) -> Vec<FrontId> {
        let resync = self.log.tick();
        let others = self.members.iter().map(|member| member.front);
        others.filter(|_| resync).collect()
    }

    /// Tries to become the leader.
    pub fn campaign(&mut self) {
        if !self.is_leader() {
            self.log.campaign();
        }
    }

    /// The leader says that something may have been missed.
    pub fn resync(&mut self, leader: FrontId) {
        if self.leader() == Some(leader) {
            self.log.resync(leader);
        }
    }

    pub fn is_leader(&self) -> bool {
        self.log.is_leader()
    }

    pub fn leader(&self) -> Option<FrontId> {
        self.log.leader().map(|(leader, _)| leader)
    }

    /// The applied index: the number of entries that it has applied.
    pub fn applied(&self) -> u64 {
        self.applied as u64
    }

    /// A message of a member in one of its lives.
    pub fn heard(
        &mut self,
        from: (FrontId, u64),
        number: u64,
        message: Message<Batch>,
    ) -> Received {
        if !self.order.accepts(from.0, from.1, number) {
            return Received::OutOfOrder;
        }
        self.log.heard(from.0, message)
    }

    /// An ask of the leader; false where it can't wait here.
    pub fn ask(&mut self, command: Command, came: Micros, ends: Micros) -> bool {
        if self.queue.len() >= MAX_QUEUED {
            return false;
        }
        if self.known.insert((command.owner, command.number)) {
            self.queue.push(Waiting {
                command,
                came,
                ends,
            });
        }
        true
    }

    /// Proposes other members, after the round that is under way: rounds back to back would keep it waiting for good.
    pub fn propose_members(&mut self, now: Micros, next: Vec<ReplicaId>) {
        if !self.changing && self.is_leader() {
            self.pending_change = Some((next, now + CHANGE_WAITS));
        }
    }

    fn propose_change(&mut self, now: Micros, wall_ms: u64) {
        if self.log.has_pending() {
            return;
        }
        if let Some((next, _)) = self.pending_change.take().filter(|(_, until)| now < *until) {
            self.changing = self.log.append(Batch::change(self.format, wall_ms, next));
        }
    }

    /// Proposes what waits, once the round before has ended; takes in what is decided.
    pub fn settle(&mut self, now: Micros, wall_ms: u64) -> Settled {
        let mut settled = Settled {
            answers: self.apply(),
            rounds: 0,
        };
        if !self.is_leader() {
            // Whoever leads it now is asked again.
            self.queue.clear();
            self.known.clear();
            self.key_queues.clear();
            (self.changing, self.pending_change) = (false, None);
            return settled;
        }
        self.propose_change(now, wall_ms);
        if !self.queue.is_empty() && !self.log.has_pending() && !self.changing {
            settled.rounds = u64::from(self.propose_batch(now, wall_ms));
            settled.answers.extend(self.apply());
        }
        self.log.compact();
        settled
    }

    /// Proposes the asks that wait, as far as a round holds them; false where none is proposed.
    fn propose_batch(&mut self, now: Micros, wall_ms: u64) -> bool {
        let (mut commands, mut bytes) = (Vec::new(), 0);
        for waiting in std::mem::take(&mut self.queue) {
            let command = &waiting.command;
            if waiting.ends <= now {
                self.known.remove(&(command.owner, command.number));
            } else if bytes < BATCH_BYTES
                && !self
                    .key_queues
                    .is_reserved_for_another(now, command, waiting.came)
            {
                bytes += size(command);
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

    /// The fronts to be told that a key is free, with the numbers of their latest asks.
    pub fn freed_keys(&mut self, now: Micros, wall_ms: u64) -> Vec<(Owner, u64)> {
        self.key_queues
            .freed_keys(now, |key| self.state.is_free(key, wall_ms))
    }

    fn apply(&mut self) -> Vec<(Command, Outcome)> {
        let decided = self.log.decided();
        let mut answers = Vec::new();
        if decided <= self.applied {
            return answers;
        }
        let is_leader = self.is_leader();
        let (state, batches) = self.log.since(self.applied);
        if let Some(state) = state {
            self.state = state;
        }
        for batch in batches {
            let outcomes = self.state.apply(&batch);
            for (command, outcome) in batch.commands.into_iter().zip(outcomes) {
                self.known.remove(&(command.owner, command.number));
                if is_leader {
                    answers.push((command, outcome));
                }
            }
        }
        self.applied = decided;
        if !is_leader {
            self.log.compact();
        }
        answers
    }

    pub fn messages(&mut self) -> Vec<(FrontId, LedgerMessage)> {
        let (shard, config) = (self.shard, self.config);
        let order = &mut self.order;
        let wrap = |(to, message)| {
            let number = order.number(&message);
            (
                to,
                LedgerMessage::Log {
                    shard,
                    config,
                    number,
                    message: Box::new(message),
                },
            )
        };
        self.log.messages().into_iter().map(wrap).collect()
    }

    /// What a new member starts the next configuration from that has this log's entries up to this index.
    pub fn base_after(&self, index: u64) -> Base {
        let from = usize::try_from(index).unwrap_or_default();
        match self.log.since(from) {
            (None, batches) if from >= self.log.compacted() => Base::Suffix { index, batches },
            _ => {
                let state = encode(&self.state.for_next_configuration());
                Base::Snapshot {
                    index: FIRST,
                    state,
                }
            }
        }
    }

    /// Whether something must be durable before anything that follows from it is sent.
    pub fn must_save(&mut self) -> bool {
        if let Some(changes) = self.store.take_changes() {
            self.changes.must_persist |= changes.must_persist;
            self.changes.snapshot |= changes.snapshot;
            self.changes.log_from = self
                .changes
                .log_from
                .into_iter()
                .chain(changes.log_from)
                .min();
            self.dirty = true;
        }
        self.changes.must_persist
    }

    /// Replaces the state as of an entry by another, and applies what its own log has since; false where that can't be.
    pub fn replace_state(&mut self, index: u64, mut state: State) -> bool {
        let from = usize::try_from(index).unwrap_or(usize::MAX);
        if from < self.log.compacted() || from > self.applied || self.log.decided() != self.applied
        {
            return false;
        }
        let (snapshot, batches) = self.log.since(from);
        if snapshot.is_some() || batches.len() != self.applied - from {
            return false;
        }
        self.log.compact_all();
        if self.log.compacted() != self.applied {
            return false;
        }
        batches.iter().for_each(|batch| _ = state.apply(batch));
        self.state = state.clone();
        omnipaxos::storage::Storage::set_snapshot(&mut self.store, Some(LogSnapshot::of(state)))
            .is_ok()
    }

    /// What has changed since it was last saved, as records; the latest format that they are of.
    pub fn records(&mut self, records: &mut Vec<Record>) -> u8 {
        let mut format = self.state.format();
        if !std::mem::take(&mut self.dirty) {
            return format;
        }
        let changes = std::mem::take(&mut self.changes);
        let (shard, config, members, before) =
            (self.shard, self.config, self.members.clone(), self.saved);
        self.saved = self.store.read(|log_state| {
            let (compacted, end) = (log_state.compacted, log_state.end());
            let (promise, accepted_round, decided) = (
                log_state.promise,
                log_state.accepted_round,
                log_state.decided,
            );
            let meta = Meta {
                config,
                members,
                is_member: true,
                promise,
                accepted_round,
                decided,
                compacted,
                end,
            };
            records.push(records::meta(format, shard, &meta));
            if let Some(snapshot) = log_state.snapshot.as_ref().filter(|_| changes.snapshot) {
                format = format.max(snapshot.format());
                records.push(records::snapshot(shard, snapshot));
            }
            let from = changes.log_from.unwrap_or(end).max(compacted);
            for (index, batch) in (compacted..end).zip(&log_state.log).skip(from - compacted) {
                format = format.max(batch.tail.format());
                records.push(records::entry(shard, index, batch));
            }
            let gone = (before.0..compacted.min(before.1)).chain(end.max(before.0)..before.1);
            records.extend(gone.map(|index| records::no_entry(shard, index)));
            (compacted, end)
        });
        format
    }

    /// Records that remove its log from what is saved.
    pub fn remove_records(&self, records: &mut Vec<Record>) {
        records
            .extend((self.saved.0..self.saved.1).map(|index| records::no_entry(self.shard, index)));
    }
}

/// Bytes that an ask counts.
pub(crate) fn size(command: &Command) -> usize {
    let value = match &command.act {
        crate::Act::Claim { value, .. } | crate::Act::Put { value, .. } => value.len(),
        crate::Act::Free | crate::Act::Read => 0,
    };
    command.key.name.len() + value + ASK_OVERHEAD
}
