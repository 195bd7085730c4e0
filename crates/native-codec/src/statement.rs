//! The protocol between clients and a front: Thrift in frames, strict binary. The `thrift` crate reads within
//! the limits given here; the frame is taken apart before, so that it reads from whole messages only.

mod read;
mod write;

pub use crate::wire_names::client::{CUSTOMER, DEDUP_KEY, STATEMENT_ID as ID, WORKLOAD};
pub use read::read;
pub use write::write;

/// Bytes of a frame's length.
const LENGTH_PREFIX_BYTES: usize = 4;

/// The name by which a client gets to read that a call's sequence number is in use on its connection.
pub const SEQUENCE_NUMBER_FIELD: &str = "sequence number";

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

impl Call {
    /// Bytes that it takes in memory, near enough.
    pub fn size(&self) -> usize {
        std::mem::size_of::<Call>() + self.statement.len() + self.id.len() + self.workload.len()
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
    /// The statement was rejected for a reason that holds for any retry; names and values say which.
    Refused(&'a [(&'a str, &'a str)]),
    /// The statement was rejected and has had no effect; a retry may succeed.
    Rejected {
        /// Retry-After, in milliseconds; None leaves it to the client.
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

#[cfg(test)]
#[path = "statement_tests.rs"]
mod tests;
