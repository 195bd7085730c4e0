//! Where the fleet has a budget of new connections: how many executions can leave for each engine, told to the module
//! as it changes, so that no statement waits for a connection to one engine while others have one to spare.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use hallmux_agreement::Station;
use hallmux_dispatcher::{Dials, Micros, Place};

use super::Front;

const TOLD_AGAIN: Micros = 1_000_000; // microseconds after which all is told anew: what was held here may have left
const MOST_TOLD: usize = 64; // beyond it a front lacks no connections, and the module need not know how many

/// When this front may dial which engine, for both protocols.
pub type Pacer = Rc<RefCell<Dials>>;

/// What the module was told last.
#[derive(Default)]
pub struct Rooms {
    told: BTreeMap<Place, usize>,
    again: Micros,
}

pub fn pacer(station: &Station, now: Micros) -> Pacer {
    let paced = station.contract.agreement.budgets.is_some();
    Rc::new(RefCell::new(Dials::new(paced, now, station.seed)))
}

impl Front {
    /// Tells the module what has changed.
    pub(super) fn tell_rooms(&mut self) {
        let now = self.clock.now;
        if !self.engines.dials.borrow().is_paced() {
            return;
        }
        if self.rooms.again <= now {
            self.rooms.again = now + TOLD_AGAIN;
            self.rooms.told.clear();
        }
        for place in self.dispatcher.places() {
            let sessions = self.portal.as_mut().map_or(0, |portal| portal.servers().room(now, place));
            let room = (self.engines.room(now, place) + sessions).min(MOST_TOLD);
            if self.rooms.told.insert(place, room) != Some(room) {
                self.dispatcher.has_room(place, room);
            }
        }
    }

    /// An execution has left for an engine: the module has counted it, and is told anew.
    pub(super) fn took_room(&mut self, place: Place) {
        self.rooms.told.remove(&place);
    }
}
