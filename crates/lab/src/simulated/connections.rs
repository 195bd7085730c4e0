//! The connections of a simulated front: one for each execution that is out, as the rig's engines take them, used again
//! when it has ended. Those that rest are kept: a run is shorter than engines let them rest.

use std::collections::{BTreeMap, HashMap};

use hallmux_dispatcher::{Dials, Dispatcher, Ending, Place};

use super::play::{Play, Sent};

const TOLD_AGAIN: i64 = 1_000_000; // microseconds, as in the front

pub(super) struct Connections {
    pub(super) dials: Dials,
    idle: BTreeMap<Place, usize>,
    busy: HashMap<Sent, Place>,
    told: BTreeMap<Place, usize>,
    again: i64,
}

impl Connections {
    pub(super) fn new(paced: bool, now: i64, seed: u64) -> Connections {
        let (idle, busy, told) = (BTreeMap::new(), HashMap::new(), BTreeMap::new());
        Connections { dials: Dials::new(paced, now, seed), idle, busy, told, again: 0 }
    }

    /// Tells the module how many executions can leave for each engine, as it changes.
    pub(super) fn tell(&mut self, now: i64, dispatcher: &mut Dispatcher) {
        if !self.dials.is_paced() {
            return;
        }
        if self.again <= now {
            self.again = now + TOLD_AGAIN;
            self.told.clear();
        }
        for place in dispatcher.places() {
            let idle = self.idle.get(&place).copied().unwrap_or(0);
            let room = idle + usize::from(self.dials.next(now, place) <= now);
            if self.told.insert(place, room) != Some(room) {
                dispatcher.has_room(place, room);
            }
        }
    }

    /// An execution has ended; its connection is used again, unless it is gone.
    pub(super) fn ended(&mut self, sent: Sent, ending: Ending) {
        if let Some(place) = self.busy.remove(&sent).filter(|_| ending != Ending::Reset) {
            *self.idle.entry(place).or_default() += 1;
        }
    }

    /// All connections to an engine are gone.
    pub(super) fn lost(&mut self, place: Place) {
        self.idle.remove(&place);
        self.busy.retain(|_, at| *at != place);
    }
}

impl Play<'_> {
    /// Whether an execution, or a probe, has a connection to its engine, which may be made for it.
    pub(super) fn reaches(&mut self, n: usize, place: Place, sent: Option<Sent>) -> bool {
        let own = self.own(n);
        let Some(life) = &mut self.members[n].life else { return false };
        let connections = &mut life.connections;
        connections.told.remove(&place);
        let idle = connections.idle.entry(place).or_default();
        let dials = *idle == 0;
        if dials && !connections.dials.take(own, place) {
            return false;
        }
        match sent {
            Some(sent) => {
                *idle = idle.saturating_sub(1);
                connections.busy.insert(sent, place);
            }
            None => *idle = (*idle).max(1),
        }
        if dials {
            self.relays((n, place), (0, 0, 1));
        }
        true
    }
}
