//! Statements over several sites (scatter and gather): admitted, their parts dispatched, their one answer given.

use std::rc::Rc;

use hallmux_access::Decision;
use hallmux_dispatcher::{Command, InvalidRequest, Micros, RejectCause, Ticket};
use hallmux_gossip::channels::Channel;
use hallmux_native_codec::statement::{self, Call, Reply};
use hallmux_scatter::gather::{Answer, PartFailure};
use hallmux_scatter::marker::Effect;

use super::EventLoopState;
use crate::clients::ClientId;
use crate::execution::ExecutionId;
use crate::fleet::rules::Ordered;
use crate::scatter::{FinalReply, LoadOutcome, Outgoing, ScatteredStatements, ASK_NUMBERS};

impl EventLoopState {
    /// Takes a statement of a workload that is scattered, where parts can make up its answer. Gives it back with the one
    /// location it may be sent to where they can't.
    pub(super) fn scatter(
        &mut self,
        client: ClientId,
        number: i32,
        call: Call,
        time_left: Micros,
        allowed: Option<Vec<String>>,
        judged: &Decision,
    ) -> Option<(Call, Option<String>)> {
        let Some(scatter) = self
            .scatter
            .as_mut()
            .filter(|scatter| scatter.is_scattered(&call.workload))
        else {
            return Some((call, None));
        };
        match scatter.read(&call) {
            Ok(Some(query)) => {
                let ticket = self.dispatcher.new_ticket();
                let ends = self.clock.now + time_left;
                self.clients.open(client, number, ticket, call);
                let call: Rc<Call> = self.clients.call(ticket)?;
                let whole = (call, query, ends);
                if let Some(rules) = &self.rules {
                    rules
                        .borrow_mut()
                        .statement_picked(&mut self.dispatcher, judged, Some(ticket));
                }
                scatter.begin(self.clock.now, ticket, whole, allowed, &mut self.dispatcher);
                None
            }
            Ok(None) => {
                let site = scatter.whole_site().map(str::to_string);
                Some((call, site))
            }
            Err(why) => {
                log::debug!(
                    "client {client}: statement {} of several sites: {why}",
                    call.id
                );
                self.clients
                    .reply(client, number, &Reply::Refused(&[("reason", &why)]));
                if let Some(rules) = &self.rules {
                    rules
                        .borrow_mut()
                        .statement_picked(&mut self.dispatcher, judged, None);
                }
                None
            }
        }
    }

    /// A part is answered; false if the statement is none.
    pub(super) fn end_part(&mut self, part: Ticket, ended: Result<&[u8], PartFailure>) -> bool {
        let now = self.clock.now;
        let Some(scatter) = self.scatter.as_mut().filter(|scatter| scatter.owns(part)) else {
            return false;
        };
        scatter.ended(now, part, ended.map(<[u8]>::to_vec), &mut self.dispatcher);
        true
    }

    /// Does what is due of scatters: messages to other fronts, marks on loads, and the answers there are.
    pub(super) fn tick_scatter(&mut self) {
        let now = self.clock.now;
        let Some(scatter) = &mut self.scatter else {
            return;
        };
        scatter.summaries.choose(now);
        scatter.finish_audits(now, &mut self.dispatcher);
        if let Some(peers) = &mut self.peers {
            let mut messages = scatter.tick(now, &peers.others());
            for (from, bytes) in peers.take_messages(Channel::Summaries) {
                messages.extend(scatter.summaries.receive(now, from, &bytes));
            }
            messages
                .iter()
                .for_each(|(to, bytes)| peers.send_message(now, *to, Channel::Summaries, bytes));
        }
        if let Some(loads) = &mut scatter.loads {
            loads.report_held(now, &mut self.dispatcher);
        }
        self.apply_marks();
        self.answer_scattered();
    }

