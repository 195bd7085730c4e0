//! Regional access rules among the rest of the front: statements are judged as they are taken, wait until their hits
//! stand, and are looked at again just before they leave. What they decide is in `crates/access`; this holds the file, the clock
//! and the ledger that it reads. Switched on by the operator's file; off, it is not there.

mod file;
mod log_lines;
mod session_control;
mod start;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use hallmux_access::{self as access, Access, Decision, FleetHits, Request, RulesCommand};
use hallmux_dispatcher::{Dispatcher, Ending, Micros, Place, Terms, Ticket};
use hallmux_ledger::{self as ledger, Ledger, Moment};
use hallmux_native_codec::tables;

use super::peers::Peers;
use crate::execution::ExecutionId;
use file::read;

/// The highest byte of the numbers of its asks: other parts of one front have others.
const REQUEST_NUMBER_BASE: u64 = 2 << 56;
/// Groups of tables that a statement is judged by; more cannot be told.
const MOST_GROUPS: usize = 16;
/// Microseconds between reports to the dispatcher on what is held here.
const REPORT_INTERVAL: Micros = 100_000;

/// The front and its sessions judge by the same.
pub type SharedRules = Rc<RefCell<Rules>>;

/// An execution that the dispatcher has ordered to be sent.
#[derive(Clone, Copy)]
pub struct SendCommand {
    /// The statement that was judged: of a part the whole.
    pub checked_ticket: Ticket,
    pub ticket: Ticket,
    pub execution: usize,
    pub place: Place,
    pub terms: Terms,
}

impl SendCommand {
    /// Which execution it is.
    pub fn id(&self) -> ExecutionId {
        ExecutionId::new(self.ticket, self.execution)
    }
}

/// What becomes of a statement.
pub enum RuleDecision {
    /// Its hit stands: the execution held leaves.
    Send(SendCommand),
    /// Denied, and its hit stands: final, and it would be denied again.
    Deny(Ticket),
    /// It has not run and may not leave any more: final. `may_retry`: it may be allowed later.
    Reject { ticket: Ticket, may_retry: bool },
    /// It may have run, where the version adopted bars: final, and nothing is promised.
    Abort(Ticket),
}

struct Statement {
    ticket: Ticket,
    waits: bool,
    denied: bool,
    ran: bool,
    held: Vec<SendCommand>,
}

/// The access rules, and the statements that they have judged.
pub struct Rules {
    access: Access,
    /// A front without others keeps its promises alone.
    alone: Option<Ledger>,
    steady: Instant,
    statements: BTreeMap<u64, Statement>,
    tickets: HashMap<Ticket, u64>,
    rulings: Vec<RuleDecision>,
    next_report: Micros,
    next_log: Micros,
    log_every: Micros,
    ended: u64,
    logged_hits: Option<FleetHits>,
    logged_limits: BTreeMap<String, u64>,
}

impl Rules {
    /// SIGHUP: the file is read again. One that can't be used changes nothing.
    pub fn reload(&mut self, now: Micros, rules: &hallmux_config::Rules) {
        match read(&rules.file, self.access.known()) {
            Ok((_, RulesCommand::WhatIf(set))) => {
                let found = self.access.what_if(self.moment(now), set);
                log_lines::what_if(&found);
            }
            Ok((text, command)) => self.access.offer(&rules.file, &text, command),
            Err(why) => log::error!("the rules are left as they were: {why}"),
        }
        self.logged_hits = None;
        self.access.request_fleet_hits(self.moment(now));
    }

    fn moment(&self, now: Micros) -> Moment {
        Moment {
            steady: self.steady.elapsed().as_micros() as Micros,
            wall_ms: (now / 1000) as u64,
        }
    }

    /// Judges a statement, once for all its tries.
    pub fn check_statement(
        &mut self,
        now: Micros,
        customer: &str,
        workload: &str,
        text: &[u8],
    ) -> Decision {
        let groups = Some(tables::groups(text, MOST_GROUPS)).filter(|all| !all.is_empty());
        let groups = groups.or_else(|| session_control::reads_no_table(text).then(Vec::new));
        let request = Request {
            customer: customer.to_string(),
            workload: workload.to_string(),
            groups,
        };
        let judged = self.access.judge(self.moment(now), request);
        if let Decision::Decided { verdict, .. } = &judged {
            if let Some(why) = &verdict.denied {
                let rule = self.access.rule(verdict).unwrap_or("the default");
                log::info!(
                    "customer {customer}: {workload} is denied by {rule} of version {}: {why}",
                    verdict.version
                );
            }
        }
        judged
    }

