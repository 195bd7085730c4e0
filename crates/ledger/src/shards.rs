//! What comes in of shards, how their members change, and how missing copies are made again.

use crate::birth::{Birth, Next};
use crate::ledger::{state_of, Ledger};
use crate::post::Pace;
use crate::records::{self, Meta};
use crate::repair::{missing, spare, Peer, Repair};
use crate::replica::{Replica, FIRST};
use crate::state::{Keeper, Limits, State};
use crate::words::{self, Base, Born, Word};
use crate::{FrontId, Micros, Moment};

const LOOK: Micros = 250_000; // microseconds between looks at who is missing, and between words of one that waits
const TOLD_AGAIN: Micros = 500_000; // microseconds until a member that is behind is told again

impl Ledger {
    /// A letter of a front has come, whose signature holds.
    pub fn heard(&mut self, at: Moment, from: FrontId, bytes: &[u8]) {
        if from == self.own.front {
            return self.refuse("own");
        }
        let (letter, words) = match self.post.heard(at, from, bytes) {
            Ok(heard) => heard,
            Err(why) => return self.refuse(why),
        };
        let silent = |peer: &Peer| at.steady - peer.at >= self.setup.repair_after;
        let before = self.peers.get(&from).filter(|peer| !silent(peer));
        if before.is_some_and(|peer| peer.incarnation > letter.incarnation) {
            return self.refuse("earlier life");
        }
        let (incarnation, disk, wall_ms) = (letter.incarnation, letter.disk, letter.wall_ms);
        self.peers.insert(from, Peer { at: at.steady, incarnation, disk, wall_ms });
        for word in words {
            self.word(at, Born { keeper: Keeper { front: from, disk }, incarnation }, word);
        }
        self.settle(at);
    }

    fn word(&mut self, at: Moment, sender: Born, word: Word) {
        let from = sender.keeper.front;
        match word {
            Word::Log { shard, config, message } => self.logged(at, sender.keeper, shard, config, *message),
            Word::Ask { shard, command } => {
                self.touched.insert(shard);
                self.asked(at, from, shard, command);
            }
            Word::Told { incarnation, number, outcome } if incarnation == self.setup.incarnation => {
                self.answered(Some(from), number, outcome);
            }
            Word::Elsewhere { incarnation, number, owner, .. } if incarnation == self.setup.incarnation => {
                self.elsewhere(at, from, number, owner);
            }
            Word::Told { .. } | Word::Elsewhere { .. } => {}
            Word::Here { shard, config, with } => self.here(at, sender, shard, config, &with),
            Word::Members { shard, config, keepers } => self.learn(at, from, shard, config, keepers),
            Word::Offer { shard } => self.is_here(at, from, shard),
            Word::Copy { shard, config, index, state } => {
                let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
                let state =
                    words::read::<State>(&state).filter(|_| place.replica.is_none() && self.own.disk != 0);
                if let Some(state) = state {
                    place.learned = Some((config, index, state));
                    self.post.say(at, from, &Word::Caught { shard, config, index }, Pace::Quick);
                }
            }
            Word::Caught { shard, config, index } => {
                let place = self.places.get_mut(usize::from(shard));
                let repair = place.and_then(|place| place.repair.as_mut());
                if let Some(repair) = repair.filter(|r| r.into == sender.keeper && r.config == config) {
                    repair.caught = Some(index);
                }
            }
            Word::Begin { shard, config, keepers, base } => self.begin(at, shard, config, keepers, &base),
        }
    }

    fn logged(
        &mut self,
        at: Moment,
        sender: Keeper,
        shard: u16,
        config: u32,
        message: omnipaxos::messages::Message<crate::state::Batch>,
    ) {
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        match &mut place.replica {
            Some(replica) if replica.config == config => {
                // One that came back with another disk does not speak for the member that it was.
                if !replica.keepers.contains(&sender) || !replica.heard(sender.front, message) {
                    return self.refuse("no member");
                }
                self.touched.insert(shard);
            }
            Some(replica) if replica.config > config => self.bring_on(at, sender, shard),
            _ => self.is_here(at, sender.front, shard),
        }
    }