    /// Asks the ledger for marks and takes its answers: loads leave, scatters begin.
    pub(super) fn apply_marks(&mut self) {
        loop {
            let now = self.clock.now;
            let Some((scatter, peers)) = self.scatter.as_mut().zip(self.peers.as_mut()) else {
                return;
            };
            let Some(loads) = &mut scatter.loads else {
                return;
            };
            let mut outcomes: Vec<LoadOutcome> = peers
                .ledger_answers(ASK_NUMBERS)
                .into_iter()
                .flat_map(|done| loads.done(done))
                .collect();
            let (asks, more) = loads.asks(now, &scatter.summaries.book);
            outcomes.extend(more);
            if outcomes.is_empty() && asks.is_empty() {
                return;
            }
            asks.into_iter().for_each(|ask| peers.ask(now, ask));
            for outcome in outcomes {
                match outcome {
                    LoadOutcome::Send {
                        sent:
                            ExecutionId {
                                ticket,
                                number: execution,
                            },
                        place,
                        terms,
                        outgoing,
                    } => {
                        self.dispatcher.execution_sent(now, ticket, execution);
                        let of = self.statement_for_rules(ticket);
                        if self.may_leave(Ordered {
                            of,
                            ticket,
                            execution,
                            place,
                            terms,
                        }) {
                            let sent = ExecutionId::new(ticket, execution);
                            match (outgoing, &mut self.gateway) {
                                (Outgoing::Call(call), _) => {
                                    self.engines.send(now, sent, place, call, terms)
                                }
                                (Outgoing::Unit(text), Some(gateway)) => {
                                    gateway.send(now, sent, place, text)
                                }
                                (Outgoing::Unit(_), None) => {}
                            }
                        }
                    }
                    LoadOutcome::TurnAway(ExecutionId { ticket, .. }) => {
                        let retry_after = self.dispatcher.reject(now, ticket);
                        self.carry_out(Command::Reject {
                            ticket,
                            retry_after,
                            cause: RejectCause::LoadMark,
                        });
                    }
                    LoadOutcome::Other(Effect::Marks {
                        group,
                        scatters,
                        marks,
                    }) => {
                        let waiting: Vec<Ticket> =
                            scatters.iter().map(|ticket| *ticket as Ticket).collect();
                        if let Some(scatter) = &mut self.scatter {
                            scatter.marks(
                                now,
                                (group, &waiting),
                                marks.as_ref(),
                                &mut self.dispatcher,
                            );
                        }
                    }
                    LoadOutcome::Other(_) => {}
                }
            }
        }
    }

    pub(super) fn answer_scattered(&mut self) {
        for (ticket, reply) in self
            .scatter
            .as_mut()
            .map(ScatteredStatements::take_replies)
            .unwrap_or_default()
        {
            self.rules
                .iter()
                .for_each(|rules| rules.borrow_mut().statement_over(ticket));
            match reply {
                FinalReply::Answer(answer) => self.answer_scattered_statement(ticket, &answer),
                FinalReply::Invalid(unfit) => {
                    let field = match unfit {
                        InvalidRequest::UnknownCustomer => statement::CUSTOMER,
                        InvalidRequest::MissingDedupKey => statement::DEDUP_KEY,
                        InvalidRequest::UnknownWorkload | InvalidRequest::NoAllowedLocation => {
                            statement::WORKLOAD
                        }
                    };
                    self.clients.answer_taken_unusable(ticket, field);
                }
            }
        }
    }

    fn answer_scattered_statement(&mut self, ticket: Ticket, answer: &Answer) {
        let now = self.clock.now;
        match answer {
            Answer::Rows {
                bytes,
                missing,
                barred,
            } if missing.is_empty() && barred.is_empty() => {
                self.clients.answer(now, ticket, &Reply::Completed(bytes));
            }
            Answer::Rows {
                bytes,
                missing,
                barred,
            } => {
                let (missing, barred) = (missing.join(","), barred.join(","));
                let fields = [("missing", missing.as_str()), ("barred", barred.as_str())];
                let fields: Vec<_> = fields
                    .into_iter()
                    .filter(|(_, sites)| !sites.is_empty())
                    .collect();
                self.clients.answer(
                    now,
                    ticket,
                    &Reply::Partial {
                        body: bytes,
                        fields: &fields,
                    },
                );
            }
            Answer::Rejected { retry_after, site } => {
                log::debug!("a statement of several sites is rejected for its part at {site}");
                let retry_after_ms = retry_after.map(|time| time / 1000);
                self.clients
                    .answer(now, ticket, &Reply::Rejected { retry_after_ms });
            }
            Answer::Aborted { site } => {
                log::debug!("a statement of several sites is aborted for its part at {site}");
                self.clients.answer(now, ticket, &Reply::Aborted);
            }
            Answer::Barred(sites) => {
                self.clients.answer(
                    now,
                    ticket,
                    &Reply::Refused(&[("barred", &sites.join(","))]),
                );
            }
            Answer::Estimate { distinct, error } => {
                // Engines' rows have three columns.
                let (row, error) = (format!("{distinct}\t\t\n"), format!("{error:.4}"));
                let reply = Reply::Partial {
                    body: row.as_bytes(),
                    fields: &[("error", &error)],
                };
                self.clients.answer(now, ticket, &reply);
            }
            Answer::NotEstimated => {
                let why =
                    "sites' summaries do not tell distinct values now as scatter.distinct_error has it: \
                           ask later, or name a scatter.whole_site";
                self.clients
                    .answer(now, ticket, &Reply::Refused(&[("reason", why)]));
            }
            Answer::Mismatch { site } => {
                let why = format!(
                    "site '{site}' answers aggregates in another form: name a scatter.whole_site"
                );
                self.clients
                    .answer(now, ticket, &Reply::Refused(&[("reason", &why)]));
            }
            Answer::TooLong => {
                let why = "more bytes than scatter.answer_bytes: ask for fewer rows, or raise it";
                self.clients
                    .answer(now, ticket, &Reply::Refused(&[("reason", why)]));
            }
        }
    }
}
