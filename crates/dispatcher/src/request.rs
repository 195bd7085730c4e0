//! What a client asks for when it sends a statement.

use hallmux::interface::Micros;

use crate::EngineIndex;

/// What a client asks for.
#[derive(Clone, Debug, Default)]
pub struct StatementRequest<'a> {
    /// The name of its workload.
    pub workload: &'a str,
    /// The name of its customer; any where the settings name none.
    pub customer: &'a str,
    /// Its order key.
    pub order_key: Option<&'a str>,
    /// The key by which engines recognise its repeats.
    pub dedup_key: Option<&'a str>,
    /// The time for which its client still waits, in microseconds.
    pub time_left: Micros,
    /// An estimate of its work on one thread, in microseconds; 0 where there is none.
    pub work: f64,
    /// An estimate of the memory that it needs, in MB; 0 where there is none.
    pub memory_mb: f64,
    /// The data set that it reads or loads, where that is known.
    pub data_set: Option<u32>,
    /// The protocol that it is sent in.
    pub protocol: Protocol,
    /// The engine of the open transaction that it belongs to.
    pub sticky_engine: Option<EngineIndex>,
    /// Names of the locations that it may be sent to; None: all that its workload allows.
    pub allowed_locations: Option<&'a [&'a str]>,
}

/// A protocol that statements are sent to engines in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// The line protocol of the engines.
    #[default]
    Lines = 1,
    /// PostgreSQL's protocol 3.
    Postgres = 2,
}

/// Why a statement was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The settings have no such workload.
    UnknownWorkload,
    /// The settings have no such customer.
    UnknownCustomer,
    /// It has no key by which engines could drop its repeats, which its workload needs.
    MissingDedupKey,
    /// No location is allowed to it, or not that of its open transaction.
    NoAllowedLocation,
}
