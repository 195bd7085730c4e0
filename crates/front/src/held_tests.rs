//! Unit tests of statements that are held for rules, promises or marks while their clients leave, where
//! cancelling is not allowed: none of them is ever sent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::time::Instant;

use ed25519_dalek::SigningKey;
use hallmux_access::Decision;
use serde_json::json;

use super::tests::{listener, Driven};
use super::*;
use crate::clients::tests::frame;
use crate::start_error::StartError;

const MOST_STARTS: usize = 10; // of fronts whose ports were taken by somebody else
const PATIENCE: Duration = Duration::from_secs(20); // for any one wait; a busy machine takes some of it
const LOAD: &str = "insert into sales_17.orders (id) values (500)";
const SELECT: &str = "select id, a, b from sales_17.orders";
const FIRST: &str = "0000000000000001"; // the id of the statement whose client leaves
const SECOND: &str = "0000000000000002";

// One that decides on nothing but counts what it lets through, and what switches it on.
const RULES: &str = "{ version: 1, default: 'allow', rules: [\
    { name: 'here', workload: 'lookup', regions: ['here'] } ] }";
const BY_RULES: &str = "rules: { file: 'RULES', region: 'here', lease_ms: 600 }";
const MARKED: &str =
    "scatter: { workloads: ['report'], sites: { here: 'SITE' }, writes: ['lookup'] }";
const SCATTERED: &str =
    "scatter: { workloads: ['lookup'], sites: { here: 'SITE' }, loads: 'none' }";

