//! Scattered statements, from their admission to their final answer.

mod parts;
mod sketches;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use hallmux_config::{Scatter, Settings};
use hallmux_dispatcher::{Dispatcher, InvalidRequest, Micros, Protocol, StatementRequest, Ticket};
use hallmux_gossip::PeerId;
use hallmux_native_codec::statement::Call;
use hallmux_scatter::gather::{Action, Answer, Gather, GatherRules, PartFailure};
use hallmux_scatter::load_markers::{load_numbers, LoadMarkers};
use hallmux_scatter::plan::{plan, Basis, LoadInfo, Plan, Reason};
use hallmux_scatter::sql::Query;

use super::audits::{RuledOut, SiteAudits};
use super::loads::Loads;
use super::summaries::Summaries;

/// Microseconds that a complete answer waits for audits only. Most engines answer within this time.
const AUDIT_TIMEOUT: Micros = 250_000;
/// Microseconds between log lines on the sites asked.
const LOG_INTERVAL: Micros = 60_000_000;

/// The final reply to a scattered statement.
#[derive(Debug, PartialEq)]
pub enum FinalReply {
    Answer(Answer),
    /// The dispatcher does not accept the statement's parts.
    Invalid(InvalidRequest),
}

/// A scattered statement and its parts.
struct Statement {
    call: Rc<Call>,
    query: Query,
    deadline: Micros,
    /// Sites that may be asked; None means all.
    allowed_sites: Option<Vec<String>>,
    /// Of a join: the load markers of its table groups that the ledger has answered; None if the
    /// ledger can't be reached.
    group_markers: BTreeMap<u32, Option<LoadMarkers>>,
    /// None while the statement waits for load markers.
    gather: Option<Gather>,
    /// Tickets of the parts that are at the dispatcher, by their index in the plan.
    tickets: BTreeMap<usize, Ticket>,
    /// Sites that are asked although their summaries rule them out.
    ruled_out: Vec<RuledOut>,
}

/// A client's statement that is to be scattered.
pub struct ScatterRequest {
    pub call: Rc<Call>,
    pub query: Query,
    /// When the client no longer waits for an answer, in Unix microseconds.
    pub deadline: Micros,
    /// The sites that the access rules allow; None means all.
    pub allowed_sites: Option<Vec<String>>,
}

/// A table group and its load markers in the ledger; None if the ledger can't be reached.
#[derive(Clone, Copy)]
pub struct GroupMarkers<'a> {
    pub group: u32,
    pub markers: Option<&'a LoadMarkers>,
}

/// A statement that waits for audits only, until the given time.
struct AuditWait {
    until: Micros,
    ticket: Ticket,
}

/// The parent statement of a part, and the part's index in the parent's plan.
struct PartLink {
    parent: Ticket,
    /// Index of the part in the parent's plan.
    part_index: usize,
}

/// Numbers of sites asked and skipped so far, for the log.
#[derive(Clone, Copy, Default)]
struct SiteCounts {
    asked: u64,
    left_out: u64,
}

/// All scattered statements of this front, and what they need: summaries, load markers and audits.
pub struct ScatteredStatements {
    settings: Scatter,
    sites: Vec<String>,
    pub summaries: Summaries,
    /// Loads and their markers, if the operator's file enables load markers.
    pub loads: Option<Loads>,
    /// Audits of sites' summaries, if enabled, and the statements that wait for audits only.
    audits: Option<SiteAudits>,
    audit_waits: VecDeque<AuditWait>,
    statements: HashMap<Ticket, Statement>,
    /// The parts at the dispatcher, by their tickets.
    parts: HashMap<Ticket, PartLink>,
    replies: Vec<(Ticket, FinalReply)>,
    counts: SiteCounts,
    /// How many of the sites asked had no rows, by the reason why they were asked.
    asked_without_rows: BTreeMap<Reason, u64>,
    last_log_time: Micros,
}

