//! One front's part in the rules: it judges statements, watches those that are open, and carries the version and the
//! counts to and from the ledger.

use std::collections::BTreeMap;

use hallmux_lease::Terms;
use hallmux_ledger::{LedgerAnswer, LedgerRequest, Owner};

use crate::event::Event;
use crate::hits::{FleetHits, Hit, Hits};
use crate::index::{Index, Verdict};
use crate::judge::{judge, Request};
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
    pub terms: Terms,
    /// How long what was asked is remembered, by kind; 0: not at all.
    pub remembers: Micros,
    /// The number behind which its asks to the ledger are numbered: other callers of this front keep away from them.
    pub first_number: u64,
}

/// What the rules in force say of a statement as it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// No rule can be about its customer.
    Unrestricted,
    /// This front cannot know what holds for its customer.
    RulesUnknown,
    /// Decided under this number, until `over`. One that `waits` goes on once its number is `counted`: to its engine,
    /// or, where it is denied, to its final answer.
    Decided {
        /// The statement's number in this front's life.
        statement: u64,
        /// What the rules say of it.
        verdict: Verdict,
        /// Whether it has to wait until its count stands in the ledger.
        waits: bool,
    },
}

impl Decision {
    /// Whether a rule or the default denies the statement.
    pub fn is_denied(&self) -> bool {
        matches!(self, Decision::Decided { verdict, .. } if verdict.denied.is_some())
    }
}

/// What is to be done.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Requests to the ledger; each is answered through [`Access::on_ledger_answer`] under its number.
    pub ledger_requests: Vec<LedgerRequest>,
    /// Events for the log, in the order in which they happened.
    pub events: Vec<Event>,
    /// Statements whose hits stand.
    pub counted: Vec<u64>,
    /// Statements for which there is no room within a limit: nothing of them has left, and later there may be.
    pub over_limit: Vec<u64>,
    /// Statements that run where the version adopted bars: they are to be ended, where the platform can.
    pub revoked: Vec<u64>,
    /// The fleet's count, as it was asked for.
    pub fleet_hits: Option<FleetHits>,
}

struct Open {
    request: Request,
    verdict: Verdict,
    /// Where its executions are, by the caller's number.
    out: BTreeMap<u64, Option<u16>>,
    ending: bool,
    /// When it was judged: rules that move go by that at every try.
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
    open: BTreeMap<u64, Open>,
    next: u64,
    /// The version that open statements were last held against.
    checked_version: u64,
    /// Statements that a new version has ended.
    pub revoked_count: u64,
    revoked: Vec<u64>,
    superseded_reported: bool,
    /// What the shares lacked when the caller was told last.
    shares_trouble: Option<Event>,
}

impl Access {
    /// A front that has not read the rules yet: until it has, it answers [`Decision::RulesUnknown`] for every
    /// customer that rules can be about.
    pub fn new(setup: AccessConfig) -> Access {
        let AccessConfig {
            own,
            fronts,
            region,
            known,
            terms,
            remembers,
            first_number,
        } = setup;
        let shares = Shares::new(own, terms, fronts.len());
        Access {
            region,
            shares,
            record: Record::new(remembers),
            versions: Versions::new(known, terms, first_number),
            hits: Hits::new(own, fronts),
            open: BTreeMap::new(),
            next: 0,
            checked_version: 0,
            revoked_count: 0,
            revoked: Vec::new(),
            superseded_reported: false,
            shares_trouble: None,
        }
    }

    /// The names that rules may use, as configured.
    pub fn known(&self) -> &KnownNames {
        self.versions.known()
    }

    /// The version held, and whether this front may judge by it now.
    pub fn version(&self, steady: Micros) -> (u64, bool) {
        (
            self.versions.held().set.version,
            self.versions.lease(steady).is_some(),
        )
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
        let named = |place: &u16| self.known().locations.get(*place as usize).cloned();
        verdict
            .allowed
            .as_ref()
            .map(|places| places.iter().filter_map(named).collect())
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

    /// Judges a statement, once for all its tries.
    pub fn judge(&mut self, at: Moment, request: Request) -> Decision {
        if !self.known().covers(&request.customer) {
            return Decision::Unrestricted;
        }
        let Some(index) = self.versions.lease(at.steady) else {
            return Decision::RulesUnknown;
        };
        let verdict = judge(index, &self.region, &request, at.wall_ms, None);
        self.record.add(at.steady, &request);
        let hit = |rule: usize| Hit {
            rule: index.name(rule).to_string(),
            customer: request.customer.clone(),
            region: self.region.clone(),
        };
        let hits: Vec<Hit> = verdict
            .rule
            .into_iter()
            .chain(verdict.counts)
            .map(hit)
            .collect();
        self.next += 1;
        let (statement, waits) = (self.next, !hits.is_empty());
        let limits = if verdict.denied.is_none() {
            index.limits(&verdict)
        } else {
            Vec::new()
        };
        let goes = limits.is_empty() || self.shares.take(at.steady, statement, limits);
        let hits = match goes {
            true if waits => {
                self.hits.count(statement, hits);
                Vec::new()
            }
            _ => hits,
        };
        let open = Open {
            request,
            verdict: verdict.clone(),
            out: BTreeMap::new(),
            ending: false,
            hits,
            first_judged_ms: at.wall_ms,
        };
        self.open.insert(statement, open);
        Decision::Decided {
            statement,
            verdict,
            waits,
        }
    }

    /// Whether an execution may leave for a location now: by the version that the statement was judged by, by the one
    /// that holds, and under a lease. One that may not never will; its statement is to end.
    pub fn may_send(&mut self, at: Moment, statement: u64, execution: u64, location: &str) -> bool {
        let place = self
            .known()
            .locations
            .iter()
            .position(|name| name == location)
            .map(|at| at as u16);
        let Some(index) = self.versions.lease(at.steady) else {
            return false;
        };
        let Some(open) = self.open.get_mut(&statement) else {
            return false;
        };
        let still = open.verdict.version == index.set.version
            || judge(
                index,
                &self.region,
                &open.request,
                at.wall_ms,
                Some(open.first_judged_ms),
            )
            .allows(place);
        let may = still
            && !open.ending
            && open.verdict.allows(place)
            && self.shares.begins(at.steady, statement);
        if may {
            open.out.insert(execution, place);
        }
        may
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
            open.out.remove(&execution);
        }
    }

