//! The replicated ledger: entries that fronts rely on and that outlive the machine that made them.
//! Entries belong to shards by key. Each shard is a replicated log (OmniPaxos) on a few fronts, in
//! different zones if there are several. The crate uses no sockets, clocks, files or randomness:
//! the caller passes in messages, the time and the saved records, and sends and saves the output.
//!
//! # What is lost with a disk
//!
//! A request is answered once a quorum of the shard's replicas has made its effect durable. So:
//!
//! - One disk lost: no entry is lost. The front comes back with a new [`DiskId`], as a replica
//!   without any Paxos promises; the shard's leader replaces the old replica by the new one, or by
//!   another front after [`Setup::repair_after`].
//! - A quorum of a shard's disks lost before they are replaced (two of three): entries of that
//!   shard can be lost.
//! - A front that is down with its disk intact loses nothing: it reads its records and catches up.
//! - A front that keeps its replicas in memory only loses them with the process, as if the disk
//!   were lost.
//! - Only in memory, and lost with every process: requests in progress, queues of fronts that wait
//!   for a key, counters.
//!
//! # Requests
//!
//! A request is identified by its front, the front's incarnation and its number, and is applied
//! once even if it is repeated (a repeated claim is answered with the current entry). The number
//! may be repeated for [`ANSWER_RETENTION_MS`] after it was first used; later it is answered with
//! [`Outcome::Unreachable`].
//!
//! # Where to look
//!
//! - Requests: `requests` (from this front and others), `pending_requests` (retries), `rounds`
//!   (commit and answer), `state` (what an operation does), `key_queues` (which front is next for a
//!   key).
//! - Durability: `durability` (nothing is sent before its save), `records` (what is saved),
//!   `replica`, `log`.
//! - Members: `bootstrap` (a shard's start), `maintenance` and `repair` (replacing replicas),
//!   `membership` (the next configuration), `rebalance`, `balance` and `placement` (where replicas
//!   are placed), `away` (absent fronts).
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
/// The identity of a front: the first eight bytes of its public key.
pub type FrontId = u64;
/// The identity of a disk directory, drawn at random when the directory is created. A front that
/// comes back with another one holds none of its replicas.
pub type DiskId = u64;

/// Milliseconds for which the answer to a request is retained, so that a repeat is applied once.
pub const ANSWER_RETENTION_MS: u64 = 10_000;

/// A reading of a front's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Microseconds on a monotonic clock that is never stepped.
    pub steady: Micros,
    /// Unix time in milliseconds, by which entries expire.
    pub wall_ms: u64,
}

/// One record to save, identified by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The name; the record replaces the one saved under the same name.
    pub name: Vec<u8>,
    /// The content; None removes the record.
    pub bytes: Option<Vec<u8>>,
}

/// An encoded packet to another front, for one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPacket {
    /// The receiver.
    pub to: FrontId,
    /// The packet, to be sealed and sent unchanged.
    pub bytes: Vec<u8>,
}

/// Records that must be durable, all of them, before the packets of the same save are sent. Saves
/// complete in the order of their numbers. A save without records makes its packets wait for the
/// earlier saves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Save {
    /// The number that identifies the save in [`Ledger::saved`].
    pub number: u64,
    /// The records, to be written in this order.
    pub records: Vec<Record>,
    /// The packets to send once the records are durable.
    pub packets: Vec<OutgoingPacket>,
}

/// All records, by name, as last saved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved(pub Vec<(Vec<u8>, Vec<u8>)>);

/// Messages to send, records to save, and answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Packets to send at once.
    pub packets: Vec<OutgoingPacket>,
    /// Saves, in order of their numbers.
    pub saves: Vec<Save>,
    /// Answers to this front's requests, one for each. A request for an order or dedup key that was
    /// answered `Held` may get a second answer `Absent`: the key is free now, and this front is
    /// next.
    pub answers: Vec<LedgerAnswer>,
}
