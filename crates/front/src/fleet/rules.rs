//! Applies regional access rules to statements. A statement is checked when it is admitted, waits
//! until its hits are replicated in the ledger, and is checked again right before it is sent.
//! `crates/access` makes the decisions; this module provides the file of rules, the clock and the
//! ledger. Created only if the operator's file enables rules.

mod file;
mod log_lines;
mod session_control;
mod start;
mod table_groups;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use hallmux_access::{self as access, Access, Decision, FleetHits, Request, RulesCommand};
use hallmux_dispatcher::{Dispatcher, Ending, EngineIndex, Micros, Terms, Ticket};
use hallmux_ledger::{self as ledger, ClockReading, Ledger};

use super::peers::Peers;
use crate::execution::ExecutionId;
use file::read_rules;
pub use table_groups::table_groups;

/// First number of the access rules' ledger requests. Its highest byte identifies them among the
/// front's components.
const REQUEST_NUMBER_BASE: u64 = 2 << 56;
/// Microseconds between reports to the dispatcher that executions are still held.
const REPORT_INTERVAL: Micros = 100_000;

/// The access rules, shared by the event loop and the gateway of PostgreSQL sessions.
pub type SharedRules = Rc<RefCell<Rules>>;

/// The dispatcher's command to send an execution, and the statement that the access rules checked
/// for it.
#[derive(Clone, Copy)]
pub struct SendCommand {
    /// The statement that the access rules checked: for a part of a scattered statement, its
    /// parent.
    pub checked_ticket: Ticket,
    pub ticket: Ticket,
    pub execution: usize,
    pub place: EngineIndex,
    pub terms: Terms,
}

impl SendCommand {
    /// Returns the identity of the execution.
    pub fn id(&self) -> ExecutionId {
        ExecutionId::new(self.ticket, self.execution)
    }
}

/// A decision of the access rules on a statement that waited for one.
pub enum RuleDecision {
    /// The statement's hit is replicated: the held execution is sent.
    Send(SendCommand),
    /// The statement is denied, and its hit is replicated if it has one. Final; a retry would be
    /// denied again.
    Deny(Ticket),
    /// The statement has not run and must not be sent any more. Final; with `may_retry`, a retry
    /// may be allowed later.
    Reject { ticket: Ticket, may_retry: bool },
    /// The statement may have run at a location that the adopted version bars. Final; its effects
    /// are unknown.
    Abort(Ticket),
}

/// A statement that the rules checked, and its executions that are held until its hit is replicated.
struct Statement {
    ticket: Ticket,
    waits_for_hit: bool,
    is_denied: bool,
    may_have_run: bool,
    held: Vec<SendCommand>,
}

/// The access rules, and the statements that they have checked.
pub struct Rules {
    access: Access,
    /// The ledger of a front without peers; None if the fleet's ledger is used.
    local_ledger: Option<Ledger>,
    steady_start: Instant,
    statements: BTreeMap<u64, Statement>,
    statement_numbers: HashMap<Ticket, u64>,
    decisions: Vec<RuleDecision>,
    /// When the held executions are next reported to the dispatcher, in Unix microseconds.
    next_report_time: Micros,
    /// When hits and limits are next logged, in microseconds since `steady_start`.
    next_log_time: Micros,
    log_interval: Micros,
    logged_revoked_count: u64,
    logged_hits: Option<FleetHits>,
    logged_limits: BTreeMap<String, u64>,
}

impl Rules {
    /// Reads the file of rules again, after SIGHUP. A file that can't be used is logged and changes
    /// nothing.
    pub fn reload(&mut self, now: Micros, rules: &hallmux_config::Rules) {
        match read_rules(&rules.file, self.access.known_names()) {
            Ok((_, RulesCommand::WhatIf(set))) => {
                let report = self.access.what_if(self.clock_reading(now), set);
                log_lines::log_what_if(&report);
            }
            Ok((text, command)) => self.access.propose(&rules.file, &text, command),
            Err(why) => log::error!("the rules are left as they were: {why}"),
        }
        self.logged_hits = None;
        self.access.request_fleet_hits(self.clock_reading(now));
    }

