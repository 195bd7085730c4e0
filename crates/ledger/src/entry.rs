//! Entries of the ledger, and the requests that read and change them.

use serde::{Deserialize, Serialize};

use crate::FrontId;

/// What an entry describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// An execution in flight under an order key.
    Order,
    /// An execution in flight under a dedup key.
    Dedup,
    /// A non-idempotent statement that has been started.
    Begun,
    /// Further executions charged to the retry budget within its window.
    Budget,
    /// An announced drain or start.
    Drain,
    /// Access rules: the set in force and leases on it.
    Rules,
    /// Hits of access rules.
    Hits,
    /// A load of data that summaries do not cover yet.
    Mark,
    /// The shares of a rule's limit that fronts hold.
    Shares,
}

/// An entry's key. Both kind and name determine the entry's shard.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// What the entry describes.
    pub kind: Kind,
    /// The name, unique among the entries of that kind.
    pub name: String,
}

/// The owner of an entry: a front in one of its incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The front.
    pub front: FrontId,
    /// When the front started, in Unix milliseconds; the same number as in gossip.
    pub incarnation: u64,
}

/// One entry of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's key.
    pub key: Key,
    /// The front that made the entry.
    pub owner: Owner,
    /// Grows with every change of a key; a key that is created again after its end continues with a
    /// higher version.
    pub version: u64,
    /// Unix milliseconds at which the entry expires; 0: never.
    pub ends_ms: u64,
    /// The content, as encoded by the owner.
    pub value: Vec<u8>,
}

/// The operation of a request on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Creates the entry if the key is free, its entry has expired or belongs to the requester;
    /// otherwise [`Outcome::Held`].
    Claim {
        /// Unix milliseconds at which the entry expires; 0: never.
        ends_ms: u64,
        /// The entry's value.
        value: Vec<u8>,
    },
    /// Compare-and-swap on the version; otherwise [`Outcome::Held`], or [`Outcome::Absent`] if
    /// there is no entry.
    Put {
        /// The version to replace: 0 if there must be no entry, None for any version.
        expects: Option<u64>,
        /// Unix milliseconds at which the entry expires; 0: never.
        ends_ms: u64,
        /// The entry's value.
        value: Vec<u8>,
    },
    /// Removes the requester's entry, answered by [`Outcome::Absent`]; an entry of another owner is
    /// answered by [`Outcome::Held`].
    Free,
    /// Reads the entry, as of some time between the request and its answer.
    Read,
}

/// A request to the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRequest {
    /// Chosen by the caller, unique within its incarnation and increasing. A request with a
    /// repeated number is applied once, and a claim or free that arrives late does not undo a
    /// request with a higher number.
    pub number: u64,
    /// The key that the request reads or changes.
    pub key: Key,
    /// The operation on the key.
    pub operation: Operation,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The entry as held by a quorum of the replicas: as the request set it, or as it was read.
    Stands(Entry),
    /// Another owner holds the key, or the entry has another version than expected.
    Held(Entry),
    /// There is no such entry, or it no longer exists.
    Absent,
    /// No quorum answered in time, so the request may or may not take effect. It may be repeated
    /// under the same number.
    Unreachable,
    /// The shard has reached its limit of entries or bytes, or the request is too long; nothing was
    /// changed.
    Full,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerAnswer {
    /// The number of the request.
    pub number: u64,
    /// The outcome of the request.
    pub outcome: Outcome,
}
