//! A stand-in engine that speaks lines, and a stand-in client that speaks framed Thrift.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::common::{sleep_ms, Failure, Record};
use crate::postgres::reset_at_close;

/// What an engine does with one statement.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Milliseconds that it runs.
    pub run_ms: u64,
    /// Milliseconds from its arrival to a reset of its connection, if there is one; it runs on.
    pub reset_ms: Option<u64>,
}

/// One execution as the engines saw it; times in milliseconds of the record.
#[derive(Clone, Default)]
pub struct Execution {
    pub engine: String,
    pub id: String,
    pub key: String,
    pub arrived: f64,
    /// When the engine reset its connection.
    pub reset: Option<f64>,
    /// When the front gave it up: by its command, or by closing the connection.
    pub given_up: Option<f64>,
    /// When it had run to its end.
    pub ended: Option<f64>,
}

/// All engines of a case, and what ran on them.
#[derive(Clone)]
pub struct World {
    pub record: Record,
    /// Plans by the statement's id; others run for 20 ms.
    pub plans: Arc<Mutex<HashMap<String, Plan>>>,
    /// The engine that is slow, and how many times.
    pub slow: Arc<Mutex<Option<(String, u64)>>>,
    /// The order keys by the statement's id, as the clients gave them.
    pub keys: Arc<Mutex<HashMap<String, String>>>,
    pub executions: Arc<Mutex<Vec<Execution>>>,
    /// The data: for each order key the statement that wrote last.
    pub data: Arc<Mutex<HashMap<String, String>>>,
}

impl World {
    pub fn new(record: &Record) -> World {
        World {
            record: record.clone(),
            plans: Arc::default(),
            slow: Arc::default(),
            keys: Arc::default(),
            executions: Arc::default(),
            data: Arc::default(),
        }
    }
}

/// Starts an engine; returns its port. Its threads end with the process.
pub fn start_engine(world: &World, name: &str) -> Result<u16, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let port = listener.local_addr().map_err(|e| e.to_string())?.port();
    let (world, name) = (world.clone(), name.to_string());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, name) = (world.clone(), name.clone());
            std::thread::spawn(move || serve(&world, &name, stream));
        }
    });
    Ok(port)
}

/// Reads one line without its end.
fn read_line(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        stream.read_exact(&mut byte)?;
        line.push(byte[0]);
    }
    line.truncate(line.len() - 2);
    Ok(String::from_utf8_lossy(&line).into_owned())
}

fn serve(world: &World, name: &str, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    // The writer is shared by the executions, and taken away by a reset.
    let Ok(writer) = stream.try_clone() else {
        return;
    };
    let writer = Arc::new(Mutex::new(Some(writer)));
    let mut here = Vec::new();
    while let Ok(line) = read_line(&mut stream) {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["want", id, _, len] => {
                let mut statement = vec![0; len.parse::<usize>().unwrap_or(0) + 2];
                if stream.read_exact(&mut statement).is_err() {
                    return;
                }
                let at = begin(world, name, id);
                here.push(at);
                let (world, writer) = (world.clone(), writer.clone());
                std::thread::spawn(move || run(&world, at, &writer));
            }
            ["busy" | "there", tag] => {
                let answer = format!("{tag} READY stats=util:0.10;inflight:0;x0:0.05\r\n");
                send(&writer, answer.as_bytes());
            }
            ["never_mind", id] => {
                let mut executions = world.executions.lock().unwrap();
                for at in &here {
                    let execution = &mut executions[*at];
                    if execution.id == id {
                        let ms = world.record.line(&format!("{name}: {id} is given up"));
                        execution.given_up.get_or_insert(ms);
                    }
                }
            }
            _ => {}
        }
        if writer.lock().unwrap().is_none() {
            return;
        }
    }
    // The front has closed the connection: what is open on it is given up.
    if writer.lock().unwrap().is_some() {
        let ms = world.record.ms();
        let mut executions = world.executions.lock().unwrap();
        for at in here {
            executions[at].given_up.get_or_insert(ms);
        }
    }
}

fn send(writer: &Mutex<Option<TcpStream>>, bytes: &[u8]) {
    if let Some(stream) = &mut *writer.lock().unwrap() {
        let _ = stream.write_all(bytes);
    }
}

/// Records that a statement has come whole; returns its place among the executions.
fn begin(world: &World, name: &str, id: &str) -> usize {
    let key = world
        .keys
        .lock()
        .unwrap()
        .get(id)
        .cloned()
        .unwrap_or_default();
    let arrived = world
        .record
        .line(&format!("{name}: {id} of key {key} begins"));
    let mut executions = world.executions.lock().unwrap();
    executions.push(Execution {
        engine: name.to_string(),
        id: id.to_string(),
        key,
        arrived,
        ..Execution::default()
    });
    executions.len() - 1
}

