//! A stand-in engine and a stand-in client that speak PostgreSQL's protocol, version 3.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::common::{sleep_ms, Failure, Record};

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Makes a close of the socket reset the connection, as the death of a process does.
pub fn reset_at_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1i32, 0];
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr(),
            8,
        )
    };
}

/// Gives the connections of a listener a small receive buffer: what an engine has not read yet
/// stays with its sender.
fn set_receive_buffer(listener: &TcpListener) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes = 4096i32;
    unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// One message: its tag and its body.
pub struct Message {
    pub tag: u8,
    pub body: Vec<u8>,
}

/// Appends a message.
pub fn put(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

fn string(text: &str) -> Vec<u8> {
    [text.as_bytes(), b"\0"].concat()
}

/// The string at the start of a body, and what follows it.
fn take_string(body: &[u8]) -> (String, &[u8]) {
    let end = body.iter().position(|c| *c == 0).unwrap_or(body.len());
    let text = String::from_utf8_lossy(&body[..end]).into_owned();
    (text, body.get(end + 1..).unwrap_or_default())
}

fn read_message(stream: &mut TcpStream) -> std::io::Result<Message> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; len.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok(Message { tag: head[0], body })
}

/// A statement without its comments.
pub fn plain(text: &str) -> String {
    let mut rest = text;
    let mut plain = String::new();
    while let Some((before, comment)) = rest.split_once("/*") {
        plain.push_str(before);
        rest = comment.split_once("*/").map_or("", |(_, after)| after);
    }
    plain.push_str(rest);
    plain.trim().to_string()
}

/// How an engine misbehaves. Each figure is for the next unit that holds a statement with the
/// word `INSERT`, on any engine of the world; then it is over.
#[derive(Default)]
pub struct Faults {
    /// The engine's answers are lost, and its process dies right after the first lasting effect.
    pub answers_lost_then_death: AtomicU32,
}

/// All engines of a case, and what took effect on them.
#[derive(Clone)]
pub struct World {
    pub record: Record,
    /// The texts of the statements whose effect became lasting, on any engine.
    pub effects: Arc<Mutex<Vec<String>>>,
    pub faults: Arc<Faults>,
    /// Milliseconds that a statement with the word `INSERT` runs.
    pub insert_ms: Arc<AtomicU32>,
}

impl World {
    pub fn new(record: &Record) -> World {
        World {
            record: record.clone(),
            effects: Arc::default(),
            faults: Arc::default(),
            insert_ms: Arc::new(AtomicU32::new(20)),
        }
    }

    /// How often a statement that contains this text took effect.
    pub fn count(&self, text: &str) -> usize {
        let effects = self.effects.lock().unwrap();
        effects
            .iter()
            .filter(|effect| effect.contains(text))
            .count()
    }
}

/// Starts an engine; returns its port. Its threads end with the process.
pub fn start_engine(world: &World, id: &str) -> Result<u16, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let port = listener.local_addr().map_err(|e| e.to_string())?.port();
    set_receive_buffer(&listener);
    let (world, id) = (world.clone(), id.to_string());
    let down = Arc::new(AtomicU32::new(0));
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    std::thread::spawn(move || {
        // Once the process is dead its listener is closed, and connections are refused.
        while down.load(Ordering::SeqCst) == 0 {
            let Ok((stream, _)) = listener.accept() else {
                sleep_ms(1);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let (world, id, down) = (world.clone(), id.clone(), down.clone());
            std::thread::spawn(move || {
                let mut session = EngineSession {
                    world,
                    id,
                    down,
                    stream,
                    statements: HashMap::new(),
                    portals: HashMap::new(),
                    pending: Vec::new(),
                    in_block: false,
                    failed: false,
                    out: Vec::new(),
                    mute: false,
                    dead: false,
                };
                let _ = session.serve();
            });
        }
    });
    Ok(port)
}

struct EngineSession {
    world: World,
    id: String,
    /// Above 0 once the process is dead.
    down: Arc<AtomicU32>,
    stream: TcpStream,
    statements: HashMap<String, String>,
    portals: HashMap<String, String>,
    /// What the open transaction has done.
    pending: Vec<String>,
    /// Between BEGIN and its end.
    in_block: bool,
    /// An error since the last Sync.
    failed: bool,
    out: Vec<u8>,
    /// The answers do not reach the front.
    mute: bool,
    /// The process has died.
    dead: bool,
}

impl EngineSession {
    fn serve(&mut self) -> std::io::Result<()> {
        if !self.log_in()? {
            return Ok(());
        }
        loop {
            let message = read_message(&mut self.stream)?;
            if message.tag == b'X' {
                return Ok(());
            }
            self.handle(message)?;
            if self.dead {
                return Ok(());
            }
        }
    }

