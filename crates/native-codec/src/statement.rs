//! The protocol between clients and a front: Thrift in frames, strict binary. The `thrift` crate reads within
//! the limits given here; the frame is taken apart before, so that it reads from whole messages only.

use std::collections::BTreeMap;

use thrift::protocol::{
    TBinaryInputProtocol, TBinaryOutputProtocol, TFieldIdentifier, TInputProtocol, TMapIdentifier,
    TMessageIdentifier, TMessageType, TOutputProtocol, TStructIdentifier, TType,
};
use thrift::{ApplicationError, ApplicationErrorKind, TConfiguration};

use crate::{Decoded, ParseError};

const LONGEST_FRAME: usize = 128 << 10; // bytes; statements take some hundred, the longest some ten thousand
const MOST_FIELDS: usize = 64; // of a statement; a dozen are known
const DEEPEST: usize = 8; // structs within structs that are passed over
const LONGEST_WORD: usize = 64; // bytes of a word that an engine is told or that is kept; the usual take 32
const LONGEST_LIMIT_MS: f64 = 3.6e6; // milliseconds: an hour; no client waits longer at its connection
const MOST_WORK_MS: f64 = 8.64e7; // milliseconds on one core: a day; longer work is no statement's
const MOST_MEMORY_MB: f64 = 1e7; // MB: ten terabytes, more than engines have
const PREFIX: usize = 4; // bytes of a frame's length

/// The name by which a client gets to read that a call's sequence number is in use on its connection.
pub const NUMBER: &str = "sequence number";
/// The field that identifies a statement, on all connections.
pub const ID: &str = "txn";
/// The field whose value repeats of a statement share.
pub const DEDUP_KEY: &str = "unique";
/// The field that names the workload.
pub const WORKLOAD: &str = "verb";
/// The field that names the customer.
pub const CUSTOMER: &str = "team";

/// A message of a client.
#[derive(Debug, PartialEq)]
pub struct Message {
    /// Identifies the request on its connection; the reply carries it.
    pub sequence_number: i32,
    /// What the client asks.
    pub request: Request,
}

/// What a client asks.
#[derive(Debug, PartialEq)]
pub enum Request {
    /// Execute a statement.
    Execute(Call),
    /// Cancel the statement that came under this sequence number; there is no reply.
    Cancel(i32),
    /// Tell whether the front takes statements.
    HealthCheck,
    /// A method by this name, which there is not.
    UnknownMethod(String),
}

/// A statement and its fields, as they came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// Identifies the statement, on all connections.
    pub id: String,
    /// The workload's name, as the settings have it.
    pub workload: String,
    /// The customer's name, as the settings have it.
    pub customer: String,
    /// Milliseconds that the client still waits.
    pub time_left_ms: f64,
    /// Statements with equal keys take effect once.
    pub dedup_key: Option<String>,
    /// Statements with equal keys run one after the other.
    pub order_key: Option<String>,
    /// The client's estimate of the work, in milliseconds on one core; 0 where it gives none.
    pub work_ms: f64,
    /// The client's estimate of the memory, in MB; 0 where it gives none.
    pub memory_mb: f64,
    /// The statement's text.
    pub statement: Vec<u8>,
    /// The first field that is missing or can't be used.
    pub invalid_field: Option<&'static str>,
}

/// Takes the next whole message from the start of `input`; None until all of it has come.
pub fn read(input: &[u8]) -> Result<Option<Decoded<Message>>, ParseError> {
    let Some(prefix) = input.first_chunk::<PREFIX>() else {
        return Ok(None);
    };
    let len = i32::from_be_bytes(*prefix);
    let len = usize::try_from(len)
        .ok()
        .filter(|len| *len <= LONGEST_FRAME);
    let len = len.ok_or_else(|| ParseError::new("a frame longer than agreed, or negative"))?;
    let Some(frame) = input[PREFIX..].get(..len) else {
        return Ok(None);
    };
    let message = message(frame).map_err(ParseError::new)?;
    Ok(Some(Decoded {
        len: PREFIX + len,
        message,
    }))
}

