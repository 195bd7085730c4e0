//! What goes into the decision module and what comes out of it.
//!
//! [`Agreement`] is read once, at the start. [`Event`] is what has happened since the last decision,
//! [`Action`] what is to be done. All of it is plain data: whoever calls the module reads the clock, the
//! network and the settings.
//!
//! Times are whole microseconds on the caller's clock, which must not run backwards. Engines, order keys and
//! statements are small indices that the caller hands out in the order in which it first meets them;
//! statements therefore count upwards. Places, such as that of a workload, a location or a kind, count from 0
//! in the order of the settings.

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

/// A time or a length of time on the caller's clock, in microseconds.
pub type Micros = i64;

/// A second.
pub(crate) const SECOND: Micros = 1_000_000;

/// An engine, by an index that the caller hands out and may hand out again once the engine is gone.
pub type EngineId = usize;

/// An order key, by an index that the caller hands out.
pub type KeyId = u32;

/// A statement, by an index that the caller hands out; a later statement has a higher one.
pub type StatementId = u32;
