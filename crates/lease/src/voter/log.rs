//! A voter's replica of the log: sending its messages, its leader, and applying decided entries.

use hallmux_replica::LogStore;
use omnipaxos::messages::Message as LogMessage;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use super::Voter;
use crate::leases::Change;
use crate::state::StateError;
use crate::{FrontId, LeaseMessage, Micros};

/// Ticks without a message from the leader until an election starts.
const ELECTION_TICKS: u64 = 6;
/// Ticks until a message counts as lost and is sent again.
const RESEND_TICKS: u64 = 4;
/// Number of decided entries after which the log is compacted into a snapshot.
const SNAPSHOT_INTERVAL_ENTRIES: usize = 16;
/// A voter's number in the log: its position among the sorted voters, counted from 1.
type VoterNumber = u64;

impl Voter {
    /// Whether a log message names its actual sender and this voter as receiver. The library uses
    /// the numbers as indexes without checking them.
    pub(super) fn matches_endpoints(&self, message: &LogMessage<Change>, from: FrontId) -> bool {
        self.voter_id(message.get_sender()) == Some(from)
            && self.voter_id(message.get_receiver()) == Some(self.local_id)
    }

    /// The id of the voter with this number in the log; None if there is no such voter.
    pub(super) fn voter_id(&self, number: VoterNumber) -> Option<FrontId> {
        let index = number.checked_sub(1)?;
        self.voters.get(index as usize).copied()
    }

    pub(super) fn leader(&self) -> Option<FrontId> {
        let (number, _) = self.log.get_current_leader()?;
        self.voter_id(number)
    }

    /// Whether this voter is the leader and may propose entries.
    pub(super) fn is_ready_leader(&self) -> bool {
        let leader = self.log.get_current_leader();
        leader.is_some_and(|(_, ready)| ready) && self.leader() == Some(self.local_id)
    }

    /// Queues the log library's outgoing messages, and numbers those that must arrive in order.
    pub(super) fn send_log_messages(&mut self) {
        let mut messages = Vec::new();
        self.log.take_outgoing_messages(&mut messages);
        for message in messages {
            let receiver = self.voter_id(message.get_receiver());
            let Some(to) = receiver.filter(|to| *to != self.local_id) else {
                continue;
            };
            let message = LeaseMessage::Log {
                incarnation: self.state.incarnation,
                number: self.message_order.next_number(&message),
                message: Box::new(message),
            };
            self.send(to, message);
        }
    }

    /// Applies the entries decided since the last call, and compacts the log when enough are
    /// decided.
    pub(super) fn apply(&mut self, now: Micros) {
        let decided = self.log.get_decided_idx();
        if decided <= self.applied_entries {
            return;
        }
        let entries = self.log.read_decided_suffix(self.applied_entries);
        for entry in entries.unwrap_or_default() {
            self.apply_entry(now, entry);
        }
        self.applied_entries = decided;
        if decided.saturating_sub(self.log.get_compacted_idx()) >= SNAPSHOT_INTERVAL_ENTRIES {
            // A failed compaction is retried when further entries are decided.
            let _ = self.log.snapshot(Some(decided), true);
        }
    }

    pub(super) fn apply_entry(&mut self, now: Micros, entry: LogEntry<Change>) {
        match entry {
            LogEntry::Decided(change) => {
                self.leases.apply(&change);
                let (Change::Grant { task, .. } | Change::Renew { task, .. }) = change;
                self.last_confirmed.insert(task, now);
            }
            LogEntry::Snapshotted(snapshotted) => {
                self.leases = snapshotted.snapshot.leases();
                for (task, _) in self.leases.iter() {
                    self.last_confirmed.insert(task, now);
                }
            }
            LogEntry::Undecided(_) | LogEntry::Trimmed(_) | LogEntry::StopSign(..) => {}
        }
    }
}

/// Opens this voter's replica of the log. Fails if the front is not a voter or the library rejects
/// the cluster, such as one with too few voters.
pub(super) fn open_log(
    local_id: FrontId,
    voters: &[FrontId],
    store: LogStore<Change>,
) -> Result<OmniPaxos<Change, LogStore<Change>>, StateError> {
    let index = voters.iter().position(|voter| *voter == local_id);
    let number = index.ok_or(StateError::Voters)? as VoterNumber + 1;
    let cluster_config = ClusterConfig {
        configuration_id: 1,
        nodes: (1..=voters.len() as VoterNumber).collect(),
        ..ClusterConfig::default()
    };
    let server_config = ServerConfig {
        pid: number,
        election_tick_timeout: ELECTION_TICKS,
        resend_message_tick_timeout: RESEND_TICKS,
        ..ServerConfig::default()
    };
    let config = OmniPaxosConfig {
        cluster_config,
        server_config,
    };
    config.build(store).map_err(|_| StateError::Voters)
}