fn message(frame: &[u8]) -> thrift::Result<Message> {
    let limits = TConfiguration::builder()
        .max_message_size(Some(LONGEST_FRAME))
        .max_frame_size(Some(LONGEST_FRAME))
        .max_string_size(Some(frame.len()))
        .max_container_size(Some(MOST_FIELDS))
        .max_recursion_depth(Some(DEEPEST))
        .build()?;
    let mut input = TBinaryInputProtocol::with_config(frame, true, limits);
    let head = input.read_message_begin()?;
    let mut fields = BTreeMap::new();
    let (mut statement, mut number) = (None, None);
    input.read_struct_begin()?;
    loop {
        let field = input.read_field_begin()?;
        match (head.name.as_str(), field.id, field.field_type) {
            (_, _, TType::Stop) => break,
            ("serve", Some(1), TType::Map) => fields = read_fields(&mut input)?,
            ("serve", Some(2), TType::String) => statement = Some(input.read_bytes()?),
            ("forget", Some(1), TType::I32) => number = Some(input.read_i32()?),
            (_, _, other) => input.skip(other)?,
        }
    }
    // Guards against lengths that don't fit: what is behind the message belongs to no other.
    if !input.transport.is_empty() {
        return Err("a frame longer than its message".into());
    }
    let request = match (head.name.as_str(), head.message_type) {
        ("serve", TMessageType::Call) => Request::Execute(Call::new(&fields, statement)),
        ("forget", TMessageType::OneWay | TMessageType::Call) => {
            Request::Cancel(number.unwrap_or(0))
        }
        ("isWell", TMessageType::Call) => Request::HealthCheck,
        (_, TMessageType::Call | TMessageType::OneWay) => Request::UnknownMethod(head.name),
        _ => return Err("a client that answers".into()),
    };
    Ok(Message {
        sequence_number: head.sequence_number,
        request,
    })
}

fn read_fields(
    input: &mut TBinaryInputProtocol<&[u8]>,
) -> thrift::Result<BTreeMap<String, String>> {
    let map = input.read_map_begin()?;
    let mut fields = BTreeMap::new();
    if map.size > 0 && (map.key_type, map.value_type) != (Some(TType::String), Some(TType::String))
    {
        return Err("fields that are no text".into());
    }
    for _ in 0..map.size {
        fields.insert(input.read_string()?, input.read_string()?);
    }
    Ok(fields)
}

/// Whether a word can stand in an engine's line as it is.
fn is_word(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|c| c.is_ascii_graphic() && c != b',' && c != b'=')
}

impl Call {
    /// Bytes that it takes in memory, near enough.
    pub fn size(&self) -> usize {
        std::mem::size_of::<Call>() + self.statement.len() + self.id.len() + self.workload.len()
    }

    fn new(fields: &BTreeMap<String, String>, statement: Option<Vec<u8>>) -> Call {
        let mut invalid_field = None;
        let mut note =
            |name: &'static str, bad: bool| invalid_field = invalid_field.or(bad.then_some(name));
        let text = |name: &str| fields.get(name).cloned();
        let number = |name: &str| {
            fields
                .get(name)
                .map(|v| v.parse::<f64>().unwrap_or(f64::NAN))
        };
        let bad = |n: f64, most: f64| !(0.0..=most).contains(&n);
        let bad_word = |word: &str| word.len() > LONGEST_WORD || !is_word(word);
        let call = Call {
            id: text(ID).unwrap_or_default(),
            workload: text(WORKLOAD).unwrap_or_default(),
            customer: text(CUSTOMER).unwrap_or_default(),
            time_left_ms: number("limit").unwrap_or(f64::NAN),
            dedup_key: text(DEDUP_KEY),
            order_key: text("item"),
            work_ms: number("cpu").unwrap_or(0.0),
            memory_mb: number("heap_mb").unwrap_or(0.0),
            statement: statement.unwrap_or_default(),
            invalid_field: None,
        };
        note(
            ID,
            call.id.len() != 16 || !call.id.bytes().all(|c| c.is_ascii_hexdigit()),
        );
        note(WORKLOAD, bad_word(&call.workload));
        note("limit", bad(call.time_left_ms, LONGEST_LIMIT_MS));
        note("second", text("second").is_some_and(|mark| mark != "1"));
        note(DEDUP_KEY, call.dedup_key.as_deref().is_some_and(bad_word));
        note("item", call.order_key.as_deref().is_some_and(bad_word));
        note("cpu", bad(call.work_ms, MOST_WORK_MS));
        note("heap_mb", bad(call.memory_mb, MOST_MEMORY_MB));
        note("body", call.statement.is_empty());
        Call {
            invalid_field,
            ..call
        }
    }
}

