//! What a front knows of one shard, whether it holds a replica of it or not.

use std::collections::BTreeMap;

use crate::bootstrap::Bootstrap;
use crate::repair::Repair;
use crate::replica::Replica;
use crate::scrub::Scrub;
use crate::state::{ReplicaId, State};
use crate::{FrontId, Micros};

/// What a front knows of one shard.
#[derive(Default)]
pub(crate) struct ShardView {
    /// All that could keep it, in the order in which they are wanted.
    pub ranked: Vec<FrontId>,
    /// Who is to keep it, in the order in which they are wanted; empty where shards do not move.
    pub wanted: Vec<FrontId>,
    /// Which of them is to lead it.
    pub preferred_leader: Option<FrontId>,
    pub replica: Option<Replica>,
    /// Who keeps it, by the latest that was heard.
    pub known: Option<(u32, Vec<ReplicaId>)>,
    /// With these members or earlier ones this disk never begins (again).
    pub barred: u32,
    pub bootstrap: Option<Bootstrap>,
    /// A copy that was given to this front before it became a member: of which log, up to which entry.
    pub learned: Option<(u32, u64, State)>,
    pub repair: Option<Repair>,
    pub scrub: Scrub,
    /// Since when this front leads it.
    pub leader_since: Option<Micros>,
    /// The front that leads it, as was heard last.
    pub leader_hint: Option<FrontId>,
    /// When members that are behind were last told so, and when others were last told that this front is here.
    pub told: BTreeMap<FrontId, Micros>,
}

impl ShardView {
    pub fn members(&self) -> &[ReplicaId] {
        self.known.as_ref().map_or(&[], |(_, members)| members)
    }

    /// Which of these members is to lead it.
    pub fn preferred_among(&self, members: &[ReplicaId]) -> Option<FrontId> {
        let mut order = self.preferred_leader.iter().chain(&self.wanted).chain(&self.ranked);
        order.find(|front| members.iter().any(|member| member.front == **front)).copied()
    }

    pub fn config(&self) -> u32 {
        self.known.as_ref().map_or(0, |(config, _)| *config)
    }
}
