//! A shard's log: kept with the other members through OmniPaxos, or by this front alone where it is the only one.

use hallmux_replica::{LogState, LogStore};
use omnipaxos::messages::Message;
use omnipaxos::storage::{Snapshot, Storage};
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use crate::state::{Batch, Folded, ReplicaId, State};
use crate::FrontId;

const ELECTION_TICKS: u64 = 6; // 300 ms without a sign of a leader: some round trips and a stall of a busy machine
const RESEND_TICKS: u64 = 4; // 200 ms until a message counts as lost
const FOLDED_AFTER: usize = 64; // decided entries until the log is folded: a follower further behind gets it whole

enum Kind {
    Many(Box<OmniPaxos<Batch, LogStore<Batch>>>),
    One,
}

/// What became of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    Taken,
    /// A later one has come before.
    Overtaken,
    /// Its sender is no member, or says what another should.
    NoMember,
    /// It contradicts what is decided: one side has forgotten what it had promised.
    Absurd,
}

pub(crate) struct Log {
    kind: Kind,
    store: LogStore<Batch>,
    members: Vec<ReplicaId>,
    own: FrontId,
    /// What is decided, and for how many ticks that has not changed though more was proposed.
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
        let place = members.iter().position(|member| *member == own)?;
        let kind = if members.len() == 1 {
            Kind::One
        } else {
            let cluster_config = ClusterConfig {
                configuration_id: config,
                nodes: (1..=members.len() as u64).collect(),
                ..ClusterConfig::default()
            };
            let server_config = ServerConfig {
                pid: place as u64 + 1,
                election_tick_timeout: ELECTION_TICKS,
                resend_message_tick_timeout: RESEND_TICKS,
                leader_priority: u32::from(preferred),
                ..ServerConfig::default()
            };
            let config = OmniPaxosConfig { cluster_config, server_config };
            Kind::Many(Box::new(config.build(store.clone()).ok()?))
        };
        Some(Log { kind, store, members: members.to_vec(), own: own.front, stuck: (0, 0) })
    }

    fn front(&self, number: u64) -> Option<FrontId> {
        let place = usize::try_from(number.checked_sub(1)?).ok()?;
        self.members.get(place).map(|member| member.front)
    }

    /// Who leads the shard as far as this member knows, and whether that one is ready for asks.
    pub fn leader(&self) -> Option<(FrontId, bool)> {
        match &self.kind {
            Kind::One => Some((self.own, true)),
            Kind::Many(log) => {
                let (number, ready) = log.get_current_leader()?;
                Some((self.front(number)?, ready))
            }
        }
    }

    pub fn is_leader(&self) -> bool {
        self.leader() == Some((self.own, true))
    }

    /// A turn of the log's clock; whether others should ask for what they may have missed.
    pub fn tick(&mut self) -> bool {
        let under_way = self.is_leader() && self.is_under_way();
        let Kind::Many(log) = &mut self.kind else { return false };
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

    /// The leader's connection counts as made anew: what was missed is asked for.
    pub fn resync(&mut self, leader: FrontId) {
        let place = self.members.iter().position(|member| member.front == leader);
        if let (Kind::Many(log), Some(place)) = (&mut self.kind, place) {
            log.reconnected(place as u64 + 1);
        }
    }

    /// Tries to lead the shard now, rather than once an leader is missed.
    pub fn campaign(&mut self) {
        if let Kind::Many(log) = &mut self.kind {
            log.try_become_leader();
        }
    }

    /// A message of a member.
    pub fn heard(&mut self, from: FrontId, message: Message<Batch>) -> Heard {
        let known = self.front(message.get_sender()) == Some(from)
            && self.front(message.get_receiver()) == Some(self.own);
        let Kind::Many(log) = &mut self.kind else { return Heard::NoMember };
        if !known || from == self.own {
            return Heard::NoMember;
        }
        // The library panics on what no member that keeps to the rules can say: that must not end the front.
        let taken = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| log.handle_incoming(message)));
        if taken.is_ok() {
            Heard::Taken
        } else {
            Heard::Absurd
        }
    }

    pub fn messages(&mut self) -> Vec<(FrontId, Message<Batch>)> {
        let mut messages = Vec::new();
        if let Kind::Many(log) = &mut self.kind {
            log.take_outgoing_messages(&mut messages);
        }
        let to = |message: &Message<Batch>| self.front(message.get_receiver()).filter(|to| *to != self.own);
        messages.into_iter().filter_map(|message| Some((to(&message)?, message))).collect()
    }

    /// Whether something that was proposed is not decided yet.
    pub fn is_under_way(&self) -> bool {
        match &self.kind {
            Kind::Many(log) => log.get_accepted_idx() > log.get_decided_idx(),
            Kind::One => false,
        }
    }

    pub fn append(&mut self, batch: Batch) -> bool {
        match &mut self.kind {
            Kind::Many(log) => log.append(batch).is_ok(),
            Kind::One => {
                let kept = self.store.append_entry(batch).is_ok();
                let end = self.store.read(LogState::end);
                kept && self.store.set_decided_idx(end).is_ok()
            }
        }
    }

    pub fn decided(&self) -> usize {
        match &self.kind {
            Kind::Many(log) => log.get_decided_idx(),
            Kind::One => self.store.read(|held| held.decided),
        }
    }

    pub fn compacted(&self) -> usize {
        self.store.read(|held| held.compacted)
    }

    /// What is decided from this entry on: the state where the log was folded beyond it, and the batches after it.
    pub fn since(&self, from: usize) -> (Option<State>, Vec<Batch>) {
        let Kind::Many(log) = &self.kind else {
            return self.store.read(|held| {
                let folded = held.snapshot.as_ref().filter(|_| from < held.compacted);
                let at = from.saturating_sub(held.compacted).min(held.log.len());
                (folded.map(Folded::state), held.log[at..].to_vec())
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

    /// Folds what is decided once there is enough of it.
    pub fn fold(&mut self) {
        let decided = self.decided();
        if decided.saturating_sub(self.compacted()) >= FOLDED_AFTER {
            self.fold_all();
        }
    }

    /// Folds all that is decided.
    pub fn fold_all(&mut self) {
        let decided = self.decided();
        match &mut self.kind {
            // What can't be folded now is folded next time.
            Kind::Many(log) => _ = log.snapshot(Some(decided), true),
            Kind::One => {
                let (snapshot, entries) = self.store.read(|held| (held.snapshot.clone(), held.log.clone()));
                let mut folded = snapshot.unwrap_or_default();
                folded.merge(Folded::create(&entries));
                let _ = self.store.set_snapshot(Some(folded));
                let _ = self.store.trim(decided);
                let _ = self.store.set_compacted_idx(decided);
            }
        }
    }
}
