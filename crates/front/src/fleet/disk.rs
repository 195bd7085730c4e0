//! For drills: the storage of copies on a disk that whoever plays against the front can fill or slow down. A file says
//! what befalls it: `full`, or `slow` and the milliseconds of each sync; empty or absent, nothing does. Only there where
//! the operator's file names one.

use std::path::PathBuf;
use std::time::Duration;

use redb::backends::FileBackend;
use redb::StorageBackend;

const MOST_MS: u64 = 60_000; // milliseconds of a sync; what is slower is as good as gone

type Io<T> = std::io::Result<T>;

/// Opens the file as the store does by itself, under the drill.
pub fn open(file: &std::path::Path, drill: &str) -> Result<Drilled, redb::DatabaseError> {
    let opened =
        std::fs::OpenOptions::new().read(true).write(true).create(true).truncate(false).open(file)?;
    log::warn!("ledger.drill: what befalls the disk of copies is a drill's, from {drill}");
    Ok(Drilled { file: FileBackend::new(opened)?, drill: PathBuf::from(drill) })
}

#[derive(Debug)]
pub struct Drilled {
    file: FileBackend,
    drill: PathBuf,
}

impl Drilled {
    /// What the file says now.
    fn said(&self) -> String {
        std::fs::read_to_string(&self.drill).unwrap_or_default()
    }

    /// A full disk takes nothing, also no change of what is there: as file systems that copy on write do.
    fn has_room(&self) -> Io<()> {
        match self.said().trim() {
            "full" => Err(std::io::ErrorKind::StorageFull.into()),
            _ => Ok(()),
        }
    }
}

/// Milliseconds that a sync takes longer.
fn slow(said: &str) -> u64 {
    let ms = said.trim().strip_prefix("slow ").and_then(|ms| ms.parse().ok());
    ms.unwrap_or(0).min(MOST_MS)
}

impl StorageBackend for Drilled {
    fn len(&self) -> Io<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Io<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Io<()> {
        self.has_room().and_then(|()| self.file.set_len(len))
    }

    fn sync_data(&self) -> Io<()> {
        self.has_room()?;
        std::thread::sleep(Duration::from_millis(slow(&self.said())));
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Io<()> {
        self.has_room().and_then(|()| self.file.write(offset, data))
    }

    fn close(&self) -> Io<()> {
        self.file.close()
    }
}

#[cfg(test)]
#[path = "disk_tests.rs"]
mod tests;
