//! Orders of the dispatcher go to clients, engines and sessions; what those say goes back to it.

use std::rc::Rc;

use hallmux_codec::statement::{Call, Reply};
use hallmux_dispatcher::{Ending, Micros, Order, Ticket};
use hallmux_fleet::gate;
use hallmux_scatter::whole::Failed;

use super::Front;
use crate::engines;
use crate::fleet::rules::{Ordered, Ruling, Shared};
use crate::fleet::Peers;
use crate::postgres::portal::{Portal, Room};
use crate::scatter::Load;

impl Front {
    /// Passes on what engines have said.
    pub(super) fn heard(&mut self) {
        for told in std::mem::take(&mut self.engines.told) {
            match told {
                engines::Told::Ended { sent: (ticket, execution), ending, report, cost, result } => {
                    let of = self.judged_as(ticket);
                    self.rules.iter().for_each(|rules| rules.borrow_mut().ended(of, (ticket, execution)));
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

    /// What rules come to: what was held goes on, or statements end.
    pub(super) fn rule(&mut self) {
        let Some(rules) = self.rules.clone() else { return };
        let now = self.clock.now;
        self.dispatcher.followed().iter().for_each(|ticket| rules.borrow_mut().gone(*ticket));
        let rulings = rules.borrow_mut().turn(now, &mut self.dispatcher, self.peers.as_mut());
        for ruling in rulings {
            match ruling {
                Ruling::Go(ordered) => self.pass(ordered),
                Ruling::Deny(ticket) => {
                    self.refuse(ticket, true, None);
                    self.dispatcher.turn_away(now, ticket);
                }
                Ruling::End { ticket, ran: true, .. } => {
                    self.refuse(ticket, false, None);
                    self.left(ticket);
                }
                Ruling::End { ticket, ran: false, again } => {
                    let retry_after = self.dispatcher.turn_away(now, ticket).filter(|_| again);
                    self.refuse(ticket, true, retry_after);
                    self.left(ticket);
                }
            }
        }
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
                gate::Ruling::Go(gate::Ordered { ticket, execution, place, terms, .. }) => {
                    self.dispatcher.leaves(now, ticket, execution);
                    self.mark(Ordered { of: self.judged_as(ticket), ticket, execution, place, terms });
                }
                gate::Ruling::TurnAway(ticket) => {
                    let retry_after = self.dispatcher.turn_away(now, ticket);
                    self.obey(Order::Reject { ticket, retry_after });
                }
                gate::Ruling::Abort(ticket) => {
                    self.dispatcher.turn_away(now, ticket);
                    self.obey(Order::Abort { ticket });
                }
            }
        }
    }

    /// A statement's final answer without a result.
    fn refuse(&mut self, ticket: Ticket, rejects: bool, retry_after: Option<Micros>) {
        let now = self.clock.now;
        if self.owns(ticket) {
            self.portal.iter_mut().for_each(|portal| portal.refuse(now, ticket, rejects, retry_after));
        } else if rejects {
            let retry_after_ms = retry_after.map(|time| time / 1000);
            self.clients.answer(now, ticket, &Reply::Rejected { retry_after_ms });
        } else {
            self.clients.answer(now, ticket, &Reply::Aborted);
        }
    }

    /// An execution that rules have let go on waits for its promises, or leaves.
    fn pass(&mut self, ordered: Ordered) {
        let Ordered { ticket, execution, place, terms, .. } = ordered;
        let (now, sent) = (self.clock.now, (ticket, execution));
        let guard = self.guard.as_mut();
        if !guard.is_some_and(|guard| guard.holds(now, &mut self.dispatcher, (sent, place, terms))) {
            self.mark(ordered);
        }
    }

    /// An execution that has its promises waits for the mark on its load, or leaves.
    fn mark(&mut self, ordered: Ordered) {
        let Ordered { ticket, execution, place, terms, .. } = ordered;
        let now = self.clock.now;
        let load = self.load(ticket);
        let loads = self.scatter.as_mut().and_then(|scatter| scatter.loads.as_mut());
        let (dispatcher, held) = (&mut self.dispatcher, ((ticket, execution), place, terms));
        if !loads.zip(load).is_some_and(|(loads, load)| loads.holds(now, dispatcher, held, load)) {
            self.send(ordered);
        }
    }

    /// What a statement may write, where loads are marked.
    fn load(&mut self, ticket: Ticket) -> Option<Load> {
        self.scatter.as_ref()?.loads.as_ref()?;
        if self.owns(ticket) {
            return self.portal.as_mut()?.load(ticket);
        }
        self.call(ticket).map(Load::Call)
    }

    /// Whether rules still let it leave: nothing may come between this look and its way.
    pub(super) fn may_leave(&mut self, ordered: Ordered) -> bool {
        let (now, dispatcher) = (self.clock.now, &mut self.dispatcher);
        let may = |rules: &Shared| rules.borrow_mut().leaves(now, dispatcher, ordered);
        self.rules.as_ref().is_none_or(may)
    }

    /// An execution leaves for its engine.
    fn send(&mut self, ordered: Ordered) {
        if !self.may_leave(ordered) {
            return;
        }
        let Ordered { ticket, execution, place, terms, .. } = ordered;
        let (now, sent) = (self.clock.now, (ticket, execution));
        self.rooms.sent(place);
        if self.owns(ticket) {
            return self.portal.iter_mut().for_each(|portal| portal.send(now, sent, place, None));
        }
        match self.call(ticket) {
            Some(call) => self.engines.send(now, sent, place, call, terms),
            None => _ = self.dispatcher.report(now, ticket, execution, Ending::Withdrawn, None, None),
        }
    }

    /// An execution that is to be given up waits here: nothing of it has left.
    fn is_held(&mut self, now: Micros, ticket: Ticket, execution: usize) -> bool {
        let (of, sent) = (self.judged_as(ticket), (ticket, execution));
        self.rules.as_ref().is_some_and(|rules| rules.borrow_mut().stop(of, sent))
            || self.guard.as_mut().is_some_and(|guard| guard.stops(now, sent))
    }

    /// The statement that rules know: of a part the whole.
    pub(super) fn judged_as(&self, ticket: Ticket) -> Ticket {
        self.scatter.as_ref().and_then(|scatter| scatter.whole_of(ticket)).unwrap_or(ticket)
    }

    fn call(&self, ticket: Ticket) -> Option<Rc<Call>> {
        let part = || self.scatter.as_ref().and_then(|scatter| scatter.call(ticket));
        self.clients.call(ticket).or_else(part)
    }

    pub(super) fn obey(&mut self, order: Order) {
        let now = self.clock.now;
        match order {
            Order::Send { ticket, execution, place, terms } => {
                let ordered = Ordered { of: self.judged_as(ticket), ticket, execution, place, terms };
                let dispatcher = &mut self.dispatcher;
                let goes = |rules: &Shared| rules.borrow_mut().order(now, dispatcher, ordered);
                if self.rules.as_ref().is_none_or(goes) {
                    self.pass(ordered);
                }
            }
            Order::Stop { ticket, execution, ending } if self.is_held(now, ticket, execution) => {
                // Its session is to know why, though nothing of it has left.
                self.portal.iter_mut().for_each(|portal| portal.stop(now, (ticket, execution), ending));
                self.dispatcher.report(now, ticket, execution, Ending::Withdrawn, None, None);
            }
            Order::Stop { ticket, execution, ending }
                if self
                    .scatter
                    .as_mut()
                    .and_then(|scatter| scatter.loads.as_mut())
                    .is_some_and(|loads| loads.stops((ticket, execution))) =>
            {
                self.portal.iter_mut().for_each(|portal| portal.stop(now, (ticket, execution), ending));
                self.dispatcher.report(now, ticket, execution, Ending::Withdrawn, None, None);
            }
            Order::Stop { ticket, execution, ending } if self.is_out((ticket, execution)) => {
                self.portal.iter_mut().for_each(|portal| portal.stop(now, (ticket, execution), ending));
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
            Order::Reject { ticket, retry_after } => self.refuse(ticket, true, retry_after),
            Order::Abort { ticket } => self.refuse(ticket, false, None),
            // Between the decision and now the work may have become another's: then the probe stays here.
            Order::Probe { for_fleet: true, .. } if !self.peers.as_ref().is_none_or(Peers::may_probe) => {}
            Order::Pace { connections } => self.engines.dials.borrow_mut().pace(now, connections),
            Order::Probe { place, .. } => self.engines.probe(self.clock.now, place),
        }
    }
}
