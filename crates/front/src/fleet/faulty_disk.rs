//! Fault injection for the storage of ledger copies: a disk that a test harness can fill or slow down. The file that
//! the operator's key `ledger.drill` names holds the present fault: `full`, or `slow` and the milliseconds of each sync;
//! empty or absent, there is none. Without that key the disk is used as it is.

use std::path::PathBuf;
use std::time::Duration;

use redb::backends::FileBackend;
use redb::StorageBackend;

/// Milliseconds of a sync; what is slower is as good as gone.
const MAX_SYNC_DELAY_MS: u64 = 60_000;

type Io<T> = std::io::Result<T>;

/// Opens the store's file, with the faults that `fault_file` names.
pub fn open(file: &std::path::Path, fault_file: &str) -> Result<FaultyDisk, redb::DatabaseError> {
    let store_file = std::fs::OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(file)?;
    log::warn!("ledger.drill: what befalls the disk of copies is a drill's, from {fault_file}");
    Ok(FaultyDisk {
        file: FileBackend::new(store_file)?,
        fault_file: PathBuf::from(fault_file),
    })
}

/// A file whose reads, writes and syncs fail as a test asks.
#[derive(Debug)]
pub struct FaultyDisk {
    file: FileBackend,
    fault_file: PathBuf,
}

impl FaultyDisk {
    /// The fault that is to be injected now.
    fn fault(&self) -> String {
        std::fs::read_to_string(&self.fault_file).unwrap_or_default()
    }

    /// A full disk takes nothing, also no change of what is there: as file systems that copy on write do.
    fn check_space(&self) -> Io<()> {
        match self.fault().trim() {
            "full" => Err(std::io::ErrorKind::StorageFull.into()),
            _ => Ok(()),
        }
    }
}

/// Milliseconds that a sync takes longer, by an instruction of the file.
fn sync_delay_ms(fault: &str) -> u64 {
    let ms = fault
        .trim()
        .strip_prefix("slow ")
        .and_then(|ms| ms.parse().ok());
    ms.unwrap_or(0).min(MAX_SYNC_DELAY_MS)
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> Io<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Io<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Io<()> {
        self.check_space().and_then(|()| self.file.set_len(len))
    }

    fn sync_data(&self) -> Io<()> {
        self.check_space()?;
        std::thread::sleep(Duration::from_millis(sync_delay_ms(&self.fault())));
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Io<()> {
        self.check_space()
            .and_then(|()| self.file.write(offset, data))
    }

    fn close(&self) -> Io<()> {
        self.file.close()
    }
}

#[cfg(test)]
#[path = "faulty_disk_tests.rs"]
mod tests;
