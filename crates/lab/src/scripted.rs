//! Sessions scripted byte by byte: sequences that client libraries never produce, or only at other
//! times.

pub mod session;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hallmux_postgres::wire;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::session::{code, outcome_of, outcome_of_error, tags, Session, MESSAGE_TIMEOUT};
use crate::check::{Outcome, Repeat, StatementRecord, Transaction};
use crate::prove::postgres::notes::Notes;

/// Plays scripts, starting with a drawn one, until the run ends.
pub fn play(seed: u64, at: SocketAddr, notes: &Arc<Notes>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut next_script = rng.random_range(0..SCRIPTS.len());
    while !notes.is_stopping() {
        // A script that an engine's fault ends early has already recorded its statements.
        let _ = SCRIPTS[next_script % SCRIPTS.len()](at, &mut rng, notes);
        next_script += 1;
        std::thread::sleep(Duration::from_millis(rng.random_range(0..20)));
    }
}

type Script = fn(SocketAddr, &mut Pcg64Mcg, &Arc<Notes>) -> std::io::Result<()>;

const SCRIPTS: [Script; 9] = [
    binds_twice,
    disconnects,
    cancels,
    pipelines_units,
    reads_slowly,
    flushes_before_sync,
    cancels,
    sends_unsupported_requests,
    sends_invalid_bytes,
];

fn new_record(notes: &Notes, rows: usize) -> StatementRecord {
    StatementRecord {
        rows,
        tolerated_error: Some("42P01"),
        ..notes.new_statement(Repeat::Idempotent)
    }
}

fn record_outcome(notes: &Notes, asked: StatementRecord, outcome: Outcome) {
    notes.record(StatementRecord {
        outcome,
        answered: notes.records.now(),
        ..asked
    });
}

/// Records that the front's answer was not the required one.
fn record_mismatch(notes: &Notes, asked: StatementRecord, what: &str) {
    record_outcome(
        notes,
        StatementRecord {
            id: format!("{} {what}", asked.id),
            ..asked
        },
        Outcome::Spoilt,
    );
}

/// Prepares a statement, binds it twice, closes the first portal in the middle of its rows, and
/// reads the second one completely.
fn binds_twice(at: SocketAddr, _: &mut Pcg64Mcg, notes: &Arc<Notes>) -> std::io::Result<()> {
    let mut s = Session::open(at, "portal", true)?;
    for _ in 0..5 {
        let (first, second) = (new_record(notes, 2), new_record(notes, 3));
        s.parse("s", "select run($1)");
        s.bind("p1", "s", &format!("id={},rows=5", first.id));
        s.bind("p2", "s", &format!("id={},rows=3", second.id));
        s.execute("p1", 2);
        s.write_name_message(b'C', b'P', "p1");
        s.execute("p2", 0);
        s.write_name_message(b'C', b'S', "s");
        s.sync();
        s.send()?;
        let unit = match s.unit() {
            Ok(unit) => unit,
            Err(e) => {
                record_outcome(notes, second, outcome_of_error(&e));
                return Err(e);
            }
        };
        let seen = tags(&unit);
        if seen.contains('E') {
            record_outcome(notes, second, outcome_of(&unit, ""));
        } else if seen == "122DDs3DDDC3Z" {
            let (a, b) = (unit[3..5].to_vec(), unit[7..10].to_vec());
            let own = outcome_of(&a, &first.id) == (Outcome::Completed { rows: 2 });
            let outcome = outcome_of(&b, &second.id);
            record_outcome(notes, second, if own { outcome } else { Outcome::Spoilt });
        } else {
            record_mismatch(notes, second, &seen);
        }
    }
    Ok(())
}

