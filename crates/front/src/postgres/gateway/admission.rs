//! What a unit asks of the dispatcher, and the answer to one that it gives up.

use std::rc::Rc;

use hallmux_access::Decision;
use hallmux_config::User;
use hallmux_dispatcher::{Dispatcher, InvalidRequest, Micros, Protocol, StatementRequest, Ticket};
use hallmux_native_codec::tables;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::session::{Transaction, UnitPart};
use hallmux_postgres::sql::Label;

use super::{loads, Gateway};
use crate::fleet::rules::SharedRules;
use crate::postgres::admission_state::AdmissionState;
use crate::postgres::ids::SessionId;
use crate::postgres::sessions::OpenSession;
use crate::refusal::Refusal;

/// Of an estimate, in any unit; beyond all that engines could do.
const MOST_FIGURE: f64 = 1e12;

/// What the admission of units goes by, whatever their session.
struct AdmissionPolicy<'a> {
    rules: Option<&'a SharedRules>,
    /// Workloads, and how long their clients wait, in microseconds.
    timeouts: &'a [(String, Micros)],
    /// Workloads whose units may write, where loads are marked.
    writes: &'a [String],
    /// Microseconds that an answer may take on its way to a client.
    answer_slack: Micros,
    retry_after_ms: Option<i64>,
}

/// A unit that the dispatcher has taken.
struct AdmittedUnit {
    ticket: Ticket,
    /// The order key whose turn it waits for.
    key: Option<String>,
}

impl AdmissionPolicy<'_> {
    /// Hands a unit to the dispatcher; the error is its answer where it is not taken.
    fn submit(
        &self,
        now: Micros,
        admission: AdmissionState,
        dispatcher: &mut Dispatcher,
        open_session: &OpenSession,
        part: &UnitPart,
        since: Micros,
    ) -> Result<AdmittedUnit, ClientError> {
        let label = open_session.session.label(part);
        let terms = terms(&label, &open_session.user, self.timeouts)?;
        if loads::passes_for_numbered(self.writes, part) {
            return Err(loads::NUMBERED);
        }
        if admission.full {
            return Err(self.rejected());
        }
        let own_timeout = open_session.session.statement_timeout(&label);
        let timeout = terms.timeout.min(own_timeout.unwrap_or(Micros::MAX));
        let waited = (now - since).max(admission.waited);
        let judged = self.judge(now, &terms, part);
        if judged == Decision::RulesUnknown {
            return Err(self.rejected());
        }
        let allowed = self
            .rules
            .and_then(|rules| rules.borrow().allowed_locations(&judged));
        let allowed: Option<Vec<&str>> = allowed
            .as_ref()
            .map(|names| names.iter().map(String::as_str).collect());
        // The session's transaction keeps the turns of its keys.
        let is_held = |key: &&str| open_session.held_keys.iter().any(|held| held == key);
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
            sticky_engine: open_session.pin.map(|pin| pin.place),
            allowed_locations: allowed.as_deref(),
        };
        let picked = dispatcher.submit(now, &request);
        if let Some(rules) = self.rules {
            rules
                .borrow_mut()
                .record_admission(dispatcher, &judged, picked.ok());
        }
        let ticket = picked.map_err(invalid_request)?;
        let key = request.order_key.map(str::to_string);
        Ok(AdmittedUnit { ticket, key })
    }

    /// What the access rules say of a unit, where they are on.
    fn judge(&self, now: Micros, terms: &UnitTerms, part: &UnitPart) -> Decision {
        let Some(rules) = self.rules else {
            return Decision::Unrestricted;
        };
        let mut rules = rules.borrow_mut();
        rules.check_statement(now, terms.member, terms.workload, part.text())
    }

    fn rejected(&self) -> ClientError {
        ClientError::Rejected {
            retry_after_ms: self.retry_after_ms,
        }
    }
}

/// The answer to a unit that the dispatcher can't take.
fn invalid_request(invalid: InvalidRequest) -> ClientError {
    match invalid {
        InvalidRequest::NoAllowedLocation => ClientError::Rejected {
            retry_after_ms: None,
        },
        InvalidRequest::UnknownWorkload => unfit("hallmux.workload", "no such workload was agreed"),
        InvalidRequest::UnknownCustomer => unfit("hallmux.member", "no such member is known"),
        InvalidRequest::MissingDedupKey => unfit("hallmux.dedup_key", "this workload needs one"),
    }
}

