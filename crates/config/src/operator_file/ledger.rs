//! The section `gossip.ledger`: which fronts keep copies of promises, how many, where, and within what
//! bounds.

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

/// Copies of each shard: with three one may be lost and a majority still knows.
const DEFAULT_REPLICATION_FACTOR: usize = 3;
const MAX_REPLICATION_FACTOR: usize = 9;
const MAX_SHARDS: u16 = 1_024;
const MAX_SHARD_ENTRIES: usize = 1 << 20;
const MIN_SHARD_BYTES: usize = 4_096;
/// A copy of a shard has to fit the pieces of one message.
const MAX_SHARD_BYTES: usize = 2 << 20;
const MIN_REQUEST_TIMEOUT_MS: f64 = 50.0;
const MAX_REQUEST_TIMEOUT_MS: f64 = 10_000.0;
const MIN_REPAIR_AFTER_MS: f64 = 1_000.0;
const MAX_REPAIR_AFTER_MS: f64 = 86_400_000.0;
const MIN_REPAIR_BYTES_PER_S: u32 = 1_024;
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// A front that keeps copies of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerMember {
    /// Its public key.
    pub key: PublicKey,
    /// Where it listens for other fronts.
    pub address: SocketAddr,
    /// Its location; copies of a shard are spread over locations.
    pub zone: String,
}

/// What a front does whose disk fails while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnDiskFailure {
    /// Serves only what needs no promise.
    Reject,
    /// Holds copies in memory alone, as a front that remembers nothing.
    Memory,
}

/// The ledger of promises: what fronts have promised, in copies that outlive a machine with its disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    /// The fleet's name; messages and records of another are refused.
    pub fleet: String,
    /// The fronts that keep copies.
    pub members: Vec<LedgerMember>,
    /// Where this front's copies are kept; without one they are in memory alone.
    pub directory: Option<String>,
    /// For fault injection: a file that says what befalls the disk that `directory` lies on.
    pub disk_fault_file: Option<String>,
    /// What this front does when its disk fails.
    pub on_disk_failure: OnDiskFailure,
    /// Copies of each shard.
    pub replication_factor: usize,
    /// Shards; the same for the life of the ledger.
    pub shards: u16,
    /// Entries of a shard; a full one refuses new promises.
    pub max_shard_entries: usize,
    /// Bytes of a shard; a full one refuses new promises.
    pub max_shard_bytes: usize,
    /// After that a promise that has no majority is refused.
    pub request_timeout: Micros,
    /// A front that has been silent for so long has its copies made again elsewhere.
    pub repair_after: Micros,
    /// Bytes a second, at each owner of a shard, for making copies again.
    pub repair_bytes_per_s: u32,
    /// Hundredths of the shards that may move at once; 0: none does.
    pub max_moving_percent: u8,
    /// The same as `repair_after`, for a zone all of whose fronts are silent.
    pub zone_repair_after: Micros,
    /// Milliseconds that the fronts' clocks may differ by.
    pub clock_skew_ms: u64,
}

/// Checks the section; `peers` are the fronts known by name.
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

/// How many copies there are; the fleet has a name, and members to keep them.
fn replication_factor(check: &Checker, file: &LedgerFile) -> Result<usize, Error> {
    if file.fleet.is_empty() {
        let problem =
            "names none; give the fleet a name: letters and records of another are told apart by it";
        return check.reject("fleet", problem);
    }
    if file.members.is_empty() {
        let problem = "names none; name the fronts that keep copies, or leave the ledger out";
        return check.reject("members", problem);
    }
    let members = file.members.len();
    let max = MAX_REPLICATION_FACTOR.min(members);
    let copies = file
        .copies
        .unwrap_or(DEFAULT_REPLICATION_FACTOR.min(members));
    if copies == 0 || copies > max {
        let problem = format!(
            "is not from 1 to {max}; give as many as members are named at most, and no more than 9"
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
        let problem = "is under 1024 a second; give more, or no copy is made again in time";
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
        return check.reject("clocks_apart_ms", "is over 60000; set the clocks instead");
    }
    Ok(())
}

fn check_directory(check: &Checker, file: &LedgerFile) -> Result<(), Error> {
    if file.directory.as_ref().is_some_and(String::is_empty) {
        return check.reject(
            "directory",
            "names none; leave the key out to keep copies in memory alone",
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

/// Members are peers, each with a key of its own.
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
