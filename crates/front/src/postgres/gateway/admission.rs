//! The request that a unit makes to the dispatcher, and the answers to units that are rejected,
//! cancelled or aborted.

use std::rc::Rc;

use hallmux_access::Decision;
use hallmux_dispatcher::{Dispatcher, InvalidRequest, Micros, Protocol, StatementRequest, Ticket};
use hallmux_native_codec::tables;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::session::{Transaction, UnitPart};
use hallmux_postgres::sql::Label;

use super::{loads, Gateway};
use crate::fleet::rules::{table_groups, SharedRules};
use crate::postgres::admission_state::AdmissionState;
use crate::postgres::ids::SessionId;
use crate::postgres::sessions::{AdmittedTerms, OpenSession};
use crate::refusal::Refusal;

/// Upper limit of an estimate of a unit, in any unit of measure; no engine can do more.
const MAX_ESTIMATE: f64 = 1e12;

/// The parts of admission that are the same for all sessions.
struct AdmissionPolicy<'a> {
    rules: Option<&'a SharedRules>,
    /// The workloads, and how long their clients wait, in microseconds.
    timeouts: &'a [(String, Micros)],
    /// Workloads whose units may write; empty unless loads are marked.
    writing_workloads: &'a [String],
    /// Microseconds that an answer may take on its way to a client.
    answer_slack: Micros,
    retry_after_ms: Option<i64>,
}

/// A unit that the dispatcher has accepted.
struct AdmittedUnit {
    ticket: Ticket,
    terms: AdmittedTerms,
    /// The order key whose queue the unit waits in.
    key: Option<String>,
}

impl AdmissionPolicy<'_> {
    /// Submits a unit to the dispatcher. The error is the answer to a unit that is not accepted.
    fn submit(
        &self,
        now: Micros,
        admission: AdmissionState,
        dispatcher: &mut Dispatcher,
        open_session: &OpenSession,
        part: &UnitPart,
        since: Micros,
    ) -> Result<AdmittedUnit, ClientError> {
        let label = open_session.unit_label(part);
        let terms = unit_terms(&label, self.timeouts)?;
        if loads::has_reserved_prefix(self.writing_workloads, part) {
            return Err(loads::RESERVED_PREFIX);
        }
        if admission.at_capacity {
            return Err(self.rejected());
        }
        let session_timeout = open_session.session.statement_timeout(&label);
        let timeout = terms.timeout.min(session_timeout.unwrap_or(Micros::MAX));
        let waited = (now - since).max(admission.unread_time);
        let decision = self.check_access_rules(now, &terms, part);
        if decision == Decision::RulesUnknown {
            return Err(self.rejected());
        }
        let allowed = self
            .rules
            .and_then(|rules| rules.borrow().allowed_locations(&decision));
        let allowed: Option<Vec<&str>> = allowed
            .as_ref()
            .map(|names| names.iter().map(String::as_str).collect());
        // The session's transaction already holds its order keys, so the unit does not wait for
        // them.
        let is_held = |key: &&str| open_session.held_order_keys.iter().any(|held| held == key);
        let request = StatementRequest {
            workload: terms.workload,
            customer: terms.member,
            order_key: label.order_key.as_deref().filter(|key| !is_held(key)),
            dedup_key: label.dedup_key.as_deref(),
            time_left: timeout - self.answer_slack - waited,
            work: terms.work_ms * 1000.0,
            memory_mb: terms.memory_mb,
            data_set: tables::group(part.text()),
            protocol: Protocol::Postgres,
            sticky_engine: open_session.pin.map(|pin| pin.engine_index),
            allowed_locations: allowed.as_deref(),
        };
        let submitted = dispatcher.submit(now, &request);
        if let Some(rules) = self.rules {
            rules
                .borrow_mut()
                .record_admission(dispatcher, &decision, submitted.ok());
        }
        let ticket = submitted.map_err(invalid_request)?;
        log::debug!(
            "statement {ticket}: a session's unit is admitted, workload {}, order key {:?}",
            terms.workload,
            label.order_key
        );
        let key = request.order_key.map(str::to_string);
        let terms = AdmittedTerms { label, timeout };
        Ok(AdmittedUnit { ticket, terms, key })
    }

    /// The decision of the access rules on a unit; unrestricted if they are switched off.
    fn check_access_rules(&self, now: Micros, terms: &UnitTerms, part: &UnitPart) -> Decision {
        let Some(rules) = self.rules else {
            return Decision::Unrestricted;
        };
        let mut rules = rules.borrow_mut();
        let groups = table_groups(part.texts());
        rules.check_statement(now, terms.member, terms.workload, groups)
    }

    fn rejected(&self) -> ClientError {
        ClientError::Rejected {
            retry_after_ms: self.retry_after_ms,
        }
    }
}

