//! Dispatch: executes the dispatcher's commands on clients, engines and sessions, and reports the outcomes back to it.

use std::rc::Rc;

use hallmux_dispatcher::{Command, Ending, EngineIndex, Micros, RejectCause, Ticket};
use hallmux_fleet::ledger_barrier;
use hallmux_native_codec::statement::{Call, Reply};
use hallmux_scatter::gather::PartFailure;

use super::EventLoopState;
use crate::engines;
use crate::execution::ExecutionId;
use crate::fleet::rules::{RuleDecision, SendCommand, SharedRules};
use crate::fleet::Peers;
use crate::postgres::admission_state::AdmissionState;
use crate::postgres::gateway::Gateway;
use crate::refusal::Refusal;
use crate::scatter::Load;

impl EventLoopState {
    /// Reports replies of engines and the ends of executions to the dispatcher, and forwards answers to clients.
    pub(super) fn handle_engine_events(&mut self) {
        for event in std::mem::take(&mut self.engines.events) {
            match event {
                engines::Event::ExecutionEnded {
                    execution_id,
                    ending,
                    report,
                    result,
                } => self.execution_ended(execution_id, ending, report, &result),
                engines::Event::Progress {
                    execution_id,
                    progress,
                } => {
                    let ExecutionId { ticket, number } = execution_id;
                    self.dispatcher.note(ticket, number, progress);
                }
                engines::Event::ProbeEnded {
                    engine_index,
                    alive,
                    report,
                } => {
                    self.dispatcher
                        .probe_ended(self.clock.now, engine_index, alive, report);
                }
            }
        }
        let admission = self.admission_state();
        if let Some(gateway) = &mut self.gateway {
            gateway.handle_server_events(self.clock.now, admission, &mut self.dispatcher);
        }
    }

    /// Handles an execution that has ended at its engine. Its result answers its statement, or the parent statement that
    /// it is a part of.
    fn execution_ended(
        &mut self,
        execution_id: ExecutionId,
        ending: Ending,
        report: Option<Vec<f64>>,
        result: &[u8],
    ) {
        let ExecutionId { ticket, number } = execution_id;
        let judged = self.statement_for_rules(ticket);
        if let Some(rules) = &self.rules {
            rules.borrow_mut().execution_ended(judged, execution_id);
        }
        let now = self.clock.now;
        let is_answered = self
            .dispatcher
            .execution_ended(now, ticket, number, ending, report);
        if is_answered && !self.end_part(ticket, Ok(result)) {
            self.clients.answer(now, ticket, &Reply::Completed(result));
        }
    }

    /// The current state that the admission of sessions' units depends on.
    pub(super) fn admission_state(&self) -> AdmissionState {
        let held = self.clients.held_bytes() + self.gateway.as_ref().map_or(0, Gateway::held_bytes);
        let at_capacity =
            held > self.max_bytes || self.dispatcher.statements_held() >= self.max_statements;
        AdmissionState {
            unread_time: self.clock.unread_time(),
            at_capacity,
        }
    }

    /// Whether a statement belongs to a PostgreSQL session.
    pub(super) fn is_session_statement(&self, ticket: Ticket) -> bool {
        self.gateway
            .as_ref()
            .is_some_and(|gateway| gateway.owns_statement(ticket))
    }

    /// Whether an execution belongs to a PostgreSQL session.
    pub(super) fn is_session_execution(&self, execution_id: ExecutionId) -> bool {
        self.gateway
            .as_ref()
            .is_some_and(|gateway| gateway.has_execution(execution_id))
    }

    /// Applies the decisions of the access rules: releases executions that they held, or ends statements.
    pub(super) fn apply_rule_decisions(&mut self) {
        let Some(rules) = self.rules.clone() else {
            return;
        };
        let now = self.clock.now;
        self.dispatcher
            .watched_ends()
            .iter()
            .for_each(|ticket| rules.borrow_mut().statement_ended(*ticket));
        let rulings = rules
            .borrow_mut()
            .tick(now, &mut self.dispatcher, self.peers.as_mut());
        for ruling in rulings {
            match ruling {
                RuleDecision::Send(ordered) => self.await_ledger_entries(ordered),
                RuleDecision::Deny(ticket) => {
                    let refusal = Refusal::Rejected { retry_after: None };
                    self.answer_without_result(ticket, refusal, RejectCause::AccessRules);
                    self.dispatcher.reject(now, ticket);
                }
                RuleDecision::Abort(ticket) => {
                    let refusal = Refusal::Aborted;
                    self.answer_without_result(ticket, refusal, RejectCause::AccessRules);
                    self.abandon(ticket);
                }
                RuleDecision::Reject { ticket, may_retry } => {
                    let retry_after = self.dispatcher.reject(now, ticket);
                    let retry_after = retry_after.filter(|_| may_retry);
                    let refusal = Refusal::Rejected { retry_after };
                    self.answer_without_result(ticket, refusal, RejectCause::AccessRules);
                    self.abandon(ticket);
                }
            }
        }
    }

