//! Where the fleet has a budget of new connections: when this front may make one, and how many executions can leave.

use std::cell::RefCell;
use std::rc::Rc;

use hallmux_agreement::Station;
use hallmux_dispatcher::{ConnectionPacer, Micros};

use super::Front;

/// When this front may dial which engine, for both protocols.
pub type Pacer = Rc<RefCell<ConnectionPacer>>;

pub fn pacer(station: &Station, now: Micros) -> Pacer {
    let paced = station.contract.agreement.budgets.is_some();
    Rc::new(RefCell::new(ConnectionPacer::new(paced, now, station.seed)))
}

impl Front {
    /// Tells the module how many executions can leave for each engine.
    pub(super) fn tell_rooms(&mut self) {
        if !self.engines.dials.borrow().is_paced() {
            return;
        }
        let (now, engines, portal) = (self.clock.now, &self.engines, &mut self.portal);
        self.rooms.report(now, &mut self.dispatcher, |place| {
            let sessions = portal.as_mut().map_or(0, |portal| portal.servers().room(now, place));
            engines.room(now, place) + sessions
        });
    }
}
