//! One connection to an engine that speaks PostgreSQL: how each client message is answered. The
//! submodule `statements` executes the statements.

mod statements;

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::Duration;

use hallmux_postgres::wire::{self, ClientMessage, Message};

use super::portal::{Engine, Link};
use super::record::EngineEventKind;
use super::task::{first_parameter, parse_task, task_from_fields, Task};

const CHUNK_BYTES: usize = 32 << 10; // read and written at once
const TEXT_TYPE: u32 = 25; // PostgreSQL's type OID of `text`

/// A portal: the statement bound to it and how far its rows have been sent.
struct Portal {
    text: String,
    task: Option<Task>,
    /// Rows sent so far.
    sent: usize,
    started: bool,
}

/// Why a message could not be completed: an SQLSTATE to send to the client, or the loss of the
/// connection.
enum Interruption {
    Error(String),
    Connection(std::io::Error),
}

impl From<std::io::Error> for Interruption {
    fn from(e: std::io::Error) -> Interruption {
        Interruption::Connection(e)
    }
}

/// The state of one connection: its buffers, prepared statements, portals and transaction.
pub(super) struct Conversation {
    engine: Arc<Engine>,
    stream: TcpStream,
    pub(super) number: u32,
    pub(super) link: Option<Arc<Link>>,
    pub(super) input: Vec<u8>,
    pub(super) out: Vec<u8>,
    statements: HashMap<Vec<u8>, String>,
    portals: HashMap<Vec<u8>, Portal>,
    status: u8,
    skipping: bool,
    /// Ids of statements whose effects become lasting when the transaction commits.
    pending: Vec<String>,
}

impl Conversation {
    pub(super) fn new(engine: Arc<Engine>, stream: TcpStream, number: u32) -> Conversation {
        Conversation {
            engine,
            stream,
            number,
            link: None,
            input: Vec::new(),
            out: Vec::new(),
            statements: HashMap::new(),
            portals: HashMap::new(),
            status: b'I',
            skipping: false,
            pending: Vec::new(),
        }
    }

