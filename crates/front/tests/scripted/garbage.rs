//! Garbage from clients, and from engines in place of answers. It is generated from numbers, so that each run
//! sends the same.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::Duration;

use socket2::SockRef;

use crate::{id, Scenario, WAIT_TIMEOUT};

const FILLER_NAME: &str = "garbage";
const GARBAGE_KINDS: usize = 8; // kinds of garbage, for clients as for engines
const MAX_POLLS: usize = 200; // polls for a statement at an engine, with time advancing in between
const POLL_STEP_MS: i64 = 50; // milliseconds between those polls
const PARTIAL_ANSWER_MS: i64 = 700; // milliseconds in which a partial answer times out

/// Pseudo-random bytes generated from a seed.
fn random_bytes(seed: usize, count: usize) -> Vec<u8> {
    let mut state = seed as u64 ^ 0x9e37_79b9_7f4a_7c15;
    let mut next = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as u8
    };
    (0..count).map(|_| next()).collect()
}

impl Scenario {
    /// Bytes that no correct client sends. None of them is a statement that could be executed.
    fn client_garbage(&self, n: usize) -> Vec<u8> {
        let random = random_bytes(n, 300);
        let complete = self.frame(
            &(20_000 + n).to_string(),
            &["verb=unheard"],
            "select 'garbage'",
        );
        match n % GARBAGE_KINDS {
            0 => random,
            1 => {
                [[0x7f, 0xff, 0xff, 0xff], [0xff; 4], [0, 2, 0, 1]][n / GARBAGE_KINDS % 3].to_vec()
            }
            2 => {
                let mut changed = complete;
                let at = usize::from(random[0]) % changed.len();
                changed[at] = random[1];
                changed
            }
            3 => complete[..usize::from(random[0]) % complete.len()].to_vec(),
            4 => b"GET / HTTP/1.1\r\nHost: front\r\n\r\n".to_vec(),
            5 => [&[0x16, 3, 1, 2, 0][..], &random].concat(),
            // A field map that claims a huge number of entries.
            6 => self.message(1, "serve", "1", &[13, 0, 1, 11, 11, 0x7f, 0xff, 0xff, 0xff]),
            // A reply message, which clients never send, and random bytes after it.
            _ => [self.message(2, "serve", "1", &[]), random].concat(),
        }
    }

    /// Bytes that no PostgreSQL client sends and that could be accepted; the user does not exist.
    fn session_garbage(&self, n: usize) -> Vec<u8> {
        let random = random_bytes(n, 300);
        let startup = |code: u32, rest: &[u8]| {
            let len = (8 + rest.len() as u32).to_be_bytes();
            [&len[..], &code.to_be_bytes(), rest].concat()
        };
        const VERSION_2: u32 = 2 << 16;
        const VERSION_3: u32 = 3 << 16;
        const CANCEL: u32 = 80_877_102;
        const TLS: u32 = 80_877_103;
        match n % GARBAGE_KINDS {
            0 => random,
            1 => {
                [[0x7f, 0xff, 0xff, 0xff], [0xff; 4], [0, 0, 0, 0]][n / GARBAGE_KINDS % 3].to_vec()
            }
            2 => startup(VERSION_3, b"user\0nobody\0database\0x\0\0"),
            3 => startup(VERSION_3, b"user\0portal\0database")[..random[0] as usize % 20].to_vec(),
            4 => startup(VERSION_2, &random),
            5 => startup(CANCEL, &random[..8]),
            6 => [startup(TLS, b""), random].concat(),
            // An unknown message type with an impossible length, right after the startup message.
            _ => [
                startup(VERSION_3, b"user\0portal\0database\0x\0\0"),
                vec![b'~', 0x7f, 0xff, 0xff, 0xff],
            ]
            .concat(),
        }
    }

    /// Sends garbage over a number of client connections.
    pub fn send_client_garbage(&mut self, count: usize) {
        let address = self.front_address.clone();
        let garbage = (0..count).map(|n| self.client_garbage(n)).collect();
        self.send_garbage(&address, garbage);
    }

