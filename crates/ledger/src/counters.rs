//! The ledger's counters on this front, and the replicas that it holds.

use crate::ledger::Ledger;

/// A replica that a front holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The shard.
    pub shard: u16,
    /// The number of the shard's configuration: grows with each change of its members.
    pub config: u32,
    /// This front leads the shard.
    pub is_leader: bool,
}

/// Replicas that differed from the majority of their shard when they were compared, so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Differences {
    /// Found by this front.
    pub found: u64,
    /// Replicas of this front that were repaired.
    pub repaired_here: u64,
}

/// The ledger's counters and its present state on this front.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages, records and requests that were refused, by reason.
    pub rejected: std::collections::BTreeMap<&'static str, u64>,
    /// Shards of which this front holds a replica.
    pub replicas: usize,
    /// Shards that it leads now.
    pub led_shards: usize,
    /// Of the shards it leads: replicas that are missing, by members that are silent or have yet to
    /// catch up.
    pub missing_replicas: usize,
    /// Entries in its replicas.
    pub entries: usize,
    /// Bytes of those entries.
    pub bytes: usize,
    /// Requests answered.
    pub answered: u64,
    /// Rounds of the log that the answers took.
    pub rounds: u64,
    /// Replicas rebuilt.
    pub rebuilt: u64,
    /// Of them, those that moved though none was missing.
    pub rebalanced: u64,
    /// Moves under way now.
    pub moving_replicas: usize,
    /// Replicas that differed from the majority when this front compared them.
    pub differing: u64,
    /// Replicas of this front that were repaired after such a comparison.
    pub repaired_after_comparison: u64,
    /// Shards that other leaders transferred to it.
    pub accepted_leaderships: u64,
    /// A save has failed: this front holds no replicas until it starts again.
    pub failed: bool,
}

impl Ledger {
    /// The counters, and the present state of this front's replicas.
    pub fn counters(&self) -> Counters {
        let mut counters = self.counters.clone();
        for view in &self.shards {
            let Some(replica) = &view.replica else {
                continue;
            };
            counters.replicas += 1;
            counters.entries += replica.state.len();
            counters.bytes += replica.state.bytes();
            if view.leader_since.is_some() {
                counters.led_shards += 1;
                counters.missing_replicas +=
                    usize::from(view.repair.is_some_and(|repair| !repair.moves));
                counters.moving_replicas +=
                    usize::from(view.repair.is_some_and(|repair| repair.moves));
            }
        }
        counters
    }

    /// Replicas that were found to differ from their majority, so far.
    pub fn differences(&self) -> Differences {
        Differences {
            found: self.counters.differing,
            repaired_here: self.counters.repaired_after_comparison,
        }
    }

    /// The replicas that this front holds.
    pub fn replicas(&self) -> impl Iterator<Item = ReplicaStatus> + '_ {
        let replicas = self.shards.iter().filter_map(|view| view.replica.as_ref());
        replicas.map(|replica| ReplicaStatus {
            shard: replica.shard,
            config: replica.config,
            is_leader: replica.is_leader(),
        })
    }
}
