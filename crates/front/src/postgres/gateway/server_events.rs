//! Passes the answers of engines and the endings of executions on to sessions and the dispatcher.

use hallmux_dispatcher::{Dispatcher, Ending, Micros, ProgressReport, Ticket};
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::engine::UnitOutcome;

use super::Gateway;
use crate::execution::ExecutionId;
use crate::postgres::admission_state::AdmissionState;
use crate::postgres::ids::{Pin, ServerId};
use crate::postgres::servers::Event;
use crate::refusal::Refusal;

/// The last part of an engine's answer to a unit.
struct FinalPart {
    execution_id: ExecutionId,
    bytes: Vec<u8>,
    done: UnitOutcome,
    /// The connection that holds the session's transaction, if one is open.
    held: Option<ServerId>,
}

impl Gateway {
    /// Passes the replies of engines, and the endings of executions, on to sessions and to the
    /// dispatcher.
    pub fn handle_server_events(
        &mut self,
        now: Micros,
        admission: AdmissionState,
        dispatcher: &mut Dispatcher,
    ) {
        loop {
            let events = std::mem::take(&mut self.servers.events);
            if events.is_empty() {
                break;
            }
            for event in events {
                self.handle_server_event(now, dispatcher, event);
            }
            self.handle_session_events(now, admission, dispatcher);
        }
        self.read_unfinished(now, admission, dispatcher);
    }

    fn handle_server_event(&mut self, now: Micros, dispatcher: &mut Dispatcher, event: Event) {
        match event {
            Event::Irrevocable(execution_id) => dispatcher.answer_started(execution_id.ticket),
            Event::PartialAnswer {
                execution_id,
                bytes,
                ends_message,
            } => {
                dispatcher.answer_started(execution_id.ticket);
                if self
                    .sessions
                    .forward_answer(execution_id.ticket, &bytes, ends_message)
                {
                    self.servers.pause(execution_id);
                }
            }
            Event::Answered {
                execution_id,
                bytes,
                done,
                held,
            } => self.finish_answer(
                now,
                dispatcher,
                FinalPart {
                    execution_id,
                    bytes,
                    done,
                    held,
                },
            ),
            Event::Refused {
                execution_id,
                error,
            } => self.execution_refused(now, dispatcher, execution_id, &error),
            Event::Ended {
                execution_id,
                ending,
            } => self.execution_ended(now, dispatcher, execution_id, ending),
            Event::Alive(ExecutionId { ticket, number }) => {
                dispatcher.note(ticket, number, ProgressReport::Alive)
            }
            Event::TransactionLost { session } => self.sessions.transaction_lost(session),
        }
    }

    /// Handles the end of an engine's answer to a unit.
    fn finish_answer(&mut self, now: Micros, dispatcher: &mut Dispatcher, part: FinalPart) {
        let FinalPart {
            execution_id: ExecutionId { ticket, number },
            bytes,
            done,
            held,
        } = part;
        let opens_transaction = done.status != b'I';
        let keeps_key = opens_transaction && dispatcher.keep_order_key(ticket);
        if !dispatcher.execution_ended(now, ticket, number, Ending::Answered, None) {
            // The unit was already answered, so a transaction that it opened has no session: it is
            // rolled back.
            if let Some(server) = held {
                self.servers.release(now, server);
            }
            return;
        }
        let Some((_, open_session)) = self.sessions.by_ticket(ticket) else {
            return;
        };
        let running = open_session.running.as_mut();
        let key = running.and_then(|running| running.order_key.take());
        open_session
            .held_order_keys
            .extend(key.filter(|_| keeps_key));
        let pin = held.and_then(|server| self.pin(server));
        self.sessions.answer(now, ticket, &bytes, &done, pin);
    }

    fn pin(&self, server: ServerId) -> Option<Pin> {
        let engine_index = self.servers.engine_index(server)?;
        Some(Pin {
            engine_index,
            server,
        })
    }

    /// Handles an engine's refusal to execute a unit: its error is forwarded to the client.
    fn execution_refused(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        execution_id: ExecutionId,
        error: &[u8],
    ) {
        let ExecutionId { ticket, number } = execution_id;
        dispatcher.answer_started(ticket);
        if dispatcher.execution_ended(now, ticket, number, Ending::Stale, None) {
            self.sessions
                .fail(now, ticket, &ClientError::ResultLost, Some(error));
        }
    }

    fn execution_ended(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        execution_id: ExecutionId,
        ending: Ending,
    ) {
        let ExecutionId { ticket, number } = execution_id;
        log::debug!("statement {ticket}: execution {number} ended: {ending:?}");
        let is_cancelled = self.record_ending(ticket, ending);
        let is_over = dispatcher.execution_ended(now, ticket, number, ending, None);
        if is_over || is_cancelled {
            // A unit whose client has cancelled it is not retried.
            self.refuse(now, ticket, Refusal::Aborted);
            dispatcher.client_left(now, ticket);
        }
    }

    /// Records in the session how an execution of its unit has ended. Returns true if the client
    /// has cancelled the unit.
    fn record_ending(&mut self, ticket: Ticket, ending: Ending) -> bool {
        let session = self.sessions.by_ticket(ticket);
        let running = session.and_then(|(_, open_session)| open_session.running.as_mut());
        let Some(running) = running else {
            return false;
        };
        running.may_have_run |= ending.may_have_run();
        running.execution_id = None;
        running.cancelled
    }
}
