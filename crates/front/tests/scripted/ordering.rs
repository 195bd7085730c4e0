//! Lines that choose the order of events where something ends: what has come by then, whole or in part, and what
//! lies there unread.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use socket2::{Domain, SockAddr, Socket, Type};

use crate::engine::NARROW;
use crate::{Scenario, PATIENCE};

const LEAST_FLOOD: usize = 1_000; // statements that a socket must hold, or they are no flood
const TOLERANCE: i64 = 150; // milliseconds by which a deadline may come late to an engine

impl Scenario {
    /// True if the line is one of these.
    pub fn ordered_line(&mut self, words: &[&str]) -> bool {
        let rest = |n: usize| words[n..].join(" ");
        match words[..] {
            ["passes", ms, "in", "at", "most", most, "turns"] => {
                let turns = self.passes(ms.parse().unwrap());
                assert!(turns <= most.parse().unwrap(), "{turns} turns");
            }
            ["settles"] => self.settles(),
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
                    .push(("listen".to_string(), self.listens.as_str().into()));
                self.start();
            }
            [client, "connects", "narrowly"] => {
                let stream = narrow(&self.listens);
                self.connected(client, stream);
            }
            [client, "connects", count, "times"] => {
                for n in 1..=count.parse().unwrap() {
                    let stream = TcpStream::connect(&self.listens).unwrap();
                    self.connected(&format!("{client}{n}"), stream);
                }
            }
            [client, "begins", number, ..] => self.begins(client, number, &rest(3)),
            [client, "finishes"] => {
                let bytes = self.unsent.remove(client).unwrap();
                self.trickles(client, &bytes);
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
                self.floods_and_leaves(client, count.parse().unwrap())
            }
            [client, "is", "closed", "well"] => self.is_closed_well(client),
            [client, "is", "served", number, "by", engine] => {
                self.is_served(client, number, engine, false)
            }
            [client, "is", "served", number, "by", engine, "or", "ends"] => {
                self.is_served(client, number, engine, true);
            }
            [client, "is", "answered", which, "completed", text] => {
                self.is_answered(client, which, text)
            }
            [client, "is", "well", "past", number] => self.is_well_past(client, number),
            [engine, "answers", which, text] => self.answers_all(engine, which, text),
            [engine, "repeats", number, word, fields, ..] => {
                let before = self.engines[engine].asked_before[number].clone();
                self.says_on(&before, number, word, fields, &rest(5));
            }
            [engine, "accepts", "nothing"] => self.accepts_nothing(engine),
            [engine, "accepts", "again"] => self.accepts_again(engine),
            [engine, "is", "being", "dialled"] => self.is_dialled(engine, true),
            [engine, "is", "dialled", "no", "more"] => self.is_dialled(engine, false),
            [engine, "is", "reached", "as", "before"] => {
                let engine = &self.engines[engine];
                let latest = engine.latest.as_ref().unwrap().peer_addr().unwrap();
                assert_eq!(engine.before, Some(latest));
            }
            [engine, "stops", "listening"] => {
                *self.engines[engine].listens.0.lock().unwrap() = false
            }
            [engine, "resets"] => self.resets(engine),
            _ => return false,
        }
        true
    }

    pub fn passes(&mut self, ms: i64) -> usize {
        self.clock.as_mut().unwrap().passes(ms, &mut self.front)
    }

    pub fn settles(&mut self) {
        self.clock.as_mut().unwrap().settles(&mut self.front);
    }

    fn connected(&mut self, client: &str, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        self.clients.insert(client.to_string(), stream);
    }

    /// Notes when a statement is asked for, and how long its client waits.
    pub fn takes_note(&mut self, number: &str, fields: &[&str], statement: String) {
        let limit = fields
            .iter()
            .find_map(|field| field.strip_prefix("limit=")?.parse().ok());
        let now = self.clock.as_ref().map_or(0, |clock| clock.now());
        self.limits
            .insert(number.to_string(), now / 1000 + limit.unwrap_or(15_000));
        self.statements.insert(number.to_string(), statement);
    }

    /// Whether a command's fields hold a word: one of them, `NAME<FIGURE`, or `in-time` where the engine is to wait
    /// no longer than the client does.
    pub fn holds(&self, fields: &str, number: &str, word: &str) -> bool {
        let figure = |name: &str| {
            let named = fields
                .split(',')
                .find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
            named.and_then(|text| text.parse::<i64>().ok()).unwrap()
        };
        if word == "in-time" {
            let now = self.clock.as_ref().unwrap().now() / 1000;
            return figure("wait") <= self.limits[number] - now + TOLERANCE;
        }
        match word.split_once('<') {
            Some((name, most)) => figure(name) < most.parse().unwrap(),
            None => fields.split(',').any(|field| field == word),
        }
    }

    /// Half of a statement, byte by byte; the rest is for later.
    fn begins(&mut self, client: &str, number: &str, statement: &str) {
        let frame = self.frame(number, &[], statement);
        self.takes_note(number, &[], statement.to_string());
        let (half, rest) = frame.split_at(frame.len() / 2);
        self.trickles(client, half);
        self.unsent.insert(client.to_string(), rest.to_vec());
    }

    /// Each byte is read by the front before the next one is written.
    fn trickles(&mut self, client: &str, bytes: &[u8]) {
        for byte in bytes {
            self.clients
                .get_mut(client)
                .unwrap()
                .write_all(&[*byte])
                .unwrap();
            self.settles();
        }
    }

    /// As many of so many statements as the socket takes, and the end behind them.
    fn floods_and_leaves(&mut self, client: &str, count: usize) {
        let stream = self.clients.remove(client).unwrap();
        stream.set_nonblocking(true).unwrap();
        let frame =
            |n: usize| self.frame(&(10_000 + n).to_string(), &["verb=pay"], "select 'flood'");
        let written = (0..count)
            .map(frame)
            .take_while(|frame| (&stream).write_all(frame).is_ok())
            .count();
        assert!(written >= LEAST_FLOOD, "{written}");
    }
}

/// A connection of a client whose machine holds no more than some kilobytes that it has not read.
fn narrow(to: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(NARROW).unwrap();
    let at: std::net::SocketAddr = to.parse().unwrap();
    socket
        .connect_timeout(&SockAddr::from(at), Duration::from_secs(5))
        .unwrap();
    socket.into()
}
