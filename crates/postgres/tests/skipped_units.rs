//! Units that are answered with an error while their client is still sending them: the rest of such
//! a unit is skipped, and the unit behind its Sync is read whole.

use std::rc::Rc;

use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::prepared::Catalogue;
use hallmux_postgres::session::{Bounds, Session, SessionEvent, UnitPart};
use hallmux_postgres::wire;

const BOUNDS: Bounds = Bounds {
    statements: 8,
    portals: 4,
    settings: 4,
    bytes: 256,
};

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    wire::write(&mut out, tag, |out| out.extend_from_slice(body));
    out
}

/// A session that has sent the first part of a unit, up to a Flush.
fn session_within_unit(catalogue: &mut Catalogue) -> Session {
    let mut session = Session::new(&Default::default(), catalogue);
    let first_part = [message(b'P', b"a\0select 1\0\0\0"), wire::FLUSH.to_vec()].concat();
    assert!(read_part(&mut session, &mut first_part.clone(), catalogue).is_some());
    assert!(session.is_in_unit());
    session
}

/// Reads a part of a unit off the start of the input, if it holds one.
fn read_part(
    session: &mut Session,
    input: &mut Vec<u8>,
    catalogue: &mut Catalogue,
) -> Option<Rc<UnitPart>> {
    let (used, event) = session.read(input, catalogue, &BOUNDS).unwrap();
    input.drain(..used);
    match event {
        SessionEvent::Part(part) => Some(part),
        SessionEvent::Incomplete => None,
        SessionEvent::Terminated => panic!("the client has not ended the session"),
    }
}

/// Guards against a panic of the whole front, or a unit read from within a message, when a unit
/// fails after a whole message behind its Flush was read.
#[test]
fn unit_behind_a_failed_one_is_read_whole_wherever_the_first_one_failed() {
    let rest_of_failed = [
        message(b'P', b"b\0select 'a longer text'\0\0\0"),
        message(b'B', b"\0b\0\0\0\0\0\0\0"),
        wire::SYNC.to_vec(),
    ]
    .concat();
    let next = message(b'Q', b"select 2\0");
    // The Sync is not received before the unit fails.
    for received in 0..rest_of_failed.len() - 1 {
        for after_sync in 0..=next.len() {
            let mut catalogue = Catalogue::default();
            let mut session = session_within_unit(&mut catalogue);
            let mut input = rest_of_failed[..received].to_vec();
            assert!(read_part(&mut session, &mut input, &mut catalogue).is_none());
            // The unit fails here.
            let (used, found_sync) = session.skip_to_sync(&input, &BOUNDS).unwrap();
            assert!(!found_sync);
            input.drain(..used);
            input.extend_from_slice(&rest_of_failed[received..]);
            input.extend_from_slice(&next[..after_sync]);
            let (used, found_sync) = session.skip_to_sync(&input, &BOUNDS).unwrap();
            assert!(found_sync && !session.is_in_unit());
            input.drain(..used);
            let mut part = read_part(&mut session, &mut input, &mut catalogue);
            if part.is_none() {
                input.extend_from_slice(&next[after_sync..]);
                part = read_part(&mut session, &mut input, &mut catalogue);
            }
            let text = part.unwrap().text().to_vec();
            assert_eq!(text, b"select 2", "after {received} and {after_sync} bytes");
        }
    }
}

/// Guards against a session that is never read again: a skipped message over the limit does not fit
/// into the input, so its end was waited for without end.
#[test]
fn skipped_message_over_the_limit_ends_the_session() {
    let mut catalogue = Catalogue::default();
    let mut session = session_within_unit(&mut catalogue);
    let long = message(b'P', &vec![b'x'; BOUNDS.bytes]);
    let why = session.skip_to_sync(&long[..100], &BOUNDS).unwrap_err();
    assert!(matches!(why, ClientError::LimitExceeded { .. }), "{why:?}");
}
