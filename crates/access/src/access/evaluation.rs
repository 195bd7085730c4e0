//! Evaluates statements on arrival, before each execution is sent, and when a new version is
//! adopted.

use std::collections::BTreeMap;

use super::{Access, OpenStatement};
use crate::decision::Decision;
use crate::evaluate::{evaluate, Request};
use crate::hits::Hit;
use crate::index::{Index, Verdict};
use crate::shares::Limit;
use crate::{ClockReading, Micros};

impl Access {
    /// Evaluates a statement once for all its attempts.
    pub fn evaluate(&mut self, at: ClockReading, request: Request) -> Decision {
        if !self.known_names().covers_customer(&request.customer) {
            return Decision::Unrestricted;
        }
        let Some(index) = self.versions.index_under_lease(at.steady) else {
            return Decision::RulesUnknown;
        };
        let verdict = evaluate(index, &self.region, &request, at.wall_ms, None);
        self.record.add(at.steady, &request);
        let hits = self.hits_of(index, &verdict, &request);
        let limits = if verdict.denied.is_none() {
            index.limits(&verdict)
        } else {
            Vec::new()
        };
        self.last_statement += 1;
        let statement = self.last_statement;
        let awaits_count = !hits.is_empty();
        let hits = self.count_within_limits(at.steady, statement, hits, limits);
        let open = OpenStatement {
            request,
            verdict: verdict.clone(),
            executions: BTreeMap::new(),
            is_revoked: false,
            uncounted_hits: hits,
            first_evaluated_ms: at.wall_ms,
        };
        self.open_statements.insert(statement, open);
        Decision::Decided {
            statement,
            verdict,
            awaits_count,
        }
    }

    /// Returns the hits of the deciding and the counting rule of a statement.
    fn hits_of(&self, index: &Index, verdict: &Verdict, request: &Request) -> Vec<Hit> {
        let rules = verdict.rule.into_iter().chain(verdict.counting_rule);
        rules
            .map(|rule| Hit {
                rule: index.rule_name(rule).to_string(),
                customer: request.customer.clone(),
                region: self.region.clone(),
            })
            .collect()
    }

    /// Counts a statement's hits if it has its shares of all limits; otherwise returns the hits,
    /// which are counted once it has them.
    fn count_within_limits(
        &mut self,
        now: Micros,
        statement: u64,
        hits: Vec<Hit>,
        limits: Vec<Limit>,
    ) -> Vec<Hit> {
        let has_shares = limits.is_empty() || self.shares.acquire(now, statement, limits);
        if !has_shares || hits.is_empty() {
            return hits;
        }
        self.hits.count(statement, hits);
        Vec::new()
    }

    /// Decides whether an execution may be sent to a location now, and records it if so. It must be
    /// allowed by the version that decided the statement, by the version now held, and by a valid
    /// lease and share. A rejected execution is never sent later; the caller has to end its
    /// statement.
    pub fn may_send(
        &mut self,
        at: ClockReading,
        statement: u64,
        execution: u64,
        location: &str,
    ) -> bool {
        let location_index = self.known_names().location_index(location);
        let Some(index) = self.versions.index_under_lease(at.steady) else {
            return false;
        };
        let Some(open) = self.open_statements.get_mut(&statement) else {
            return false;
        };
        let is_allowed_now = open.verdict.version == index.set.version
            || open
                .evaluate_again(index, &self.region, at)
                .allows(location_index);
        let is_allowed = is_allowed_now
            && !open.is_revoked
            && open.verdict.allows(location_index)
            && self.shares.begin(at.steady, statement);
        if is_allowed {
            open.executions.insert(execution, location_index);
        }
        is_allowed
    }

    /// Marks statements as revoked that run at a location barred by a newly adopted version.
    pub(super) fn revoke_barred(&mut self, at: ClockReading) {
        let index = self.versions.held();
        if index.set.version == self.checked_version {
            return;
        }
        self.checked_version = index.set.version;
        for (statement, open) in &mut self.open_statements {
            if open.executions.is_empty() || open.is_revoked {
                continue;
            }
            let verdict = open.evaluate_again(index, &self.region, at);
            if !open
                .executions
                .values()
                .all(|location_index| verdict.allows(*location_index))
            {
                open.is_revoked = true;
                self.revoked_count += 1;
                self.revoked.push(*statement);
            }
        }
    }
}

impl OpenStatement {
    /// Evaluates the statement under a rule set at the present time.
    fn evaluate_again(&self, index: &Index, region: &str, at: ClockReading) -> Verdict {
        let first_evaluated_ms = Some(self.first_evaluated_ms);
        evaluate(index, region, &self.request, at.wall_ms, first_evaluated_ms)
    }
}
