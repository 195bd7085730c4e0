//! What is kept of shards, as records with a checksum each, so that a damaged one is refused and not believed.

use std::collections::BTreeMap;

use hallmux_replica::LogState;
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

use crate::forms::{FORM, FORMED, OLDEST};
use crate::messages::{self, ReplicaIncarnation};
use crate::state::{Batch, Folded, ReplicaId};
use crate::{Error, Record, Saved, Setup};

/// In the checksum of records that say their form: those of the first say none.
const SAYS: u32 = 0x464f_524d;
const SUM: usize = 4; // bytes of the checksum before a record

/// Whose records these are, and the latest form of any of them. It is itself of the first.
#[derive(Serialize, Deserialize)]
struct Mark {
    form: u8,
    fleet: u64,
    disk: u64,
}

/// A shard as one of its members keeps it, but for its log and its snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Meta {
    pub config: u32,
    pub members: Vec<ReplicaId>,
    /// This front is one of them; otherwise it is kept so that the front never begins with these or earlier ones.
    pub is_member: bool,
    pub promise: Option<Ballot>,
    pub accepted_round: Option<Ballot>,
    pub decided: usize,
    pub compacted: usize,
    /// The number of the entry that comes next.
    pub end: usize,
}

/// The kinds of records, by the first byte of their names.
const MARK: u8 = b'm';
const META: u8 = b's';
const LOG: u8 = b'l';
const SNAPSHOT: u8 = b'n';
const BOOTSTRAP: u8 = b'b';

fn name(kind: u8, shard: u16, rest: &[u8]) -> Vec<u8> {
    [&[kind], &shard.to_be_bytes()[..], rest].concat()
}

/// A record in a form.
fn record<T: Serialize>(form: u8, name: Vec<u8>, value: &T) -> Record {
    let mut body = messages::encode(value);
    let mut says = 0;
    if form >= FORMED {
        body.insert(0, form);
        says = SAYS;
    }
    let sum = (sum(&name, &body) ^ says).to_be_bytes();
    Record { name, bytes: Some([&sum[..], &body].concat()) }
}

fn sum(name: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(name);
    hasher.update(body);
    hasher.finalize()
}

fn damaged(name: &[u8]) -> Error {
    Error::Damaged { record: name.escape_ascii().to_string() }
}

/// What a record holds, if it is what was written under its name.
fn checked<'a>(name: &[u8], bytes: &'a [u8]) -> Result<&'a [u8], Error> {
    let (given, body) = bytes.split_at_checked(SUM).ok_or_else(|| damaged(name))?;
    let sum = sum(name, body);
    if given == sum.to_be_bytes() {
        return Ok(body);
    }
    if given != (sum ^ SAYS).to_be_bytes() {
        return Err(damaged(name));
    }
    match body.split_first() {
        Some((FORMED..=FORM, body)) => Ok(body),
        Some((form, _)) => Err(Error::Version { found: *form, reads: FORM }),
        None => Err(damaged(name)),
    }
}

fn open<'a, T: Deserialize<'a>>(name: &[u8], bytes: &'a [u8]) -> Result<T, Error> {
    messages::decode(checked(name, bytes)?).ok_or_else(|| damaged(name))
}

pub(crate) fn mark(form: u8, fleet: u64, disk: u64) -> Record {
    record(OLDEST, vec![MARK], &Mark { form, fleet, disk })
}

pub(crate) fn meta(form: u8, shard: u16, meta: &Meta) -> Record {
    record(form, name(META, shard, &[]), meta)
}

pub(crate) fn entry(shard: u16, index: usize, batch: &Batch) -> Record {
    record(batch.tail.form(), name(LOG, shard, &(index as u64).to_be_bytes()), batch)
}

pub(crate) fn no_entry(shard: u16, index: usize) -> Record {
    Record { name: name(LOG, shard, &(index as u64).to_be_bytes()), bytes: None }
}

