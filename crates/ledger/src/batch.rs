//! What a shard's log consists of: commands, and the batches of them that a round decides.

use serde::{Deserialize, Serialize};

use crate::members::ReplicaId;
use crate::tail::Tail;
use crate::{Key, Operation, Owner};

const COMMAND_OVERHEAD: usize = 48; // bytes that a request counts beside its name and value

/// What tells a request from all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct CommandId {
    pub owner: Owner,
    /// Of the request, in its owner's incarnation.
    pub number: u64,
}

/// A request as a command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Command {
    pub owner: Owner,
    pub number: u64,
    /// When it was first asked, on the requester's Unix clock.
    pub asked_ms: u64,
    pub key: Key,
    pub operation: Operation,
}

/// One entry of the log: all that was asked while the entry before was being decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub wall_ms: u64,
    pub commands: Vec<Command>,
    /// The members of the next configuration, if the batch changes them: nothing that follows in
    /// this log counts. Behind the batch's format, if it names one.
    pub tail: Tail,
}

impl Command {
    pub fn id(&self) -> CommandId {
        CommandId {
            owner: self.owner,
            number: self.number,
        }
    }

    /// Bytes that the request counts where requests are bounded.
    pub fn size(&self) -> usize {
        let value = match &self.operation {
            Operation::Claim { value, .. } | Operation::Put { value, .. } => value.len(),
            Operation::Free | Operation::Read => 0,
        };
        self.key.name.len() + value + COMMAND_OVERHEAD
    }
}

impl Batch {
    /// One that changes the members.
    pub fn change(format: u8, wall_ms: u64, next: Vec<ReplicaId>) -> Batch {
        Batch {
            wall_ms,
            commands: Vec::new(),
            tail: Tail::of(format, Some(next)),
        }
    }
}
