//! Who the members of a shard are, as fronts tell each other, and how a shard goes on under the next members.

use crate::bootstrap::Bootstrap;
use crate::formats::OLDEST_FORMAT;
use crate::ledger::Ledger;
use crate::messages::{self, Base, LedgerMessage, ReplicaIncarnation};
use crate::records::{self, Meta};
use crate::replica::{Replica, FIRST};
use crate::shard_view::{Configuration, Learned, StateAt};
use crate::state::ReplicaId;
use crate::transport::Pace;
use crate::upkeep::LOOK;
use crate::{FrontId, Micros, Moment};

const TOLD_AGAIN: Micros = 500_000; // microseconds until a member that is behind is told again

impl Ledger {
    /// This front does not keep the shard as the receiver does: it says what it knows, with the disk that it has.
    pub(crate) fn is_here(&mut self, at: Moment, to: FrontId, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let told = view.told.get(&to).copied().unwrap_or(Micros::MIN);
        if self.own.disk == 0 || at.steady.saturating_sub(told) < LOOK {
            return;
        }
        view.told.insert(to, at.steady);
        let agreed = view.bootstrap.as_ref().map(|bootstrap| bootstrap.agreed().to_vec()).unwrap_or_default();
        let config = view.replica.as_ref().map_or(0, |replica| replica.config);
        self.transport.send(at, to, &LedgerMessage::Available { shard, config, agreed }, Pace::Fast);
    }