    /// Applies the decisions of the ledger: releases executions that were held for their ledger entries, or ends
    /// statements.
    pub(super) fn apply_ledger_decisions(&mut self) {
        let Some((guard, peers)) = self.guard.as_mut().zip(self.peers.as_mut()) else {
            return;
        };
        let clients = &self.clients;
        let id = |ticket| clients.call(ticket).map(|call| call.id.clone());
        self.clock.refresh();
        let now = self.clock.now;
        for ruling in guard.tick(now, &mut self.dispatcher, peers, id) {
            match ruling {
                ledger_barrier::BarrierDecision::Release(ledger_barrier::PendingExecution {
                    ticket,
                    execution,
                    place,
                    terms,
                    ..
                }) => {
                    self.dispatcher.execution_sent(now, ticket, execution);
                    self.await_load_marker(SendCommand {
                        checked_ticket: self.statement_for_rules(ticket),
                        ticket,
                        execution,
                        place,
                        terms,
                    });
                }
                ledger_barrier::BarrierDecision::Reject(ticket) => {
                    let retry_after = self.dispatcher.reject(now, ticket);
                    self.execute_command(Command::Reject {
                        ticket,
                        retry_after,
                        cause: RejectCause::LedgerEntry,
                    });
                }
                ledger_barrier::BarrierDecision::Abort(ticket) => {
                    self.dispatcher.reject(now, ticket);
                    self.execute_command(Command::Abort {
                        ticket,
                        cause: RejectCause::LedgerEntry,
                    });
                }
            }
        }
    }

    /// Sends the final answer of a statement that ends without a result.
    fn answer_without_result(&mut self, ticket: Ticket, refusal: Refusal, cause: RejectCause) {
        let now = self.clock.now;
        let outcome = match refusal {
            Refusal::Rejected { .. } => "rejected",
            Refusal::Aborted => "aborted",
        };
        log::debug!("statement {ticket}: {outcome}: {cause}");
        if self.is_session_statement(ticket) {
            if let Some(gateway) = &mut self.gateway {
                gateway.refuse(now, ticket, refusal);
            }
            return;
        }
        let reply = match refusal {
            Refusal::Rejected { retry_after } => Reply::Rejected {
                retry_after_ms: retry_after.map(|time| time / 1000),
            },
            Refusal::Aborted => Reply::Aborted,
        };
        self.clients.answer(now, ticket, &reply);
    }

    /// Holds an execution that the rules have passed until its ledger entries are replicated; passes it on if it needs
    /// none.
    fn await_ledger_entries(&mut self, ordered: SendCommand) {
        let (now, guard) = (self.clock.now, self.guard.as_mut());
        if !guard.is_some_and(|guard| guard.hold(now, &mut self.dispatcher, &ordered)) {
            self.await_load_marker(ordered);
        }
    }

    /// Holds an execution whose ledger entries are replicated until its load is marked; sends it if it needs no marker.
    fn await_load_marker(&mut self, ordered: SendCommand) {
        let now = self.clock.now;
        let load = self.load(ordered.ticket);
        let loads = self
            .scatter
            .as_mut()
            .and_then(|scatter| scatter.loads.as_mut());
        let dispatcher = &mut self.dispatcher;
        if !loads
            .zip(load)
            .is_some_and(|(loads, load)| loads.hold(now, dispatcher, &ordered, load))
        {
            self.send(ordered);
        }
    }

    /// What a statement may write; None if loads are not marked, if a session's unit needs no load
    /// marker, or if the statement is not known any more.
    fn load(&mut self, ticket: Ticket) -> Option<Load> {
        self.scatter.as_ref()?.loads.as_ref()?;
        if self.is_session_statement(ticket) {
            return self.gateway.as_mut()?.unit_load(ticket);
        }
        self.call(ticket).map(Load::Call)
    }

    /// Whether the access rules still allow an execution; if not, its statement is ended. To be
    /// called immediately before the execution is sent: nothing may happen in between.
    pub(super) fn recheck_access_rules(&mut self, ordered: SendCommand) -> bool {
        let (now, dispatcher) = (self.clock.now, &mut self.dispatcher);
        let allows = |rules: &SharedRules| {
            rules
                .borrow_mut()
                .check_before_send(now, dispatcher, ordered)
        };
        self.rules.as_ref().is_none_or(allows)
    }

    /// Sends an execution to its engine, if the access rules still allow it.
    fn send(&mut self, ordered: SendCommand) {
        if !self.recheck_access_rules(ordered) {
            return;
        }
        let SendCommand {
            ticket,
            execution,
            place,
            terms,
            ..
        } = ordered;
        let (now, execution_id) = (self.clock.now, ExecutionId::new(ticket, execution));
        self.send_capacity.sent(place);
        if self.is_session_statement(ticket) {
            return self
                .gateway
                .iter_mut()
                .for_each(|gateway| gateway.send(now, execution_id, place, terms, None));
        }
        match self.call(ticket) {
            Some(call) => {
                log::debug!(
                    "statement {ticket}: execution {execution} of id {} is sent",
                    call.id
                );
                self.engines.send(now, execution_id, place, call, terms)
            }
            None => {
                _ = self
                    .dispatcher
                    .execution_ended(now, ticket, execution, Ending::Withdrawn, None)
            }
        }
    }

