//! Regional access rules of customers: who may read what where. A set of rules is read and checked as a whole
//! (`read`, `check`), compiled to an index (`index`), kept as one version for the whole fleet in the ledger
//! (`head`, `versions`), counted exactly (`hits`), and held to limits over the whole fleet (`shares`).
//! `Access` joins them for one front. No sockets, no files, no clock, no randomness: statements, the ledger's answers
//! and the time come in, requests to the ledger, decisions and events go out.
//!
//! A rule narrows where the decision module may send; the module still chooses among what is left.

#![warn(missing_docs)]

mod access;
mod check;
mod decision;
mod error;
mod event;
mod head;
mod hits;
mod index;
mod judge;
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
pub use error::{FileError, FileErrors, Problem, Refused};
pub use event::Event;
pub use hallmux_lease::LeaseTerms;
pub use hallmux_ledger::{
    Entry, FrontId, Key, Kind, LedgerAnswer, LedgerRequest, Micros, Moment, Operation, Outcome,
    Owner,
};
pub use head::{Head, StoredVersion};
pub use hits::{merge_counts, FleetHits, Hit, HitCounts};
pub use index::{Index, Verdict};
pub use judge::Request;
pub use known::{KnownNames, WorkloadLocations};
pub use lines::LineLookup;
pub use output::Output;
pub use read::{read, RulesCommand};
pub use record::{ChangedDecision, Permission, WhatIfReport};
pub use rule::{
    Attributes, DefaultEffect, Height, MatchedRules, RateLimit, Rule, RuleEffect, RuleSet,
    TableRange,
};
pub use shares::{Limit, Shares};
