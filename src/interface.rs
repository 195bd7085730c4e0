//! Input and output types of the scheduler.
//!
//! [`Agreement`] is read once, at the start. An [`Event`] reports what has happened since the last
//! decision; an [`Action`] is a command to the caller. All types are plain data: the caller reads
//! the clock, the network and the settings.
//!
//! Times are whole microseconds on the caller's clock, which must not run backwards. Engines,
//! order keys and statements are identified by small indices that the caller assigns in the order
//! of first use, so a later statement has a higher index. Indices of workloads, customers,
//! locations and kinds count from 0 in the order of the settings.

mod actions;
mod agreement;
mod engines;
mod events;
mod reject_reason;

pub use actions::Action;
pub use agreement::{
    Agreement, DedupGroup, Effect, EngineBudgets, ReportLayout, RetryAllowance, Workload,
};
pub use engines::{EngineEntry, LoadReport, Mode};
pub use events::{
    Arrival, Demand, Event, ExecutionEnded, FleetDemand, Outcome, PeerReport, ProgressReport,
};
pub use reject_reason::RejectReason;

/// A time or a duration on the caller's clock, in microseconds.
pub type Micros = i64;

/// One second.
pub(crate) const SECOND: Micros = 1_000_000;

/// The index of an engine, assigned by the caller. It may be reused once the engine is gone.
pub type EngineId = usize;

/// The index of an order key, assigned by the caller.
pub type KeyId = u32;

/// The index of a statement, assigned by the caller. A later statement has a higher index.
pub type StatementId = u32;
