//! One connection of an engine that speaks PostgreSQL: what it says to each message.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::Duration;

use hallmux_postgres::wire::{self, ClientMessage, Message};

use super::portal::{Engine, Link};
use super::record::Kind;
use super::task::{parameter, task, told, Task};

const CHUNK: usize = 32 << 10; // bytes read and written at once

struct Portal {
    text: String,
    task: Option<Task>,
    /// Rows that were sent.
    sent: usize,
    begun: bool,
}

/// An error that a statement ends with, or the end of the connection.
enum Ends {
    Error(String),
    Connection(std::io::Error),
}

impl From<std::io::Error> for Ends {
    fn from(e: std::io::Error) -> Ends {
        Ends::Connection(e)
    }
}

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
    /// What takes effect with the transaction.
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

    pub(super) fn fill(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; CHUNK];
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

    fn note(&self, kind: Kind) {
        if self.engine.notes {
            self.engine.records.note(self.engine.number, self.number, kind);
        }
    }

    pub(super) fn talk(&mut self) -> std::io::Result<()> {
        loop {
            let mut at = 0;
            let input = std::mem::take(&mut self.input);
            while let Ok(Some(Message { tag, body, len })) = wire::message(&input[at..], 64 << 20) {
                at += len;
                let said = wire::client_message(tag, body).map_err(std::io::Error::other)?;
                if said == ClientMessage::Terminate {
                    return Ok(());
                }
                match self.take(said) {
                    Ok(()) => {}
                    Err(Ends::Connection(e)) => return Err(e),
                    Err(Ends::Error(code)) => self.fail(&code),
                }
            }
            self.input = input[at..].to_vec();
            if !self.out.is_empty() {
                self.flush()?;
            }
            self.fill()?;
        }
    }

    fn fail(&mut self, code: &str) {
        wire::write(&mut self.out, b'E', |out| {
            for (kind, value) in
                [(b'S', "ERROR"), (b'V', "ERROR"), (b'C', code), (b'M', "as the statement asked")]
            {
                out.push(kind);
                wire::write_string(out, value.as_bytes());
            }
            out.push(0);
        });
        self.skipping = true;
        self.pending.clear();
        self.status = if self.status == b'I' { b'I' } else { b'E' };
    }

    fn take(&mut self, said: ClientMessage) -> Result<(), Ends> {
        if self.skipping && said != ClientMessage::Sync {
            return Ok(());
        }
        match said {
            ClientMessage::Query(text) => {
                let text = String::from_utf8_lossy(text).into_owned();
                let ended = text.split(';').filter(|part| !part.trim().is_empty()).try_for_each(|part| {
                    let mut portal = Portal { task: task(part), text: part.into(), sent: 0, begun: false };
                    if portal.task.is_some() {
                        self.describe_row();
                    }
                    self.execute(&mut portal, usize::MAX).map(|_| ())
                });
                if text.trim().is_empty() {
                    self.out.extend_from_slice(wire::EMPTY_QUERY);
                }
                if let Err(Ends::Error(code)) = &ended {
                    self.fail(code);
                    self.skipping = false;
                } else {
                    ended?;
                }
                self.sync()?;
            }
            ClientMessage::Parse { name, text, .. } => {
                let refuses = &self.engine.faults.refused_parses;
                if refuses.fetch_update(SeqCst, SeqCst, |n| n.checked_sub(1)).is_ok() {
                    self.engine.faults.played.fetch_add(1, SeqCst);
                    return Err(Ends::Error("42P01".into()));
                }
                if !name.is_empty() && self.statements.contains_key(name) {
                    return Err(Ends::Error("42P05".into()));
                }
                self.statements.insert(name.to_vec(), String::from_utf8_lossy(text).into_owned());
                self.out.extend_from_slice(wire::PARSE_COMPLETE);
            }
            ClientMessage::Bind { portal, statement, rest } => {
                let text = self.statements.get(statement).cloned();
                let text = text.ok_or_else(|| Ends::Error("26000".into()))?;
                let value = parameter(rest).map(|value| told(&String::from_utf8_lossy(value)));
                let task = if text.contains("$1") { value } else { task(&text) };
                self.portals.insert(portal.to_vec(), Portal { text, task, sent: 0, begun: false });
                self.out.extend_from_slice(wire::BIND_COMPLETE);
            }
            ClientMessage::Describe { statement, name } => {
                let text = match statement {
                    true => self.statements.get(name).cloned(),
                    false => self.portals.get(name).map(|p| p.text.clone()),
                };
                let text =
                    text.ok_or_else(|| Ends::Error(if statement { "26000" } else { "34000" }.into()))?;
                if statement {
                    let takes = u16::from(text.contains("$1"));
                    wire::write(&mut self.out, b't', |out| {
                        out.extend_from_slice(&takes.to_be_bytes());
                        (0..takes).for_each(|_| out.extend_from_slice(&25u32.to_be_bytes()));
                    });
                }
                match text.contains("run(") {
                    true => self.describe_row(),
                    false => self.out.extend_from_slice(wire::NO_DATA),
                }
            }
            ClientMessage::Execute { portal, rows } => {
                let found = self.portals.remove(portal);
                let mut found = found.ok_or_else(|| Ends::Error("34000".into()))?;
                let limit = if rows == 0 { usize::MAX } else { rows as usize };
                let suspended = self.execute(&mut found, limit)?;
                if suspended {
                    self.portals.insert(portal.to_vec(), found);
                }
            }
            ClientMessage::Close { statement, name } => {
                match statement {
                    true => _ = self.statements.remove(name),
                    false => _ = self.portals.remove(name),
                }
                self.out.extend_from_slice(wire::CLOSE_COMPLETE);
            }
            ClientMessage::Sync => {
                self.skipping = false;
                self.sync()?;
            }
            ClientMessage::Flush => self.flush()?,
            ClientMessage::FunctionCall | ClientMessage::Copy | ClientMessage::Terminate => {}
        }
        Ok(())
    }

    fn describe_row(&mut self) {
        wire::write(&mut self.out, b'T', |out| {
            out.extend_from_slice(&1u16.to_be_bytes());
            wire::write_string(out, b"run");
            out.extend_from_slice(&[0; 6]);
            out.extend_from_slice(&25u32.to_be_bytes());
            out.extend_from_slice(&(-1i16).to_be_bytes());
            out.extend_from_slice(&(-1i32).to_be_bytes());
            out.extend_from_slice(&[0; 2]);
        });
    }

    /// Runs a statement, or goes on with one; true if rows are left when the limit is reached.
    fn execute(&mut self, portal: &mut Portal, limit: usize) -> Result<bool, Ends> {
        let first = portal.text.trim_start().split(|c: char| !c.is_ascii_alphabetic()).next();
        let first = first.unwrap_or_default().to_ascii_uppercase();
        if self.status == b'E' && !matches!(first.as_str(), "ROLLBACK" | "COMMIT" | "ABORT" | "END") {
            return Err(Ends::Error("25P02".into()));
        }
        let task = match (&portal.task, first.as_str()) {
            (Some(task), _) => task.clone(),
            (None, "BEGIN" | "START") => {
                self.status = b'T';
                return self.complete("BEGIN", &portal.text);
            }
            (None, "COMMIT" | "END") => {
                let failed = self.status == b'E';
                let lost = &self.engine.faults.lost_commits;
                let left = lost.fetch_update(SeqCst, SeqCst, |n| n.checked_sub(1)).ok();
                if let Some(left) = left.filter(|_| !failed) {
                    self.engine.faults.played.fetch_add(1, SeqCst);
                    if left % 2 == 1 {
                        self.keep();
                    }
                    let _ = self.stream.shutdown(Shutdown::Both);
                    return Err(Ends::Connection(ErrorKind::ConnectionReset.into()));
                }
                self.status = b'I';
                match failed {
                    true => self.pending.clear(),
                    false => self.keep(),
                }
                return self.complete(if failed { "ROLLBACK" } else { "COMMIT" }, &portal.text);
            }
            (None, "ROLLBACK" | "ABORT") => {
                self.status = b'I';
                self.pending.clear();
                return self.complete("ROLLBACK", &portal.text);
            }
            (None, other) => {
                return self.complete(if other == "RESET" { "RESET" } else { "SET" }, &portal.text)
            }
        };
        if !std::mem::replace(&mut portal.begun, true) {
            self.run(&task)?;
        }
        let until = task.rows.min(portal.sent.saturating_add(limit));
        let row = vec![b'x'; task.bytes.max(1)];
        while portal.sent < until {
            wire::write(&mut self.out, b'D', |out| {
                out.extend_from_slice(&1u16.to_be_bytes());
                let mark = format!("{}:{}:", task.id, portal.sent);
                out.extend_from_slice(&((mark.len() + row.len()) as u32).to_be_bytes());
                out.extend_from_slice(mark.as_bytes());
                out.extend_from_slice(&row);
            });
            portal.sent += 1;
            if self.out.len() > CHUNK {
                self.flush()?;
                let lost = &self.engine.faults.lost_results;
                if portal.sent > 200 && lost.fetch_update(SeqCst, SeqCst, |n| n.checked_sub(1)).is_ok() {
                    self.engine.faults.played.fetch_add(1, SeqCst);
                    let _ = self.stream.shutdown(Shutdown::Both);
                    return Err(Ends::Connection(ErrorKind::ConnectionReset.into()));
                }
            }
        }
        if portal.sent < task.rows {
            wire::write(&mut self.out, b's', |_| {});
            return Ok(true);
        }
        wire::write_complete(&mut self.out, &format!("SELECT {}", task.rows));
        if self.engine.notes {
            self.pending.push(task.id);
        }
        Ok(false)
    }

    /// The work of a statement: time, until its end is asked for.
    fn run(&mut self, task: &Task) -> Result<(), Ends> {
        let faults = &self.engine.faults;
        let takes = Duration::from_micros(task.ms * 1000 + faults.slower.load(SeqCst));
        let reset = || Ends::Connection(ErrorKind::ConnectionReset.into());
        let Some(link) = self.link.clone() else { return Ok(()) };
        let Ok(mut running) = link.running.lock() else { return Ok(()) };
        // What was reset begins nothing any more.
        if running.2 {
            return Err(reset());
        }
        self.note(Kind::Began { id: task.id.clone(), key: task.key.clone() });
        (running.0, running.1) = (Some(task.id.clone()), false);
        let waits = link.changed.wait_timeout_while(running, takes, |r| !r.1 && !r.2);
        let Ok((mut running, _)) = waits else { return Ok(()) };
        let mut ends = match (running.1, running.2) {
            (_, true) => Some(reset()),
            (true, _) => Some(Ends::Error("57014".into())),
            _ => None,
        };
        running.1 = false;
        self.engine.over(self.number, &mut running.0);
        if faults.lost_statements.fetch_update(SeqCst, SeqCst, |n| n.checked_sub(1)).is_ok() {
            faults.played.fetch_add(1, SeqCst);
            let _ = self.stream.shutdown(Shutdown::Both);
            ends = Some(reset());
        }
        drop(running);
        match ends {
            Some(ends) => Err(ends),
            None if !task.fail.is_empty() => Err(Ends::Error(task.fail.clone())),
            None => Ok(()),
        }
    }

    fn complete(&mut self, tag: &str, text: &str) -> Result<bool, Ends> {
        wire::write_complete(&mut self.out, tag);
        self.note(Kind::Control { text: text.trim().to_string() });
        Ok(false)
    }

    fn keep(&mut self) {
        for id in std::mem::take(&mut self.pending) {
            self.note(Kind::Kept { id });
        }
    }

    fn sync(&mut self) -> Result<(), Ends> {
        if self.status == b'I' {
            self.keep();
            self.portals.clear();
        }
        wire::write_ready(&mut self.out, self.status);
        Ok(())
    }
}
