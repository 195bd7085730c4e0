//! What a front's part has counted, and what it keeps now.

use crate::ledger::Ledger;
use crate::Tallies;

impl Ledger {
    /// What it has counted, and what it keeps now.
    pub fn tallies(&self) -> Tallies {
        let mut tallies = self.tallies.clone();
        for view in &self.shards {
            let Some(replica) = &view.replica else { continue };
            tallies.copies += 1;
            tallies.entries += replica.state.len();
            tallies.bytes += replica.state.bytes();
            if view.leader_since.is_some() {
                tallies.owned += 1;
                tallies.missing += usize::from(view.repair.is_some_and(|repair| !repair.moves));
                tallies.moving += usize::from(view.repair.is_some_and(|repair| repair.moves));
            }
        }
        tallies
    }

    /// Copies that differed from the majority when this front compared them, and that were mended here.
    pub fn differed(&self) -> (u64, u64) {
        (self.tallies.differed, self.tallies.mended)
    }

    /// The shards that this front keeps, each with the number of its members' change and whether this front leads it.
    pub fn kept(&self) -> impl Iterator<Item = (u16, u32, bool)> + '_ {
        let replicas = self.shards.iter().filter_map(|view| view.replica.as_ref());
        replicas.map(|replica| (replica.shard, replica.config, replica.is_leader()))
    }
}