    fn clock_reading(&self, now: Micros) -> ClockReading {
        ClockReading {
            steady: self.steady_start.elapsed().as_micros() as Micros,
            wall_ms: (now / 1000) as u64,
        }
    }

    /// Checks a statement against the rules. Called once for a statement, before its first attempt.
    /// `groups`: the table groups that it reads, from `table_groups`.
    pub fn check_statement(
        &mut self,
        now: Micros,
        customer: &str,
        workload: &str,
        groups: Option<Vec<u32>>,
    ) -> Decision {
        let request = Request {
            customer: customer.to_string(),
            workload: workload.to_string(),
            groups,
        };
        let decision = self.access.evaluate(self.clock_reading(now), request);
        if let Decision::Decided { verdict, .. } = &decision {
            if let Some(why) = &verdict.denied {
                let rule = self.access.rule_name(verdict).unwrap_or("the default");
                log::info!(
                    "customer {customer}: {workload} is denied by {rule} of version {}: {why}",
                    verdict.version
                );
            }
        }
        decision
    }

    /// Returns the locations where a statement may run. None means all of them, also for a denied
    /// statement, of which nothing is sent.
    pub fn allowed_locations(&self, decision: &Decision) -> Option<Vec<String>> {
        match decision {
            Decision::Decided { verdict, .. } if verdict.denied.is_none() => {
                self.access.locations(verdict)
            }
            _ => None,
        }
    }

    /// Records that a checked statement was admitted under a ticket, and asks the dispatcher to
    /// report its end. Without a ticket the statement was not admitted and is forgotten.
    pub fn record_admission(
        &mut self,
        dispatcher: &mut Dispatcher,
        decision: &Decision,
        ticket: Option<Ticket>,
    ) {
        match ticket {
            Some(ticket) => self.insert_statement(dispatcher, ticket, decision),
            None => self.release_statement(decision),
        }
    }

    fn insert_statement(
        &mut self,
        dispatcher: &mut Dispatcher,
        ticket: Ticket,
        decision: &Decision,
    ) {
        if let Decision::Decided {
            statement,
            verdict,
            awaits_count,
        } = decision
        {
            dispatcher.watch_end(ticket);
            let is_denied = verdict.denied.is_some();
            self.statements.insert(
                *statement,
                Statement {
                    ticket,
                    waits_for_hit: *awaits_count,
                    is_denied,
                    may_have_run: false,
                    held: Vec::new(),
                },
            );
            self.statement_numbers.insert(ticket, *statement);
            if is_denied && !awaits_count {
                self.decisions.push(RuleDecision::Deny(ticket));
            }
        }
    }

    fn release_statement(&mut self, decision: &Decision) {
        if let Decision::Decided { statement, .. } = decision {
            self.access.statement_ended(*statement);
        }
    }

    /// Removes a statement that has ended and has no execution in flight.
    pub fn statement_ended(&mut self, ticket: Ticket) {
        if let Some(statement) = self.statement_numbers.remove(&ticket) {
            self.statements.remove(&statement);
            self.access.statement_ended(statement);
        }
    }

    /// Returns true if an execution may proceed, as one of a statement that the rules have not
    /// checked always may. Otherwise holds the execution until a decision on its statement follows.
    pub fn hold_or_pass(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        command: SendCommand,
    ) -> bool {
        let Some(number) = self.statement_numbers.get(&command.checked_ticket).copied() else {
            return true;
        };
        let Some(statement) = self.statements.get_mut(&number) else {
            return true;
        };
        if statement.waits_for_hit || statement.is_denied {
            statement.held.push(command);
            dispatcher.execution_held(now, command.ticket, command.execution);
            return false;
        }
        true
    }