/// Two fronts that keep a ledger together, which stands still as long as the other is not driven; and an
/// engine that speaks lines.
struct Fleet {
    driven: Driven,
    other: Driven,
    engine: TcpListener,
    folder: PathBuf,
    /// Statements that the dispatcher kept when the client had left.
    kept: usize,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn secret(front: usize) -> [u8; 32] {
    [front as u8 + 60; 32]
}

fn public(front: usize) -> String {
    hexadecimal(
        SigningKey::from_bytes(&secret(front))
            .verifying_key()
            .as_bytes(),
    )
}

impl Fleet {
    /// `more` is the rest of the operator's file; `RULES` in it is the path of a file of rules, `SITE` a key.
    /// `effect` is that of `lookup`, the workload of all statements.
    fn new(name: &str, effect: &str, more: &str) -> Fleet {
        let folder =
            std::env::temp_dir().join(format!("hallmux-held-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let rules = folder.join("rules.json5");
        std::fs::write(&rules, RULES).unwrap();
        let more = more
            .replace("RULES", &rules.display().to_string())
            .replace("SITE", &public(0));
        let (engine, engine_at) = listener();
        engine.set_nonblocking(true).unwrap();
        let workloads = json!([
            {"name": "lookup", "aimMs": 10000, "deadlineMs": 15000, "repeat": effect},
            {"name": "report", "aimMs": 10000, "deadlineMs": 15000, "repeat": "repeatable"}]);
        let start = |front: usize, at: [SocketAddr; 2]| {
            let key = folder.join(format!("secret-{front}"));
            std::fs::write(&key, hexadecimal(&secret(front))).unwrap();
            let operator = format!(
                "{{ gossip: {{ listen: '{}', secret_file: '{}', seeds: ['{}'], peers: {{ n0: '{}', n1: '{}' }}, \
                 ledger: {{ fleet: 'test', members: {{ n0: {{ at: '{}' }}, n1: {{ at: '{}' }} }}, shards: 1, \
                 patience_ms: 10000 }} }}, {more} }}",
                at[front], key.display(), at[1 - front], public(0), public(1), at[0], at[1]
            );
            let agreed = (json!({"cancelling": false}), workloads.clone());
            Driven::start(
                &format!("held-{name}-{front}"),
                &[engine_at],
                &operator,
                agreed,
            )
        };
        let (driven, other) = again_if_ports_are_taken(|| {
            // Ports that are free: they are let go of just before the fronts take them.
            let sockets = [0, 1].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
            let at = sockets.map(|socket| socket.local_addr().unwrap());
            Ok((start(0, at)?, start(1, at)?))
        });
        Fleet {
            driven,
            other,
            engine,
            folder,
            kept: 0,
        }
    }

    fn asks(&mut self, number: u32, statement: &str) -> TcpStream {
        let mut client = TcpStream::connect(self.driven.listens).unwrap();
        client.write_all(&frame(number, statement)).unwrap();
        client
    }

    /// Drives both fronts, so that their ledger answers, until there is what is waited for.
    fn until<T>(&mut self, what: &str, mut there: impl FnMut(&mut Fleet) -> Option<T>) -> T {
        let begun = Instant::now();
        loop {
            if let Some(found) = there(self) {
                return found;
            }
            assert!(begun.elapsed() < PATIENCE, "{what}");
            self.driven.goes_on();
            self.other.goes_on();
        }
    }

    /// A client asks while the ledger stands still, and leaves once its statement is held. Then the ledger
    /// answers, and another client asks: what the engine hears until that one's statement has come.
    fn hears_after_one_has_left(
        &mut self,
        statement: &str,
        held: impl Fn(&EventLoopState) -> bool,
    ) -> String {
        let client = self.asks(1, statement);
        self.driven
            .until("it is held", |front| held(front).then_some(()));
        assert!(
            self.engine.accept().is_err(),
            "something is on its way to the engine"
        );
        self.leaves(client);
        self.knows_its_rules();
        self.hears_the_second(statement)
    }

    fn leaves(&mut self, client: TcpStream) {
        drop(client);
        self.driven.until("its end is known", |front| {
            (front.clients.len() == 0).then_some(())
        });
        self.kept = self.driven.front.dispatcher.statements_held();
    }

    /// Another client asks: what the engine hears, over all connections, until its statement or the first has
    /// come.
    fn hears_the_second(&mut self, statement: &str) -> String {
        let _client = self.asks(2, statement);
        let (mut streams, mut heard, mut chunk) = (Vec::new(), String::new(), [0; 4096]);
        self.until("a statement at the engine", |fleet| {
            streams.extend(fleet.engine.accept().ok().map(|(stream, _)| stream));
            for stream in &mut streams {
                stream.set_nonblocking(true).unwrap();
                let len = stream.read(&mut chunk).unwrap_or(0);
                heard += &String::from_utf8_lossy(&chunk[..len]);
            }
            (heard.contains(FIRST) || heard.contains(SECOND)).then_some(())
        });
        heard
    }

    /// Nothing was sent for the client that left; nor was anything kept, as its turn of an order key, while
    /// the ledger stood still.
    fn has_let_go(&self, heard: &str) {
        assert!(
            !heard.contains(FIRST),
            "sent though its client had left: {heard}"
        );
        assert_eq!(self.kept, 0, "statements that nobody waits for");
    }

    /// Goes on until a statement waits for its hit of the file's rule, where there are rules.
    fn knows_its_rules(&mut self) {
        self.until("rules in force", |fleet| {
            let front = &mut fleet.driven.front;
            let Some(rules) = front.rules.clone() else {
                return Some(());
            };
            let judged = rules.borrow_mut().check_statement(
                front.clock.now,
                "acme",
                "lookup",
                SELECT.as_bytes(),
            );
            rules
                .borrow_mut()
                .record_admission(&mut front.dispatcher, &judged, None);
            matches!(judged, Decision::Decided { waits: true, .. }).then_some(())
        });
    }
}

/// A client's message that it no longer waits for a statement.
fn forget(number: u32) -> Vec<u8> {
    let mut message = vec![0x80, 1, 0, 4, 0, 0, 0, 6];
    message.extend(b"forget");
    message.extend(number.to_be_bytes());
    message.extend([8, 0, 1]);
    message.extend(number.to_be_bytes());
    message.push(0);
    [(message.len() as u32).to_be_bytes().to_vec(), message].concat()
}

/// Something waits for a mark.
fn waits_for_a_mark(front: &EventLoopState) -> bool {
    let loads = front
        .scatter
        .as_ref()
        .and_then(|scatter| scatter.loads.as_ref());
    loads.is_some_and(|loads| loads.due() < Micros::MAX)
}

/// An execution was ordered and has not ended.
fn is_ordered(front: &EventLoopState) -> bool {
    (0..16).any(|ticket| !front.dispatcher.executions_out(ticket).is_empty())
}

/// Makes what takes ports that were let go of for it; with others where one was taken meanwhile.
fn again_if_ports_are_taken<T>(mut make: impl FnMut() -> Result<T, StartError>) -> T {
    for _ in 1..MOST_STARTS {
        match make() {
            Err(e) if e.to_string().contains("in use") => {}
            other => return other.unwrap(),
        }
    }
    make().unwrap()
}

#[test]
fn a_load_that_waits_for_its_mark_is_not_sent_once_its_client_has_left() {
    let mut fleet = Fleet::new("marks", "repeatable", MARKED);
    let heard = fleet.hears_after_one_has_left(LOAD, waits_for_a_mark);
    fleet.has_let_go(&heard);
}

#[test]
fn a_load_that_waits_for_its_mark_is_not_sent_once_its_client_has_cancelled_it() {
    let mut fleet = Fleet::new("cancelled", "repeatable", MARKED);
    let mut client = fleet.asks(1, LOAD);
    fleet
        .driven
        .until("it is held", |front| waits_for_a_mark(front).then_some(()));
    client.write_all(&forget(1)).unwrap();
    fleet.driven.until("it is let go", |front| {
        (front.dispatcher.statements_held() == 0).then_some(())
    });
    let heard = fleet.hears_the_second(LOAD);
    fleet.has_let_go(&heard);
}

#[test]
fn a_statement_that_waits_for_the_ledger_is_not_sent_once_its_client_has_left() {
    let mut fleet = Fleet::new("ledger", "once", "");
    let heard = fleet.hears_after_one_has_left(SELECT, is_ordered);
    fleet.has_let_go(&heard);
}

#[test]
fn a_statement_that_waits_for_rules_is_not_sent_once_its_client_has_left() {
    let mut fleet = Fleet::new("rules", "repeatable", BY_RULES);
    fleet.knows_its_rules();
    let heard = fleet.hears_after_one_has_left(SELECT, is_ordered);
    fleet.has_let_go(&heard);
}

#[test]
fn parts_that_wait_for_rules_are_not_sent_once_the_client_of_their_whole_has_left() {
    let mut fleet = Fleet::new("parts", "repeatable", &format!("{BY_RULES}, {SCATTERED}"));
    fleet.knows_its_rules();
    let heard = fleet.hears_after_one_has_left(SELECT, is_ordered);
    fleet.has_let_go(&heard);
}

#[test]
fn a_part_that_waits_for_its_connection_is_not_sent_once_the_client_of_its_whole_has_left() {
    let mut fleet = Fleet::new("dialled", "repeatable", SCATTERED);
    let client = fleet.asks(1, SELECT);
    fleet
        .driven
        .until("it is ordered", |front| is_ordered(front).then_some(()));
    fleet.leaves(client);
    let heard = fleet.hears_the_second(SELECT);
    fleet.has_let_go(&heard);
}
