//! A PostgreSQL session over a socket: sends messages, reads messages, and derives the outcome of a
//! statement.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use hallmux_postgres::wire;

use crate::check::{Outcome, StatementRecord};

/// Time limit for one message; longer than any statement may take.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(8);

impl Session {
    pub fn open(at: SocketAddr, user: &str, requests_encryption: bool) -> std::io::Result<Session> {
        let stream = TcpStream::connect(at)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(MESSAGE_TIMEOUT))?;
        let mut session = Session {
            stream,
            input: Vec::new(),
            out: Vec::new(),
            key: [0; 8],
        };
        if requests_encryption {
            expect_refused_encryption(&mut session.stream)?;
        }
        wire::write_startup(&mut session.out, &[("user", user), ("database", "x")]);
        session.send()?;
        loop {
            let (tag, body) = session.read()?;
            match (tag, body.try_into()) {
                (b'K', Ok(key)) => session.key = key,
                (b'E', _) => return Err(ErrorKind::PermissionDenied.into()),
                (b'Z', _) => return Ok(session),
                _ => {}
            }
        }
    }

    pub fn send(&mut self) -> std::io::Result<()> {
        self.stream.write_all(&self.out)?;
        self.out.clear();
        Ok(())
    }

    /// Reads the next message, skipping notices and parameter reports.
    pub fn read(&mut self) -> std::io::Result<Message> {
        loop {
            let complete = wire::message(&self.input, 1 << 24).map_err(std::io::Error::other)?;
            if let Some(wire::Message { tag, body, len }) = complete {
                let message = (tag, body.to_vec());
                self.input.drain(..len);
                if !matches!(tag, b'N' | b'S') {
                    return Ok(message);
                }
                continue;
            }
            let mut chunk = [0; 16 << 10];
            match self.stream.read(&mut chunk)? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                n => self.input.extend_from_slice(&chunk[..n]),
            }
        }
    }

    /// Reads all messages up to the end of the unit.
    pub fn unit(&mut self) -> std::io::Result<Vec<Message>> {
        let mut all = Vec::new();
        loop {
            let message = self.read()?;
            let last = message.0 == b'Z';
            all.push(message);
            if last {
                return Ok(all);
            }
        }
    }

    /// Prepares a statement.
    pub fn prepare(&mut self, name: &str, text: &str) -> std::io::Result<()> {
        self.parse(name, text);
        self.sync();
        self.send()?;
        self.unit().map(|_| ())
    }

    /// Runs a prepared statement; returns an error unless it completes.
    pub fn ask(&mut self, statement: &str, value: &str) -> std::io::Result<()> {
        self.bind("", statement, value);
        self.execute("", 0);
        self.sync();
        self.send()?;
        match self.unit()?.iter().any(|(tag, _)| *tag == b'E') {
            true => Err(ErrorKind::InvalidData.into()),
            false => Ok(()),
        }
    }

    pub fn parse(&mut self, name: &str, text: &str) {
        wire::write(&mut self.out, b'P', |out| {
            wire::write_string(out, name.as_bytes());
            wire::write_string(out, text.as_bytes());
            out.extend_from_slice(&[0, 0]);
        });
    }

    pub fn bind(&mut self, portal: &str, statement: &str, value: &str) {
        wire::write(&mut self.out, b'B', |out| {
            wire::write_string(out, portal.as_bytes());
            wire::write_string(out, statement.as_bytes());
            out.extend_from_slice(&[0, 0, 0, 1]);
            out.extend_from_slice(&(value.len() as u32).to_be_bytes());
            out.extend_from_slice(value.as_bytes());
            out.extend_from_slice(&[0, 0]);
        });
    }

    pub fn execute(&mut self, portal: &str, rows: u32) {
        wire::write(&mut self.out, b'E', |out| {
            wire::write_string(out, portal.as_bytes());
            out.extend_from_slice(&rows.to_be_bytes());
        });
    }

    pub(super) fn write_name_message(&mut self, tag: u8, kind: u8, name: &str) {
        wire::write(&mut self.out, tag, |out| {
            out.push(kind);
            wire::write_string(out, name.as_bytes());
        });
    }

    pub fn sync(&mut self) {
        self.out.extend_from_slice(wire::SYNC);
    }

    /// Requests the cancellation of the running statement; returns when the front has accepted the
    /// request.
    pub fn cancel(&self, at: SocketAddr) -> std::io::Result<()> {
        let mut cancel = TcpStream::connect(at)?;
        cancel.set_read_timeout(Some(MESSAGE_TIMEOUT))?;
        let [a, b, c, d, e, f, g, h] = self.key;
        let (process, secret) = (
            u32::from_be_bytes([a, b, c, d]),
            u32::from_be_bytes([e, f, g, h]),
        );
        let mut packet = Vec::new();
        wire::write_cancel(&mut packet, wire::CancelKey { process, secret });
        cancel.write_all(&packet)?;
        // The front then closes the connection, as PostgreSQL servers do.
        let _ = cancel.read(&mut [0]);
        Ok(())
    }

    pub fn query(&mut self, text: &str) {
        wire::write_query(&mut self.out, text.as_bytes());
    }
}

