//! The section `gossip.ledger`: the fronts that hold replicas of the ledger, their number and
//! placement, and the limits of the ledger.

mod file;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hallmux::interface::Micros;

use crate::settings::micros;

pub use self::file::LedgerFile;
use self::file::MemberFile;
use super::checker::Checker;
use super::peers::{key_of, GossipPeer, PublicKey, NOT_A_PEER};
use crate::error::Error;

/// Replicas of each shard: with three, a majority remains after the loss of one.
const DEFAULT_REPLICATION_FACTOR: usize = 3;
const MAX_REPLICATION_FACTOR: usize = 9;
const MAX_SHARDS: u16 = 1_024;
const MAX_SHARD_ENTRIES: usize = 1 << 20;
const MIN_SHARD_BYTES: usize = 4_096;
/// Limited because a replica of a shard must fit the fragments of one message.
const MAX_SHARD_BYTES: usize = 2 << 20;
const MIN_REQUEST_TIMEOUT_MS: f64 = 50.0;
const MAX_REQUEST_TIMEOUT_MS: f64 = 10_000.0;
const MIN_REPAIR_AFTER_MS: f64 = 1_000.0;
const MAX_REPAIR_AFTER_MS: f64 = 86_400_000.0;
const MIN_REPAIR_BYTES_PER_S: u32 = 1_024;
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// A front that holds replicas of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerMember {
    /// The front's public key.
    pub key: PublicKey,
    /// The address on which it receives messages from other fronts.
    pub address: SocketAddr,
    /// The front's location; the replicas of a shard are spread over locations.
    pub zone: String,
}

/// The reaction of a running front to a failure of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnDiskFailure {
    /// Serves only statements that need no ledger entry.
    Reject,
    /// Holds replicas in memory only, like a front that has lost its disk.
    Memory,
}

/// The replicated ledger, whose entries survive the loss of a machine with its disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    /// The fleet's name; messages and records of another fleet are rejected.
    pub fleet: String,
    /// The fronts that hold replicas.
    pub members: Vec<LedgerMember>,
    /// The directory of this front's replicas; None: they are in memory only.
    pub directory: Option<String>,
    /// For fault injection: a file that describes faults of the disk that holds `directory`.
    pub disk_fault_file: Option<String>,
    /// This front's reaction to a failure of its disk.
    pub on_disk_failure: OnDiskFailure,
    /// Number of replicas of each shard.
    pub replication_factor: usize,
    /// Number of shards; it can't change during the lifetime of the ledger.
    pub shards: u16,
    /// Maximum number of entries of a shard; a full shard rejects new entries.
    pub max_shard_entries: usize,
    /// Maximum size of a shard in bytes; a full shard rejects new entries.
    pub max_shard_bytes: usize,
    /// Time after which a request for an entry without a majority is rejected.
    pub request_timeout: Micros,
    /// Time without a message from a front after which its replicas are rebuilt on other fronts.
    pub repair_after: Micros,
    /// Bytes a second that each owner of a shard uses to rebuild replicas.
    pub repair_bytes_per_s: u32,
    /// Maximum share of the shards that move at once, in percent; 0: none moves.
    pub max_moving_percent: u8,
    /// Like `repair_after`, for a zone all of whose fronts are silent.
    pub zone_repair_after: Micros,
    /// Maximum difference of the fronts' clocks in milliseconds.
    pub clock_skew_ms: u64,
}

/// Checks the section; each member must be one of `peers`.
pub fn check_ledger(text: &str, file: LedgerFile, peers: &[GossipPeer]) -> Result<Ledger, Error> {
    let check = Checker {
        text,
        section: "gossip.ledger",
    };
    let replication_factor = replication_factor(&check, &file)?;
    check_ranges(&check, &file)?;
    check_directory(&check, &file)?;
    let on_disk_failure = on_disk_failure(&check, &file.on_disk_failure)?;
    let members = members(&check, file.members, peers)?;
    Ok(Ledger {
        fleet: file.fleet,
        members,
        directory: file.directory,
        disk_fault_file: file.drill,
        on_disk_failure,
        replication_factor,
        shards: file.shards,
        max_shard_entries: file.most_entries,
        max_shard_bytes: file.most_bytes,
        request_timeout: micros(file.patience_ms),
        repair_after: micros(file.repair_after_ms),
        repair_bytes_per_s: file.repair_bytes,
        max_moving_percent: file.moves_percent,
        zone_repair_after: micros(file.zone_after_ms),
        clock_skew_ms: file.clocks_apart_ms,
    })
}

