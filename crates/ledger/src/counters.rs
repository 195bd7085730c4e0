//! The ledger's counters on this front, and the replicas that it holds.

use crate::ledger::Ledger;

/// A replica that this front holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The number of the shard.
    pub shard: u16,
    /// The number of the shard's configuration, which grows with each change of its members.
    pub config: u32,
    /// Whether this front leads the shard.
    pub is_leader: bool,
}

/// Counts of replicas that differed from the majority of their shard in a comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Differences {
    /// Differing replicas that this front found as a leader.
    pub found: u64,
    /// Replicas of this front that were repaired after a comparison.
    pub repaired_here: u64,
}

/// The ledger's counters since the start, and its current state on this front.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Rejected messages and requests, by reason.
    pub rejected: std::collections::BTreeMap<&'static str, u64>,
    /// Shards of which this front holds a replica.
    pub replicas: usize,
    /// Shards that this front leads now.
    pub led_shards: usize,
    /// Missing replicas of the shards that this front leads: of members that are silent or have not
    /// caught up.
    pub missing_replicas: usize,
    /// Entries in this front's replicas.
    pub entries: usize,
    /// Bytes of those entries.
    pub bytes: usize,
    /// Answered requests of this front.
    pub answered: u64,
    /// Rounds of the log that this front proposed as a leader.
    pub rounds: u64,
    /// Replicas added to shards that this front led, rebuilt or moved.
    pub rebuilt: u64,
    /// Those of the `rebuilt` replicas that were moved for balance, with no replica missing.
    pub rebalanced: u64,
    /// Moves for balance in progress.
    pub moving_replicas: usize,
    /// Replicas that differed from the majority when this front compared them.
    pub differing: u64,
    /// Replicas of this front that were repaired after such a comparison.
    pub repaired_after_comparison: u64,
    /// Shards whose leadership this front accepted from another leader.
    pub accepted_leaderships: u64,
    /// A save has failed: this front holds no replicas until the ledger is reset.
    pub failed: bool,
}

impl Ledger {
    /// The counters, and the current state of this front's replicas.
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
                    usize::from(view.repair.is_some_and(|repair| !repair.is_move));
                counters.moving_replicas +=
                    usize::from(view.repair.is_some_and(|repair| repair.is_move));
            }
        }
        counters
    }

    /// The counts of replicas that differed from their majority since the start.
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