    pub(crate) fn here(
        &mut self,
        at: Moment,
        sender: ReplicaIncarnation,
        shard: u16,
        config: u32,
        agreed: &[ReplicaIncarnation],
    ) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        if let Some(bootstrap) = &mut view.bootstrap {
            bootstrap.record_offer(sender, agreed);
            if config > 0 {
                bootstrap.set_started();
            }
            self.advance_bootstrap(at, shard);
        } else if config < view.config() {
            self.bring_on(at, sender.id, shard);
        }
    }

    /// Another is behind: it is told who the members are, and what to begin with where it is one of them.
    pub(crate) fn bring_on(&mut self, at: Moment, sender: ReplicaId, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let told = view.told.get(&sender.front).copied().unwrap_or(Micros::MIN);
        if at.steady.saturating_sub(told) < TOLD_AGAIN {
            return;
        }
        view.told.insert(sender.front, at.steady);
        let Some(Configuration { config, members }) = view.known.clone() else { return };
        let message = match &view.replica {
            Some(replica) if members.contains(&sender) && replica.config == config => {
                if self.transport.is_busy(sender.front, Pace::Fast) {
                    return;
                }
                let base =
                    Base::Snapshot { index: replica.applied(), state: messages::encode(&replica.state) };
                LedgerMessage::Join { shard, config, members, base }
            }
            _ => LedgerMessage::Membership { shard, config, members },
        };
        self.transport.send(at, sender.front, &message, Pace::Fast);
    }

    /// Another says who keeps the shard.
    pub(crate) fn learn(
        &mut self,
        at: Moment,
        from: FrontId,
        shard: u16,
        config: u32,
        members: Vec<ReplicaId>,
    ) {
        let own = self.own;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        if config <= view.config() {
            return;
        }
        let mine = members.contains(&own);
        view.known = Some(Configuration { config, members });
        view.bootstrap.iter_mut().for_each(Bootstrap::set_started);
        if mine {
            self.is_here(at, from, shard);
        } else {
            self.leave(shard);
        }
    }

    /// This front is no member any more, whatever it hears later of earlier ones.
    fn leave(&mut self, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let Some(replica) = view.replica.take() else { return };
        let Some(Configuration { config, members }) = view.known.clone() else { return };
        view.barred = config;
        (view.leader_since, view.repair) = (None, None);
        replica.remove_records(&mut self.records);
        self.records.push(records::meta(OLDEST_FORMAT, shard, &gone(config, members)));
        self.records.push(records::no_snapshot(shard));
    }

    pub(crate) fn begin(
        &mut self,
        at: Moment,
        shard: u16,
        config: u32,
        members: Vec<ReplicaId>,
        base: &Base,
    ) {
        let own = self.own;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        if config <= view.barred || config < view.config() || !members.contains(&own) {
            return;
        }
        let Some(base) = state_of(base, view.learned.take(), config) else {
            view.known = Some(Configuration { config, members });
            return; // it says that it is here, and is given the whole
        };
        self.open(at, shard, Configuration { config, members }, base);
    }

    /// Becomes a member, with what the members have decided; lasting before anything is told of it.
    pub(crate) fn open(&mut self, at: Moment, shard: u16, configuration: Configuration, base: StateAt) {
        let own = self.own;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let preferred = view.preferred_among(&configuration.members) == Some(own.front);
        let Some(mut replica) = Replica::begin(shard, &configuration, own, preferred, base) else {
            return;
        };
        if let Some(before) = view.replica.take() {
            before.remove_records(&mut self.records);
        }
        if view.bootstrap.take().is_some() {
            self.records.push(records::no_bootstrap(shard));
        }
        if preferred {
            replica.campaign();
        }
        replica.must_save();
        view.replica = Some(replica);
        (view.barred, view.known) = (configuration.config, Some(configuration));
        (view.leader_since, view.repair, view.learned) = (None, None, None);
        self.tick_at = self.tick_at.min(at.steady + crate::ledger::TICK);
        self.touched.insert(shard);
    }

    /// Goes on under the next members, once the log has decided on them.
    pub(crate) fn hand_over(&mut self, at: Moment, shard: u16) {
        let own = self.own;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let Some(replica) = &view.replica else { return };
        let Some(next) = replica.state.next().map(<[ReplicaId]>::to_vec) else { return };
        let config = replica.config + 1;
        let (is_leader, before) = (replica.is_leader(), replica.members.clone());
        let moves = view.repair.is_some_and(|repair| repair.moves);
        let caught = view.repair.and_then(|repair| Some((repair.into, repair.caught?)));
        let state = replica.state.for_next_configuration();
        if is_leader {
            for to in next.iter().filter(|member| **member != own && !before.contains(member)) {
                let index = caught.filter(|(into, _)| into == to).map_or(0, |(_, index)| index);
                let base = replica.base_after(index);
                let message = LedgerMessage::Join { shard, config, members: next.clone(), base };
                self.transport.send(at, to.front, &message, Pace::Fast);
                self.tallies.repaired += 1;
                self.tallies.moved += u64::from(moves);
            }
            let stay = |front: &FrontId| next.iter().any(|member| member.front == *front);
            let told = view.ranked.iter().take(self.setup.copies).copied();
            let told = told.chain(before.iter().map(|member| member.front)).filter(|front| !stay(front));
            for to in told.filter(|to| *to != own.front) {
                let message = LedgerMessage::Membership { shard, config, members: next.clone() };
                self.transport.send(at, to, &message, Pace::Fast);
            }
        }
        view.known = Some(Configuration { config, members: next.clone() });
        if next.contains(&own) {
            let next = Configuration { config, members: next };
            self.open(at, shard, next, StateAt { index: FIRST, state });
            if is_leader {
                // Until who is wanted most takes over: asks wait for a round trip, and no election is needed.
                let replica = self.shards.get_mut(usize::from(shard)).and_then(|view| view.replica.as_mut());
                replica.into_iter().for_each(Replica::campaign);
            }
        } else {
            self.leave(shard);
        }
    }
}

/// The record of a shard of which this front is no member.
fn gone(config: u32, members: Vec<ReplicaId>) -> Meta {
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

/// The state that a base stands for; none where it continues a state that this front has not been sent.
fn state_of(base: &Base, learned: Option<Learned>, config: u32) -> Option<StateAt> {
    match base {
        Base::Snapshot { index, state } => Some(StateAt { index: *index, state: messages::decode(state)? }),
        Base::Suffix { index, batches } => {
            let Learned { config: before, at: StateAt { index: at, mut state } } = learned?;
            if (before.checked_add(1), at) != (Some(config), *index) {
                return None;
            }
            batches.iter().for_each(|batch| _ = state.apply(batch));
            state.next().is_some().then(|| StateAt { index: FIRST, state: state.for_next_configuration() })
        }
    }
}