/// The answer to a unit that the dispatcher does not accept.
fn invalid_request(invalid: InvalidRequest) -> ClientError {
    match invalid {
        InvalidRequest::NoAllowedLocation => ClientError::Rejected {
            retry_after_ms: None,
        },
        InvalidRequest::UnknownWorkload => {
            invalid_setting("hallmux.workload", "no such workload was agreed")
        }
        InvalidRequest::UnknownCustomer => {
            invalid_setting("hallmux.member", "no such member is known")
        }
        InvalidRequest::MissingDedupKey => {
            invalid_setting("hallmux.dedup_key", "this workload needs one")
        }
    }
}

impl Gateway {
    /// Submits a unit to the dispatcher, or answers why it is not accepted. `since` is when the
    /// last byte of the unit was received.
    pub(super) fn admit(
        &mut self,
        now: Micros,
        admission: AdmissionState,
        dispatcher: &mut Dispatcher,
        id: SessionId,
        part: Rc<UnitPart>,
        since: Micros,
    ) {
        let Some(open_session) = self.sessions.open_session(id) else {
            return;
        };
        let policy = AdmissionPolicy {
            rules: self.rules.as_ref(),
            timeouts: &self.timeouts,
            writing_workloads: &self.writing_workloads,
            answer_slack: self.answer_slack,
            retry_after_ms: self.retry_after_ms,
        };
        let admitted = policy.submit(now, admission, dispatcher, open_session, &part, since);
        match admitted {
            Ok(AdmittedUnit { ticket, terms, key }) => {
                self.sessions.open_unit(id, ticket, part, terms, key)
            }
            Err(why) => self.sessions.reject_unit(id, part, &why),
        }
    }

    /// Sends the final answer of a statement that ends without a result.
    pub fn refuse(&mut self, now: Micros, ticket: Ticket, refusal: Refusal) {
        let Some((_, open_session)) = self.sessions.by_ticket(ticket) else {
            return;
        };
        if let Some(running) = &mut open_session.running {
            let in_flight = running.execution_id;
            running.may_have_run |= in_flight.is_some_and(|id| self.servers.may_have_left(id));
        }
        let why = final_answer(open_session, refusal);
        self.sessions.fail(now, ticket, &why, None);
    }

    /// Ends a unit in flight, as the front shuts down.
    pub(super) fn end_unit(&mut self, now: Micros, dispatcher: &mut Dispatcher, ticket: Ticket) {
        let session = self.sessions.by_ticket(ticket);
        let running = session.and_then(|(_, open_session)| open_session.running.as_mut());
        running
            .into_iter()
            .for_each(|running| running.may_have_run |= running.execution_id.is_some());
        self.refuse(now, ticket, Refusal::Aborted);
        self.abandon_statement(now, dispatcher, ticket);
    }

    /// Drops a statement whose client no longer waits for it.
    pub(super) fn abandon_statement(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        ticket: Ticket,
    ) {
        // A unit that waits for a connection is not sent any more, even if engines may not be sent
        // cancel requests.
        self.servers.abandon(now, ticket);
        dispatcher.client_left(now, ticket);
    }