    /// Cancels an execution, whether it is held, queued or sent.
    fn cancel_execution(&mut self, execution_id: ExecutionId, ending: Ending) {
        let now = self.clock.now;
        if self.withdraw_held(now, execution_id) {
            // The session is notified of the reason, although nothing was sent.
            self.gateway
                .iter_mut()
                .for_each(|gateway| gateway.cancel_execution(now, execution_id, ending));
            self.dispatcher.execution_ended(
                now,
                execution_id.ticket,
                execution_id.number,
                Ending::Withdrawn,
                None,
            );
        } else if self.is_session_execution(execution_id) {
            self.gateway
                .iter_mut()
                .for_each(|gateway| gateway.cancel_execution(now, execution_id, ending));
        } else {
            self.engines.cancel(now, execution_id, ending);
        }
    }

    /// Withdraws an execution that waits for rules, ledger entries or a load marker, so that it was never sent. Returns
    /// false if it does not wait for any.
    pub(super) fn withdraw_held(&mut self, now: Micros, execution_id: ExecutionId) -> bool {
        let judged = self.statement_for_rules(execution_id.ticket);
        let loads = self
            .scatter
            .as_mut()
            .and_then(|scatter| scatter.loads.as_mut());
        self.rules
            .as_ref()
            .is_some_and(|rules| rules.borrow_mut().cancel(judged, execution_id))
            || self
                .guard
                .as_mut()
                .is_some_and(|guard| guard.cancel(now, execution_id))
            || loads.is_some_and(|loads| loads.cancel(execution_id))
    }

    /// The statement that the access rules know: for a part its parent statement, otherwise the statement itself.
    pub(super) fn statement_for_rules(&self, ticket: Ticket) -> Ticket {
        self.scatter
            .as_ref()
            .and_then(|scatter| scatter.parent_of(ticket))
            .unwrap_or(ticket)
    }

    /// The call of a client's statement, or of a part of a scattered statement; None if the ticket
    /// belongs to neither.
    fn call(&self, ticket: Ticket) -> Option<Rc<Call>> {
        let part = || {
            self.scatter
                .as_ref()
                .and_then(|scatter| scatter.call_of_part(ticket))
        };
        self.clients.call(ticket).or_else(part)
    }

    /// Executes a command of the dispatcher.
    pub(super) fn execute_command(&mut self, command: Command) {
        let now = self.clock.now;
        match command {
            Command::Send {
                ticket,
                execution,
                engine: place,
                terms,
            } => self.send_when_allowed(SendCommand {
                checked_ticket: self.statement_for_rules(ticket),
                ticket,
                execution,
                place,
                terms,
            }),
            Command::Cancel {
                ticket,
                execution,
                ending,
            } => self.cancel_execution(ExecutionId::new(ticket, execution), ending),
            Command::SetPriority {
                ticket,
                execution,
                priority,
            } => self.set_priority(ExecutionId::new(ticket, execution), priority),
            Command::Reject {
                ticket,
                retry_after,
                cause,
            } => {
                let failure = PartFailure::Rejected { retry_after };
                if !self.end_part(ticket, Err(failure)) {
                    self.answer_without_result(ticket, Refusal::Rejected { retry_after }, cause);
                }
            }
            Command::Abort { ticket, cause } => {
                if !self.end_part(ticket, Err(PartFailure::Aborted)) {
                    self.answer_without_result(ticket, Refusal::Aborted, cause);
                }
            }
            Command::Probe {
                engine: place,
                for_fleet,
            } => self.probe(place, for_fleet),
            Command::SetConnectionRate { connections } => {
                self.engines.dials.borrow_mut().set_rate(now, connections)
            }
        }
    }

    /// Sends an execution once the rules, its ledger entries and its load marker allow it.
    fn send_when_allowed(&mut self, ordered: SendCommand) {
        let (now, dispatcher) = (self.clock.now, &mut self.dispatcher);
        let passes =
            |rules: &SharedRules| rules.borrow_mut().hold_or_pass(now, dispatcher, ordered);
        if self.rules.as_ref().is_none_or(passes) {
            self.await_ledger_entries(ordered);
        }
    }

    /// Changes the priority of an execution, whether it is held, queued or sent.
    fn set_priority(&mut self, execution_id: ExecutionId, priority: u8) {
        if let Some(guard) = &mut self.guard {
            guard.set_priority(execution_id.ticket, priority);
        }
        self.engines.set_priority(execution_id, priority);
    }

    /// Sends a health check to an engine. One on behalf of the fleet is dropped if another front has taken over these
    /// probes since the decision.
    fn probe(&mut self, place: EngineIndex, for_fleet: bool) {
        let may_probe = self.peers.as_ref().is_none_or(Peers::may_probe);
        if may_probe || !for_fleet {
            self.engines.probe(self.clock.now, place);
        }
    }
}
