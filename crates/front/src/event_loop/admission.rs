//! Admission: statements of clients are checked and handed to the dispatcher, and clients that leave are reported to it.

use hallmux_access::Decision;
use hallmux_dispatcher::{Ending, InvalidRequest, Micros, Protocol, StatementRequest, Ticket};
use hallmux_native_codec::statement::{self, Call, Reply};
use hallmux_native_codec::tables;

use super::EventLoopState;
use crate::clients::{self, ClientId, ServingStatus};
use crate::execution::ExecutionId;

/// A statement of a client that the access rules have judged.
pub(super) struct JudgedRequest {
    pub(super) client: ClientId,
    /// The number that the client gave it.
    pub(super) number: i32,
    pub(super) call: Call,
    /// Microseconds until an answer is of no use any more.
    pub(super) time_left: Micros,
    /// The locations whose engines it may be sent to; none given: all.
    pub(super) allowed: Option<Vec<String>>,
    pub(super) judged: Decision,
}

impl JudgedRequest {
    /// Leaves the one location given, or none where that is not allowed.
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

/// Why a statement is not taken.
enum NotTaken {
    InvalidField(&'static str),
    /// Its text would pass for a load that a front has numbered.
    NumberedText,
    /// For want of capacity, or as the process ends.
    Rejected,
}

impl EventLoopState {
    /// Reads from a client; true if there is more for another iteration.
    pub(super) fn read_client(&mut self, id: ClientId) -> bool {
        let status = if self.shutdown.is_requested() {
            ServingStatus::ShuttingDown
        } else {
            ServingStatus::Serving
        };
        let mut events = Vec::new();
        let has_more = self.clients.read(self.clock.now, id, status, &mut events);
        self.handle_client_events(events);
        has_more
    }

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

    /// Nobody waits for a statement any more: its executions are cancelled.
    pub(super) fn abandon(&mut self, ticket: Ticket) {
        let mut tickets = self
            .scatter
            .as_ref()
            .map_or(Vec::new(), |scatter| scatter.parts_of(ticket));
        tickets.push(ticket);
        // What waits for a connection is not sent any more, also where cancelling is not allowed.
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
                .for_each(|rules| rules.borrow_mut().statement_over(ticket)),
            false => self.dispatcher.client_left(now, ticket),
        }
        // The statement is over first: else it could be tried anew.
        for sent in withdrawn {
            self.dispatcher
                .execution_ended(now, sent.ticket, sent.number, Ending::Withdrawn, None);
        }
    }

    /// Lets go of all that waits for rules, promises or marks for a statement and its parts. Guards against a
    /// load that leaves once its mark stands though its client has left, and against parts that rules hold
    /// and forget with their whole; where cancelling is not allowed no order to stop them would come before
    /// their time is up.
    fn withdraw_all_held(&mut self, tickets: &[Ticket]) -> Vec<ExecutionId> {
        let of = |ticket: &Ticket| {
            let ticket = *ticket;
            let out = self.dispatcher.executions_in_flight(ticket).into_iter();
            out.map(move |number| ExecutionId::new(ticket, number))
        };
        let mut held: Vec<ExecutionId> = tickets.iter().flat_map(of).collect();
        held.retain(|sent| self.withdraw_held(self.clock.now, *sent));
        held
    }

    /// Takes a statement that a client has sent, or answers why it is not taken. `unread_for`: microseconds for which
    /// it may have lain unread, as its client took no answers. `ended`: statements that end as their connection is
    /// closed.
    pub(super) fn admit(
        &mut self,
        client: ClientId,
        number: i32,
        call: Call,
        unread_for: Micros,
        ended: &mut Vec<clients::Event>,
    ) {
        if !self.clients.admits(client, number, &call, ended) {
            return;
        }
        if let Some(reason) = self.not_taken_because(&call) {
            return self.answer_not_taken(client, number, &reason);
        }
        let time_left = self.time_left(&call, unread_for);
        let judged = self.judge(&call);
        if judged == Decision::RulesUnknown {
            return self.clients.reject(client, number);
        }
        let rules = self.rules.as_ref();
        let allowed = rules.and_then(|rules| rules.borrow().allowed(&judged));
        let request = JudgedRequest {
            client,
            number,
            call,
            time_left,
            allowed,
            judged,
        };
        // What is denied is never asked of anybody.
        let whole = if request.judged.is_denied() {
            Some(request)
        } else {
            self.scatter(request)
        };
        if let Some(request) = whole {
            self.pick(request);
        }
    }

    /// Why a statement is not taken, whatever the rules say of it.
    fn not_taken_because(&mut self, call: &Call) -> Option<NotTaken> {
        if let Some(field) = call.invalid_field {
            return Some(NotTaken::InvalidField(field));
        }
        if self.shutdown.rejects() {
            return Some(NotTaken::Rejected);
        }
        let scatter = self.scatter.as_ref();
        if scatter.is_some_and(|scatter| scatter.passes_for_numbered(call)) {
            return Some(NotTaken::NumberedText);
        }
        self.is_full().then_some(NotTaken::Rejected)
    }

    fn answer_not_taken(&mut self, client: ClientId, number: i32, reason: &NotTaken) {
        match reason {
            NotTaken::InvalidField(field) => self.clients.answer_unusable(client, number, field),
            NotTaken::NumberedText => {
                let why = "its text begins as fronts number loads: leave that comment out";
                let reply = Reply::Refused(&[("reason", why)]);
                self.clients.reply(client, number, &reply);
            }
            NotTaken::Rejected => self.clients.reject(client, number),
        }
    }

    /// Microseconds in which a final answer is still of use to the client.
    fn time_left(&self, call: &Call, unread_for: Micros) -> Micros {
        // Guards against a final answer that is held up on its way: it has the slack twice, before the
        // client's time is up and after. A result that comes in that last moment is lost to the client.
        let time_left = (call.time_left_ms * 1000.0) as Micros - self.answer_slack;
        // Guards against a deadline beyond the client's: its time has run on while the statement lay unread.
        time_left - self.clock.waited().max(unread_for)
    }

    /// What the access rules say of a statement, where they are on.
    fn judge(&self, call: &Call) -> Decision {
        let Some(rules) = &self.rules else {
            return Decision::Unrestricted;
        };
        let now = self.clock.now;
        let mut rules = rules.borrow_mut();
        rules.judge(now, &call.customer, &call.workload, &call.statement)
    }

    /// Whether no more statements can be taken: too many are held, or they take too much memory.
    fn is_full(&mut self) -> bool {
        let full = self.clients.held_bytes() > self.max_bytes;
        if full != std::mem::replace(&mut self.memory_full, full) {
            log::warn!(
                "statements held take {} bytes; {}",
                self.clients.held_bytes(),
                if full {
                    "more are rejected"
                } else {
                    "taken again"
                }
            );
        }
        full || self.dispatcher.statements_held() >= self.max_statements
    }

    /// Hands a statement to the dispatcher, or answers why it can't be.
    fn pick(&mut self, request: JudgedRequest) {
        let JudgedRequest {
            client,
            number,
            call,
            time_left,
            allowed,
            judged,
        } = request;
        let allowed: Option<Vec<&str>> = allowed
            .as_ref()
            .map(|names| names.iter().map(String::as_str).collect());
        let ask = StatementRequest {
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
        let picked = self.dispatcher.submit(self.clock.now, &ask);
        if let Some(rules) = &self.rules {
            rules
                .borrow_mut()
                .statement_picked(&mut self.dispatcher, &judged, picked.ok());
        }
        match picked {
            Ok(ticket) => self.clients.open(client, number, ticket, call),
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
