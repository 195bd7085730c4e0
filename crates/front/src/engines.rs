//! Connections to query engines: executions out, answers put together from their pages.

mod cancels;
mod capacity;
mod connection;
mod execution;
mod pending_cancel;
mod replies;
mod result_pages;
mod send;
mod timeouts;
mod writes;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use calloop::LoopHandle;
use hallmux_config::{Names, NetworkSettings};
use hallmux_dispatcher::{Ending, EngineIndex, Micros, ProgressReport, Ticket};

use crate::dial_pacer::{self, DialPacer};
use crate::events::LoopEvents;
use crate::execution::ExecutionId;
use crate::listed_engine::ListedEngine;
use crate::reuse::Reuse;
use connection::{ConnectionId, EngineConnection};
use execution::{Execution, Stage};
use pending_cancel::PendingCancel;

/// Descriptors that are neither clients' nor engines'; the rest is for engines.
const RESERVED_DESCRIPTORS: usize = 32;
/// Microseconds by which an idle connection is closed before its engine would close it.
const IDLE_MARGIN: Micros = 1_000_000;

/// What engines have answered, and how executions have ended.
pub enum Event {
    /// An execution is over.
    ExecutionEnded {
        execution_id: ExecutionId,
        ending: Ending,
        /// The engine's load report, where one came with the answer.
        report: Option<Vec<f64>>,
        /// The rows; empty unless it was answered.
        result: Vec<u8>,
    },
    /// An execution goes on.
    Progress {
        execution_id: ExecutionId,
        progress: ProgressReport,
    },
    /// The outcome of a health check.
    ProbeEnded {
        engine_index: EngineIndex,
        alive: bool,
        report: Option<Vec<f64>>,
    },
}

struct Engine {
    id: String,
    address: SocketAddr,
    started_ms: f64,
    /// Executions may go there.
    available: bool,
    connections: Vec<ConnectionId>,
    /// Its last connection did not come up.
    is_unreachable: bool,
}

impl Engine {
    /// Whether the list still means this engine.
    fn matches(&self, listed: &ListedEngine) -> bool {
        self.id == listed.id
            && self.address == listed.address
            && self.started_ms == listed.started_ms
    }
}

/// All engines of the list, the connections to them and the executions on these.
pub struct Engines {
    handle: LoopHandle<'static, LoopEvents>,
    network: NetworkSettings,
    report_names: Vec<String>,
    engines: BTreeMap<EngineIndex, Engine>,
    connections: BTreeMap<ConnectionId, EngineConnection>,
    executions: BTreeMap<ExecutionId, Execution>,
    /// The number given last, to a connection or a health check.
    last_number: u64,
    max_connections: usize,
    /// When connections may be made; any time where nothing else is set.
    pub dials: DialPacer,
    reuse: Reuse,
    /// Cancelled, but their engines may not have read so yet, in the order in which they were.
    pending_cancels: Vec<PendingCancel>,
    /// What has happened since the events were last taken.
    pub events: Vec<Event>,
}

impl Engines {
    /// No engines yet; `limit` and `list` come before anything is sent.
    pub fn new(
        handle: LoopHandle<'static, LoopEvents>,
        network: NetworkSettings,
        names: &Names,
    ) -> Self {
        Engines {
            handle,
            reuse: Reuse::new((network.keepalive - IDLE_MARGIN).max(IDLE_MARGIN)),
            network,
            report_names: names.report.clone(),
            engines: BTreeMap::new(),
            connections: BTreeMap::new(),
            executions: BTreeMap::new(),
            last_number: 0,
            max_connections: 0,
            dials: dial_pacer::unlimited(),
            pending_cancels: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Sets the descriptors for connections to engines: those given, less what the rest of the front needs.
    pub fn set_descriptor_limit(&mut self, descriptors: usize) {
        self.max_connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1);
    }

    fn report_end(&mut self, execution_id: ExecutionId, ending: Ending) {
        log::debug!(
            "statement {}: execution {} ended: {ending:?}",
            execution_id.ticket,
            execution_id.number
        );
        self.executions.remove(&execution_id);
        self.events.push(Event::ExecutionEnded {
            execution_id,
            ending,
            report: None,
            result: Vec::new(),
        });
    }

    /// An engine of the list, new or changed. One at another address or start is another: nothing more is sent over
    /// the connections to the former.
    pub fn update_engine(&mut self, engine_index: EngineIndex, listed: ListedEngine) {
        let known = self.engines.get(&engine_index);
        let known = known.filter(|engine| engine.matches(&listed));
        let is_unreachable = known.is_some_and(|engine| engine.is_unreachable);
        if known.is_none() || !listed.available {
            self.retire(engine_index);
        }
        let former = self.engines.remove(&engine_index);
        let engine = Engine {
            id: listed.id.to_string(),
            address: listed.address,
            started_ms: listed.started_ms,
            available: listed.available,
            connections: former.map(|engine| engine.connections).unwrap_or_default(),
            is_unreachable,
        };
        self.engines.insert(engine_index, engine);
    }

    /// A whole list has come: engines that it does not name are gone.
    pub fn retire_unlisted(&mut self, listed: &[EngineIndex]) {
        let engine_indexes: Vec<EngineIndex> = self
            .engines
            .keys()
            .copied()
            .filter(|index| !listed.contains(index))
            .collect();
        engine_indexes
            .into_iter()
            .for_each(|engine_index| self.retire(engine_index));
    }

    /// What has not left for an engine stays here; what is out may still be answered.
    pub fn retire(&mut self, engine_index: EngineIndex) {
        let Some(engine) = self.engines.get_mut(&engine_index) else {
            return;
        };
        engine.available = false;
        for id in engine.connections.clone() {
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            connection.retired = true;
            for execution_id in std::mem::take(&mut connection.queue) {
                self.withdraw(id, execution_id);
            }
        }
    }

    fn withdraw(&mut self, connection: ConnectionId, execution_id: ExecutionId) {
        if let (Some(connection), Some(execution)) = (
            self.connections.get_mut(&connection),
            self.executions.get(&execution_id),
        ) {
            connection.open.remove(&execution.call.id);
        }
        self.report_end(execution_id, Ending::Withdrawn);
    }

    /// Nobody waits for a statement any more: what has not left for an engine never will.
    pub fn withdraw_queued(&mut self, ticket: Ticket) {
        let ticket_executions = self
            .executions
            .range(ExecutionId::new(ticket, 0)..=ExecutionId::new(ticket, usize::MAX));
        let queued = ticket_executions.filter(|(_, execution)| execution.stage == Stage::Queued);
        let queued: Vec<(ExecutionId, ConnectionId)> = queued
            .map(|(execution_id, execution)| (*execution_id, execution.connection))
            .collect();
        for (execution_id, id) in queued {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.queue.retain(|queued| *queued != execution_id);
            }
            self.withdraw(id, execution_id);
        }
    }

    fn engine_name(&self, connection: ConnectionId) -> &str {
        let engine = self
            .connections
            .get(&connection)
            .and_then(|connection| self.engines.get(&connection.engine_index));
        engine.map_or("?", |engine| &engine.id)
    }
}

#[cfg(test)]
#[path = "engines/engines_tests.rs"]
mod tests;