impl ScatteredStatements {
    /// Reads the summaries that the operator's file names. Fails if a site's key can't be used.
    pub fn new(
        settings: &Scatter,
        now: Micros,
        spread_offset: usize,
        agreement: &Settings,
    ) -> std::io::Result<ScatteredStatements> {
        let locations = agreement.names.locations.clone();
        let loads = settings
            .marks_loads
            .then(|| Loads::new(settings.writing_workloads.clone(), locations));
        log::info!(
            "scatter: statements of workloads {:?} are scattered over sites {:?}",
            settings.workloads,
            settings.sites.keys()
        );
        Ok(ScatteredStatements {
            sites: settings.sites.keys().cloned().collect(),
            summaries: Summaries::new(settings, now, spread_offset)?,
            loads,
            settings: settings.clone(),
            audits: settings.audits.map(SiteAudits::new),
            audit_waits: VecDeque::new(),
            statements: HashMap::new(),
            parts: HashMap::new(),
            replies: Vec::new(),
            counts: SiteCounts::default(),
            asked_without_rows: BTreeMap::new(),
            last_log_time: 0,
        })
    }

    /// Applies settings that were read again. Settings with a key that can't be used are logged and
    /// change nothing.
    pub fn reload(&mut self, settings: &Scatter, now: Micros) {
        self.log_counts();
        match self.summaries.reload(settings, now) {
            Ok(()) => {
                self.sites = settings.sites.keys().cloned().collect();
                self.settings = settings.clone();
                match (settings.audits, &mut self.audits) {
                    (Some(settings), Some(audits)) => audits.reconfigure(settings),
                    (settings, audits) => *audits = settings.map(SiteAudits::new),
                }
            }
            Err(why) => log::error!("{why}; sites are left as they were"),
        }
    }

    /// Whether statements of a workload are scattered.
    pub fn is_scattered(&self, workload: &str) -> bool {
        self.settings.workloads.iter().any(|w| w == workload)
    }

    /// Whether a client's statement starts with the prefix by which fronts number marked loads. Its
    /// site would take it for a marked load.
    pub fn has_reserved_prefix(&self, call: &Call) -> bool {
        self.loads.is_some() && !load_numbers(&call.statement).is_empty()
    }

    /// Returns the site that has all rows, if the operator's file names one.
    pub fn whole_site(&self) -> Option<&str> {
        self.settings.whole_site.as_deref()
    }

    /// Starts a statement. Its sites are asked at once, or, if loads are marked, once the load
    /// markers of its table groups are known.
    pub fn start(
        &mut self,
        now: Micros,
        ticket: Ticket,
        request: ScatterRequest,
        dispatcher: &mut Dispatcher,
    ) {
        let ScatterRequest {
            call,
            query,
            deadline,
            allowed_sites,
        } = request;
        let mut groups = BTreeSet::from([query.group]);
        groups.extend(query.join.as_ref().map(|join| join.group));
        let (group_markers, tickets, ruled_out) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let statement = Statement {
            call,
            query,
            deadline,
            allowed_sites,
            group_markers,
            gather: None,
            tickets,
            ruled_out,
        };
        self.statements.insert(ticket, statement);
        match &mut self.loads {
            Some(loads) => groups
                .into_iter()
                .for_each(|group| loads.await_markers(ticket, group)),
            None => self.ask_sites(now, ticket, &LoadInfo::NoLoads, dispatcher),
        }
    }

    /// Applies the load markers of a table group to the statements and the audits that wait for them.
    pub fn apply_group_markers(
        &mut self,
        now: Micros,
        group_markers: GroupMarkers,
        waiting: &[Ticket],
        dispatcher: &mut Dispatcher,
    ) {
        let load_info = group_markers
            .markers
            .map_or(LoadInfo::Unknown, LoadInfo::Markers);
        for ticket in waiting {
            if self
                .statements
                .get(ticket)
                .is_some_and(|statement| statement.query.join.is_some())
            {
                self.apply_join_markers(now, *ticket, group_markers, dispatcher);
                continue;
            }
            let (wall_ms, store) = ((now / 1000) as u64, &self.summaries.store);
            if !self
                .audits
                .as_mut()
                .is_some_and(|audits| audits.apply_markers(wall_ms, *ticket, &load_info, store))
            {
                self.ask_sites(now, *ticket, &load_info, dispatcher);
            }
        }
    }

