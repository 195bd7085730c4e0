//! The connections of a simulated front: one for each execution in flight, reused when the
//! execution has ended. Idle connections are kept, as a run is shorter than the idle timeout of
//! engines.

use std::collections::{BTreeMap, HashMap};

use hallmux_dispatcher::{ConnectionPacer, Dispatcher, Ending, EngineIndex, SendCapacity};

use super::simulation::{ExecutionId, Simulation};

/// The connection pools of one front, by engine.
pub(super) struct Connections {
    pub(super) pacer: ConnectionPacer,
    idle: BTreeMap<EngineIndex, usize>,
    in_use: HashMap<ExecutionId, EngineIndex>,
    capacity: SendCapacity,
}

impl Connections {
    pub(super) fn new(paced: bool, now: i64, seed: u64) -> Connections {
        let (idle, busy, capacity) = (BTreeMap::new(), HashMap::new(), SendCapacity::default());
        Connections {
            pacer: ConnectionPacer::new(paced, now, seed),
            idle,
            in_use: busy,
            capacity,
        }
    }

    /// Reports to the dispatcher how many executions can be sent to each engine, when that changes.
    pub(super) fn update_capacity(&mut self, now: i64, dispatcher: &mut Dispatcher) {
        if !self.pacer.is_paced() {
            return;
        }
        self.capacity.report(now, dispatcher, |place| {
            self.idle.get(&place).copied().unwrap_or(0)
                + usize::from(self.pacer.next_slot_at(now, place) <= now)
        });
    }

    /// Returns the connection of an ended execution to the pool, unless it was reset.
    pub(super) fn execution_ended(&mut self, sent: ExecutionId, ending: Ending) {
        if let Some(place) = self
            .in_use
            .remove(&sent)
            .filter(|_| ending != Ending::Reset)
        {
            *self.idle.entry(place).or_default() += 1;
        }
    }

    /// Drops all connections to an engine.
    pub(super) fn drop_connections(&mut self, place: EngineIndex) {
        self.idle.remove(&place);
        self.in_use.retain(|_, at| *at != place);
    }
}

impl Simulation<'_> {
    /// Acquires a connection for an execution or a probe, opening one if the pacer allows; returns
    /// whether there is one.
    pub(super) fn acquire_connection(
        &mut self,
        n: usize,
        place: EngineIndex,
        sent: Option<ExecutionId>,
    ) -> bool {
        let local_time = self.local_time(n);
        let Some(running) = &mut self.members[n].running else {
            return false;
        };
        let connections = &mut running.connections;
        connections.capacity.sent(place);
        let idle = connections.idle.entry(place).or_default();
        let opens = *idle == 0;
        if opens && !connections.pacer.try_take_slot(local_time, place) {
            return false;
        }
        match sent {
            Some(sent) => {
                *idle = idle.saturating_sub(1);
                connections.in_use.insert(sent, place);
            }
            None => *idle = (*idle).max(1),
        }
        if opens {
            self.record_traffic((n, place), (0, 0, 1));
        }
        true
    }
}
