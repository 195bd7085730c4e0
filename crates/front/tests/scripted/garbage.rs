//! Garbage, drawn by number so that each run has the same: from clients, and from engines instead of answers.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::Duration;

use socket2::SockRef;

use crate::{id, Scenario, PATIENCE};

const NAME: &str = "garbage";
const FORMS: usize = 8; // of garbage, from clients as from engines
const LOOKS: usize = 200; // at what an engine has heard, with time passing between them
const STEP_MS: i64 = 50; // milliseconds between those looks
const OVER_MS: i64 = 700; // milliseconds in which half an answer is given up

/// Bytes drawn by a number.
fn drawn(seed: usize, count: usize) -> Vec<u8> {
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
    /// What no client that knows the protocol sends. None of it is a statement that could be executed.
    fn client_garbage(&self, n: usize) -> Vec<u8> {
        let draw = drawn(n, 300);
        let whole = self.frame(
            &(20_000 + n).to_string(),
            &["verb=unheard"],
            "select 'garbage'",
        );
        match n % FORMS {
            0 => draw,
            1 => [[0x7f, 0xff, 0xff, 0xff], [0xff; 4], [0, 2, 0, 1]][n / FORMS % 3].to_vec(),
            2 => {
                let mut changed = whole;
                let at = usize::from(draw[0]) % changed.len();
                changed[at] = draw[1];
                changed
            }
            3 => whole[..usize::from(draw[0]) % whole.len()].to_vec(),
            4 => b"GET / HTTP/1.1\r\nHost: front\r\n\r\n".to_vec(),
            5 => [&[0x16, 3, 1, 2, 0][..], &draw].concat(),
            // Fields that say that there are very many of them.
            6 => self.message(1, "serve", "1", &[13, 0, 1, 11, 11, 0x7f, 0xff, 0xff, 0xff]),
            // An answer, which no client gives, and more behind it.
            _ => [self.message(2, "serve", "1", &[]), draw].concat(),
        }
    }

    /// What no PostgreSQL client sends that may come in; the user is one that there is not.
    fn session_garbage(&self, n: usize) -> Vec<u8> {
        let draw = drawn(n, 300);
        let begins = |code: u32, rest: &[u8]| {
            let len = (8 + rest.len() as u32).to_be_bytes();
            [&len[..], &code.to_be_bytes(), rest].concat()
        };
        const VERSION_2: u32 = 2 << 16;
        const VERSION_3: u32 = 3 << 16;
        const CANCEL: u32 = 80_877_102;
        const TLS: u32 = 80_877_103;
        match n % FORMS {
            0 => draw,
            1 => [[0x7f, 0xff, 0xff, 0xff], [0xff; 4], [0, 0, 0, 0]][n / FORMS % 3].to_vec(),
            2 => begins(VERSION_3, b"user\0nobody\0database\0x\0\0"),
            3 => begins(VERSION_3, b"user\0portal\0database")[..draw[0] as usize % 20].to_vec(),
            4 => begins(VERSION_2, &draw),
            5 => begins(CANCEL, &draw[..8]),
            6 => [begins(TLS, b""), draw].concat(),
            // A message that no client sends, of a length that none has, right behind the start.
            _ => [
                begins(VERSION_3, b"user\0portal\0database\0x\0\0"),
                vec![b'~', 0x7f, 0xff, 0xff, 0xff],
            ]
            .concat(),
        }
    }

    /// So many connections of clients bring garbage.
    pub fn garbage_from(&mut self, count: usize) {
        let at = self.listens.clone();
        let garbage = (0..count).map(|n| self.client_garbage(n)).collect();
        self.brings(&at, garbage);
    }

    /// The same of PostgreSQL sessions.
    pub fn garbage_from_sessions(&mut self, count: usize) {
        let at = self.resources.sessions.unwrap().to_string();
        let garbage = (0..count).map(|n| self.session_garbage(n)).collect();
        self.brings(&at, garbage);
    }

    /// A connection for each: some leave at once, some reset it, some wait for what comes.
    fn brings(&mut self, at: &str, garbage: Vec<Vec<u8>>) {
        let mut waiting = Vec::new();
        for (n, bytes) in garbage.into_iter().enumerate() {
            let mut stream = TcpStream::connect(at).unwrap();
            // One that is refused while it writes has said enough.
            let _ = stream.write_all(&bytes);
            match n / FORMS % 3 {
                0 => drop(stream),
                1 => SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                _ => waiting.push(stream),
            }
        }
        self.settles();
        self.fillers.insert(NAME.to_string(), waiting);
    }

    /// The front has closed each connection that brought garbage and waited.
    pub fn garbage_is_gone(&mut self) {
        for mut stream in self.fillers.remove(NAME).unwrap() {
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            let end = std::io::copy(&mut stream, &mut std::io::sink());
            let open = |e: &std::io::Error| {
                matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
            };
            assert!(
                !end.is_err_and(|e| open(&e)),
                "a connection that brought garbage is open"
            );
        }
    }

    /// What no engine that knows the protocol says of a statement.
    fn engine_garbage(&self, number: &str, n: usize) -> Vec<u8> {
        let (id, draw) = (id(number), drawn(n, 300));
        match n % FORMS {
            0 => [&draw[..], b"\r\n"].concat(),
            1 => format!("{id} ACK batches=1 99999999999999999999\r\n").into_bytes(),
            2 => format!("{id} ACK batches=-1 3\r\nx\t-\r\n").into_bytes(),
            3 => format!("{id} BLOCK batch=none 3\r\nx\t-\r\n").into_bytes(),
            4 => vec![b'x'; 5_000],
            5 => format!("{id} WHAT - \r\n").into_bytes(),
            6 => format!("{id} ACK batches=1 40\r\nx\t").into_bytes(),
            _ => [id.as_bytes(), b" ACK \xff\xfe 3\r\nx\t-\r\n"].concat(),
        }
    }

    /// A statement whose answer is garbage, and another that its engine answers well.
    pub fn spoils_an_answer(&mut self, engine: &str, client: &str, n: usize) {
        let (spoilt, good) = ((30_000 + 2 * n).to_string(), (30_001 + 2 * n).to_string());
        self.line(&format!("{client} asks {spoilt} verb=pay select 1"));
        self.hears_in_time(engine, &spoilt);
        let garbage = self.engine_garbage(&spoilt, n);
        (&*self.engines[engine].asked[&spoilt])
            .write_all(&garbage)
            .unwrap();
        self.passes(OVER_MS);
        self.line(&format!("{client} hears {spoilt} aborted"));
        self.line(&format!("{client} asks {good} verb=pay select 2"));
        self.hears_in_time(engine, &good);
        self.line(&format!("{engine} says {good} ACK batches=1 x"));
        self.line(&format!("{client} hears {good} completed x"));
    }

    /// Lets time pass until an engine has heard a statement: one that has failed is trusted again only by then.
    fn hears_in_time(&mut self, engine: &str, number: &str) {
        let heard = (0..LOOKS).any(|_| {
            self.passes(STEP_MS);
            self.heard_by_now(engine, number)
        });
        assert!(heard, "{engine} did not hear {number}");
    }
}
