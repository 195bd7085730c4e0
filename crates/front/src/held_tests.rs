//! Unit tests of statements that are held for rules, promises or marks while their clients leave, where
//! cancelling is not allowed: none of them is ever sent.

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
use crate::start_error::StartError;

const MAX_START_ATTEMPTS: usize = 10; // of fronts whose ports were taken by somebody else
const WAIT_LIMIT: Duration = Duration::from_secs(20); // for any one wait; a busy machine takes some of it
const LOAD: &str = "insert into sales_17.orders (id) values (500)";
const SELECT: &str = "select id, a, b from sales_17.orders";
const FIRST_ID: &str = "0000000000000001"; // the id of the statement whose client leaves
const SECOND_ID: &str = "0000000000000002";

// One that decides on nothing but counts what it lets through, and what switches it on.
const RULES: &str = "{ version: 1, default: 'allow', rules: [\
    { name: 'here', workload: 'lookup', regions: ['here'] } ] }";
const RULES_CONFIG: &str = "rules: { file: 'RULES', region: 'here', lease_ms: 600 }";
const MARKED_LOADS_CONFIG: &str =
    "scatter: { workloads: ['report'], sites: { here: 'SITE' }, writes: ['lookup'] }";
const SCATTER_CONFIG: &str =
    "scatter: { workloads: ['lookup'], sites: { here: 'SITE' }, loads: 'none' }";

/// Two fronts that keep a ledger together, which stands still as long as the other is not driven; and an
/// engine that speaks lines.
struct Fleet {
    harness: FrontHarness,
    peer: FrontHarness,
    engine: TcpListener,
    folder: PathBuf,
    /// Statements that the dispatcher kept when the client had left.
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
    /// `sections` is the rest of the operator's file; `RULES` in it is the path of a file of rules, `SITE` a key.
    /// `effect` is that of `lookup`, the workload of all statements.
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
            // Ports that are free: they are let go of just before the fronts take them.
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

    fn send_statement(&mut self, number: u32, statement: &str) -> TcpStream {
        let mut client = TcpStream::connect(self.harness.listen_address).unwrap();
        client.write_all(&frame(number, statement)).unwrap();
        client
    }

    /// Drives both fronts, so that their ledger answers, until there is what is waited for.
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

    /// A client asks while the ledger stands still, and leaves once its statement is held. Then the ledger
    /// answers, and another client asks: what the engine hears until that one's statement has come.
    fn received_after_client_left(
        &mut self,
        statement: &str,
        held: impl Fn(&EventLoopState) -> bool,
    ) -> String {
        let client = self.send_statement(1, statement);
        self.harness
            .run_until("it is held", |front| held(front).then_some(()));
        assert!(
            self.engine.accept().is_err(),
            "something is on its way to the engine"
        );
        self.disconnect(client);
        self.wait_for_rules();
        self.received_with_second_statement(statement)
    }

    fn disconnect(&mut self, client: TcpStream) {
        drop(client);
        self.harness.run_until("its end is known", |front| {
            (front.clients.len() == 0).then_some(())
        });
        self.statements_kept = self.harness.front.dispatcher.statements_held();
    }

    /// Another client asks: what the engine hears, over all connections, until its statement or the first has
    /// come.
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

    /// Nothing was sent for the client that left; nor was anything kept, as its turn of an order key, while
    /// the ledger stood still.
    fn assert_not_sent(&self, received: &str) {
        assert!(
            !received.contains(FIRST_ID),
            "sent though its client had left: {received}"
        );
        assert_eq!(self.statements_kept, 0, "statements that nobody waits for");
    }

    /// Goes on until a statement waits for its hit of the file's rule, where there are rules.
    fn wait_for_rules(&mut self) {
        self.run_until("rules in force", |fleet| {
            let front = &mut fleet.harness.front;
            let Some(rules) = front.rules.clone() else {
                return Some(());
            };
            let decision =
                rules
                    .borrow_mut()
                    .judge(front.clock.now, "acme", "lookup", SELECT.as_bytes());
            rules
                .borrow_mut()
                .statement_picked(&mut front.dispatcher, &decision, None);
            matches!(decision, Decision::Decided { waits: true, .. }).then_some(())
        });
    }
}

/// A client's message that it no longer waits for a statement.
fn cancel_message(number: u32) -> Vec<u8> {
    let mut message = vec![0x80, 1, 0, 4, 0, 0, 0, 6];
    message.extend(b"forget");
    message.extend(number.to_be_bytes());
    message.extend([8, 0, 1]);
    message.extend(number.to_be_bytes());
    message.push(0);
    [(message.len() as u32).to_be_bytes().to_vec(), message].concat()
}

/// Something waits for a mark.
fn waits_for_marker(front: &EventLoopState) -> bool {
    let loads = front
        .scatter
        .as_ref()
        .and_then(|scatter| scatter.loads.as_ref());
    loads.is_some_and(|loads| loads.due() < Micros::MAX)
}

/// An execution was ordered and has not ended.
fn has_execution(front: &EventLoopState) -> bool {
    (0..16).any(|ticket| !front.dispatcher.executions_out(ticket).is_empty())
}

/// Makes what takes ports that were let go of for it; with others where one was taken meanwhile.
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
    fleet
        .harness
        .run_until("it is held", |front| waits_for_marker(front).then_some(()));
    client.write_all(&cancel_message(1)).unwrap();
    fleet.harness.run_until("it is let go", |front| {
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
        .run_until("it is ordered", |front| has_execution(front).then_some(()));
    fleet.disconnect(client);
    let received = fleet.received_with_second_statement(SELECT);
    fleet.assert_not_sent(&received);
}
