//! How a statement ends that gets no result.

use hallmux_dispatcher::Micros;

/// A final answer without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A retry is harmless, after so many microseconds where a time is given.
    Rejected { retry_after: Option<Micros> },
    /// Nothing is promised: it may have run.
    Aborted,
}
