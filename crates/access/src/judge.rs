//! What a set of rules says of a statement.

use crate::index::{Index, Verdict};
use crate::rule::Attributes;

/// What a statement asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Whose statement it is; matched exactly.
    pub customer: String,
    /// The workload that the statement belongs to, as the settings name it.
    pub workload: String,
    /// The groups of tables that it reads; None where they cannot be told.
    pub groups: Option<Vec<u32>>,
}

pub(crate) fn judge(
    index: &Index,
    region: &str,
    request: &Request,
    wall_ms: u64,
    first_judged_ms: Option<u64>,
) -> Verdict {
    let attributes = Attributes {
        first_judged_ms,
        customer: &request.customer,
        workload: &request.workload,
        group: None,
        tables_known: false,
        front: region,
    };
    index.judge(&attributes, request.groups.as_deref(), wall_ms)
}
