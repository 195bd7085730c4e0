//! Tests of how connections of PostgreSQL clients are closed: bytes that arrive between the last
//! read and the close do not reset the connection, and the client reads all of its output, then the
//! end of the connection.

use super::*;

const GARBAGE_BYTES: usize = 1 << 20; // bytes; reading them takes several iterations
const LINGER_TIME: Micros = 1_000_000; // microseconds; as in the module `lingering`
pub(super) const SHUTDOWN_LINGER_TIME: Micros = 500_000; // microseconds; half of `LINGER_TIME`

impl FrontHarness {
    /// Runs the front until the connection ends. Returns all that the peer has received.
    pub(super) fn receive_text_to_end(&mut self, peer: &mut TcpStream) -> String {
        let mut all = String::new();
        loop {
            let received = self.receive(peer);
            if received.is_empty() {
                break;
            }
            all += &String::from_utf8_lossy(&received);
        }
        // There is no reset after the end of the connection either.
        assert!(peer.take_error().unwrap().is_none());
        all
    }

    /// Runs the front until all bytes are written.
    pub(super) fn write_all_bytes(&mut self, peer: &mut TcpStream, bytes: &[u8]) {
        peer.set_nonblocking(true).unwrap();
        let mut rest = bytes;
        self.run_until("all bytes to be written", |_| {
            match peer.write(rest) {
                Ok(len) => rest = &rest[len..],
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock, "{e}"),
            }
            rest.is_empty().then_some(())
        });
    }

    fn session_count(&self) -> usize {
        self.front.gateway.as_ref().map_or(0, Gateway::len)
    }

    /// Limits the sessions of the front, and the lingering connections that have descriptors beside
    /// those of clients.
    fn set_capacity(&mut self, sessions: usize, lingering: usize) {
        self.front.max_clients = sessions;
        self.front
            .gateway
            .as_mut()
            .unwrap()
            .set_descriptor_limits(64, lingering);
    }
}

#[test]
fn bytes_racing_front_shutdown_do_not_reset_session() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("crossed-end", at, true);
    let (mut session, mut other_session) = (harness.open_session(), harness.open_session());
    harness.advance_to_listener_close();
    // The front reads the sessions a last time; their last message is sent in the next iteration.
    harness.front.run_iteration();
    send_query(&mut session, "select 1");
    send_query(&mut other_session, "select 1");
    harness.front.run_iteration();
    for session in [&mut session, &mut other_session] {
        let received = harness.receive_text_to_end(session);
        assert!(
            received.starts_with('E') && received.contains("57P01"),
            "{received:?}"
        );
    }
    // The shutdown waits for the clients to close, up to the linger time.
    drop(session);
    harness.run_until("one to be closed", |front| {
        (!front.gateway.as_ref()?.is_done()).then_some(())
    });
    write_clock(&harness.files[0], CLOSE_TIME + SHUTDOWN_LINGER_TIME - 1);
    harness.run_iteration();
    assert!(!harness.front.is_done());
    write_clock(&harness.files[0], CLOSE_TIME + SHUTDOWN_LINGER_TIME);
    harness.run_iteration();
    assert!(harness.front.is_done());
}

#[test]
fn front_whose_clients_close_ends_before_linger_time() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("closed-end", at, true);
    let mut session = harness.open_session();
    harness.advance_to_listener_close();
    harness.front.run_iteration();
    assert!(harness.receive_text_to_end(&mut session).contains("57P01"));
    assert!(!harness.front.is_done());
    drop(session);
    harness.run_until("the end", |front| front.is_done().then_some(()));
}

