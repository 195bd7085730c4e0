//! Stand-ins that speak PostgreSQL's protocol: a client with simple queries, and an engine.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::net;
use crate::record::{sleep_ms, Record};

/// A message of the protocol.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

fn startup(user: &str, database: &str) -> Vec<u8> {
    let mut body = (3u32 << 16).to_be_bytes().to_vec();
    for text in ["user", user, "database", database] {
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    body.push(0);
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let len = u32::from_be_bytes(head[1..].try_into().ok()?) as usize;
    let mut body = vec![0; len.checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

fn text(body: &[u8]) -> String {
    let end = body.iter().position(|b| *b == 0).unwrap_or(body.len());
    String::from_utf8_lossy(&body[..end]).into_owned()
}

/// The SQLSTATE and the message of an error.
fn error_of(body: &[u8]) -> (String, String) {
    let (mut code, mut words) = (String::new(), String::new());
    for field in body.split(|b| *b == 0).filter(|field| !field.is_empty()) {
        let value = String::from_utf8_lossy(&field[1..]).into_owned();
        match field[0] {
            b'C' => code = value,
            b'M' => words = value,
            _ => {}
        }
    }
    (code, words)
}

/// The answer to a query, up to ReadyForQuery.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Complete(String),
    /// A row with one column.
    Row(String),
    /// SQLSTATE and message.
    Error(String, String),
    /// The connection ended, or nothing came in time.
    Lost,
}

pub struct Client {
    name: String,
    stream: TcpStream,
    record: Record,
}

impl Client {
    /// Opens a session as `portal`.
    pub fn connect(record: &Record, name: &str, address: &str) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(40)))?;
        stream.write_all(&startup("portal", "lectures"))?;
        loop {
            match read_message(&mut stream) {
                Some((b'Z', _)) => break,
                Some((b'E', body)) => return Err(std::io::Error::other(error_of(&body).1)),
                Some(_) => {}
                None => return Err(std::io::Error::other("no session")),
            }
        }
        Ok(Client {
            name: name.to_string(),
            stream,
            record: record.clone(),
        })
    }

    /// Sends some bytes of a message as they are.
    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads up to ReadyForQuery, or to the first error if `until_error`.
    pub fn read_answer(&mut self, until_error: bool) -> Answer {
        let mut answer = Answer::Lost;
        loop {
            match read_message(&mut self.stream) {
                Some((b'Z', _)) => break,
                Some((b'E', body)) => {
                    let (code, words) = error_of(&body);
                    answer = Answer::Error(code, words);
                    if until_error {
                        break;
                    }
                }
                Some((b'C', body)) => answer = Answer::Complete(text(&body)),
                Some(_) => {}
                None => break,
            }
        }
        self.record
            .line(&format!("client {}: answered {answer:?}", self.name));
        answer
    }

    /// Prepares, binds and executes a text by the extended protocol, without a name. `sync`: ends the
    /// unit, else a Flush asks for the answer so far.
    pub fn execute(&mut self, sql: &str, sync: bool) -> Answer {
        let end = if sync { "Sync" } else { "Flush" };
        self.record.line(&format!(
            "client {}: sent Parse, Bind, Execute, {end}: {sql}",
            self.name
        ));
        let mut out = message(b'P', &[b"\0", sql.as_bytes(), &[0, 0, 0]].concat());
        out.extend(message(b'B', &[0; 8]));
        out.extend(message(b'E', &[0; 5]));
        out.extend(message(if sync { b'S' } else { b'H' }, &[]));
        let mut answer = Answer::Lost;
        if self.stream.write_all(&out).is_ok() {
            loop {
                match read_message(&mut self.stream) {
                    Some((b'Z', _)) => break,
                    Some((b'E', body)) => {
                        let (code, words) = error_of(&body);
                        answer = Answer::Error(code, words);
                        if !sync {
                            break;
                        }
                    }
                    Some((b'C', body)) => {
                        answer = Answer::Complete(text(&body));
                        if !sync {
                            break;
                        }
                    }
                    Some(_) => {}
                    None => break,
                }
            }
        }
        self.record
            .line(&format!("client {}: answered {answer:?}", self.name));
        answer
    }

    pub fn query(&mut self, sql: &str) -> Answer {
        self.record
            .line(&format!("client {}: sent {sql}", self.name));
        let mut body = sql.as_bytes().to_vec();
        body.push(0);
        let mut answer = Answer::Lost;
        if self.stream.write_all(&message(b'Q', &body)).is_ok() {
            loop {
                match read_message(&mut self.stream) {
                    Some((b'Z', _)) => break,
                    Some((b'E', body)) => {
                        let (code, words) = error_of(&body);
                        answer = Answer::Error(code, words);
                    }
                    Some((b'D', body)) => {
                        answer = Answer::Row(String::from_utf8_lossy(&body[6..]).into_owned())
                    }
                    Some((b'C', body)) if !matches!(answer, Answer::Error(..) | Answer::Row(_)) => {
                        answer = Answer::Complete(text(&body))
                    }
                    Some(_) => {}
                    None => break,
                }
            }
        }
        self.record
            .line(&format!("client {}: answered {answer:?}", self.name));
        answer
    }
}

