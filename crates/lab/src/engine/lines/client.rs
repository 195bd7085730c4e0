//! A client that sends statements to a front over Thrift.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::check::Outcome;

/// Sends a statement over a new connection and returns its outcome; rows of another statement count
/// as `Spoilt`.
pub fn ask(front: SocketAddr, number: u64, fields: &[(&str, &str)], statement: &str) -> Outcome {
    ask_with_retry_hint(front, number, fields, statement).0
}

/// Like `ask`; also returns whether a rejection names a time to retry.
pub fn ask_with_retry_hint(
    front: SocketAddr,
    number: u64,
    fields: &[(&str, &str)],
    statement: &str,
) -> (Outcome, bool) {
    let Ok(mut client) = Client::open(front) else {
        return (Outcome::Lost, false);
    };
    let outcome = client
        .send(number, fields, statement)
        .map_or(Outcome::Lost, |()| client.answer());
    (outcome, client.has_retry_hint)
}

/// Sends a statement and returns the body of a completed answer unchanged; `None` for any other
/// answer.
pub fn ask_body(
    front: SocketAddr,
    number: u64,
    fields: &[(&str, &str)],
    statement: &str,
) -> std::io::Result<Option<Vec<u8>>> {
    let mut client = Client::open(front)?;
    client.send(number, fields, statement)?;
    let reply = client.read_reply()?;
    // After the header: the result field and, inside it, the body field with the body's length.
    let Some([12, 0, 0, 11, 0, 1, a, b, c, d, rest @ ..]) = reply.get(REPLY_HEADER_BYTES..) else {
        return Ok(None);
    };
    let len = u32::from_be_bytes([*a, *b, *c, *d]) as usize;
    Ok(rest.get(..len).map(<[u8]>::to_vec))
}

/// Bytes of a reply before its result: message type, method name and sequence number.
const REPLY_HEADER_BYTES: usize = 4 + 4 + 5 + 4;

/// A client connection that carries one statement at a time.
pub struct Client {
    stream: TcpStream,
    /// The id that every row of the statement carries.
    statement_id: String,
    /// Whether the last answer named a time to retry.
    has_retry_hint: bool,
}

impl Client {
    pub fn open(front: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Client {
            stream,
            statement_id: String::new(),
            has_retry_hint: false,
        })
    }

    /// Sends a statement; all of its bytes are written when this function returns.
    pub fn send(
        &mut self,
        number: u64,
        fields: &[(&str, &str)],
        statement: &str,
    ) -> std::io::Result<()> {
        let id = format!("{number:016x}");
        let all_fields: Vec<(&str, &str)> = fields
            .iter()
            .copied()
            .chain([("txn", id.as_str())])
            .collect();
        let write_text = |out: &mut Vec<u8>, text: &str| {
            out.extend((text.len() as u32).to_be_bytes());
            out.extend(text.as_bytes());
        };
        let mut message = vec![0x80, 1, 0, 1];
        write_text(&mut message, "serve");
        message.extend(1u32.to_be_bytes());
        message.extend([13, 0, 1, 11, 11]);
        message.extend((all_fields.len() as u32).to_be_bytes());
        for (name, value) in all_fields {
            write_text(&mut message, name);
            write_text(&mut message, value);
        }
        message.extend([11, 0, 2]);
        write_text(&mut message, statement);
        message.push(0);
        let mut frame = (message.len() as u32).to_be_bytes().to_vec();
        frame.extend(message);
        let statement_id = statement
            .split(',')
            .next()
            .and_then(|pair| pair.strip_prefix("id="));
        self.statement_id = statement_id.unwrap_or_default().to_string();
        self.stream.write_all(&frame)
    }

    /// Waits for the final answer to the statement that was sent.
    pub fn answer(&mut self) -> Outcome {
        self.read_outcome().unwrap_or(Outcome::Lost)
    }

    fn read_reply(&mut self) -> std::io::Result<Vec<u8>> {
        let mut len = [0; 4];
        self.stream.read_exact(&mut len)?;
        let mut reply = vec![0; u32::from_be_bytes(len) as usize];
        self.stream.read_exact(&mut reply)?;
        Ok(reply)
    }

    fn read_outcome(&mut self) -> std::io::Result<Outcome> {
        let reply = self.read_reply()?;
        self.has_retry_hint = reply.windows(5).any(|part| part == b"later");
        // The field after the header tells which kind of answer it is.
        let has_own_rows = reply
            .windows(self.statement_id.len().max(1))
            .any(|part| part == self.statement_id.as_bytes());
        Ok(match reply.get(REPLY_HEADER_BYTES..) {
            Some([_, 0, 0, ..]) if has_own_rows => Outcome::Completed { rows: 1 },
            Some([_, 0, 0, ..]) => Outcome::Spoilt,
            Some([_, 0, 1, ..]) => Outcome::Error("53000".into()),
            Some([_, 0, 2, ..]) => Outcome::Error("08007".into()),
            _ => Outcome::Spoilt,
        })
    }
}
