//! Statements over several sites (scatter-gather): their admission, the dispatch of their parts, and their final answer.

use hallmux_dispatcher::{Command, InvalidRequest, RejectCause, Ticket};
use hallmux_gossip::channels::Channel;
use hallmux_native_codec::statement::{self, Reply};
use hallmux_scatter::gather::{Answer, PartFailure};
use hallmux_scatter::marker_requests::Effect;
use hallmux_scatter::sql::Query;

use super::admission::CheckedRequest;
use super::EventLoopState;
use crate::execution::ExecutionId;
use crate::fleet::rules::SendCommand;
use crate::fleet::PeerMessage;
use crate::scatter::{
    FinalReply, GroupMarkers, LoadOutcome, Outgoing, ScatterRequest, ScatteredStatements,
    REQUEST_NUMBER_BASE,
};

const NOT_ESTIMATED: &str =
    "sites' summaries do not tell distinct values now as scatter.distinct_error has it: \
     ask later, or name a scatter.whole_site";
const TOO_LONG: &str = "more bytes than scatter.answer_bytes: ask for fewer rows, or raise it";

impl EventLoopState {
    /// Starts a statement of a scattered workload if its answer can be composed from parts. Returns the statement if it
    /// can't, or if its workload is not scattered.
    pub(super) fn scatter(&mut self, mut request: CheckedRequest) -> Option<CheckedRequest> {
        let scatter = self.scatter.as_mut();
        let Some(scatter) = scatter.filter(|s| s.is_scattered(&request.call.workload)) else {
            return Some(request);
        };
        match scatter.parse_query(&request.call) {
            Ok(Some(query)) => {
                self.start_scattered(request, query);
                None
            }
            Ok(None) => {
                if let Some(site) = scatter.whole_site() {
                    request.restrict_to(site.to_string());
                }
                Some(request)
            }
            Err(reason) => {
                self.refuse_scattered(&request, &reason);
                None
            }
        }
    }

    fn start_scattered(&mut self, request: CheckedRequest, query: Query) {
        let now = self.clock.now;
        let ticket = self.dispatcher.new_ticket();
        self.clients
            .open_statement(request.client, request.number, ticket, request.call);
        let Some(call) = self.clients.call(ticket) else {
            return;
        };
        if let Some(rules) = &self.rules {
            rules.borrow_mut().record_admission(
                &mut self.dispatcher,
                &request.decision,
                Some(ticket),
            );
        }
        if let Some(scatter) = &mut self.scatter {
            let statement = ScatterRequest {
                call,
                query,
                deadline: now + request.time_left,
                allowed_sites: request.allowed,
            };
            scatter.start(now, ticket, statement, &mut self.dispatcher);
        }
    }

    fn refuse_scattered(&mut self, request: &CheckedRequest, reason: &str) {
        log::debug!(
            "client {}: scattered statement {} is refused: {reason}",
            request.client,
            request.call.id
        );
        let reply = Reply::Refused(&[("reason", reason)]);
        self.clients.reply(request.client, request.number, &reply);
        if let Some(rules) = &self.rules {
            rules
                .borrow_mut()
                .record_admission(&mut self.dispatcher, &request.decision, None);
        }
    }

    /// Ends a part of a scattered statement. Returns false if the ticket is not that of a part.
    pub(super) fn end_part(&mut self, part: Ticket, ended: Result<&[u8], PartFailure>) -> bool {
        let now = self.clock.now;
        let Some(scatter) = self
            .scatter
            .as_mut()
            .filter(|scatter| scatter.is_part(part))
        else {
            return false;
        };
        scatter.part_ended(now, part, ended.map(<[u8]>::to_vec), &mut self.dispatcher);
        true
    }

    /// Runs the timers of scattered statements: exchanges messages with other fronts, applies load markers, and sends
    /// the answers that are complete.
    pub(super) fn tick_scatter(&mut self) {
        let now = self.clock.now;
        let Some(scatter) = &mut self.scatter else {
            return;
        };
        scatter.summaries.update_retention(now);
        scatter.expire_audit_waits(now, &mut self.dispatcher);
        if let Some(peers) = &mut self.peers {
            let mut messages = scatter.tick(now, &peers.accepted_peers());
            for PeerMessage { from, bytes } in peers.take_messages(Channel::Summaries) {
                messages.extend(scatter.summaries.receive(now, from, &bytes));
            }
            messages
                .iter()
                .for_each(|(to, bytes)| peers.send_message(now, *to, Channel::Summaries, bytes));
        }
        if let Some(loads) = &mut scatter.loads {
            loads.report_held(now, &mut self.dispatcher);
        }
        self.apply_load_markers();
        self.answer_scattered();
    }

    /// Requests load markers from the ledger and applies its answers: loads are sent, scattered statements start.
    /// Repeats until the ledger has no more answers.
    pub(super) fn apply_load_markers(&mut self) {
        loop {
            let now = self.clock.now;
            let Some((scatter, peers)) = self.scatter.as_mut().zip(self.peers.as_mut()) else {
                return;
            };
            let Some(loads) = &mut scatter.loads else {
                return;
            };
            let answers = peers.take_ledger_answers(REQUEST_NUMBER_BASE).into_iter();
            let mut outcomes: Vec<LoadOutcome> = answers
                .flat_map(|done| loads.on_ledger_answer(done))
                .collect();
            let due = loads.due_requests(now, &scatter.summaries.store);
            outcomes.extend(due.outcomes);
            if outcomes.is_empty() && due.requests.is_empty() {
                return;
            }
            for ask in due.requests {
                peers.submit_ledger_request(now, ask);
            }
            for outcome in outcomes {
                self.apply_load_outcome(outcome);
            }
        }
    }

