//! Scattered statements, whose data lies at several sites: selects the sites, submits one part for
//! each to the dispatcher, and gathers the parts into one answer. The sites' summaries, which show
//! where rows can be, come from files and from other fronts. `crates/scatter` decides which sites
//! can be skipped and how parts are combined; this module connects it to the dispatcher, the ledger
//! and the files. Created only if the operator's file enables it.

mod audits;
mod loads;
mod statements;
mod summaries;

pub use loads::{Load, LoadOutcome, Outgoing, REQUEST_NUMBER_BASE};
pub use statements::{FinalReply, GroupMarkers, ScatterRequest, ScatteredStatements};