/// What an engine does with a query.
#[derive(Clone, Copy, Debug)]
pub enum Plan {
    /// Runs it, which takes so many milliseconds, and answers.
    Answer(f64),
    /// Fails it at once with an error of the engine's own, and goes on.
    Fail,
    /// Runs it at once; its answer never leaves, and after so many milliseconds its connection is
    /// reset.
    RunAndReset(f64),
}

/// A statement that changed something, and what became of it.
#[derive(Clone, Debug)]
pub struct Effect {
    pub text: String,
}

/// The state of one connection.
struct Backend {
    /// `I`, `T` or `E`, as in ReadyForQuery.
    status: u8,
    pending: Vec<Effect>,
    mark: Option<String>,
    /// The setting `search_path`, and what it was as the transaction began and at its savepoint.
    path: String,
    path_before: String,
    path_at_savepoint: String,
}

impl Default for Backend {
    fn default() -> Backend {
        Backend {
            status: b'I',
            pending: Vec::new(),
            mark: None,
            path: "public".into(),
            path_before: "public".into(),
            path_at_savepoint: "public".into(),
        }
    }
}

impl Backend {
    /// An error: within a transaction that has failed.
    fn fail(&mut self) {
        if self.status == b'T' {
            self.status = b'E';
        }
    }
}

fn error(code: &str, words: &str) -> Vec<u8> {
    message(
        b'E',
        format!("SERROR\0VERROR\0C{code}\0M{words}\0\0").as_bytes(),
    )
}

/// The mark that a text names, in whatever form.
fn mark_in(text: &str) -> Option<String> {
    let (_, rest) = text.split_once("dedup_key")?;
    let mark: String = rest
        .chars()
        .skip_while(|c| !c.is_ascii_alphanumeric())
        .take_while(char::is_ascii_alphanumeric)
        .collect();
    (!mark.is_empty()).then_some(mark)
}

/// What all engines of a group share: the effects that last, and the marks by which they know a
/// repeat.
#[derive(Default)]
pub struct Store {
    pub effects: Vec<Effect>,
    /// When the first execution with this mark came.
    pub marks: HashMap<String, f64>,
    /// All executions with a mark: engine, mark, when.
    pub marked: Vec<(String, String, f64)>,
    /// All texts that came to be prepared: engine, text, when.
    pub parsed: Vec<(String, String, f64)>,
}

