//! The connections of a simulated front: one for each execution that is out, as the rig's engines take them, used again
//! when it has ended. Those that rest are kept: a run is shorter than engines let them rest.

use std::collections::{BTreeMap, HashMap};

use hallmux_dispatcher::{ConnectionPacer, Dispatcher, Ending, EngineIndex, SendCapacity};

use super::simulation::{Sent, Simulation};

pub(super) struct Connections {
    pub(super) pacer: ConnectionPacer,
    idle: BTreeMap<EngineIndex, usize>,
    busy: HashMap<Sent, EngineIndex>,
    capacity: SendCapacity,
}

impl Connections {
    pub(super) fn new(paced: bool, now: i64, seed: u64) -> Connections {
        let (idle, busy, capacity) = (BTreeMap::new(), HashMap::new(), SendCapacity::default());
        Connections {
            pacer: ConnectionPacer::new(paced, now, seed),
            idle,
            busy,
            capacity,
        }
    }

    /// Tells the module how many executions can leave for each engine, as it changes.
    pub(super) fn tell(&mut self, now: i64, dispatcher: &mut Dispatcher) {
        if !self.pacer.is_paced() {
            return;
        }
        self.capacity.report(now, dispatcher, |place| {
            self.idle.get(&place).copied().unwrap_or(0)
                + usize::from(self.pacer.next_slot_at(now, place) <= now)
        });
    }

    /// An execution has ended; its connection is used again, unless it is gone.
    pub(super) fn ended(&mut self, sent: Sent, ending: Ending) {
        if let Some(place) = self.busy.remove(&sent).filter(|_| ending != Ending::Reset) {
            *self.idle.entry(place).or_default() += 1;
        }
    }

    /// All connections to an engine are gone.
    pub(super) fn lost(&mut self, place: EngineIndex) {
        self.idle.remove(&place);
        self.busy.retain(|_, at| *at != place);
    }
}

impl Simulation<'_> {
    /// Whether an execution, or a probe, has a connection to its engine, which may be made for it.
    pub(super) fn reaches(&mut self, n: usize, place: EngineIndex, sent: Option<Sent>) -> bool {
        let own = self.own(n);
        let Some(life) = &mut self.members[n].life else {
            return false;
        };
        let connections = &mut life.connections;
        connections.capacity.sent(place);
        let idle = connections.idle.entry(place).or_default();
        let opens = *idle == 0;
        if opens && !connections.pacer.try_take_slot(own, place) {
            return false;
        }
        match sent {
            Some(sent) => {
                *idle = idle.saturating_sub(1);
                connections.busy.insert(sent, place);
            }
            None => *idle = (*idle).max(1),
        }
        if opens {
            self.relays((n, place), (0, 0, 1));
        }
        true
    }
}