#[test]
fn bytes_racing_idle_transaction_timeout_do_not_reset_session() {
    let (engine, at) = listener();
    let mut harness =
        FrontHarness::with_limits("crossed-idle", at, true, "transaction_idle_ms: 1000");
    let mut session = harness.open_session();
    send_query(&mut session, "BEGIN");
    let mut link = harness.accept_dial(&engine);
    accept_login(&mut link);
    harness.receive_until(&mut link, "BEGIN");
    send_completion(&mut link, "BEGIN", b'T');
    harness.receive_until(&mut session, "Z\0\0\0\x05T");
    write_clock(&harness.files[0], START + 1_500_000);
    send_query(&mut session, "select 1");
    // The event loop has not reported the query.
    harness.front.run_iteration();
    let received = harness.receive_text_to_end(&mut session);
    assert!(
        received.starts_with('E') && received.contains("25P03"),
        "{received:?}"
    );
}

#[test]
fn startup_racing_login_timeout_does_not_reset_connection() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::with_limits("crossed-login", at, true, "start_up_ms: 400");
    let mut session = TcpStream::connect(harness.session_address).unwrap();
    harness.run_until("the session to be accepted", |front| {
        (front.gateway.as_ref()?.len() == 1).then_some(())
    });
    harness.run_iteration();
    write_clock(&harness.files[0], START + 500_000);
    send_startup(&mut session, "portal");
    harness.front.run_iteration();
    assert_eq!(harness.receive_text_to_end(&mut session), "");
    // The client does not close: the front wakes when the linger time is over and drops the
    // connection.
    let bound = START + 500_000 + LINGER_TIME;
    let (done, open) = ((true, Micros::MAX), (false, bound));
    let gateway = |harness: &FrontHarness| {
        harness
            .front
            .gateway
            .as_ref()
            .map(|g| (g.is_done(), g.due()))
            .unwrap()
    };
    assert_eq!(gateway(&harness), open);
    write_clock(&harness.files[0], bound - 1);
    harness.run_iteration();
    assert_eq!(gateway(&harness), open);
    write_clock(&harness.files[0], bound);
    harness.run_iteration();
    assert_eq!(gateway(&harness), done);
}

#[test]
fn bytes_racing_eviction_do_not_reset_session() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("crossed-room", at, true);
    let mut session = harness.open_session();
    harness.set_capacity(1, 1);
    write_clock(&harness.files[0], START + 2_000_000);
    let _newcomer = harness.open_session();
    assert_eq!(harness.session_count(), 1);
    send_query(&mut session, "select 1");
    let received = harness.receive_text_to_end(&mut session);
    assert!(
        received.starts_with('E') && received.contains("57P01"),
        "{received:?}"
    );
}

#[test]
fn lingering_session_makes_room_when_descriptors_run_short() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("lingering-room", at, true);
    harness.set_capacity(2, 0);
    // The idle session would be evicted if there were no lingering one.
    let mut idle = harness.open_session();
    write_clock(&harness.files[0], START + 2_000_000);
    let mut session = harness.open_session();
    session.write_all(wire::TERMINATE).unwrap();
    assert_eq!(harness.receive_text_to_end(&mut session), "");
    assert_eq!(harness.session_count(), 2);
    let _newcomer = harness.open_session();
    assert_eq!(harness.session_count(), 2);
    send_query(&mut idle, "SET hallmux.workload = 'lookup'");
    harness.receive_until(&mut idle, "SET\0");
    // A client of the native protocol takes the descriptor of a lingering session in the same way.
    let mut session = idle;
    session.write_all(wire::TERMINATE).unwrap();
    assert_eq!(harness.receive_text_to_end(&mut session), "");
    let _client = TcpStream::connect(harness.listen_address).unwrap();
    harness.run_until("the client to be accepted", |front| {
        (front.clients.len() == 1).then_some(())
    });
    assert_eq!(harness.session_count(), 1);
}

#[test]
fn evicted_session_closes_at_once_if_none_may_linger() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("no-room", at, true);
    let mut session = harness.open_session();
    harness.set_capacity(1, 0);
    write_clock(&harness.files[0], START + 2_000_000);
    let _newcomer = harness.open_session();
    assert!(harness
        .front
        .gateway
        .as_mut()
        .is_some_and(|gateway| !gateway.drop_lingering()));
    assert_eq!(harness.session_count(), 1);
    let received = harness.receive_text_to_end(&mut session);
    assert!(received.contains("57P01"), "{received:?}");
}

