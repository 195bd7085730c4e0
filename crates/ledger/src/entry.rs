//! Entries of the ledger, and the requests that read and change them.

use serde::{Deserialize, Serialize};

use crate::FrontId;

/// What an entry is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// An execution that is out under an order key.
    Order,
    /// An execution that is out under a dedup key.
    Dedup,
    /// A non-idempotent statement that was begun.
    Begun,
    /// Further executions spent in the budget's window.
    Budget,
    /// A drain or a start that was announced.
    Drain,
    /// Access rules: the set in force and leases on it.
    Rules,
    /// Hits of rules.
    Hits,
    /// A load of data that summaries do not cover yet.
    Mark,
    /// Shares that fronts hold of a rule's limit.
    Shares,
}

/// An entry's key; its shard follows from the whole of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// What the entry is about.
    pub kind: Kind,
    /// Its name among the entries of that kind.
    pub name: String,
}

/// The owner of an entry: a front in one of its incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The front.
    pub front: FrontId,
    /// When it started, in Unix milliseconds, as in gossip.
    pub incarnation: u64,
}

/// One entry of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: Key,
    /// Who made it.
    pub owner: Owner,
    /// Grows with every change of a key; a key that comes back after its end goes on from a higher
    /// one.
    pub version: u64,
    /// Unix milliseconds from which it counts for nothing; 0: never.
    pub ends_ms: u64,
    /// What it says, as its owner has encoded it.
    pub value: Vec<u8>,
}

/// What a request does with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Makes the entry if the key is free, its entry has ended or is the requester's own; else
    /// [`Outcome::Held`].
    Claim {
        /// Unix milliseconds at which the entry ends.
        ends_ms: u64,
        /// The entry's value.
        value: Vec<u8>,
    },
    /// Compare and swap on the version; else [`Outcome::Held`], or [`Outcome::Absent`] where there
    /// is no entry.
    Put {
        /// The version to be replaced: 0 where there is none, None for whatever is there.
        expects: Option<u64>,
        /// Unix milliseconds at which the entry ends.
        ends_ms: u64,
        /// The entry's value.
        value: Vec<u8>,
    },
    /// Removes the requester's own entry: [`Outcome::Absent`]; another's is [`Outcome::Held`].
    Free,
    /// Reads the entry, as of some moment between the request and its answer.
    Read,
}

/// A request of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRequest {
    /// Chosen by the caller, unique in its incarnation and growing: a request made twice counts
    /// once, and a claim or a free that comes late undoes none with a higher number.
    pub number: u64,
    /// The key that it is about.
    pub key: Key,
    /// What it does.
    pub operation: Operation,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The entry as a quorum of the replicas has it: as the act made it, or as it was read.
    Stands(Entry),
    /// Another owner has the key, or the entry has another version than expected.
    Held(Entry),
    /// There is no such entry (any more).
    Absent,
    /// No quorum answered in time: the act may take effect or not. The same number may be used
    /// again.
    Unreachable,
    /// The shard holds as many entries or bytes as it may; nothing was changed.
    Full,
}

/// An answered ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerAnswer {
    /// Of the request.
    pub number: u64,
    /// The answer.
    pub outcome: Outcome,
}