    fn apply_load_outcome(&mut self, outcome: LoadOutcome) {
        let now = self.clock.now;
        match outcome {
            LoadOutcome::Send {
                execution_id,
                place,
                terms,
                outgoing,
            } => {
                self.dispatcher
                    .execution_sent(now, execution_id.ticket, execution_id.number);
                let ordered = SendCommand {
                    checked_ticket: self.statement_for_rules(execution_id.ticket),
                    ticket: execution_id.ticket,
                    execution: execution_id.number,
                    place,
                    terms,
                };
                if self.recheck_access_rules(ordered) {
                    self.send_with_load_marker(ordered, outgoing);
                }
            }
            LoadOutcome::Reject(ExecutionId { ticket, .. }) => {
                let retry_after = self.dispatcher.reject(now, ticket);
                self.execute_command(Command::Reject {
                    ticket,
                    retry_after,
                    cause: RejectCause::LoadMark,
                });
            }
            LoadOutcome::Other(Effect::Markers {
                group,
                scatters,
                markers: marks,
            }) => {
                let waiting: Vec<Ticket> =
                    scatters.iter().map(|ticket| *ticket as Ticket).collect();
                let group_marks = GroupMarkers {
                    group,
                    markers: marks.as_ref(),
                };
                if let Some(scatter) = &mut self.scatter {
                    scatter.apply_group_markers(now, group_marks, &waiting, &mut self.dispatcher);
                }
            }
            LoadOutcome::Other(_) => {}
        }
    }

    /// Sends an execution whose load marker is replicated.
    fn send_with_load_marker(&mut self, ordered: SendCommand, outgoing: Outgoing) {
        let SendCommand { place, terms, .. } = ordered;
        let now = self.clock.now;
        match (outgoing, &mut self.gateway) {
            (Outgoing::Call(call), _) => self.engines.send(now, ordered.id(), place, call, terms),
            (Outgoing::Unit(text), Some(gateway)) => {
                gateway.send(now, ordered.id(), place, terms, text)
            }
            (Outgoing::Unit(_), None) => {}
        }
    }

    /// Sends the final answers of scattered statements that have ended.
    pub(super) fn answer_scattered(&mut self) {
        for (ticket, reply) in self
            .scatter
            .as_mut()
            .map(ScatteredStatements::take_replies)
            .unwrap_or_default()
        {
            self.rules
                .iter()
                .for_each(|rules| rules.borrow_mut().statement_ended(ticket));
            match reply {
                FinalReply::Answer(answer) => self.answer_scattered_statement(ticket, &answer),
                FinalReply::Invalid(invalid) => {
                    let field = match invalid {
                        InvalidRequest::UnknownCustomer => statement::CUSTOMER,
                        InvalidRequest::MissingDedupKey => statement::DEDUP_KEY,
                        InvalidRequest::UnknownWorkload | InvalidRequest::NoAllowedLocation => {
                            statement::WORKLOAD
                        }
                    };
                    self.clients.answer_accepted_unusable(ticket, field);
                }
            }
        }
    }

    fn answer_scattered_statement(&mut self, ticket: Ticket, answer: &Answer) {
        match answer {
            Answer::Rows {
                bytes,
                missing,
                barred,
            } => self.answer_rows(ticket, bytes, missing, barred),
            Answer::Rejected { retry_after, site } => {
                log::debug!("statement {ticket}: scattered statement is rejected for its part at site {site}");
                let retry_after_ms = retry_after.map(|time| time / 1000);
                self.answer(ticket, &Reply::Rejected { retry_after_ms });
            }
            Answer::Aborted { site } => {
                log::debug!("statement {ticket}: scattered statement is aborted for its part at site {site}");
                self.answer(ticket, &Reply::Aborted);
            }
            Answer::Barred(sites) => {
                let sites = sites.join(",");
                self.answer(ticket, &Reply::Refused(&[("barred", &sites)]));
            }
            Answer::Estimate { distinct, error } => {
                // Rows have three columns, as those of engines.
                let (row, error) = (format!("{distinct}\t\t\n"), format!("{error:.4}"));
                let reply = Reply::Partial {
                    body: row.as_bytes(),
                    fields: &[("error", &error)],
                };
                self.answer(ticket, &reply);
            }
            Answer::NotEstimated => self.refuse(ticket, NOT_ESTIMATED),
            Answer::Mismatch { site } => {
                let reason = format!(
                    "site '{site}' answers aggregates in another form: name a scatter.whole_site"
                );
                self.refuse(ticket, &reason);
            }
            Answer::TooLong => self.refuse(ticket, TOO_LONG),
        }
    }

    /// Answers with the rows of all sites, or with those of the sites that are neither missing nor barred.
    fn answer_rows(&mut self, ticket: Ticket, rows: &[u8], missing: &[String], barred: &[String]) {
        if missing.is_empty() && barred.is_empty() {
            return self.answer(ticket, &Reply::Completed(rows));
        }
        let (missing, barred) = (missing.join(","), barred.join(","));
        let fields = [("missing", missing.as_str()), ("barred", barred.as_str())];
        let fields: Vec<_> = fields
            .into_iter()
            .filter(|(_, sites)| !sites.is_empty())
            .collect();
        let reply = Reply::Partial {
            body: rows,
            fields: &fields,
        };
        self.answer(ticket, &reply);
    }

    fn refuse(&mut self, ticket: Ticket, reason: &str) {
        self.answer(ticket, &Reply::Refused(&[("reason", reason)]));
    }

    fn answer(&mut self, ticket: Ticket, reply: &Reply) {
        self.clients.answer(self.clock.now, ticket, reply);
    }
}
