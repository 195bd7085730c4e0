//! Tests of what PostgreSQL clients do to the unit that they wait for: they cancel it before it is
//! sent, send garbage after it, or do not read its answer.

use hallmux_postgres::wire::CancelKey;
use socket2::{Domain, SockRef, Socket, Type};

use super::*;
use crate::clients::STATEMENT_OVERHEAD_BYTES;
use crate::postgres::sessions::PART_OVERHEAD_BYTES;

const CANCEL_REQUEST: [u8; 8] = [0, 0, 0, 16, 4, 210, 22, 46]; // its first bytes
const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I"; // ReadyForQuery, which ends a unit
const ROW_BYTES: usize = 32 << 10; // bytes of a row, header included
const MAX_ROWS: usize = 4_096; // far more than fit into any socket
const SLOW_CLIENT_UNSENT: usize = 700 << 10; // bytes that the client with fewer unsent bytes does not read
const RECEIVE_BUFFER: usize = 256 << 10; // bytes of a client socket; fixed, so that the system does not grow it
const MAX_UNSENT_BYTES: usize = 2 << 20; // limit of the unsent bytes of all answers

/// The key that cancels a session, from the messages that the session receives after its login.
fn cancel_key_in(mut greeting: &[u8]) -> CancelKey {
    while let Ok(Some(message)) = wire::message(greeting, greeting.len()) {
        let number = |at: usize| u32::from_be_bytes(message.body[at..at + 4].try_into().unwrap());
        if message.tag == b'K' {
            return CancelKey {
                process: number(0),
                secret: number(4),
            };
        }
        greeting = &greeting[message.len..];
    }
    panic!("no cancel key in {greeting:?}");
}

impl FrontHarness {
    /// Opens a session and returns its cancel key.
    fn open_session_with_key(&mut self) -> (TcpStream, CancelKey) {
        let mut session = TcpStream::connect(self.session_address).unwrap();
        send_startup(&mut session, "portal");
        let greeting = self.receive_unit_bytes(&mut session);
        (session, cancel_key_in(&greeting))
    }

    /// All bytes up to the end of a unit's answer. Checks the end only, so that long answers stay
    /// cheap to receive.
    fn receive_unit_bytes(&mut self, session: &mut TcpStream) -> Vec<u8> {
        let mut all = Vec::new();
        while !all.ends_with(READY_FOR_QUERY) {
            let received = self.receive(session);
            assert!(
                !received.is_empty(),
                "connection closed after {} bytes",
                all.len()
            );
            all.extend(received);
        }
        all
    }

    /// Sends a request to cancel, and waits until the front closes its connection.
    fn send_cancel_request(&mut self, key: CancelKey) {
        let mut request = TcpStream::connect(self.session_address).unwrap();
        let mut out = Vec::new();
        wire::write_cancel(&mut out, key);
        request.write_all(&out).unwrap();
        assert!(self.receive(&mut request).is_empty());
    }

    /// Opens a session whose socket holds only little of its answers.
    fn open_session_with_small_buffer(&mut self) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        SockRef::from(&socket)
            .set_recv_buffer_size(RECEIVE_BUFFER)
            .unwrap();
        socket.connect(&self.session_address.into()).unwrap();
        let mut session = TcpStream::from(socket);
        send_startup(&mut session, "portal");
        self.receive_until(&mut session, "Z\0\0\0\x05I");
        session
    }

    /// Sends a session's unit and returns the engine connection on which it is in flight.
    pub(super) fn start_unit_on(
        &mut self,
        session: &mut TcpStream,
        engine: &TcpListener,
        text: &str,
    ) -> TcpStream {
        send_query(session, text);
        let mut link = self.accept_dial(engine);
        accept_login(&mut link);
        self.receive_until(&mut link, text);
        link
    }
}

