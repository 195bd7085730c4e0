//! What fronts have promised, so that it outlives the machine it was promised on. Entries are kept in shards by key;
//! each shard is a replicated log on a few fronts, in different zones where there are any, and an ask is answered once
//! a majority of them has it lasting. No sockets, no clock, no files, no chance: whoever calls hands in letters, the
//! time and what was saved, and sends and saves what comes out.
//!
//! An ask asked twice counts once (a claim asked again is answered by what stands now): it is known by its front, the front's incarnation and the ask's number. The number
//! may be asked again for `REMEMBERED_MS` after it was first asked; later it is answered `Unreachable`.

mod asks;
mod balance;
mod birth;
mod error;
mod forms;
mod handover;
mod ledger;
mod lines;
mod log;
mod moves;
mod owners;
mod placement;
mod post;
mod records;
mod repair;
mod replica;
mod scrub;
mod shards;
mod state;
mod tail;
mod tallies;
mod upkeep;
mod words;

use serde::{Deserialize, Serialize};

pub use error::Error;
pub use forms::{FORM, KEEPS, OLDEST};
pub use ledger::Ledger;
pub use placement::shard_of;

/// Microseconds on a clock that only ever runs evenly on.
pub type Micros = i64;
/// A front, by the first bytes of its public key.
pub type FrontId = u64;
/// A directory's identity, drawn when it is made new: a front with another remembers nothing of this one.
pub type DiskId = u64;

/// Milliseconds for which the answer to an ask is remembered, so that a retry counts once.
pub const REMEMBERED_MS: u64 = 10_000;

/// One moment on a front's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    pub steady: Micros,
    /// Unix milliseconds: entries end by it.
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
    /// A drain or a start that was told.
    Drain,
    /// Access rules: the set in force and leases on it.
    Rules,
    /// Hits of rules.
    Hits,
    /// A load that summaries have yet to speak beyond.
    Mark,
    /// Shares that fronts hold of a rule's limit.
    Shares,
}

/// An entry's key; its shard follows from the whole of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    pub kind: Kind,
    pub name: String,
}

/// Whose an entry is: a front in one of its lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    pub front: FrontId,
    /// Unix milliseconds when the front began, as in gossip.
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub key: Key,
    pub owner: Owner,
    /// Grows with every change of a key; a key that comes back after its end goes on from a higher one.
    pub version: u64,
    /// Unix milliseconds from which it means nothing; 0: never.
    pub ends_ms: u64,
    pub value: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Act {
    /// Mine if it is free, ended, or mine already; else `Held`.
    Claim { ends_ms: u64, value: Vec<u8> },
    /// Compare and swap on the version (0: there is none; None: whatever is there); else `Held`, or `Absent` where
    /// there is none.
    Put { expects: Option<u64>, ends_ms: u64, value: Vec<u8> },
    /// Removed if mine: `Absent`; another's is `Held`.
    Free,
    /// What stands, as of some moment between the ask and its answer.
    Read,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The caller's, unique in its incarnation and growing: an ask asked twice counts once, and a claim or a free that
    /// comes late undoes none with a higher number.
    pub number: u64,
    pub key: Key,
    pub act: Act,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It stands on a majority of the copies, as the act wanted it or as it was read.
    Stands(Entry),
    /// Another has the key, or it has another version than expected.
    Held(Entry),
    /// There is no such entry (any more).
    Absent,
    /// No majority answered in time: it may stand or not. The same number may be asked again.
    Unreachable,
    /// The shard holds as many entries or bytes as it may; nothing was changed.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    pub number: u64,
    pub outcome: Outcome,
}

/// One record to be kept, by its name; without bytes it is to be removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub name: Vec<u8>,
    pub bytes: Option<Vec<u8>>,
}

/// What must be lasting, as a whole, before its letters leave; in order of numbers. May be empty of records: its
/// letters then only wait for the saves before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Save {
    pub number: u64,
    pub records: Vec<Record>,
    pub letters: Vec<(FrontId, Vec<u8>)>,
}

/// All records as they were kept last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved(pub Vec<(Vec<u8>, Vec<u8>)>);

/// What is to be done for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Out {
    /// May leave at once.
    pub letters: Vec<(FrontId, Vec<u8>)>,
    pub saves: Vec<Save>,
    /// Answers to this front's own asks; each ask gets one. One for an order or dedup key that was `Held` may be told
    /// `Absent` later: the key is free now, and this front's turn.
    pub done: Vec<Done>,
}

/// A front that keeps copies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub front: FrontId,
    /// Where it is; copies lie in different ones where there are.
    pub zone: String,
}

/// How a front takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setup {
    /// The fleet's name: letters and records of another are refused.
    pub fleet: String,
    pub own: FrontId,
    /// Unix milliseconds when this front began: later lives have higher ones.
    pub incarnation: u64,
    /// Drawn anew whenever the directory is made new, and at every start without one; never 0.
    pub disk: DiskId,
    /// All that keep copies, the same on every front; this front need not be one.
    pub members: Vec<Member>,
    /// Copies of a shard in all.
    pub copies: usize,
    /// The same on every front for good.
    pub shards: u16,
    /// Of a shard.
    pub most_entries: usize,
    pub most_bytes: usize,
    /// Microseconds until an ask without a majority's word is `Unreachable`.
    pub patience: Micros,
    /// Microseconds without a sign of a member until its copy is made again elsewhere.
    pub repair_after: Micros,
    /// Bytes a second that making copies again may take.
    pub repair_bytes: u32,
    /// Hundredths of the shards that may move at once for balance, or as members change; 0: none moves.
    pub moves_percent: u8,
    /// Microseconds that a zone is waited for that is away as a whole; never less than `repair_after`.
    pub zone_after: Micros,
    /// The form of letters that it reads and writes, with all before it: an earlier one is for plays of mixed fleets.
    pub form: u8,
    /// The latest form in which it keeps entries and records, once all members read it: see `KEEPS`.
    pub keeps: u8,
    /// Milliseconds that fronts' Unix clocks are apart at most: an ended entry is kept from others for so much longer.
    pub apart_ms: u64,
}

impl Setup {
    /// With what the operator's file has by default.
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
            patience: 500_000,
            repair_after: 30_000_000,
            repair_bytes: 16_384,
            moves_percent: 0,
            zone_after: 600_000_000,
            form: FORM,
            keeps: KEEPS,
            apart_ms: 500,
        }
    }
}

/// What it has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tallies {
    /// Letters, records and asks that counted for nothing, by why.
    pub refused: std::collections::BTreeMap<&'static str, u64>,
    /// Shards of which this front keeps a copy, and of which it is the owner now.
    pub copies: usize,
    pub owned: usize,
    /// Of the shards it owns: copies that are missing, by members that are silent or have yet to catch up.
    pub missing: usize,
    pub entries: usize,
    pub bytes: usize,
    /// Asks answered, and rounds that they took.
    pub answered: u64,
    pub rounds: u64,
    /// Copies made again.
    pub repaired: u64,
    /// Of them, those that moved though none was missing; and those under way now.
    pub moved: u64,
    pub moving: usize,
    /// Copies that differed from the majority when this front compared them, and that were mended here.
    pub differed: u64,
    pub mended: u64,
    /// Shards that others left to it.
    pub inherited: u64,
    /// A save has failed: this front keeps no copies any more in this life.
    pub failed: bool,
}