    /// Checks an execution right before its first byte is sent. Returns false if it must not be
    /// sent; a decision then ends its statement.
    pub fn check_before_send(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        command: SendCommand,
    ) -> bool {
        let Some(number) = self.statement_numbers.get(&command.checked_ticket).copied() else {
            return true;
        };
        let clock = self.clock_reading(now);
        let location = dispatcher.engine_site(command.place).location;
        let names = &self.access.known_names().locations;
        let location = names.get(location).cloned().unwrap_or_default();
        let is_allowed =
            self.access
                .may_send(clock, number, execution_number(command.id()), &location);
        let rules_unknown = !self.access.held_version(clock.steady).has_lease;
        let is_limited = self.access.is_limited(number);
        let Some(statement) = self.statements.get_mut(&number) else {
            return true;
        };
        if is_allowed {
            statement.may_have_run = true;
            return true;
        }
        let reason = match (rules_unknown, is_limited) {
            (true, _) => "while this front cannot know which version of the rules holds",
            (_, true) => "because it exceeds a rule's limit",
            _ => "by the version of the rules in force here",
        };
        log::info!(
            "statement {}: not sent to {location} {reason}; the statement is ended",
            statement.ticket
        );
        dispatcher.execution_ended(
            now,
            command.ticket,
            command.execution,
            Ending::Withdrawn,
            None,
        );
        let decision = if statement.may_have_run {
            RuleDecision::Abort(statement.ticket)
        } else {
            RuleDecision::Reject {
                ticket: statement.ticket,
                may_retry: rules_unknown || is_limited,
            }
        };
        self.decisions.push(decision);
        false
    }

    /// Cancels an execution of a checked statement. Returns true if it was held here, so it was
    /// never sent.
    pub fn cancel(&mut self, checked_ticket: Ticket, execution_id: ExecutionId) -> bool {
        let number = self.statement_numbers.get(&checked_ticket);
        let Some(statement) = number.and_then(|number| self.statements.get_mut(number)) else {
            return false;
        };
        let previous_len = statement.held.len();
        statement.held.retain(|held| held.id() != execution_id);
        statement.held.len() < previous_len
    }

    /// Records that an execution has ended.
    pub fn execution_ended(&mut self, checked_ticket: Ticket, execution_id: ExecutionId) {
        if let Some(number) = self.statement_numbers.get(&checked_ticket) {
            self.access
                .execution_ended(*number, execution_number(execution_id));
        }
    }

    /// When `tick` is next due, in Unix microseconds.
    pub fn due(&self, now: Micros) -> Micros {
        if !self.decisions.is_empty() {
            return now;
        }
        let steady = self.steady_start.elapsed().as_micros() as Micros;
        let ledger = self.local_ledger.as_ref().map_or(Micros::MAX, Ledger::due);
        let next = self.access.due(steady).min(ledger).min(self.next_log_time);
        let wait = next.max(steady).saturating_sub(steady);
        let next = now.saturating_add(wait);
        let has_held = self
            .statements
            .values()
            .any(|statement| !statement.held.is_empty());
        if has_held {
            next.min(self.next_report_time)
        } else {
            next
        }
    }

    /// Runs the timers of the rules, exchanges requests and answers with the ledger, and returns
    /// the decisions on statements.
    pub fn tick(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        mut peers: Option<&mut Peers>,
    ) -> Vec<RuleDecision> {
        let clock = self.clock_reading(now);
        if clock.steady >= self.next_log_time {
            self.next_log_time = clock.steady + self.log_interval;
            self.access.request_fleet_hits(clock);
            self.log_limits();
        }
        self.access.tick(clock);
        loop {
            let output = self.access.take_output();
            self.apply_output(clock, &output);
            let answers = self.submit_ledger_requests(
                now,
                clock,
                output.ledger_requests,
                peers.as_deref_mut(),
            );
            if answers.is_empty() {
                break;
            }
            for answer in answers {
                self.access
                    .on_ledger_answer(self.clock_reading(now), answer);
            }
        }
        self.report_held(now, dispatcher);
        let decisions = std::mem::take(&mut self.decisions);
        for decision in &decisions {
            if let RuleDecision::Send(command) = decision {
                dispatcher.execution_sent(now, command.ticket, command.execution);
            }
        }
        decisions
    }

