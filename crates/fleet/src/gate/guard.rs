//! The gate between a front's dispatcher and its ledger: executions are held in it, and words go to and fro until
//! nothing is new.

use std::collections::BTreeMap;

use hallmux_agreement::Contract;
use hallmux_dispatcher::{Dispatcher, Micros, Place, Terms, Ticket};
use hallmux_ledger::{Ask, Done};

use super::{Gate, Ordered, Ruling, NUMBERS};

const NOTED: Micros = 100_000; // microseconds between words to the dispatcher that an execution is still held

/// The front's way to its ledger.
pub trait Asks {
    fn ask(&mut self, now: Micros, ask: Ask);
    /// What it has answered to asks whose numbers have this highest byte.
    fn promised(&mut self, part: u64) -> Vec<Done>;
}

pub struct Guard {
    gate: Gate,
    noted: Micros,
}

impl Guard {
    /// Where there is a ledger; `now` is the Unix clock: this life's name.
    pub fn new(contract: &Contract, now: Micros, shards: u16, dispatcher: &mut Dispatcher) -> Guard {
        dispatcher.watch_promises();
        Guard { gate: Gate::new(contract, (now / 1000) as u64, shards), noted: 0 }
    }

    /// When something is due though nothing happens.
    pub fn due(&self) -> Micros {
        let noted = if self.gate.held().next().is_some() { self.noted + NOTED } else { Micros::MAX };
        self.gate.due().min(noted)
    }

    /// Nothing is asked that has no answer yet.
    pub fn is_idle(&self) -> bool {
        self.gate.is_idle()
    }

    /// Statements that were turned away, by why.
    pub fn refused(&self) -> &BTreeMap<&'static str, u64> {
        &self.gate.refused
    }

    /// An execution is ordered. True if it is held for now.
    pub fn holds(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        ((ticket, execution), place, terms): ((Ticket, usize), Place, Terms),
    ) -> bool {
        if !self.gate.guards(ticket) {
            return false;
        }
        let site = dispatcher.site(place);
        dispatcher.waits(now, ticket, execution);
        self.gate.order(now, Ordered { ticket, execution, place, terms, site });
        true
    }

    pub fn hurry(&mut self, ticket: Ticket, priority: u8) {
        self.gate.hurry(ticket, priority);
    }

    /// Gives an execution up. True if it was held.
    pub fn stops(&mut self, now: Micros, (ticket, execution): (Ticket, usize)) -> bool {
        self.gate.stop(now, ticket, execution)
    }

    /// Passes on what statements have come to and what the ledger says; what becomes of what was held. `id` names a
    /// statement wherever it is tried.
    pub fn turn(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        ledger: &mut impl Asks,
        id: impl Fn(Ticket) -> Option<String>,
    ) -> Vec<Ruling> {
        for word in dispatcher.promise_events() {
            self.gate.hear(now, word, &id);
        }
        self.gate.tick(now);
        loop {
            let (done, asks) = (ledger.promised(NUMBERS), self.gate.asks());
            if done.is_empty() && asks.is_empty() {
                break;
            }
            done.into_iter().for_each(|done| self.gate.done(now, done));
            asks.into_iter().for_each(|ask| ledger.ask(now, ask));
        }
        if self.noted + NOTED <= now {
            self.noted = now;
            self.gate.held().for_each(|(ticket, execution)| dispatcher.waits(now, ticket, execution));
        }
        self.gate.rulings()
    }
}
