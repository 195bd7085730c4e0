//! Connections to query engines: sends executions and assembles results from their pages.

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
use crate::reuse::ReusePolicy;
use connection::{ConnectionId, EngineConnection};
use execution::{Execution, Stage};
use pending_cancel::PendingCancel;

/// File descriptors reserved for uses other than connections to clients and engines.
const RESERVED_DESCRIPTORS: usize = 32;
/// Microseconds before the engine's keepalive ends at which an idle connection is closed here.
const IDLE_MARGIN: Micros = 1_000_000;

/// A reply of an engine, or the end of an execution, for the event loop to handle.
pub enum Event {
    /// An execution has ended.
    ExecutionEnded {
        execution_id: ExecutionId,
        ending: Ending,
        /// The engine's load report, if the answer carried one.
        report: Option<Vec<f64>>,
        /// The rows of the result; empty unless the ending is `Answered`.
        result: Vec<u8>,
    },
    /// An execution is still running and its engine has reported its progress.
    Progress {
        execution_id: ExecutionId,
        progress: ProgressReport,
    },
    /// A health check has been answered or has timed out.
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
    /// Executions may be sent to this engine.
    available: bool,
    connections: Vec<ConnectionId>,
    /// The last connection attempt failed, and none has succeeded since.
    is_unreachable: bool,
}

impl Engine {
    /// Whether an entry of the list denotes this engine: same id, address and start time.
    fn matches(&self, listed: &ListedEngine) -> bool {
        self.id == listed.id
            && self.address == listed.address
            && self.started_ms == listed.started_ms
    }
}

/// All engines of the list, the connections to them, and the executions on these connections.
pub struct Engines {
    handle: LoopHandle<'static, LoopEvents>,
    network: NetworkSettings,
    report_names: Vec<String>,
    engines: BTreeMap<EngineIndex, Engine>,
    connections: BTreeMap<ConnectionId, EngineConnection>,
    executions: BTreeMap<ExecutionId, Execution>,
    /// The number last assigned to a connection or a health check.
    last_number: u64,
    max_connections: usize,
    /// Limits the rate of new connections; unlimited unless replaced.
    pub dials: DialPacer,
    reuse: ReusePolicy,
    /// Cancelled executions whose engines may not have read the cancel yet, in order of cancellation.
    pending_cancels: Vec<PendingCancel>,
    /// Events since the event loop last took them.
    pub events: Vec<Event>,
}

impl Engines {
    /// Creates an empty set. Call `set_descriptor_limit` and `update_engine` before sending anything.
    pub fn new(
        handle: LoopHandle<'static, LoopEvents>,
        network: NetworkSettings,
        names: &Names,
    ) -> Self {
        Engines {
            handle,
            reuse: ReusePolicy::new((network.keepalive - IDLE_MARGIN).max(IDLE_MARGIN)),
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

    /// Limits the connections to engines to the given descriptors less `RESERVED_DESCRIPTORS`, but to no
    /// fewer than one.
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

    /// Adds an engine of the list or applies a change to it. A changed id, address or start time means another
    /// engine: nothing more is sent over the connections to the former one.
    pub fn update_engine(&mut self, engine_index: EngineIndex, listed: ListedEngine) {
        let current = self.engines.get(&engine_index);
        let current = current.filter(|engine| engine.matches(&listed));
        let is_unreachable = current.is_some_and(|engine| engine.is_unreachable);
        if current.is_none() || !listed.available {
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

    /// Retires every engine that a complete list does not name.
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

    /// Sends nothing more to an engine. Queued executions are withdrawn; those in flight may still be answered.
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

    /// Ends an execution that was not sent, as withdrawn.
    fn withdraw(&mut self, connection: ConnectionId, execution_id: ExecutionId) {
        if let (Some(connection), Some(execution)) = (
            self.connections.get_mut(&connection),
            self.executions.get(&execution_id),
        ) {
            connection.open.remove(&execution.call.id);
        }
        self.report_end(execution_id, Ending::Withdrawn);
    }

    /// Withdraws the queued executions of a statement that no client waits for any more.
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
