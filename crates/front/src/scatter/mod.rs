//! Statements over data at several sites: which of them they are asked of, their parts at the dispatcher, one answer; and the
//! summaries that say where rows could lie, from files and from other fronts. Switched on by the operator's file; off, it is
//! not there. What is proved and how parts are joined is decided in `crates/scatter`.

mod doubts;
mod loads;
mod summaries;
mod wholes;

pub use loads::{Leaves, Load, Word, NUMBERS};
pub use wholes::{Said, Scatters};
