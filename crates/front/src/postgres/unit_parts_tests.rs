//! Tests of units that come in several parts, with a Flush between them: the whole unit is judged,
//! not its first part alone.

use super::*;
use crate::fleet::rules::table_groups;

const PAYOUT_LABEL: &str = "/*hallmux.workload='payout'*/ ";
const KEY_LABEL: &str = "/*hallmux.key='file-7'*/ ";
/// Bytes of a text that does not fit into the buffers of a connection whose engine stops reading.
const UNREAD_BYTES: usize = 900_000;
/// A statement that reads tables of a group that an access rule bars.
const BARRED: &str = "select a from sales_17.orders";
/// The name of the statement by which the front makes a unit fail at its engine.
const MISSING_STATEMENT: &str = "hm:none";

/// A client's messages of the extended query protocol.
#[derive(Default)]
pub(super) struct Messages(Vec<u8>);

impl Messages {
    fn named(mut self, tag: u8, names: &[&str], rest: &[u8]) -> Messages {
        wire::write(&mut self.0, tag, |out| {
            names
                .iter()
                .for_each(|name| wire::write_string(out, name.as_bytes()));
            out.extend_from_slice(rest);
        });
        self
    }

    pub(super) fn prepare(self, name: &str, text: &str) -> Messages {
        let describe = format!("S{name}");
        self.named(b'P', &[name, text], &[0; 2])
            .named(b'D', &[&describe], b"")
    }

    pub(super) fn bind(self, portal: &str, name: &str) -> Messages {
        self.named(b'B', &[portal, name], &[0; 6])
    }

    pub(super) fn execute_portal(self, portal: &str) -> Messages {
        self.named(b'E', &[portal], &[0; 4])
    }

    pub(super) fn execute(self, name: &str) -> Messages {
        self.bind("", name).execute_portal("")
    }

    pub(super) fn flush(mut self) -> Messages {
        self.0.extend_from_slice(wire::FLUSH);
        self
    }

    pub(super) fn sync(mut self) -> Messages {
        self.0.extend_from_slice(wire::SYNC);
        self
    }

    pub(super) fn bytes(self) -> Vec<u8> {
        self.0
    }

    pub(super) fn send(self, session: &mut TcpStream) {
        session.write_all(&self.0).unwrap();
    }
}

impl FrontHarness {
    /// Starts a front with an idempotent workload, the default, and a non-idempotent one.
    pub(super) fn with_payouts(name: &str, engines: &[SocketAddr]) -> FrontHarness {
        let workload = |name: &str, repeat: &str| {
            json!({"name": name, "aimMs": 8000, "deadlineMs": 8000, "repeat": repeat,
                "inTurn": true})
        };
        let workloads = json!([workload("lookup", "repeatable"), workload("payout", "once")]);
        let bounds = json!({"cancelling": true, "mostTries": 3});
        FrontHarness::start(name, engines, &operator_file(""), (bounds, workloads)).unwrap()
    }

    /// Starts a unit whose first part is an idempotent statement, and returns the engine connection
    /// that has received the part.
    fn start_first_part(&mut self, session: &mut TcpStream, engine: &TcpListener) -> TcpStream {
        Messages::default()
            .prepare("a", "select 1")
            .execute("a")
            .flush()
            .send(session);
        let mut link = self.accept_dial(engine);
        accept_login(&mut link);
        self.receive_until(&mut link, "select 1");
        link
    }

    /// Sends the last part of a unit: one statement.
    fn send_last_part(&mut self, session: &mut TcpStream, text: &str) {
        Messages::default()
            .prepare("b", text)
            .execute("b")
            .sync()
            .send(session);
    }

    /// Answers a unit of one executed statement that the front makes fail, as its engine does.
    fn answer_failed_unit(&mut self, link: &mut TcpStream) {
        let mut executed = wire::BIND_COMPLETE.to_vec();
        wire::write_complete(&mut executed, "SELECT 1");
        self.answer_then_fail(link, &executed);
    }

    /// Answers a unit of one prepared statement that the front makes fail, as its engine does.
    pub(super) fn answer_prepared_and_failed(&mut self, link: &mut TcpStream) {
        self.answer_then_fail(link, b"");
    }

