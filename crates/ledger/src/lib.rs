//! The replicated ledger: entries that fronts rely on, which outlive the machine that made them. Entries belong to
//! shards by key. Each shard is a replicated log on a few fronts, in different zones where there are any; an ask is
//! answered once a quorum of its replicas has made it durable. Free of sockets, clocks, files and randomness: the
//! caller passes in messages, the time and the saved records, and sends and saves what comes out.
//!
//! An ask made twice counts once (a repeated claim is answered by the entry as it is then): it is known by its front,
//! the front's incarnation and its number. The number may be repeated for [`REMEMBERED_MS`] after it was first used;
//! later it is answered [`Outcome::Unreachable`].

#![warn(missing_docs)]

mod anti_entropy;
mod asks;
mod balance;
mod bootstrap;
mod counters;
mod durability;
mod error;
mod formats;
mod incoming;
mod key_queues;
mod leader_placement;
mod leader_transfer;
mod ledger;
mod log;
mod maintenance;
mod membership;
mod messages;
mod pacer;
mod placement;
mod reassembly;
mod rebalance;
mod records;
mod repair;
mod replica;
mod requests;
mod rounds;
mod shard_view;
mod state;
mod tail;
mod transport;

use serde::{Deserialize, Serialize};

pub use error::Error;
pub use formats::{FORMAT, OLDEST_FORMAT, SAVED_FORMAT};
pub use ledger::Ledger;
pub use placement::shard_of;

/// A time on a monotonic clock, or a duration, in microseconds.
pub type Micros = i64;
/// A front: the first eight bytes of its public key.
pub type FrontId = u64;
/// A directory's identity, drawn when it is made: a front with another one holds none of its replicas.
pub type DiskId = u64;

/// Milliseconds for which the answer to an ask is remembered, so that a repeat counts once.
pub const REMEMBERED_MS: u64 = 10_000;

/// One moment on a front's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Microseconds on a monotonic clock that runs evenly.
    pub steady: Micros,
    /// Unix time in milliseconds: entries end by it.
    pub wall_ms: u64,
}

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
    /// Grows with every change of a key; a key that comes back after its end goes on from a higher one.
    pub version: u64,
    /// Unix milliseconds from which it counts for nothing; 0: never.
    pub ends_ms: u64,
    /// What it says, as its owner has encoded it.
    pub value: Vec<u8>,
}

/// What an ask does with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Act {
    /// Makes the entry if the key is free, its entry has ended or is the asker's own; else [`Outcome::Held`].
    Claim {
        /// Unix milliseconds at which the entry ends.
        ends_ms: u64,
        /// The entry's value.
        value: Vec<u8>,
    },
    /// Compare and swap on the version; else [`Outcome::Held`], or [`Outcome::Absent`] where there is no entry.
    Put {
        /// The version to be replaced: 0 where there is none, None for whatever is there.
        expects: Option<u64>,
        /// Unix milliseconds at which the entry ends.
        ends_ms: u64,
        /// The entry's value.
        value: Vec<u8>,
    },
    /// Removes the asker's own entry: [`Outcome::Absent`]; another's is [`Outcome::Held`].
    Free,
    /// Reads the entry, as of some moment between the ask and its answer.
    Read,
}

/// An ask of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Chosen by the caller, unique in its incarnation and growing: an ask made twice counts once, and a claim or a free
    /// that comes late undoes none with a higher number.
    pub number: u64,
    /// The key that it is about.
    pub key: Key,
    /// What it does.
    pub act: Act,
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The entry as a quorum of the replicas has it: as the act made it, or as it was read.
    Stands(Entry),
    /// Another owner has the key, or the entry has another version than expected.
    Held(Entry),
    /// There is no such entry (any more).
    Absent,
    /// No quorum answered in time: the act may take effect or not. The same number may be used again.
    Unreachable,
    /// The shard holds as many entries or bytes as it may; nothing was changed.
    Full,
}

/// An answered ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    /// Of the ask.
    pub number: u64,
    /// The answer.
    pub outcome: Outcome,
}

/// One record to be saved, by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Replaces the record saved under the same name.
    pub name: Vec<u8>,
    /// Its content; None: it is to be removed.
    pub bytes: Option<Vec<u8>>,
}

/// Records that must be durable, as a whole, before the messages beside them leave; in order of numbers. Without records
/// its messages only wait for the saves before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Save {
    /// By which [`Ledger::saved`] is told of the outcome.
    pub number: u64,
    /// To be written in this order.
    pub records: Vec<Record>,
    /// Encoded messages, each with its receiver.
    pub packets: Vec<(FrontId, Vec<u8>)>,
}

