//! A shard's log: replicated with the other members by OmniPaxos, or this front's own where it is the only member.

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

const ELECTION_TICKS: u64 = 6; // 300 ms without a sign of a leader: some round trips and a stall of a busy machine
const RESEND_TICKS: u64 = 4; // 200 ms until a message counts as lost
const COMPACT_AFTER: usize = 64; // decided entries until the log is compacted: a follower further behind gets a snapshot

enum Consensus {
    Replicated(Box<OmniPaxos<Batch, LogStore<Batch>>>),
    Single,
}

/// What became of a message that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    Accepted,
    /// A later message of its sender has come before.
    OutOfOrder,
    /// Its sender is no member, or speaks for another.
    NotMember,
    /// It contradicts what is decided: one side has lost what it had promised.
    Contradiction,
}

/// The log of one shard in one configuration.
pub(crate) struct Log {
    consensus: Consensus,
    store: LogStore<Batch>,
    members: Vec<ReplicaId>,
    own: FrontId,
    /// The commit index, and for how many ticks it has not moved though more was proposed.
    stuck: (usize, u64),
}

impl Log {
    /// `preferred` leads where nobody does yet. None where this front is not among the members.
    pub fn new(
        config: u32,
        members: &[ReplicaId],
        own: ReplicaId,
        preferred: bool,
        store: LogStore<Batch>,
    ) -> Option<Log> {
        let position = members.iter().position(|member| *member == own)?;
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
            own: own.front,
            stuck: (0, 0),
        })
    }

    fn front(&self, number: u64) -> Option<FrontId> {
        let position = usize::try_from(number.checked_sub(1)?).ok()?;
        self.members.get(position).map(|member| member.front)
    }

    /// Who leads the shard as far as this member knows, and whether that one is ready for asks.
    pub fn leader(&self) -> Option<(FrontId, bool)> {
        match &self.consensus {
            Consensus::Single => Some((self.own, true)),
            Consensus::Replicated(log) => {
                let (number, ready) = log.get_current_leader()?;
                Some((self.front(number)?, ready))
            }
        }
    }

    pub fn is_leader(&self) -> bool {
        self.leader() == Some((self.own, true))
    }

    /// One tick of the log's clock; whether other members should ask for what they may have missed.
    pub fn tick(&mut self) -> bool {
        let under_way = self.is_leader() && self.has_pending();
        let Consensus::Replicated(log) = &mut self.consensus else {
            return false;
        };
        log.tick();
        let decided = log.get_decided_idx();
        if !under_way || decided != self.stuck.0 {
            self.stuck = (decided, 0);
            return false;
        }
        // The library sends a proposal once, and notices its loss only by the next: with one under way at a time there
        // is none.
        self.stuck.1 += 1;
        self.stuck.1.is_multiple_of(RESEND_TICKS)
    }

    /// Asks the leader for what was missed, as if the connection to it were new.
    pub fn resync(&mut self, leader: FrontId) {
        let position = self
            .members
            .iter()
            .position(|member| member.front == leader);
        if let (Consensus::Replicated(log), Some(position)) = (&mut self.consensus, position) {
            log.reconnected(position as u64 + 1);
        }
    }

    /// Tries to lead the shard now, rather than once an leader is missed.
    pub fn campaign(&mut self) {
        if let Consensus::Replicated(log) = &mut self.consensus {
            log.try_become_leader();
        }
    }

    /// A message of a member.
    pub fn heard(&mut self, from: FrontId, message: Message<Batch>) -> Received {
        let known = self.front(message.get_sender()) == Some(from)
            && self.front(message.get_receiver()) == Some(self.own);
        let Consensus::Replicated(log) = &mut self.consensus else {
            return Received::NotMember;
        };
        if !known || from == self.own {
            return Received::NotMember;
        }
        // The library panics on what no member that keeps to the rules can say: that must not end the front.
        let taken = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            log.handle_incoming(message)
        }));
        if taken.is_ok() {
            Received::Accepted
        } else {
            Received::Contradiction
        }
    }

    pub fn messages(&mut self) -> Vec<(FrontId, Message<Batch>)> {
        let mut messages = Vec::new();
        if let Consensus::Replicated(log) = &mut self.consensus {
            log.take_outgoing_messages(&mut messages);
        }
        let to = |message: &Message<Batch>| {
            self.front(message.get_receiver())
                .filter(|to| *to != self.own)
        };
        messages
            .into_iter()
            .filter_map(|message| Some((to(&message)?, message)))
            .collect()
    }

    /// Whether something that was proposed is not decided yet.
    pub fn has_pending(&self) -> bool {
        match &self.consensus {
            Consensus::Replicated(log) => log.get_accepted_idx() > log.get_decided_idx(),
            Consensus::Single => false,
        }
    }

    /// Proposes a batch; false if that can't be now.
    pub fn append(&mut self, batch: Batch) -> bool {
        match &mut self.consensus {
            Consensus::Replicated(log) => log.append(batch).is_ok(),
            Consensus::Single => {
                let kept = self.store.append_entry(batch).is_ok();
                let end = self.store.read(LogState::end);
                kept && self.store.set_decided_idx(end).is_ok()
            }
        }
    }

    /// The commit index: the number of entries that are decided.
    pub fn decided(&self) -> usize {
        match &self.consensus {
            Consensus::Replicated(log) => log.get_decided_idx(),
            Consensus::Single => self.store.read(|held| held.decided),
        }
    }

    /// The number of entries that are compacted into the snapshot.
    pub fn compacted(&self) -> usize {
        self.store.read(|held| held.compacted)
    }

    /// What is decided from this entry on: the state where the log was compacted beyond it, and the batches after it.
    pub fn since(&self, from: usize) -> (Option<State>, Vec<Batch>) {
        let Consensus::Replicated(log) = &self.consensus else {
            return self.store.read(|held| {
                let snapshot = held.snapshot.as_ref().filter(|_| from < held.compacted);
                let at = from.saturating_sub(held.compacted).min(held.log.len());
                (snapshot.map(LogSnapshot::state), held.log[at..].to_vec())
            });
        };
        let (mut state, mut batches) = (None, Vec::new());
        for entry in log.read_decided_suffix(from).unwrap_or_default() {
            match entry {
                LogEntry::Decided(batch) => batches.push(batch),
                LogEntry::Snapshotted(snapshotted) => {
                    (state, batches) = (Some(snapshotted.snapshot.state()), Vec::new());
                }
                LogEntry::Undecided(_) | LogEntry::Trimmed(_) | LogEntry::StopSign(..) => {}
            }
        }
        (state, batches)
    }

    /// Compacts what is decided into a snapshot, once there is enough of it.
    pub fn compact(&mut self) {
        let decided = self.decided();
        if decided.saturating_sub(self.compacted()) >= COMPACT_AFTER {
            self.compact_all();
        }
    }

    /// Compacts all that is decided into a snapshot.
    pub fn compact_all(&mut self) {
        let decided = self.decided();
        match &mut self.consensus {
            // What can't be compacted now is compacted next time.
            Consensus::Replicated(log) => _ = log.snapshot(Some(decided), true),
            Consensus::Single => {
                let (snapshot, entries) = self
                    .store
                    .read(|held| (held.snapshot.clone(), held.log.clone()));
                let mut snapshot = snapshot.unwrap_or_default();
                snapshot.merge(LogSnapshot::create(&entries));
                let _ = self.store.set_snapshot(Some(snapshot));
                let _ = self.store.trim(decided);
                let _ = self.store.set_compacted_idx(decided);
            }
        }
    }
}