    pub(super) fn read_input(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; CHUNK_BYTES];
        match self.stream.read(&mut chunk)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            n => {
                self.input.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    pub(super) fn flush(&mut self) -> std::io::Result<()> {
        let until = self.engine.faults.stalled_until.load(SeqCst) as i64;
        let left = until - self.engine.records.now();
        if left > 0 {
            std::thread::sleep(Duration::from_micros(left as u64));
        }
        self.stream.write_all(&self.out)?;
        self.out.clear();
        Ok(())
    }

    fn record(&self, kind: EngineEventKind) {
        if self.engine.records_statements {
            self.engine
                .records
                .note(self.engine.number, self.number, kind);
        }
    }

    pub(super) fn serve_messages(&mut self) -> std::io::Result<()> {
        loop {
            let mut at = 0;
            let input = std::mem::take(&mut self.input);
            while let Ok(Some(Message { tag, body, len })) = wire::message(&input[at..], 64 << 20) {
                at += len;
                let message = wire::client_message(tag, body).map_err(std::io::Error::other)?;
                if message == ClientMessage::Terminate {
                    return Ok(());
                }
                match self.handle(message) {
                    Ok(()) => {}
                    Err(Interruption::Connection(e)) => return Err(e),
                    Err(Interruption::Error(code)) => self.write_error(&code),
                }
            }
            self.input = input[at..].to_vec();
            if !self.out.is_empty() {
                self.flush()?;
            }
            self.read_input()?;
        }
    }

    fn write_error(&mut self, code: &str) {
        wire::write(&mut self.out, b'E', |out| {
            for (kind, value) in [
                (b'S', "ERROR"),
                (b'V', "ERROR"),
                (b'C', code),
                (b'M', "as the statement asked"),
            ] {
                out.push(kind);
                wire::write_string(out, value.as_bytes());
            }
            out.push(0);
        });
        self.skipping = true;
        self.pending.clear();
        self.status = if self.status == b'I' { b'I' } else { b'E' };
    }

    /// Handles one client message. After an error, all messages up to the next Sync are skipped.
    fn handle(&mut self, message: ClientMessage) -> Result<(), Interruption> {
        if self.skipping && message != ClientMessage::Sync {
            return Ok(());
        }
        match message {
            ClientMessage::Query(text) => self.query(&String::from_utf8_lossy(text)),
            ClientMessage::Parse { name, text, .. } => self.parse(name, text),
            ClientMessage::Bind {
                portal,
                statement,
                rest,
            } => self.bind(portal, statement, rest),
            ClientMessage::Describe {
                statement: true,
                name,
            } => self.describe_statement(name),
            ClientMessage::Describe {
                statement: false,
                name,
            } => self.describe_portal(name),
            ClientMessage::Execute { portal, rows } => self.execute_portal(portal, rows as usize),
            ClientMessage::Close { statement, name } => {
                match statement {
                    true => _ = self.statements.remove(name),
                    false => _ = self.portals.remove(name),
                }
                self.out.extend_from_slice(wire::CLOSE_COMPLETE);
                Ok(())
            }
            ClientMessage::Sync => {
                self.skipping = false;
                self.sync()
            }
            ClientMessage::Flush => Ok(self.flush()?),
            ClientMessage::FunctionCall | ClientMessage::Copy | ClientMessage::Terminate => Ok(()),
        }
    }

    /// Runs a simple query: its statements one after another, until one fails.
    fn query(&mut self, text: &str) -> Result<(), Interruption> {
        let ended = text
            .split(';')
            .filter(|part| !part.trim().is_empty())
            .try_for_each(|part| {
                let mut portal = Portal {
                    task: parse_task(part),
                    text: part.into(),
                    sent: 0,
                    started: false,
                };
                if portal.task.is_some() {
                    self.describe_row();
                }
                self.execute(&mut portal, usize::MAX).map(|_| ())
            });
        if text.trim().is_empty() {
            self.out.extend_from_slice(wire::EMPTY_QUERY);
        }
        if let Err(Interruption::Error(code)) = &ended {
            self.write_error(code);
            self.skipping = false;
        } else {
            ended?;
        }
        self.sync()
    }

    fn parse(&mut self, name: &[u8], text: &[u8]) -> Result<(), Interruption> {
        if self
            .engine
            .faults
            .inject(&self.engine.faults.refused_parses)
        {
            return Err(Interruption::Error("42P01".into()));
        }
        if !name.is_empty() && self.statements.contains_key(name) {
            return Err(Interruption::Error("42P05".into()));
        }
        self.statements
            .insert(name.to_vec(), String::from_utf8_lossy(text).into_owned());
        self.out.extend_from_slice(wire::PARSE_COMPLETE);
        Ok(())
    }

    fn bind(&mut self, portal: &[u8], statement: &[u8], rest: &[u8]) -> Result<(), Interruption> {
        let text = self.statements.get(statement).cloned();
        let text = text.ok_or_else(|| Interruption::Error("26000".into()))?;
        let value =
            first_parameter(rest).map(|value| task_from_fields(&String::from_utf8_lossy(value)));
        let task = if text.contains("$1") {
            value
        } else {
            parse_task(&text)
        };
        self.portals.insert(
            portal.to_vec(),
            Portal {
                text,
                task,
                sent: 0,
                started: false,
            },
        );
        self.out.extend_from_slice(wire::BIND_COMPLETE);
        Ok(())
    }

    fn describe_statement(&mut self, name: &[u8]) -> Result<(), Interruption> {
        let text = self
            .statements
            .get(name)
            .cloned()
            .ok_or_else(|| Interruption::Error("26000".into()))?;
        let parameters = u16::from(text.contains("$1"));
        wire::write(&mut self.out, b't', |out| {
            out.extend_from_slice(&parameters.to_be_bytes());
            (0..parameters).for_each(|_| out.extend_from_slice(&TEXT_TYPE.to_be_bytes()));
        });
        self.describe_rows_of(&text);
        Ok(())
    }

    fn describe_portal(&mut self, name: &[u8]) -> Result<(), Interruption> {
        let text = self.portals.get(name).map(|portal| portal.text.clone());
        let text = text.ok_or_else(|| Interruption::Error("34000".into()))?;
        self.describe_rows_of(&text);
        Ok(())
    }

    fn describe_rows_of(&mut self, text: &str) {
        match text.contains("run(") {
            true => self.describe_row(),
            false => self.out.extend_from_slice(wire::NO_DATA),
        }
    }

    /// Executes a portal and sends at most `rows` rows; 0 means all of them.
    fn execute_portal(&mut self, name: &[u8], rows: usize) -> Result<(), Interruption> {
        let portal = self.portals.remove(name);
        let mut portal = portal.ok_or_else(|| Interruption::Error("34000".into()))?;
        let limit = if rows == 0 { usize::MAX } else { rows };
        let suspended = self.execute(&mut portal, limit)?;
        if suspended {
            self.portals.insert(name.to_vec(), portal);
        }
        Ok(())
    }

    fn describe_row(&mut self) {
        wire::write(&mut self.out, b'T', |out| {
            out.extend_from_slice(&1u16.to_be_bytes());
            wire::write_string(out, b"run");
            out.extend_from_slice(&[0; 6]);
            out.extend_from_slice(&TEXT_TYPE.to_be_bytes());
            out.extend_from_slice(&(-1i16).to_be_bytes());
            out.extend_from_slice(&(-1i32).to_be_bytes());
            out.extend_from_slice(&[0; 2]);
        });
    }

    fn sync(&mut self) -> Result<(), Interruption> {
        if self.status == b'I' {
            self.record_lasting_effects();
            self.portals.clear();
        }
        wire::write_ready(&mut self.out, self.status);
        Ok(())
    }
}
