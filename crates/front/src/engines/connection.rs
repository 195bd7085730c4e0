//! One connection to an engine: its open and queued executions, its health checks, and when it was last used.

use std::collections::{HashMap, HashSet, VecDeque};

use hallmux_dispatcher::{EngineIndex, Micros};

use crate::execution::ExecutionId;
use crate::link::Link;

/// Maximum number of ids of ended executions that a connection remembers. A connection with this
/// many accepts no more executions.
const MAX_FINISHED_IDS: usize = 128;

/// Identifies a connection by its number among all that were dialled.
pub(super) type ConnectionId = u64;

/// A connection to an engine and the executions and health checks on it.
pub(super) struct EngineConnection {
    pub(super) link: Link,
    pub(super) engine_index: EngineIndex,
    pub(super) up: bool,
    /// Accepts no more executions: the engine was replaced or removed, or the connection was silent too long.
    pub(super) retired: bool,
    /// When the connection has to be up.
    pub(super) dial_by: Micros,
    pub(super) last_reply_at: Micros,
    /// Since when an incomplete line has been waiting for its remaining bytes.
    pub(super) partial_line_since: Option<Micros>,
    pub(super) idle_since: Micros,
    /// How long the connection had been idle when it was last used after being idle; 0 if it had
    /// not been used before.
    pub(super) idle_before: Micros,
    /// When the connection was last used after being idle; at first, when it was dialled.
    pub(super) resumed_at: Micros,
    pub(super) queue: VecDeque<ExecutionId>,
    /// The execution that is being written; commands may follow it in the output.
    pub(super) writing: Option<PendingWrite>,
    pub(super) open: HashMap<String, ExecutionId>,
    /// Ids of executions that this front ended; further replies about them are ignored. Where cancelling is not
    /// allowed, the executions may still be running.
    pub(super) cancelled: HashSet<String>,
    /// Ids of executions that their engine ended, where cancelling is not allowed. A further execution of such a
    /// statement uses another connection, so that a duplicate answer can't end it.
    pub(super) finished: HashSet<String>,
    /// Unanswered health checks by tag, and when each is overdue.
    pub(super) probes: HashMap<String, Micros>,
}

/// An execution that is in the output and not completely sent.
pub(super) struct PendingWrite {
    pub(super) execution_id: ExecutionId,
    /// The end of the execution in the output, as `Link::end_of_output` counts.
    pub(super) end: usize,
}

/// The order in which connections of an engine are preferred, the greatest first: a connection that
/// is up and without unsent output, then the one with the most executions and health checks in
/// flight, then the one that became idle last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    has_sent_all: bool,
    pub(super) in_flight: usize,
    idle_since: Micros,
}

impl EngineConnection {
    /// Creates the state of a connection that was dialled at `now` and has to be up by `dial_by`.
    pub(super) fn dialled(
        link: Link,
        engine_index: EngineIndex,
        now: Micros,
        dial_by: Micros,
    ) -> Self {
        EngineConnection {
            link,
            engine_index,
            up: false,
            retired: false,
            dial_by,
            last_reply_at: now,
            partial_line_since: None,
            idle_since: now,
            idle_before: 0,
            resumed_at: now,
            queue: VecDeque::new(),
            writing: None,
            open: HashMap::new(),
            cancelled: HashSet::new(),
            finished: HashSet::new(),
            probes: HashMap::new(),
        }
    }

    /// Whether the connection may be used for further executions.
    pub(super) fn accepts_executions(&self) -> bool {
        !self.retired && self.cancelled.len() + self.finished.len() < MAX_FINISHED_IDS
    }

    /// Whether an execution with this id is or was on this connection.
    pub(super) fn has_used_id(&self, id: &str) -> bool {
        self.open.contains_key(id) || self.cancelled.contains(id) || self.finished.contains(id)
    }

    /// The number of unanswered executions and health checks.
    pub(super) fn in_flight(&self) -> usize {
        self.open.len() + self.probes.len()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.open.is_empty() && self.probes.is_empty()
    }

    pub(super) fn rank(&self) -> Rank {
        Rank {
            has_sent_all: self.up && self.link.unsent() == 0,
            in_flight: self.in_flight(),
            idle_since: self.idle_since,
        }
    }
}
