//! The saved records of shards. Each has a checksum, so that a damaged record is rejected.

use std::collections::BTreeMap;

use hallmux_replica::LogState;
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

use crate::batch::Batch;
use crate::encoding::{decode, encode};
use crate::formats::{FIRST_EXPLICIT_FORMAT, FORMAT, OLDEST_FORMAT};
use crate::members::{ReplicaId, ReplicaIncarnation};
use crate::snapshot::LogSnapshot;
use crate::{Error, Record, Saved, Setup};

/// Mixed into the checksum of records that name their format; records of the first format name
/// none.
const FORMAT_FLAG: u32 = 0x464f_524d;
/// Bytes of the checksum before a record.
const CHECKSUM_BYTES: usize = 4;

/// The record that names the fleet and the disk of all records, and the latest format of any of
/// them. The header itself has the first format.
#[derive(Serialize, Deserialize)]
struct Header {
    format: u8,
    fleet: u64,
    disk: u64,
}

/// What a member saves of a shard in addition to its log and its snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Meta {
    pub config: u32,
    pub members: Vec<ReplicaId>,
    /// Whether this front is one of the members. If not, the record is kept so that the front never
    /// joins this configuration or an earlier one.
    pub is_member: bool,
    pub promise: Option<Ballot>,
    pub accepted_round: Option<Ballot>,
    pub decided: usize,
    pub compacted: usize,
    /// The index of the next entry.
    pub end: usize,
}

/// The kinds of records, by the first byte of their names.
const HEADER: u8 = b'm';
const META: u8 = b's';
const LOG: u8 = b'l';
const SNAPSHOT: u8 = b'n';
const BOOTSTRAP: u8 = b'b';

fn record_name(kind: u8, shard: u16, suffix: &[u8]) -> Vec<u8> {
    [&[kind], &shard.to_be_bytes()[..], suffix].concat()
}

/// Encodes a record in a format.
fn record<T: Serialize>(format: u8, name: Vec<u8>, value: &T) -> Record {
    let mut body = encode(value);
    let mut flag = 0;
    if format >= FIRST_EXPLICIT_FORMAT {
        body.insert(0, format);
        flag = FORMAT_FLAG;
    }
    let checksum = (checksum(&name, &body) ^ flag).to_be_bytes();
    Record {
        name,
        bytes: Some([&checksum[..], &body].concat()),
    }
}

fn checksum(name: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(name);
    hasher.update(body);
    hasher.finalize()
}

fn damaged(name: &[u8]) -> Error {
    Error::Damaged {
        record: name.escape_ascii().to_string(),
    }
}

/// The body of a record, if its checksum matches its name and content and its format is known.
fn verified_body<'a>(name: &[u8], bytes: &'a [u8]) -> Result<&'a [u8], Error> {
    let (given, body) = bytes
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or_else(|| damaged(name))?;
    let checksum = checksum(name, body);
    if given == checksum.to_be_bytes() {
        return Ok(body);
    }
    if given != (checksum ^ FORMAT_FLAG).to_be_bytes() {
        return Err(damaged(name));
    }
    match body.split_first() {
        Some((FIRST_EXPLICIT_FORMAT..=FORMAT, body)) => Ok(body),
        Some((format, _)) => Err(Error::Version {
            found: *format,
            reads: FORMAT,
        }),
        None => Err(damaged(name)),
    }
}

fn open<'a, T: Deserialize<'a>>(name: &[u8], bytes: &'a [u8]) -> Result<T, Error> {
    decode(verified_body(name, bytes)?).ok_or_else(|| damaged(name))
}

pub(crate) fn header(format: u8, fleet: u64, disk: u64) -> Record {
    record(
        OLDEST_FORMAT,
        vec![HEADER],
        &Header {
            format,
            fleet,
            disk,
        },
    )
}

pub(crate) fn meta(format: u8, shard: u16, meta: &Meta) -> Record {
    record(format, record_name(META, shard, &[]), meta)
}

pub(crate) fn entry(shard: u16, index: usize, batch: &Batch) -> Record {
    record(
        batch.tail.format(),
        record_name(LOG, shard, &(index as u64).to_be_bytes()),
        batch,
    )
}

pub(crate) fn remove_entry(shard: u16, index: usize) -> Record {
    Record {
        name: record_name(LOG, shard, &(index as u64).to_be_bytes()),
        bytes: None,
    }
}

pub(crate) fn snapshot(shard: u16, snapshot: &LogSnapshot) -> Record {
    record(
        snapshot.format(),
        record_name(SNAPSHOT, shard, &[]),
        snapshot,
    )
}

pub(crate) fn remove_snapshot(shard: u16) -> Record {
    Record {
        name: record_name(SNAPSHOT, shard, &[]),
        bytes: None,
    }
}

pub(crate) fn bootstrap(shard: u16, agreed: &[ReplicaIncarnation]) -> Record {
    record(
        OLDEST_FORMAT,
        record_name(BOOTSTRAP, shard, &[]),
        &agreed.to_vec(),
    )
}

