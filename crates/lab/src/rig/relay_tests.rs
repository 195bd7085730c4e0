//! Unit tests of the `relay` module.

use super::*;

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
fn a_lost_link_passes_nothing_but_writes_down_what_was_sent() {
    let relayed = Arc::default();
    let link = Link::start((0, 1, 2), echo(), Records::new(), Arc::clone(&relayed)).unwrap();
    let mut s = TcpStream::connect(link.at).unwrap();
    s.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let mut b = [0; 16];
    s.write_all(b"want a\r\n").unwrap();
    assert_eq!(s.read(&mut b).unwrap(), 8);
    link.set(|s| s.out_lost = true);
    s.write_all(b"want b\r\n").unwrap();
    assert!(s.read(&mut b).is_err(), "nothing may come back through a lost link");
    let all = relayed.lock().unwrap().clone();
    assert_eq!(
        all.iter().map(|r| (r.dials, r.statements, r.passed, r.zone)).collect::<Vec<_>>(),
        [(1, 0, true, 2), (0, 1, true, 2), (0, 1, false, 2)]
    );
    link.reset();
    assert!(matches!(s.read(&mut b), Ok(0) | Err(_)));
}
