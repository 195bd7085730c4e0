//! Regional access rules of customers: which customer may read which tables in which region. A rule
//! set is parsed and checked as a whole (`read`, `check`), compiled to an index (`index`), stored
//! in the ledger as one version for the whole fleet (`head`, `versions`), counted exactly (`hits`),
//! and limited over the whole fleet (`shares`). `Access` combines these for one front.
//!
//! The crate has no sockets, files, clock or randomness: its inputs are statements, the ledger's
//! answers and the time; its outputs are ledger requests, decisions and events.
//!
//! A rule restricts the locations to which the decision module may send a statement; the module
//! still chooses among the locations that remain.

#![warn(missing_docs)]

mod access;
mod check;
mod decision;
mod error;
mod evaluate;
mod event;
mod head;
mod hits;
mod index;
mod known;
mod lines;
mod output;
mod read;
mod record;
mod rule;
mod shares;
mod versions;

pub use access::{Access, AccessConfig, HeldVersion};
pub use decision::Decision;
pub use error::{ChangeError, FileError, FileErrors, Problem};
pub use evaluate::Request;
pub use event::Event;
pub use hallmux_lease::LeaseTerms;
pub use hallmux_ledger::{
    ClockReading, Entry, FrontId, Key, Kind, LedgerAnswer, LedgerRequest, Micros, Operation,
    Outcome, Owner,
};
pub use head::{Head, StoredVersion};
pub use hits::{merge_counts, FleetHits, Hit, HitCounts};
pub use index::{Index, Verdict};
pub use known::{KnownNames, WorkloadLocations};
pub use lines::LineLookup;
pub use output::Output;
pub use read::{read, RulesCommand};
pub use record::{ChangedDecision, Permission, WhatIfReport};
pub use rule::{
    Attributes, DefaultEffect, MatchedRules, Precedence, RateLimit, Rule, RuleEffect, RuleSet,
    TableRange,
};
pub use shares::{Limit, Shares};