pub type Behaviour = Arc<dyn Fn(&str) -> Plan + Send + Sync>;

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: String,
    store: Arc<Mutex<Store>>,
    /// Milliseconds for which a repeat is known and dropped.
    window_ms: f64,
    record: Record,
    behaviour: Behaviour,
    /// The connections to this engine.
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    pub fn start(
        record: &Record,
        name: &str,
        store: &Arc<Mutex<Store>>,
        window_ms: f64,
        behaviour: Behaviour,
    ) -> std::io::Result<Engine> {
        let listener = net::listener()?;
        let engine = Engine {
            name: name.to_string(),
            address: listener.local_addr()?.to_string(),
            store: store.clone(),
            window_ms,
            record: record.clone(),
            behaviour,
            open: Arc::default(),
        };
        let served = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        Ok(engine)
    }

    /// The engine's process dies: all its connections are reset.
    pub fn die(&self) {
        self.record.line(&format!(
            "engine {}: dies, its connections are reset",
            self.name
        ));
        let open = std::mem::take(&mut *self.open.lock().unwrap_or_else(|e| e.into_inner()));
        for stream in open {
            net::reset_on_close(&stream);
            // Ends the thread that reads; the last close resets the connection.
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            self.open
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .push(copy);
        }
        let mut head = [0; 8];
        stream.read_exact(&mut head).ok()?;
        let len = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
        let mut rest = vec![0; len.checked_sub(8)?];
        stream.read_exact(&mut rest).ok()?;
        if u32::from_be_bytes(head[4..].try_into().ok()?) != 3 << 16 {
            // A request to cancel: nothing here can be cancelled any more.
            self.record
                .line(&format!("engine {}: asked to cancel", self.name));
            return None;
        }
        let mut out = message(b'R', &[0; 4]);
        out.extend(message(b'S', b"server_version\x0015.0\0"));
        out.extend(message(b'K', &[0, 0, 0, 1, 0, 0, 0, 2]));
        out.extend(message(b'Z', b"I"));
        stream.write_all(&out).ok()?;
        let mut parsed = String::new();
        // A mark would also be known from the session's settings, had they brought it here.
        let mut backend = Backend {
            mark: mark_in(&String::from_utf8_lossy(&rest)),
            ..Backend::default()
        };
        loop {
            let (tag, body) = read_message(&mut stream)?;
            match tag {
                b'Q' => {
                    let sql = text(&body);
                    let got = self
                        .record
                        .line(&format!("engine {}: got {sql}", self.name));
                    let plan = (self.behaviour)(&sql);
                    if let Plan::Answer(ms) = plan {
                        sleep_ms(ms);
                    }
                    let mut out = Vec::new();
                    if let Plan::Fail = plan {
                        backend.fail();
                        out.extend(error("58030", "could not read the file: I/O error"));
                    } else {
                        for statement in sql.split(';').map(str::trim).filter(|s| !s.is_empty()) {
                            out.extend(self.execute(statement, got, &mut backend));
                        }
                    }
                    if backend.status == b'I' {
                        self.commit(&mut backend.pending);
                    }
                    if let Plan::RunAndReset(ms) = plan {
                        sleep_ms(ms);
                        self.record.line(&format!(
                            "engine {}: the connection of {sql} is reset, unanswered",
                            self.name
                        ));
                        let peer = stream.peer_addr().ok();
                        self.open
                            .lock()
                            .unwrap_or_else(|e| e.into_inner())
                            .retain(|other| other.peer_addr().ok() != peer);
                        net::reset_on_close(&stream);
                        return None;
                    }
                    out.extend(message(b'Z', &[backend.status]));
                    stream.write_all(&out).ok()?;
                    self.record
                        .line(&format!("engine {}: answers {sql}", self.name));
                }
                b'P' => {
                    let name_len = body.iter().position(|b| *b == 0)? + 1;
                    parsed = text(&body[name_len..]);
                    let at = self
                        .record
                        .line(&format!("engine {}: got Parse {parsed}", self.name));
                    self.store
                        .lock()
                        .unwrap_or_else(|e| e.into_inner())
                        .parsed
                        .push((self.name.clone(), parsed.clone(), at));
                    stream.write_all(&message(b'1', &[])).ok()?;
                }
                b'B' => stream.write_all(&message(b'2', &[])).ok()?,
                b'E' => {
                    let got = self
                        .record
                        .line(&format!("engine {}: got Execute of {parsed}", self.name));
                    let out = self.execute(&parsed, got, &mut backend);
                    stream.write_all(&out).ok()?;
                }
                b'H' => {}
                b'S' => {
                    if backend.status == b'I' {
                        self.commit(&mut backend.pending);
                    }
                    stream.write_all(&message(b'Z', &[backend.status])).ok()?;
                }
                b'X' => return None,
                _ => {
                    self.record.line(&format!(
                        "engine {}: a message '{}' that the stand-in does not know",
                        self.name, tag as char
                    ));
                    return None;
                }
            }
        }
    }

    /// Executes one statement and returns the messages of its answer, without ReadyForQuery.
    fn execute(&self, statement: &str, got: f64, backend: &mut Backend) -> Vec<u8> {
        let words = match statement.split_once("*/") {
            Some((_, words)) => words.trim(),
            None => statement,
        };
        let upper = words.to_ascii_uppercase();
        let first = upper.split_whitespace().next().unwrap_or_default();
        let is_end = matches!(first, "COMMIT" | "ROLLBACK");
        if backend.status == b'E' && !is_end {
            return error("25P02", "current transaction is aborted");
        }
        let complete = |tag: &str| message(b'C', format!("{tag}\0").as_bytes());
        match first {
            "BEGIN" => {
                backend.status = b'T';
                backend.path_before = backend.path.clone();
                complete("BEGIN")
            }
            "SAVEPOINT" => {
                backend.path_at_savepoint = backend.path.clone();
                complete("SAVEPOINT")
            }
            "ROLLBACK" if upper.contains(" TO ") => {
                backend.status = b'T';
                backend.path = backend.path_at_savepoint.clone();
                complete("ROLLBACK")
            }
            "COMMIT" if backend.status != b'E' => {
                backend.status = b'I';
                self.commit(&mut backend.pending);
                complete("COMMIT")
            }
            "COMMIT" | "ROLLBACK" => {
                if backend.status != b'I' {
                    backend.path = backend.path_before.clone();
                }
                backend.status = b'I';
                backend.pending.clear();
                complete("ROLLBACK")
            }
            "UPDATE" | "INSERT" => {
                let mark = mark_in(statement).or_else(|| backend.mark.clone());
                if !mark.is_some_and(|mark| self.is_repeat(mark, got)) {
                    backend.pending.push(Effect {
                        text: words.to_string(),
                    });
                }
                complete(if first == "UPDATE" {
                    "UPDATE 1"
                } else {
                    "INSERT 0 1"
                })
            }
            "SELECT" if upper.contains("FROM VIEWS") => {
                // The table is that of the schema that the session's path names.
                self.record.line(&format!(
                    "engine {}: reads {}.views",
                    self.name, backend.path
                ));
                let value = backend.path.as_bytes();
                let mut row = 1u16.to_be_bytes().to_vec();
                row.extend((value.len() as u32).to_be_bytes());
                row.extend(value);
                let mut column = 1u16.to_be_bytes().to_vec();
                column.extend(b"owner\0");
                column.extend([
                    0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0,
                ]);
                [
                    message(b'T', &column),
                    message(b'D', &row),
                    complete("SELECT 1"),
                ]
                .concat()
            }
            "SELECT" => complete("SELECT 0"),
            "RESET" => {
                (backend.mark, backend.path) = (None, "public".into());
                complete("RESET")
            }
            _ => {
                if let Some((_, path)) = words.split_once("search_path") {
                    let path = path.trim_start_matches([' ', '=']).trim();
                    backend.path = path.trim_start_matches("TO ").to_string();
                }
                backend.mark = mark_in(statement).or_else(|| backend.mark.take());
                complete("SET")
            }
        }
    }

    /// Whether the engines still know a mark.
    fn is_repeat(&self, mark: String, got: f64) -> bool {
        let mut store = self.store.lock().unwrap_or_else(|e| e.into_inner());
        store.marked.push((self.name.clone(), mark.clone(), got));
        let known = store
            .marks
            .get(&mark)
            .is_some_and(|first| got - first < self.window_ms);
        if !known {
            store.marks.insert(mark.clone(), got);
        }
        self.record.line(&format!(
            "engine {}: mark {mark}: {}",
            self.name,
            if known { "a repeat, dropped" } else { "runs" }
        ));
        known
    }

    fn commit(&self, pending: &mut Vec<Effect>) {
        if pending.is_empty() {
            return;
        }
        let mut store = self.store.lock().unwrap_or_else(|e| e.into_inner());
        for effect in pending.drain(..) {
            self.record.line(&format!(
                "engine {}: lasting effect: {}",
                self.name, effect.text
            ));
            store.effects.push(effect);
        }
    }
}
