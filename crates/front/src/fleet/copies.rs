//! Copies of promises on this front's disk: an embedded store (redb), written by a thread of its own, many saves in
//! one commit. What waits for a save leaves once it is lasting; a save that fails is told to the ledger, which then
//! keeps no copies in this life. Without a directory copies are kept in memory alone.

use std::fs::File;
use std::hash::{BuildHasher, RandomState};
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender};

use calloop::ping::Ping;
use hallmux_fleet::Kept;
use hallmux_ledger::{DiskId, Record, Saved};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use thiserror::Error;

const RECORDS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("records");
/// One row: which directory this is. It is drawn once, when the store is made.
const IDENTITY: TableDefinition<&str, u64> = TableDefinition::new("identity");
const DISK: &str = "disk";
const FILE: &str = "promises.redb";
const WAITING: usize = 4_096; // saves that wait for the disk: some seconds' worth of a busy front
const ONE_COMMIT: usize = 512; // saves in a commit; more only add to the wait of the first
const CACHE: usize = 4 << 20; // bytes of the store's cache: all records of a front of some shards

/// Why copies can't be kept on a disk.
#[derive(Debug, Error)]
pub enum Trouble {
    #[error("directory: {}: can't be used: {why}; give the front a directory of its own that it may write to", .at.display())]
    Directory { at: PathBuf, why: std::io::Error },
    #[error("directory: {}: another front has it; give each front a directory of its own", .0.display())]
    Shared(PathBuf),
    #[error("directory: {}: the store there can't be read: {why}; move the file away: the front then comes back as one that lost its disk, and gets its copies from the others", .at.display())]
    Store { at: PathBuf, why: Box<redb::Error> },
    #[error("directory: the thread that writes to it can't be started: {0}; raise the limit on threads")]
    Thread(std::io::Error),
}

/// What the directory held when it was opened.
pub struct Found {
    pub disk: DiskId,
    /// None where the directory is new.
    pub saved: Option<Saved>,
}

pub struct Copies {
    saves: SyncSender<Kept>,
    done: Receiver<(u64, bool)>,
    /// A save was lost: nothing is kept any more in this life.
    failed: bool,
    /// Held while this front runs: two on one directory would vote twice.
    _lock: File,
}

impl Copies {
    /// `lasting` wakes the front when `done` has something.
    pub fn open(directory: &str, socket: UdpSocket, lasting: Ping) -> Result<(Copies, Found), Trouble> {
        let directory = PathBuf::from(directory);
        let io = |why| Trouble::Directory { at: directory.clone(), why };
        std::fs::create_dir_all(&directory).map_err(io)?;
        let lock = File::create(directory.join("lock")).map_err(io)?;
        lock.try_lock().map_err(|_| Trouble::Shared(directory.clone()))?;
        let at = directory.join(FILE);
        let broken = |why| Trouble::Store { at: at.clone(), why: Box::new(why) };
        let store = Database::builder().set_cache_size(CACHE).create(&at).map_err(|e| broken(e.into()))?;
        let found = found(&store).map_err(broken)?;
        Ok((Copies::start(store, &directory, socket, lasting, lock)?, found))
    }

    fn start(
        store: Database,
        directory: &Path,
        socket: UdpSocket,
        lasting: Ping,
        lock: File,
    ) -> Result<Copies, Trouble> {
        let (saves, to_save) = sync_channel::<Kept>(WAITING);
        let (tell, done) = channel();
        let directory = directory.display().to_string();
        let write = move || {
            while let Ok(first) = to_save.recv() {
                let more = to_save.try_iter().take(ONE_COMMIT - 1);
                let group: Vec<Kept> = std::iter::once(first).chain(more).collect();
                let kept = commit(&store, group.iter().flat_map(|kept| &kept.records));
                if let Err(why) = &kept {
                    log::error!(
                        "{directory}: {why}; this front keeps no copies of promises any more in this life"
                    );
                }
                for Kept { number, datagrams, .. } in group {
                    if kept.is_ok() {
                        // What does not go out is as if it were lost on the way.
                        datagrams.iter().for_each(|d| _ = socket.send_to(&d.bytes, d.to));
                    }
                    _ = tell.send((number, kept.is_ok()));
                }
                lasting.ping();
                if kept.is_err() {
                    return;
                }
            }
        };
        std::thread::Builder::new().name("copies".to_string()).spawn(write).map_err(Trouble::Thread)?;
        Ok(Copies { saves, done, failed: false, _lock: lock })
    }

    /// Has it written; false if it never will be.
    pub fn save(&mut self, kept: Kept) -> bool {
        if !self.failed && self.saves.try_send(kept).is_err() {
            self.failed = true;
            log::error!(
                "the disk is too slow for promises, or failed; this front keeps no copies in this life"
            );
        }
        !self.failed
    }

    /// Which saves are lasting, or have failed, since the last call.
    pub fn done(&mut self) -> Vec<(u64, bool)> {
        self.done.try_iter().collect()
    }
}

/// A directory's identity: nobody can foretell it, and it is never 0.
pub fn drawn() -> DiskId {
    RandomState::new().hash_one(std::process::id()).max(1)
}

/// Which directory the store is, drawn where it is new, and what it holds.
fn found(store: &Database) -> Result<Found, redb::Error> {
    let writes = store.begin_write()?;
    let (disk, new) = {
        let mut identity = writes.open_table(IDENTITY)?;
        writes.open_table(RECORDS)?;
        let known = identity.get(DISK)?.map(|disk| disk.value());
        match known {
            Some(disk) => (disk, false),
            None => {
                let disk = drawn();
                identity.insert(DISK, disk)?;
                (disk, true)
            }
        }
    };
    writes.commit()?;
    let reads = store.begin_read()?;
    let mut saved = Vec::new();
    for row in reads.open_table(RECORDS)?.iter()? {
        let (name, bytes) = row?;
        saved.push((name.value().to_vec(), bytes.value().to_vec()));
    }
    Ok(Found { disk, saved: (!new).then_some(Saved(saved)) })
}

/// Writes them as a whole, lasting when this returns.
fn commit<'a>(store: &Database, records: impl Iterator<Item = &'a Record>) -> Result<(), redb::Error> {
    let mut records = records.peekable();
    if records.peek().is_none() {
        return Ok(());
    }
    let writes = store.begin_write()?;
    {
        let mut table = writes.open_table(RECORDS)?;
        for Record { name, bytes } in records {
            match bytes {
                Some(bytes) => table.insert(name.as_slice(), bytes.as_slice())?,
                None => table.remove(name.as_slice())?,
            };
        }
    }
    Ok(writes.commit()?)
}

#[cfg(test)]
#[path = "copies_tests.rs"]
mod tests;
