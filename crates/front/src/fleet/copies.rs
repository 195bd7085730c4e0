//! Durable storage of this front's replicas of ledger entries. A thread commits all queued writes
//! together and then sends the datagrams that wait for them. A slow disk therefore does not delay
//! decisions, and no message is sent before the records that it vouches for are durable.

use std::fs::File;
use std::hash::{BuildHasher, RandomState};
use std::net::UdpSocket;
use std::path::Path;
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender, SyncSender};
use std::time::{Duration, Instant};

use hallmux_gossip::node::Datagram;
use hallmux_ledger::{DiskId, Record, Saved};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

const RECORDS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("records");
/// The identity of the disk, under key 0. It is stored with the records, so that it is lost only
/// together with them.
const IDENTITY: TableDefinition<u8, u64> = TableDefinition::new("identity");
const FILE_NAME: &str = "promises.redb";
/// Size of the store's cache. It can be small, because the ledger holds all entries in memory itself.
const CACHE_BYTES: usize = 4 * 1_024 * 1_024;
/// Maximum number of writes that wait for the disk: the writes of some seconds.
const QUEUE_LENGTH: usize = 4_096;
const MAX_WRITES_PER_COMMIT: usize = 256;
/// The first commit that takes this long is logged.
const SLOW_COMMIT: Duration = Duration::from_secs(1);

/// Why replicas can't be stored in a directory.
#[derive(Debug, thiserror::Error)]
pub enum CopiesError {
    #[error("ledger.directory {directory}: {what}: {error}; give the front a directory that it may write, with room")]
    Disk {
        directory: String,
        what: &'static str,
        error: String,
    },
    #[error("ledger.directory {0}: in use by another front; give each front one of its own")]
    InUse(String),
    #[error(
        "ledger.directory {directory}: {error}; move it away, and the front starts as one that lost its disk"
    )]
    Damaged { directory: String, error: String },
}

/// Records to be made durable, and the datagrams that are sent once they are.
pub struct Write {
    /// Numbers grow from write to write.
    pub number: u64,
    /// Empty if only the datagrams are to be sent, in their order among the other writes.
    pub records: Vec<Record>,
    pub datagrams: Vec<Datagram>,
}

/// The outcome of all writes with numbers up to `number` that had no outcome before.
pub struct WriteOutcome {
    pub number: u64,
    /// False if the writes failed: their datagrams are not sent.
    pub is_durable: bool,
}

impl WriteOutcome {
    fn durable(number: u64) -> WriteOutcome {
        WriteOutcome {
            number,
            is_durable: true,
        }
    }

    fn failed(number: u64) -> WriteOutcome {
        WriteOutcome {
            number,
            is_durable: false,
        }
    }
}

/// The contents of a directory when it was opened.
pub struct StoredCopies {
    pub disk: DiskId,
    /// None for a new directory, and for one without records.
    pub saved: Option<Saved>,
}

/// The event loop's handle to the thread that stores replicas.
pub struct Copies {
    writes: SyncSender<Write>,
    outcomes: Receiver<WriteOutcome>,
    outcome_sender: Sender<WriteOutcome>,
    /// Locked while this front runs, because two fronts on one directory would vote twice.
    _lock: Option<File>,
}

/// Draws an identity at random, so that no other disk has it.
pub fn random_disk_id() -> DiskId {
    RandomState::new().hash_one(std::process::id()) | 1
}

