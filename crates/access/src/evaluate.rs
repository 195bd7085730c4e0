//! Evaluates a rule set for one statement.

use crate::index::{Index, Verdict};
use crate::rule::Attributes;

/// The attributes of a statement that rules refer to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// The customer that sent the statement; matched exactly.
    pub customer: String,
    /// The workload of the statement, as the settings name it.
    pub workload: String,
    /// The table groups that the statement reads; `None` if they are unknown.
    pub groups: Option<Vec<u32>>,
}

/// Evaluates a statement received at a front of a region under a compiled rule set.
pub(crate) fn evaluate(
    index: &Index,
    region: &str,
    request: &Request,
    wall_ms: u64,
    first_evaluated_ms: Option<u64>,
) -> Verdict {
    let attributes = Attributes {
        first_evaluated_ms,
        customer: &request.customer,
        workload: &request.workload,
        group: None,
        tables_known: false,
        front: region,
    };
    index.evaluate(&attributes, request.groups.as_deref(), wall_ms)
}