#[test]
fn unit_waiting_for_connection_is_cancelled_once_and_never_sent() {
    for cancelling in [true, false] {
        let (engine, at) = listener();
        let mut harness =
            FrontHarness::new(&format!("cancel-waiting-{cancelling}"), at, cancelling);
        let (mut session, key) = harness.open_session_with_key();
        send_query(&mut session, "select 1");
        let mut link = harness.accept_dial(&engine);
        // The engine has received the startup message and has not answered it. The second request
        // finds no unit.
        harness.send_cancel_request(key);
        harness.send_cancel_request(key);
        let received = harness.receive_until(&mut session, "Z\0\0\0\x05I");
        assert!(
            received.starts_with('E') && received.matches("C57014").count() == 1,
            "{received:?}"
        );
        accept_login(&mut link);
        send_query(&mut session, "select 2");
        let received = harness.receive_until(&mut link, "select 2");
        assert!(!received.contains("select 1"), "{received:?}");
        send_completion(&mut link, "SELECT 2", b'I');
        let received = harness.receive_until(&mut session, "Z\0\0\0\x05I");
        assert!(
            received.starts_with('C') && received.contains("SELECT 2"),
            "{received:?}"
        );
        // The engine received nothing else.
        harness.run_iteration();
        assert_eq!(engine.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
    }
}

#[test]
fn garbage_after_unit_in_flight_waits_for_its_answer() {
    for at_once in [true, false] {
        let (engine, at) = listener();
        let mut harness = FrontHarness::new(&format!("garbage-behind-{at_once}"), at, true);
        let mut session = harness.open_session();
        let garbage = b"Q\0\0\0\x03select 2";
        let mut link = if at_once {
            let mut out = Vec::new();
            wire::write_query(&mut out, b"select 1");
            out.extend(garbage);
            session.write_all(&out).unwrap();
            let mut link = harness.accept_dial(&engine);
            accept_login(&mut link);
            harness.receive_until(&mut link, "select 1");
            link
        } else {
            let link = harness.start_unit_on(&mut session, &engine, "select 1");
            session.write_all(garbage).unwrap();
            link
        };
        // The garbage is read and has no effect yet.
        harness.run_until("the garbage to be read", |front| {
            let gateway = front.gateway.as_ref()?;
            let expected = unit_memory("select 1") + garbage.len();
            (gateway.held_bytes() == expected).then_some(())
        });
        harness.run_iteration();
        session.set_nonblocking(true).unwrap();
        assert_eq!(
            session.read(&mut [0]).unwrap_err().kind(),
            ErrorKind::WouldBlock
        );
        send_completion(&mut link, "SELECT 1", b'I');
        let received = harness.receive_text_to_end(&mut session);
        let error = received
            .strip_prefix("C\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I")
            .unwrap_or(&received);
        let errors = error.matches("SFATAL").count();
        assert!(
            error.starts_with('E') && error.contains("C08P01") && errors == 1,
            "{received:?}"
        );
        drop(session);
        // The engine is not asked to cancel the unit that it has answered, and its connection is
        // used again.
        let mut next = harness.open_session();
        send_query(&mut next, "select 3");
        let received = harness.receive_until(&mut link, "select 3");
        assert!(!received.contains("select 2"), "{received:?}");
        assert_eq!(engine.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
    }
}

#[test]
fn client_with_most_unread_answers_is_closed_and_its_unit_cancelled() {
    assert_slowest_client_is_closed(true);
}

#[test]
fn client_with_most_unread_answers_is_closed_without_cancel_requests() {
    assert_slowest_client_is_closed(false);
}

fn assert_slowest_client_is_closed(cancelling: bool) {
    let (engine, at) = listener();
    // The buffer for one answer is larger than the limit of all unsent bytes.
    let limits = format!("buffer_bytes: {}", 2 * MAX_UNSENT_BYTES);
    let mut harness =
        FrontHarness::with_limits(&format!("untaken-{cancelling}"), at, cancelling, &limits);
    harness.front.max_bytes = MAX_UNSENT_BYTES;
    let (mut most, mut little) = (
        harness.open_session_with_small_buffer(),
        harness.open_session_with_small_buffer(),
    );
    let mut link_of_little = harness.start_unit_on(&mut little, &engine, "select 'little'");
    let mut link_of_most = harness.start_unit_on(&mut most, &engine, "select 'most'");
    let mut row = Vec::new();
    wire::write(&mut row, b'D', |out| out.resize(ROW_BYTES, b'x'));
    // Rows are sent until they no longer fit into the sockets and some stay unsent at the front.
    let unsent = |harness: &FrontHarness| harness.front.gateway.as_ref().unwrap().unsent().bytes;
    let mut rows = 0;
    while unsent(&harness) < SLOW_CLIENT_UNSENT {
        assert!(rows < MAX_ROWS, "all rows fit into the sockets");
        harness.write_all_bytes(&mut link_of_little, &row);
        rows += 1;
        harness.run_iteration();
    }
    assert!(
        unsent(&harness) < MAX_UNSENT_BYTES / 2,
        "{} bytes",
        unsent(&harness)
    );
    let tag = format!("SELECT {rows}");
    send_completion(&mut link_of_little, &tag, b'I');
    harness.run_until("the end of the answer", |front| {
        (front.gateway.as_ref()?.held_bytes() == unit_memory("select 'most'")).then_some(())
    });
    // The answer of the other client is endless: rows are sent until the front no longer reads
    // them.
    link_of_most.set_nonblocking(true).unwrap();
    let mut at = 0;
    harness.run_until("the client to be closed", |front| {
        while let Ok(len) = link_of_most.write(&row[at..]) {
            at = (at + len) % row.len();
        }
        (front.gateway.as_ref()?.len() < 2).then_some(())
    });
    assert_eq!(harness.front.gateway.as_ref().unwrap().held_bytes(), 0);
    // The first client also had unsent bytes and could have been closed.
    assert!(unsent(&harness) > 0);
    if cancelling {
        // The engine is asked to cancel the unit over a connection of its own.
        let mut request = harness.run_until("a request", |_| engine.accept().ok()).0;
        let request = harness.receive(&mut request);
        assert!(request.starts_with(&CANCEL_REQUEST), "{request:?}");
    } else {
        // Further rows of the unit are discarded.
        harness.write_all_bytes(&mut link_of_most, &row[at..]);
        send_completion(&mut link_of_most, "SELECT 0", b'I');
        harness.run_iteration();
        assert_eq!(engine.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
    }
    // The client with fewer unsent bytes receives its complete answer and stays usable.
    let received = harness.receive_unit_bytes(&mut little);
    let mut whole = row.repeat(rows);
    wire::write_complete(&mut whole, &tag);
    whole.extend(READY_FOR_QUERY);
    assert!(
        received == whole,
        "received {} bytes, expected {}",
        received.len(),
        whole.len()
    );
    send_query(&mut little, "SET hallmux.workload = 'lookup'");
    let received = harness.receive_until(&mut little, "Z\0\0\0\x05I");
    assert!(received.starts_with("C\0\0\0\x08SET\0"), "{received:?}");
}

/// Bytes of memory that a unit of one query takes.
fn unit_memory(text: &str) -> usize {
    let mut out = Vec::new();
    wire::write_query(&mut out, text.as_bytes());
    STATEMENT_OVERHEAD_BYTES + PART_OVERHEAD_BYTES + out.len()
}
