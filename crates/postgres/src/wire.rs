//! Messages of both directions: their length, their content, and how they are written.

use crate::ProtocolError;

const MAX_STARTUP_BYTES: usize = 10_000; // the limit of PostgreSQL servers
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_REQUEST_CODE: u32 = 80_877_104;
const PROTOCOL_VERSION: u32 = 3 << 16;

/// The key that a cancel request must carry: whoever knows it may cancel what runs on the
/// connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// The server process of the connection; the number of the session if the front is the server.
    pub process: u32,
    /// A secret known only to both ends of the connection.
    pub secret: u32,
}

/// The first message of a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum InitialMessage<'a> {
    /// Starts a session with version 3 of the protocol.
    StartUp {
        /// The minor version.
        minor: u16,
        /// Names and values of the parameters.
        parameters: Vec<(&'a str, &'a str)>,
    },
    /// Asks for encryption by TLS or GSSAPI.
    EncryptionRequest,
    /// Asks to cancel what runs on the connection with this key.
    Cancel(CancelKey),
    /// Asks for a version that is not supported.
    UnsupportedVersion {
        /// The major version.
        major: u16,
    },
}

fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

/// Parses the first message of a connection from the start of `input`; returns its length with it.
/// None if it is incomplete.
pub fn initial_message(input: &[u8]) -> Result<Option<(usize, InitialMessage<'_>)>, ProtocolError> {
    let Some(len) = read_u32(input) else {
        return Ok(None);
    };
    let len = len as usize;
    if !(8..=MAX_STARTUP_BYTES).contains(&len) {
        return Err(ProtocolError::StartupLength {
            bytes: len,
            limit: MAX_STARTUP_BYTES,
        });
    }
    let Some(packet) = input.get(..len) else {
        return Ok(None);
    };
    let code = read_u32(&packet[4..]).unwrap_or(0);
    let message = match code {
        SSL_REQUEST_CODE | GSS_REQUEST_CODE if len == 8 => InitialMessage::EncryptionRequest,
        CANCEL_REQUEST_CODE => {
            match (read_u32(&packet[8..]), packet.get(12..).and_then(read_u32)) {
                (Some(process), Some(secret)) if len == 16 => {
                    InitialMessage::Cancel(CancelKey { process, secret })
                }
                _ => return Err(ProtocolError::Malformed("a request to cancel that is none")),
            }
        }
        code if code >> 16 == PROTOCOL_VERSION >> 16 => {
            let mut rest = &packet[8..];
            let mut parameters = Vec::new();
            loop {
                let name = read_text(&mut rest)?;
                if name.is_empty() {
                    break;
                }
                parameters.push((name, read_text(&mut rest)?));
            }
            if !rest.is_empty() {
                return Err(ProtocolError::Malformed(
                    "a start-up with bytes behind its end",
                ));
            }
            InitialMessage::StartUp {
                minor: code as u16,
                parameters,
            }
        }
        code => InitialMessage::UnsupportedVersion {
            major: (code >> 16) as u16,
        },
    };
    Ok(Some((len, message)))
}

/// Splits a zero-terminated string off the start of `rest`.
pub fn read_string<'a>(rest: &mut &'a [u8]) -> Result<&'a [u8], ProtocolError> {
    let end = memchr::memchr(0, rest).ok_or(ProtocolError::Malformed("a string without an end"))?;
    let string = &rest[..end];
    *rest = &rest[end + 1..];
    Ok(string)
}

fn read_text<'a>(rest: &mut &'a [u8]) -> Result<&'a str, ProtocolError> {
    std::str::from_utf8(read_string(rest)?)
        .map_err(|_| ProtocolError::Malformed("a parameter that is no UTF-8"))
}

/// The header of a message: its kind and length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The byte that identifies the message's kind.
    pub tag: u8,
    /// The length of the message in bytes, including tag and length field.
    pub len: usize,
}

/// Parses the header at the start of `input`; None if it is incomplete. The length is not trusted:
/// nothing is allocated for it.
pub fn header(input: &[u8]) -> Result<Option<Header>, ProtocolError> {
    let (Some(tag), Some(len)) = (input.first(), input.get(1..).and_then(read_u32)) else {
        return Ok(None);
    };
    if len < 4 || len > i32::MAX as u32 {
        return Err(ProtocolError::Malformed("a message whose length can't be"));
    }
    Ok(Some(Header {
        tag: *tag,
        len: len as usize + 1,
    }))
}