pub(crate) fn snapshot(shard: u16, folded: &Folded) -> Record {
    record(folded.form(), name(SNAPSHOT, shard, &[]), folded)
}

pub(crate) fn no_snapshot(shard: u16) -> Record {
    Record { name: name(SNAPSHOT, shard, &[]), bytes: None }
}

pub(crate) fn bootstrap(shard: u16, agreed: &[ReplicaIncarnation]) -> Record {
    record(OLDEST, name(BOOTSTRAP, shard, &[]), &agreed.to_vec())
}

pub(crate) fn no_bootstrap(shard: u16) -> Record {
    Record { name: name(BOOTSTRAP, shard, &[]), bytes: None }
}

/// A shard, as it was kept.
#[derive(Default)]
pub(crate) struct Kept {
    pub meta: Option<Meta>,
    pub held: LogState<Batch>,
    pub bootstrap: Vec<ReplicaIncarnation>,
}

/// Reads what was saved in an earlier life, with the latest form that it is of.
pub(crate) fn read(setup: &Setup, fleet: u64, saved: &Saved) -> Result<(u8, BTreeMap<u16, Kept>), Error> {
    let records: BTreeMap<&[u8], &[u8]> =
        saved.0.iter().map(|(name, bytes)| (name.as_slice(), bytes.as_slice())).collect();
    let mut kept: BTreeMap<u16, Kept> = BTreeMap::new();
    let Some(bytes) = records.get(&[MARK][..]) else {
        return records.keys().next().map_or(Ok((OLDEST, kept)), |name| Err(damaged(name)));
    };
    // The form goes first in every version: an unknown one may have anything behind it.
    let form = checked(&[MARK], bytes)?.first().copied().unwrap_or_default();
    if !(OLDEST..=setup.form).contains(&form) {
        return Err(Error::Version { found: form, reads: setup.form });
    }
    let mark: Mark = open(&[MARK], bytes)?;
    if mark.fleet != fleet {
        return Err(Error::Fleet);
    }
    if mark.disk != setup.disk {
        return Err(Error::Disk { found: mark.disk, given: setup.disk });
    }
    let mut logs: BTreeMap<u16, BTreeMap<u64, Batch>> = BTreeMap::new();
    for (name, bytes) in records {
        let damaged = || damaged(name);
        let Some((kind, rest)) = name.split_first().filter(|(kind, _)| **kind != MARK) else { continue };
        let (shard, rest) = rest.split_at_checked(2).ok_or_else(damaged)?;
        let shard = u16::from_be_bytes(shard.try_into().map_err(|_| damaged())?);
        let of = kept.entry(shard).or_default();
        match (*kind, rest) {
            (META, []) => of.meta = Some(open(name, bytes)?),
            (SNAPSHOT, []) => of.held.snapshot = Some(open(name, bytes)?),
            (BOOTSTRAP, []) => of.bootstrap = open(name, bytes)?,
            (LOG, index) => {
                let index = index.try_into().map(u64::from_be_bytes).map_err(|_| damaged())?;
                logs.entry(shard).or_default().insert(index, open(name, bytes)?);
            }
            _ => return Err(damaged()),
        }
    }
    for (shard, of) in &mut kept {
        let log = logs.remove(shard).unwrap_or_default();
        if let Some(meta) = of.meta.as_ref().filter(|meta| meta.is_member) {
            let whole = (meta.compacted as u64..meta.end as u64).eq(log.keys().copied());
            let damaged = || Error::Damaged { record: format!("log of shard {shard}") };
            if !whole || of.held.snapshot.is_none() || meta.decided > meta.end {
                return Err(damaged());
            }
            of.held.promise = meta.promise;
            of.held.accepted_round = meta.accepted_round;
            (of.held.decided, of.held.compacted) = (meta.decided, meta.compacted);
            of.held.log = log.into_values().collect();
        }
    }
    Ok((form, kept))
}