    /// This front does not keep the shard as the receiver does: it says what it knows, with the disk that it has.
    fn is_here(&mut self, at: Moment, to: FrontId, shard: u16) {
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        let told = place.told.get(&to).copied().unwrap_or(Micros::MIN);
        if self.own.disk == 0 || at.steady.saturating_sub(told) < LOOK {
            return;
        }
        place.told.insert(to, at.steady);
        let with = place.birth.as_ref().map(|birth| birth.agreed().to_vec()).unwrap_or_default();
        let config = place.replica.as_ref().map_or(0, |replica| replica.config);
        self.post.say(at, to, &Word::Here { shard, config, with }, Pace::Quick);
    }

    fn here(&mut self, at: Moment, sender: Born, shard: u16, config: u32, with: &[Born]) {
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        if let Some(birth) = &mut place.birth {
            birth.heard(sender, with);
            self.born(at, shard);
        } else if config < place.config() {
            self.bring_on(at, sender.keeper, shard);
        }
    }

    /// Another is behind: it is told who the members are, and what to begin with where it is one of them.
    fn bring_on(&mut self, at: Moment, sender: Keeper, shard: u16) {
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        let told = place.told.get(&sender.front).copied().unwrap_or(Micros::MIN);
        if at.steady.saturating_sub(told) < TOLD_AGAIN {
            return;
        }
        place.told.insert(sender.front, at.steady);
        let Some((config, keepers)) = place.known.clone() else { return };
        let word = match &place.replica {
            Some(replica) if keepers.contains(&sender) && replica.config == config => {
                if self.post.is_busy(sender.front, Pace::Quick) {
                    return;
                }
                let base = Base::Whole { index: replica.applied(), state: words::bytes(&replica.state) };
                Word::Begin { shard, config, keepers, base }
            }
            _ => Word::Members { shard, config, keepers },
        };
        self.post.say(at, sender.front, &word, Pace::Quick);
    }

    /// Another says who keeps the shard.
    fn learn(&mut self, at: Moment, from: FrontId, shard: u16, config: u32, keepers: Vec<Keeper>) {
        let own = self.own;
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        if config <= place.config() {
            return;
        }
        let mine = keepers.contains(&own);
        place.known = Some((config, keepers));
        if mine {
            self.is_here(at, from, shard);
        } else {
            self.leave(shard);
        }
    }

    /// This front is no member any more, whatever it hears later of earlier ones.
    fn leave(&mut self, shard: u16) {
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        let Some(replica) = place.replica.take() else { return };
        let Some((config, keepers)) = place.known.clone() else { return };
        place.barred = config;
        (place.leads, place.repair) = (None, None);
        replica.forgotten(&mut self.records);
        self.records.push(records::meta(shard, &gone(config, keepers)));
        self.records.push(records::no_snapshot(shard));
    }

    fn begin(&mut self, at: Moment, shard: u16, config: u32, keepers: Vec<Keeper>, base: &Base) {
        let own = self.own;
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        if config <= place.barred || config < place.config() || !keepers.contains(&own) {
            return;
        }
        let Some(begun) = state_of(base, place.learned.take(), config) else {
            place.known = Some((config, keepers));
            return; // it says that it is here, and is given the whole
        };
        self.open(at, shard, config, keepers, begun);
    }

    /// Becomes a member, with what the members have decided; lasting before anything is told of it.
    fn open(&mut self, at: Moment, shard: u16, config: u32, keepers: Vec<Keeper>, begun: (u64, State)) {
        let own = self.own;
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        let first = place.ranked.first() == Some(&own.front);
        let Some(mut replica) = Replica::begin(shard, config, &keepers, own, first, begun) else { return };
        if let Some(before) = place.replica.take() {
            before.forgotten(&mut self.records);
        }
        if place.birth.take().is_some() {
            self.records.push(records::no_birth(shard));
        }
        replica.must_save();
        place.replica = Some(replica);
        (place.barred, place.known) = (config, Some((config, keepers)));
        (place.leads, place.repair, place.learned) = (None, None, None);
        self.tick_at = self.tick_at.min(at.steady + crate::ledger::TICK);
        self.touched.insert(shard);
    }

