//! Tests of the settings that a session takes to its next engine connection.

use super::*;

impl FrontHarness {
    /// Sends a query of a session that its engine completes with a tag and a transaction status.
    fn complete_query(
        &mut self,
        (session, link): (&mut TcpStream, &mut TcpStream),
        text: &str,
        (tag, status): (&str, u8),
    ) {
        send_query(session, text);
        self.receive_until(link, text);
        send_completion(link, tag, status);
        self.receive_until(session, "Z\0\0\0\x05");
    }
}

/// Guards against rows of another tenant: a search path that ROLLBACK TO SAVEPOINT had taken back was
/// applied before the session's next unit.
#[test]
fn search_path_taken_back_by_savepoint_is_not_applied_to_the_next_connection() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("savepoint-settings", at, true);
    let mut session = harness.open_session();
    let own = "SET search_path = own";
    let mut link = harness.start_unit_on(&mut session, &engine, own);
    send_completion(&mut link, "SET", b'I');
    harness.receive_until(&mut session, "Z\0\0\0\x05I");
    // The engine is asked to apply the settings anew before the transaction.
    send_query(&mut session, "BEGIN");
    harness.receive_until(&mut link, own);
    send_completion(&mut link, "SET", b'I');
    harness.receive_until(&mut link, "BEGIN");
    send_completion(&mut link, "BEGIN", b'T');
    harness.receive_until(&mut session, "Z\0\0\0\x05T");
    for (text, tag, status) in [
        ("SAVEPOINT look", "SAVEPOINT", b'T'),
        ("SET search_path = other", "SET", b'T'),
        ("ROLLBACK TO SAVEPOINT look", "ROLLBACK", b'T'),
        ("COMMIT", "COMMIT", b'I'),
    ] {
        harness.complete_query((&mut session, &mut link), text, (tag, status));
    }
    send_query(&mut session, "select 1");
    let received = harness.receive_until(&mut link, "search_path");
    assert!(received.contains(own), "{received:?}");
}