    /// Answers that a statement is prepared and described, then `executed`, then that the statement
    /// that the front binds does not exist. Checks that the engine has received nothing of the
    /// unit's last part.
    fn answer_then_fail(&mut self, link: &mut TcpStream, executed: &[u8]) {
        let received = self.receive_until(link, "S\0\0\0\x04");
        assert!(
            received.contains(MISSING_STATEMENT) && !received.contains("insert"),
            "{received:?}"
        );
        let mut out = [
            wire::PARSE_COMPLETE,
            wire::NO_PARAMETERS,
            wire::NO_DATA,
            executed,
        ]
        .concat();
        wire::write(&mut out, b'E', |out| {
            out.extend_from_slice(b"SERROR\0C26000\0Mno such statement\0\0");
        });
        wire::write_ready(&mut out, b'I');
        link.write_all(&out).unwrap();
    }

    /// Receives the answer to a unit that has failed, and checks that its only error is that of a
    /// setting.
    fn assert_invalid_setting(&mut self, session: &mut TcpStream, name: &str) {
        let received = self.receive_until(session, "Z\0\0\0\x05");
        assert!(
            received.contains("C22023") && received.contains(&format!("M{name}: ")),
            "{received:?}"
        );
        assert_eq!(received.matches("SERROR").count(), 1, "{received:?}");
    }
}

/// Guards against a second effect of a payout that is labelled in a text prepared before a Flush and
/// executed after it: it was judged by the user's default workload, and repeated.
#[test]
fn statement_prepared_before_flush_is_judged_by_its_label() {
    let ((one, at_one), (other, at_other)) = (listener(), listener());
    let mut harness = FrontHarness::with_payouts("flushed-label", &[at_one, at_other]);
    let mut session = harness.open_session();
    let text = format!("{PAYOUT_LABEL}insert into entries values (1)");
    Messages::default()
        .prepare("s", &text)
        .flush()
        .send(&mut session);
    let (_, mut link) = harness.accept_dial_from_any(&[&one, &other]);
    accept_login(&mut link);
    harness.receive_until(&mut link, "insert");
    Messages::default().execute("s").sync().send(&mut session);
    harness.receive_until(&mut link, "S\0\0\0\x04");
    // The answers are lost, and the engine dies once the payout has taken effect.
    drop(link);
    harness.assert_error(&mut session, "08007");
    for engine in [&one, &other] {
        assert_eq!(engine.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
    }
}

/// Guards against a repeat of a payout that comes after a Flush in a unit that was admitted as
/// idempotent.
#[test]
fn another_workload_after_flush_fails_the_unit_before_it_runs() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("workload-after-flush", &[at]);
    let mut session = harness.open_session();
    let mut link = harness.start_first_part(&mut session, &engine);
    let payout = format!("{PAYOUT_LABEL}insert into entries values (1)");
    harness.send_last_part(&mut session, &payout);
    harness.answer_failed_unit(&mut link);
    harness.assert_invalid_setting(&mut session, "hallmux.workload");
    // The session and its engine connection stay usable, and the failed statement is not prepared.
    Messages::default().execute("b").sync().send(&mut session);
    harness.receive_until(&mut link, MISSING_STATEMENT);
    assert_eq!(engine.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
}

/// Guards against two statements of one order key at once: the unit was admitted without the key.
#[test]
fn order_key_after_flush_fails_the_unit_before_it_runs() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("key-after-flush", &[at]);
    let mut session = harness.open_session();
    let mut link = harness.start_first_part(&mut session, &engine);
    let keyed = format!("{KEY_LABEL}insert into entries values (1)");
    harness.send_last_part(&mut session, &keyed);
    harness.answer_failed_unit(&mut link);
    harness.assert_invalid_setting(&mut session, "hallmux.key");
}

/// Guards against an answer after the client's time: the unit was admitted with more.
#[test]
fn shorter_time_limit_after_flush_fails_the_unit() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("time-after-flush", &[at]);
    let mut session = harness.open_session();
    let mut link = harness.start_first_part(&mut session, &engine);
    let limited = "/*hallmux.statement_timeout='200'*/ insert into entries values (1)";
    harness.send_last_part(&mut session, limited);
    harness.answer_failed_unit(&mut link);
    harness.assert_invalid_setting(&mut session, "hallmux.statement_timeout");
}

