//! Regional access rules of customers: who may read what where. A set of rules is read and checked as a whole
//! (`read`, `check`), compiled to an index (`index`), kept as one version for the whole fleet in the ledger of
//! promises (`versions`), and counted exactly (`hits`). `Access` joins them for one front. No sockets, no files, no
//! clock, no chance: events and the time come in, asks to the ledger and words for the front go out.
//!
//! A rule narrows where the decision module may send; the module still chooses among what is left.

mod check;
mod fault;
mod index;
mod known;
mod read;
mod rule;

pub use fault::{Fault, Faults, Refused, What};
pub use index::{Index, Verdict};
pub use known::{Bound, Known};
pub use read::{read, Lines, Wish};
pub use rule::{Asking, Default, Rule, Set, Tables, Then};

/// Microseconds on the caller's steady clock; clocks of fronts need not agree, only run about alike.
pub type Micros = i64;
/// A front, by the first bytes of its public key.
pub type FrontId = u64;

/// One moment on a front's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Leases go by it alone.
    pub steady: Micros,
    /// Unix milliseconds: a rule's `from` and `until` go by it.
    pub wall_ms: u64,
}
