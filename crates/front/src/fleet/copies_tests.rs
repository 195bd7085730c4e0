use super::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use redb::backends::InMemoryBackend;
use redb::StorageBackend;

struct Folder(std::path::PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder =
            std::env::temp_dir().join(format!("hallmux-copies-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        Folder(folder)
    }

    fn name(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for Folder {
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

fn open(folder: &Folder) -> Result<(Copies, Found), CopiesError> {
    Copies::open(&folder.name(), None, socket(), || {})
}

/// The next word on a save.
fn said(copies: &Copies) -> (u64, bool) {
    let outcome = copies.durable.recv_timeout(Duration::from_secs(10));
    let WriteOutcome { number, is_durable } = outcome.unwrap();
    (number, is_durable)
}

#[test]
fn what_was_kept_is_there_again_under_the_same_identity_and_a_new_directory_has_another() {
    let (folder, hears, mut byte) = (Folder::new("kept"), socket(), [0; 8]);
    let (mut copies, found) = open(&folder).unwrap();
    assert!(found.saved.is_none() && found.disk != 0);
    assert!(matches!(open(&folder), Err(CopiesError::Taken(_))));
    copies.save(write(1, "a", Some(b"one"), &hears));
    copies.save(write(2, "b", Some(b"two"), &hears));
    copies.save(write(3, "a", None, &hears));
    for number in 1..=3 {
        assert_eq!((hears.recv(&mut byte).unwrap(), byte[0]), (1, number));
    }
    while said(&copies) != (3, true) {}
    drop(copies);
    let again = loop {
        // The thread lets go of the file once it has seen that nobody writes any more.
        match open(&folder) {
            Ok((_, found)) => break found,
            Err(CopiesError::Taken(_)) => std::thread::yield_now(),
            Err(e) => panic!("{e}"),
        }
    };
    assert_eq!(
        (again.disk, again.saved),
        (
            found.disk,
            Some(Saved(vec![(b"b".to_vec(), b"two".to_vec())]))
        )
    );
    let other = open(&Folder::new("other")).unwrap().1;
    assert_ne!(other.disk, found.disk);
}

#[test]
fn a_file_that_was_altered_or_cut_is_refused_with_its_reason() {
    let folder = Folder::new("altered");
    std::fs::create_dir_all(&folder.0).unwrap();
    for bytes in [vec![7; 5_000], vec![0xff; 40]] {
        std::fs::write(folder.0.join(FILE), bytes).unwrap();
        let why = open(&folder).err().unwrap();
        assert!(matches!(why, CopiesError::Damaged { .. }), "{why}");
        assert!(
            why.to_string().contains(&folder.name()) && why.to_string().contains("move it away"),
            "{why}"
        );
    }
}

/// A disk that fails when told to.
#[derive(Debug)]
struct Failing(InMemoryBackend, Arc<AtomicBool>);

type Io<T> = std::io::Result<T>;

impl Failing {
    fn works(&self) -> Io<()> {
        if self.1.load(Ordering::SeqCst) {
            return Err(std::io::Error::from(std::io::ErrorKind::StorageFull));
        }
        Ok(())
    }
}

impl StorageBackend for Failing {
    fn len(&self) -> Io<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Io<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Io<()> {
        self.works().and_then(|()| self.0.set_len(len))
    }

    fn sync_data(&self) -> Io<()> {
        self.works().and_then(|()| self.0.sync_data())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Io<()> {
        self.works().and_then(|()| self.0.write(offset, data))
    }
}

#[test]
fn on_a_full_disk_nothing_that_waits_for_it_leaves_and_it_is_said() {
    let (fails, hears, mut byte) = (Arc::new(AtomicBool::new(false)), socket(), [0; 8]);
    let backend = Failing(InMemoryBackend::new(), fails.clone());
    let found = opened("test", || Database::builder().create_with_backend(backend)).unwrap();
    let (mut copies, _) = Copies::with("test", found, socket(), || {}).unwrap();
    copies.save(write(1, "a", Some(b"one"), &hears));
    assert_eq!(
        (hears.recv(&mut byte).unwrap(), said(&copies)),
        (1, (1, true))
    );
    fails.store(true, Ordering::SeqCst);
    copies.save(write(2, "a", Some(b"two"), &hears));
    assert_eq!(said(&copies), (2, false));
    copies.save(write(3, "a", Some(b"three"), &hears));
    assert_eq!(said(&copies), (3, false));
    hears.set_nonblocking(true).unwrap();
    assert!(hears.recv(&mut byte).is_err());
}

#[test]
fn what_is_unfit_says_where_and_what_to_do() {
    let directory = || "/data".to_string();
    for (unfit, advice) in [
        (
            CopiesError::Disk {
                directory: directory(),
                what: "can't be made",
                error: "full".into(),
            },
            "with room",
        ),
        (
            CopiesError::Taken(directory()),
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
        let text = unfit.to_string();
        assert!(
            text.starts_with("ledger.directory /data: ") && text.contains(advice),
            "{text}"
        );
    }
}
