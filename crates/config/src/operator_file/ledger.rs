//! The section `gossip.ledger`: which fronts keep copies of promises, how many, where, and within what
//! bounds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hallmux::interface::Micros;
use serde::Deserialize;

use crate::settings::micros;

use super::gossip::NOT_A_PEER;
use super::position::Checker;
use crate::error::Error;

const COPIES: usize = 3; // one may be lost, with its disk, and a majority still knows
const MOST_COPIES: usize = 9; // each round waits for a majority of them
const SHARDS: u16 = 16; // owners to share the work among; each costs its members a heartbeat
const MOST_SHARDS: u16 = 1_024;
const ENTRIES: usize = 4_096; // of a shard: 65,536 in all
const MOST_ENTRIES: usize = 1 << 20;
const BYTES: usize = 512 * 1_024; // of a shard: some seconds to copy by the budget below
const MOST_BYTES: usize = 2 << 20; // a copy has to fit the pieces of one message
const PATIENCE_MS: f64 = 500.0; // milliseconds: an election and some round trips
const REPAIR_AFTER_MS: f64 = 30_000.0; // milliseconds: a restart is no loss
const REPAIR_BYTES: u32 = 65_536; // a second: a tenth of what the ledger's messages may take
const MOVES_PERCENT: u8 = 25; // hundredths of the shards: most answer without so much as an election
const ZONE_AFTER_MS: f64 = 600_000.0; // milliseconds: a zone's power or uplink comes back within minutes
const DAY_MS: f64 = 86_400_000.0; // milliseconds; nothing here waits longer
const APART_MS: u64 = 500; // milliseconds: what a machine without care for its clock is off

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberFile {
    at: SocketAddr,
    #[serde(default)]
    zone: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerFile {
    fleet: String,
    members: BTreeMap<String, MemberFile>,
    directory: Option<String>,
    drill: Option<String>,
    #[serde(default = "refuse")]
    on_disk_failure: String,
    #[serde(default)]
    copies: Option<usize>,
    #[serde(default = "shards")]
    shards: u16,
    #[serde(default = "entries")]
    most_entries: usize,
    #[serde(default = "bytes")]
    most_bytes: usize,
    #[serde(default = "patience")]
    patience_ms: f64,
    #[serde(default = "repair_after")]
    repair_after_ms: f64,
    #[serde(default = "repair_bytes")]
    repair_bytes: u32,
    #[serde(default = "moves_percent")]
    moves_percent: u8,
    #[serde(default = "zone_after")]
    zone_after_ms: f64,
    #[serde(default = "apart")]
    clocks_apart_ms: u64,
}

fn refuse() -> String {
    "refuse".to_string()
}

fn shards() -> u16 {
    SHARDS
}

fn entries() -> usize {
    ENTRIES
}

fn bytes() -> usize {
    BYTES
}

fn patience() -> f64 {
    PATIENCE_MS
}

fn repair_after() -> f64 {
    REPAIR_AFTER_MS
}

fn repair_bytes() -> u32 {
    REPAIR_BYTES
}

fn moves_percent() -> u8 {
    MOVES_PERCENT
}

fn zone_after() -> f64 {
    ZONE_AFTER_MS
}

fn apart() -> u64 {
    APART_MS
}

/// A front that keeps copies of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerMember {
    /// Its public key.
    pub key: [u8; 32],
    /// Where it listens for other fronts.
    pub at: SocketAddr,
    /// Its location; copies of a shard are spread over locations.
    pub zone: String,
}

/// What a front does whose disk fails while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnDiskFailure {
    /// Serves only what needs no promise.
    Refuse,
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
    pub copies: usize,
    /// Shards; the same for the life of the ledger.
    pub shards: u16,
    /// Entries of a shard; a full one refuses new promises.
    pub most_entries: usize,
    /// Bytes of a shard; a full one refuses new promises.
    pub most_bytes: usize,
    /// After that a promise that has no majority is refused.
    pub patience: Micros,
    /// A front that has been silent for so long has its copies made again elsewhere.
    pub repair_after: Micros,
    /// Bytes a second, at each owner of a shard, for making copies again.
    pub repair_bytes: u32,
    /// Hundredths of the shards that may move at once; 0: none does.
    pub moves_percent: u8,
    /// The same as `repair_after`, for a zone that is away as a whole.
    pub zone_after: Micros,
    /// Milliseconds that the fronts' clocks may differ by.
    pub clocks_apart_ms: u64,
}