impl Copies {
    /// Opens the directory and reads its identity and records. A new directory gets a random
    /// identity. The thread calls `wake` after each write that became durable or failed.
    /// `fault_file` names the file of faults to inject into the disk, if any.
    pub fn open(
        directory: &str,
        fault_file: Option<&str>,
        socket: UdpSocket,
        wake: impl Fn() + Send + 'static,
    ) -> Result<(Copies, StoredCopies), CopiesError> {
        let path = Path::new(directory);
        let disk_error = |what, e: std::io::Error| CopiesError::Disk {
            directory: directory.to_string(),
            what,
            error: e.to_string(),
        };
        std::fs::create_dir_all(path).map_err(|e| disk_error("can't be made", e))?;
        let lock =
            File::create(path.join("lock")).map_err(|e| disk_error("can't be written", e))?;
        lock.try_lock()
            .map_err(|_| CopiesError::InUse(directory.to_string()))?;
        let file = path.join(FILE_NAME);
        let stored = open_database(directory, || {
            let mut builder = Database::builder();
            builder.set_cache_size(CACHE_BYTES);
            match fault_file {
                Some(fault_file) => {
                    builder.create_with_backend(super::faulty_disk::open(&file, fault_file)?)
                }
                None => builder.create(&file),
            }
        })?;
        let (mut copies, stored) = Copies::start(directory, stored, socket, wake)?;
        copies._lock = Some(lock);
        Ok((copies, stored))
    }

    fn start(
        directory: &str,
        (database, stored): (Database, StoredCopies),
        socket: UdpSocket,
        wake: impl Fn() + Send + 'static,
    ) -> Result<(Copies, StoredCopies), CopiesError> {
        let (writes, pending_writes) = sync_channel(QUEUE_LENGTH);
        let (outcome_sender, outcomes) = channel();
        let disk_error = |e: std::io::Error| CopiesError::Disk {
            directory: directory.to_string(),
            what: "its thread can't be started",
            error: e.to_string(),
        };
        let (name, sender) = (directory.to_string(), outcome_sender.clone());
        let thread = std::thread::Builder::new().name("copies".to_string());
        let run = move || run_writer(&name, &database, &pending_writes, &socket, &sender, wake);
        thread.spawn(run).map_err(disk_error)?;
        Ok((
            Copies {
                writes,
                outcomes,
                outcome_sender,
                _lock: None,
            },
            stored,
        ))
    }

    /// Queues a write; its datagrams are sent once it is durable.
    pub fn save(&mut self, write: Write) {
        let number = write.number;
        if self.writes.try_send(write).is_err() {
            // The thread ended after a failure, or the disk is seconds behind: the write counts as
            // failed.
            let _ = self.outcome_sender.send(WriteOutcome::failed(number));
        }
    }

    /// Returns the outcomes of writes since the last call.
    pub fn take_outcomes(&self) -> Vec<WriteOutcome> {
        self.outcomes.try_iter().collect()
    }
}

/// Sends datagrams. One that can't be sent counts as lost on the network.
fn send(socket: &UdpSocket, datagrams: &[Datagram]) {
    datagrams
        .iter()
        .for_each(|d| _ = socket.send_to(&d.bytes, d.to));
}

/// Opens a database, checks its integrity and reads its contents. The store may panic on a file
/// that was altered from outside; that counts as a damaged file.
fn open_database(
    directory: &str,
    open: impl FnOnce() -> Result<Database, redb::DatabaseError>,
) -> Result<(Database, StoredCopies), CopiesError> {
    let damaged = |error: String| CopiesError::Damaged {
        directory: directory.to_string(),
        error,
    };
    let open_and_read = std::panic::AssertUnwindSafe(
        || -> Result<(Database, StoredCopies), CopiesError> {
            let mut database = open().map_err(|e| match e {
                redb::DatabaseError::DatabaseAlreadyOpen => {
                    CopiesError::InUse(directory.to_string())
                }
                e => damaged(e.to_string()),
            })?;
            if !database
                .check_integrity()
                .map_err(|e| damaged(e.to_string()))?
            {
                log::warn!("ledger.directory {directory}: its file was not closed cleanly; it is repaired and used");
            }
            let stored = read_stored(&database).map_err(|e| damaged(e.to_string()))?;
            Ok((database, stored))
        },
    );
    std::panic::catch_unwind(open_and_read)
        .unwrap_or_else(|_| Err(damaged("its file was altered".to_string())))
}