pub(crate) fn remove_bootstrap(shard: u16) -> Record {
    Record {
        name: record_name(BOOTSTRAP, shard, &[]),
        bytes: None,
    }
}

/// The saved state of one shard.
#[derive(Default)]
pub(crate) struct SavedShard {
    pub meta: Option<Meta>,
    pub log_state: LogState<Batch>,
    pub bootstrap: Vec<ReplicaIncarnation>,
}

/// The state saved by an earlier incarnation.
pub(crate) struct SavedShards {
    /// The latest format of any record.
    pub format: u8,
    pub shards: BTreeMap<u16, SavedShard>,
}

impl SavedShards {
    /// The state if nothing was saved.
    pub fn empty() -> SavedShards {
        SavedShards {
            format: OLDEST_FORMAT,
            shards: BTreeMap::new(),
        }
    }
}

/// Reads the records that an earlier incarnation of this front saved. Fails if they are damaged, of
/// another fleet or disk, or of an unknown format.
pub(crate) fn read(setup: &Setup, fleet: u64, saved: &Saved) -> Result<SavedShards, Error> {
    let records: BTreeMap<&[u8], &[u8]> = saved
        .0
        .iter()
        .map(|(name, bytes)| (name.as_slice(), bytes.as_slice()))
        .collect();
    let Some(header) = records.get(&[HEADER][..]) else {
        return match records.keys().next() {
            Some(name) => Err(damaged(name)),
            None => Ok(SavedShards::empty()),
        };
    };
    let format = check_header(setup, fleet, header)?;
    let mut shards: BTreeMap<u16, SavedShard> = BTreeMap::new();
    let mut logs: BTreeMap<u16, SavedLog> = BTreeMap::new();
    for (name, bytes) in records {
        if matches!(name.first(), None | Some(&HEADER)) {
            continue;
        }
        let parsed = RecordName::parse(name)?;
        let shard = shards.entry(parsed.shard).or_default();
        match (parsed.kind, parsed.suffix) {
            (META, []) => shard.meta = Some(open(name, bytes)?),
            (SNAPSHOT, []) => shard.log_state.snapshot = Some(open(name, bytes)?),
            (BOOTSTRAP, []) => shard.bootstrap = open(name, bytes)?,
            (LOG, index) => {
                let index = index.try_into().map_err(|_| damaged(name))?;
                let log = logs.entry(parsed.shard).or_default();
                log.insert(u64::from_be_bytes(index), open(name, bytes)?);
            }
            _ => return Err(damaged(name)),
        }
    }
    for (number, shard) in &mut shards {
        let log = logs.remove(number).unwrap_or_default();
        shard.restore_log(*number, log)?;
    }
    Ok(SavedShards { format, shards })
}

/// Entries of a log by index.
type SavedLog = BTreeMap<u64, Batch>;

/// Checks that all records belong to this fleet and disk and have a format that this build reads;
/// returns the latest format.
fn check_header(setup: &Setup, fleet: u64, bytes: &[u8]) -> Result<u8, Error> {
    // The format is the first field in every version; the fields after an unknown format are
    // unknown.
    let body = verified_body(&[HEADER], bytes)?;
    let format = body.first().copied().unwrap_or_default();
    if !(OLDEST_FORMAT..=setup.format).contains(&format) {
        return Err(Error::Version {
            found: format,
            reads: setup.format,
        });
    }
    let header: Header = open(&[HEADER], bytes)?;
    if header.fleet != fleet {
        return Err(Error::Fleet);
    }
    if header.disk != setup.disk {
        return Err(Error::Disk {
            found: header.disk,
            given: setup.disk,
        });
    }
    Ok(format)
}

/// The parsed name of a shard's record.
struct RecordName<'a> {
    kind: u8,
    shard: u16,
    suffix: &'a [u8],
}

impl RecordName<'_> {
    fn parse(name: &[u8]) -> Result<RecordName<'_>, Error> {
        let (kind, suffix) = name.split_first().ok_or_else(|| damaged(name))?;
        let (shard, suffix) = suffix.split_first_chunk().ok_or_else(|| damaged(name))?;
        Ok(RecordName {
            kind: *kind,
            shard: u16::from_be_bytes(*shard),
            suffix,
        })
    }
}

impl SavedShard {
    /// Restores the log if this front is a member of the shard; fails if entries are missing.
    fn restore_log(&mut self, number: u16, log: SavedLog) -> Result<(), Error> {
        let Some(meta) = self.meta.as_ref().filter(|meta| meta.is_member) else {
            return Ok(());
        };
        let is_complete = (meta.compacted as u64..meta.end as u64).eq(log.keys().copied());
        if !is_complete || self.log_state.snapshot.is_none() || meta.decided > meta.end {
            return Err(Error::Damaged {
                record: format!("log of shard {number}"),
            });
        }
        self.log_state.promise = meta.promise;
        self.log_state.accepted_round = meta.accepted_round;
        self.log_state.decided = meta.decided;
        self.log_state.compacted = meta.compacted;
        self.log_state.log = log.into_values().collect();
        Ok(())
    }
}
