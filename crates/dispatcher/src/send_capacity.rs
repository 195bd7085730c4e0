//! How many executions can be sent to each engine while the fleet limits new connections. Changes
//! are reported to the scheduler, so that no statement waits for a connection to one engine while
//! others have spare connections.

use std::collections::BTreeMap;

use hallmux::interface::Micros;

use crate::{Dispatcher, EngineIndex};

/// Microseconds after which the capacity of all engines is reported again, because executions that
/// were held may have been sent.
const REPORT_INTERVAL: Micros = 1_000_000;
/// The largest capacity reported for an engine; above it, connections are not scarce.
const MAX_REPORTED: usize = 64;

/// The number of executions that can be sent to each engine, as last reported to the scheduler.
#[derive(Default)]
pub struct SendCapacity {
    reported: BTreeMap<EngineIndex, usize>,
    /// When the capacity of all engines is reported again.
    next_full_report: Micros,
}

impl SendCapacity {
    /// Reports changed capacities to the scheduler; `capacity` returns the number of executions
    /// that can be sent to an engine now.
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

    /// Records that an execution was sent to an engine. The scheduler has deducted the execution
    /// from the reported capacity already, so the capacity must be reported again even if it equals
    /// the last report.
    pub fn sent(&mut self, engine_index: EngineIndex) {
        self.reported.remove(&engine_index);
    }
}
