//! Encodes the replies to clients.

use thrift::protocol::{
    TBinaryOutputProtocol, TFieldIdentifier, TMapIdentifier, TMessageIdentifier, TMessageType,
    TOutputProtocol, TStructIdentifier, TType,
};
use thrift::{ApplicationError, ApplicationErrorKind};

use super::{Reply, LENGTH_PREFIX_BYTES};
use crate::wire_names::client;

/// The field id, in the method's result, of the exception for a rejected statement.
const REJECTED: i16 = 1;
/// The field id of the exception for an aborted statement.
const ABORTED: i16 = 2;

/// Appends a reply to `output`, as one frame.
pub fn write(output: &mut Vec<u8>, sequence_number: i32, reply: &Reply) {
    let start = output.len();
    output.extend([0; LENGTH_PREFIX_BYTES]);
    let mut out = TBinaryOutputProtocol::new(&mut *output, true);
    let written = match application_error(reply) {
        Some(error) => write_application_error(&mut out, sequence_number, reply, &error),
        None => write_result(&mut out, sequence_number, reply),
    };
    debug_assert!(written.is_ok(), "writing to memory cannot fail");
    let len = (output.len() - start - LENGTH_PREFIX_BYTES) as u32;
    output[start..start + LENGTH_PREFIX_BYTES].copy_from_slice(&len.to_be_bytes());
}

/// Returns the Thrift application error of a reply; None if the reply is a result.
fn application_error(reply: &Reply) -> Option<ApplicationError> {
    match reply {
        Reply::UnknownMethod(name) => Some(ApplicationError {
            kind: ApplicationErrorKind::UnknownMethod,
            message: format!("unknown method '{name}'"),
        }),
        Reply::InvalidField(field) => Some(ApplicationError {
            kind: ApplicationErrorKind::ProtocolError,
            message: format!("field '{field}' is missing or can't be used"),
        }),
        _ => None,
    }
}

fn write_application_error(
    out: &mut impl TOutputProtocol,
    sequence_number: i32,
    reply: &Reply,
    error: &ApplicationError,
) -> thrift::Result<()> {
    let method = match reply {
        Reply::UnknownMethod(name) => name,
        _ => client::EXECUTE,
    };
    out.write_message_begin(&TMessageIdentifier::new(
        method,
        TMessageType::Exception,
        sequence_number,
    ))?;
    thrift::Error::write_application_error_to_out_protocol(error, out)?;
    out.write_message_end()
}

fn write_result(
    out: &mut impl TOutputProtocol,
    sequence_number: i32,
    reply: &Reply,
) -> thrift::Result<()> {
    let method = match reply {
        Reply::Health(_) => client::HEALTH_CHECK,
        _ => client::EXECUTE,
    };
    out.write_message_begin(&TMessageIdentifier::new(
        method,
        TMessageType::Reply,
        sequence_number,
    ))?;
    out.write_struct_begin(&TStructIdentifier::new("result"))?;
    match reply {
        Reply::Completed(body) => write_answer(out, body, &[], true)?,
        Reply::Partial { body, fields } => write_answer(out, body, fields, true)?,
        Reply::Refused(fields) => write_exception(out, REJECTED, fields)?,
        Reply::Health(healthy) => write_answer(out, b"", &[], *healthy)?,
        Reply::Rejected { retry_after_ms } => match retry_after_ms.map(|ms| ms.to_string()) {
            Some(ms) => write_exception(out, REJECTED, &[(client::RETRY_AFTER_MS, &ms)])?,
            None => write_exception(out, REJECTED, &[])?,
        },
        Reply::Aborted | Reply::UnknownMethod(_) | Reply::InvalidField(_) => {
            write_exception(out, ABORTED, &[])?;
        }
    }
    out.write_field_stop()?;
    out.write_struct_end()?;
    out.write_message_end()
}

fn write_answer(
    out: &mut impl TOutputProtocol,
    body: &[u8],
    fields: &[(&str, &str)],
    healthy: bool,
) -> thrift::Result<()> {
    out.write_field_begin(&TFieldIdentifier::new("success", TType::Struct, 0))?;
    out.write_struct_begin(&TStructIdentifier::new("Answer"))?;
    out.write_field_begin(&TFieldIdentifier::new(client::BODY, TType::String, 1))?;
    out.write_bytes(body)?;
    write_fields(out, 2, fields)?;
    out.write_field_begin(&TFieldIdentifier::new(client::HEALTHY, TType::Bool, 3))?;
    out.write_bool(healthy)?;
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

pub(super) fn write_fields(
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
