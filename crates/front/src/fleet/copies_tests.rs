//! Unit tests of the `copies` module.

use super::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use redb::backends::InMemoryBackend;
use redb::StorageBackend;

/// A temporary directory that is removed when the test ends.
struct TestDirectory(std::path::PathBuf);

impl TestDirectory {
    fn new(name: &str) -> TestDirectory {
        let directory =
            std::env::temp_dir().join(format!("hallmux-copies-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        TestDirectory(directory)
    }

    fn name(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    socket
}

fn write(number: u64, name: &str, value: Option<&[u8]>, to: &UdpSocket) -> Write {
    let records = vec![Record {
        name: name.into(),
        bytes: value.map(<[u8]>::to_vec),
    }];
    let datagrams = vec![Datagram {
        to: to.local_addr().unwrap(),
        bytes: vec![number as u8],
    }];
    Write {
        number,
        records,
        datagrams,
    }
}

fn open(directory: &TestDirectory) -> Result<(Copies, StoredCopies), CopiesError> {
    Copies::open(&directory.name(), None, socket(), || {})
}

/// Waits for the next outcome of a write, and returns its number and whether it became durable.
fn next_outcome(copies: &Copies) -> (u64, bool) {
    let outcome = copies.outcomes.recv_timeout(Duration::from_secs(10));
    let WriteOutcome { number, is_durable } = outcome.unwrap();
    (number, is_durable)
}

#[test]
fn reopened_directory_has_its_records_and_identity_and_new_directory_has_another_identity() {
    let (directory, receiver, mut byte) = (TestDirectory::new("kept"), socket(), [0; 8]);
    let (mut copies, stored) = open(&directory).unwrap();
    assert!(stored.saved.is_none() && stored.disk != 0);
    assert!(matches!(open(&directory), Err(CopiesError::InUse(_))));
    copies.save(write(1, "a", Some(b"one"), &receiver));
    copies.save(write(2, "b", Some(b"two"), &receiver));
    copies.save(write(3, "a", None, &receiver));
    for number in 1..=3 {
        assert_eq!((receiver.recv(&mut byte).unwrap(), byte[0]), (1, number));
    }
    while next_outcome(&copies) != (3, true) {}
    drop(copies);
    let reopened = loop {
        // The thread closes the file after it has noticed that the queue of writes is closed.
        match open(&directory) {
            Ok((_, stored)) => break stored,
            Err(CopiesError::InUse(_)) => std::thread::yield_now(),
            Err(e) => panic!("{e}"),
        }
    };
    assert_eq!(
        (reopened.disk, reopened.saved),
        (
            stored.disk,
            Some(Saved(vec![(b"b".to_vec(), b"two".to_vec())]))
        )
    );
    let other = open(&TestDirectory::new("other")).unwrap().1;
    assert_ne!(other.disk, stored.disk);
}

#[test]
fn altered_or_truncated_file_is_rejected_with_a_remedy() {
    let directory = TestDirectory::new("altered");
    std::fs::create_dir_all(&directory.0).unwrap();
    for bytes in [vec![7; 5_000], vec![0xff; 40]] {
        std::fs::write(directory.0.join(FILE_NAME), bytes).unwrap();
        let error = open(&directory).err().unwrap();
        assert!(matches!(error, CopiesError::Damaged { .. }), "{error}");
        assert!(
            error.to_string().contains(&directory.name())
                && error.to_string().contains("move it away"),
            "{error}"
        );
    }
}

/// A storage backend whose writes fail while the flag is set.
#[derive(Debug)]
struct FailingBackend(InMemoryBackend, Arc<AtomicBool>);

type Io<T> = std::io::Result<T>;

impl FailingBackend {
    fn check_failure(&self) -> Io<()> {
        if self.1.load(Ordering::SeqCst) {
            return Err(std::io::Error::from(std::io::ErrorKind::StorageFull));
        }
        Ok(())
    }
}

impl StorageBackend for FailingBackend {
    fn len(&self) -> Io<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Io<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Io<()> {
        self.check_failure().and_then(|()| self.0.set_len(len))
    }

    fn sync_data(&self) -> Io<()> {
        self.check_failure().and_then(|()| self.0.sync_data())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Io<()> {
        self.check_failure()
            .and_then(|()| self.0.write(offset, data))
    }
}

#[test]
fn datagrams_of_failed_write_are_not_sent_and_failure_is_reported() {
    let (is_failing, receiver, mut byte) = (Arc::new(AtomicBool::new(false)), socket(), [0; 8]);
    let backend = FailingBackend(InMemoryBackend::new(), is_failing.clone());
    let stored =
        open_database("test", || Database::builder().create_with_backend(backend)).unwrap();
    let (mut copies, _) = Copies::start("test", stored, socket(), || {}).unwrap();
    copies.save(write(1, "a", Some(b"one"), &receiver));
    assert_eq!(
        (receiver.recv(&mut byte).unwrap(), next_outcome(&copies)),
        (1, (1, true))
    );
    is_failing.store(true, Ordering::SeqCst);
    copies.save(write(2, "a", Some(b"two"), &receiver));
    assert_eq!(next_outcome(&copies), (2, false));
    copies.save(write(3, "a", Some(b"three"), &receiver));
    assert_eq!(next_outcome(&copies), (3, false));
    receiver.set_nonblocking(true).unwrap();
    assert!(receiver.recv(&mut byte).is_err());
}

#[test]
fn every_error_names_directory_and_remedy() {
    let directory = || "/data".to_string();
    for (error, advice) in [
        (
            CopiesError::Disk {
                directory: directory(),
                what: "can't be made",
                error: "full".into(),
            },
            "with room",
        ),
        (
            CopiesError::InUse(directory()),
            "give each front one of its own",
        ),
        (
            CopiesError::Damaged {
                directory: directory(),
                error: "cut".into(),
            },
            "move it away",
        ),
    ] {
        let text = error.to_string();
        assert!(
            text.starts_with("ledger.directory /data: ") && text.contains(advice),
            "{text}"
        );
    }
}
