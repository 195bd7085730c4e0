//! Fault injection for the storage of ledger replicas: a disk that a test harness can fill or slow
//! down. The operator's key `ledger.drill` names a file with the current fault: `full`, or `slow`
//! and the milliseconds that each sync is delayed. An empty or absent file injects no fault.
//! Without that key this module is not used.

use std::path::PathBuf;
use std::time::Duration;

use redb::backends::FileBackend;
use redb::StorageBackend;

/// Maximum delay of a sync in milliseconds. A slower disk is no different from a lost one.
const MAX_SYNC_DELAY_MS: u64 = 60_000;

type Io<T> = std::io::Result<T>;

/// Opens the store's file and injects the faults that `fault_file` names.
pub fn open(file: &std::path::Path, fault_file: &str) -> Result<FaultyDisk, redb::DatabaseError> {
    let store_file = std::fs::OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(file)?;
    log::warn!(
        "ledger.drill: faults named in {fault_file} are injected into the disk of ledger replicas"
    );
    Ok(FaultyDisk {
        file: FileBackend::new(store_file)?,
        fault_file: PathBuf::from(fault_file),
    })
}

/// A file whose writes fail and whose syncs fail or are delayed as the fault file requires.
#[derive(Debug)]
pub struct FaultyDisk {
    file: FileBackend,
    fault_file: PathBuf,
}

impl FaultyDisk {
    /// Reads the fault to inject now; empty if there is none.
    fn fault(&self) -> String {
        std::fs::read_to_string(&self.fault_file).unwrap_or_default()
    }

    /// Fails if the disk is to be full. A full disk also rejects changes of existing data, as file
    /// systems that copy on write do.
    fn check_space(&self) -> Io<()> {
        match self.fault().trim() {
            "full" => Err(std::io::ErrorKind::StorageFull.into()),
            _ => Ok(()),
        }
    }
}

/// Milliseconds by which a fault delays a sync; 0 if it is not a valid `slow` fault.
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
