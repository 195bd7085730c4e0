//! The ledger's counters on this front, and the replicas that it holds.

use crate::ledger::Ledger;
use crate::{Counters, Differences, ReplicaStatus};

impl Ledger {
    /// The counters, and the present state of this front's replicas.
    pub fn counters(&self) -> Counters {
        let mut counters = self.counters.clone();
        for view in &self.shards {
            let Some(replica) = &view.replica else { continue };
            counters.copies += 1;
            counters.entries += replica.state.len();
            counters.bytes += replica.state.bytes();
            if view.leader_since.is_some() {
                counters.led += 1;
                counters.missing += usize::from(view.repair.is_some_and(|repair| !repair.moves));
                counters.moving += usize::from(view.repair.is_some_and(|repair| repair.moves));
            }
        }
        counters
    }

    /// Replicas that were found to differ from their majority, so far.
    pub fn differences(&self) -> Differences {
        Differences { found: self.counters.differed, repaired_here: self.counters.mended }
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