/// A complete message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The byte that identifies the message's kind.
    pub tag: u8,
    /// The bytes after the length field.
    pub body: &'a [u8],
    /// The length of the message in bytes, including tag and length field.
    pub len: usize,
}

/// Parses the message at the start of `input`; None if it is incomplete, an error if it is longer
/// than `max_bytes`.
pub fn message(input: &[u8], max_bytes: usize) -> Result<Option<Message<'_>>, ProtocolError> {
    match header(input)? {
        Some(Header { len, .. }) if len > max_bytes => Err(ProtocolError::MessageTooLong {
            bytes: len,
            limit: max_bytes,
        }),
        Some(Header { tag, len }) => Ok(input.get(5..len).map(|body| Message { tag, body, len })),
        None => Ok(None),
    }
}

/// A message of a client after startup.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientMessage<'a> {
    /// A simple query with this text.
    Query(&'a [u8]),
    /// Prepares a statement.
    Parse {
        /// The statement's name; empty for the unnamed one.
        name: &'a [u8],
        /// The statement's text.
        text: &'a [u8],
        /// The text, its terminating zero byte, and the types of the parameters.
        body: &'a [u8],
    },
    /// Opens a portal on a prepared statement.
    Bind {
        /// The portal's name; empty for the unnamed one.
        portal: &'a [u8],
        /// The statement's name.
        statement: &'a [u8],
        /// The formats and values of the parameters, and the formats of the result.
        rest: &'a [u8],
    },
    /// Asks for the description of a statement or portal.
    Describe {
        /// Whether a prepared statement is described; else it is a portal.
        statement: bool,
        /// The name of the statement or portal.
        name: &'a [u8],
    },
    /// Executes a portal.
    Execute {
        /// The portal's name.
        portal: &'a [u8],
        /// The maximum number of rows; 0 is no limit.
        rows: u32,
    },
    /// Closes a statement or portal.
    Close {
        /// Whether a prepared statement is closed; else it is a portal.
        statement: bool,
        /// The name of the statement or portal.
        name: &'a [u8],
    },
    /// Asks the server to send the answers so far.
    Flush,
    /// Ends an extended query.
    Sync,
    /// Ends the session.
    Terminate,
    /// Calls a function by the legacy function call protocol.
    FunctionCall,
    /// COPY data, or the end of it.
    Copy,
}

/// Parses the body of a client's message after startup.
pub fn client_message(tag: u8, body: &[u8]) -> Result<ClientMessage<'_>, ProtocolError> {
    let mut rest = body;
    let kind = |rest: &mut &[u8]| match rest.split_first() {
        Some((b'S', after)) => {
            *rest = after;
            Ok(true)
        }
        Some((b'P', after)) => {
            *rest = after;
            Ok(false)
        }
        _ => Err(ProtocolError::Malformed("neither a statement nor a portal")),
    };
    let message = match tag {
        b'Q' => ClientMessage::Query(read_string(&mut rest)?),
        b'P' => {
            let name = read_string(&mut rest)?;
            let body = rest;
            let text = read_string(&mut rest)?;
            let count = rest
                .get(..2)
                .map(|n| u16::from_be_bytes([n[0], n[1]]) as usize);
            if count.map(|count| 2 + 4 * count) != Some(rest.len()) {
                return Err(ProtocolError::Malformed(
                    "types that do not fill their message",
                ));
            }
            return Ok(ClientMessage::Parse { name, text, body });
        }
        b'B' => {
            let (portal, statement) = (read_string(&mut rest)?, read_string(&mut rest)?);
            return Ok(ClientMessage::Bind {
                portal,
                statement,
                rest,
            });
        }
        b'D' => ClientMessage::Describe {
            statement: kind(&mut rest)?,
            name: read_string(&mut rest)?,
        },
        b'C' => ClientMessage::Close {
            statement: kind(&mut rest)?,
            name: read_string(&mut rest)?,
        },
        b'E' => {
            let portal = read_string(&mut rest)?;
            let rows = read_u32(rest).ok_or(ProtocolError::Malformed(
                "an Execute without a count of rows",
            ))?;
            rest = &rest[4..];
            ClientMessage::Execute { portal, rows }
        }
        b'H' => ClientMessage::Flush,
        b'S' => ClientMessage::Sync,
        b'X' => ClientMessage::Terminate,
        b'F' => return Ok(ClientMessage::FunctionCall),
        b'd' | b'c' | b'f' => return Ok(ClientMessage::Copy),
        other => return Err(ProtocolError::UnknownMessage(other)),
    };
    match rest.is_empty() {
        true => Ok(message),
        false => Err(ProtocolError::Malformed(
            "bytes behind the end of a message",
        )),
    }
}