    /// Shards that this front is to keep, and knows nothing of: they have yet to begin, or it has lost its disk.
    pub(crate) fn conceive(&mut self) {
        let (own, copies) = (self.own.front, self.setup.copies);
        for place in &mut self.places {
            let placed = place.ranked.iter().take(copies).any(|front| *front == own);
            if placed && place.replica.is_none() && place.barred == 0 && place.birth.is_none() {
                place.birth = Some(Birth::default());
            }
        }
    }

    fn born(&mut self, at: Moment, shard: u16) {
        let own = Born { keeper: self.own, incarnation: self.post.incarnation };
        let copies = self.setup.copies;
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        let placed: Vec<FrontId> = place.ranked.iter().take(copies).copied().collect();
        let Some(birth) = &mut place.birth else { return };
        match birth.next(own, &placed) {
            Next::Waits => {}
            Next::Agree(with) => {
                self.records.push(records::birth(shard, &with));
                place.told.clear();
                placed.iter().filter(|front| **front != own.keeper.front).for_each(|to| {
                    let word = Word::Here { shard, config: 0, with: with.clone() };
                    self.post.say(at, *to, &word, Pace::Quick);
                });
                if placed.len() == 1 {
                    self.born(at, shard);
                }
            }
            Next::Begin(keepers) => {
                // The others begin once they hear that this one has agreed, which it says once more.
                let with = birth.agreed().to_vec();
                for to in placed.iter().filter(|front| **front != own.keeper.front) {
                    let word = Word::Here { shard, config: 0, with: with.clone() };
                    self.post.say(at, *to, &word, Pace::Quick);
                }
                let state = State::new(Limits::of(&self.setup));
                self.open(at, shard, 1, keepers, (FIRST, state));
            }
        }
    }

    /// Looks at what has to be done without a word of others.
    pub(crate) fn look(&mut self, at: Moment) {
        if at.steady < self.look_at {
            return;
        }
        self.look_at = at.steady + LOOK;
        for shard in 0..self.setup.shards {
            let Some(place) = self.places.get(usize::from(shard)) else { continue };
            if place.birth.is_some() {
                let placed = place.ranked.iter().take(self.setup.copies).copied();
                let members = place.keepers().iter().map(|keeper| keeper.front);
                let others: Vec<FrontId> = placed.chain(members).filter(|to| *to != self.own.front).collect();
                others.into_iter().for_each(|to| self.is_here(at, to, shard));
                self.born(at, shard);
            } else if place.replica.as_ref().is_some_and(Replica::leads) {
                self.mend(at, shard);
            }
        }
    }

    /// Sees to a missing copy of a shard that this front owns.
    fn mend(&mut self, at: Moment, shard: u16) {
        let now = at.steady;
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        let (Some(replica), Some(since)) = (&mut place.replica, place.leads) else { return };
        let peer = |front: FrontId| self.peers.get(&front).copied();
        let (config, own) = (replica.config, self.own.front);
        if let Some(repair) = place.repair {
            let into = peer(repair.into.front);
            if repair.is_over(now, config, into.as_ref()) {
                place.repair = None;
            } else if repair.caught.is_some() && replica.change(at.wall_ms, repair.next(&replica.keepers)) {
                self.touched.insert(shard);
            }
            return;
        }
        let Some((out, back)) = missing(now, since, self.setup.repair_after, &replica.keepers, own, peer)
        else {
            return;
        };
        let into = back.or_else(|| spare(now, &place.ranked, &replica.keepers, peer));
        let Some(into) = into else {
            // Who could take its place says so, if it is there.
            let kept = |front: &FrontId| replica.keepers.iter().any(|keeper| keeper.front == *front);
            let free: Vec<FrontId> = place.ranked.iter().filter(|front| !kept(front)).copied().collect();
            let turn = (now / LOOK) as usize;
            for to in (0..free.len().min(2)).filter_map(|n| free.get((turn * 2 + n) % free.len())) {
                self.post.say(at, *to, &Word::Offer { shard }, Pace::Quick);
            }
            return;
        };
        let (index, bytes) = (replica.applied(), replica.state.bytes());
        let state = words::bytes(&replica.state);
        place.repair = Some(Repair::new(now, out, into, config, bytes, self.setup.repair_bytes));
        self.post.say(at, into.front, &Word::Copy { shard, config, index, state }, Pace::Repair);
    }

