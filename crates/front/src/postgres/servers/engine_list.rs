//! Changes of the engine list: engines that are added, changed, drained or removed.

use hallmux_dispatcher::{Ending, EngineIndex};

use super::{EngineEntry, Event, Server, Servers, Stage};
use crate::execution::ExecutionId;
use crate::listed_engine::ListedEngine;
use crate::postgres::ids::ServerId;

impl Servers {
    /// Adds an engine of the list or updates its address, start and availability.
    pub fn update_engine(&mut self, engine_index: EngineIndex, listed: ListedEngine) {
        let ListedEngine {
            id,
            address,
            started_ms: started,
            available: up,
        } = listed;
        let known = self.engines.get(&engine_index);
        let same = known.is_some_and(|engine| {
            engine.id == id && engine.address == address && engine.started == started
        });
        let failing = same && known.is_some_and(|engine| engine.failing);
        let (last_reply, last_ping) = known
            .filter(|_| same)
            .map_or((0, 0), |engine| (engine.last_reply, engine.last_ping));
        if known.is_some() && (!same || !up) {
            self.retire(engine_index);
        }
        let id = id.to_string();
        self.engines.insert(
            engine_index,
            EngineEntry {
                id,
                address,
                started,
                up,
                failing,
                last_reply,
                last_ping,
            },
        );
    }

    /// Retires the engines that a complete list does not name.
    pub fn retire_unlisted(&mut self, listed: &[EngineIndex]) {
        let engine_indexes: Vec<EngineIndex> = self
            .engines
            .keys()
            .copied()
            .filter(|p| !listed.contains(p))
            .collect();
        engine_indexes
            .into_iter()
            .for_each(|engine_index| self.retire(engine_index));
    }

    /// Stops sending to an engine. Executions that were not sent yet are withdrawn and idle
    /// transactions there are lost; executions in flight may still be answered.
    pub fn retire(&mut self, engine_index: EngineIndex) {
        if let Some(engine) = self.engines.get_mut(&engine_index) {
            engine.up = false;
        }
        let (waited, idle) = self.pools.retire_engine(engine_index);
        waited
            .into_iter()
            .for_each(|execution_id| self.report_end(execution_id, Ending::Withdrawn));
        idle.into_iter().for_each(|id| self.close(id));
        // Executions whose settings are still being transferred were not sent either.
        let setting = |(id, server): (&ServerId, &Server)| {
            (server.engine_index == engine_index && server.engine.is_applying_settings())
                .then_some((*id, server.serving))
        };
        let setting: Vec<(ServerId, Option<ExecutionId>)> =
            self.connections.iter().filter_map(setting).collect();
        for (id, waits) in setting {
            self.close(id);
            waits
                .into_iter()
                .for_each(|execution_id| self.report_end(execution_id, Ending::Withdrawn));
        }
        let held = |(id, server): (&ServerId, &Server)| {
            let idle = match server
                .serving
                .and_then(|execution_id| self.executions.get(&execution_id))
            {
                Some(execution) => execution.stage == Stage::Waiting,
                None => true,
            };
            (server.engine_index == engine_index && server.transaction_of.is_some() && idle)
                .then_some(*id)
        };
        let held: Vec<ServerId> = self.connections.iter().filter_map(held).collect();
        for id in held {
            let server = self.connections.get(&id);
            let (session, waits) = server.map_or((None, None), |server| {
                (server.transaction_of, server.serving)
            });
            self.close(id);
            waits
                .into_iter()
                .for_each(|execution_id| self.report_end(execution_id, Ending::Withdrawn));
            self.events
                .extend(session.map(|session| Event::TransactionLost { session }));
        }
    }
}