/// The number of replicas of each shard. The fleet must have a name and members.
fn replication_factor(check: &Checker, file: &LedgerFile) -> Result<usize, Error> {
    if file.fleet.is_empty() {
        let problem =
            "is empty; give the fleet a name, by which messages and records of other fleets are recognised";
        return check.reject("fleet", problem);
    }
    if file.members.is_empty() {
        let problem =
            "names no member; name the fronts that hold replicas, or leave the ledger out";
        return check.reject("members", problem);
    }
    let members = file.members.len();
    let max = MAX_REPLICATION_FACTOR.min(members);
    let copies = file
        .copies
        .unwrap_or(DEFAULT_REPLICATION_FACTOR.min(members));
    if copies == 0 || copies > max {
        let problem = format!(
            "is not from 1 to {max}; give no more than the number of members, and no more than 9"
        );
        return check.reject("copies", problem);
    }
    Ok(copies)
}

fn check_ranges(check: &Checker, file: &LedgerFile) -> Result<(), Error> {
    check.require_range("shards", file.shards, 1, MAX_SHARDS)?;
    check.require_range("most_entries", file.most_entries, 1, MAX_SHARD_ENTRIES)?;
    check.require_range(
        "most_bytes",
        file.most_bytes,
        MIN_SHARD_BYTES,
        MAX_SHARD_BYTES,
    )?;
    check.require_range(
        "patience_ms",
        file.patience_ms,
        MIN_REQUEST_TIMEOUT_MS,
        MAX_REQUEST_TIMEOUT_MS,
    )?;
    check.require_range(
        "repair_after_ms",
        file.repair_after_ms,
        MIN_REPAIR_AFTER_MS,
        MAX_REPAIR_AFTER_MS,
    )?;
    if file.repair_bytes < MIN_REPAIR_BYTES_PER_S {
        let problem =
            "is under 1024 bytes a second; give more, or lost replicas are not rebuilt in time";
        return check.reject("repair_bytes", problem);
    }
    check.require_range("moves_percent", file.moves_percent, 0, 100)?;
    check.require_range(
        "zone_after_ms",
        file.zone_after_ms,
        file.repair_after_ms,
        MAX_REPAIR_AFTER_MS,
    )?;
    if file.clocks_apart_ms > MAX_CLOCK_SKEW_MS {
        return check.reject(
            "clocks_apart_ms",
            "is over 60000; synchronise the clocks instead",
        );
    }
    Ok(())
}

fn check_directory(check: &Checker, file: &LedgerFile) -> Result<(), Error> {
    if file.directory.as_ref().is_some_and(String::is_empty) {
        return check.reject(
            "directory",
            "is empty; leave the key out to keep replicas in memory only",
        );
    }
    if file.drill.is_some() && file.directory.is_none() {
        return check.reject(
            "drill",
            "needs gossip.ledger.directory; name one, or leave the drill out",
        );
    }
    Ok(())
}

fn on_disk_failure(check: &Checker, word: &str) -> Result<OnDiskFailure, Error> {
    match word {
        "refuse" => Ok(OnDiskFailure::Reject),
        "memory" => Ok(OnDiskFailure::Memory),
        _ => check.reject(
            "on_disk_failure",
            "is neither 'refuse' nor 'memory'; give one of them",
        ),
    }
}

/// Reads the members: peers with distinct public keys.
fn members(
    check: &Checker,
    named: BTreeMap<String, MemberFile>,
    peers: &[GossipPeer],
) -> Result<Vec<LedgerMember>, Error> {
    let mut members = Vec::new();
    let mut keys_seen = BTreeSet::new();
    for (name, MemberFile { at: address, zone }) in named {
        let path = format!("members.{name}");
        let Some(key) = key_of(peers, &name) else {
            return check.reject(&path, NOT_A_PEER);
        };
        if !keys_seen.insert(key) {
            let problem = "has the key of another member; give each front a key of its own";
            return check.reject(&path, problem);
        }
        members.push(LedgerMember { key, address, zone });
    }
    Ok(members)
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