/// Writes a message: its kind, its length and what `body` appends.
pub fn write(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    write_packet(out, body);
}

/// Writes a message without a kind, as the first one of a connection is.
pub fn write_packet(out: &mut Vec<u8>, body: impl FnOnce(&mut Vec<u8>)) {
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let len = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&len.to_be_bytes());
}

/// Appends a string and its terminating zero byte; the string must not contain one.
pub fn write_string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend_from_slice(text);
    out.push(0);
}

/// The message ParseComplete.
pub const PARSE_COMPLETE: &[u8] = b"1\0\0\0\x04";
/// The message BindComplete.
pub const BIND_COMPLETE: &[u8] = b"2\0\0\0\x04";
/// The message CloseComplete.
pub const CLOSE_COMPLETE: &[u8] = b"3\0\0\0\x04";
/// The message NoData.
pub const NO_DATA: &[u8] = b"n\0\0\0\x04";
/// The message ParameterDescription of a statement without parameters.
pub const NO_PARAMETERS: &[u8] = b"t\0\0\0\x06\0\0";
/// The message EmptyQueryResponse.
pub const EMPTY_QUERY: &[u8] = b"I\0\0\0\x04";
/// The message Sync.
pub const SYNC: &[u8] = b"S\0\0\0\x04";
/// The message Flush.
pub const FLUSH: &[u8] = b"H\0\0\0\x04";
/// The message Terminate.
pub const TERMINATE: &[u8] = b"X\0\0\0\x04";

/// Writes ReadyForQuery with the transaction status byte.
pub fn write_ready(out: &mut Vec<u8>, status: u8) {
    write(out, b'Z', |out| out.push(status));
}

/// Writes CommandComplete with the command's tag.
pub fn write_complete(out: &mut Vec<u8>, tag: &str) {
    write(out, b'C', |out| write_string(out, tag.as_bytes()));
}

/// Writes ParameterStatus.
pub fn write_parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    write(out, b'S', |out| {
        write_string(out, name.as_bytes());
        write_string(out, value.as_bytes());
    });
}

/// Writes BackendKeyData.
pub fn write_backend_key(out: &mut Vec<u8>, key: CancelKey) {
    write(out, b'K', |out| {
        out.extend_from_slice(&key.process.to_be_bytes());
        out.extend_from_slice(&key.secret.to_be_bytes());
    });
}

/// Writes the startup message of a session with these parameter names and values.
pub fn write_startup(out: &mut Vec<u8>, parameters: &[(&str, &str)]) {
    write_packet(out, |out| {
        out.extend_from_slice(&PROTOCOL_VERSION.to_be_bytes());
        for (name, value) in parameters {
            write_string(out, name.as_bytes());
            write_string(out, value.as_bytes());
        }
        out.push(0);
    });
}

/// Writes a cancel request, the only message of its connection.
pub fn write_cancel(out: &mut Vec<u8>, key: CancelKey) {
    write_packet(out, |out| {
        out.extend_from_slice(&CANCEL_REQUEST_CODE.to_be_bytes());
        out.extend_from_slice(&key.process.to_be_bytes());
        out.extend_from_slice(&key.secret.to_be_bytes());
    });
}

/// Writes a simple query.
pub fn write_query(out: &mut Vec<u8>, text: &[u8]) {
    write(out, b'Q', |out| write_string(out, text));
}

/// Writes NegotiateProtocolVersion, for a client that asked for a newer version: the newest minor
/// version supported (0) and the protocol options that are not known.
pub fn write_negotiate_version(out: &mut Vec<u8>, unknown: &[&str]) {
    write(out, b'v', |out| {
        out.extend_from_slice(&0u32.to_be_bytes());
        out.extend_from_slice(&(unknown.len() as u32).to_be_bytes());
        unknown
            .iter()
            .for_each(|name| write_string(out, name.as_bytes()));
    });
}

/// Returns a field of the body of an error or a notice: `C` is the SQLSTATE, `M` the message, `S`
/// the severity. None if there is no such field.
pub fn field(body: &[u8], wanted: u8) -> Option<&[u8]> {
    let mut rest = body;
    while let Some((kind, after)) = rest.split_first().filter(|(kind, _)| **kind != 0) {
        rest = after;
        let value = read_string(&mut rest).ok()?;
        if *kind == wanted {
            return Some(value);
        }
    }
    None
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