/// Disconnects while a statement runs: no answer is due, and nothing must be left behind for other
/// sessions.
fn disconnects(at: SocketAddr, rng: &mut Pcg64Mcg, notes: &Arc<Notes>) -> std::io::Result<()> {
    let mut s = Session::open(at, "portal", false)?;
    let in_transaction = rng.random_bool(0.5);
    if in_transaction {
        s.query("BEGIN");
        s.send()?;
        if tags(&s.unit()?) != "CZ" {
            return Ok(());
        }
    }
    let id = notes.id();
    s.query(&format!(
        "select run('id={id},rows=2000,bytes=100,ms={}')",
        rng.random_range(0..40)
    ));
    s.send()?;
    std::thread::sleep(Duration::from_millis(rng.random_range(0..30)));
    let statements = if in_transaction { vec![id] } else { Vec::new() };
    if let Ok(mut all) = notes.transactions.lock() {
        all.push(Transaction {
            statements,
            commit: None,
        });
    }
    s.stream.shutdown(Shutdown::Both)
}

/// Cancels statements immediately, in the middle, and just after their end. Once the front has
/// accepted the cancel request, the next statement of the session must not be affected by it.
fn cancels(at: SocketAddr, rng: &mut Pcg64Mcg, notes: &Arc<Notes>) -> std::io::Result<()> {
    let mut s = Session::open(at, "portal", false)?;
    for n in 0..8 {
        let in_transaction = n % 4 == 3;
        if in_transaction {
            s.query("BEGIN");
            s.send()?;
            s.unit()?;
        }
        let asked = StatementRecord {
            cancel_requested: true,
            ..new_record(notes, 1)
        };
        let ms = rng.random_range(0..20);
        s.query(&format!("select run('id={},rows=1,ms={ms}')", asked.id));
        s.send()?;
        std::thread::sleep(Duration::from_micros(rng.random_range(0..25_000)));
        s.cancel(at)?;
        let next = new_record(notes, 1);
        s.query(&format!("select run('id={},rows=1,ms=5')", next.id));
        s.send()?;
        let first = s.unit().map_or_else(
            |e| outcome_of_error(&e),
            |unit| outcome_of(&unit, &asked.id),
        );
        let failed = !matches!(first, Outcome::Completed { .. });
        // A statement that is rolled back must not have a lasting effect.
        let transaction = in_transaction.then_some(usize::MAX);
        record_outcome(
            notes,
            StatementRecord {
                transaction,
                ..asked
            },
            first,
        );
        let second = s
            .unit()
            .map_or_else(|e| outcome_of_error(&e), |unit| outcome_of(&unit, &next.id));
        if !(in_transaction && failed) {
            record_outcome(
                notes,
                StatementRecord {
                    transaction,
                    ..next
                },
                second,
            );
        }
        if in_transaction {
            s.query("ROLLBACK");
            s.send()?;
            s.unit()?;
        }
    }
    Ok(())
}

/// Sends three units at once, of which the second fails; the others must be answered as if it were
/// not there.
fn pipelines_units(at: SocketAddr, _: &mut Pcg64Mcg, notes: &Arc<Notes>) -> std::io::Result<()> {
    let mut s = Session::open(at, "portal", false)?;
    s.parse("s", "select run($1)");
    s.sync();
    s.send()?;
    if tags(&s.unit()?) != "1Z" {
        return Ok(());
    }
    for _ in 0..5 {
        let fails = StatementRecord {
            expected_error: Some("23505"),
            ..new_record(notes, 0)
        };
        let units = [new_record(notes, 2), fails, new_record(notes, 1)];
        for unit in &units {
            let fail = unit
                .expected_error
                .filter(|code| *code == "23505")
                .unwrap_or_default();
            s.bind(
                "",
                "s",
                &format!("id={},rows={},ms=1,fail={fail}", unit.id, unit.rows),
            );
            s.execute("", 0);
            // After the failing step, nothing of its unit may run.
            if !fail.is_empty() {
                s.bind("", "s", &format!("id={}-never,rows=1", unit.id));
                s.execute("", 0);
            }
            s.sync();
        }
        s.send()?;
        for unit in units {
            match s.unit() {
                Ok(messages) => {
                    let outcome = outcome_of(&messages, &unit.id);
                    record_outcome(notes, unit, outcome);
                }
                Err(e) => {
                    record_outcome(notes, unit, outcome_of_error(&e));
                    return Err(e);
                }
            }
        }
    }
    Ok(())
}

