//! Membership of shards: the messages about it between fronts, and the change to the next
//! configuration.

use crate::bootstrap::Bootstrap;
use crate::encoding::{decode, encode};
use crate::formats::OLDEST_FORMAT;
use crate::ledger::Ledger;
use crate::long_message::Pace;
use crate::maintenance::MAINTENANCE_INTERVAL;
use crate::members::{Configuration, ReplicaId, ReplicaIncarnation};
use crate::messages::{Base, LedgerMessage};
use crate::records::{self, Meta};
use crate::replica::{Replica, FIRST_INDEX};
use crate::shard_view::ReceivedSnapshot;
use crate::state::StateAt;
use crate::{ClockReading, FrontId, Micros};

/// Minimum microseconds between two membership messages to a front that is behind.
const MEMBERSHIP_INTERVAL: Micros = 500_000;

impl Ledger {
    /// Announces to a front that this one can hold a replica of the shard: its configuration, its
    /// offer to start the shard, and its disk.
    pub(crate) fn announce(&mut self, at: ClockReading, to: FrontId, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let last = view.last_announced.get(&to).copied().unwrap_or(Micros::MIN);
        if self.local.disk == 0 || at.steady.saturating_sub(last) < MAINTENANCE_INTERVAL {
            return;
        }
        view.last_announced.insert(to, at.steady);
        let agreed = view
            .bootstrap
            .as_ref()
            .map(|bootstrap| bootstrap.agreed().to_vec())
            .unwrap_or_default();
        let config = view.replica.as_ref().map_or(0, |replica| replica.config);
        self.transport.send(
            at,
            to,
            &LedgerMessage::Available {
                shard,
                config,
                agreed,
            },
            Pace::Fast,
        );
    }