/// Runs one statement.
fn run(world: &World, at: usize, writer: &Mutex<Option<TcpStream>>) {
    let Execution {
        engine: name,
        id,
        key,
        ..
    } = world.executions.lock().unwrap()[at].clone();
    let start = Instant::now();
    let mut plan = world
        .plans
        .lock()
        .unwrap()
        .get(&id)
        .copied()
        .unwrap_or(Plan {
            run_ms: 20,
            reset_ms: None,
        });
    if let Some((slow, times)) = &*world.slow.lock().unwrap() {
        plan.run_ms *= if *slow == name { *times } else { 1 };
    }
    if let Some(reset_ms) = plan.reset_ms {
        sleep_ms(reset_ms);
        let reset = world.record.line(&format!(
            "{name}: resets the connection of {id}, which runs on"
        ));
        world.executions.lock().unwrap()[at].reset = Some(reset);
        if let Some(stream) = writer.lock().unwrap().take() {
            // Its reader wakes and closes the socket too: the last close resets the connection.
            reset_at_close(&stream);
            let _ = stream.shutdown(Shutdown::Read);
        }
    }
    let left = Duration::from_millis(plan.run_ms).saturating_sub(start.elapsed());
    std::thread::sleep(left);
    let ended = world
        .record
        .line(&format!("{name}: {id} of key {key} has written its data"));
    world.executions.lock().unwrap()[at].ended = Some(ended);
    world.data.lock().unwrap().insert(key, id.to_string());
    let row = "a\tb\tc\n";
    let answer = format!("{id} ACK batches=1 {}\r\n{row}\r\n", row.len());
    send(writer, answer.as_bytes());
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    record: Record,
    name: String,
    next: i32,
    answers: Arc<(Mutex<HashMap<i32, String>>, Condvar)>,
}

fn string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend_from_slice(&(text.len() as u32).to_be_bytes());
    out.extend_from_slice(text);
}

fn frame(method: &str, number: i32, arguments: &[u8]) -> Vec<u8> {
    let mut message = 0x8001_0001u32.to_be_bytes().to_vec();
    string(&mut message, method.as_bytes());
    message.extend_from_slice(&number.to_be_bytes());
    message.extend_from_slice(arguments);
    let mut frame = (message.len() as u32).to_be_bytes().to_vec();
    frame.extend(message);
    frame
}

/// What an answer says: `served`, `refused`, `failed`, or an application exception.
fn kind(message: &[u8]) -> Option<(i32, String)> {
    let is_exception = *message.get(3)? == 3;
    let name_len = u32::from_be_bytes(message.get(4..8)?.try_into().ok()?) as usize;
    let rest = message.get(8 + name_len..)?;
    let number = i32::from_be_bytes(rest.get(..4)?.try_into().ok()?);
    let field = i16::from_be_bytes(rest.get(5..7)?.try_into().ok()?);
    let kind = match (is_exception, field) {
        (true, _) => "exception",
        (_, 0) => "served",
        (_, 1) => "refused",
        _ => "failed",
    };
    Some((number, kind.to_string()))
}

impl Client {
    /// Opens a connection and waits until the front says that it is well, for 10 s.
    pub fn connect(record: &Record, name: &str, port: u16) -> Result<Client, Failure> {
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
        let mut reader = stream.try_clone().map_err(|e| e.to_string())?;
        let answers: Arc<(Mutex<HashMap<i32, String>>, Condvar)> = Arc::default();
        let (told, log, who) = (answers.clone(), record.clone(), name.to_string());
        std::thread::spawn(move || loop {
            let mut head = [0; 4];
            if reader.read_exact(&mut head).is_err() {
                log.line(&format!("{who}: its connection has ended"));
                return;
            }
            let mut message = vec![0; u32::from_be_bytes(head) as usize];
            if reader.read_exact(&mut message).is_err() {
                return;
            }
            if let Some((number, kind)) = kind(&message) {
                log.line(&format!("{who}: number {number} is answered: {kind}"));
                told.0.lock().unwrap().insert(number, kind);
                told.1.notify_all();
            }
        });
        let mut client = Client {
            stream,
            record: record.clone(),
            name: name.to_string(),
            next: 1,
            answers,
        };
        let number = client.number();
        let arguments = [2, 0, 1, 1, 0];
        client.write(&frame("isWell", number, &arguments))?;
        match client.wait(number, 5_000).as_deref() {
            Some("served") => Ok(client),
            other => Err(format!("the front is not well: {other:?}")),
        }
    }

    fn number(&mut self) -> i32 {
        self.next += 1;
        self.next - 1
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        self.stream.write_all(bytes).map_err(|e| e.to_string())
    }

    /// Sends a statement; returns its number.
    pub fn serve(&mut self, fields: &[(&str, &str)], body: &str) -> Result<i32, Failure> {
        let number = self.number();
        let mut arguments = vec![13, 0, 1, 11, 11];
        arguments.extend_from_slice(&(fields.len() as u32).to_be_bytes());
        for (name, value) in fields {
            string(&mut arguments, name.as_bytes());
            string(&mut arguments, value.as_bytes());
        }
        arguments.extend_from_slice(&[11, 0, 2]);
        string(&mut arguments, body.as_bytes());
        arguments.push(0);
        let told: Vec<String> = fields.iter().map(|(n, v)| format!("{n}={v}")).collect();
        self.record.line(&format!(
            "{}: sends number {number}: {}",
            self.name,
            told.join(" ")
        ));
        self.write(&frame("serve", number, &arguments))?;
        Ok(number)
    }

    /// Waits for the answer to a number, for this time at most.
    pub fn wait(&self, number: i32, ms: u64) -> Option<String> {
        let by = Instant::now() + Duration::from_millis(ms);
        let mut answers = self.answers.0.lock().unwrap();
        loop {
            if let Some(kind) = answers.get(&number) {
                return Some(kind.clone());
            }
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            answers = self.answers.1.wait_timeout(answers, left).unwrap().0;
        }
    }
}
