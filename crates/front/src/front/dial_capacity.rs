//! Where the fleet has a budget of new connections: when this front may make one, and how many executions can leave.

use std::cell::RefCell;
use std::rc::Rc;

use hallmux_config::NodeConfig;
use hallmux_dispatcher::{ConnectionPacer, Micros};

use super::Front;

/// When this front may dial which engine, for both protocols.
pub type Pacer = Rc<RefCell<ConnectionPacer>>;

pub fn pacer(config: &NodeConfig, now: Micros) -> Pacer {
    let paced = config.settings.agreement.budgets.is_some();
    Rc::new(RefCell::new(ConnectionPacer::new(paced, now, config.seed)))
}

impl Front {
    /// Reports to the dispatcher how many executions can leave for each engine.
    pub(super) fn report_dial_capacity(&mut self) {
        if !self.engines.dials.borrow().is_paced() {
            return;
        }
        let (now, engines, gateway) = (self.clock.now, &self.engines, &mut self.gateway);
        self.rooms.report(now, &mut self.dispatcher, |place| {
            let sessions = gateway
                .as_mut()
                .map_or(0, |gateway| gateway.servers().capacity(now, place));
            engines.capacity(now, place) + sessions
        });
    }
}
