//! Durable state of a voter in lease elections, in a file of its own. A thread writes the state and
//! then sends the datagrams that wait for it. A slow disk therefore does not delay decisions, and
//! no message is sent before its vote is durable.

use std::fs::{File, TryLockError};
use std::io::{ErrorKind, Write};
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};

use hallmux_fleet::VoterSave;

use super::errors::VotesError;

/// Maximum number of writes that wait for the disk: the writes of some ten seconds.
const QUEUE_LENGTH: usize = 1_024;
const FILE_NAME: &str = "votes";

/// The event loop's handle to the thread that stores a voter's state.
pub struct Votes {
    writes: SyncSender<VoterSave>,
    /// A write was lost: the voter sends no message until the front restarts.
    has_failed: bool,
    /// Locked while this front runs, because two fronts on one directory would vote twice.
    _lock: File,
}

impl Votes {
    /// Opens the directory and starts the thread. Returns the state that was saved there; None if
    /// there is none yet. Fails if the directory can't be used, if another front uses it, or if the
    /// thread can't be started.
    pub fn open(
        directory: &str,
        socket: UdpSocket,
    ) -> Result<(Votes, Option<Vec<u8>>), VotesError> {
        let name = directory.to_string();
        let directory = PathBuf::from(directory);
        let disk_error = |what| {
            let directory = name.clone();
            move |why| VotesError::Disk {
                directory,
                what,
                why,
            }
        };
        std::fs::create_dir_all(&directory).map_err(disk_error("can't be made"))?;
        let lock = File::create(directory.join("lock")).map_err(disk_error("can't be written"))?;
        lock.try_lock().map_err(|why| match why {
            TryLockError::WouldBlock => VotesError::InUse(name.clone()),
            TryLockError::Error(why) => VotesError::Lock {
                directory: name.clone(),
                why,
            },
        })?;
        let saved = match std::fs::read(directory.join(FILE_NAME)) {
            Ok(saved) => Some(saved),
            Err(e) if e.kind() == ErrorKind::NotFound => None,
            Err(e) => return Err(disk_error("can't be read")(e)),
        };
        let (writes, pending_writes) = sync_channel::<VoterSave>(QUEUE_LENGTH);
        std::thread::Builder::new()
            .name("votes".to_string())
            .spawn(move || run_writer(&directory, &pending_writes, &socket))
            .map_err(VotesError::Thread)?;
        Ok((
            Votes {
                writes,
                has_failed: false,
                _lock: lock,
            },
            saved,
        ))
    }

    /// Queues a write; its datagrams are sent once it is durable. Once a write was lost,
    /// all further ones are dropped with their datagrams.
    pub fn save(&mut self, saved: VoterSave) {
        if self.has_failed {
            return;
        }
        if let Err(e) = self.writes.try_send(saved) {
            self.has_failed = true;
            if matches!(e, TrySendError::Full(_)) {
                log::error!(
                    "gossip.ownership.directory: {QUEUE_LENGTH} votes wait for the disk; this front casts no more votes until it is restarted"
                );
            }
        }
    }
}

/// Makes each vote durable and then sends its datagrams. Returns at the first write that fails,
/// because the voter must not send any message after that.
fn run_writer(directory: &Path, writes: &Receiver<VoterSave>, socket: &UdpSocket) {
    for VoterSave { bytes, datagrams } in writes {
        if let Err(e) = bytes.map_or(Ok(()), |bytes| replace_file(directory, &bytes)) {
            log::error!(
                "gossip.ownership.directory {}: {e}; this front casts no more votes until it is restarted",
                directory.display()
            );
            return;
        }
        // A datagram that can't be sent counts as lost on the network.
        for datagram in datagrams {
            let _ = socket.send_to(&datagram.bytes, datagram.to);
        }
    }
}

/// Replaces the file atomically: writes and syncs a temporary file, renames it, and syncs the
/// directory.
fn replace_file(directory: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let temporary_path = directory.join("votes.new");
    let mut file = File::create(&temporary_path)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary_path, directory.join(FILE_NAME))?;
    File::open(directory)?.sync_all()
}

#[cfg(test)]
#[path = "votes_tests.rs"]
mod tests;