    /// Takes in what a shard's log has decided, and says what its members say.
    pub(crate) fn settle_shard(&mut self, at: Moment, shard: u16) {
        let wall_ms = self.wall_ms(at, shard);
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        let Some(replica) = &mut place.replica else { return };
        let settled = replica.settle(at.steady, wall_ms);
        place.leads = if replica.leads() { place.leads.or(Some(at.steady)) } else { None };
        if place.leads.is_none() {
            place.repair = None;
        }
        let words = replica.messages();
        self.tallies.rounds += settled.rounds;
        for (to, word) in words {
            self.post.say(at, to, &word, Pace::Quick);
        }
        for (command, outcome) in settled.told {
            let (owner, number) = (command.owner, command.number);
            if owner.front != self.own.front {
                let word = Word::Told { incarnation: owner.incarnation, number, outcome };
                self.post.say(at, owner.front, &word, Pace::Quick);
            } else if owner.incarnation == self.setup.incarnation {
                self.answered(None, number, outcome);
            }
        }
        self.hand_over(at, shard);
    }

    /// Goes on under the next members, once the log has decided on them.
    fn hand_over(&mut self, at: Moment, shard: u16) {
        let own = self.own;
        let Some(place) = self.places.get_mut(usize::from(shard)) else { return };
        let Some(replica) = &place.replica else { return };
        let Some(next) = replica.state.next().map(<[Keeper]>::to_vec) else { return };
        let config = replica.config + 1;
        let (leads, before) = (replica.leads(), replica.keepers.clone());
        let caught = place.repair.and_then(|repair| Some((repair.into, repair.caught?)));
        let state = replica.state.handed_over();
        if leads {
            for to in next.iter().filter(|keeper| **keeper != own && !before.contains(keeper)) {
                let index = caught.filter(|(into, _)| into == to).map_or(0, |(_, index)| index);
                let base = replica.base_after(index);
                let word = Word::Begin { shard, config, keepers: next.clone(), base };
                self.post.say(at, to.front, &word, Pace::Quick);
                self.tallies.repaired += 1;
            }
            let stay = |front: &FrontId| next.iter().any(|keeper| keeper.front == *front);
            let told = place.ranked.iter().take(self.setup.copies).copied();
            let told = told.chain(before.iter().map(|keeper| keeper.front)).filter(|front| !stay(front));
            for to in told.filter(|to| *to != own.front) {
                let word = Word::Members { shard, config, keepers: next.clone() };
                self.post.say(at, to, &word, Pace::Quick);
            }
        }
        place.known = Some((config, next.clone()));
        if next.contains(&own) {
            self.open(at, shard, config, next, (FIRST, state));
        } else {
            self.leave(shard);
        }
    }

    /// The time that goes with a round: the middle one of the members' Unix clocks, so that one that is far off ends
    /// no entry of others.
    fn wall_ms(&self, at: Moment, shard: u16) -> u64 {
        let keepers = self.places.get(usize::from(shard)).map_or(&[][..], |place| place.keepers());
        let others = keepers.iter().filter(|keeper| keeper.front != self.own.front);
        let now = |peer: &Peer| peer.wall_ms + ((at.steady - peer.at).max(0) / 1_000) as u64;
        let mut walls: Vec<u64> = others.filter_map(|k| self.peers.get(&k.front)).map(now).collect();
        walls.push(at.wall_ms);
        walls.sort_unstable();
        walls[(walls.len() - 1) / 2]
    }
}

/// A record that says that this front is no member.
fn gone(config: u32, keepers: Vec<Keeper>) -> Meta {
    Meta {
        config,
        keepers,
        mine: false,
        promise: None,
        accepted_round: None,
        decided: 0,
        compacted: 0,
        end: 0,
    }
}