/// All records, by name, as they were saved last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved(pub Vec<(Vec<u8>, Vec<u8>)>);

/// What is to be sent, saved and answered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Encoded messages that may leave at once, each with its receiver.
    pub packets: Vec<(FrontId, Vec<u8>)>,
    /// In order of their numbers.
    pub saves: Vec<Save>,
    /// Answers to this front's own asks; each ask gets one. One for an order or dedup key that was `Held` may get
    /// `Absent` later: the key is free now, and this front is next.
    pub done: Vec<Done>,
}

/// A front that holds replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The front.
    pub front: FrontId,
    /// Where it is; the replicas of a shard are in different zones where there are.
    pub zone: String,
}

/// How a front takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setup {
    /// The fleet's name: messages and records of another are refused.
    pub fleet: String,
    /// This front.
    pub own: FrontId,
    /// When this front started, in Unix milliseconds; has to grow with each start.
    pub incarnation: u64,
    /// Drawn anew whenever the directory is made new, and at every start without one; never 0.
    pub disk: DiskId,
    /// All fronts that hold replicas, the same list on every front; this front need not be one.
    pub members: Vec<Member>,
    /// Replicas of a shard in all.
    pub copies: usize,
    /// Number of shards; the same on every front, and never changed.
    pub shards: u16,
    /// Most entries of a shard.
    pub most_entries: usize,
    /// Most bytes of a shard's entries.
    pub most_bytes: usize,
    /// Microseconds until an ask that no quorum has answered is [`Outcome::Unreachable`].
    pub ask_timeout: Micros,
    /// Microseconds without a sign of a member until its replicas are rebuilt elsewhere.
    pub repair_after: Micros,
    /// Bytes a second that rebuilding replicas may take.
    pub repair_bytes: u32,
    /// Hundredths of the shards that may move at once for balance, or as members change; 0: none moves.
    pub moves_percent: u8,
    /// Microseconds that a zone is waited for that is away as a whole; never less than `repair_after`.
    pub zone_after: Micros,
    /// The latest message format that it reads and writes, see [`FORMAT`]; an earlier one is for tests of mixed fleets.
    pub format: u8,
    /// The latest format in which it saves entries and records, once all members read it, see [`SAVED_FORMAT`].
    pub saved_format: u8,
    /// Most milliseconds that fronts' Unix clocks differ by: an ended entry is withheld from others for so much longer.
    pub clock_skew_ms: u64,
}

impl Setup {
    /// The operator file's defaults.
    pub fn new(fleet: &str, own: FrontId, incarnation: u64, disk: DiskId, members: Vec<Member>) -> Setup {
        Setup {
            fleet: fleet.to_string(),
            own,
            incarnation,
            disk,
            members,
            copies: 3,
            shards: 16,
            most_entries: 4_096,
            most_bytes: 512 * 1_024,
            ask_timeout: 500_000,
            repair_after: 30_000_000,
            repair_bytes: 16_384,
            moves_percent: 0,
            zone_after: 600_000_000,
            format: FORMAT,
            saved_format: SAVED_FORMAT,
            clock_skew_ms: 500,
        }
    }
}

/// A replica that a front holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The shard.
    pub shard: u16,
    /// The number of the shard's configuration: grows with each change of its members.
    pub config: u32,
    /// This front leads the shard.
    pub is_leader: bool,
}

/// Replicas that differed from the majority of their shard when they were compared, so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Differences {
    /// Found by this front.
    pub found: u64,
    /// Replicas of this front that were repaired.
    pub repaired_here: u64,
}

/// The ledger's counters and its present state on this front.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages, records and asks that were refused, by reason.
    pub refused: std::collections::BTreeMap<&'static str, u64>,
    /// Shards of which this front holds a replica.
    pub copies: usize,
    /// Shards that it leads now.
    pub led: usize,
    /// Of the shards it leads: replicas that are missing, by members that are silent or have yet to catch up.
    pub missing: usize,
    /// Entries in its replicas.
    pub entries: usize,
    /// Bytes of those entries.
    pub bytes: usize,
    /// Asks answered.
    pub answered: u64,
    /// Rounds of the log that the answers took.
    pub rounds: u64,
    /// Replicas rebuilt.
    pub repaired: u64,
    /// Of them, those that moved though none was missing.
    pub moved: u64,
    /// Moves under way now.
    pub moving: usize,
    /// Replicas that differed from the majority when this front compared them.
    pub differed: u64,
    /// Replicas of this front that were repaired after such a comparison.
    pub mended: u64,
    /// Shards that other leaders transferred to it.
    pub taken_over: u64,
    /// A save has failed: this front holds no replicas until it starts again.
    pub failed: bool,
}