/// The reply to a request.
pub enum Reply<'a> {
    /// The statement's whole result.
    Completed(&'a [u8]),
    /// A result that says what is missing in it.
    Partial {
        /// The rows that are there.
        body: &'a [u8],
        /// Names and values that say what is missing.
        fields: &'a [(&'a str, &'a str)],
    },
    /// The statement was rejected for a reason that holds at any try; names and values say which.
    Refused(&'a [(&'a str, &'a str)]),
    /// The statement was rejected and has had no effect; trying again may help.
    Rejected {
        /// Milliseconds to wait before that; None leaves it to the client.
        retry_after_ms: Option<i64>,
    },
    /// The statement may or may not have had an effect.
    Aborted,
    /// Whether this front takes statements.
    Health(bool),
    /// There is no method by this name.
    UnknownMethod(&'a str),
    /// The field of this name is missing or can't be used.
    InvalidField(&'a str),
}

/// Appends a reply to `output`, as one frame.
pub fn write(output: &mut Vec<u8>, sequence_number: i32, reply: &Reply) {
    let start = output.len();
    output.extend([0; PREFIX]);
    let written = write_message(
        &mut TBinaryOutputProtocol::new(&mut *output, true),
        sequence_number,
        reply,
    );
    debug_assert!(written.is_ok(), "writing to memory cannot fail");
    let len = (output.len() - start - PREFIX) as u32;
    output[start..start + PREFIX].copy_from_slice(&len.to_be_bytes());
}

fn write_message(
    out: &mut impl TOutputProtocol,
    sequence_number: i32,
    reply: &Reply,
) -> thrift::Result<()> {
    let name = if matches!(reply, Reply::Health(_)) {
        "isWell"
    } else {
        "serve"
    };
    let failed = |kind, message: String| Some(ApplicationError { kind, message });
    let exception = match reply {
        Reply::UnknownMethod(name) => failed(
            ApplicationErrorKind::UnknownMethod,
            format!("unknown method '{name}'"),
        ),
        Reply::InvalidField(field) => failed(
            ApplicationErrorKind::ProtocolError,
            format!("field '{field}' is missing or can't be used"),
        ),
        _ => None,
    };
    if let Some(exception) = exception {
        let name = if let Reply::UnknownMethod(name) = reply {
            name
        } else {
            name
        };
        out.write_message_begin(&TMessageIdentifier::new(
            name,
            TMessageType::Exception,
            sequence_number,
        ))?;
        thrift::Error::write_application_error_to_out_protocol(&exception, out)?;
        return out.write_message_end();
    }
    out.write_message_begin(&TMessageIdentifier::new(
        name,
        TMessageType::Reply,
        sequence_number,
    ))?;
    out.write_struct_begin(&TStructIdentifier::new("result"))?;
    match reply {
        Reply::Completed(body) => write_answer(out, body, &[], true)?,
        Reply::Partial { body, fields } => write_answer(out, body, fields, true)?,
        Reply::Refused(fields) => write_exception(out, 1, fields)?,
        Reply::Health(good) => write_answer(out, b"", &[], *good)?,
        Reply::Rejected { retry_after_ms } => {
            let later = retry_after_ms.map(|ms| ms.to_string());
            write_exception(out, 1, later.as_deref().map(|ms| ("later", ms)).as_slice())?;
        }
        _ => write_exception(out, 2, &[])?,
    }
    out.write_field_stop()?;
    out.write_struct_end()?;
    out.write_message_end()
}

fn write_answer(
    out: &mut impl TOutputProtocol,
    body: &[u8],
    fields: &[(&str, &str)],
    good: bool,
) -> thrift::Result<()> {
    out.write_field_begin(&TFieldIdentifier::new("success", TType::Struct, 0))?;
    out.write_struct_begin(&TStructIdentifier::new("Answer"))?;
    out.write_field_begin(&TFieldIdentifier::new("body", TType::String, 1))?;
    out.write_bytes(body)?;
    write_fields(out, 2, fields)?;
    out.write_field_begin(&TFieldIdentifier::new("good", TType::Bool, 3))?;
    out.write_bool(good)?;
    out.write_field_stop()?;
    out.write_struct_end()
}

fn write_exception(
    out: &mut impl TOutputProtocol,
    id: i16,
    fields: &[(&str, &str)],
) -> thrift::Result<()> {
    out.write_field_begin(&TFieldIdentifier::new("exception", TType::Struct, id))?;
    out.write_struct_begin(&TStructIdentifier::new("exception"))?;
    write_fields(out, 1, fields)?;
    out.write_field_stop()?;
    out.write_struct_end()
}

fn write_fields(
    out: &mut impl TOutputProtocol,
    id: i16,
    fields: &[(&str, &str)],
) -> thrift::Result<()> {
    out.write_field_begin(&TFieldIdentifier::new("fields", TType::Map, id))?;
    out.write_map_begin(&TMapIdentifier::new(
        TType::String,
        TType::String,
        fields.len() as i32,
    ))?;
    for (name, value) in fields {
        out.write_string(name)?;
        out.write_string(value)?;
    }
    out.write_map_end()
}

#[cfg(test)]
#[path = "statement_tests.rs"]
mod tests;