/// A PostgreSQL session over a socket.
pub struct Session {
    pub(super) stream: TcpStream,
    pub(super) input: Vec<u8>,
    pub(super) out: Vec<u8>,
    /// The process number and secret for a cancel request.
    pub(super) key: [u8; 8],
}

/// The tag and the body of a message.
pub type Message = (u8, Vec<u8>);

/// Returns the SQLSTATE of an error message; empty if there is none.
pub fn code(message: &Message) -> String {
    String::from_utf8_lossy(wire::field(&message.1, b'C').unwrap_or_default()).into_owned()
}

/// Returns the tags of the messages, one character each.
pub fn tags(messages: &[Message]) -> String {
    messages.iter().map(|(tag, _)| *tag as char).collect()
}

/// Returns whether a row belongs to the statement and is its `n`th row.
fn is_row(message: &Message, id: &str, n: usize) -> bool {
    let prefix = format!("{id}:{n}:");
    message
        .1
        .get(6..)
        .is_some_and(|text| text.starts_with(prefix.as_bytes()))
}

/// Derives the outcome of a statement from the messages of its answer.
pub(super) fn outcome_of(messages: &[Message], id: &str) -> Outcome {
    if let Some(error) = messages.iter().find(|m| m.0 == b'E') {
        return Outcome::Error(code(error));
    }
    let rows: Vec<&Message> = messages.iter().filter(|m| m.0 == b'D').collect();
    match rows.iter().enumerate().all(|(n, row)| is_row(row, id, n)) {
        true => Outcome::Completed { rows: rows.len() },
        false => Outcome::Spoilt,
    }
}

/// Derives the outcome from an error of the connection: `Nothing` after a timeout, else `Lost`.
pub(super) fn outcome_of_error(e: &std::io::Error) -> Outcome {
    match e.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Outcome::Nothing,
        _ => Outcome::Lost,
    }
}

/// Opens a session and sends one simple query; all of its bytes are written when this function
/// returns.
pub fn open_with_query(at: SocketAddr, text: &str) -> std::io::Result<Session> {
    let mut session = Session::open(at, "portal", false)?;
    session.query(text);
    session.send()?;
    Ok(session)
}

/// Waits for the outcome of the simple query that was sent.
pub fn answer(session: &mut Session, asked: &StatementRecord) -> Outcome {
    session.unit().map_or_else(
        |e| outcome_of_error(&e),
        |messages| outcome_of(&messages, &asked.id),
    )
}

/// Makes a round trip to the front. The front reads its input in the order of arrival, so it has
/// accepted everything sent to it before.
pub fn round_trip(at: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT))?;
    expect_refused_encryption(&mut stream)
}

/// Requests encryption, which the server must refuse.
fn expect_refused_encryption(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"\0\0\0\x08\x04\xd2\x16\x2f")?;
    let mut no = [0];
    stream.read_exact(&mut no)?;
    if no == *b"N" {
        Ok(())
    } else {
        Err(ErrorKind::InvalidData.into())
    }
}
