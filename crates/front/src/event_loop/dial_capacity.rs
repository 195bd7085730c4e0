//! Where the fleet has a budget of new connections: how many executions can leave for each engine.

use super::EventLoopState;

impl EventLoopState {
    /// Reports to the dispatcher how many executions can leave for each engine.
    pub(super) fn report_dial_capacity(&mut self) {
        if !self.engines.dials.borrow().is_paced() {
            return;
        }
        let (now, engines, gateway) = (self.clock.now, &self.engines, &mut self.gateway);
        self.send_capacity
            .report(now, &mut self.dispatcher, |place| {
                let sessions = gateway
                    .as_mut()
                    .map_or(0, |gateway| gateway.servers().capacity(now, place));
                engines.capacity(now, place) + sessions
            });
    }
}
