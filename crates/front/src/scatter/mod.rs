//! Statements over data at several sites: which of them they are asked of, their parts at the dispatcher, one answer; and the
//! summaries that say where rows could lie, from files and from other fronts. Switched on by the operator's file; off, it is
//! not there. What is proved and how parts are joined is decided in `crates/scatter`.

mod audits;
mod loads;
mod statements;
mod summaries;

pub use loads::{Load, LoadOutcome, Outgoing, REQUEST_NUMBER_BASE};
pub use statements::{FinalReply, GroupMarkers, ScatterRequest, ScatteredStatements};
