//! Admission: checks the statements of clients and submits them to the dispatcher, and reports cancelled and
//! disconnected clients to it.

use hallmux_access::Decision;
use hallmux_dispatcher::{Ending, InvalidRequest, Micros, Protocol, StatementRequest, Ticket};
use hallmux_native_codec::statement::{self, Call, Reply};
use hallmux_native_codec::tables;

use super::EventLoopState;
use crate::clients::{self, ClientId, ServingStatus};
use crate::execution::ExecutionId;
use crate::fleet::rules::table_groups;

/// A statement of a client with the decision of the access rules.
pub(super) struct CheckedRequest {
    pub(super) client: ClientId,
    /// The client's sequence number of the statement.
    pub(super) number: i32,
    pub(super) call: Call,
    /// Microseconds until an answer is of no more use to the client.
    pub(super) time_left: Micros,
    /// The locations whose engines may run the statement; None: all.
    pub(super) allowed: Option<Vec<String>>,
    pub(super) decision: Decision,
}

impl CheckedRequest {
    /// Restricts the statement to one location, or to no location if the rules do not allow that one.
    pub(super) fn restrict_to(&mut self, location: String) {
        let allowed = self.allowed.as_ref();
        let is_allowed = allowed.is_none_or(|allowed| allowed.contains(&location));
        self.allowed = Some(if is_allowed {
            vec![location]
        } else {
            Vec::new()
        });
    }
}

/// Why a statement is not admitted.
enum AdmissionError {
    /// The named field is missing or malformed.
    InvalidField(&'static str),
    /// Its text begins with the comment by which fronts number loads.
    ReservedPrefix,
    /// There is no capacity, or the process is shutting down.
    Rejected,
}

impl EventLoopState {
    /// Reads up to `limit` bytes from a client. Returns true if there is more to read in another iteration.
    pub(super) fn read_client(&mut self, id: ClientId, limit: usize) -> bool {
        let status = if self.shutdown.is_requested() {
            ServingStatus::ShuttingDown
        } else {
            ServingStatus::Serving
        };
        let mut events = Vec::new();
        let has_more = self
            .clients
            .read(self.clock.now, id, status, limit, &mut events);
        self.handle_client_events(events);
        has_more
    }

    /// Admits the statements that clients sent, and withdraws those that they cancelled or abandoned.
    pub(super) fn handle_client_events(&mut self, events: Vec<clients::Event>) {
        for event in events {
            match event {
                clients::Event::Statement {
                    client,
                    number,
                    call,
                    unread_for,
                } => {
                    let mut ended = Vec::new();
                    self.admit(client, number, *call, unread_for, &mut ended);
                    self.handle_client_events(ended);
                }
                clients::Event::Cancelled { client, number } => {
                    let ticket = self.clients.cancel(client, number);
                    ticket.into_iter().for_each(|ticket| self.abandon(ticket));
                }
                clients::Event::Abandoned(ticket) => self.abandon(ticket),
            }
        }
    }

    /// Cancels all executions of a statement whose client no longer waits for it.
    pub(super) fn abandon(&mut self, ticket: Ticket) {
        let mut tickets = self
            .scatter
            .as_ref()
            .map_or(Vec::new(), |scatter| scatter.parts_of(ticket));
        tickets.push(ticket);
        // Executions that wait for a connection are withdrawn even if the settings do not allow cancelling.
        tickets
            .iter()
            .for_each(|ticket| self.engines.withdraw_queued(*ticket));
        let withdrawn = self.withdraw_all_held(&tickets);
        let (now, dispatcher) = (self.clock.now, &mut self.dispatcher);
        match self
            .scatter
            .as_mut()
            .is_some_and(|scatter| scatter.abandon(now, ticket, dispatcher))
        {
            true => self
                .rules
                .iter()
                .for_each(|rules| rules.borrow_mut().statement_ended(ticket)),
            false => self.dispatcher.client_left(now, ticket),
        }
        // The statement is ended before this report: otherwise its execution could be retried.
        for execution_id in withdrawn {
            self.dispatcher.execution_ended(
                now,
                execution_id.ticket,
                execution_id.number,
                Ending::Withdrawn,
                None,
            );
        }
    }

    /// Withdraws the executions of a statement and its parts that wait for rules, ledger entries or load markers.
    /// Guards against a load that is sent once its marker is replicated although its client has disconnected, and
    /// against parts that the rules hold and forget together with their parent statement. If cancelling is not allowed,
    /// the dispatcher would not cancel them before their deadline.
    fn withdraw_all_held(&mut self, tickets: &[Ticket]) -> Vec<ExecutionId> {
        let executions_of = |ticket: &Ticket| {
            let ticket = *ticket;
            let in_flight = self.dispatcher.executions_in_flight(ticket).into_iter();
            in_flight.map(move |number| ExecutionId::new(ticket, number))
        };
        let mut held: Vec<ExecutionId> = tickets.iter().flat_map(executions_of).collect();
        held.retain(|execution_id| self.withdraw_held(self.clock.now, *execution_id));
        held
    }

