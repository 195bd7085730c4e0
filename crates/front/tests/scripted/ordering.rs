//! Scenario lines that control the order of events around an end or a shutdown: what was received completely
//! or in part by then, and what still lies unread.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use socket2::{Domain, SockAddr, Socket, Type};

use crate::engine::NARROW_BUFFER_BYTES;
use crate::{Scenario, WAIT_TIMEOUT};

const MIN_FLOOD_STATEMENTS: usize = 1_000; // fewer that fit in the socket are not a flood
const DEADLINE_TOLERANCE_MS: i64 = 150; // milliseconds by which an engine's deadline may be late

impl Scenario {
    /// Runs a line of this group; false if the line is none of them.
    pub fn run_ordering_line(&mut self, words: &[&str]) -> bool {
        let rest = |n: usize| words[n..].join(" ");
        match words[..] {
            ["passes", ms, "in", "at", "most", max, "turns"] => {
                let iterations = self.advance(ms.parse().unwrap());
                assert!(
                    iterations <= max.parse().unwrap(),
                    "{iterations} iterations"
                );
            }
            ["settles"] => self.settle(),
            ["gets", "busy"] => self.fill_with_work(),
            ["halts", "at", "work"] => self.halt_at_work(""),
            ["halts", "at", "work", "by", ..] => self.halt_at_work(&rest(4)),
            ["kills"] => {
                let mut front = self.front.take().unwrap();
                front.kill().unwrap();
                front.wait().unwrap();
            }
            ["starts", "anew"] => {
                self.configuration_overrides
                    .push(("listen".to_string(), self.front_address.as_str().into()));
                self.start();
            }
            [client, "connects", "narrowly"] => {
                let stream = connect_narrowly(&self.front_address);
                self.add_client(client, stream);
            }
            [client, "connects", count, "times"] => {
                for n in 1..=count.parse().unwrap() {
                    let stream = TcpStream::connect(&self.front_address).unwrap();
                    self.add_client(&format!("{client}{n}"), stream);
                }
            }
            [client, "begins", number, ..] => self.begin_statement(client, number, &rest(3)),
            [client, "finishes"] => {
                let bytes = self.unsent.remove(client).unwrap();
                self.write_bytewise(client, &bytes);
            }
            [client, "finishes", "at", "once"] => {
                let bytes = self.unsent.remove(client).unwrap();
                self.clients
                    .get_mut(client)
                    .unwrap()
                    .write_all(&bytes)
                    .unwrap();
            }
            [client, "floods", count, "and", "leaves"] => {
                self.flood_and_disconnect(client, count.parse().unwrap())
            }
            [client, "is", "closed", "well"] => self.expect_clean_close(client),
            [client, "is", "served", number, "by", engine] => {
                self.expect_served(client, number, engine, false)
            }
            [client, "is", "served", number, "by", engine, "or", "ends"] => {
                self.expect_served(client, number, engine, true);
            }
            [client, "is", "answered", which, "completed", text] => {
                self.expect_answers(client, which, text)
            }
            [client, "is", "well", "past", number] => self.expect_health_after(client, number),
            [engine, "answers", which, text] => self.answer_all(engine, which, text),
            [engine, "repeats", number, word, fields, ..] => {
                let earlier = self.engines[engine].earlier_connections[number].clone();
                self.send_reply_on(&earlier, number, word, fields, &rest(5));
            }
            [engine, "accepts", "nothing"] => self.stop_accepting(engine),
            [engine, "accepts", "again"] => self.resume_accepting(engine),
            [engine, "is", "being", "dialled"] => self.wait_for_dial_state(engine, true),
            [engine, "is", "dialled", "no", "more"] => self.wait_for_dial_state(engine, false),
            [engine, "is", "reached", "as", "before"] => {
                let engine = &self.engines[engine];
                let latest = engine
                    .latest_connection
                    .as_ref()
                    .unwrap()
                    .peer_addr()
                    .unwrap();
                assert_eq!(engine.previous_address, Some(latest));
            }
            [engine, "stops", "listening"] => {
                *self.engines[engine].read_gate.0.lock().unwrap() = false
            }
            [engine, "resets"] => self.reset_connection(engine),
            _ => return false,
        }
        true
    }

    pub fn advance(&mut self, ms: i64) -> usize {
        self.clock.as_mut().unwrap().advance(ms, &mut self.front)
    }

    pub fn settle(&mut self) {
        self.clock.as_mut().unwrap().settle(&mut self.front);
    }

    fn add_client(&mut self, client: &str, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        self.clients.insert(client.to_string(), stream);
    }

    /// Records when a statement was sent, and how long its client waits.
    pub fn record_statement(&mut self, number: &str, fields: &[&str], statement: String) {
        let limit = fields
            .iter()
            .find_map(|field| field.strip_prefix("limit=")?.parse().ok());
        let now = self.clock.as_ref().map_or(0, |clock| clock.now());
        self.deadlines_ms
            .insert(number.to_string(), now / 1000 + limit.unwrap_or(15_000));
        self.statements.insert(number.to_string(), statement);
    }

    /// Whether a command's fields match a word: a field, `NAME<FIGURE`, or `in-time` if the engine's deadline
    /// is no later than the client's.
    pub fn field_matches(&self, fields: &str, number: &str, word: &str) -> bool {
        let figure = |name: &str| {
            let named = fields
                .split(',')
                .find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
            named.and_then(|text| text.parse::<i64>().ok()).unwrap()
        };
        if word == "in-time" {
            let now = self.clock.as_ref().unwrap().now() / 1000;
            return figure("wait") <= self.deadlines_ms[number] - now + DEADLINE_TOLERANCE_MS;
        }
        match word.split_once('<') {
            Some((name, max)) => figure(name) < max.parse().unwrap(),
            None => fields.split(',').any(|field| field == word),
        }
    }

    /// Writes half of a statement byte by byte, and keeps the remaining bytes for later.
    fn begin_statement(&mut self, client: &str, number: &str, statement: &str) {
        let frame = self.frame(number, &[], statement);
        self.record_statement(number, &[], statement.to_string());
        let (half, remaining) = frame.split_at(frame.len() / 2);
        self.write_bytewise(client, half);
        self.unsent.insert(client.to_string(), remaining.to_vec());
    }

    /// Writes byte by byte; the front reads each byte before the next one is written.
    fn write_bytewise(&mut self, client: &str, bytes: &[u8]) {
        for byte in bytes {
            self.clients
                .get_mut(client)
                .unwrap()
                .write_all(&[*byte])
                .unwrap();
            self.settle();
        }
    }

    /// Writes up to `count` statements, as many as the socket accepts, and closes the connection.
    fn flood_and_disconnect(&mut self, client: &str, count: usize) {
        let stream = self.clients.remove(client).unwrap();
        stream.set_nonblocking(true).unwrap();
        let frame =
            |n: usize| self.frame(&(10_000 + n).to_string(), &["verb=pay"], "select 'flood'");
        let written = (0..count)
            .map(frame)
            .take_while(|frame| (&stream).write_all(frame).is_ok())
            .count();
        assert!(written >= MIN_FLOOD_STATEMENTS, "{written}");
    }
}

/// Connects with a receive buffer of a few kilobytes.
fn connect_narrowly(address: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(NARROW_BUFFER_BYTES).unwrap();
    let address: std::net::SocketAddr = address.parse().unwrap();
    socket
        .connect_timeout(&SockAddr::from(address), Duration::from_secs(5))
        .unwrap();
    socket.into()
}
