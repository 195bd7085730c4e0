//! Exchanges versions, hit counts and shares of limits with the ledger.

use hallmux_ledger::LedgerAnswer;

use super::Access;
use crate::event::Event;
use crate::output::Output;
use crate::{ClockReading, Micros};

impl Access {
    /// Returns the time on the steady clock, in microseconds, at which [`Access::tick`] is next
    /// due; `Micros::MAX` if nothing is scheduled.
    pub fn due(&self, steady: Micros) -> Micros {
        self.versions
            .due()
            .min(self.hits.due())
            .min(self.shares.due(steady))
    }

    /// Does the work that is due: renews the lease, reads and changes the version of the rules,
    /// stores hit counts, and moves shares of limits. Must be called at [`Access::due`]; an earlier
    /// call does no harm.
    pub fn tick(&mut self, at: ClockReading) {
        self.versions.tick(at);
        self.shares
            .tick(at, &mut || self.versions.next_request_number());
        self.count_statements_with_shares();
        self.hits
            .tick(at, &mut || self.versions.next_request_number());
        self.revoke_barred(at);
    }

    /// Counts the hits of statements that now have their shares of all limits.
    fn count_statements_with_shares(&mut self) {
        for statement in std::mem::take(&mut self.shares.ready) {
            if let Some(open) = self.open_statements.get_mut(&statement) {
                self.hits
                    .count(statement, std::mem::take(&mut open.uncounted_hits));
            }
        }
    }

    /// Handles an answer of the ledger. Returns false if this `Access` did not make the request.
    pub fn on_ledger_answer(&mut self, at: ClockReading, answer: LedgerAnswer) -> bool {
        let LedgerAnswer { number, outcome } = answer;
        let versions = &mut self.versions;
        let was_requested = versions.on_ledger_answer(at, number, outcome.clone())
            || self
                .hits
                .on_ledger_answer(at, number, outcome.clone(), &mut || {
                    versions.next_request_number()
                })
            || self
                .shares
                .on_ledger_answer(at, number, outcome, &mut || versions.next_request_number());
        self.count_statements_with_shares();
        self.hits
            .tick(at, &mut || self.versions.next_request_number());
        self.revoke_barred(at);
        was_requested
    }

    /// Requests the fleet's hit counts; they are returned in [`Output::fleet_hits`] once complete.
    pub fn request_fleet_hits(&mut self, at: ClockReading) {
        self.hits.request_fleet_hits(at);
    }

    /// Returns the ledger requests to send and the events and results produced since the last call.
    /// Each item is returned once.
    pub fn take_output(&mut self) -> Output {
        let mut ledger_requests = std::mem::take(&mut self.versions.ledger_requests);
        ledger_requests.append(&mut self.hits.ledger_requests);
        ledger_requests.append(&mut self.shares.ledger_requests);
        let events = self.take_events();
        let fleet_hits_ready = std::mem::take(&mut self.hits.fleet_hits_ready);
        Output {
            ledger_requests,
            events,
            counted: std::mem::take(&mut self.hits.counted),
            over_limit: std::mem::take(&mut self.shares.rejected),
            revoked: std::mem::take(&mut self.revoked),
            fleet_hits: fleet_hits_ready.then(|| self.hits.fleet().clone()),
        }
    }

    /// Returns the events for the log since the last call.
    fn take_events(&mut self) -> Vec<Event> {
        let mut events = std::mem::take(&mut self.versions.events);
        if std::mem::take(&mut self.hits.ledger_full) {
            events.push(Event::LedgerFull { what: "hits" });
        }
        if self.hits.superseded && !std::mem::replace(&mut self.superseded_reported, true) {
            events.push(Event::Superseded);
        }
        let fault = self.shares.fault();
        if fault != self.shares_fault {
            events.extend(fault.clone());
            self.shares_fault = fault;
        }
        events
    }
}
