//! Decodes the messages of clients.

use std::collections::BTreeMap;

use thrift::protocol::{
    TBinaryInputProtocol, TInputProtocol, TMessageIdentifier, TMessageType, TType,
};
use thrift::TConfiguration;

use super::{Call, IncompleteMessage, Message, Request, LENGTH_PREFIX_BYTES};
use crate::wire_names::client;
use crate::{Decoded, ParseError};

/// The maximum length of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 128 << 10;
/// The maximum number of fields of a statement.
const MAX_FIELDS: usize = 64;
/// The maximum nesting depth of structs that are skipped.
const MAX_DEPTH: usize = 8;
/// The maximum length of a word that is sent to an engine or stored, in bytes.
pub(super) const MAX_WORD_BYTES: usize = 64;
/// The number of hexadecimal digits of a statement's id.
const ID_DIGITS: usize = 16;
const MAX_TIME_LEFT_MS: f64 = 3.6e6;
const MAX_WORK_MS: f64 = 8.64e7;
const MAX_MEMORY_MB: f64 = 1e7;

type Fields = BTreeMap<String, String>;

/// Decodes the message at the start of `input`; None if it is incomplete.
pub fn read(input: &[u8]) -> Result<Option<Decoded<Message>>, ParseError> {
    let Some(prefix) = input.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let len = usize::try_from(i32::from_be_bytes(*prefix))
        .ok()
        .filter(|len| *len <= MAX_FRAME_BYTES)
        .ok_or_else(|| ParseError::new("a frame length that is negative or over the limit"))?;
    let Some(frame) = input[LENGTH_PREFIX_BYTES..].get(..len) else {
        return Ok(None);
    };
    let message = message(frame).map_err(ParseError::new)?;
    Ok(Some(Decoded {
        len: LENGTH_PREFIX_BYTES + len,
        message,
    }))
}

/// Decodes what is known of the incomplete message at the start of `input`; None if its head is not complete, or if it
/// is not a message of a client.
pub fn read_incomplete(input: &[u8]) -> Option<IncompleteMessage> {
    let prefix = input.first_chunk::<LENGTH_PREFIX_BYTES>()?;
    let len = usize::try_from(i32::from_be_bytes(*prefix)).ok()?;
    let received = &input[LENGTH_PREFIX_BYTES..];
    let missing_bytes = len.checked_sub(received.len())?;
    let head = protocol(received).ok()?.read_message_begin().ok()?;
    let is_statement = head.name == client::EXECUTE && head.message_type == TMessageType::Call;
    Some(IncompleteMessage {
        missing_bytes,
        statement_number: is_statement.then_some(head.sequence_number),
    })
}

fn protocol(frame: &[u8]) -> thrift::Result<TBinaryInputProtocol<&[u8]>> {
    let limits = TConfiguration::builder()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .max_string_size(Some(frame.len()))
        .max_container_size(Some(MAX_FIELDS))
        .max_recursion_depth(Some(MAX_DEPTH))
        .build()?;
    Ok(TBinaryInputProtocol::with_config(frame, true, limits))
}

fn message(frame: &[u8]) -> thrift::Result<Message> {
    let mut input = protocol(frame)?;
    let head = input.read_message_begin()?;
    let arguments = Arguments::read(&mut input, &head.name)?;
    // Bytes left after the message mean that the frame's length is wrong; they belong to no other
    // message.
    if !input.transport.is_empty() {
        return Err("bytes after the message in its frame".into());
    }
    Ok(Message {
        sequence_number: head.sequence_number,
        request: request(head, arguments)?,
    })
}

fn request(head: TMessageIdentifier, arguments: Arguments) -> thrift::Result<Request> {
    let request = match (head.name.as_str(), head.message_type) {
        (client::EXECUTE, TMessageType::Call) => {
            Request::Execute(Call::new(&arguments.fields, arguments.statement))
        }
        (client::CANCEL, TMessageType::OneWay | TMessageType::Call) => {
            Request::Cancel(arguments.sequence_number.unwrap_or(0))
        }
        (client::HEALTH_CHECK, TMessageType::Call) => Request::HealthCheck,
        (_, TMessageType::Call | TMessageType::OneWay) => Request::UnknownMethod(head.name),
        _ => return Err("a message that is not a call".into()),
    };
    Ok(request)
}