    /// Reads the start-up message. False if the connection only carries a cancel request.
    fn log_in(&mut self) -> std::io::Result<bool> {
        loop {
            let mut head = [0; 8];
            self.stream.read_exact(&mut head)?;
            let len = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let code = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
            let mut rest = vec![0; len.saturating_sub(8)];
            self.stream.read_exact(&mut rest)?;
            match code {
                80877103 | 80877104 => self.stream.write_all(b"N")?,
                80877102 => {
                    self.world
                        .record
                        .line(&format!("{}: request to cancel", self.id));
                    return Ok(false);
                }
                _ => break,
            }
        }
        let mut out = Vec::new();
        put(&mut out, b'R', &0u32.to_be_bytes());
        put(
            &mut out,
            b'S',
            &[string("server_version"), string("15.0")].concat(),
        );
        put(
            &mut out,
            b'K',
            &[7u32.to_be_bytes(), 9u32.to_be_bytes()].concat(),
        );
        put(&mut out, b'Z', b"I");
        self.stream.write_all(&out)?;
        Ok(true)
    }

    fn handle(&mut self, message: Message) -> std::io::Result<()> {
        let Message { tag, body } = message;
        if self.failed && !matches!(tag, b'S') {
            return Ok(());
        }
        match tag {
            b'Q' => {
                let (text, _) = take_string(&body);
                for statement in text.split(';').filter(|s| !plain(s).is_empty()) {
                    self.run(statement);
                }
                return self.sync();
            }
            b'P' => {
                let (name, rest) = take_string(&body);
                let (text, _) = take_string(rest);
                self.note(&format!("prepared: {text}"));
                self.meet_fault(&text);
                self.statements.insert(name, text);
                put(&mut self.out, b'1', b"");
            }
            b'B' => {
                let (portal, rest) = take_string(&body);
                let (name, _) = take_string(rest);
                match self.statements.get(&name) {
                    Some(text) => {
                        self.portals.insert(portal, text.clone());
                        put(&mut self.out, b'2', b"");
                    }
                    None => self.fail("26000"),
                }
            }
            b'D' if body.first() == Some(&b'S') => {
                put(&mut self.out, b't', &0u16.to_be_bytes());
                put(&mut self.out, b'n', b"");
            }
            b'D' => put(&mut self.out, b'n', b""),
            b'E' => {
                let (portal, _) = take_string(&body);
                match self.portals.get(&portal).cloned() {
                    Some(text) => self.run(&text),
                    None => self.fail("34000"),
                }
            }
            b'C' => put(&mut self.out, b'3', b""),
            b'H' => self.send()?,
            b'S' => return self.sync(),
            _ => {}
        }
        Ok(())
    }

    fn note(&self, text: &str) {
        let shown: String = text.chars().take(160).collect();
        self.world.record.line(&format!("{}: {shown}", self.id));
    }

    /// Lets the fault of this unit begin, if there is one.
    fn meet_fault(&mut self, text: &str) {
        let left = &self.world.faults.answers_lost_then_death;
        if text.contains("INSERT")
            && !self.mute
            && left
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
                .is_ok()
        {
            self.mute = true;
            self.note("its answers are lost from here on");
        }
    }

    fn fail(&mut self, code: &str) {
        let fields = [
            b"SERROR\0VERROR\0C".to_vec(),
            string(code),
            b"Mno\0\0".to_vec(),
        ];
        put(&mut self.out, b'E', &fields.concat());
        self.failed = true;
    }

    /// Runs one statement.
    fn run(&mut self, text: &str) {
        let statement = plain(text);
        let verb = statement
            .split_whitespace()
            .next()
            .unwrap_or("")
            .to_uppercase();
        self.note(&format!("runs: {text}"));
        match verb.as_str() {
            "BEGIN" => self.in_block = true,
            "COMMIT" => {
                self.in_block = false;
                self.keep();
            }
            "ROLLBACK" => {
                self.in_block = false;
                self.pending.clear();
            }
            "INSERT" => {
                self.meet_fault(text);
                sleep_ms(u64::from(self.world.insert_ms.load(Ordering::SeqCst)));
                self.pending.push(statement.clone());
            }
            _ => {}
        }
        let tag = match verb.as_str() {
            "INSERT" => "INSERT 0 1".to_string(),
            "SELECT" => "SELECT 0".to_string(),
            other => other.to_string(),
        };
        put(&mut self.out, b'C', &string(&tag));
    }

    /// Makes lasting what the transaction has done.
    fn keep(&mut self) {
        let kept = std::mem::take(&mut self.pending);
        let dies = self.mute && !kept.is_empty();
        for text in kept {
            self.note(&format!("has lasting effect: {text}"));
            self.world.effects.lock().unwrap().push(text);
        }
        if dies {
            sleep_ms(100);
            self.note("its process dies: connections are reset, new ones refused");
            self.down.store(1, Ordering::SeqCst);
            sleep_ms(20);
            self.dead = true;
            reset_at_close(&self.stream);
        }
    }

    /// Ends a unit: outside BEGIN it takes effect now.
    fn sync(&mut self) -> std::io::Result<()> {
        if self.failed {
            self.pending.clear();
        } else if !self.in_block {
            self.keep();
        }
        let status = match (self.in_block, self.failed) {
            (false, _) => b"I",
            (true, false) => b"T",
            (true, true) => b"E",
        };
        self.failed = false;
        put(&mut self.out, b'Z', status);
        self.send()
    }

