//! What comes in of shards, and how their members change.

use crate::bootstrap::Bootstrap;
use crate::forms::OLDEST;
use crate::ledger::Ledger;
use crate::log::Heard;
use crate::messages::{self, Base, LedgerMessage, ReplicaIncarnation};
use crate::records::{self, Meta};
use crate::repair::Peer;
use crate::replica::{Replica, FIRST};
use crate::state::{ReplicaId, State};
use crate::transport::Pace;
use crate::upkeep::LOOK;
use crate::{Done, FrontId, Micros, Moment, Outcome, Owner};

const TOLD_AGAIN: Micros = 500_000; // microseconds until a member that is behind is told again

impl Ledger {
    /// A packet of a front has come, whose signature holds.
    pub fn heard(&mut self, at: Moment, from: FrontId, bytes: &[u8]) {
        if from == self.own.front {
            return self.refuse("own");
        }
        let (packet, messages) = match self.transport.receive(at, from, bytes) {
            Ok(heard) => heard,
            Err(why) => return self.refuse(why),
        };
        let silent = |peer: &Peer| at.steady - peer.at >= self.setup.repair_after;
        let before = self.peers.get(&from).filter(|peer| !silent(peer));
        if before.is_some_and(|peer| peer.incarnation > packet.incarnation) {
            return self.refuse("earlier life");
        }
        let (incarnation, disk, wall_ms) = (packet.incarnation, packet.disk, packet.wall_ms);
        self.away.returned(at.steady, &self.setup.members, from);
        self.peers.insert(from, Peer { at: at.steady, incarnation, disk, wall_ms });
        for message in messages {
            self.handle(at, ReplicaIncarnation { id: ReplicaId { front: from, disk }, incarnation }, message);
        }
        self.settle(at);
    }

    fn handle(&mut self, at: Moment, sender: ReplicaIncarnation, message: LedgerMessage) {
        let from = sender.id.front;
        match message {
            LedgerMessage::Log { shard, config, number, message } => {
                self.logged(at, sender, shard, config, (number, *message));
            }
            LedgerMessage::Resync { shard, config } => {
                let view = self.shards.get_mut(usize::from(shard));
                let replica = view.and_then(|view| view.replica.as_mut());
                if let Some(replica) =
                    replica.filter(|r| r.config == config && r.members.contains(&sender.id))
                {
                    replica.resync(from);
                    self.touched.insert(shard);
                }
            }
            LedgerMessage::Request { shard, command } => {
                self.touched.insert(shard);
                self.asked(at, from, shard, command);
            }
            LedgerMessage::Reply { incarnation, number, outcome }
                if incarnation == self.setup.incarnation =>
            {
                self.answered(Some(from), number, outcome);
            }
            LedgerMessage::NotLeader { incarnation, number, leader, .. }
                if incarnation == self.setup.incarnation =>
            {
                self.elsewhere(at, from, number, leader);
            }
            LedgerMessage::Reply { .. } | LedgerMessage::NotLeader { .. } => {}
            LedgerMessage::Available { shard, config, agreed } => {
                self.here(at, sender, shard, config, &agreed)
            }
            LedgerMessage::Membership { shard, config, members } => {
                self.learn(at, from, shard, config, members)
            }
            LedgerMessage::Probe { shard } => self.is_here(at, from, shard),
            LedgerMessage::Snapshot { shard, config, index, state } => {
                let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
                let Some(state) = messages::decode::<State>(&state) else { return self.refuse("form") };
                if view.replica.is_none() && self.own.disk != 0 {
                    view.learned = Some((config, index, state));
                    self.transport.send(
                        at,
                        from,
                        &LedgerMessage::CaughtUp { shard, config, index },
                        Pace::Fast,
                    );
                }
            }
            LedgerMessage::CaughtUp { shard, config, index } => {
                let view = self.shards.get_mut(usize::from(shard));
                let repair = view.and_then(|view| view.repair.as_mut());
                if let Some(repair) = repair.filter(|r| r.into == sender.id && r.config == config) {
                    repair.caught = Some(index);
                }
            }
            LedgerMessage::Hashes { shard, config, index, sums } => {
                self.summed(at, sender.id, (shard, config), (index, sums));
            }
            LedgerMessage::RepairReplica { shard, config, index, state } => {
                self.mended(sender.id, (shard, config), index, &state);
            }
            LedgerMessage::ShuttingDown => _ = self.leavers.insert(from, sender.incarnation),
            LedgerMessage::KeyFree { incarnation, number } => {
                self.turn(Owner { front: self.own.front, incarnation }, number);
            }
            LedgerMessage::TransferLeadership { shard, config } => self.inherits(from, shard, config),
            LedgerMessage::Join { shard, config, members, base } => {
                self.begin(at, shard, config, members, &base)
            }
        }
    }

