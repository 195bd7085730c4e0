//! What is saved of shards: records with a checksum each, so that a damaged one is refused and not believed.

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

/// Goes into the checksum of records that name their format: those of the first format name none.
const FORMAT_FLAG: u32 = 0x464f_524d;
const CHECKSUM_BYTES: usize = 4; // bytes of the checksum before a record

/// The record that names the fleet and the disk of all records, and the latest format of any of them. It is itself of the
/// first format.
#[derive(Serialize, Deserialize)]
struct Header {
    format: u8,
    fleet: u64,
    disk: u64,
}

/// What a member saves of a shard beside its log and its snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Meta {
    pub config: u32,
    pub members: Vec<ReplicaId>,
    /// This front is one of them; otherwise the record is kept so that the front never joins this configuration or an
    /// earlier one.
    pub is_member: bool,
    pub promise: Option<Ballot>,
    pub accepted_round: Option<Ballot>,
    pub decided: usize,
    pub compacted: usize,
    /// The number of the entry that comes next.
    pub end: usize,
}

/// The kinds of records, by the first byte of their names.
const HEADER: u8 = b'm';
const META: u8 = b's';
const LOG: u8 = b'l';
const SNAPSHOT: u8 = b'n';
const BOOTSTRAP: u8 = b'b';

fn name(kind: u8, shard: u16, rest: &[u8]) -> Vec<u8> {
    [&[kind], &shard.to_be_bytes()[..], rest].concat()
}

/// A record in a format.
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

/// What a record holds, if it is what was written under its name.
fn checked<'a>(name: &[u8], bytes: &'a [u8]) -> Result<&'a [u8], Error> {
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
    decode(checked(name, bytes)?).ok_or_else(|| damaged(name))
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
    record(format, name(META, shard, &[]), meta)
}

pub(crate) fn entry(shard: u16, index: usize, batch: &Batch) -> Record {
    record(
        batch.tail.format(),
        name(LOG, shard, &(index as u64).to_be_bytes()),
        batch,
    )
}

pub(crate) fn no_entry(shard: u16, index: usize) -> Record {
    Record {
        name: name(LOG, shard, &(index as u64).to_be_bytes()),
        bytes: None,
    }
}

pub(crate) fn snapshot(shard: u16, snapshot: &LogSnapshot) -> Record {
    record(snapshot.format(), name(SNAPSHOT, shard, &[]), snapshot)
}

pub(crate) fn no_snapshot(shard: u16) -> Record {
    Record {
        name: name(SNAPSHOT, shard, &[]),
        bytes: None,
    }
}

pub(crate) fn bootstrap(shard: u16, agreed: &[ReplicaIncarnation]) -> Record {
    record(OLDEST_FORMAT, name(BOOTSTRAP, shard, &[]), &agreed.to_vec())
}

pub(crate) fn no_bootstrap(shard: u16) -> Record {
    Record {
        name: name(BOOTSTRAP, shard, &[]),
        bytes: None,
    }
}

/// What was saved of one shard.
#[derive(Default)]
pub(crate) struct SavedShard {
    pub meta: Option<Meta>,
    pub log_state: LogState<Batch>,
    pub bootstrap: Vec<ReplicaIncarnation>,
}

/// Reads what was saved in an earlier life, with the latest format that it is of.
pub(crate) fn read(
    setup: &Setup,
    fleet: u64,
    saved: &Saved,
) -> Result<(u8, BTreeMap<u16, SavedShard>), Error> {
    let records: BTreeMap<&[u8], &[u8]> = saved
        .0
        .iter()
        .map(|(name, bytes)| (name.as_slice(), bytes.as_slice()))
        .collect();
    let mut shards: BTreeMap<u16, SavedShard> = BTreeMap::new();
    let Some(bytes) = records.get(&[HEADER][..]) else {
        return records
            .keys()
            .next()
            .map_or(Ok((OLDEST_FORMAT, shards)), |name| Err(damaged(name)));
    };
    // The format goes first in every version: an unknown one may have anything behind it.
    let format = checked(&[HEADER], bytes)?
        .first()
        .copied()
        .unwrap_or_default();
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
    let mut logs: BTreeMap<u16, BTreeMap<u64, Batch>> = BTreeMap::new();
    for (name, bytes) in records {
        let damaged = || damaged(name);
        let Some((kind, rest)) = name.split_first().filter(|(kind, _)| **kind != HEADER) else {
            continue;
        };
        let (shard, rest) = rest.split_at_checked(2).ok_or_else(damaged)?;
        let shard = u16::from_be_bytes(shard.try_into().map_err(|_| damaged())?);
        let saved_shard = shards.entry(shard).or_default();
        match (*kind, rest) {
            (META, []) => saved_shard.meta = Some(open(name, bytes)?),
            (SNAPSHOT, []) => saved_shard.log_state.snapshot = Some(open(name, bytes)?),
            (BOOTSTRAP, []) => saved_shard.bootstrap = open(name, bytes)?,
            (LOG, index) => {
                let index = index
                    .try_into()
                    .map(u64::from_be_bytes)
                    .map_err(|_| damaged())?;
                logs.entry(shard)
                    .or_default()
                    .insert(index, open(name, bytes)?);
            }
            _ => return Err(damaged()),
        }
    }
    for (shard, saved_shard) in &mut shards {
        let log = logs.remove(shard).unwrap_or_default();
        if let Some(meta) = saved_shard.meta.as_ref().filter(|meta| meta.is_member) {
            let whole = (meta.compacted as u64..meta.end as u64).eq(log.keys().copied());
            let damaged = || Error::Damaged {
                record: format!("log of shard {shard}"),
            };
            if !whole || saved_shard.log_state.snapshot.is_none() || meta.decided > meta.end {
                return Err(damaged());
            }
            saved_shard.log_state.promise = meta.promise;
            saved_shard.log_state.accepted_round = meta.accepted_round;
            (
                saved_shard.log_state.decided,
                saved_shard.log_state.compacted,
            ) = (meta.decided, meta.compacted);
            saved_shard.log_state.log = log.into_values().collect();
        }
    }
    Ok((format, shards))
}
