//! One connection to an engine: what is open on it, what waits to be written, and how old it is.

use std::collections::{HashMap, HashSet, VecDeque};

use hallmux_dispatcher::{EngineIndex, Micros};

use crate::execution::ExecutionId;
use crate::link::Link;

/// Ids that a connection remembers of executions that are over; then it takes no more executions.
const MAX_FINISHED_IDS: usize = 128;

/// A connection, by its number among all that were dialled.
pub(super) type ConnectionId = u64;

pub(super) struct EngineConnection {
    pub(super) link: Link,
    pub(super) engine_index: EngineIndex,
    pub(super) up: bool,
    /// It takes no more executions: its engine is another by now, or it was silent too long.
    pub(super) retired: bool,
    pub(super) dial_by: Micros,
    pub(super) last_reply_at: Micros,
    /// Since when the rest of a line is awaited.
    pub(super) partial_line_since: Option<Micros>,
    pub(super) idle_since: Micros,
    /// How long it had rested when it was last taken up, and when that was.
    pub(super) idle_before: Micros,
    pub(super) resumed_at: Micros,
    pub(super) queue: VecDeque<ExecutionId>,
    /// The execution that is being written; commands may follow it.
    pub(super) writing: Option<PendingWrite>,
    pub(super) open: HashMap<String, ExecutionId>,
    /// Ids that are over here; what is still said of them means nothing. Where cancelling is not allowed, these may
    /// run on.
    pub(super) cancelled: HashSet<String>,
    /// Ids that their engine has ended, where cancelling is not allowed: an engine that answers twice
    /// must not end a further execution of the statement, so none of it comes over this connection.
    pub(super) finished: HashSet<String>,
    /// Health checks without an answer, by tag, and when each is overdue.
    pub(super) probes: HashMap<String, Micros>,
}

/// An execution whose bytes are in the output and have not all left.
pub(super) struct PendingWrite {
    pub(super) execution_id: ExecutionId,
    /// Where it ends in the output, as `Link::end_of_output` counts.
    pub(super) end: usize,
}

/// By what connections of an engine are compared: the greatest is used first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    has_sent_all: bool,
    pub(super) in_flight: usize,
    idle_since: Micros,
}

impl EngineConnection {
    /// A connection that was dialled just now and has to be up by `dial_by`.
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

    /// Whether it is of use for more executions.
    pub(super) fn accepts_executions(&self) -> bool {
        !self.retired && self.cancelled.len() + self.finished.len() < MAX_FINISHED_IDS
    }

    /// Whether the id is or was used on this connection.
    pub(super) fn has_used_id(&self, id: &str) -> bool {
        self.open.contains_key(id) || self.cancelled.contains(id) || self.finished.contains(id)
    }

    /// Executions and health checks without an answer.
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
