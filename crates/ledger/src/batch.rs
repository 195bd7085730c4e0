//! The content of a shard's log: commands, and the batches of commands that a round decides.

use serde::{Deserialize, Serialize};

use crate::members::ReplicaId;
use crate::tail::Tail;
use crate::{Key, Operation, Owner};

/// Bytes that a request counts for in addition to its name and value.
const COMMAND_OVERHEAD: usize = 48;

/// Identifies a request among all requests of all fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct CommandId {
    pub owner: Owner,
    /// The request's number, unique within its owner's incarnation.
    pub number: u64,
}

/// A request as a command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Command {
    pub owner: Owner,
    pub number: u64,
    /// When the request was first made, on the requester's Unix clock.
    pub asked_ms: u64,
    pub key: Key,
    pub operation: Operation,
}

/// One entry of the log: all requests that arrived while the previous entry was being decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub wall_ms: u64,
    pub commands: Vec<Command>,
    /// The members of the next configuration, if the batch changes them; later entries of this log
    /// have no effect then. Preceded by the batch's format, if the batch names one.
    pub tail: Tail,
}

impl Command {
    pub fn id(&self) -> CommandId {
        CommandId {
            owner: self.owner,
            number: self.number,
        }
    }

    /// The bytes that the request counts for against the limits of a round and of a request.
    pub fn size(&self) -> usize {
        let value = match &self.operation {
            Operation::Claim { value, .. } | Operation::Put { value, .. } => value.len(),
            Operation::Free | Operation::Read => 0,
        };
        self.key.name.len() + value + COMMAND_OVERHEAD
    }
}

impl Batch {
    /// A batch that changes the members.
    pub fn change(format: u8, wall_ms: u64, next: Vec<ReplicaId>) -> Batch {
        Batch {
            wall_ms,
            commands: Vec::new(),
            tail: Tail::of(format, Some(next)),
        }
    }
}
