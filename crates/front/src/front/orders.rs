//! Orders of the dispatcher go to clients, engines and sessions; what those say goes back to it.

use hallmux_codec::statement::Reply;
use hallmux_dispatcher::{Ending, Order, Terms, Ticket};
use hallmux_fleet::gate::{Ordered, Ruling};
use hallmux_scatter::whole::Failed;

use super::Front;
use crate::engines;
use crate::fleet::Peers;
use crate::postgres::portal::{Portal, Room};

impl Front {
    /// Passes on what engines have said.
    pub(super) fn heard(&mut self) {
        for told in std::mem::take(&mut self.engines.told) {
            match told {
                engines::Told::Ended { sent: (ticket, execution), ending, report, cost, result } => {
                    if self.dispatcher.report(self.clock.now, ticket, execution, ending, report, cost)
                        && !self.part_ended(ticket, Ok(&result))
                    {
                        self.clients.answer(self.clock.now, ticket, &Reply::Completed(&result));
                    }
                }
                engines::Told::Noted { sent: (ticket, execution), note } => {
                    self.dispatcher.note(ticket, execution, note);
                }
                engines::Told::Probed { place, alive, report } => {
                    self.dispatcher.probed(self.clock.now, place, alive, report);
                }
            }
        }
        let room = self.room();
        if let Some(portal) = &mut self.portal {
            portal.heard(self.clock.now, room, &mut self.dispatcher);
        }
    }

    /// What sessions may count on just now.
    pub(super) fn room(&self) -> Room {
        let held = self.clients.held() + self.portal.as_ref().map_or(0, Portal::held);
        let full = held > self.most_bytes || self.dispatcher.held() >= self.most_held;
        Room { waited: self.clock.waited(), full }
    }

    /// A statement is a session's.
    pub(super) fn owns(&self, ticket: Ticket) -> bool {
        self.portal.as_ref().is_some_and(|portal| portal.owns(ticket))
    }

    /// An execution is one of a session's.
    pub(super) fn is_out(&self, sent: engines::Sent) -> bool {
        self.portal.as_ref().is_some_and(|portal| portal.has(sent))
    }

    /// What promises let go of, or can't be had for.
    pub(super) fn guarded(&mut self) {
        let Some((guard, peers)) = self.guard.as_mut().zip(self.peers.as_mut()) else { return };
        let clients = &self.clients;
        let id = |ticket| clients.call(ticket).map(|call| call.id.clone());
        self.clock.look();
        let now = self.clock.now;
        for ruling in guard.turn(now, &mut self.dispatcher, peers, id) {
            match ruling {
                Ruling::Go(Ordered { ticket, execution, place, terms, .. }) => {
                    self.dispatcher.leaves(now, ticket, execution);
                    self.send((ticket, execution), place, terms);
                }
                Ruling::TurnAway(ticket) => {
                    let retry_after = self.dispatcher.turn_away(now, ticket);
                    self.obey(Order::Reject { ticket, retry_after });
                }
                Ruling::Abort(ticket) => {
                    self.dispatcher.turn_away(now, ticket);
                    self.obey(Order::Abort { ticket });
                }
            }
        }
    }

    /// An execution leaves for its engine.
    fn send(&mut self, sent: engines::Sent, place: usize, terms: Terms) {
        let now = self.clock.now;
        if self.owns(sent.0) {
            return self.portal.iter_mut().for_each(|portal| portal.send(now, sent, place));
        }
        let part = || self.scatter.as_ref().and_then(|scatter| scatter.call(sent.0));
        match self.clients.call(sent.0).or_else(part) {
            Some(call) => {
                let loads = self.scatter.as_mut().and_then(|scatter| scatter.loads.as_mut());
                let ordered = (sent, place, terms);
                if !loads.is_some_and(|loads| loads.holds(now, &mut self.dispatcher, ordered, &call)) {
                    self.engines.send(now, sent, place, call, terms);
                }
            }
            None => _ = self.dispatcher.report(now, sent.0, sent.1, Ending::Withdrawn, None, None),
        }
    }

    pub(super) fn obey(&mut self, order: Order) {
        let now = self.clock.now;
        match order {
            Order::Send { ticket, execution, place, terms } => {
                let (guard, sent) = (self.guard.as_mut(), (ticket, execution));
                if !guard.is_some_and(|guard| guard.holds(now, &mut self.dispatcher, (sent, place, terms))) {
                    self.send(sent, place, terms);
                }
            }
            Order::Stop { ticket, execution, ending }
                if self.guard.as_mut().is_some_and(|guard| guard.stops(now, (ticket, execution))) =>
            {
                // Its session is to know why, though nothing of it has left.
                self.portal.iter_mut().for_each(|portal| portal.stop(now, (ticket, execution), ending));
                self.dispatcher.report(now, ticket, execution, Ending::Withdrawn, None, None);
            }
            Order::Stop { ticket, execution, .. }
                if self
                    .scatter
                    .as_mut()
                    .and_then(|scatter| scatter.loads.as_mut())
                    .is_some_and(|loads| loads.stops((ticket, execution))) =>
            {
                self.dispatcher.report(now, ticket, execution, Ending::Withdrawn, None, None);
            }
            Order::Stop { ticket, execution, ending } if self.is_out((ticket, execution)) => {
                self.portal.iter_mut().for_each(|portal| portal.stop(now, (ticket, execution), ending));
            }
            Order::Reject { ticket, retry_after } if self.owns(ticket) => {
                self.portal.iter_mut().for_each(|portal| portal.refuse(now, ticket, true, retry_after));
            }
            Order::Abort { ticket } if self.owns(ticket) => {
                self.portal.iter_mut().for_each(|portal| portal.refuse(now, ticket, false, None));
            }
            Order::Hurry { ticket, execution, priority } => {
                self.guard.iter_mut().for_each(|guard| guard.hurry(ticket, priority));
                self.engines.hurry((ticket, execution), priority);
            }
            Order::Stop { ticket, execution, ending } => {
                self.engines.stop(self.clock.now, (ticket, execution), ending)
            }
            Order::Reject { ticket, retry_after }
                if self.part_ended(ticket, Err(Failed::Rejected { retry_after })) => {}
            Order::Abort { ticket } if self.part_ended(ticket, Err(Failed::Aborted)) => {}
            Order::Reject { ticket, retry_after } => {
                let retry_after_ms = retry_after.map(|time| time / 1000);
                self.clients.answer(self.clock.now, ticket, &Reply::Rejected { retry_after_ms });
            }
            Order::Abort { ticket } => self.clients.answer(self.clock.now, ticket, &Reply::Aborted),
            // Between the decision and now the work may have become another's: then the probe stays here.
            Order::Probe { for_fleet: true, .. } if !self.peers.as_ref().is_none_or(Peers::may_probe) => {}
            Order::Probe { place, .. } => self.engines.probe(self.clock.now, place),
        }
    }
}
