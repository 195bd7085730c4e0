//! One front's part in the rules: it judges statements, watches those that are open, and carries the version and the
//! counts to and from the ledger. Statements are judged in `judging`; `requests` has what goes to the ledger.

mod judging;
mod requests;

use std::collections::BTreeMap;

use hallmux_lease::LeaseTerms;
use hallmux_ledger::Owner;

use crate::event::Event;
use crate::hits::{Hit, Hits};
use crate::index::{Index, Verdict};
use crate::judge::Request;
use crate::known::KnownNames;
use crate::read::RulesCommand;
use crate::record::{Record, WhatIfReport};
use crate::rule::RuleSet;
use crate::shares::{Limit, Shares};
use crate::versions::Versions;
use crate::{FrontId, Micros, Moment};

/// How one front's part in the rules is configured.
pub struct AccessConfig {
    /// This front, and the incarnation in which it runs.
    pub own: Owner,
    /// All whose counts make the fleet's, this front too.
    pub fronts: Vec<FrontId>,
    /// Where this front stands, as rules may name it.
    pub region: String,
    /// The names that rules may use.
    pub known: KnownNames,
    /// How long a lease on the rules and on shares of limits lasts, and by how much clocks may drift.
    pub terms: LeaseTerms,
    /// How long what was asked is remembered, by kind; 0: not at all.
    pub remembers: Micros,
    /// The number behind which its asks to the ledger are numbered: other callers of this front keep away from them.
    pub first_number: u64,
}

/// A version of the rules as a front holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldVersion {
    /// Its number; 0 where the fleet was never given a set.
    pub version: u64,
    /// Whether the front may judge by it now.
    pub may_judge: bool,
}

/// A statement between its arrival and its final answer.
struct OpenStatement {
    request: Request,
    verdict: Verdict,
    /// Where its executions are, by the caller's number.
    executions: BTreeMap<u64, Option<u16>>,
    /// It is to be ended, as a new version bars it.
    ending: bool,
    /// When it was judged: rules that move go by that at every attempt.
    first_judged_ms: u64,
    /// What it counts for, while it waits for its share of a limit.
    hits: Vec<Hit>,
}

/// One front's part in the access rules. It does no input or output: the caller passes in the time and the
/// ledger's answers, and carries out what [`Access::take`] returns.
pub struct Access {
    region: String,
    versions: Versions,
    hits: Hits,
    shares: Shares,
    record: Record,
    open: BTreeMap<u64, OpenStatement>,
    /// The number of the statement judged last.
    last_statement: u64,
    /// The version that open statements were last held against.
    checked_version: u64,
    /// Statements that a new version has ended.
    pub revoked_count: u64,
    revoked: Vec<u64>,
    superseded_reported: bool,
    /// The fault of the shares that was reported last.
    shares_fault: Option<Event>,
}

impl Access {
    /// A front that has not read the rules yet: until it has, it answers [`Decision::RulesUnknown`] for every
    /// customer that rules can be about.
    pub fn new(config: AccessConfig) -> Access {
        let shares = Shares::new(config.own, config.terms, config.fronts.len());
        Access {
            region: config.region,
            shares,
            record: Record::new(config.remembers),
            versions: Versions::new(config.known, config.terms, config.first_number),
            hits: Hits::new(config.own, config.fronts),
            open: BTreeMap::new(),
            last_statement: 0,
            checked_version: 0,
            revoked_count: 0,
            revoked: Vec::new(),
            superseded_reported: false,
            shares_fault: None,
        }
    }

    /// The names that rules may use, as configured.
    pub fn known(&self) -> &KnownNames {
        self.versions.known()
    }

    /// The version held.
    pub fn version(&self, steady: Micros) -> HeldVersion {
        HeldVersion {
            version: self.versions.held().set.version,
            may_judge: self.versions.lease(steady).is_some(),
        }
    }

    /// The name of the rule that decided.
    pub fn rule(&self, verdict: &Verdict) -> Option<&str> {
        let held = self.versions.held();
        verdict
            .rule
            .filter(|_| held.set.version == verdict.version)
            .map(|rule| held.name(rule))
    }

    /// The locations that a verdict lets a statement be read at; None: all.
    pub fn locations(&self, verdict: &Verdict) -> Option<Vec<String>> {
        let places = verdict.allowed.as_ref()?;
        Some(self.known().location_names(places))
    }

    /// The limits that a verdict of the version held lets a statement through within.
    pub fn limits(&self, verdict: &Verdict) -> Vec<Limit> {
        let held = self.versions.held();
        if held.set.version == verdict.version {
            held.limits(verdict)
        } else {
            Vec::new()
        }
    }

    /// A file was read: it is to be the fleet's.
    pub fn offer(&mut self, file: &str, text: &str, command: RulesCommand) {
        self.versions.offer(file, text, command);
    }

    /// What a set would decide otherwise of what was asked here, before it is put in force.
    pub fn what_if(&mut self, at: Moment, set: RuleSet) -> WhatIfReport {
        let (held, known) = (self.versions.held(), self.versions.known());
        self.record
            .compare(at, &self.region, held, &Index::new(set), known)
    }

    /// A statement may not leave for want of room within a limit: later there may be.
    pub fn is_limited(&self, statement: u64) -> bool {
        self.shares.lacks(statement)
    }

    /// Statements refused by each rule's limit in this front's life.
    pub fn limited(&self) -> &BTreeMap<String, u64> {
        &self.shares.limited
    }

    /// An execution has ended.
    pub fn execution_ended(&mut self, statement: u64, execution: u64) {
        if let Some(open) = self.open.get_mut(&statement) {
            open.executions.remove(&execution);
        }
    }

    /// A statement has its final answer, or nobody waits for it.
    pub fn statement_over(&mut self, statement: u64) {
        self.open.remove(&statement);
        self.hits.forget(statement);
        self.shares.over(statement);
    }
}
