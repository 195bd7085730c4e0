//! Where the fleet has a budget of new connections: how many executions can leave for each engine. It is reported to
//! the module as it changes, so that no statement waits for a connection to one engine while others have one to spare.

use std::collections::BTreeMap;

use hallmux::interface::Micros;

use crate::{Dispatcher, EngineIndex};

/// Microseconds after which all is reported anew: what was held here may have left.
const REPORT_INTERVAL: Micros = 1_000_000;
/// Executions for one engine beyond which a front lacks no connections.
const MAX_REPORTED: usize = 64;

/// The executions that can leave for each engine, as last reported to the module.
#[derive(Default)]
pub struct SendCapacity {
    reported: BTreeMap<EngineIndex, usize>,
    /// When all is reported anew.
    next_full_report: Micros,
}

impl SendCapacity {
    /// Reports to the module what has changed; `capacity` gives the executions that can leave for an engine
    /// now.
    pub fn report(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        mut capacity: impl FnMut(EngineIndex) -> usize,
    ) {
        if self.next_full_report <= now {
            self.next_full_report = now + REPORT_INTERVAL;
            self.reported.clear();
        }
        for engine_index in dispatcher.ready_engines() {
            let executions = capacity(engine_index).min(MAX_REPORTED);
            if self.reported.insert(engine_index, executions) != Some(executions) {
                dispatcher.set_send_capacity(engine_index, executions);
            }
        }
    }

    /// An execution has left for an engine: the module has counted it, so the capacity is reported anew.
    pub fn sent(&mut self, engine_index: EngineIndex) {
        self.reported.remove(&engine_index);
    }
}
