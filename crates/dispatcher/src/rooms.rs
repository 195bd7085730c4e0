//! Where the fleet has a budget of new connections: how many executions can leave for each engine, told to
//! the module as it changes, so that no statement waits for a connection to one engine while others have one
//! to spare.

use std::collections::BTreeMap;

use hallmux::interface::Micros;

use crate::{Dispatcher, Place};

const TOLD_AGAIN: Micros = 1_000_000; // microseconds after which all is told anew: what was held here may have left
const MOST_TOLD: usize = 64; // beyond it a front lacks no connections, and the module need not know how many

/// What the module was told last.
#[derive(Default)]
pub struct Rooms {
    told: BTreeMap<Place, usize>,
    again: Micros,
}

impl Rooms {
    /// Tells the module what has changed.
    pub fn tell(&mut self, now: Micros, dispatcher: &mut Dispatcher, mut room: impl FnMut(Place) -> usize) {
        if self.again <= now {
            self.again = now + TOLD_AGAIN;
            self.told.clear();
        }
        for place in dispatcher.places() {
            let room = room(place).min(MOST_TOLD);
            if self.told.insert(place, room) != Some(room) {
                dispatcher.has_room(place, room);
            }
        }
    }

    /// An execution has left for an engine: the module has counted it, and is told anew.
    pub fn took(&mut self, place: Place) {
        self.told.remove(&place);
    }
}
