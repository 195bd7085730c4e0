//! Unit tests of statements that are held for rules, ledger entries or load markers while their clients disconnect, with
//! settings that do not allow cancelling: none of them is ever sent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::time::Instant;

use ed25519_dalek::SigningKey;
use hallmux_access::Decision;
use serde_json::json;

use super::tests::{listener, FrontHarness};
use super::*;
use crate::clients::tests::frame;
use crate::fleet::rules::table_groups;
use crate::start_error::StartError;

const MAX_START_ATTEMPTS: usize = 10; // retries if other processes take the fronts' ports
const WAIT_LIMIT: Duration = Duration::from_secs(20); // for each wait, with a margin for a busy machine
const LOAD: &str = "insert into sales_17.orders (id) values (500)";
const SELECT: &str = "select id, a, b from sales_17.orders";
const FIRST_ID: &str = "0000000000000001"; // the id of the statement whose client disconnects
const SECOND_ID: &str = "0000000000000002";

// A rule that denies nothing but counts the statements it admits, and the section that enables it.
const RULES: &str = "{ version: 1, default: 'allow', rules: [\
    { name: 'here', workload: 'lookup', regions: ['here'] } ] }";
const RULES_CONFIG: &str = "rules: { file: 'RULES', region: 'here', lease_ms: 600 }";
const MARKED_LOADS_CONFIG: &str =
    "scatter: { workloads: ['report'], sites: { here: 'SITE' }, writes: ['lookup'] }";
const SCATTER_CONFIG: &str =
    "scatter: { workloads: ['lookup'], sites: { here: 'SITE' }, loads: 'none' }";