    /// Handles another front's announcement that it can hold a replica: its offer to start the
    /// shard is recorded, or it is brought up to date.
    pub(crate) fn receive_availability(
        &mut self,
        at: ClockReading,
        sender: ReplicaIncarnation,
        shard: u16,
        config: u32,
        agreed: &[ReplicaIncarnation],
    ) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if let Some(bootstrap) = &mut view.bootstrap {
            bootstrap.record_offer(sender, agreed);
            if config > 0 {
                bootstrap.set_started();
            }
            self.advance_bootstrap(at, shard);
        } else if config < view.config() {
            self.send_membership(at, sender.id, shard);
        }
    }

    /// Sends a front that is behind the current members, and also the state to start from if it is
    /// one of them.
    pub(crate) fn send_membership(&mut self, at: ClockReading, sender: ReplicaId, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let last = view
            .last_announced
            .get(&sender.front)
            .copied()
            .unwrap_or(Micros::MIN);
        if at.steady.saturating_sub(last) < MEMBERSHIP_INTERVAL {
            return;
        }
        view.last_announced.insert(sender.front, at.steady);
        let Some(Configuration { config, members }) = view.latest_configuration.clone() else {
            return;
        };
        let message = match &view.replica {
            Some(replica) if members.contains(&sender) && replica.config == config => {
                if self.transport.is_busy(sender.front, Pace::Fast) {
                    return;
                }
                let base = Base::Snapshot {
                    index: replica.applied(),
                    state: encode(&replica.state),
                };
                LedgerMessage::Join {
                    shard,
                    config,
                    members,
                    base,
                }
            }
            _ => LedgerMessage::Membership {
                shard,
                config,
                members,
            },
        };
        self.transport.send(at, sender.front, &message, Pace::Fast);
    }

    /// Handles the members of a later configuration, as reported by another front.
    pub(crate) fn receive_membership(
        &mut self,
        at: ClockReading,
        from: FrontId,
        shard: u16,
        config: u32,
        members: Vec<ReplicaId>,
    ) {
        let local = self.local;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if config <= view.config() {
            return;
        }
        let is_member = members.contains(&local);
        view.latest_configuration = Some(Configuration { config, members });
        view.bootstrap.iter_mut().for_each(Bootstrap::set_started);
        if is_member {
            self.announce(at, from, shard);
        } else {
            self.drop_replica(shard);
        }
    }

    /// Drops this front's replica, as it is no longer a member. The record of that keeps it from
    /// joining earlier configurations, whatever arrives later.
    fn drop_replica(&mut self, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(replica) = view.replica.take() else {
            return;
        };
        let Some(Configuration { config, members }) = view.latest_configuration.clone() else {
            return;
        };
        view.barred_config = config;
        (view.leader_since, view.repair) = (None, None);
        replica.remove_saved_log(&mut self.records);
        self.records.push(records::meta(
            OLDEST_FORMAT,
            shard,
            &no_member(config, members),
        ));
        self.records.push(records::remove_snapshot(shard));
    }

    /// Joins a configuration as a member, from the given base.
    pub(crate) fn join(
        &mut self,
        at: ClockReading,
        shard: u16,
        config: u32,
        members: Vec<ReplicaId>,
        base: &Base,
    ) {
        let local = self.local;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if config <= view.barred_config || config < view.config() || !members.contains(&local) {
            return;
        }
        let Some(base) = base_state(base, view.received_snapshot.take(), config) else {
            view.latest_configuration = Some(Configuration { config, members });
            return; // this front announces itself, and is sent the complete state
        };
        self.open_replica(at, shard, Configuration { config, members }, base);
    }

    /// Starts a replica of a configuration from the state that its members agree on. The replica is
    /// durable before any of its messages are sent.
    pub(crate) fn open_replica(
        &mut self,
        at: ClockReading,
        shard: u16,
        configuration: Configuration,
        base: StateAt,
    ) {
        let local = self.local;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let preferred = view.preferred_among(&configuration.members) == Some(local.front);
        let Some(mut replica) = Replica::create(shard, &configuration, local, preferred, base)
        else {
            return;
        };
        if let Some(previous) = view.replica.take() {
            previous.remove_saved_log(&mut self.records);
        }
        if view.bootstrap.take().is_some() {
            self.records.push(records::remove_bootstrap(shard));
        }
        if preferred {
            replica.campaign();
        }
        replica.must_save();
        view.replica = Some(replica);
        (view.barred_config, view.latest_configuration) =
            (configuration.config, Some(configuration));
        (view.leader_since, view.repair, view.received_snapshot) = (None, None, None);
        self.next_tick = self.next_tick.min(at.steady + crate::ledger::TICK);
        self.changed_shards.insert(shard);
    }

    /// Changes to the next configuration once the log has decided its members.
    pub(crate) fn adopt_next_members(&mut self, at: ClockReading, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(replica) = &view.replica else { return };
        let Some(members) = replica.state.next().map(<[ReplicaId]>::to_vec) else {
            return;
        };
        let config = replica.config + 1;
        let next = Configuration { config, members };
        let is_leader = replica.is_leader();
        let state = replica.state.for_next_configuration();
        if is_leader {
            self.announce_next_members(at, shard, &next);
        }
        let is_member = next.members.contains(&self.local);
        if let Some(view) = self.shards.get_mut(usize::from(shard)) {
            view.latest_configuration = Some(next.clone());
        }
        if !is_member {
            return self.drop_replica(shard);
        }
        let base = StateAt {
            index: FIRST_INDEX,
            state,
        };
        self.open_replica(at, shard, next, base);
        if is_leader {
            // The previous leader leads until the preferred leader takes over: requests wait for
            // one round trip, and no election timeout is needed.
            let view = self.shards.get_mut(usize::from(shard));
            let replica = view.and_then(|view| view.replica.as_mut());
            replica.into_iter().for_each(Replica::campaign);
        }
    }

    /// Sends new members the base that they start from, and informs the fronts that are not members
    /// any more.
    fn announce_next_members(&mut self, at: ClockReading, shard: u16, next: &Configuration) {
        let Configuration { config, members } = next;
        let Some(view) = self.shards.get(usize::from(shard)) else {
            return;
        };
        let Some(replica) = &view.replica else { return };
        let is_move = view.repair.is_some_and(|repair| repair.is_move);
        let is_new =
            |member: &&ReplicaId| **member != self.local && !replica.members.contains(member);
        for to in members.iter().filter(is_new) {
            let repair = view.repair.filter(|repair| repair.joining == *to);
            let caught_up_index = repair
                .and_then(|repair| repair.caught_up_index)
                .unwrap_or(0);
            let message = LedgerMessage::Join {
                shard,
                config: *config,
                members: members.clone(),
                base: replica.base_after(caught_up_index),
            };
            self.transport.send(at, to.front, &message, Pace::Fast);
            self.counters.rebuilt += 1;
            self.counters.rebalanced += u64::from(is_move);
        }
        let placed = view
            .ranked
            .iter()
            .take(self.setup.replication_factor)
            .copied();
        let previous_members = replica.members.iter().map(|member| member.front);
        let is_member = |front: &FrontId| members.iter().any(|member| member.front == *front);
        let other_fronts = placed
            .chain(previous_members)
            .filter(|front| !is_member(front));
        let message = LedgerMessage::Membership {
            shard,
            config: *config,
            members: members.clone(),
        };
        for to in other_fronts.filter(|to| *to != self.local.front) {
            self.transport.send(at, to, &message, Pace::Fast);
        }
    }
}

/// The record of a shard that this front is not a member of.
fn no_member(config: u32, members: Vec<ReplicaId>) -> Meta {
    Meta {
        config,
        members,
        is_member: false,
        promise: None,
        accepted_round: None,
        decided: 0,
        compacted: 0,
        end: 0,
    }
}

/// The state that a base represents; None if it continues a snapshot that this front has not
/// received.
fn base_state(
    base: &Base,
    received_snapshot: Option<ReceivedSnapshot>,
    config: u32,
) -> Option<StateAt> {
    match base {
        Base::Snapshot { index, state } => Some(StateAt {
            index: *index,
            state: decode(state)?,
        }),
        Base::Suffix { index, batches } => {
            let ReceivedSnapshot {
                config: before,
                at:
                    StateAt {
                        index: at,
                        mut state,
                    },
            } = received_snapshot?;
            if (before.checked_add(1), at) != (Some(config), *index) {
                return None;
            }
            batches.iter().for_each(|batch| _ = state.apply(batch));
            state.next().is_some().then(|| StateAt {
                index: FIRST_INDEX,
                state: state.for_next_configuration(),
            })
        }
    }
}
