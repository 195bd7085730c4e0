//! A shard's log: replicated among the members by OmniPaxos, or local if this front is the only
//! member.

use hallmux_replica::{LogState, LogStore};
use omnipaxos::messages::Message;
use omnipaxos::storage::{Snapshot, Storage};
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use crate::batch::Batch;
use crate::members::ReplicaId;
use crate::snapshot::LogSnapshot;
use crate::state::State;
use crate::FrontId;

/// Ticks without a heartbeat of a leader until an election: 300 ms.
const ELECTION_TICKS: u64 = 6;
/// Ticks until a message counts as lost: 200 ms.
const RESEND_TICKS: u64 = 4;
/// Decided entries after which the log is compacted. A follower that is further behind gets a
/// snapshot.
const COMPACT_AFTER: usize = 64;

enum Consensus {
    Replicated(Box<OmniPaxos<Batch, LogStore<Batch>>>),
    Single,
}

/// The result of receiving a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    Accepted,
    /// A later message from the same sender was received before.
    OutOfOrder,
    /// The sender is not a member, or claims to be another member.
    NotMember,
    /// The message contradicts decided entries: the sender or this front has lost Paxos promises.
    Contradiction,
}

/// The log of one shard in one configuration.
pub(crate) struct Log {
    consensus: Consensus,
    store: LogStore<Batch>,
    members: Vec<ReplicaId>,
    local: FrontId,
    stall: Stall,
}

/// The commit index, and for how many ticks it has not moved while entries are undecided.
#[derive(Clone, Copy, Default)]
struct Stall {
    decided: usize,
    ticks: u64,
}

/// A shard's leader, as known to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Leader {
    pub front: FrontId,
    /// Whether the leader accepts proposals.
    pub is_ready: bool,
}

/// A message of the log, and its receiver.
pub(crate) struct LogMessage {
    pub to: FrontId,
    pub message: Message<Batch>,
}

/// The decided content of the log from some index on.
#[derive(Default)]
pub(crate) struct DecidedSuffix {
    /// The state to start from, if the log was compacted beyond that index.
    pub state: Option<State>,
    /// The batches from that index on, or those after the state.
    pub batches: Vec<Batch>,
}

impl Log {
    /// Creates the log. The `preferred` front wins the first election if there is no leader yet.
    /// None if this front is not among the members.
    pub fn new(
        config: u32,
        members: &[ReplicaId],
        local: ReplicaId,
        preferred: bool,
        store: LogStore<Batch>,
    ) -> Option<Log> {
        let position = members.iter().position(|member| *member == local)?;
        let consensus = if members.len() == 1 {
            Consensus::Single
        } else {
            let cluster_config = ClusterConfig {
                configuration_id: config,
                nodes: (1..=members.len() as u64).collect(),
                ..ClusterConfig::default()
            };
            let server_config = ServerConfig {
                pid: position as u64 + 1,
                election_tick_timeout: ELECTION_TICKS,
                resend_message_tick_timeout: RESEND_TICKS,
                leader_priority: u32::from(preferred),
                ..ServerConfig::default()
            };
            let config = OmniPaxosConfig {
                cluster_config,
                server_config,
            };
            Consensus::Replicated(Box::new(config.build(store.clone()).ok()?))
        };
        Some(Log {
            consensus,
            store,
            members: members.to_vec(),
            local: local.front,
            stall: Stall::default(),
        })
    }

    fn front(&self, number: u64) -> Option<FrontId> {
        let position = usize::try_from(number.checked_sub(1)?).ok()?;
        self.members.get(position).map(|member| member.front)
    }

    /// The shard's leader as known to this member, and whether it is ready for requests.
    pub fn leader(&self) -> Option<Leader> {
        match &self.consensus {
            Consensus::Single => Some(Leader {
                front: self.local,
                is_ready: true,
            }),
            Consensus::Replicated(log) => {
                let (number, is_ready) = log.get_current_leader()?;
                let front = self.front(number)?;
                Some(Leader { front, is_ready })
            }
        }
    }

    pub fn is_leader(&self) -> bool {
        self.leader()
            .is_some_and(|leader| leader.front == self.local && leader.is_ready)
    }

    /// Advances the log's clock by one tick; true if the other members should ask for messages that
    /// they may have missed.
    pub fn tick(&mut self) -> bool {
        let has_undecided = self.is_leader() && self.has_pending();
        let Consensus::Replicated(log) = &mut self.consensus else {
            return false;
        };
        log.tick();
        let decided = log.get_decided_idx();
        if !has_undecided || decided != self.stall.decided {
            self.stall = Stall { decided, ticks: 0 };
            return false;
        }
        // The library sends a proposal once and notices its loss only from the next proposal. There
        // is no next one while proposals are made one at a time.
        self.stall.ticks += 1;
        self.stall.ticks.is_multiple_of(RESEND_TICKS)
    }