    /// The locations that are allowed to it; None: all. Of one that is denied nothing ever leaves.
    pub fn allowed_locations(&self, judged: &Decision) -> Option<Vec<String>> {
        match judged {
            Decision::Decided { verdict, .. } if verdict.denied.is_none() => {
                self.access.locations(verdict)
            }
            _ => None,
        }
    }

    /// A statement that was judged is taken under a ticket, and its end is told by `gone`; or it was not taken.
    pub fn record_admission(
        &mut self,
        dispatcher: &mut Dispatcher,
        judged: &Decision,
        ticket: Option<Ticket>,
    ) {
        match ticket {
            Some(ticket) => self.opened(dispatcher, ticket, judged),
            None => self.dropped(judged),
        }
    }

    fn opened(&mut self, dispatcher: &mut Dispatcher, ticket: Ticket, judged: &Decision) {
        if let Decision::Decided {
            statement,
            verdict,
            waits,
        } = judged
        {
            dispatcher.watch_end(ticket);
            let denied = verdict.denied.is_some();
            self.statements.insert(
                *statement,
                Statement {
                    ticket,
                    waits: *waits,
                    denied,
                    ran: false,
                    held: Vec::new(),
                },
            );
            self.tickets.insert(ticket, *statement);
            if denied && !waits {
                self.rulings.push(RuleDecision::Deny(ticket));
            }
        }
    }

    fn dropped(&mut self, judged: &Decision) {
        if let Decision::Decided { statement, .. } = judged {
            self.access.statement_over(*statement);
        }
    }

    /// A statement is over with nothing out for it.
    pub fn statement_ended(&mut self, ticket: Ticket) {
        if let Some(statement) = self.tickets.remove(&ticket) {
            self.statements.remove(&statement);
            self.access.statement_over(statement);
        }
    }

    /// An execution is ordered. False if it waits here; then a ruling follows.
    pub fn hold_or_pass(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        ordered: SendCommand,
    ) -> bool {
        let Some(number) = self.tickets.get(&ordered.checked_ticket).copied() else {
            return true;
        };
        let Some(s) = self.statements.get_mut(&number) else {
            return true;
        };
        if s.waits || s.denied {
            s.held.push(ordered);
            dispatcher.execution_held(now, ordered.ticket, ordered.execution);
            return false;
        }
        true
    }

    /// The last look before its first byte leaves. False if it may not: then its statement ends by a ruling.
    pub fn check_before_send(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        ordered: SendCommand,
    ) -> bool {
        let Some(number) = self.tickets.get(&ordered.checked_ticket).copied() else {
            return true;
        };
        let at = self.moment(now);
        let location = dispatcher.site(ordered.place).location;
        let names = &self.access.known().locations;
        let location = names.get(location).cloned().unwrap_or_default();
        let may = self
            .access
            .may_send(at, number, place_of(ordered.id()), &location);
        let closed = !self.access.version(at.steady).may_judge;
        let limited = self.access.is_limited(number);
        let Some(s) = self.statements.get_mut(&number) else {
            return true;
        };
        if may {
            s.ran = true;
            return true;
        }
        let why = match (closed, limited) {
            (true, _) => "while this front cannot know what holds",
            (_, true) => "beyond a rule's limit",
            _ => "by the version that holds",
        };
        log::info!("statement {}: may not leave for {location} {why}", s.ticket);
        dispatcher.report(
            now,
            ordered.ticket,
            ordered.execution,
            Ending::Withdrawn,
            None,
        );
        let ruling = if s.ran {
            RuleDecision::Abort(s.ticket)
        } else {
            RuleDecision::Reject {
                ticket: s.ticket,
                may_retry: closed || limited,
            }
        };
        self.rulings.push(ruling);
        false
    }

    /// Gives an execution up. True if it was held here: nothing of it has left.
    pub fn cancel(&mut self, of: Ticket, sent: ExecutionId) -> bool {
        let number = self.tickets.get(&of);
        let Some(s) = number.and_then(|number| self.statements.get_mut(number)) else {
            return false;
        };
        let before = s.held.len();
        s.held.retain(|held| held.id() != sent);
        s.held.len() < before
    }

    /// An execution has ended.
    pub fn execution_ended(&mut self, of: Ticket, sent: ExecutionId) {
        if let Some(number) = self.tickets.get(&of) {
            self.access.execution_ended(*number, place_of(sent));
        }
    }

