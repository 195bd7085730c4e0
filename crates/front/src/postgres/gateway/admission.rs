//! What a unit asks of the dispatcher, and the answer to one that it gives up.

use std::rc::Rc;

use hallmux_access::Decision;
use hallmux_config::User;
use hallmux_dispatcher::{Dispatcher, InvalidRequest, Micros, Protocol, StatementRequest, Ticket};
use hallmux_native_codec::tables;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::session::{Transaction, UnitPart};
use hallmux_postgres::sql::Label;

use super::{loads, AdmissionState, Gateway};
use crate::postgres::servers::SessionId;
use crate::postgres::sessions;
use crate::refusal::Refusal;

const MOST_FIGURE: f64 = 1e12; // of an estimate, in any unit; beyond all that engines could do

impl Gateway {
    /// Asks for an engine for a unit.
    pub(super) fn admit(
        &mut self,
        now: Micros,
        room: AdmissionState,
        dispatcher: &mut Dispatcher,
        id: SessionId,
        part: Rc<UnitPart>,
        since: Micros,
    ) {
        let Some(open_session) = self.sessions.open_session(id) else {
            return;
        };
        let label = open_session.session.label(&part);
        let why = match terms(&label, &open_session.user, &self.timeouts) {
            Err(why) => why,
            Ok(_) if loads::passes_for_numbered(&self.writes, &part) => loads::NUMBERED,
            Ok(_) if room.full => ClientError::Rejected {
                retry_after_ms: self.retry_after_ms,
            },
            Ok(terms) => {
                let own = open_session
                    .session
                    .statement_timeout(&label)
                    .unwrap_or(Micros::MAX);
                let waited = (now - since).max(room.waited);
                let time_left = terms.timeout.min(own) - self.answer_slack - waited;
                let key = label.key.as_deref();
                let kept = key.is_some_and(|key| open_session.held_keys.iter().any(|k| k == key));
                let judged = self.rules.as_ref().map(|rules| {
                    rules
                        .borrow_mut()
                        .judge(now, terms.member, terms.workload, part.text())
                });
                let judged = judged.unwrap_or(Decision::Unrestricted);
                if judged == Decision::RulesUnknown {
                    let why = ClientError::Rejected {
                        retry_after_ms: self.retry_after_ms,
                    };
                    return self.sessions.answer_unusable(id, part, &why);
                }
                let allowed = self
                    .rules
                    .as_ref()
                    .and_then(|rules| rules.borrow().allowed(&judged));
                let allowed: Option<Vec<&str>> = allowed
                    .as_ref()
                    .map(|names| names.iter().map(String::as_str).collect());
                let ask = StatementRequest {
                    workload: terms.workload,
                    customer: terms.member,
                    key: key.filter(|_| !kept),
                    dedup_key: label.dedup_key.as_deref(),
                    time_left,
                    work: terms.work_ms * 1000.0,
                    memory_mb: terms.memory_mb,
                    data_set: tables::group(part.text()),
                    protocol: Protocol::Postgres,
                    pinned: open_session.pin.map(|(place, _)| place),
                    allowed: allowed.as_deref(),
                };
                let picked = dispatcher.submit(now, &ask);
                let key = ask.key.map(str::to_string);
                if let Some(rules) = &self.rules {
                    rules
                        .borrow_mut()
                        .statement_picked(dispatcher, &judged, picked.ok());
                }
                match picked {
                    Ok(ticket) => {
                        return self.sessions.open_unit(id, ticket, part, key);
                    }
                    Err(InvalidRequest::NoAllowedLocation) => ClientError::Rejected {
                        retry_after_ms: None,
                    },
                    Err(InvalidRequest::UnknownWorkload) => {
                        unfit("hallmux.workload", "no such workload was agreed")
                    }
                    Err(InvalidRequest::UnknownCustomer) => {
                        unfit("hallmux.member", "no such member is known")
                    }
                    Err(InvalidRequest::MissingDedupKey) => {
                        unfit("hallmux.dedup_key", "this workload needs one")
                    }
                }
            }
        };
        self.sessions.answer_unusable(id, part, &why);
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
        let (ticket, sent) = (running.ticket, running.sent);
        // What is out is the engine's to end; what is held here, or can't be ended there, ends here.
        if !sent.is_some_and(|sent| self.servers.cancel(now, sent)) {
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
    long("hallmux.key", &label.key)?;
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
pub(super) fn final_answer(open_session: &sessions::OpenSession, refusal: Refusal) -> ClientError {
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
