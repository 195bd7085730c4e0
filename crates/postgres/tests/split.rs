//! Messages are read the same however the network splits them, and arbitrary bytes cause no panic.

use std::rc::Rc;

use hallmux_postgres::engine::{Account, EngineConnection, EngineEvent};
use hallmux_postgres::prepared::{Catalogue, SessionSettings};
use hallmux_postgres::session::{Bounds, Session, SessionEvent, UnitPart};
use hallmux_postgres::wire;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;

#[path = "../fuzz/drive.rs"]
mod drive;

const BOUNDS: Bounds = Bounds {
    statements: 8,
    portals: 4,
    settings: 4,
    bytes: 4096,
};

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    wire::write(&mut out, tag, |out| out.extend_from_slice(body));
    out
}

/// The bytes of two extended units, one of them in two parts, and a simple query.
fn units() -> Vec<u8> {
    [
        message(b'P', b"s\0/*hallmux.key='k'*/ select $1\0\0\x01\0\0\0\x19"),
        message(b'B', b"p\0s\0\0\0\0\x01\0\0\0\x01x\0\0"),
        message(b'D', b"Pp\0"),
        message(b'E', b"p\0\0\0\0\x02"),
        message(b'C', b"Pp\0"),
        message(b'S', b""),
        message(b'P', b"\0select 1\0\0\0"),
        message(b'D', b"S\0"),
        message(b'H', b""),
        message(b'B', b"\0\0\0\0\0\0\0\0"),
        message(b'E', b"\0\0\0\0\0"),
        message(b'C', b"Ss\0"),
        message(b'S', b""),
        message(b'Q', b"BEGIN; SET a = 1\0"),
    ]
    .concat()
}

/// Returns the unit parts that a session reads from bytes arriving in the pieces given.
fn read(pieces: &[&[u8]]) -> Vec<Rc<UnitPart>> {
    let mut catalogue = Catalogue::default();
    let mut session = Session::new(&Default::default(), &mut catalogue);
    let (mut parts, mut input) = (Vec::new(), Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        while let (used, SessionEvent::Part(part)) =
            session.read(&input, &mut catalogue, &BOUNDS).unwrap()
        {
            input.drain(..used);
            parts.push(part);
        }
    }
    assert!(input.is_empty());
    parts
}

#[test]
fn client_bytes_split_anywhere_give_the_same_units() {
    let all = units();
    let expected = format!("{:?}", read(&[&all]));
    assert_eq!(read(&[&all]).len(), 4);
    for cut in 0..=all.len() {
        let (first, second) = all.split_at(cut);
        assert_eq!(
            format!("{:?}", read(&[first, second])),
            expected,
            "cut at {cut}"
        );
    }
    let bytes: Vec<&[u8]> = all.chunks(1).collect();
    assert_eq!(format!("{:?}", read(&bytes)), expected);
}

/// Returns the bytes forwarded to the client, and the events, when an engine's answers arrive in
/// the pieces given.
fn forward_answers(pieces: &[&[u8]], client_capacity: usize) -> (Vec<u8>, Vec<EngineEvent>) {
    let (mut out, mut to_client, mut events) = (Vec::new(), Vec::new(), Vec::new());
    let mut engine = EngineConnection::new(Account::default(), 8, &mut out);
    let mut input = Vec::new();
    for (n, part) in std::iter::once(None)
        .chain(read(&[&units()]).into_iter().map(Some))
        .enumerate()
    {
        if let Some(part) = &part {
            engine.send(
                part,
                &Rc::<SessionSettings>::default(),
                true,
                &mut out,
                &mut to_client,
            );
        }
        if n == 0 {
            input = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I".to_vec();
            let (used, event) = engine
                .read(&input, &mut out, &mut to_client, client_capacity)
                .unwrap();
            assert_eq!(event, Some(EngineEvent::Ready));
            input.drain(..used);
        }
    }
    let mut all = Vec::new();
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            let (used, event) = engine
                .read(&input, &mut out, &mut to_client, client_capacity)
                .unwrap();
            input.drain(..used);
            all.append(&mut to_client);
            let is_done = used == 0 && event.is_none();
            events.extend(event);
            if is_done {
                break;
            }
        }
    }
    assert!(input.is_empty());
    (all, events)
}