    fn logged(
        &mut self,
        at: Moment,
        sender: ReplicaIncarnation,
        shard: u16,
        config: u32,
        (number, message): (u64, omnipaxos::messages::Message<crate::state::Batch>),
    ) {
        let ReplicaIncarnation { id: sender, incarnation } = sender;
        let behind = |replica: &Replica| replica.config < config;
        let replica = self.shards.get(usize::from(shard)).and_then(|view| view.replica.as_ref());
        if replica.is_some_and(behind) && self.touched.contains(&shard) {
            // What came with it may have decided on the members that it is from.
            self.settle_shard(at, shard);
        }
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        match &mut view.replica {
            Some(replica) if replica.config == config => {
                // One that came back with another disk does not speak for the member that it was.
                if !replica.members.contains(&sender) {
                    return self.refuse("no member");
                }
                match replica.heard((sender.front, incarnation), number, message) {
                    Heard::Taken => _ = self.touched.insert(shard),
                    Heard::Overtaken => self.refuse("overtaken"),
                    Heard::NoMember => self.refuse("no member"),
                    Heard::Absurd => {
                        self.refuse("contradicts what is decided");
                        self.fail();
                    }
                }
            }
            Some(replica) if replica.config > config => self.bring_on(at, sender, shard),
            _ => {
                // Members speak of it: it has begun.
                view.bootstrap.iter_mut().for_each(Bootstrap::set_started);
                self.is_here(at, sender.front, shard);
            }
        }
    }

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