    /// A statement has its final answer, or nobody waits for it.
    pub fn statement_over(&mut self, statement: u64) {
        self.open.remove(&statement);
        self.hits.forget(statement);
        self.shares.over(statement);
    }

    /// The time on the steady clock, in microseconds, at which [`Access::tick`] is next due; `Micros::MAX` if
    /// nothing is.
    pub fn due(&self, steady: Micros) -> Micros {
        self.versions
            .due()
            .min(self.hits.due())
            .min(self.shares.due(steady))
    }

    /// Does what is due: renews the lease, reads and changes the version, writes counts, and moves shares of
    /// limits. To be called at [`Access::due`]; a call before that does no harm.
    pub fn tick(&mut self, at: Moment) {
        self.versions.tick(at);
        self.shares.tick(at, &mut || self.versions.number());
        self.count_those_with_shares();
        self.hits.tick(at, &mut || self.versions.number());
        self.revoke_barred(at);
    }

    /// Those that have their shares now wait for their count.
    fn count_those_with_shares(&mut self) {
        for statement in std::mem::take(&mut self.shares.ready) {
            if let Some(open) = self.open.get_mut(&statement) {
                self.hits.count(statement, std::mem::take(&mut open.hits));
            }
        }
    }

    /// The ledger has answered. False if it was not asked here.
    pub fn on_ledger_answer(&mut self, at: Moment, done: LedgerAnswer) -> bool {
        let LedgerAnswer { number, outcome } = done;
        let ours = self.versions.done(at, number, outcome.clone())
            || self
                .hits
                .done(at, number, outcome.clone(), &mut || self.versions.number())
            || self
                .shares
                .done(at, number, outcome, &mut || self.versions.number());
        self.count_those_with_shares();
        self.hits.tick(at, &mut || self.versions.number());
        self.revoke_barred(at);
        ours
    }

    /// Asks for the fleet's count; it comes with `Output`.
    pub fn request_fleet_hits(&mut self, at: Moment) {
        self.hits.sweep(at);
    }

    /// The fleet's count as it was asked for last, and how old it is at most.
    pub fn fleet_hits(&self, steady: Micros) -> (&FleetHits, Option<Micros>) {
        let fleet = self.hits.fleet();
        (fleet, fleet.as_of.map(|at| steady - at))
    }

    /// Holds what runs against a version that was adopted.
    fn revoke_barred(&mut self, at: Moment) {
        let index = self.versions.held();
        if index.set.version == self.checked_version {
            return;
        }
        self.checked_version = index.set.version;
        for (statement, open) in self
            .open
            .iter_mut()
            .filter(|(_, open)| !open.out.is_empty() && !open.ending)
        {
            let verdict = judge(
                index,
                &self.region,
                &open.request,
                at.wall_ms,
                Some(open.first_judged_ms),
            );
            if !open.out.values().all(|place| verdict.allows(*place)) {
                open.ending = true;
                self.revoked_count += 1;
                self.revoked.push(*statement);
            }
        }
    }

    /// What is to be done since the last call. Each item is returned once.
    pub fn take(&mut self) -> Output {
        let mut ledger_requests = std::mem::take(&mut self.versions.asks);
        ledger_requests.append(&mut self.hits.asks);
        ledger_requests.append(&mut self.shares.asks);
        let mut events = std::mem::take(&mut self.versions.events);
        if std::mem::take(&mut self.hits.ledger_full) {
            events.push(Event::LedgerFull { what: "hits" });
        }
        if self.hits.superseded && !std::mem::replace(&mut self.superseded_reported, true) {
            events.push(Event::Superseded);
        }
        let trouble = self.shares.trouble();
        if trouble != self.shares_trouble {
            events.extend(trouble.clone());
            self.shares_trouble = trouble;
        }
        let swept = std::mem::take(&mut self.hits.swept);
        Output {
            ledger_requests,
            events,
            counted: std::mem::take(&mut self.hits.counted),
            over_limit: std::mem::take(&mut self.shares.refused),
            revoked: std::mem::take(&mut self.revoked),
            fleet_hits: swept.then(|| self.hits.fleet().clone()),
        }
    }
}