#[test]
fn engine_bytes_split_anywhere_give_the_same_answers_and_events() {
    let row = message(b'D', b"\0\x01\0\0\0\x01x");
    let description = message(b'T', &[&[0, 1][..], b"c\0", &[0; 18]].concat());
    let answers = [
        message(b'1', b""),
        message(b'2', b""),
        description.clone(),
        row.clone(),
        message(b'N', b"SNOTICE\0\0"),
        message(b's', b""),
        message(b'3', b""),
        message(b'Z', b"I"),
        message(b'1', b""),
        message(b't', b"\0\0"),
        description,
        message(b'2', b""),
        row.clone(),
        row,
        message(b'C', b"SELECT 2\0"),
        message(b'Z', b"I"),
        message(b'C', b"BEGIN\0"),
        message(b'S', b"a\x001\0"),
        message(b'A', b"\0\0\0\x01x\0y\0"),
        message(b'E', b"SERROR\0C22023\0Mno\0\0"),
        message(b'Z', b"E"),
    ]
    .concat();
    let expected = forward_answers(&[&answers], usize::MAX);
    assert_eq!(expected.1.len(), 3);
    let EngineEvent::UnitDone(last) = &expected.1[2] else {
        panic!()
    };
    assert_eq!(
        (last.status, last.error.as_deref(), last.engine_fault),
        (b'E', Some("22023"), false)
    );
    // A notification is dropped and everything else is forwarded; the front answers the Close of a
    // statement itself.
    assert!(expected.0.windows(5).any(|w| w == wire::CLOSE_COMPLETE));
    assert!(!expected.0.windows(5).any(|w| w == b"A\0\0\0\x0c"));
    for cut in 0..=answers.len() {
        let (first, second) = answers.split_at(cut);
        assert_eq!(
            forward_answers(&[first, second], usize::MAX),
            expected,
            "cut at {cut}"
        );
    }
    for client_capacity in [0, 10, 100] {
        assert_eq!(
            forward_answers(&answers.chunks(1).collect::<Vec<_>>(), client_capacity),
            expected
        );
    }
}

#[test]
fn row_of_any_size_is_forwarded_in_pieces() {
    let (mut out, mut to_client) = (Vec::new(), Vec::new());
    let mut engine = EngineConnection::new(Account::default(), 8, &mut out);
    engine
        .read(
            b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I",
            &mut out,
            &mut to_client,
            1 << 20,
        )
        .unwrap();
    let part = read(&[&message(b'Q', b"select 1\0")]).remove(0);
    engine.send(
        &part,
        &Rc::<SessionSettings>::default(),
        false,
        &mut out,
        &mut to_client,
    );
    let row = message(b'D', &vec![7; 10 << 20]);
    let (mut forwarded, mut input) = (0, Vec::new());
    for piece in row.chunks(100_000) {
        input.extend_from_slice(piece);
        let (used, _) = engine
            .read(&input, &mut out, &mut to_client, 1 << 20)
            .unwrap();
        input.drain(..used);
        forwarded += to_client.len();
        to_client.clear();
        assert!(input.len() <= 100_000, "{} bytes are kept", input.len());
        assert_eq!(
            engine.is_between_messages(),
            forwarded == 0 || forwarded == row.len()
        );
    }
    assert_eq!(forwarded, row.len());
}

/// A change to random bytes; the index is taken within their length.
#[derive(Clone, Debug)]
enum Change {
    Replace(Index, u8),
    Remove(Index),
    Cut(Index),
}

/// Bytes for one of the readers: random ones, or messages of a client with a few changes.
fn reader_input() -> impl Strategy<Value = Vec<u8>> {
    let change = prop_oneof![
        any::<(Index, u8)>().prop_map(|(at, byte)| Change::Replace(at, byte)),
        any::<Index>().prop_map(Change::Remove),
        any::<Index>().prop_map(Change::Cut),
    ];
    let known = any::<u8>().prop_map(|which| [&[which][..], &units()].concat());
    let bytes = prop_oneof![1 => vec(any::<u8>(), 0..200), 2 => known];
    (bytes, vec(change, 0..8)).prop_map(|(mut bytes, changes)| {
        for change in changes {
            if bytes.is_empty() {
                break;
            }
            match change {
                Change::Replace(at, byte) => *at.get_mut(&mut bytes) = byte,
                Change::Remove(at) => _ = bytes.remove(at.index(bytes.len())),
                Change::Cut(at) => bytes.truncate(at.index(bytes.len())),
            }
        }
        bytes
    })
}

proptest! {
    // A failure prints the shortest bytes that cause it: add a test of its own for them.
    #![proptest_config(ProptestConfig { cases: 30_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_cause_no_panic(bytes in reader_input()) {
        drive::drive(&bytes);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn client_bytes_in_pieces_of_any_size_give_the_same_units(cuts in vec(any::<Index>(), 0..12)) {
        let all = units();
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(all.len() + 1)).collect();
        cuts.sort_unstable();
        let ends = cuts.iter().copied().chain([all.len()]);
        let starts = [0].into_iter().chain(cuts.iter().copied());
        let pieces: Vec<&[u8]> = starts.zip(ends).map(|(from, to)| &all[from..to]).collect();
        prop_assert_eq!(format!("{:?}", read(&pieces)), format!("{:?}", read(&[&all])));
    }
}