    /// When `tick` is next due, in Unix microseconds.
    pub fn due(&self, now: Micros) -> Micros {
        if !self.rulings.is_empty() {
            return now;
        }
        let steady = self.steady.elapsed().as_micros() as Micros;
        let ledger = self.alone.as_ref().map_or(Micros::MAX, Ledger::due);
        let next = self.access.due(steady).min(ledger).min(self.next_log);
        let wait = next.max(steady).saturating_sub(steady);
        let next = now.saturating_add(wait);
        let holds = self.statements.values().any(|s| !s.held.is_empty());
        if holds {
            next.min(self.next_report)
        } else {
            next
        }
    }

    /// Does what is due; returns what becomes of statements.
    pub fn tick(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        mut peers: Option<&mut Peers>,
    ) -> Vec<RuleDecision> {
        let at = self.moment(now);
        if at.steady >= self.next_log {
            self.next_log = at.steady + self.log_every;
            self.access.request_fleet_hits(at);
            self.log_limits();
        }
        self.access.tick(at);
        loop {
            let out = self.access.take();
            self.take(at, &out);
            let answers = self.ask_ledger(now, at, out.ledger_requests, peers.as_deref_mut());
            if answers.is_empty() {
                break;
            }
            for answer in answers {
                self.access.on_ledger_answer(self.moment(now), answer);
            }
        }
        self.report_held(now, dispatcher);
        let rulings = std::mem::take(&mut self.rulings);
        for ruling in &rulings {
            if let RuleDecision::Send(ordered) = ruling {
                dispatcher.execution_sent(now, ordered.ticket, ordered.execution);
            }
        }
        rulings
    }

    /// Asks this front's own ledger or the fleet's, and takes the answers there are.
    fn ask_ledger(
        &mut self,
        now: Micros,
        at: Moment,
        asks: Vec<ledger::LedgerRequest>,
        peers: Option<&mut Peers>,
    ) -> Vec<ledger::LedgerAnswer> {
        if let Some(ledger) = &mut self.alone {
            return ask_own_ledger(ledger, at, asks);
        }
        let Some(peers) = peers else {
            return Vec::new();
        };
        for ask in asks {
            peers.submit_ledger_request(now, ask);
        }
        peers.take_ledger_answers(REQUEST_NUMBER_BASE)
    }

    /// Reports to the dispatcher, now and then, that what is held here still is.
    fn report_held(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
        if self.next_report > now {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        for held in self.statements.values().flat_map(|s| &s.held) {
            dispatcher.execution_held(now, held.ticket, held.execution);
        }
    }

    fn take(&mut self, at: Moment, out: &access::Output) {
        out.events.iter().for_each(log_lines::log_event);
        for number in &out.counted {
            let Some(s) = self.statements.get_mut(number) else {
                continue;
            };
            s.waits = false;
            if s.denied {
                self.rulings.push(RuleDecision::Deny(s.ticket));
            } else {
                self.rulings
                    .extend(s.held.drain(..).map(RuleDecision::Send));
            }
        }
        for number in &out.over_limit {
            let Some(s) = self.statements.get(number) else {
                continue;
            };
            self.rulings.push(RuleDecision::Reject {
                ticket: s.ticket,
                may_retry: true,
            });
        }
        for number in &out.revoked {
            let Some(s) = self.statements.get(number) else {
                continue;
            };
            self.rulings.push(RuleDecision::Abort(s.ticket));
        }
        if self.ended != self.access.revoked_count {
            let more = self.access.revoked_count - self.ended;
            log::warn!(
                "{more} statements ran where the rules bar from now on, and are ended; {} so far",
                self.access.revoked_count
            );
            self.ended = self.access.revoked_count;
        }
        if let Some(fleet) = &out.fleet_hits {
            self.log_hits(at, fleet);
        }
    }
}

fn ask_own_ledger(
    ledger: &mut Ledger,
    at: Moment,
    asks: Vec<ledger::LedgerRequest>,
) -> Vec<ledger::LedgerAnswer> {
    for ask in asks {
        ledger.ask(at, ask);
    }
    ledger.tick(at);
    let output = ledger.take_output();
    // Nothing is kept, and nobody else hears: what it saves is lasting as far as it goes.
    for save in &output.saves {
        ledger.saved(at, save.number, true);
    }
    let mut answers = output.done;
    answers.extend(ledger.take_output().done);
    answers
}

/// The number of an execution for `hallmux_access`; executions of different parts of a statement have different ones.
fn place_of(sent: ExecutionId) -> u64 {
    u64::from(sent.ticket) << 16 | sent.number as u64 & 0xffff
}