/// Reads its rows one by one with pauses: the engine waits for this session, and no other session
/// does.
fn reads_slowly(at: SocketAddr, _: &mut Pcg64Mcg, notes: &Arc<Notes>) -> std::io::Result<()> {
    let mut s = Session::open(at, "portal", false)?;
    let rows = 3000;
    // An engine that is lost within a row ends the connection, as no error can be sent there.
    let asked = StatementRecord {
        may_be_lost: true,
        ..new_record(notes, rows)
    };
    s.query(&format!(
        "select run('id={},rows={rows},bytes=1000')",
        asked.id
    ));
    s.send()?;
    let mut seen = Vec::new();
    loop {
        match s.read() {
            Ok(message) => {
                let last = message.0 == b'Z';
                seen.push(message);
                if last {
                    break;
                }
            }
            Err(e) => {
                record_outcome(notes, asked, outcome_of_error(&e));
                return Err(e);
            }
        }
        if seen.len() < 12 {
            std::thread::sleep(Duration::from_millis(60));
        }
    }
    let outcome = outcome_of(&seen, &asked.id);
    record_outcome(notes, asked, outcome);
    Ok(())
}

/// Requests the answers so far with Flush before it sends Sync.
fn flushes_before_sync(
    at: SocketAddr,
    rng: &mut Pcg64Mcg,
    notes: &Arc<Notes>,
) -> std::io::Result<()> {
    let mut s = Session::open(at, "portal", false)?;
    let asked = new_record(notes, 2);
    s.parse("", "select run($1)");
    s.write_name_message(b'D', b'S', "");
    s.out.extend_from_slice(wire::FLUSH);
    s.send()?;
    let mut seen = Vec::new();
    let mut read = |s: &mut Session, until: &[u8]| loop {
        match s.read() {
            Ok(message) => {
                let tag = message.0;
                seen.push(message);
                if until.contains(&tag) {
                    return Ok(tag);
                }
            }
            Err(e) => return Err(e),
        }
    };
    let described = read(&mut s, b"TE");
    std::thread::sleep(Duration::from_millis(rng.random_range(0..5)));
    s.bind("", "", &format!("id={},rows=2", asked.id));
    s.execute("", 0);
    s.sync();
    s.send()?;
    match described.and_then(|_| read(&mut s, b"Z")) {
        Ok(_) => {
            let outcome = outcome_of(&seen, &asked.id);
            record_outcome(notes, asked, outcome);
        }
        Err(e) => record_outcome(notes, asked, outcome_of_error(&e)),
    }
    Ok(())
}