    /// Asks the leader for missed messages, as if the connection to it were new.
    pub fn resync(&mut self, leader: FrontId) {
        let position = self
            .members
            .iter()
            .position(|member| member.front == leader);
        if let (Consensus::Replicated(log), Some(position)) = (&mut self.consensus, position) {
            log.reconnected(position as u64 + 1);
        }
    }

    /// Tries to become leader now, without waiting for an election timeout.
    pub fn campaign(&mut self) {
        if let Consensus::Replicated(log) = &mut self.consensus {
            log.try_become_leader();
        }
    }

    /// Handles a message from a member.
    pub fn receive(&mut self, from: FrontId, message: Message<Batch>) -> Received {
        let is_valid_sender = self.front(message.get_sender()) == Some(from)
            && self.front(message.get_receiver()) == Some(self.local);
        let Consensus::Replicated(log) = &mut self.consensus else {
            return Received::NotMember;
        };
        if !is_valid_sender || from == self.local {
            return Received::NotMember;
        }
        // The library panics on messages that no correct member can send. The panic is caught so
        // that it does not end the process.
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            log.handle_incoming(message)
        }));
        if result.is_ok() {
            Received::Accepted
        } else {
            Received::Contradiction
        }
    }

    /// Removes and returns the messages to be sent to other members.
    pub fn take_messages(&mut self) -> Vec<LogMessage> {
        let mut messages = Vec::new();
        if let Consensus::Replicated(log) = &mut self.consensus {
            log.take_outgoing_messages(&mut messages);
        }
        let addressed = |message: Message<Batch>| {
            let to = self.front(message.get_receiver())?;
            (to != self.local).then_some(LogMessage { to, message })
        };
        messages.into_iter().filter_map(addressed).collect()
    }

    /// Whether a proposal is not decided yet.
    pub fn has_pending(&self) -> bool {
        match &self.consensus {
            Consensus::Replicated(log) => log.get_accepted_idx() > log.get_decided_idx(),
            Consensus::Single => false,
        }
    }

    /// Proposes a batch; false if the log can't accept proposals now.
    pub fn append(&mut self, batch: Batch) -> bool {
        match &mut self.consensus {
            Consensus::Replicated(log) => log.append(batch).is_ok(),
            Consensus::Single => {
                let is_stored = self.store.append_entry(batch).is_ok();
                let end = self.store.read(LogState::end);
                is_stored && self.store.set_decided_idx(end).is_ok()
            }
        }
    }

    /// The commit index: the number of decided entries.
    pub fn decided(&self) -> usize {
        match &self.consensus {
            Consensus::Replicated(log) => log.get_decided_idx(),
            Consensus::Single => self.store.read(|log_state| log_state.decided),
        }
    }

    /// The number of entries that are compacted into the snapshot.
    pub fn compacted(&self) -> usize {
        self.store.read(|log_state| log_state.compacted)
    }

    /// The decided content of the log from index `from` on.
    pub fn decided_since(&self, from: usize) -> DecidedSuffix {
        let Consensus::Replicated(log) = &self.consensus else {
            return self.store.read(|log_state| {
                let snapshot = log_state
                    .snapshot
                    .as_ref()
                    .filter(|_| from < log_state.compacted);
                let at = from
                    .saturating_sub(log_state.compacted)
                    .min(log_state.log.len());
                DecidedSuffix {
                    state: snapshot.map(LogSnapshot::state),
                    batches: log_state.log[at..].to_vec(),
                }
            });
        };
        let mut decided = DecidedSuffix::default();
        for entry in log.read_decided_suffix(from).unwrap_or_default() {
            match entry {
                LogEntry::Decided(batch) => decided.batches.push(batch),
                LogEntry::Snapshotted(snapshotted) => {
                    decided = DecidedSuffix {
                        state: Some(snapshotted.snapshot.state()),
                        batches: Vec::new(),
                    };
                }
                LogEntry::Undecided(_) | LogEntry::Trimmed(_) | LogEntry::StopSign(..) => {}
            }
        }
        decided
    }

    /// Compacts the decided entries into a snapshot once there are [`COMPACT_AFTER`] of them.
    pub fn compact(&mut self) {
        let decided = self.decided();
        if decided.saturating_sub(self.compacted()) >= COMPACT_AFTER {
            self.compact_all();
        }
    }

    /// Compacts all decided entries into a snapshot.
    pub fn compact_all(&mut self) {
        let decided = self.decided();
        match &mut self.consensus {
            // Entries that can't be compacted now are compacted next time.
            Consensus::Replicated(log) => _ = log.snapshot(Some(decided), true),
            Consensus::Single => {
                let (snapshot, entries) = self
                    .store
                    .read(|log_state| (log_state.snapshot.clone(), log_state.log.clone()));
                let mut snapshot = snapshot.unwrap_or_default();
                snapshot.merge(LogSnapshot::create(&entries));
                let _ = self.store.set_snapshot(Some(snapshot));
                let _ = self.store.trim(decided);
                let _ = self.store.set_compacted_idx(decided);
            }
        }
    }
}
