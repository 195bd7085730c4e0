//! A client's request to run a statement.

use hallmux::interface::Micros;

use crate::EngineIndex;

/// A client's request to run a statement.
#[derive(Clone, Debug, Default)]
pub struct StatementRequest<'a> {
    /// The name of its workload.
    pub workload: &'a str,
    /// The name of its customer; ignored if the settings name no customers.
    pub customer: &'a str,
    /// Its order key, if any.
    pub order_key: Option<&'a str>,
    /// The key by which engines recognise its repeats, if any.
    pub dedup_key: Option<&'a str>,
    /// The remaining time until the client's deadline, in microseconds.
    pub time_left: Micros,
    /// An estimate of its work on one thread, in microseconds; 0 if unknown.
    pub work: f64,
    /// An estimate of the memory that it needs, in MB; 0 if unknown.
    pub memory_mb: f64,
    /// The data set that it reads or loads, if known.
    pub data_set: Option<u32>,
    /// The protocol in which it is sent to engines.
    pub protocol: Protocol,
    /// The engine of the open transaction that the statement belongs to, if any.
    pub sticky_engine: Option<EngineIndex>,
    /// Names of the locations that it may be sent to; None for all that its workload allows.
    pub allowed_locations: Option<&'a [&'a str]>,
}

/// A protocol in which statements are sent to engines. The values are bits of a set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// The line protocol of the engines.
    #[default]
    Lines = 1,
    /// PostgreSQL's protocol 3.
    Postgres = 2,
}

/// Why a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The settings have no such workload.
    UnknownWorkload,
    /// The settings have no such customer.
    UnknownCustomer,
    /// The workload requires a key by which engines recognise repeats, and the request has none.
    MissingDedupKey,
    /// The request may be sent to no location, or not to that of its open transaction.
    NoAllowedLocation,
}