/// Sends requests that the front does not support: each must be rejected before anything runs, and
/// the session must stay usable.
fn sends_unsupported_requests(
    at: SocketAddr,
    _: &mut Pcg64Mcg,
    notes: &Arc<Notes>,
) -> std::io::Result<()> {
    let mut s = Session::open(at, "portal", false)?;
    let call =
        |s: &mut Session| wire::write(&mut s.out, b'F', |out| out.extend_from_slice(&[0; 10]));
    for (text, wanted) in [
        ("copy t from stdin", "0A000"),
        ("listen x", "0A000"),
        ("create temp table t (a int)", "0A000"),
        ("", "0A000"),
        ("/*hallmux.workload='none'*/ select 1", "22023"),
        ("/*hallmux.work_ms='x'*/ select 1", "22023"),
        ("set hallmux.nothing = 'x'", "22023"),
    ] {
        let asked = new_record(notes, 0);
        match text.is_empty() {
            true => call(&mut s),
            false => s.query(text),
        }
        s.send()?;
        let unit = s.unit()?;
        match tags(&unit).as_str() {
            "EZ" if code(&unit[0]) == wanted => {}
            seen => record_mismatch(notes, asked, &format!("{text}: {seen}")),
        }
    }
    s.bind("", "never", "x");
    s.execute("", 0);
    s.sync();
    s.send()?;
    let unit = s.unit()?;
    // If no engine is available, the answer is a different error.
    if tags(&unit) != "EZ" || !["26000", "53000"].contains(&code(&unit[0]).as_str()) {
        record_mismatch(
            notes,
            new_record(notes, 0),
            &format!("unknown statement: {}", tags(&unit)),
        );
    }
    let mut nobody = Session::open(at, "nobody", false)?;
    nobody.query("select 1");
    nobody.send()?;
    let unit = nobody.unit()?;
    if tags(&unit) != "EZ" || code(&unit[0]) != "22023" {
        record_mismatch(notes, new_record(notes, 0), "no workload");
    }
    let asked = new_record(notes, 1);
    s.query(&format!("select run('id={},rows=1')", asked.id));
    s.send()?;
    match s.unit() {
        Ok(unit) => record_outcome(notes, asked.clone(), outcome_of(&unit, &asked.id)),
        Err(e) => record_outcome(notes, asked, outcome_of_error(&e)),
    }
    Ok(())
}

/// Sends bytes that are not a valid session: the front must close this connection soon, and no
/// other.
fn sends_invalid_bytes(
    at: SocketAddr,
    rng: &mut Pcg64Mcg,
    notes: &Arc<Notes>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT))?;
    let bytes: Vec<u8> = match rng.random_range(0..3) {
        0 => (0..200).map(|_| rng.random()).collect(),
        1 => b"\xff\xff\xff\xff\0\x03\0\0".to_vec(),
        _ => b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
    };
    let _ = stream.write_all(&bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let since = Instant::now();
    let mut chunk = [0; 1024];
    loop {
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 && since.elapsed() < MESSAGE_TIMEOUT => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                record_mismatch(
                    notes,
                    new_record(notes, 0),
                    "a connection with invalid bytes stays open",
                );
                return Ok(());
            }
            _ => break,
        }
    }
    // A session that is open and then sends an impossible message length.
    let mut s = Session::open(at, "portal", false)?;
    s.out.extend_from_slice(b"Q\x7f\xff\xff\xff");
    s.send()?;
    loop {
        match s.read() {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                record_mismatch(
                    notes,
                    new_record(notes, 0),
                    "a connection with an impossible message length stays open",
                );
                return Ok(());
            }
            Err(_) => return Ok(()),
        }
    }
}

/// A session with an open transaction, used when a front is shut down.
pub struct OpenTransaction(Session);

/// Opens transactions that their clients never end.
pub fn open_transactions(at: SocketAddr, notes: &Arc<Notes>, count: usize) -> Vec<OpenTransaction> {
    let open = |_| {
        let mut s = Session::open(at, "portal", false).ok()?;
        let id = notes.id();
        s.query("BEGIN");
        s.query(&format!("select run('id={id},rows=1')"));
        s.send().ok()?;
        let (began, ran) = (s.unit().ok()?, s.unit().ok()?);
        let open = tags(&began) == "CZ" && !tags(&ran).contains('E');
        if !open {
            return None;
        }
        notes.transactions.lock().ok()?.push(Transaction {
            statements: vec![id],
            commit: None,
        });
        Some(OpenTransaction(s))
    };
    (0..count).filter_map(open).collect()
}

impl OpenTransaction {
    /// Returns whether the front announced its shutdown (SQLSTATE 57P01) before the connection
    /// ended.
    pub fn was_notified(mut self) -> bool {
        loop {
            match self.0.read() {
                Ok(message) if message.0 == b'E' => return code(&message) == "57P01",
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    }
}