/// Two fronts with a common ledger, which does not answer while `peer` is not driven, and an engine that speaks the line
/// protocol.
struct Fleet {
    harness: FrontHarness,
    peer: FrontHarness,
    engine: TcpListener,
    folder: PathBuf,
    /// Statements that the dispatcher still held after the client disconnected.
    statements_kept: usize,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn secret_key(front: usize) -> [u8; 32] {
    [front as u8 + 60; 32]
}

fn public_key(front: usize) -> String {
    to_hex(
        SigningKey::from_bytes(&secret_key(front))
            .verifying_key()
            .as_bytes(),
    )
}

impl Fleet {
    /// `sections` are further sections of the operator's file, in which `RULES` stands for the path of a rules file and
    /// `SITE` for a key. `effect` is the value of `repeat` of `lookup`, the workload of all statements.
    fn new(name: &str, effect: &str, sections: &str) -> Fleet {
        let folder =
            std::env::temp_dir().join(format!("hallmux-held-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let rules = folder.join("rules.json5");
        std::fs::write(&rules, RULES).unwrap();
        let sections = sections
            .replace("RULES", &rules.display().to_string())
            .replace("SITE", &public_key(0));
        let (engine, engine_at) = listener();
        engine.set_nonblocking(true).unwrap();
        let workloads = json!([
            {"name": "lookup", "aimMs": 10000, "deadlineMs": 15000, "repeat": effect},
            {"name": "report", "aimMs": 10000, "deadlineMs": 15000, "repeat": "repeatable"}]);
        let start = |front: usize, at: [SocketAddr; 2]| {
            let key = folder.join(format!("secret-{front}"));
            std::fs::write(&key, to_hex(&secret_key(front))).unwrap();
            let operator = format!(
                "{{ gossip: {{ listen: '{}', secret_file: '{}', seeds: ['{}'], peers: {{ n0: '{}', n1: '{}' }}, \
                 ledger: {{ fleet: 'test', members: {{ n0: {{ at: '{}' }}, n1: {{ at: '{}' }} }}, shards: 1, \
                 patience_ms: 10000 }} }}, {sections} }}",
                at[front], key.display(), at[1 - front], public_key(0), public_key(1), at[0], at[1]
            );
            let settings = (json!({"cancelling": false}), workloads.clone());
            FrontHarness::start(
                &format!("held-{name}-{front}"),
                &[engine_at],
                &operator,
                settings,
            )
        };
        let (harness, peer) = retry_while_ports_are_in_use(|| {
            // Free ports, which are released just before the fronts bind them.
            let sockets = [0, 1].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
            let at = sockets.map(|socket| socket.local_addr().unwrap());
            Ok((start(0, at)?, start(1, at)?))
        });
        Fleet {
            harness,
            peer,
            engine,
            folder,
            statements_kept: 0,
        }
    }

    /// Connects a client that sends one statement.
    fn send_statement(&mut self, number: u32, statement: &str) -> TcpStream {
        let mut client = TcpStream::connect(self.harness.listen_address).unwrap();
        client.write_all(&frame(number, statement)).unwrap();
        client
    }

    /// Drives both fronts, so that their ledger answers, until a condition holds, and returns its value.
    fn run_until<T>(
        &mut self,
        what: &str,
        mut condition: impl FnMut(&mut Fleet) -> Option<T>,
    ) -> T {
        let started = Instant::now();
        loop {
            if let Some(found) = condition(self) {
                return found;
            }
            assert!(started.elapsed() < WAIT_LIMIT, "{what}");
            self.harness.run_iteration();
            self.peer.run_iteration();
        }
    }

    /// Sends a statement while the ledger does not answer, and disconnects its client once it is held. Then the ledger
    /// answers, and another client sends a statement. Returns the data that the engine receives up to that statement.
    fn received_after_client_left(
        &mut self,
        statement: &str,
        held: impl Fn(&EventLoopState) -> bool,
    ) -> String {
        let client = self.send_statement(1, statement);
        self.harness
            .run_until("the statement is held", |front| held(front).then_some(()));
        assert!(
            self.engine.accept().is_err(),
            "the front has connected to the engine"
        );
        self.disconnect(client);
        self.wait_for_rules();
        self.received_with_second_statement(statement)
    }

    /// Disconnects a client and waits until the front has noticed.
    fn disconnect(&mut self, client: TcpStream) {
        drop(client);
        self.harness.run_until("the client is removed", |front| {
            (front.clients.len() == 0).then_some(())
        });
        self.statements_kept = self.harness.front.dispatcher.statements_held();
    }

    /// Sends a statement of another client. Returns the data that the engine receives over all connections until that
    /// statement or the first one arrives.
    fn received_with_second_statement(&mut self, statement: &str) -> String {
        let _client = self.send_statement(2, statement);
        let (mut streams, mut received, mut chunk) = (Vec::new(), String::new(), [0; 4096]);
        self.run_until("a statement at the engine", |fleet| {
            streams.extend(fleet.engine.accept().ok().map(|(stream, _)| stream));
            for stream in &mut streams {
                stream.set_nonblocking(true).unwrap();
                let len = stream.read(&mut chunk).unwrap_or(0);
                received += &String::from_utf8_lossy(&chunk[..len]);
            }
            (received.contains(FIRST_ID) || received.contains(SECOND_ID)).then_some(())
        });
        received
    }

    /// Asserts that the statement of the disconnected client was not sent, and that the dispatcher did not keep it, such
    /// as in an order key's queue, while the ledger did not answer.
    fn assert_not_sent(&self, received: &str) {
        assert!(
            !received.contains(FIRST_ID),
            "sent though its client had left: {received}"
        );
        assert_eq!(self.statements_kept, 0, "statements without a client");
    }

    /// Drives the fronts until a statement would wait for its hit of the rule. Does nothing without rules.
    fn wait_for_rules(&mut self) {
        self.run_until("rules in force", |fleet| {
            let front = &mut fleet.harness.front;
            let Some(rules) = front.rules.clone() else {
                return Some(());
            };
            let decision = rules.borrow_mut().check_statement(
                front.clock.now,
                "acme",
                "lookup",
                table_groups([SELECT.as_bytes()]),
            );
            rules
                .borrow_mut()
                .record_admission(&mut front.dispatcher, &decision, None);
            matches!(
                decision,
                Decision::Decided {
                    awaits_count: true,
                    ..
                }
            )
            .then_some(())
        });
    }
}

/// A client's message that cancels a statement.
pub(super) fn cancel_message(number: u32) -> Vec<u8> {
    let mut message = vec![0x80, 1, 0, 4, 0, 0, 0, 6];
    message.extend(b"forget");
    message.extend(number.to_be_bytes());
    message.extend([8, 0, 1]);
    message.extend(number.to_be_bytes());
    message.push(0);
    [(message.len() as u32).to_be_bytes().to_vec(), message].concat()
}

/// Whether a load waits for its marker.
fn waits_for_marker(front: &EventLoopState) -> bool {
    let loads = front
        .scatter
        .as_ref()
        .and_then(|scatter| scatter.loads.as_ref());
    loads.is_some_and(|loads| loads.due() < Micros::MAX)
}

/// Whether the dispatcher has ordered an execution that has not ended.
fn has_execution(front: &EventLoopState) -> bool {
    (0..16).any(|ticket| !front.dispatcher.executions_in_flight(ticket).is_empty())
}

/// Repeats a start with other ports if a port was taken by another process meanwhile.
fn retry_while_ports_are_in_use<T>(mut make: impl FnMut() -> Result<T, StartError>) -> T {
    for _ in 1..MAX_START_ATTEMPTS {
        match make() {
            Err(e) if e.to_string().contains("in use") => {}
            result => return result.unwrap(),
        }
    }
    make().unwrap()
}

#[test]
fn load_waiting_for_marker_is_not_sent_after_client_disconnects() {
    let mut fleet = Fleet::new("marks", "repeatable", MARKED_LOADS_CONFIG);
    let received = fleet.received_after_client_left(LOAD, waits_for_marker);
    fleet.assert_not_sent(&received);
}

#[test]
fn load_waiting_for_marker_is_not_sent_after_client_cancels() {
    let mut fleet = Fleet::new("cancelled", "repeatable", MARKED_LOADS_CONFIG);
    let mut client = fleet.send_statement(1, LOAD);
    fleet.harness.run_until("the statement is held", |front| {
        waits_for_marker(front).then_some(())
    });
    client.write_all(&cancel_message(1)).unwrap();
    fleet
        .harness
        .run_until("the statement is dropped", |front| {
            (front.dispatcher.statements_held() == 0).then_some(())
        });
    let received = fleet.received_with_second_statement(LOAD);
    fleet.assert_not_sent(&received);
}

#[test]
fn statement_waiting_for_ledger_is_not_sent_after_client_disconnects() {
    let mut fleet = Fleet::new("ledger", "once", "");
    let received = fleet.received_after_client_left(SELECT, has_execution);
    fleet.assert_not_sent(&received);
}

#[test]
fn statement_waiting_for_rules_is_not_sent_after_client_disconnects() {
    let mut fleet = Fleet::new("rules", "repeatable", RULES_CONFIG);
    fleet.wait_for_rules();
    let received = fleet.received_after_client_left(SELECT, has_execution);
    fleet.assert_not_sent(&received);
}

#[test]
fn parts_waiting_for_rules_are_not_sent_after_parent_client_disconnects() {
    let mut fleet = Fleet::new(
        "parts",
        "repeatable",
        &format!("{RULES_CONFIG}, {SCATTER_CONFIG}"),
    );
    fleet.wait_for_rules();
    let received = fleet.received_after_client_left(SELECT, has_execution);
    fleet.assert_not_sent(&received);
}

#[test]
fn part_waiting_for_connection_is_not_sent_after_parent_client_disconnects() {
    let mut fleet = Fleet::new("dialled", "repeatable", SCATTER_CONFIG);
    let client = fleet.send_statement(1, SELECT);
    fleet
        .harness
        .run_until("the execution is ordered", |front| {
            has_execution(front).then_some(())
        });
    fleet.disconnect(client);
    let received = fleet.received_with_second_statement(SELECT);
    fleet.assert_not_sent(&received);
}