    /// Asks the sites that can have rows, or answers from the sketches in their summaries.
    fn ask_sites(
        &mut self,
        now: Micros,
        ticket: Ticket,
        load_info: &LoadInfo,
        dispatcher: &mut Dispatcher,
    ) {
        self.log_sites_asked(now, load_info);
        let statement = self.statements.get(&ticket);
        let Some(statement) = statement.filter(|statement| statement.gather.is_none()) else {
            return;
        };
        if statement.query.distinct.is_some() {
            if let Some(answer) = self.answer_from_sketches(now, statement, load_info) {
                self.statements.remove(&ticket);
                return self.replies.push((ticket, FinalReply::Answer(answer)));
            }
        }
        let Some(plan) = self.plan_sites(now, ticket, load_info) else {
            return;
        };
        self.record_plan(now, ticket, &plan);
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return;
        };
        let gather_rules = GatherRules {
            limit: statement.query.limit,
            allow_partial: self
                .settings
                .partial_answer_customers
                .contains(&statement.call.customer),
            max_parallel_parts: self.settings.max_parallel_parts,
            max_answer_bytes: self.settings.max_answer_bytes,
            combine: statement.query.combine.clone(),
        };
        let (gather, actions) = Gather::new(plan.parts, plan.barred, gather_rules);
        statement.gather = Some(gather);
        self.apply_actions(now, ticket, actions, dispatcher);
        self.queue_audit_wait(now, ticket);
    }

    fn log_sites_asked(&mut self, now: Micros, load_info: &LoadInfo) {
        if self.last_log_time + LOG_INTERVAL > now {
            return;
        }
        self.last_log_time = now;
        if matches!(load_info, LoadInfo::Unknown) {
            log::info!(
                "scatter: the ledger does not answer for load markers, so all sites are asked"
            );
        }
        self.log_counts();
    }

    /// Plans which sites are asked, including audits, and which are skipped. Returns None if the
    /// statement has ended.
    fn plan_sites(&mut self, now: Micros, ticket: Ticket, load_info: &LoadInfo) -> Option<Plan> {
        let statement = self.statements.get(&ticket)?;
        let query = &statement.query;
        let allowed: Option<Vec<&str>> = statement
            .allowed_sites
            .as_ref()
            .map(|names| names.iter().map(String::as_str).collect());
        let (sites, allowed) = (&self.sites, allowed.as_deref());
        if query.distinct.is_some() {
            // One site has all rows, so that the others need not be asked.
            if let Some(site) = &self.settings.whole_site {
                return Some(Plan::single_site(site, allowed));
            }
        }
        let audits = self.audits.as_ref();
        let is_suspect = |site: &str| audits.is_some_and(|audits| audits.is_suspect(site));
        let basis = Basis {
            sites,
            allowed,
            summaries: &self.summaries.store,
            wall_ms: (now / 1000) as u64,
            loads: load_info,
            suspected: &is_suspect,
        };
        let mut plan = plan(query, &basis);
        if query.distinct.is_some() {
            return Some(plan);
        }
        if query.combine.is_some() {
            plan.ensure_one(sites, allowed);
        } else if query.join.is_none() {
            // Either side of a join may have ruled a site out, and an audit could not tell which.
            if let Some(audits) = &mut self.audits {
                audits.add_audit(now, ticket, &mut plan, sites, allowed);
            }
        }
        Some(plan)
    }

    /// Records in a statement which sites are asked although they were ruled out, and counts the
    /// sites asked and skipped.
    fn record_plan(&mut self, now: Micros, ticket: Ticket, plan: &Plan) {
        self.counts.asked += plan.parts.len() as u64;
        self.counts.left_out += plan.pruned.len() as u64;
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return;
        };
        statement.ruled_out.clear();
        let query = &statement.query;
        if query.join.is_some() {
            return;
        }
        let wall_ms = (now / 1000) as u64;
        let store = &mut self.summaries.store;
        let ruled_out = plan.parts.iter().filter(|part| part.ruled_out);
        for part in ruled_out {
            let summary = store.current(wall_ms, &part.site, query.group);
            statement.ruled_out.push(RuledOut {
                site: part.site.clone(),
                group: query.group,
                version: summary.map_or(0, |summary| summary.version),
            });
        }
        for site in &plan.pruned {
            store.record_outcome(wall_ms, query, site, false);
        }
    }

    /// Queues a statement that waits for audits only, to be answered after `AUDIT_TIMEOUT`.
    fn queue_audit_wait(&mut self, now: Micros, ticket: Ticket) {
        let gather = self
            .statements
            .get(&ticket)
            .and_then(|statement| statement.gather.as_ref());
        if gather.is_some_and(Gather::only_audits_pending) {
            self.audit_waits.push_back(AuditWait {
                until: now + AUDIT_TIMEOUT,
                ticket,
            });
        }
    }

    /// Answers the statements that have waited for audits only until their timeout.
    pub fn expire_audit_waits(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
        while let Some(wait) = self.audit_waits.pop_front_if(|wait| wait.until <= now) {
            let ticket = wait.ticket;
            let gather = self
                .statements
                .get_mut(&ticket)
                .and_then(|statement| statement.gather.as_mut());
            let actions = gather.map_or(Vec::new(), Gather::skip_audits);
            self.apply_actions(now, ticket, actions, dispatcher);
        }
    }

    /// Executes the actions of a statement's gather, and those that follow from them.
    fn apply_actions(
        &mut self,
        now: Micros,
        ticket: Ticket,
        actions: Vec<Action>,
        dispatcher: &mut Dispatcher,
    ) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            let Some(statement) = self.statements.get_mut(&ticket) else {
                return;
            };
            match action {
                Action::Start(part_index) => {
                    match submit_part(now, statement, part_index, dispatcher) {
                        Ok(part) => {
                            statement.tickets.insert(part_index, part);
                            let parent = ticket;
                            self.parts.insert(part, PartLink { parent, part_index });
                        }
                        Err(InvalidRequest::NoAllowedLocation) => {
                            let gather = statement.gather.as_mut();
                            let further = gather
                                .map(|gather| gather.part_failed(part_index, PartFailure::Barred));
                            actions.extend(further.unwrap_or_default());
                        }
                        Err(invalid) => {
                            self.abandon(now, ticket, dispatcher);
                            return self.replies.push((ticket, FinalReply::Invalid(invalid)));
                        }
                    }
                }
                Action::End(part_index) => {
                    if let Some(part) = statement.tickets.remove(&part_index) {
                        self.parts.remove(&part);
                        dispatcher.client_left(now, part);
                    }
                }
                Action::Answer(answer) => {
                    self.statements.remove(&ticket);
                    return self.replies.push((ticket, FinalReply::Answer(answer)));
                }
            }
        }
    }

    /// Returns the final replies since the last call.
    pub fn take_replies(&mut self) -> Vec<(Ticket, FinalReply)> {
        std::mem::take(&mut self.replies)
    }

    /// Handles the rows of a part, or its final failure.
    pub fn part_ended(
        &mut self,
        now: Micros,
        part: Ticket,
        outcome: Result<Vec<u8>, PartFailure>,
        dispatcher: &mut Dispatcher,
    ) {
        let Some(PartLink {
            parent: ticket,
            part_index,
        }) = self.parts.remove(&part)
        else {
            return;
        };
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return;
        };
        statement.tickets.remove(&part_index);
        let Some(gather) = &mut statement.gather else {
            return;
        };
        let actions = match outcome {
            Ok(rows) => {
                self.record_rows(now, ticket, part_index, &rows, dispatcher);
                let statement = self.statements.get_mut(&ticket);
                let gather = statement.and_then(|statement| statement.gather.as_mut());
                gather.map_or(Vec::new(), |gather| gather.part_answered(part_index, rows))
            }
            Err(failure) => gather.part_failed(part_index, failure),
        };
        self.apply_actions(now, ticket, actions, dispatcher);
        self.queue_audit_wait(now, ticket);
    }

    /// Records whether a part's site had rows, and checks the answer if its summary had ruled the
    /// site out.
    fn record_rows(
        &mut self,
        now: Micros,
        ticket: Ticket,
        part_index: usize,
        rows: &[u8],
        dispatcher: &mut Dispatcher,
    ) {
        let Some(statement) = self.statements.get(&ticket) else {
            return;
        };
        let Some(gather) = &statement.gather else {
            return;
        };
        let wall_ms = (now / 1000) as u64;
        let query = &statement.query;
        let site = gather.site(part_index).unwrap_or_default();
        if rows.is_empty() {
            if let Some(part) = gather.part(part_index) {
                *self.asked_without_rows.entry(part.reason).or_default() += 1;
            }
            self.summaries
                .store
                .record_outcome(wall_ms, query, site, true);
        }
        let ruled_out = statement.ruled_out.iter().find(|out| out.site == site);
        let Some((audits, ruled_out)) = self.audits.as_mut().zip(ruled_out.cloned()) else {
            return;
        };
        let check_ticket = dispatcher.new_ticket();
        let row_count = rows.iter().filter(|byte| **byte == b'\n').count();
        if !audits.site_answered(check_ticket, ruled_out, query, row_count as u64) {
            return;
        }
        match &mut self.loads {
            Some(loads) => loads.await_markers(check_ticket, query.group),
            None => {
                audits.apply_markers(
                    wall_ms,
                    check_ticket,
                    &LoadInfo::NoLoads,
                    &self.summaries.store,
                );
            }
        }
    }

    /// Ends a statement whose client no longer waits, and its parts. Returns false if the statement
    /// is not scattered.
    pub fn abandon(&mut self, now: Micros, ticket: Ticket, dispatcher: &mut Dispatcher) -> bool {
        let Some(statement) = self.statements.remove(&ticket) else {
            return false;
        };
        for part in statement.tickets.into_values() {
            self.parts.remove(&part);
            dispatcher.client_left(now, part);
        }
        true
    }

    /// When `tick` is next due, in Unix microseconds. Without peers there are no summaries to exchange.
    pub fn due(&self, has_peers: bool) -> Micros {
        let loads = self.loads.as_ref().map_or(Micros::MAX, Loads::due);
        let audit_due = self
            .audit_waits
            .front()
            .map_or(Micros::MAX, |wait| wait.until);
        let retention_due = self.summaries.retention_due().min(audit_due);
        match (self.replies.is_empty(), has_peers) {
            (true, true) => self.summaries.due().min(loads).min(audit_due),
            (true, false) => retention_due,
            _ => 0,
        }
    }

    /// Exchanges reports of false summaries between the audits and the peers, and returns the
    /// messages to send to peers.
    pub fn tick(&mut self, now: Micros, peers: &[PeerId]) -> Vec<(PeerId, Vec<u8>)> {
        let peer_reports = std::mem::take(&mut self.summaries.reported_false);
        if let Some(audits) = &mut self.audits {
            audits.front_count = peers.len() + 1;
            peer_reports
                .iter()
                .for_each(|report| audits.receive_report(report));
            audits
                .false_summaries
                .drain(..)
                .for_each(|summary| self.summaries.report_false_summary(now, &summary));
        }
        self.summaries.tick(now, peers)
    }
}

/// Submits the part with this index in the plan to the dispatcher, restricted to its site.
fn submit_part(
    now: Micros,
    statement: &Statement,
    part_index: usize,
    dispatcher: &mut Dispatcher,
) -> Result<Ticket, InvalidRequest> {
    let gather = statement.gather.as_ref();
    let site = gather.and_then(|gather| gather.site(part_index));
    let request = StatementRequest {
        workload: &statement.call.workload,
        customer: &statement.call.customer,
        order_key: None,
        dedup_key: None,
        time_left: statement.deadline - now,
        work: statement.call.work_ms * 1000.0,
        memory_mb: statement.call.memory_mb,
        data_set: Some(statement.query.group),
        protocol: Protocol::Lines,
        sticky_engine: None,
        allowed_locations: Some(&[site.unwrap_or_default()]),
    };
    dispatcher.submit(now, &request)
}
