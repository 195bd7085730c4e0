//! What fronts say to each other of the ledger.

use serde::{Deserialize, Serialize};

use crate::placement::hash;
use crate::state::{Batch, Command, Keeper};
use crate::{DiskId, FrontId, Outcome};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Word {
    /// Among the members of a shard, as the log's library words it.
    Log {
        shard: u16,
        config: u32,
        /// Counts those of its sender's copy that must come in order; 0: it need not.
        number: u64,
        message: Box<omnipaxos::messages::Message<Batch>>,
    },
    /// The owner says that its members may have missed something.
    Missed {
        shard: u16,
        config: u32,
    },
    /// To the shard's owner, or to whoever may know it.
    Ask {
        shard: u16,
        command: Command,
    },
    Told {
        incarnation: u64,
        number: u64,
        outcome: Outcome,
    },
    /// The one that was asked does not own the shard; who does, if it knows.
    Elsewhere {
        shard: u16,
        incarnation: u64,
        number: u64,
        owner: Option<FrontId>,
    },
    /// A front that could keep the shard: the members it last knew (0: none), and with whom it would begin it.
    Here {
        shard: u16,
        config: u32,
        with: Vec<Born>,
    },
    /// Who keeps the shard now.
    Members {
        shard: u16,
        config: u32,
        keepers: Vec<Keeper>,
    },
    /// Whether the receiver could keep a copy: it says that it is here.
    Offer {
        shard: u16,
    },
    /// The entries so far, for one that is to become a member; it says so once it has them.
    Copy {
        shard: u16,
        config: u32,
        index: u64,
        state: Vec<u8>,
    },
    Caught {
        shard: u16,
        config: u32,
        index: u64,
    },
    /// A member may begin, with what the members have decided.
    Begin {
        shard: u16,
        config: u32,
        keepers: Vec<Keeper>,
        base: Base,
    },
    /// The owner leaves, and leaves the shard to the receiver. Of form 2.
    Heir {
        shard: u16,
        config: u32,
    },
    /// The hashes of a copy as of an entry: the owner tells them, and members answer with theirs. Of form 2.
    Sums {
        shard: u16,
        config: u32,
        index: u64,
        sums: Vec<u64>,
    },
    /// What a copy that differs should hold as of an entry. Of form 2.
    Mend {
        shard: u16,
        config: u32,
        index: u64,
        state: Vec<u8>,
    },
    /// The sender is to end. Of form 3.
    Leaves,
    /// A key that the receiver asked for by this number is free, and it is its turn. Of form 3.
    Turn {
        incarnation: u64,
        number: u64,
    },
}

/// A front that has yet to begin a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Born {
    pub keeper: Keeper,
    pub incarnation: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Base {
    /// The state after so many entries of this log.
    Whole { index: u64, state: Vec<u8> },
    /// What the copy that was given lacks of the log before: the first is entry `index` of it.
    After { index: u64, batches: Vec<Batch> },
}

/// A datagram's content.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Letter {
    pub form: u8,
    pub fleet: u64,
    pub disk: DiskId,
    pub incarnation: u64,
    pub wall_ms: u64,
    pub sheet: Sheet,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Sheet {
    Words(Vec<Vec<u8>>),
    /// A part of a word that is longer than a datagram.
    Piece {
        id: u64,
        index: u16,
        count: u16,
        bytes: Vec<u8>,
    },
    /// Pieces that have not come.
    Again {
        id: u64,
        missing: Vec<u16>,
    },
    /// All have come.
    Whole {
        id: u64,
    },
}

pub(crate) fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Reads a value that fills the bytes exactly.
pub(crate) fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}

/// The fleet's fingerprint: its name, and into how many shards keys are parted.
pub(crate) fn fingerprint(name: &str, shards: u16) -> u64 {
    hash(name.bytes().chain([0]).chain(shards.to_be_bytes()))
}