/// A statement of another workload may be prepared behind a Flush, as long as the unit does not
/// execute it.
#[test]
fn another_workload_may_be_prepared_after_flush() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("prepared-after-flush", &[at]);
    let mut session = harness.open_session();
    let mut link = harness.start_first_part(&mut session, &engine);
    let payout = format!("{PAYOUT_LABEL}insert into entries values (1)");
    Messages::default()
        .prepare("b", &payout)
        .flush()
        .send(&mut session);
    harness.receive_until(&mut link, "insert");
}

/// A label after a Flush that says what holds already changes nothing.
#[test]
fn same_labels_after_flush_go_on() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("same-after-flush", &[at]);
    let mut session = harness.open_session();
    let text = "/*hallmux.workload='lookup',hallmux.member='any',hallmux.statement_timeout='9s'*/ select 2";
    let mut link = harness.start_first_part(&mut session, &engine);
    harness.send_last_part(&mut session, text);
    let received = harness.receive_until(&mut link, "S\0\0\0\x04");
    assert!(
        received.contains("select 2") && !received.contains(MISSING_STATEMENT),
        "{received:?}"
    );
}

/// Guards against a repeat of a payout by the label of another statement, which was prepared before a
/// Flush and never executed.
#[test]
fn label_of_statement_that_is_only_prepared_does_not_hold_for_others() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("only-prepared", &[at]);
    let mut session = harness.open_session();
    send_query(&mut session, "SET hallmux.workload = 'payout'");
    harness.receive_until(&mut session, "Z\0\0\0\x05I");
    Messages::default()
        .prepare("a", "/*hallmux.workload='lookup'*/ select 1")
        .flush()
        .send(&mut session);
    let mut link = harness.accept_dial(&engine);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    harness.send_last_part(&mut session, "insert into entries values (1)");
    let received = harness.receive_until(&mut link, "S\0\0\0\x04");
    assert!(
        received.contains(MISSING_STATEMENT) && !received.contains("insert"),
        "{received:?}"
    );
}

/// Guards against a repeat of a payout whose workload is set within its own unit: the setting was
/// taken into account for later units alone, or, in a simple query, for none.
#[test]
fn workload_set_within_a_unit_holds_for_it() {
    let set = "SET hallmux.workload = 'payout'";
    let insert = "insert into entries values (1)";
    let extended = Messages::default()
        .prepare("set", set)
        .execute("set")
        .prepare("s", insert)
        .execute("s")
        .sync();
    let mut simple = Messages::default();
    wire::write_query(&mut simple.0, format!("{set}; {insert}").as_bytes());
    for (name, unit) in [("set-extended", extended), ("set-simple", simple)] {
        let ((one, at_one), (other, at_other)) = (listener(), listener());
        let mut harness = FrontHarness::with_payouts(name, &[at_one, at_other]);
        let mut session = harness.open_session();
        unit.send(&mut session);
        let (_, mut link) = harness.accept_dial_from_any(&[&one, &other]);
        accept_login(&mut link);
        harness.receive_until(&mut link, insert);
        drop(link);
        harness.assert_error(&mut session, "08007");
    }
}

/// Guards against a repeat of a payout that shares its unit with a statement labelled as idempotent:
/// the last label was taken for the whole unit.
#[test]
fn two_workloads_in_one_part_fail_it_before_it_is_sent() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("two-workloads", &[at]);
    let mut session = harness.open_session();
    Messages::default()
        .prepare(
            "a",
            &format!("{PAYOUT_LABEL}insert into entries values (1)"),
        )
        .execute("a")
        .prepare("b", "/*hallmux.workload='lookup'*/ select 1")
        .execute("b")
        .sync()
        .send(&mut session);
    harness.assert_invalid_setting(&mut session, "hallmux.workload");
    engine.set_nonblocking(true).unwrap();
    harness.run_iteration();
    assert_eq!(engine.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
}