    /// Submits requests to the local ledger or the fleet's, and returns the answers that have arrived.
    fn submit_ledger_requests(
        &mut self,
        now: Micros,
        clock: ClockReading,
        requests: Vec<ledger::LedgerRequest>,
        peers: Option<&mut Peers>,
    ) -> Vec<ledger::LedgerAnswer> {
        if let Some(ledger) = &mut self.local_ledger {
            return submit_to_local_ledger(ledger, clock, requests);
        }
        let Some(peers) = peers else {
            return Vec::new();
        };
        for request in requests {
            peers.submit_ledger_request(now, request);
        }
        peers.take_ledger_answers(REQUEST_NUMBER_BASE)
    }

    /// Reports to the dispatcher every `REPORT_INTERVAL` that the held executions are still held.
    fn report_held(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
        if self.next_report_time > now {
            return;
        }
        self.next_report_time = now + REPORT_INTERVAL;
        for held in self
            .statements
            .values()
            .flat_map(|statement| &statement.held)
        {
            dispatcher.execution_held(now, held.ticket, held.execution);
        }
    }

    /// Logs events and turns the output of the access rules into decisions.
    fn apply_output(&mut self, clock: ClockReading, output: &access::Output) {
        output.events.iter().for_each(log_lines::log_event);
        for number in &output.counted {
            let Some(statement) = self.statements.get_mut(number) else {
                continue;
            };
            statement.waits_for_hit = false;
            if statement.is_denied {
                self.decisions.push(RuleDecision::Deny(statement.ticket));
            } else {
                self.decisions
                    .extend(statement.held.drain(..).map(RuleDecision::Send));
            }
        }
        for number in &output.over_limit {
            let Some(statement) = self.statements.get(number) else {
                continue;
            };
            self.decisions.push(RuleDecision::Reject {
                ticket: statement.ticket,
                may_retry: true,
            });
        }
        for number in &output.revoked {
            let Some(statement) = self.statements.get(number) else {
                continue;
            };
            self.decisions.push(RuleDecision::Abort(statement.ticket));
        }
        if self.logged_revoked_count != self.access.revoked_count {
            let newly_revoked = self.access.revoked_count - self.logged_revoked_count;
            log::warn!(
                "{newly_revoked} statements are ended because the rules now bar the locations where they run; {} so far",
                self.access.revoked_count
            );
            self.logged_revoked_count = self.access.revoked_count;
        }
        if let Some(fleet) = &output.fleet_hits {
            self.log_hits(clock, fleet);
        }
    }
}

/// Submits requests to the ledger of a front without peers, and returns its answers.
fn submit_to_local_ledger(
    ledger: &mut Ledger,
    clock: ClockReading,
    requests: Vec<ledger::LedgerRequest>,
) -> Vec<ledger::LedgerAnswer> {
    for request in requests {
        ledger.submit(clock, request);
    }
    ledger.tick(clock);
    let output = ledger.take_output();
    // This ledger has no disk and no other member, so that each save counts as durable at once.
    for save in &output.saves {
        ledger.saved(clock, save.number, true);
    }
    let mut answers = output.answers;
    answers.extend(ledger.take_output().answers);
    answers
}

/// Returns the number of an execution for `hallmux_access`. Executions of different parts of a
/// statement have different numbers.
fn execution_number(execution_id: ExecutionId) -> u64 {
    u64::from(execution_id.ticket) << 16 | execution_id.number as u64 & 0xffff
}