impl Gateway {
    /// Asks for an engine for a unit, or answers why it is not taken. `since`: when its last byte came.
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
            writes: &self.writes,
            answer_slack: self.answer_slack,
            retry_after_ms: self.retry_after_ms,
        };
        let admitted = policy.submit(now, admission, dispatcher, open_session, &part, since);
        match admitted {
            Ok(AdmittedUnit { ticket, key }) => self.sessions.open_unit(id, ticket, part, key),
            Err(why) => self.sessions.answer_unusable(id, part, &why),
        }
    }

    /// Gives a statement its final answer without a result.
    pub fn refuse(&mut self, now: Micros, ticket: Ticket, refusal: Refusal) {
        let Some((_, open_session)) = self.sessions.by_ticket(ticket) else {
            return;
        };
        let why = final_answer(open_session, refusal);
        self.sessions.fail(now, ticket, &why, None);
    }

    /// Nobody waits for a statement any more.
    pub(super) fn left(&mut self, now: Micros, dispatcher: &mut Dispatcher, ticket: Ticket) {
        // What waits for a connection is not sent any more, also where engines can't be told to give it up.
        self.servers.abandon(now, ticket);
        dispatcher.client_left(now, ticket);
    }

    /// A client asks for the end of what its session has out.
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
        // What is out is the engine's to end; what is held here, or can't be ended there, ends here.
        if !execution_id.is_some_and(|execution_id| self.servers.cancel(now, execution_id)) {
            self.sessions
                .fail(now, ticket, &ClientError::Cancelled, None);
            self.left(now, dispatcher, ticket);
        }
    }
}

fn unfit(field: &'static str, why: &'static str) -> ClientError {
    ClientError::InvalidSetting { field, why }
}

/// What a unit is to the dispatcher.
struct UnitTerms<'a> {
    workload: &'a str,
    member: &'a str,
    timeout: Micros,
    work_ms: f64,
    memory_mb: f64,
}

/// Reads what a unit's labels and its user say; the first field that can't be used otherwise.
fn terms<'a>(
    label: &'a Label,
    user: &'a User,
    timeouts: &[(String, Micros)],
) -> Result<UnitTerms<'a>, ClientError> {
    let workload = label.workload.as_deref().or(user.workload.as_deref());
    let workload =
        workload.ok_or_else(|| unfit("hallmux.workload", "is not set, and there is no default"))?;
    let timeout = timeouts.iter().find(|(name, _)| name == workload);
    let timeout = timeout
        .ok_or_else(|| unfit("hallmux.workload", "no such workload was agreed"))?
        .1;
    // Whom a user belongs to is the operator's word where it is given.
    let member = user
        .customer
        .as_deref()
        .or(label.customer.as_deref())
        .unwrap_or_default();
    let number =
        |field: &'static str, text: &Option<String>| match text.as_deref().map(str::parse::<f64>) {
            None => Ok(0.0),
            Some(Ok(value)) if (0.0..=MOST_FIGURE).contains(&value) => Ok(value),
            Some(_) => Err(unfit(field, "is no number that can be used")),
        };
    let long = |field: &'static str, text: &Option<String>| match text {
        Some(text) if text.len() > 256 => Err(unfit(field, "is longer than 256 bytes")),
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

/// The answer to a unit that the module has given up on, or that ended once its answer had begun.
fn final_answer(open_session: &OpenSession, refusal: Refusal) -> ClientError {
    let Some(running) = &open_session.running else {
        return ClientError::ResultLost;
    };
    let in_transaction = open_session.session.transaction != Transaction::None;
    if running.commits && running.ran {
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
        Refusal::Aborted if running.begun => ClientError::ResultLost,
        Refusal::Aborted if running.ran => ClientError::Unresolved,
        Refusal::Aborted => ClientError::Rejected {
            retry_after_ms: None,
        },
    }
}
