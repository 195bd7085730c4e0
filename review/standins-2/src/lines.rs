//! A stand-in query engine of the native protocol: lines of words.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

use crate::net;
use crate::record::{sleep_ms, Record};

/// A statement that has reached the engine whole.
#[derive(Clone, Debug)]
pub struct Want {
    pub id: String,
    pub class: String,
    pub body: String,
}

/// What the engine does with a statement.
#[derive(Clone, Copy, Debug)]
pub enum Plan {
    /// Runs it for so many milliseconds, then answers.
    Answer(f64),
}

/// A statement at an engine, from its arrival to its end.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub want: Want,
    pub from: f64,
    /// When it was answered, given up, or its connection ended.
    pub to: Option<f64>,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;
pub type Behaviour = Arc<dyn Fn(&Want) -> Plan + Send + Sync>;

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: String,
    runs: Runs,
    record: Record,
    behaviour: Behaviour,
    /// Classes whose runs are not written to the record one by one.
    quiet: Arc<HashSet<String>>,
}

struct Connection {
    output: Mutex<TcpStream>,
    given_up: Mutex<HashSet<String>>,
    in_hand: Mutex<usize>,
}

impl Engine {
    pub fn start(
        record: &Record,
        name: &str,
        runs: &Runs,
        quiet: &[&str],
        behaviour: Behaviour,
    ) -> std::io::Result<Engine> {
        let listener = net::listener()?;
        let engine = Engine {
            name: name.to_string(),
            address: listener.local_addr()?.to_string(),
            runs: runs.clone(),
            record: record.clone(),
            behaviour,
            quiet: Arc::new(quiet.iter().map(|class| class.to_string()).collect()),
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

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(output) = stream.try_clone() else {
            return;
        };
        let connection = Arc::new(Connection {
            output: Mutex::new(output),
            given_up: Mutex::default(),
            in_hand: Mutex::default(),
        });
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            match input.read_line(&mut line) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["want", id, fields, len] => {
                    let len: usize = len.parse().unwrap_or(0);
                    let mut body = vec![0; len + 2];
                    if input.read_exact(&mut body).is_err() {
                        break;
                    }
                    body.truncate(len);
                    let class = fields
                        .split(',')
                        .find_map(|field| field.strip_prefix("class="))
                        .unwrap_or_default();
                    let want = Want {
                        id: id.to_string(),
                        class: class.to_string(),
                        body: String::from_utf8_lossy(&body).into_owned(),
                    };
                    self.take(want, fields, &connection);
                }
                ["never_mind", id] => {
                    self.record
                        .line(&format!("engine {}: {id} is given up", self.name));
                    self.end(id);
                    connection
                        .given_up
                        .lock()
                        .unwrap_or_else(|e| e.into_inner())
                        .insert(id.to_string());
                }
                ["there", tag] | ["busy", tag] => {
                    let answer = format!("{tag} READY {} 0\r\n\r\n", self.report(&connection));
                    write(&connection, &answer);
                }
                _ => {}
            }
        }
    }

    fn report(&self, connection: &Connection) -> String {
        let in_hand = *connection.in_hand.lock().unwrap_or_else(|e| e.into_inner());
        format!("stats=inflight:{in_hand};util:0.20")
    }

    fn take(&self, want: Want, fields: &str, connection: &Arc<Connection>) {
        let from = if self.quiet.contains(&want.class) {
            self.record.now()
        } else {
            self.record.line(&format!(
                "engine {}: got {} ({fields}), {}",
                self.name, want.id, want.body
            ))
        };
        self.runs
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(Run {
                engine: self.name.clone(),
                want: want.clone(),
                from,
                to: None,
            });
        *connection.in_hand.lock().unwrap_or_else(|e| e.into_inner()) += 1;
        let plan = (self.behaviour)(&want);
        let (engine, connection) = (self.clone(), connection.clone());
        std::thread::spawn(move || engine.run(&want, plan, &connection));
    }

    fn run(&self, want: &Want, plan: Plan, connection: &Connection) {
        match plan {
            Plan::Answer(ms) => {
                sleep_ms(ms);
                let given_up = connection
                    .given_up
                    .lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .contains(&want.id);
                *connection.in_hand.lock().unwrap_or_else(|e| e.into_inner()) -= 1;
                if given_up {
                    return;
                }
                if !self.quiet.contains(&want.class) {
                    self.record
                        .line(&format!("engine {}: answers {}", self.name, want.id));
                }
                self.end(&want.id);
                let rows = "a\tb\tc\n";
                let answer = format!(
                    "{} ACK batches=1,{} {}\r\n{rows}\r\n",
                    want.id,
                    self.report(connection),
                    rows.len()
                );
                write(connection, &answer);
            }
        }
    }

    fn end(&self, id: &str) {
        let at = self.record.now();
        let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
        let run = runs
            .iter_mut()
            .find(|run| run.want.id == id && run.engine == self.name && run.to.is_none());
        if let Some(run) = run {
            run.to = Some(at);
        }
    }
}

fn write(connection: &Connection, answer: &str) {
    let mut output = connection.output.lock().unwrap_or_else(|e| e.into_inner());
    let _ = output.write_all(answer.as_bytes());
}
