//! What a session's settings and labels are after units that change them, as one PostgreSQL server
//! would have them: what was rolled back, also to a savepoint, is taken back, and nothing else.

use std::rc::Rc;

use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::engine::UnitOutcome;
use hallmux_postgres::prepared::Catalogue;
use hallmux_postgres::session::{Bounds, Session, SessionEvent, UnitPart};
use hallmux_postgres::wire;

const BOUNDS: Bounds = Bounds {
    statements: 8,
    portals: 4,
    settings: 8,
    bytes: 4096,
};

/// A session, and the answers of an engine that the tests make up.
struct Harness {
    catalogue: Catalogue,
    session: Session,
}

/// How a unit ends at its engine.
#[derive(Clone, Copy)]
enum End {
    Completed,
    /// The engine completes so many statements, and fails the next.
    FailedAfter(usize),
    /// This statement, a COMMIT of a failed transaction, is answered with ROLLBACK.
    RolledBackAt(usize),
}

impl Harness {
    fn new() -> Harness {
        let mut catalogue = Catalogue::default();
        let session = Session::new(&Default::default(), &mut catalogue);
        Harness { catalogue, session }
    }

    fn read(&mut self, input: &[u8]) -> Rc<UnitPart> {
        match self.session.read(input, &mut self.catalogue, &BOUNDS) {
            Ok((used, SessionEvent::Part(part))) if used == input.len() => part,
            _ => panic!("no unit"),
        }
    }

    /// Plays a unit of one simple query. `status` is the transaction status after it.
    fn query(&mut self, text: &str, end: End, status: u8) {
        let mut input = Vec::new();
        wire::write_query(&mut input, text.as_bytes());
        let part = self.read(&input);
        let out = &mut Vec::new();
        if !self.session.answer_locally(&part, &mut self.catalogue, out) {
            self.apply(&[part], end, status);
        }
    }

    /// Plays a unit of the extended protocol, given as its messages.
    fn extended(&mut self, messages: &[Vec<u8>], end: End, status: u8) {
        let input = [&messages.concat(), wire::SYNC].concat();
        let part = self.read(&input);
        self.apply(&[part], end, status);
    }

    fn apply(&mut self, parts: &[Rc<UnitPart>], end: End, status: u8) {
        let statements = parts.iter().map(|part| part.statements).sum();
        let outcome = match end {
            End::Completed => UnitOutcome {
                completed: statements,
                ..UnitOutcome::default()
            },
            End::FailedAfter(completed) => UnitOutcome {
                completed,
                error: Some("58030".into()),
                ..UnitOutcome::default()
            },
            End::RolledBackAt(statement) => UnitOutcome {
                completed: statements,
                rolled_back: vec![statement],
                ..UnitOutcome::default()
            },
        };
        let outcome = UnitOutcome { status, ..outcome };
        self.session
            .apply_outcome(parts, &outcome, &mut self.catalogue, &BOUNDS);
    }

    fn assert_settings(&self, expected: &str) {
        let settings = self.session.settings.restoring_sql();
        assert_eq!(settings.replacen("RESET ALL", "", 1), expected);
    }

    fn workload(&self) -> Option<String> {
        self.session.label(&UnitPart::default()).workload
    }
}

fn parse(name: &str, text: &str) -> Vec<u8> {
    let body = [name.as_bytes(), b"\0", text.as_bytes(), b"\0\0\0"].concat();
    message(b'P', &body)
}

fn bind(portal: &str, statement: &str) -> Vec<u8> {
    let names = [portal.as_bytes(), b"\0", statement.as_bytes(), b"\0"].concat();
    message(b'B', &[&names[..], &[0; 6]].concat())
}

fn execute(portal: &str) -> Vec<u8> {
    message(b'E', &[portal.as_bytes(), &[0; 5]].concat())
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    wire::write(&mut out, tag, |out| out.extend_from_slice(body));
    out
}

/// Guards against rows of another tenant: a search path that ROLLBACK TO SAVEPOINT had taken back
/// went with the session to its next connection.
#[test]
fn setting_is_taken_back_with_its_savepoint() {
    let mut harness = Harness::new();
    harness.query("SET search_path = own", End::Completed, b'I');
    harness.query("BEGIN", End::Completed, b'T');
    harness.query("SAVEPOINT look", End::Completed, b'T');
    harness.query("SET search_path = other", End::Completed, b'T');
    harness.query("SELECT 1", End::FailedAfter(0), b'E');
    harness.query("ROLLBACK TO SAVEPOINT Look", End::Completed, b'T');
    harness.query("COMMIT", End::Completed, b'I');
    harness.assert_settings("; SET search_path = own");
}