/// Guards against a repeat of a procedure that commits by itself: without its Sync its unit was taken
/// for one of which the engine keeps nothing.
#[test]
fn procedure_may_have_run_although_the_end_of_its_unit_has_not_left() {
    let ((one, at_one), (other, at_other)) = (listener(), listener());
    let mut harness = FrontHarness::with_payouts("procedure", &[at_one, at_other]);
    let mut session = harness.open_session();
    let text = format!("{PAYOUT_LABEL}call pay(1)");
    let unit = Messages::default()
        .prepare("s", &text)
        .execute("s")
        .prepare("t", &"x".repeat(UNREAD_BYTES))
        .sync();
    harness.write_all_bytes(&mut session, &unit.0);
    let (_, mut link) = harness.accept_dial_from_any(&[&one, &other]);
    accept_login(&mut link);
    harness.receive_until(&mut link, "call pay(1)");
    // The engine carries the procedure out and dies before it has read the rest.
    drop(link);
    harness.assert_error(&mut session, "08007");
}

/// Whether the access rules deny a statement.
fn denies(front: &mut EventLoopState, text: &str) -> bool {
    let rules = front.rules.clone().unwrap();
    let mut rules = rules.borrow_mut();
    let groups = table_groups([text.as_bytes()]);
    let decision = rules.check_statement(front.clock.now, "acme", "lookup", groups);
    rules.record_admission(&mut front.dispatcher, &decision, None);
    decision.is_denied()
}

/// Starts a front with an access rule that denies the tables of group 17, and waits until the rule is
/// in force. Returns the path of the file of rules as well.
fn front_with_denied_tables(name: &str, engine: SocketAddr) -> (FrontHarness, PathBuf) {
    let file = std::env::temp_dir().join(format!("hallmux-{name}-{}.rules", std::process::id()));
    let rules = "{ version: 1, default: 'allow', rules: [\
        { name: 'bar', tables: 17, then: 'deny', reason: 'barred' } ] }";
    std::fs::write(&file, rules).unwrap();
    let section = format!(
        "{{ rules: {{ file: '{}', region: 'here' }},",
        file.display()
    );
    let operator = operator_file("").replacen('{', &section, 1);
    let settings = (
        json!({"cancelling": true, "mostTries": 3}),
        lookup_workload(8000),
    );
    let mut harness = FrontHarness::start(name, &[engine], &operator, settings).unwrap();
    let started = Instant::now();
    while !denies(&mut harness.front, BARRED) {
        assert!(started.elapsed() < WAIT_LIMIT, "the rule is not in force");
        harness.run_iteration();
    }
    (harness, file)
}

/// Guards against a read of barred tables by a unit that also reads others: the access rules were
/// asked about one of its texts.
#[test]
fn access_rules_are_asked_about_all_texts_of_a_unit() {
    let (engine, at) = listener();
    let (mut harness, file) = front_with_denied_tables("rules-all-texts", at);
    let mut session = harness.open_session();
    Messages::default()
        .prepare("a", BARRED)
        .execute("a")
        .prepare("b", "select a from sales_5.orders")
        .execute("b")
        .sync()
        .send(&mut session);
    harness.assert_error(&mut session, "53000");
    engine.set_nonblocking(true).unwrap();
    assert_eq!(engine.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
    std::fs::remove_file(file).unwrap();
}

/// Guards against a read of barred tables behind a Flush: the access rules were asked about the first
/// part alone.
#[test]
fn tables_behind_flush_that_access_rules_were_not_asked_about_fail_the_unit() {
    let (engine, at) = listener();
    let (mut harness, file) = front_with_denied_tables("rules-after-flush", at);
    let mut session = harness.open_session();
    let statement = "select a from sales_5.orders";
    Messages::default()
        .prepare("a", statement)
        .execute("a")
        .flush()
        .send(&mut session);
    let mut link = harness.accept_dial(&engine);
    accept_login(&mut link);
    harness.receive_until(&mut link, statement);
    harness.send_last_part(&mut session, "insert into sales_17.orders values (1)");
    harness.answer_failed_unit(&mut link);
    harness.receive_until(&mut session, "C0A000");
    std::fs::remove_file(file).unwrap();
}