#[test]
fn bytes_after_unreadable_message_do_not_reset_session() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("crossed-garbage", at, true);
    // A message with an impossible length, and one that is too long.
    for (head, code) in [(b"Q\0\0\0\x03", "08P01"), (b"Q\x7f\0\0\0", "54000")] {
        let mut session = harness.open_session();
        let garbage = [head.to_vec(), vec![b'x'; GARBAGE_BYTES]].concat();
        harness.write_all_bytes(&mut session, &garbage);
        let received = harness.receive_text_to_end(&mut session);
        assert!(
            received.starts_with('E') && received.contains(code),
            "{received:?}"
        );
        assert_eq!(received.matches("FATAL").count(), 2, "{received:?}");
    }
}

#[test]
fn endless_input_to_closing_session_is_cut_off() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("endless-garbage", at, true);
    let mut session = harness.open_session();
    session.write_all(b"Q\0\0\0\x03").unwrap();
    session.set_nonblocking(true).unwrap();
    // The clock does not advance: the number of bytes alone exceeds the limit.
    let garbage = vec![b'x'; GARBAGE_BYTES];
    let ended = harness.run_until("its end", |_| match session.write(&garbage) {
        Ok(_) => None,
        Err(e) if e.kind() == ErrorKind::WouldBlock => None,
        Err(e) => Some(e.kind()),
    });
    assert!(
        matches!(ended, ErrorKind::ConnectionReset | ErrorKind::BrokenPipe),
        "{ended}"
    );
    assert!(harness.front.gateway.as_ref().unwrap().is_done());
}

#[test]
fn bytes_after_wrong_password_do_not_reset_connection() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("crossed-password", at, true);
    let mut session = TcpStream::connect(harness.session_address).unwrap();
    send_startup(&mut session, "stranger");
    harness.receive_until(&mut session, "SCRAM-SHA-256");
    let first = b"n,,n=,r=abc";
    let mut out = Vec::new();
    wire::write(&mut out, b'p', |out| {
        wire::write_string(out, b"SCRAM-SHA-256");
        out.extend((first.len() as u32).to_be_bytes());
        out.extend(first);
    });
    session.write_all(&out).unwrap();
    let challenge = harness.receive_until(&mut session, ",i=");
    let nonce = challenge
        .split("r=")
        .nth(1)
        .and_then(|rest| rest.split(',').next())
        .unwrap()
        .to_string();
    // A proof of the right length, but not the right one.
    let proof = format!("c=biws,r={nonce},p={}=", "A".repeat(43));
    out.clear();
    wire::write(&mut out, b'p', |out| out.extend(proof.as_bytes()));
    session.write_all(&out).unwrap();
    while !harness.read_ready_sockets().contains(&SocketKind::Session) {}
    send_query(&mut session, "select 1");
    harness.front.run_iteration();
    let received = harness.receive_text_to_end(&mut session);
    assert!(
        received.starts_with('E') && received.contains("28P01"),
        "{received:?}"
    );
}

#[test]
fn bytes_after_truncated_answer_do_not_reset_session() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("crossed-cut", at, true);
    let mut session = harness.open_session();
    send_query(&mut session, "select 1");
    let mut link = harness.accept_dial(&engine);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    // A row whose announced length exceeds the bytes that follow.
    let mut row = b"D".to_vec();
    row.extend((GARBAGE_BYTES as u32).to_be_bytes());
    row.extend(vec![b'x'; GARBAGE_BYTES / 2]);
    harness.write_all_bytes(&mut link, &row);
    let mut received = 0;
    while received < row.len() {
        received += harness.receive(&mut session).len();
    }
    drop(link);
    while !harness.read_ready_sockets().contains(&SocketKind::Server) {}
    send_query(&mut session, "select 2");
    harness.front.run_iteration();
    assert_eq!(harness.receive_text_to_end(&mut session), "");
}
