//! The number of executions that can be sent to each engine while the fleet has a budget of new connections.

use super::EventLoopState;

impl EventLoopState {
    /// Reports to the dispatcher how many executions can be sent to each engine. Does nothing if new connections are
    /// not limited.
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