/// Guards against a setting of another statement of the same simple query, in each order of the
/// commands that begin, end and nest transactions.
#[test]
fn settings_follow_the_commands_within_one_query() {
    use End::{Completed, FailedAfter, RolledBackAt};
    for (text, end, expected) in [
        ("SET a = 1", Completed, "; SET a = 1"),
        ("SET a = 1; bad", FailedAfter(1), ""),
        ("SET a = 1; COMMIT; SET b = 2; bad", FailedAfter(3), "; SET a = 1"),
        ("BEGIN; SET a = 1; COMMIT; SET b = 2", Completed, "; SET a = 1; SET b = 2"),
        ("BEGIN; SET a = 1; ROLLBACK; SET b = 2", Completed, "; SET b = 2"),
        ("BEGIN; SET a = 1; COMMIT", RolledBackAt(3), ""),
        (
            "BEGIN; SET a = 1; SAVEPOINT s; SET a = 2; SET b = 2; ROLLBACK TO s; COMMIT",
            Completed,
            "; SET a = 1",
        ),
        (
            "BEGIN; SAVEPOINT s; SET a = 1; SAVEPOINT s; SET a = 2; ROLLBACK TO s; RELEASE s; ROLLBACK TO s; END",
            Completed,
            "",
        ),
        (
            "BEGIN; SAVEPOINT s; SET a = 1; RELEASE s; COMMIT",
            Completed,
            "; SET a = 1",
        ),
        (
            "BEGIN; SAVEPOINT s; SET a = 1; SAVEPOINT t; SET b = 1; ROLLBACK TO s; SET c = 1; COMMIT",
            Completed,
            "; SET c = 1",
        ),
        ("BEGIN; SET LOCAL a = 1; COMMIT", Completed, ""),
        ("BEGIN; SET a = 1; RESET ALL; COMMIT", Completed, ""),
    ] {
        let mut harness = Harness::new();
        harness.query(text, end, b'I');
        harness.assert_settings(expected);
    }
}

/// Guards against a setting that is lost with a later error in its transaction, though a savepoint
/// behind it was kept.
#[test]
fn setting_before_the_savepoint_stays_when_its_query_fails() {
    let mut harness = Harness::new();
    let text = "BEGIN; SET search_path = own; SAVEPOINT s; SET search_path = other; bad";
    harness.query(text, End::FailedAfter(4), b'E');
    harness.query("ROLLBACK TO s", End::Completed, b'T');
    harness.query("COMMIT", End::Completed, b'I');
    harness.assert_settings("; SET search_path = own");
}

/// Guards against settings of a transaction whose last unit rolled back to a savepoint and
/// committed: both are answered with ROLLBACK and COMMIT in one query.
#[test]
fn commit_behind_a_rollback_to_a_savepoint_keeps_the_settings_before_it() {
    let mut harness = Harness::new();
    harness.query("BEGIN; SET a = 1; SAVEPOINT s", End::Completed, b'T');
    let text = "SET a = 2; ROLLBACK TO s; COMMIT";
    harness.query(text, End::RolledBackAt(2), b'I');
    harness.assert_settings("; SET a = 1");
}

/// Guards against a setting that is counted where its portal is bound: it changes where the portal
/// is executed, also in a later unit of the transaction, or not at all.
#[test]
fn setting_of_a_portal_counts_when_it_is_executed() {
    let mut harness = Harness::new();
    harness.query("BEGIN", End::Completed, b'T');
    let bound = [
        parse("s", "SET a = 1"),
        bind("p", "s"),
        parse("t", "SET b = 1"),
        bind("", "t"),
    ];
    harness.extended(&bound, End::Completed, b'T');
    harness.query("SAVEPOINT s", End::Completed, b'T');
    harness.extended(&[execute("p")], End::Completed, b'T');
    let again = [bind("", "s"), execute("")];
    harness.extended(&again, End::FailedAfter(0), b'E');
    harness.query("ROLLBACK TO s", End::Completed, b'T');
    harness.query("COMMIT", End::Completed, b'I');
    harness.assert_settings("");

    let mut harness = Harness::new();
    harness.query("BEGIN", End::Completed, b'T');
    harness.extended(&bound, End::Completed, b'T');
    harness.extended(&[execute("p")], End::Completed, b'T');
    harness.query("COMMIT", End::Completed, b'I');
    harness.assert_settings("; SET a = 1");
}

/// Guards against a label that outlives its transaction: the next unit would be repeated, ordered or
/// counted by a label that was taken back.
#[test]
fn label_is_taken_back_with_its_transaction_or_savepoint() {
    let mut harness = Harness::new();
    let workload = |name: &str| format!("SET hallmux.workload = '{name}'");
    harness.query(&workload("payout"), End::Completed, b'I');
    harness.query("BEGIN", End::Completed, b'T');
    harness.query("SAVEPOINT s", End::Completed, b'T');
    harness.query(&workload("lookup"), End::Completed, b'T');
    assert_eq!(harness.workload().as_deref(), Some("lookup"));
    harness.query("ROLLBACK TO s", End::Completed, b'T');
    assert_eq!(harness.workload().as_deref(), Some("payout"));
    harness.query(&workload("report"), End::Completed, b'T');
    harness.query("ROLLBACK", End::Completed, b'I');
    assert_eq!(harness.workload().as_deref(), Some("payout"));
    harness.query("BEGIN", End::Completed, b'T');
    harness.query(&workload("report"), End::Completed, b'T');
    harness.query("COMMIT", End::Completed, b'I');
    assert_eq!(harness.workload().as_deref(), Some("report"));
}

/// Guards against settings of a transaction that was lost with its engine.
#[test]
fn settings_of_a_lost_transaction_are_dropped() {
    let mut harness = Harness::new();
    harness.query("SET a = 1", End::Completed, b'I');
    harness.query("BEGIN; SET a = 2", End::Completed, b'T');
    let mut out = Vec::new();
    let why = ClientError::ResultLost;
    harness.session.fail_unit(&[], &why, &mut out);
    harness.query("ROLLBACK", End::Completed, b'I');
    harness.query("SELECT 1", End::Completed, b'I');
    harness.assert_settings("; SET a = 1");
}
