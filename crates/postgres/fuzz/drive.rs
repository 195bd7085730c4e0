//! Passes the given bytes to the crate's readers, which must not panic, run without end, consume
//! more than there is, or write more than the input justifies. Shared by the fuzz target and a test
//! with random bytes.

use std::rc::Rc;

use hallmux_postgres::engine::{Account, EngineConnection, EngineEvent};
use hallmux_postgres::prepared::{Catalogue, SessionSettings};
use hallmux_postgres::session::{Bounds, Session, SessionEvent, UnitPart};
use hallmux_postgres::sql;
use hallmux_postgres::startup::{Startup, StartupStep};

const BOUNDS: Bounds = Bounds {
    statements: 8,
    portals: 4,
    settings: 4,
    bytes: 4096,
};

/// The number of pieces in which the units arrive that fail.
const PIECES: usize = 16;

/// The first byte selects the reader; the others are its input.
pub fn drive(bytes: &[u8]) {
    let Some((reader, input)) = bytes.split_first() else {
        return;
    };
    match reader % 5 {
        0 => startup(input),
        1 => _ = session(input),
        2 => engine(input),
        3 => failing_units(input),
        _ => _ = sql::scan(input),
    }
}

fn startup(input: &[u8]) {
    let (mut startup, mut out) = (Startup::default(), Vec::new());
    let mut offset = 0;
    // The input is split in two, so that the state kept between reads is exercised as well.
    for end in [input.len() / 2, input.len()] {
        match startup.read(&input[offset..end], |_| None, b"secret", "nonce", &mut out) {
            Ok((used, step)) => {
                assert!(used <= end - offset && out.len() <= 4 * input.len() + 1024);
                offset += used;
                if !matches!(step, StartupStep::Incomplete) {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}

/// Reads all units in the bytes and has the session answer them locally where it can.
pub fn session(input: &[u8]) -> Vec<Rc<UnitPart>> {
    let mut catalogue = Catalogue::default();
    let mut session = Session::new(&Default::default(), &mut catalogue);
    let (mut parts, mut offset, mut out) = (Vec::new(), 0, Vec::new());
    while let Ok((used, read)) = session.read(&input[offset..], &mut catalogue, &BOUNDS) {
        assert!(used <= input.len() - offset);
        offset += used;
        match read {
            SessionEvent::Part(part) => {
                assert!(used > 0 && part.raw.len() <= BOUNDS.bytes);
                session.answer_locally(&part, &mut catalogue, &mut out);
                parts.push(part);
            }
            SessionEvent::Incomplete | SessionEvent::Terminated => break,
        }
    }
    parts
}

/// Reads units that arrive in pieces and fail as soon as their first part was read.
fn failing_units(input: &[u8]) {
    let mut catalogue = Catalogue::default();
    let mut session = Session::new(&Default::default(), &mut catalogue);
    let mut offset = 0;
    for piece in 1..=PIECES {
        let end = input.len() * piece / PIECES;
        loop {
            let rest = &input[offset..end];
            let read = session
                .read(rest, &mut catalogue, &BOUNDS)
                .map(|(used, read)| (used, matches!(read, SessionEvent::Part(_))));
            let Ok((used, is_part)) = read else { return };
            offset += used;
            if !is_part {
                break;
            }
        }
        if session.is_in_unit() {
            let skipped = session.skip_to_sync(&input[offset..end], &BOUNDS);
            let Ok((used, _)) = skipped else { return };
            assert!(used <= end - offset);
            offset += used;
        }
    }
}

/// Sends the units of the first half of the bytes to an engine, whose answers are the second half.
fn engine(input: &[u8]) {
    let half = input.len() / 2;
    let parts = session(&input[..half]);
    let (mut out, mut to_client) = (Vec::new(), Vec::new());
    let mut engine = EngineConnection::new(Account::default(), 2, &mut out);
    let login = b"R\0\0\0\x08\0\0\0\0K\0\0\0\x0c\0\0\0\x01\0\0\0\x02Z\0\0\0\x05I";
    assert!(matches!(
        engine.read(login, &mut out, &mut to_client, 64),
        Ok((_, Some(EngineEvent::Ready)))
    ));
    let settings = Rc::<SessionSettings>::default();
    for part in &parts {
        engine.send(part, &settings, false, &mut out, &mut to_client);
    }
    let (mut offset, answers) = (0, &input[half..]);
    while let Ok((used, event)) =
        engine.read(&answers[offset..], &mut out, &mut to_client, usize::MAX)
    {
        assert!(used <= answers.len() - offset);
        offset += used;
        if event == Some(EngineEvent::SettingsApplied) {
            engine.send_waiting(&mut out, &mut to_client);
        }
        if used == 0 && event.is_none() {
            break;
        }
    }
}