    /// Cancels the unit that a session has in flight, at a client's request.
    pub(super) fn cancel(&mut self, now: Micros, dispatcher: &mut Dispatcher, id: SessionId) {
        let Some(running) = self
            .sessions
            .open_session(id)
            .and_then(|i| i.running.as_mut())
        else {
            return;
        };
        if std::mem::replace(&mut running.cancelled, true) {
            return;
        }
        let (ticket, execution_id) = (running.ticket, running.execution_id);
        // A unit that is in flight is cancelled by its engine. One that is held here, or that the
        // engine can't be asked to cancel, ends here.
        if !execution_id.is_some_and(|execution_id| self.servers.cancel(now, execution_id)) {
            self.sessions
                .fail(now, ticket, &ClientError::Cancelled, None);
            self.abandon_statement(now, dispatcher, ticket);
        }
    }
}

fn invalid_setting(field: &'static str, why: &'static str) -> ClientError {
    ClientError::InvalidSetting { field, why }
}

/// The properties of a unit that the dispatcher schedules it by.
struct UnitTerms<'a> {
    workload: &'a str,
    member: &'a str,
    timeout: Micros,
    work_ms: f64,
    memory_mb: f64,
}

/// Reads the labels that apply to a unit. The error names the first field that can't be used.
fn unit_terms<'a>(
    label: &'a Label,
    timeouts: &[(String, Micros)],
) -> Result<UnitTerms<'a>, ClientError> {
    let workload = label.workload.as_deref().ok_or_else(|| {
        invalid_setting("hallmux.workload", "is not set, and there is no default")
    })?;
    let timeout = timeouts.iter().find(|(name, _)| name == workload);
    let timeout = timeout
        .ok_or_else(|| invalid_setting("hallmux.workload", "no such workload was agreed"))?
        .1;
    let member = label.customer.as_deref().unwrap_or_default();
    let number =
        |field: &'static str, text: &Option<String>| match text.as_deref().map(str::parse::<f64>) {
            None => Ok(0.0),
            Some(Ok(value)) if (0.0..=MAX_ESTIMATE).contains(&value) => Ok(value),
            Some(_) => Err(invalid_setting(field, "is no number that can be used")),
        };
    let long = |field: &'static str, text: &Option<String>| match text {
        Some(text) if text.len() > 256 => Err(invalid_setting(field, "is longer than 256 bytes")),
        _ => Ok(()),
    };
    long("hallmux.key", &label.order_key)?;
    long("hallmux.dedup_key", &label.dedup_key)?;
    Ok(UnitTerms {
        workload,
        member,
        timeout,
        work_ms: number("hallmux.work_ms", &label.work_ms)?,
        memory_mb: number("hallmux.memory_mb", &label.memory_mb)?,
    })
}

/// The answer to a unit that the dispatcher has ended without a result, or whose execution ended
/// after its answer had started.
fn final_answer(open_session: &OpenSession, refusal: Refusal) -> ClientError {
    let Some(running) = &open_session.running else {
        return ClientError::ResultLost;
    };
    let in_transaction = open_session.session.transaction != Transaction::None;
    if running.may_outlast_transaction() && running.may_have_run {
        return ClientError::Unresolved;
    }
    if running.cancelled {
        return ClientError::Cancelled;
    }
    if running.time_up {
        return ClientError::StatementTimeout;
    }
    match refusal {
        Refusal::Rejected { .. } if in_transaction && open_session.pin.is_some() => {
            ClientError::RolledBack {
                why: "its statement was turned away",
            }
        }
        _ if in_transaction => ClientError::RolledBack {
            why: "its engine drains or was lost",
        },
        Refusal::Rejected { retry_after } => ClientError::Rejected {
            retry_after_ms: retry_after.map(|time| time / 1000),
        },
        Refusal::Aborted if running.answer_started => ClientError::ResultLost,
        // An abort says nothing of whether the unit has run, also at other fronts.
        Refusal::Aborted => ClientError::Unresolved,
    }
}
