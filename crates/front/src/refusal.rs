//! The final answer of a statement that ends without a result.

use hallmux_dispatcher::Micros;

/// A final answer without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The statement did not run, and may be retried; after `retry_after` microseconds if there is such a time.
    Rejected { retry_after: Option<Micros> },
    /// The statement may have run.
    Aborted,
}