    /// Admits a statement that a client has sent, or answers why it is not admitted. `unread_for`: microseconds for
    /// which it may have waited unread, because its client did not read answers. `ended` receives the statements that
    /// end if the client's connection is closed.
    pub(super) fn admit(
        &mut self,
        client: ClientId,
        number: i32,
        call: Call,
        unread_for: Micros,
        ended: &mut Vec<clients::Event>,
    ) {
        if !self.clients.check_admissible(client, number, &call, ended) {
            return;
        }
        if let Some(reason) = self.admission_error(&call) {
            return self.answer_admission_error(client, number, &reason);
        }
        let time_left = self.time_left(&call, unread_for);
        let decision = self.check_access_rules(&call);
        if decision == Decision::RulesUnknown {
            return self.clients.reject(client, number);
        }
        let rules = self.rules.as_ref();
        let allowed = rules.and_then(|rules| rules.borrow().allowed_locations(&decision));
        let request = CheckedRequest {
            client,
            number,
            call,
            time_left,
            allowed,
            decision,
        };
        // A denied statement is not scattered: no site is asked.
        let unscattered = if request.decision.is_denied() {
            Some(request)
        } else {
            self.scatter(request)
        };
        if let Some(request) = unscattered {
            self.submit(request);
        }
    }

    /// Why a statement is not admitted, regardless of the access rules; None if it is.
    fn admission_error(&mut self, call: &Call) -> Option<AdmissionError> {
        if let Some(field) = call.invalid_field {
            return Some(AdmissionError::InvalidField(field));
        }
        if self.shutdown.rejects_statements() {
            return Some(AdmissionError::Rejected);
        }
        let scatter = self.scatter.as_ref();
        if scatter.is_some_and(|scatter| scatter.has_reserved_prefix(call)) {
            return Some(AdmissionError::ReservedPrefix);
        }
        self.is_full().then_some(AdmissionError::Rejected)
    }

    fn answer_admission_error(&mut self, client: ClientId, number: i32, reason: &AdmissionError) {
        match reason {
            AdmissionError::InvalidField(field) => {
                self.clients.answer_unusable(client, number, field)
            }
            AdmissionError::ReservedPrefix => {
                let reason = "its text begins as fronts number loads: leave that comment out";
                let reply = Reply::Refused(&[("reason", reason)]);
                self.clients.reply(client, number, &reply);
            }
            AdmissionError::Rejected => self.clients.reject(client, number),
        }
    }

    /// Microseconds for which a final answer is still of use to the client.
    fn time_left(&self, call: &Call, unread_for: Micros) -> Micros {
        // Guards against a final answer that is delayed on its way: the slack applies twice, before the client's
        // deadline and after it. A result that arrives within the slack before the deadline is lost to the client.
        let time_left = (call.time_left_ms * 1000.0) as Micros - self.answer_slack;
        // Guards against a deadline beyond the client's: its time has run on while the statement was unread.
        time_left - self.clock.unread_time().max(unread_for)
    }

    /// The decision of the access rules on a statement; unrestricted if they are disabled.
    fn check_access_rules(&self, call: &Call) -> Decision {
        let Some(rules) = &self.rules else {
            return Decision::Unrestricted;
        };
        let now = self.clock.now;
        let mut rules = rules.borrow_mut();
        let groups = table_groups([call.statement.as_slice()]);
        rules.check_statement(now, &call.customer, &call.workload, groups)
    }

    /// Whether no more statements can be admitted: too many are held, or they take too much memory.
    fn is_full(&mut self) -> bool {
        let full = self.clients.held_bytes() > self.max_bytes;
        if full != std::mem::replace(&mut self.is_memory_full, full) {
            log::warn!(
                "open statements take {} bytes of memory; {}",
                self.clients.held_bytes(),
                if full {
                    "further ones are rejected"
                } else {
                    "further ones are accepted again"
                }
            );
        }
        full || self.dispatcher.statements_held() >= self.max_statements
    }

    /// Submits a statement to the dispatcher, or answers the client why that fails.
    fn submit(&mut self, request: CheckedRequest) {
        let CheckedRequest {
            client,
            number,
            call,
            time_left,
            allowed,
            decision,
        } = request;
        let allowed: Option<Vec<&str>> = allowed
            .as_ref()
            .map(|names| names.iter().map(String::as_str).collect());
        let statement_request = StatementRequest {
            workload: &call.workload,
            customer: &call.customer,
            order_key: call.order_key.as_deref(),
            dedup_key: call.dedup_key.as_deref(),
            time_left,
            work: call.work_ms * 1000.0,
            memory_mb: call.memory_mb,
            data_set: tables::group(&call.statement),
            protocol: Protocol::Lines,
            sticky_engine: None,
            allowed_locations: allowed.as_deref(),
        };
        let submitted = self.dispatcher.submit(self.clock.now, &statement_request);
        if let Some(rules) = &self.rules {
            rules
                .borrow_mut()
                .record_admission(&mut self.dispatcher, &decision, submitted.ok());
        }
        match submitted {
            Ok(ticket) => self.clients.open_statement(client, number, ticket, call),
            Err(invalid) => self.answer_invalid(client, number, invalid),
        }
    }

    fn answer_invalid(&mut self, client: ClientId, number: i32, invalid: InvalidRequest) {
        let field = match invalid {
            InvalidRequest::NoAllowedLocation => {
                let retry_after_ms = None;
                let reply = Reply::Rejected { retry_after_ms };
                return self.clients.reply(client, number, &reply);
            }
            InvalidRequest::UnknownWorkload => statement::WORKLOAD,
            InvalidRequest::MissingDedupKey => statement::DEDUP_KEY,
            InvalidRequest::UnknownCustomer => statement::CUSTOMER,
        };
        self.clients.answer_unusable(client, number, field);
    }
}