/// Reads the identity and the records. A database without an identity gets a random one, which is
/// made durable.
fn read_stored(database: &Database) -> Result<StoredCopies, Box<redb::Error>> {
    let boxed = |e: redb::Error| Box::new(e);
    let transaction = database.begin_write().map_err(|e| boxed(e.into()))?;
    let mut records = Vec::new();
    let (disk, is_new) = {
        let mut identity = transaction
            .open_table(IDENTITY)
            .map_err(|e| boxed(e.into()))?;
        let existing = identity
            .get(0)
            .map_err(|e| boxed(e.into()))?
            .map(|disk| disk.value());
        let disk = existing.unwrap_or_else(random_disk_id);
        identity.insert(0, disk).map_err(|e| boxed(e.into()))?;
        let table = transaction
            .open_table(RECORDS)
            .map_err(|e| boxed(e.into()))?;
        for record in table.iter().map_err(|e| boxed(e.into()))? {
            let (name, bytes) = record.map_err(|e| boxed(e.into()))?;
            records.push((name.value().to_vec(), bytes.value().to_vec()));
        }
        (disk, existing.is_none())
    };
    transaction.commit().map_err(|e| boxed(e.into()))?;
    let _ = database.begin_read().map_err(|e| boxed(e.into()))?;
    Ok(StoredCopies {
        disk,
        saved: (!is_new && !records.is_empty()).then_some(Saved(records)),
    })
}

/// Commits queued writes and sends their datagrams, until the queue is closed or a commit fails.
/// After a failed commit all further writes fail.
fn run_writer(
    directory: &str,
    database: &Database,
    pending_writes: &Receiver<Write>,
    socket: &UdpSocket,
    outcome_sender: &Sender<WriteOutcome>,
    wake: impl Fn(),
) {
    let mut slow_commit_logged = false;
    while let Ok(first) = pending_writes.recv() {
        let mut writes = vec![first];
        writes.extend(pending_writes.try_iter().take(MAX_WRITES_PER_COMMIT - 1));
        let last = writes.last().map_or(0, |write| write.number);
        let started = Instant::now();
        if let Err(e) = commit(database, &writes) {
            log::error!(
                "ledger.directory {directory}: {e}; this front keeps no copies there any more until it is restarted"
            );
            let _ = outcome_sender.send(WriteOutcome::failed(last));
            wake();
            for write in pending_writes {
                let _ = outcome_sender.send(WriteOutcome::failed(write.number));
            }
            return;
        }
        if started.elapsed() >= SLOW_COMMIT && !std::mem::replace(&mut slow_commit_logged, true) {
            let ms = started.elapsed().as_millis();
            log::warn!(
                "ledger.directory {directory}: a commit took {ms} ms; ledger messages of this front wait for such commits"
            );
        }
        writes
            .iter()
            .for_each(|write| send(socket, &write.datagrams));
        let _ = outcome_sender.send(WriteOutcome::durable(last));
        wake();
    }
}

/// Makes all writes durable in one transaction. Writes without records need no transaction.
fn commit(database: &Database, writes: &[Write]) -> Result<(), Box<redb::Error>> {
    if writes.iter().all(|write| write.records.is_empty()) {
        return Ok(());
    }
    let boxed = |e: redb::Error| Box::new(e);
    let transaction = database.begin_write().map_err(|e| boxed(e.into()))?;
    {
        let mut table = transaction
            .open_table(RECORDS)
            .map_err(|e| boxed(e.into()))?;
        for Record { name, bytes } in writes.iter().flat_map(|write| &write.records) {
            match bytes {
                Some(bytes) => table.insert(name.as_slice(), bytes.as_slice()).map(drop),
                None => table.remove(name.as_slice()).map(drop),
            }
            .map_err(|e| boxed(e.into()))?;
        }
    }
    transaction.commit().map_err(|e| boxed(e.into()))
}

#[cfg(test)]
#[path = "copies_tests.rs"]
mod tests;
