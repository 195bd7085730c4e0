//! The replicated ledger: entries that fronts rely on, which outlive the machine that made them. Entries belong to
//! shards by key. Each shard is a replicated log (OmniPaxos) on a few fronts, in different zones where there are any.
//! Free of sockets, clocks, files and randomness: the caller passes in messages, the time and the saved records, and
//! sends and saves what comes out.
//!
//! # What is lost with a disk
//!
//! A request is answered once a quorum of the shard's replicas has made its effect durable. So:
//!
//! - One disk lost: no entry is lost. The front comes back with a new [`DiskId`], as a replica that has promised nothing;
//!   the shard's leader replaces the old replica by the new one, or by another front after [`Setup::repair_after`].
//! - A quorum of a shard's disks lost before they are replaced (two of three): entries of that shard can be lost.
//! - A front that is down with its disk intact loses nothing: it reads its records and catches up.
//! - A front that keeps its replicas in memory only loses them with the process, as if the disk were lost.
//! - In memory alone, and lost with every process: requests under way, queues of fronts that wait for a key, counters.
//!
//! # Requests
//!
//! A request made twice counts once (a repeated claim is answered by the entry as it is then): it is known by its front,
//! the front's incarnation and its number. The number may be repeated for [`REMEMBERED_MS`] after it was first used;
//! later it is answered [`Outcome::Unreachable`].
//!
//! # Where to look
//!
//! - A request: `requests` (this front's and others'), `pending_requests` (retries), `rounds` (commit and answer),
//!   `state` (what an operation does), `key_queues` (who is next for a key).
//! - Durability: `durability` (nothing leaves before its save), `records` (what is saved), `replica`, `log`.
//! - Members: `bootstrap` (a shard's start), `maintenance` and `repair` (replaced replicas), `membership` (the next
//!   configuration), `rebalance`, `balance` and `placement` (where replicas are placed), `away` (who is waited for).
//! - Leaders: `leader_transfer` (shutdown and yielding), `leader_placement`.
//! - Anti-entropy: `anti_entropy`, `comparison`.
//! - Messages: `incoming`, `messages`, `transport`, `formats`, `peer_formats`, `rejection`.

#![warn(missing_docs)]

mod anti_entropy;
mod away;
mod balance;
mod batch;
mod bootstrap;
mod comparison;
mod counters;
mod durability;
mod encoding;
mod entry;
mod error;
mod formats;
mod incoming;
mod key_queues;
mod leader_placement;
mod leader_transfer;
mod ledger;
mod log;
mod long_message;
mod maintenance;
mod members;
mod membership;
mod messages;
mod pacer;
mod packet_limits;
mod peer;
mod peer_formats;
mod pending_requests;
mod placement;
mod reassembly;
mod rebalance;
mod records;
mod rejection;
mod repair;
mod replica;
mod requests;
mod rounds;
mod setup;
mod shard_view;
mod snapshot;
mod state;
mod stored_answers;
mod tail;
mod transport;

pub use counters::{Counters, Differences, ReplicaStatus};
pub use entry::{Entry, Key, Kind, LedgerAnswer, LedgerRequest, Operation, Outcome, Owner};
pub use error::Error;
pub use formats::{FORMAT, OLDEST_FORMAT, SAVED_FORMAT};
pub use ledger::Ledger;
pub use placement::shard_of;
pub use setup::{Member, Setup};

/// A time on a monotonic clock, or a duration, in microseconds.
pub type Micros = i64;
/// A front: the first eight bytes of its public key.
pub type FrontId = u64;
/// A directory's identity, drawn when it is made: a front with another one holds none of its replicas.
pub type DiskId = u64;

/// Milliseconds for which the answer to a request is remembered, so that a repeat counts once.
pub const ANSWER_RETENTION_MS: u64 = 10_000;

/// One moment on a front's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Microseconds on a monotonic clock that runs evenly.
    pub steady: Micros,
    /// Unix time in milliseconds: entries end by it.
    pub wall_ms: u64,
}

/// One record to be saved, by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Replaces the record saved under the same name.
    pub name: Vec<u8>,
    /// Its content; None: it is to be removed.
    pub bytes: Option<Vec<u8>>,
}

/// An encoded message to another front, for one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPacket {
    /// The receiver.
    pub to: FrontId,
    /// The message, to be sealed and sent as it is.
    pub bytes: Vec<u8>,
}

/// Records that must be durable, as a whole, before the messages beside them leave; in order of numbers. Without records
/// its messages only wait for the saves before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Save {
    /// By which [`Ledger::saved`] is told of the outcome.
    pub number: u64,
    /// To be written in this order.
    pub records: Vec<Record>,
    /// They may leave once the records are durable.
    pub packets: Vec<OutgoingPacket>,
}

/// All records, by name, as they were saved last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved(pub Vec<(Vec<u8>, Vec<u8>)>);

/// What is to be sent, saved and answered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// They may leave at once.
    pub packets: Vec<OutgoingPacket>,
    /// In order of their numbers.
    pub saves: Vec<Save>,
    /// Answers to this front's own requests; each gets one. One for an order or dedup key that was `Held` may get
    /// `Absent` later: the key is free now, and this front is next.
    pub answers: Vec<LedgerAnswer>,
}
