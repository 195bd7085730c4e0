//! Connections to query engines: executions out, answers put together from their pages.

mod cancels;
mod capacity;
mod replies;
mod send;
mod timeouts;
mod writes;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::LoopHandle;
use hallmux_config::{Names, NetworkSettings};
use hallmux_dispatcher::{Ending, Micros, Note, Place, Terms, Ticket};
use hallmux_native_codec::engine::{self, Command, ExecutionRequest, Reply, ReplyKind};
use hallmux_native_codec::statement::Call;

use crate::dial_pacer::{self, DialPacer};
use crate::events::{LoopEvents, SocketKind};
use crate::execution::ExecutionId;
use crate::link::{Broken, Link};
use crate::reuse::Reuse;
use cancels::AwaitingCancel;

const MOST_PAGES: usize = 64; // of a result; those agreed have eight
const LONGEST_RESULT: usize = 48_000; // bytes, as the protocol has it
const WRITE_TIMEOUT: Micros = 100_000; // microseconds for a statement that has begun to leave: its deadline goes with it
const READ_TIMEOUT: Micros = 500_000; // microseconds for a line that has begun, or a page asked for; both take a few ms
const SILENCE_TIMEOUT: Micros = 1_500_000; // microseconds without a reply on an execution that is cancelled: longer than notes take
const MOST_SHARED: usize = 4; // executions on a connection before another is dialled: what a spoilt answer costs
const CANCEL_LAG: Micros = 10_000; // microseconds until an engine has surely read a command: some round trips
const OTHER_DESCRIPTORS: usize = 32; // descriptors that are neither clients' nor engines'; the rest is for engines
const MOST_UNSENT: usize = 1 << 20; // bytes that an engine may leave untaken: a thousand small statements
const IDLE_MARGIN: Micros = 1_000_000; // microseconds by which a connection is closed before its engine would
const MOST_FORMER_IDS: usize = 128; // ids that a connection remembers; then it takes no more executions

type ConnectionId = u64;

/// What engines have answered, and how executions have ended.
pub enum Event {
    Ended {
        execution_id: ExecutionId,
        ending: Ending,
        report: Option<Vec<f64>>,
        result: Vec<u8>,
    },
    Noted {
        execution_id: ExecutionId,
        note: Note,
    },
    Probed {
        place: Place,
        alive: bool,
        report: Option<Vec<f64>>,
    },
}

struct Engine {
    id: String,
    at: SocketAddr,
    started: f64,
    /// Executions may go there.
    available: bool,
    connections: Vec<ConnectionId>,
    /// Its last connection did not come up.
    failing: bool,
}

#[derive(Default)]
struct Pages {
    bytes: Vec<Option<Vec<u8>>>,
    missing: usize,
    held: usize,
    last_page: Micros,
    report: Option<Vec<f64>>,
}

#[derive(PartialEq)]
enum Stage {
    /// Not a byte of it has left.
    Queued,
    /// It is the one being written.
    Writing,
    Out,
}

struct Execution {
    connection: ConnectionId,
    call: Rc<Call>,
    terms: Terms,
    stage: Stage,
    sent_at: Micros,
    last_reply: Micros,
    pages: Option<Pages>,
}

struct EngineConnection {
    link: Link,
    place: Place,
    up: bool,
    /// It takes no more executions: its engine is another by now, or it was silent too long.
    retired: bool,
    dial_by: Micros,
    last_reply: Micros,
    /// Since when the rest of a line is awaited.
    partial_line_since: Option<Micros>,
    idle_since: Micros,
    /// How long it had rested when it was last taken up, and when that was.
    idle_before: Micros,
    resumed_at: Micros,
    queue: VecDeque<ExecutionId>,
    /// The one being written, and where it ends in the output (`Link::end_of_output`); commands may follow it.
    writing: Option<(ExecutionId, usize)>,
    open: HashMap<String, ExecutionId>,
    /// Ids that are over here; what is still said of them means nothing. Where cancelling is not allowed, these may
    /// run on.
    cancelled: HashSet<String>,
    /// Ids that their engine has ended, where cancelling is not allowed: an engine that answers twice
    /// must not end a further execution of the statement, so none of it comes over this connection.
    finished: HashSet<String>,
    probes: HashMap<String, Micros>,
}

