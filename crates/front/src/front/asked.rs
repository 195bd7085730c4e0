//! What clients ask for is taken to the dispatcher.

use hallmux_access::Judged;
use hallmux_codec::statement::{self, Call, Reply};
use hallmux_codec::tables;
use hallmux_dispatcher::{Ask, Micros, Protocol, Ticket, Unfit};

use super::Front;
use crate::clients::{self, ClientId};

impl Front {
    pub(super) fn read_client(&mut self, id: ClientId) -> bool {
        let mut told = Vec::new();
        let more = self.clients.read(self.clock.now, id, !self.shutdown.asked(), &mut told);
        self.take(told);
        more
    }

    pub(super) fn take(&mut self, told: Vec<clients::Told>) {
        for told in told {
            match told {
                clients::Told::Asked { client, number, call, waited } => {
                    let mut ended = Vec::new();
                    self.asked(client, number, *call, waited, &mut ended);
                    self.take(ended);
                }
                clients::Told::Forgets { client, number } => {
                    let ticket = self.clients.forget(client, number);
                    ticket.into_iter().for_each(|ticket| self.left(ticket));
                }
                clients::Told::Left(ticket) => self.left(ticket),
            }
        }
    }

    /// Nobody waits for a statement any more.
    pub(super) fn left(&mut self, ticket: Ticket) {
        // What waits for a connection is not sent any more, also where engines can't be told to give it up.
        self.engines.leave(ticket);
        let (now, dispatcher) = (self.clock.now, &mut self.dispatcher);
        match self.scatter.as_mut().is_some_and(|scatter| scatter.left(now, ticket, dispatcher)) {
            true => self.rules.iter().for_each(|rules| rules.borrow_mut().gone(ticket)),
            false => self.dispatcher.left(now, ticket),
        }
    }

    pub(super) fn asked(
        &mut self,
        client: ClientId,
        number: i32,
        call: Call,
        waited: Micros,
        ended: &mut Vec<clients::Told>,
    ) {
        if !self.clients.has_room(client, number, &call, ended) {
            return;
        }
        if let Some(field) = call.unfit {
            return self.clients.unfit(client, number, field);
        }
        if self.shutdown.rejects() {
            return self.clients.refuse(client, number);
        }
        if self.scatter.as_ref().is_some_and(|scatter| scatter.passes_for_numbered(&call)) {
            let why = "its text begins as fronts number loads: leave that comment out";
            return self.clients.say(client, number, &Reply::Refused(&[("reason", why)]));
        }
        let full = self.clients.held() > self.most_bytes;
        if full != std::mem::replace(&mut self.full, full) {
            log::warn!(
                "statements held take {} bytes; {}",
                self.clients.held(),
                if full { "more are rejected" } else { "taken again" }
            );
        }
        if full || self.dispatcher.held() >= self.most_held {
            return self.clients.refuse(client, number);
        }
        // Guards against a final answer that is held up on its way: it has the slack twice, before the
        // client's time is up and after. A result that comes in that last moment is lost to the client.
        let time_left = (call.time_left_ms * 1000.0) as Micros - self.answer_slack;
        // Guards against a deadline beyond the client's: its time has run on while the statement lay unread.
        let time_left = time_left - self.clock.waited().max(waited);
        let judged = self.rules.as_ref().map(|rules| {
            rules.borrow_mut().judge(self.clock.now, &call.customer, &call.workload, &call.statement)
        });
        let judged = judged.unwrap_or(Judged::Free);
        if judged == Judged::Closed {
            return self.clients.refuse(client, number);
        }
        let allowed = self.rules.as_ref().and_then(|rules| rules.borrow().allowed(&judged));
        // What is denied is never asked of anybody.
        let scattered = match judged.is_denied() {
            true => Some((call, None)),
            false => self.scatters(client, number, call, time_left, allowed.clone(), &judged),
        };
        let Some((call, whole_site)) = scattered else { return };
        let within = |site: &String| allowed.as_ref().is_none_or(|allowed| allowed.contains(site));
        let allowed = match &whole_site {
            Some(site) => Some(if within(site) { vec![site.as_str()] } else { Vec::new() }),
            None => allowed.as_ref().map(|names| names.iter().map(String::as_str).collect()),
        };
        let ask = Ask {
            workload: &call.workload,
            customer: &call.customer,
            key: call.order_key.as_deref(),
            dedup_key: call.dedup_key.as_deref(),
            time_left,
            work: call.work_ms * 1000.0,
            memory_mb: call.memory_mb,
            data_set: tables::group(&call.statement),
            protocol: Protocol::Lines,
            pinned: None,
            allowed: allowed.as_deref(),
        };
        let picked = self.dispatcher.pick(self.clock.now, &ask);
        if let Some(rules) = &self.rules {
            rules.borrow_mut().picked(&mut self.dispatcher, &judged, picked.ok());
        }
        match picked {
            Ok(ticket) => self.clients.opened(client, number, ticket, call),
            Err(Unfit::Barred) => {
                self.clients.say(client, number, &Reply::Rejected { retry_after_ms: None });
            }
            Err(Unfit::Workload) => self.clients.unfit(client, number, statement::WORKLOAD),
            Err(Unfit::DedupKey) => self.clients.unfit(client, number, statement::DEDUP_KEY),
            Err(Unfit::Customer) => self.clients.unfit(client, number, statement::CUSTOMER),
        }
    }
}