    fn send(&mut self) -> std::io::Result<()> {
        let out = std::mem::take(&mut self.out);
        if self.mute {
            return Ok(());
        }
        self.stream.write_all(&out)
    }
}

/// A client's session.
pub struct Client {
    pub stream: TcpStream,
    record: Record,
    name: String,
}

/// The answer to a unit, or the end of the connection.
#[derive(Debug, Default)]
pub struct Answer {
    /// The tags of the messages, in order.
    pub tags: String,
    /// The SQLSTATE of the first error.
    pub error: Option<String>,
    /// ReadyForQuery came: the answer is whole.
    pub whole: bool,
    /// The connection ended.
    pub ended: bool,
}

impl Client {
    /// Opens a session, trying for 10 s.
    pub fn connect(record: &Record, name: &str, port: u16, user: &str) -> Result<Client, Failure> {
        let by = Instant::now() + Duration::from_secs(10);
        let stream = loop {
            match TcpStream::connect(("127.0.0.1", port)) {
                Ok(stream) => break stream,
                Err(e) if Instant::now() > by => {
                    return Err(format!("the front is not ready: {e}"))
                }
                Err(_) => sleep_ms(50),
            }
        };
        let _ = stream.set_nodelay(true);
        let mut body = 196608u32.to_be_bytes().to_vec();
        for (name, value) in [("user", user), ("database", "ledger")] {
            body.extend(string(name));
            body.extend(string(value));
        }
        body.push(0);
        let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
        out.extend(body);
        let mut client = Client {
            stream,
            record: record.clone(),
            name: name.to_string(),
        };
        client.stream.write_all(&out).map_err(|e| e.to_string())?;
        let answer = client.answer(5_000);
        if answer.whole {
            Ok(client)
        } else {
            Err(format!("no session: {answer:?}"))
        }
    }

    /// Sends bytes; what they are goes into the record.
    pub fn send(&mut self, what: &str, bytes: &[u8]) {
        self.record.line(&format!("{}: sends {what}", self.name));
        if let Err(e) = self.stream.write_all(bytes) {
            self.record.line(&format!("{}: can't send: {e}", self.name));
        }
    }

    /// Reads up to the next ReadyForQuery, for this time at most.
    pub fn answer(&mut self, ms: u64) -> Answer {
        let by = Instant::now() + Duration::from_millis(ms);
        let mut answer = Answer::default();
        let mut input = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            while input.len() >= 5 {
                let len = u32::from_be_bytes([input[1], input[2], input[3], input[4]]) as usize + 1;
                if input.len() < len {
                    break;
                }
                let message: Vec<u8> = input.drain(..len).collect();
                answer.tags.push(message[0] as char);
                if message[0] == b'E' && answer.error.is_none() {
                    answer.error = error_code(&message[5..]);
                }
                if message[0] == b'Z' {
                    answer.whole = true;
                    self.note(&answer);
                    return answer;
                }
            }
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                self.note(&answer);
                return answer;
            }
            let _ = self
                .stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match self.stream.read(&mut chunk) {
                Ok(0) => {
                    answer.ended = true;
                    self.note(&answer);
                    return answer;
                }
                Ok(n) => input.extend_from_slice(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => {
                    answer.ended = true;
                    self.note(&answer);
                    return answer;
                }
            }
        }
    }

    fn note(&self, answer: &Answer) {
        self.record.line(&format!(
            "{}: got messages '{}', error {:?}, whole: {}, connection ended: {}",
            self.name, answer.tags, answer.error, answer.whole, answer.ended
        ));
    }
}

fn error_code(fields: &[u8]) -> Option<String> {
    let mut rest = fields;
    while let Some((&kind, text)) = rest.split_first() {
        if kind == 0 {
            break;
        }
        let (text, after) = take_string(text);
        if kind == b'C' {
            return Some(text);
        }
        rest = after;
    }
    None
}

/// A simple query.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', &string(text));
    out
}

/// Parse under a name.
pub fn parse(name: &str, text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(
        &mut out,
        b'P',
        &[string(name), string(text), vec![0, 0]].concat(),
    );
    out
}

/// Describe a prepared statement.
pub fn describe(name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'D', &[b"S".to_vec(), string(name)].concat());
    out
}

/// Bind the unnamed portal to a prepared statement with one parameter, and execute it.
pub fn bind_and_execute_with(name: &str, parameter: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let values = [
        &[0, 0, 0, 1][..],
        &(parameter.len() as u32).to_be_bytes(),
        parameter,
        &[0, 0],
    ];
    let bind = [string(""), string(name), values.concat()];
    put(&mut out, b'B', &bind.concat());
    put(&mut out, b'E', &[string(""), vec![0; 4]].concat());
    out
}

/// Bind the unnamed portal to a prepared statement without parameters, and execute it.
pub fn bind_and_execute(name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(
        &mut out,
        b'B',
        &[string(""), string(name), vec![0; 6]].concat(),
    );
    put(&mut out, b'E', &[string(""), vec![0; 4]].concat());
    out
}

pub fn flush() -> Vec<u8> {
    vec![b'H', 0, 0, 0, 4]
}

pub fn sync() -> Vec<u8> {
    vec![b'S', 0, 0, 0, 4]
}
