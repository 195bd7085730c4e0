//! The protocol between clients and a front: Thrift messages in the strict binary protocol, framed.
//! The frame is decoded here first, so that the `thrift` crate reads complete messages only; it
//! reads them within fixed limits.

mod read;
mod write;

pub use crate::wire_names::client::{CUSTOMER, DEDUP_KEY, STATEMENT_ID as ID, WORKLOAD};
pub use read::{read, read_incomplete};
pub use write::write;

/// The length of the prefix that holds a frame's length, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// The field name reported to a client whose call uses a sequence number that is already in use on
/// its connection.
pub const SEQUENCE_NUMBER_FIELD: &str = "sequence number";

/// A message of a client.
#[derive(Debug, PartialEq)]
pub struct Message {
    /// Identifies the request on its connection; the reply carries the same number.
    pub sequence_number: i32,
    /// The request itself.
    pub request: Request,
}

/// What is known of a message that is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteMessage {
    /// The number of bytes of the message that were not received yet.
    pub missing_bytes: usize,
    /// The sequence number, if the message is the call of a statement.
    pub statement_number: Option<i32>,
}

/// A request of a client.
#[derive(Debug, PartialEq)]
pub enum Request {
    /// Executes a statement.
    Execute(Call),
    /// Cancels the statement with this sequence number; there is no reply.
    Cancel(i32),
    /// Asks whether the front accepts statements.
    HealthCheck,
    /// A call of this method, which does not exist.
    UnknownMethod(String),
}

/// A statement and its fields, as received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// The statement's id, unique over all connections.
    pub id: String,
    /// The workload's name in the settings.
    pub workload: String,
    /// The customer's name in the settings.
    pub customer: String,
    /// The time that the client still waits, in milliseconds.
    pub time_left_ms: f64,
    /// The deduplication key: statements with equal keys take effect once.
    pub dedup_key: Option<String>,
    /// The order key: statements with equal keys run one after the other.
    pub order_key: Option<String>,
    /// The client's estimate of the work, in milliseconds on one core; 0 without an estimate.
    pub work_ms: f64,
    /// The client's estimate of the memory, in MB; 0 without an estimate.
    pub memory_mb: f64,
    /// The statement's text.
    pub statement: Vec<u8>,
    /// The first field that is missing or invalid.
    pub invalid_field: Option<&'static str>,
}

impl Call {
    /// Returns the approximate memory used by the statement, in bytes.
    pub fn size(&self) -> usize {
        let keys = [&self.dedup_key, &self.order_key];
        let key_bytes: usize = keys.into_iter().flatten().map(String::len).sum();
        let words = self.id.len() + self.workload.len() + self.customer.len();
        std::mem::size_of::<Call>() + self.statement.len() + words + key_bytes
    }
}

/// The reply to a request.
pub enum Reply<'a> {
    /// The complete result of the statement.
    Completed(&'a [u8]),
    /// A partial result, with fields that say what is missing.
    Partial {
        /// The rows available.
        body: &'a [u8],
        /// Names and values that describe what is missing.
        fields: &'a [(&'a str, &'a str)],
    },
    /// The statement was rejected for a reason that applies to any retry; names and values describe
    /// it.
    Refused(&'a [(&'a str, &'a str)]),
    /// The statement was rejected and has had no effect; a retry may succeed.
    Rejected {
        /// The time to wait before a retry, in milliseconds; None leaves it to the client.
        retry_after_ms: Option<i64>,
    },
    /// The statement may or may not have had an effect.
    Aborted,
    /// Whether this front accepts statements.
    Health(bool),
    /// The method of this name does not exist.
    UnknownMethod(&'a str),
    /// The field of this name is missing or invalid.
    InvalidField(&'a str),
}

#[cfg(test)]
#[path = "statement_tests.rs"]
mod tests;