pub struct Engines {
    handle: LoopHandle<'static, LoopEvents>,
    allowance: NetworkSettings,
    report_names: Vec<String>,
    engines: BTreeMap<Place, Engine>,
    connections: BTreeMap<ConnectionId, EngineConnection>,
    executions: BTreeMap<ExecutionId, Execution>,
    next: u64,
    max_connections: usize,
    /// When connections may be made; any time where nothing else is set.
    pub dials: DialPacer,
    reuse: Reuse,
    /// Cancelled, but their engines may not have read so yet, in the order in which they were.
    awaiting_cancel: Vec<AwaitingCancel>,
    pub events: Vec<Event>,
}

impl Engines {
    pub fn new(
        handle: LoopHandle<'static, LoopEvents>,
        allowance: NetworkSettings,
        names: &Names,
    ) -> Self {
        Engines {
            handle,
            reuse: Reuse::new((allowance.keepalive - IDLE_MARGIN).max(IDLE_MARGIN)),
            allowance,
            report_names: names.report.clone(),
            engines: BTreeMap::new(),
            connections: BTreeMap::new(),
            executions: BTreeMap::new(),
            next: 0,
            max_connections: 0,
            dials: dial_pacer::unlimited(),
            awaiting_cancel: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Descriptors that clients leave to the rest of the front.
    pub fn limit(&mut self, sockets: usize) {
        self.max_connections = sockets.saturating_sub(OTHER_DESCRIPTORS).max(1);
    }

    fn report_end(&mut self, execution_id: ExecutionId, ending: Ending) {
        log::debug!(
            "statement {}: execution {} ended: {ending:?}",
            execution_id.ticket,
            execution_id.number
        );
        self.executions.remove(&execution_id);
        self.events.push(Event::Ended {
            execution_id,
            ending,
            report: None,
            result: Vec::new(),
        });
    }

    /// An engine of the list: where it is, and whether anything may still be sent to it.
    pub fn list(&mut self, place: Place, id: &str, at: SocketAddr, started: f64, up: bool) {
        let known = self.engines.get(&place);
        let same = known.is_some_and(|e| e.id == id && e.at == at && e.started == started);
        let failing = same && known.is_some_and(|e| e.failing);
        if !same || !up {
            self.retire(place);
        }
        let connections = self
            .engines
            .remove(&place)
            .map(|e| e.connections)
            .unwrap_or_default();
        let id = id.to_string();
        self.engines.insert(
            place,
            Engine {
                id,
                at,
                started,
                available: up,
                connections,
                failing,
            },
        );
    }

    /// A whole list has come: engines that it does not name are gone.
    pub fn retire_others(&mut self, listed: &[Place]) {
        let places: Vec<Place> = self
            .engines
            .keys()
            .copied()
            .filter(|p| !listed.contains(p))
            .collect();
        places.into_iter().for_each(|place| self.retire(place));
    }

    /// What has not left for an engine stays here; what is out may still be answered.
    pub fn retire(&mut self, place: Place) {
        let Some(engine) = self.engines.get_mut(&place) else {
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
    pub fn abandon(&mut self, ticket: Ticket) {
        let of_ticket = self
            .executions
            .range(ExecutionId::new(ticket, 0)..=ExecutionId::new(ticket, usize::MAX));
        let queued = of_ticket.filter(|(_, execution)| execution.stage == Stage::Queued);
        let queued: Vec<(ExecutionId, ConnectionId)> = queued
            .map(|(execution_id, execution)| (*execution_id, execution.connection))
            .collect();
        for (execution_id, id) in queued {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.queue.retain(|other| *other != execution_id);
            }
            self.withdraw(id, execution_id);
        }
    }

    fn engine_name(&self, connection: ConnectionId) -> &str {
        let engine = self
            .connections
            .get(&connection)
            .and_then(|l| self.engines.get(&l.place));
        engine.map_or("?", |e| &e.id)
    }
}

#[cfg(test)]
#[path = "engines/engines_tests.rs"]
mod tests;
