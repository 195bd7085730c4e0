//! Tests of clients that send statements slowly: their input takes a bounded part of the memory, and those that give way
//! are told so.

use super::unit_parts::Messages;
use super::*;
use crate::clients::tests::frame;

/// Bytes that the input of all clients may take.
const MAX_INPUT_BYTES: usize = 20_000;
const SLOW_CLIENTS: usize = 6;
const STATEMENT_BYTES: usize = 60_000;
/// Bytes that each slow client has sent when it stops.
const SENT_BYTES: usize = 6_000;
const REJECTED: &str = "53000";

impl FrontHarness {
    fn with_input_limit(name: &str) -> (FrontHarness, TcpListener) {
        let (engine, at) = listener();
        let mut harness = FrontHarness::new(name, at, true);
        harness.front.max_input_bytes = MAX_INPUT_BYTES;
        (harness, engine)
    }

    /// Bytes of memory that the input of all clients takes.
    fn input_bytes(&self) -> usize {
        let sessions = self.front.gateway.iter().flat_map(Gateway::held_input);
        let all = self.front.clients.held_input().chain(sessions);
        all.map(|input| input.bytes).sum()
    }

    /// Has each client send the first part of its message. Checks that their input stays within its limit.
    fn send_first_parts(&mut self, clients: &mut [TcpStream], message: &[u8]) {
        for client in clients {
            client.write_all(&message[..SENT_BYTES]).unwrap();
            self.wait_for_events()
                .ready
                .drain(..)
                .for_each(|socket| self.front.handle_ready_socket(socket));
            self.run_iteration();
            let held = self.input_bytes();
            assert!(held <= MAX_INPUT_BYTES, "{held} bytes of input are held");
        }
    }
}

/// Guards against a front that is killed over its memory limit by clients that write slowly: nothing bounded the sum of what
/// they had sent.
#[test]
fn slow_clients_beyond_the_limit_of_input_are_rejected_and_stay_usable() {
    let (mut harness, _engine) = FrontHarness::with_input_limit("slow-clients");
    let mut clients: Vec<TcpStream> = (0..SLOW_CLIENTS)
        .map(|_| TcpStream::connect(harness.listen_address).unwrap())
        .collect();
    let statement = frame(7, &"x".repeat(STATEMENT_BYTES));
    harness.send_first_parts(&mut clients, &statement);
    // The client that has sent its part first gives way. It is told so before it has sent the rest.
    let first = &mut clients[0];
    let rejection = harness.receive(first);
    let number = 7u32.to_be_bytes();
    assert!(
        rejection.windows(number.len()).any(|bytes| bytes == number),
        "{rejection:?}"
    );
    // The rest of its statement is dropped, and its next request is answered.
    harness.write_all_bytes(first, &statement[SENT_BYTES..]);
    harness.write_all_bytes(first, &frame(8, ""));
    let answer = harness.receive(first);
    let number = 8u32.to_be_bytes();
    assert!(
        answer.windows(number.len()).any(|bytes| bytes == number),
        "{answer:?}"
    );
    // The client that came last is not disturbed.
    let last = &mut clients[SLOW_CLIENTS - 1];
    last.set_nonblocking(true).unwrap();
    let nothing = last.read(&mut [0]).unwrap_err();
    assert_eq!(nothing.kind(), ErrorKind::WouldBlock);
}

/// The same as above, for sessions: a simple query is answered as a whole, an extended unit up to its Sync.
#[test]
fn slow_sessions_beyond_the_limit_of_input_are_rejected_and_stay_usable() {
    let (mut harness, engine) = FrontHarness::with_input_limit("slow-sessions");
    let mut sessions: Vec<TcpStream> = (0..SLOW_CLIENTS).map(|_| harness.open_session()).collect();
    let mut query = Vec::new();
    wire::write_query(&mut query, "x".repeat(STATEMENT_BYTES).as_bytes());
    harness.send_first_parts(&mut sessions, &query);
    let first = &mut sessions[0];
    let rejection = harness.receive_until(first, "Z\0\0\0\x05I");
    assert!(rejection.contains(REJECTED), "{rejection:?}");
    harness.write_all_bytes(first, &query[SENT_BYTES..]);
    let mut link = harness.start_unit_on(first, &engine, "select 1");
    send_completion(&mut link, "SELECT 1", b'I');
    let answer = harness.receive_until(first, "Z\0\0\0\x05I");
    assert!(answer.starts_with('C'), "{answer:?}");
}

#[test]
fn extended_unit_beyond_the_limit_of_input_is_rejected_up_to_its_sync() {
    let (mut harness, engine) = FrontHarness::with_input_limit("slow-units");
    let mut session = harness.open_session();
    let text = "x".repeat(STATEMENT_BYTES);
    let unit = Messages::default()
        .prepare("a", "select 2")
        .prepare("b", &text)
        .sync()
        .bytes();
    harness.front.max_input_bytes = SENT_BYTES / 2;
    harness.write_all_bytes(&mut session, &unit[..SENT_BYTES]);
    let rejection = harness.receive_until(&mut session, REJECTED);
    assert!(!rejection.contains("Z\0\0\0\x05"), "{rejection:?}");
    harness.write_all_bytes(&mut session, &unit[SENT_BYTES..]);
    harness.receive_until(&mut session, "Z\0\0\0\x05I");
    harness.front.max_input_bytes = MAX_INPUT_BYTES;
    let mut link = harness.start_unit_on(&mut session, &engine, "select 1");
    send_completion(&mut link, "SELECT 1", b'I');
    harness.receive_until(&mut session, "Z\0\0\0\x05I");
}

/// Guards against memory that grows without end: the parts of a unit without a Sync were kept, and not counted.
#[test]
fn unit_of_ever_more_parts_ends_its_session() {
    let (engine, at) = listener();
    let limits = "message_bytes: 65536";
    let mut harness = FrontHarness::with_limits("endless-unit", at, true, limits);
    let mut session = harness.open_session();
    Messages::default()
        .prepare("a", "select 1")
        .execute("a")
        .flush()
        .send(&mut session);
    let mut link = harness.accept_dial(&engine);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    let flushes = wire::FLUSH.repeat(1_000);
    harness.write_all_bytes(&mut session, &flushes);
    let received = harness.receive_text_to_end(&mut session);
    assert!(received.contains("C54000"), "{received:?}");
    assert_eq!(harness.front.gateway.as_ref().unwrap().held_bytes(), 0);
}