    fn here(
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
    fn bring_on(&mut self, at: Moment, sender: ReplicaId, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let told = view.told.get(&sender.front).copied().unwrap_or(Micros::MIN);
        if at.steady.saturating_sub(told) < TOLD_AGAIN {
            return;
        }
        view.told.insert(sender.front, at.steady);
        let Some((config, members)) = view.known.clone() else { return };
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
    fn learn(&mut self, at: Moment, from: FrontId, shard: u16, config: u32, members: Vec<ReplicaId>) {
        let own = self.own;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        if config <= view.config() {
            return;
        }
        let mine = members.contains(&own);
        view.known = Some((config, members));
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
        let Some((config, members)) = view.known.clone() else { return };
        view.barred = config;
        (view.leader_since, view.repair) = (None, None);
        replica.forgotten(&mut self.records);
        self.records.push(records::meta(OLDEST, shard, &gone(config, members)));
        self.records.push(records::no_snapshot(shard));
    }

    fn begin(&mut self, at: Moment, shard: u16, config: u32, members: Vec<ReplicaId>, base: &Base) {
        let own = self.own;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        if config <= view.barred || config < view.config() || !members.contains(&own) {
            return;
        }
        let Some(begun) = state_of(base, view.learned.take(), config) else {
            view.known = Some((config, members));
            return; // it says that it is here, and is given the whole
        };
        self.open(at, shard, config, members, begun);
    }

    /// Becomes a member, with what the members have decided; lasting before anything is told of it.
    pub(crate) fn open(
        &mut self,
        at: Moment,
        shard: u16,
        config: u32,
        members: Vec<ReplicaId>,
        begun: (u64, State),
    ) {
        let own = self.own;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let preferred = view.preferred_among(&members) == Some(own.front);
        let Some(mut replica) = Replica::begin(shard, config, &members, own, preferred, begun) else {
            return;
        };
        if let Some(before) = view.replica.take() {
            before.forgotten(&mut self.records);
        }
        if view.bootstrap.take().is_some() {
            self.records.push(records::no_bootstrap(shard));
        }
        if preferred {
            replica.campaign();
        }
        replica.must_save();
        view.replica = Some(replica);
        (view.barred, view.known) = (config, Some((config, members)));
        (view.leader_since, view.repair, view.learned) = (None, None, None);
        self.tick_at = self.tick_at.min(at.steady + crate::ledger::TICK);
        self.touched.insert(shard);
    }

    /// Takes in what a shard's log has decided, and says what its members say.
    pub(crate) fn settle_shard(&mut self, at: Moment, shard: u16) {
        let wall_ms = self.wall_ms(at, shard);
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let Some(replica) = &mut view.replica else { return };
        replica.form = self.form;
        let settled = replica.settle(at.steady, wall_ms);
        for (command, outcome) in &settled.told {
            let front = command.owner.front;
            if front == self.own.front || self.transport.reads(front) >= crate::forms::TURNS {
                replica.lines.heard(at.steady, command, outcome);
            }
        }
        let turns = replica.turns(at.steady, wall_ms);
        view.leader_since = if replica.is_leader() { view.leader_since.or(Some(at.steady)) } else { None };
        if view.leader_since.is_none() {
            view.repair = None;
        }
        let messages = replica.messages();
        self.tallies.rounds += settled.rounds;
        for (to, message) in messages {
            // What would overtake a long one counts as lost instead: it is sent again once that has come.
            let ordered = matches!(message, LedgerMessage::Log { number, .. } if number > 0);
            if !ordered || !self.transport.is_busy(to, Pace::Log(shard)) {
                self.transport.send(at, to, &message, if ordered { Pace::Log(shard) } else { Pace::Fast });
            }
        }
        for (command, outcome) in settled.told {
            let (owner, number) = (command.owner, command.number);
            if owner.front != self.own.front {
                let message = LedgerMessage::Reply { incarnation: owner.incarnation, number, outcome };
                self.transport.send(at, owner.front, &message, Pace::Fast);
            } else if owner.incarnation == self.setup.incarnation {
                self.answered(None, number, outcome);
            }
        }
        for (owner, number) in turns {
            if owner.front == self.own.front {
                self.turn(owner, number);
            } else {
                let message = LedgerMessage::KeyFree { incarnation: owner.incarnation, number };
                self.transport.send(at, owner.front, &message, Pace::Fast);
            }
        }
        self.answers_sums(at, shard);
        self.hand_over(at, shard);
    }

    /// A key that this front asked for is free, and it is its turn.
    fn turn(&mut self, owner: Owner, number: u64) {
        if owner.incarnation == self.setup.incarnation && !self.asks.is_waiting(number) {
            self.done.push(Done { number, outcome: Outcome::Absent });
        }
    }

    /// Goes on under the next members, once the log has decided on them.
    fn hand_over(&mut self, at: Moment, shard: u16) {
        let own = self.own;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let Some(replica) = &view.replica else { return };
        let Some(next) = replica.state.next().map(<[ReplicaId]>::to_vec) else { return };
        let config = replica.config + 1;
        let (is_leader, before) = (replica.is_leader(), replica.members.clone());
        let moves = view.repair.is_some_and(|repair| repair.moves);
        let caught = view.repair.and_then(|repair| Some((repair.into, repair.caught?)));
        let state = replica.state.handed_over();
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
        view.known = Some((config, next.clone()));
        if next.contains(&own) {
            self.open(at, shard, config, next, (FIRST, state));
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

/// A record that says that this front is no member.
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

/// The state that a base tells, where the copy that this front has been given bears it.
fn state_of(base: &Base, learned: Option<(u32, u64, State)>, config: u32) -> Option<(u64, State)> {
    match base {
        Base::Snapshot { index, state } => Some((*index, messages::decode(state)?)),
        Base::Suffix { index, batches } => {
            let (of, at, mut state) = learned?;
            if (of.checked_add(1), at) != (Some(config), *index) {
                return None;
            }
            batches.iter().for_each(|batch| _ = state.apply(batch));
            state.next().is_some().then(|| (FIRST, state.handed_over()))
        }
    }
}
