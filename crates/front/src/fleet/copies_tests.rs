//! The store behind copies: what is lasting when, whose a directory is, and disks that fail.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

use calloop::ping::make_ping;
use hallmux_gossip::node::Datagram;
use redb::backends::InMemoryBackend;
use redb::StorageBackend;

use super::*;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("hallmux-copies-{name}-{}", std::process::id()));
        _ = std::fs::remove_dir_all(&folder);
        Folder(folder)
    }

    fn open(&self) -> Result<(Copies, Found), Trouble> {
        Copies::open(&self.0.display().to_string(), socket(), make_ping().unwrap().0)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    socket
}

fn record(name: &str, bytes: Option<&str>) -> Record {
    Record { name: name.as_bytes().to_vec(), bytes: bytes.map(|bytes| bytes.as_bytes().to_vec()) }
}

/// Waits for the word on a save, as long as the test may take.
fn word(copies: &Copies) -> (u64, bool) {
    copies.done.recv_timeout(Duration::from_secs(10)).unwrap()
}

#[test]
fn what_is_saved_is_lasting_before_what_waited_for_it_leaves_and_a_directory_has_one_front() {
    let folder = Folder::new("lasting");
    let hears = socket();
    let (mut copies, found) = folder.open().unwrap();
    assert!(found.saved.is_none() && found.disk != 0);
    assert!(folder.open().err().unwrap().to_string().contains("another front has it; give each front"));
    let datagrams = vec![Datagram { to: hears.local_addr().unwrap(), bytes: b"word".to_vec() }];
    let records = vec![record("a", Some("1")), record("b", Some("2"))];
    assert!(copies.save(Kept { number: 1, records, datagrams }));
    assert!(copies.save(Kept { number: 2, records: vec![record("a", None)], datagrams: vec![] }));
    let mut bytes = [0; 8];
    assert_eq!(hears.recv(&mut bytes).unwrap(), 4);
    assert_eq!([word(&copies), word(&copies)], [(1, true), (2, true)]);
    drop(copies);
    // Its thread lets go of the store once it has seen that nobody saves any more.
    let again = (0..500).find_map(|_| {
        std::thread::yield_now();
        let opened = folder.open().ok();
        if opened.is_none() {
            std::thread::park_timeout(Duration::from_millis(10));
        }
        opened
    });
    let (_copies, again) = again.unwrap();
    assert_eq!(again.disk, found.disk);
    assert_eq!(again.saved, Some(Saved(vec![(b"b".to_vec(), b"2".to_vec())])));
}

#[test]
fn an_emptied_directory_is_another_disk_and_a_damaged_store_is_refused() {
    let folder = Folder::new("emptied");
    let first = folder.open().unwrap().1.disk;
    std::fs::remove_dir_all(&folder.0).unwrap();
    let second = folder.open().unwrap().1;
    assert!(second.saved.is_none());
    assert_ne!(first, second.disk);
    let spoilt = Folder::new("spoilt");
    std::fs::create_dir_all(&spoilt.0).unwrap();
    std::fs::write(spoilt.0.join(FILE), [7; 5_000]).unwrap();
    let why = spoilt.open().err().unwrap().to_string();
    assert!(
        why.contains(FILE) && why.contains("can't be read") && why.contains("move the file away"),
        "{why}"
    );
    let nowhere = Copies::open("/proc/nowhere", socket(), make_ping().unwrap().0).err().unwrap().to_string();
    assert!(nowhere.contains("can't be used") && nowhere.contains("that it may write to"), "{nowhere}");
}

/// Fails every write and sync once it is told to.
#[derive(Debug)]
struct Failing(InMemoryBackend, Arc<AtomicBool>);

impl Failing {
    fn checked(&self) -> io::Result<()> {
        match self.1.load(SeqCst) {
            true => Err(io::Error::from(io::ErrorKind::StorageFull)),
            false => Ok(()),
        }
    }
}

impl StorageBackend for Failing {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.checked()?;
        self.0.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.checked()?;
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.checked()?;
        self.0.write(offset, data)
    }
}

#[test]
fn a_save_that_fails_is_said_and_lets_nothing_leave() {
    let folder = Folder::new("full");
    std::fs::create_dir_all(&folder.0).unwrap();
    let full = Arc::new(AtomicBool::new(false));
    let backend = Failing(InMemoryBackend::new(), full.clone());
    let store = Database::builder().create_with_backend(backend).unwrap();
    found(&store).unwrap();
    let lock = File::create(folder.0.join("lock")).unwrap();
    let mut copies = Copies::start(store, &folder.0, socket(), make_ping().unwrap().0, lock).unwrap();
    let hears = socket();
    let save = |number| {
        let datagrams = vec![Datagram { to: hears.local_addr().unwrap(), bytes: vec![number as u8] }];
        Kept { number, records: vec![record("a", Some("1"))], datagrams }
    };
    assert!(copies.save(save(1)));
    assert_eq!(word(&copies), (1, true));
    full.store(true, SeqCst);
    assert!(copies.save(save(2)));
    assert_eq!(word(&copies), (2, false));
    // The thread has ended or is about to: what comes now fails at once, or is never said to be lasting.
    let taken = copies.save(save(3));
    assert!(!taken || copies.done.recv_timeout(Duration::from_secs(10)).is_err());
    hears.set_nonblocking(true).unwrap();
    let mut bytes = [0; 8];
    assert_eq!((hears.recv(&mut bytes).unwrap(), bytes[0]), (1, 1));
    assert!(hears.recv(&mut bytes).is_err());
}