/// The arguments of the known methods; those of unknown methods are skipped.
#[derive(Default)]
struct Arguments {
    fields: Fields,
    statement: Option<Vec<u8>>,
    /// The sequence number of the statement to cancel.
    sequence_number: Option<i32>,
}

impl Arguments {
    fn read(input: &mut TBinaryInputProtocol<&[u8]>, method: &str) -> thrift::Result<Arguments> {
        let mut arguments = Arguments::default();
        input.read_struct_begin()?;
        loop {
            let field = input.read_field_begin()?;
            match (method, field.id, field.field_type) {
                (_, _, TType::Stop) => return Ok(arguments),
                (client::EXECUTE, Some(1), TType::Map) => arguments.fields = read_fields(input)?,
                (client::EXECUTE, Some(2), TType::String) => {
                    arguments.statement = Some(input.read_bytes()?);
                }
                (client::CANCEL, Some(1), TType::I32) => {
                    arguments.sequence_number = Some(input.read_i32()?);
                }
                (_, _, other) => input.skip(other)?,
            }
        }
    }
}

fn read_fields(input: &mut TBinaryInputProtocol<&[u8]>) -> thrift::Result<Fields> {
    let map = input.read_map_begin()?;
    let mut fields = BTreeMap::new();
    if map.size > 0 && (map.key_type, map.value_type) != (Some(TType::String), Some(TType::String))
    {
        return Err("a field map whose keys or values are not strings".into());
    }
    for _ in 0..map.size {
        fields.insert(input.read_string()?, input.read_string()?);
    }
    Ok(fields)
}

impl Call {
    /// Creates the statement from its fields, and records the first invalid one.
    fn new(fields: &Fields, statement: Option<Vec<u8>>) -> Call {
        let text = |name: &str| fields.get(name).cloned();
        let number = |name: &str| {
            let value = fields.get(name)?;
            Some(value.parse::<f64>().unwrap_or(f64::NAN))
        };
        let mut call = Call {
            id: text(client::STATEMENT_ID).unwrap_or_default(),
            workload: text(client::WORKLOAD).unwrap_or_default(),
            customer: text(client::CUSTOMER).unwrap_or_default(),
            time_left_ms: number(client::TIME_LEFT_MS).unwrap_or(f64::NAN),
            dedup_key: text(client::DEDUP_KEY),
            order_key: text(client::ORDER_KEY),
            work_ms: number(client::WORK_MS).unwrap_or(0.0),
            memory_mb: number(client::MEMORY_MB).unwrap_or(0.0),
            statement: statement.unwrap_or_default(),
            invalid_field: None,
        };
        let second = fields.get(client::SECOND);
        call.invalid_field = call.first_invalid_field(second.map(String::as_str));
        call
    }

    fn first_invalid_field(&self, second: Option<&str>) -> Option<&'static str> {
        let validity = [
            (client::STATEMENT_ID, is_statement_id(&self.id)),
            (client::WORKLOAD, is_word(&self.workload)),
            (
                client::TIME_LEFT_MS,
                is_within(self.time_left_ms, MAX_TIME_LEFT_MS),
            ),
            (client::SECOND, second.is_none_or(|value| value == "1")),
            (
                client::DEDUP_KEY,
                self.dedup_key.as_deref().is_none_or(is_word),
            ),
            (
                client::ORDER_KEY,
                self.order_key.as_deref().is_none_or(is_word),
            ),
            (client::WORK_MS, is_within(self.work_ms, MAX_WORK_MS)),
            (client::MEMORY_MB, is_within(self.memory_mb, MAX_MEMORY_MB)),
            (client::BODY, !self.statement.is_empty()),
        ];
        let invalid = validity.iter().find(|(_, is_valid)| !is_valid);
        invalid.map(|(name, _)| *name)
    }
}

fn is_statement_id(text: &str) -> bool {
    text.len() == ID_DIGITS && text.bytes().all(|c| c.is_ascii_hexdigit())
}

/// Whether a word can be sent unchanged in a line to an engine.
fn is_word(text: &str) -> bool {
    let is_allowed = |c: u8| c.is_ascii_graphic() && c != b',' && c != b'=';
    !text.is_empty() && text.len() <= MAX_WORD_BYTES && text.bytes().all(is_allowed)
}

fn is_within(number: f64, max: f64) -> bool {
    (0.0..=max).contains(&number)
}
