//! The access rules at one front: evaluates statements, tracks the open ones, and exchanges
//! versions, hit counts and shares of limits with the ledger. `evaluation` evaluates statements;
//! `requests` handles the ledger traffic.

mod evaluation;
mod requests;

use std::collections::BTreeMap;

use hallmux_lease::LeaseTerms;
use hallmux_ledger::Owner;

use crate::evaluate::Request;
use crate::event::Event;
use crate::hits::{Hit, Hits};
use crate::index::{Index, Verdict};
use crate::known::KnownNames;
use crate::read::RulesCommand;
use crate::record::{Record, WhatIfReport};
use crate::rule::RuleSet;
use crate::shares::{Limit, Shares};
use crate::versions::Versions;
use crate::{ClockReading, FrontId, Micros};

/// Configuration of the access rules at one front.
pub struct AccessConfig {
    /// This front and its current incarnation.
    pub owner: Owner,
    /// All fronts whose hits make up the fleet's counts, including this one.
    pub fronts: Vec<FrontId>,
    /// The region of this front, under the name that rules use.
    pub region: String,
    /// The names that rules may use.
    pub known: KnownNames,
    /// The length of leases on the rules and on shares of limits, and the greatest drift of clocks.
    pub terms: LeaseTerms,
    /// How long the kinds of received statements are recorded for what-if reports, in microseconds;
    /// 0 disables the record.
    pub record_window: Micros,
    /// Ledger requests are numbered from above this number; other users of the ledger at this front
    /// must not use numbers above it.
    pub first_request_number: u64,
}

/// The version of the rules that a front holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldVersion {
    /// The version's number; 0 if the fleet has never had a rule set.
    pub version: u64,
    /// Whether the front holds a valid lease, and so may apply the version now.
    pub has_lease: bool,
}

/// A statement between its arrival and its final answer.
struct OpenStatement {
    request: Request,
    verdict: Verdict,
    /// The location index of each execution in flight, by the caller's execution number.
    executions: BTreeMap<u64, Option<u16>>,
    /// Whether a newly adopted version bars a location at which the statement runs, so that it has
    /// to end.
    is_revoked: bool,
    /// Unix milliseconds of the first evaluation; rules that move tables use this time for every
    /// attempt.
    first_evaluated_ms: u64,
    /// The hits to count once the statement has its shares of all limits.
    uncounted_hits: Vec<Hit>,
}

/// The access rules at one front. Does no input or output: the caller passes in the time and the
/// ledger's answers, and carries out what [`Access::take_output`] returns.
pub struct Access {
    region: String,
    versions: Versions,
    hits: Hits,
    shares: Shares,
    record: Record,
    open_statements: BTreeMap<u64, OpenStatement>,
    /// The number given to the latest statement.
    last_statement: u64,
    /// The version against which open statements were last checked.
    checked_version: u64,
    /// The number of statements that newly adopted versions have ended.
    pub revoked_count: u64,
    revoked: Vec<u64>,
    superseded_reported: bool,
    /// The fault of the shares that was last reported.
    shares_fault: Option<Event>,
}

impl Access {
    /// Creates a front that has not read the rules yet. Until it has, it answers
    /// [`Decision::RulesUnknown`] for every customer that rules can apply to.
    pub fn new(config: AccessConfig) -> Access {
        let shares = Shares::new(config.owner, config.terms, config.fronts.len());
        Access {
            region: config.region,
            shares,
            record: Record::new(config.record_window),
            versions: Versions::new(config.known, config.terms, config.first_request_number),
            hits: Hits::new(config.owner, config.fronts),
            open_statements: BTreeMap::new(),
            last_statement: 0,
            checked_version: 0,
            revoked_count: 0,
            revoked: Vec::new(),
            superseded_reported: false,
            shares_fault: None,
        }
    }

    /// Returns the names that rules may use.
    pub fn known_names(&self) -> &KnownNames {
        self.versions.known()
    }

    /// Returns the version held, and whether it may be applied at a time on the steady clock.
    pub fn held_version(&self, steady: Micros) -> HeldVersion {
        HeldVersion {
            version: self.versions.held().set.version,
            has_lease: self.versions.index_under_lease(steady).is_some(),
        }
    }

    /// Returns the name of the rule that decided; `None` if the default did or the verdict is of
    /// another version.
    pub fn rule_name(&self, verdict: &Verdict) -> Option<&str> {
        let held = self.versions.held();
        verdict
            .rule
            .filter(|_| held.set.version == verdict.version)
            .map(|rule| held.rule_name(rule))
    }

    /// Returns the locations at which a verdict allows a statement to be read; `None` means all.
    pub fn locations(&self, verdict: &Verdict) -> Option<Vec<String>> {
        let locations = verdict.allowed.as_ref()?;
        Some(self.known_names().location_names(locations))
    }

    /// Returns the limits that a verdict counts against; empty if the verdict is of another
    /// version.
    pub fn limits(&self, verdict: &Verdict) -> Vec<Limit> {
        let held = self.versions.held();
        if held.set.version == verdict.version {
            held.limits(verdict)
        } else {
            Vec::new()
        }
    }

    /// Proposes a file's rules as the fleet's version.
    pub fn propose(&mut self, file: &str, text: &str, command: RulesCommand) {
        self.versions.propose(file, text, command);
    }

    /// Reports which recorded statements a rule set would decide differently from the version held.
    pub fn what_if(&mut self, at: ClockReading, set: RuleSet) -> WhatIfReport {
        let (held, known) = (self.versions.held(), self.versions.known());
        self.record
            .compare(at, &self.region, held, &Index::new(set), known)
    }

    /// Returns whether a statement cannot be sent because a limit has no capacity left; it may be
    /// retried later.
    pub fn is_limited(&self, statement: u64) -> bool {
        self.shares.awaits_share(statement)
    }

    /// Returns the statements rejected by each rule's limit in this incarnation, by rule name.
    pub fn limit_rejections(&self) -> &BTreeMap<String, u64> {
        &self.shares.rejections_by_rule
    }

    /// Removes an ended execution of a statement.
    pub fn execution_ended(&mut self, statement: u64, execution: u64) {
        if let Some(open) = self.open_statements.get_mut(&statement) {
            open.executions.remove(&execution);
        }
    }

    /// Removes a statement that has its final answer or that no client waits for any more.
    pub fn statement_ended(&mut self, statement: u64) {
        self.open_statements.remove(&statement);
        self.hits.stop_waiting(statement);
        self.shares.release(statement);
    }
}