/// Checks the section; `peers` are the fronts known by name.
pub fn ledger(text: &str, file: LedgerFile, peers: &[(String, [u8; 32])]) -> Result<Ledger, Error> {
    let check = Checker {
        text,
        section: "gossip.ledger",
    };
    let copies = copies(&check, &file)?;
    check_ranges(&check, &file)?;
    if file.directory.as_ref().is_some_and(String::is_empty) {
        return check.refuse(
            "directory",
            "names none; leave the key out to keep copies in memory alone",
        );
    }
    if file.drill.is_some() && file.directory.is_none() {
        return check.refuse(
            "drill",
            "needs gossip.ledger.directory; name one, or leave the drill out",
        );
    }
    let on_disk_failure = match file.on_disk_failure.as_str() {
        "refuse" => OnDiskFailure::Refuse,
        "memory" => OnDiskFailure::Memory,
        _ => {
            return check.refuse(
                "on_disk_failure",
                "is neither 'refuse' nor 'memory'; give one of them",
            )
        }
    };
    let members = members(&check, file.members, peers)?;
    Ok(Ledger {
        fleet: file.fleet,
        members,
        directory: file.directory,
        disk_fault_file: file.drill,
        on_disk_failure,
        copies,
        shards: file.shards,
        most_entries: file.most_entries,
        most_bytes: file.most_bytes,
        patience: micros(file.patience_ms),
        repair_after: micros(file.repair_after_ms),
        repair_bytes: file.repair_bytes,
        moves_percent: file.moves_percent,
        zone_after: micros(file.zone_after_ms),
        clocks_apart_ms: file.clocks_apart_ms,
    })
}

/// How many copies there are; the fleet has a name, and members to keep them.
fn copies(check: &Checker, file: &LedgerFile) -> Result<usize, Error> {
    if file.fleet.is_empty() {
        let problem =
            "names none; give the fleet a name: letters and records of another are told apart by it";
        return check.refuse("fleet", problem);
    }
    if file.members.is_empty() {
        let problem = "names none; name the fronts that keep copies, or leave the ledger out";
        return check.refuse("members", problem);
    }
    let most = MOST_COPIES.min(file.members.len());
    let copies = file.copies.unwrap_or(COPIES.min(file.members.len()));
    if copies == 0 || copies > most {
        let problem =
            format!("is not from 1 to {most}; give as many as members are named at most, and no more than 9");
        return check.refuse("copies", problem);
    }
    Ok(copies)
}

fn check_ranges(check: &Checker, file: &LedgerFile) -> Result<(), Error> {
    check.range("shards", file.shards, 1, MOST_SHARDS)?;
    check.range("most_entries", file.most_entries, 1, MOST_ENTRIES)?;
    check.range("most_bytes", file.most_bytes, 4_096, MOST_BYTES)?;
    check.range("patience_ms", file.patience_ms, 50.0, 10_000.0)?;
    check.range("repair_after_ms", file.repair_after_ms, 1_000.0, DAY_MS)?;
    if file.repair_bytes < 1_024 {
        let problem = "is under 1024 a second; give more, or no copy is made again in time";
        return check.refuse("repair_bytes", problem);
    }
    check.range("moves_percent", file.moves_percent, 0, 100)?;
    check.range(
        "zone_after_ms",
        file.zone_after_ms,
        file.repair_after_ms,
        DAY_MS,
    )?;
    if file.clocks_apart_ms > 60_000 {
        return check.refuse("clocks_apart_ms", "is over 60000; set the clocks instead");
    }
    Ok(())
}

/// Members are peers, each with a key of its own.
fn members(
    check: &Checker,
    named: BTreeMap<String, MemberFile>,
    peers: &[(String, [u8; 32])],
) -> Result<Vec<LedgerMember>, Error> {
    let (mut members, mut seen) = (Vec::new(), BTreeSet::new());
    for (name, MemberFile { at, zone }) in named {
        let key = format!("members.{name}");
        match peers.iter().find(|(peer, _)| *peer == name) {
            Some((_, key)) if seen.insert(*key) => members.push(LedgerMember {
                key: *key,
                at,
                zone,
            }),
            Some(_) => {
                let problem = "has the key of another member; give each front a key of its own";
                return check.refuse(&key, problem);
            }
            None => return check.refuse(&key, NOT_A_PEER),
        }
    }
    Ok(members)
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
