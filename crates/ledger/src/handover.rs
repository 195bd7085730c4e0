//! A front that leaves hands over what it owns before it goes: it names an heir, which takes over the log at once with
//! a ballot of its own, as after an election but without the wait for one. What waits here is asked again there.

use crate::ledger::Ledger;
use crate::post::Pace;
use crate::repair::Peer;
use crate::words::Word;
use crate::{FrontId, Micros, Moment};

const AGAIN: Micros = 150_000; // microseconds until another is named: some round trips and a sync
const FRESH: Micros = 1_000_000; // microseconds since a member was heard for it to be an heir: three heartbeats

/// A front that is to end.
pub(crate) struct Leaving {
    look_at: Micros,
    turn: usize,
}

impl Ledger {
    /// This front is to end: it owns nothing from now on that another can own.
    pub fn goes(&mut self, at: Moment) {
        if self.leaving.is_none() {
            self.leaving = Some(Leaving { look_at: at.steady, turn: 0 });
            self.hand_on(at);
            self.settle(at);
        }
    }

    /// Whether it still owns what others could own.
    pub fn hands_over(&self) -> bool {
        let more = |place: &&crate::ledger::Place| place.keepers().len() > 1;
        let owned = self.places.iter().filter_map(|place| place.replica.as_ref().zip(Some(place)));
        owned.filter(|(_, place)| more(place)).any(|(replica, _)| replica.leads())
    }

    pub(crate) fn hand_on(&mut self, at: Moment) {
        let now = at.steady;
        let Some(leaving) = self.leaving.as_mut().filter(|leaving| leaving.look_at <= now) else { return };
        leaving.look_at = now + AGAIN;
        let turn = leaving.turn;
        leaving.turn += 1;
        for place in &self.places {
            let Some(replica) = place.replica.as_ref().filter(|replica| replica.leads()) else { continue };
            let fresh = |peer: &Peer| peer.disk != 0 && now - peer.at < FRESH;
            let here = |front: &FrontId| self.peers.get(front).is_some_and(fresh);
            let others = replica.keepers.iter().map(|keeper| keeper.front);
            let mut heirs: Vec<FrontId> = others
                .filter(|front| *front != self.own.front && here(front) && !self.away.is_away(*front))
                .filter(|front| self.post.reads(*front) >= 2)
                .collect();
            // Who is wanted most first; the next where that one does not take it, as it may leave itself.
            heirs.sort_by_key(|front| place.wanted.iter().position(|wanted| wanted == front));
            let Some(heir) = heirs.get(turn % heirs.len().max(1)) else { continue };
            let word = Word::Heir { shard: replica.shard, config: replica.config };
            self.post.say(at, *heir, &word, Pace::Quick);
        }
    }

    /// The owner of a shard leaves it to this front.
    pub(crate) fn inherits(&mut self, from: FrontId, shard: u16, config: u32) {
        if self.leaving.is_some() {
            return;
        }
        let place = self.places.get_mut(usize::from(shard));
        let replica = place.and_then(|place| place.replica.as_mut());
        if let Some(replica) = replica.filter(|r| r.config == config && r.owner() == Some(from)) {
            replica.takes_over();
            self.tallies.inherited += 1;
            self.touched.insert(shard);
        }
    }

    /// When it next looks whether all is handed over.
    pub(crate) fn hands_on_at(&self) -> Micros {
        self.leaving.as_ref().map_or(Micros::MAX, |leaving| leaving.look_at)
    }
}