    /// Sends garbage over a number of PostgreSQL sessions.
    pub fn send_session_garbage(&mut self, count: usize) {
        let address = self.resources.sessions.unwrap().to_string();
        let garbage = (0..count).map(|n| self.session_garbage(n)).collect();
        self.send_garbage(&address, garbage);
    }

    /// Sends each item over its own connection. Some close at once, some reset, some stay open and wait.
    fn send_garbage(&mut self, address: &str, garbage: Vec<Vec<u8>>) {
        let mut waiting = Vec::new();
        for (n, bytes) in garbage.into_iter().enumerate() {
            let mut stream = TcpStream::connect(address).unwrap();
            // The front may close the connection during the write, which is no failure.
            let _ = stream.write_all(&bytes);
            match n / GARBAGE_KINDS % 3 {
                0 => drop(stream),
                1 => SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                _ => waiting.push(stream),
            }
        }
        self.settle();
        self.fillers.insert(FILLER_NAME.to_string(), waiting);
    }

    /// Waits until the front has closed each garbage connection that stayed open.
    pub fn wait_until_garbage_is_closed(&mut self) {
        for mut stream in self.fillers.remove(FILLER_NAME).unwrap() {
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            let end = std::io::copy(&mut stream, &mut std::io::sink());
            let is_still_open = |e: &std::io::Error| {
                matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
            };
            assert!(
                !end.is_err_and(|e| is_still_open(&e)),
                "a connection that sent garbage is still open"
            );
        }
    }

    /// Bytes that no correct engine sends as a reply to a statement.
    fn engine_garbage(&self, number: &str, n: usize) -> Vec<u8> {
        let (id, random) = (id(number), random_bytes(n, 300));
        match n % GARBAGE_KINDS {
            0 => [&random[..], b"\r\n"].concat(),
            1 => format!("{id} ACK batches=1 99999999999999999999\r\n").into_bytes(),
            2 => format!("{id} ACK batches=-1 3\r\nx\t-\r\n").into_bytes(),
            3 => format!("{id} BLOCK batch=none 3\r\nx\t-\r\n").into_bytes(),
            4 => vec![b'x'; 5_000],
            5 => format!("{id} WHAT - \r\n").into_bytes(),
            6 => format!("{id} ACK batches=1 40\r\nx\t").into_bytes(),
            _ => [id.as_bytes(), b" ACK \xff\xfe 3\r\nx\t-\r\n"].concat(),
        }
    }

    /// Answers one statement with garbage, and a further one correctly.
    pub fn answer_with_garbage(&mut self, engine: &str, client: &str, n: usize) {
        let (invalid, valid) = ((30_000 + 2 * n).to_string(), (30_001 + 2 * n).to_string());
        self.run_line(&format!("{client} asks {invalid} verb=pay select 1"));
        self.wait_for_statement(engine, &invalid);
        let garbage = self.engine_garbage(&invalid, n);
        (&*self.engines[engine].statement_connections[&invalid])
            .write_all(&garbage)
            .unwrap();
        self.advance(PARTIAL_ANSWER_MS);
        self.run_line(&format!("{client} hears {invalid} aborted"));
        self.run_line(&format!("{client} asks {valid} verb=pay select 2"));
        self.wait_for_statement(engine, &valid);
        self.run_line(&format!("{engine} says {valid} ACK batches=1 x"));
        self.run_line(&format!("{client} hears {valid} completed x"));
    }

    /// Advances time until an engine receives a statement; after a failure the front sends it statements only
    /// later.
    fn wait_for_statement(&mut self, engine: &str, number: &str) {
        let received = (0..MAX_POLLS).any(|_| {
            self.advance(POLL_STEP_MS);
            self.take_if_received(engine, number)
        });
        assert!(received, "{engine} did not receive {number}");
    }
}
