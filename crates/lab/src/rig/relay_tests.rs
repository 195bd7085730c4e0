//! Unit tests of the `relay` module.

use super::*;
use std::io::ErrorKind;

fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut s in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut b = [0; 64];
                while let Ok(n @ 1..) = s.read(&mut b) {
                    let _ = s.write_all(&b[..n]);
                }
            });
        }
    });
    at
}

#[test]
fn a_lost_link_drops_bytes_but_records_statements() {
    let relayed = Arc::default();
    let link = Link::start((0, 1, 2), echo(), Records::new(), Arc::clone(&relayed)).unwrap();
    let mut s = TcpStream::connect(link.address).unwrap();
    s.set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let mut b = [0; 16];
    s.write_all(b"want a\r\n").unwrap();
    assert_eq!(s.read(&mut b).unwrap(), 8);
    link.set(|s| s.out_lost = true);
    s.write_all(b"want b\r\n").unwrap();
    assert!(s.read(&mut b).is_err(), "a lost link must not return bytes");
    let all = relayed.lock().unwrap().clone();
    assert_eq!(
        all.iter()
            .map(|r| (r.opened, r.statements, r.passed, r.zone))
            .collect::<Vec<_>>(),
        [(1, 0, true, 2), (0, 1, true, 2), (0, 1, false, 2)]
    );
    link.reset();
    assert!(matches!(s.read(&mut b), Ok(0) | Err(_)));
}

#[test]
fn the_front_sees_a_reset_only_after_the_engine_has_closed_its_side() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let stopped = Arc::new(AtomicBool::new(false));
    let engine_stopped = stopped.clone();
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let mut bytes = [0; 64];
        while let Ok(1..) = connection.read(&mut bytes) {}
        // An engine that had no CPU for a while: it sends an answer that must not reach the front,
        // and closes late.
        let _ = connection.write_all(b"late");
        std::thread::sleep(Duration::from_millis(300));
        engine_stopped.store(true, SeqCst);
    });
    let link = Link::start((0, 0, 0), at, Records::new(), Arc::default()).unwrap();
    let mut front = TcpStream::connect(link.address).unwrap();
    front
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    front.write_all(b"want a\r\n").unwrap();
    while link.open.lock().unwrap().is_empty() {
        std::thread::yield_now();
    }
    link.reset();
    // Bytes sent after the reset must not close the connection.
    front.write_all(b"want b\r\n").unwrap();
    let received = front.read(&mut [0; 16]).map_err(|e| e.kind());
    assert!(
        matches!(received, Ok(0) | Err(ErrorKind::ConnectionReset)),
        "{received:?}"
    );
    assert!(
        stopped.load(SeqCst),
        "the front saw the reset while the engine still ran"
    );
}
