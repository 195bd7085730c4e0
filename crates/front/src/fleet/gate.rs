//! Executions that depend on promises wait here until the ledger's word lets them go.

use std::collections::BTreeMap;

use hallmux_agreement::Contract;
use hallmux_dispatcher::{Dispatcher, Micros, Terms, Ticket};
use hallmux_fleet::gate::{Gate, Ordered, Ruling, NUMBERS};

use super::Peers;
use crate::engines::Sent;

const NOTED: Micros = 100_000; // microseconds between words to the dispatcher that an execution is still held
const SAID: Micros = 10_000_000; // microseconds between lines of the log on what was turned away

pub struct Guard {
    gate: Gate,
    noted: Micros,
    said: Micros,
    refused: BTreeMap<&'static str, u64>,
}

impl Guard {
    /// Where there is a ledger; `now` is the Unix clock: this life's name.
    pub fn new(contract: &Contract, now: Micros, shards: u16, dispatcher: &mut Dispatcher) -> Guard {
        dispatcher.watch();
        let gate = Gate::new(contract, (now / 1000) as u64, shards);
        Guard { gate, noted: 0, said: 0, refused: BTreeMap::new() }
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

    /// An execution is ordered. True if it is held for now.
    pub fn holds(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        (sent, place, terms): (Sent, usize, Terms),
    ) -> bool {
        let (ticket, execution) = sent;
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
    pub fn stops(&mut self, now: Micros, (ticket, execution): Sent) -> bool {
        self.gate.stop(now, ticket, execution)
    }

    /// Passes on what statements have come to and what the ledger says; what becomes of what was held. `id` names a
    /// statement wherever it is tried.
    pub fn turn(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        peers: &mut Peers,
        id: impl Fn(Ticket) -> Option<String>,
    ) -> Vec<Ruling> {
        for word in dispatcher.words() {
            self.gate.hear(now, word, &id);
        }
        self.gate.tick(now);
        loop {
            let (done, asks) = (peers.promised(NUMBERS), self.gate.asks());
            if done.is_empty() && asks.is_empty() {
                break;
            }
            done.into_iter().for_each(|done| self.gate.done(now, done));
            asks.into_iter().for_each(|ask| peers.ask(now, ask));
        }
        if self.noted + NOTED <= now {
            self.noted = now;
            self.gate.held().for_each(|(ticket, execution)| dispatcher.waits(now, ticket, execution));
        }
        if self.gate.refused != self.refused && self.said + SAID <= now {
            (self.said, self.refused) = (now, self.gate.refused.clone());
            log::warn!("statements ended for want of a promise so far: {:?}", self.refused);
        }
        self.gate.rulings()
    }
}
