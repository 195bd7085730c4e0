//! Statements that depend on promises: each is told of when it is taken and when it is over, their executions
//! may be held in this front before they leave, and what can't have its promise is turned away.

use hallmux::interface::{Effect, Event, Micros, Note, Outcome, Workload};

use crate::statements::Statement;
use crate::{Dispatcher, Ending, Place, StatementRequest, Ticket};

/// What happens to statements that depend on promises, in the order in which it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromiseEvent {
    /// Such a statement was taken.
    Arrived(StatementArrived),
    /// The transaction of such a statement keeps its order key, until it is freed.
    KeyKept(String),
    /// The transaction that kept an order key is over.
    KeyFreed {
        /// The order key.
        key: String,
        /// The transaction may still run: the key pauses.
        rests: bool,
    },
    /// Such a statement is over.
    Over(StatementOver),
}

/// A statement that depends on promises, as it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementArrived {
    /// The statement.
    pub ticket: Ticket,
    /// The name of its workload.
    pub workload: String,
    /// The name of its customer.
    pub customer: String,
    /// Its order key.
    pub key: Option<String>,
    /// The mark by which its repeats are known.
    pub dedup_key: Option<String>,
}

/// A statement that depends on promises is over with nothing out for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementOver {
    /// The statement.
    pub ticket: Ticket,
    /// It may have run.
    pub ran: bool,
    /// Some execution of it may be running on: its order key pauses.
    pub rests: bool,
}

impl StatementOver {
    pub(crate) fn of(ticket: Ticket, s: &Statement) -> StatementOver {
        let endings = || s.executions.iter().filter_map(|x| x.ending);
        let runs_on = |e: Ending| {
            matches!(
                e.outcome(),
                Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
            )
        };
        StatementOver {
            ticket,
            ran: endings().any(Ending::may_have_run),
            rests: endings().any(runs_on),
        }
    }
}

/// Where an engine is, by place in the settings: the same on every front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Site {
    /// The place of its location.
    pub location: usize,
    /// Its cell, a part of the location.
    pub cell: usize,
}

impl Dispatcher {
    /// From now on statements that depend on promises are told of, in `words`.
    pub fn watch_promises(&mut self) {
        self.watches_promises = true;
    }

    /// What has happened to statements that depend on promises since the last call.
    pub fn promise_events(&mut self) -> Vec<PromiseEvent> {
        std::mem::take(&mut self.promise_events)
    }

    /// The end of a statement is to be told by `followed`.
    pub fn watch_end(&mut self, ticket: Ticket) {
        self.statements
            .get_mut(&ticket)
            .into_iter()
            .for_each(|s| s.followed = true);
    }

    /// Statements that are followed and over with nothing out for them, since the last call.
    pub fn watched_ends(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.followed)
    }

    /// Tells of a statement that was taken, if it depends on promises: whether it does.
    pub(crate) fn announce_arrival(
        &mut self,
        ticket: Ticket,
        ask: &StatementRequest,
        workload: usize,
    ) -> bool {
        let depends =
            |w: &Workload| w.effect != Effect::Idempotent || w.in_order && ask.key.is_some();
        let promised = self.watches_promises && self.workloads.get(workload).is_some_and(depends);
        if promised {
            let text = |text: Option<&str>| text.map(str::to_string);
            self.promise_events
                .push(PromiseEvent::Arrived(StatementArrived {
                    ticket,
                    workload: ask.workload.to_string(),
                    customer: ask.customer.to_string(),
                    key: text(ask.key),
                    dedup_key: text(ask.dedup_key),
                }));
        }
        promised
    }

    /// Where an engine is; the default where there is no such engine.
    pub fn site(&self, place: Place) -> Site {
        let entry = self.engines.get(place).map(|e| &e.entry);
        entry
            .map(|e| Site {
                location: e.location,
                cell: e.cell,
            })
            .unwrap_or_default()
    }

    /// An execution that was ordered waits in this front; to be said again while it does, or it is taken for
    /// silent.
    pub fn execution_held(&mut self, now: Micros, ticket: Ticket, execution: usize) {
        self.holds(now, ticket, execution, true);
    }

    /// It leaves: from now on its engine has it.
    pub fn execution_sent(&mut self, now: Micros, ticket: Ticket, execution: usize) {
        self.holds(now, ticket, execution, false);
    }

    fn holds(&mut self, now: Micros, ticket: Ticket, execution: usize, held: bool) {
        let Some(s) = self.statements.get_mut(&ticket) else {
            return;
        };
        let Some(x) = s.executions.get_mut(execution).filter(|x| x.out) else {
            return;
        };
        let engine = &mut self.engines[x.place];
        engine.held -= usize::from(x.held);
        if !held && engine.out - engine.held == 1 {
            engine.stats.busy_since = now;
        }
        engine.held += usize::from(held);
        (x.held, x.sent) = (held, now);
        let note = Note::NotSentYet;
        self.events.push(Event::Noted {
            statement: ticket,
            execution,
            engine: x.place,
            note,
        });
    }

    /// Ends a statement that can't have its promise: nothing of it is out but what is held here. When its
    /// client may come back, where that is told: spread, so that those turned away together do not come back
    /// together.
    pub fn reject(&mut self, now: Micros, ticket: Ticket) -> Option<Micros> {
        let s = self.statements.get_mut(&ticket).filter(|s| !s.over)?;
        s.over = true;
        let out: Vec<usize> = s.out().collect();
        if out.is_empty() {
            self.events.push(Event::ClientLeft(ticket));
            self.forget(now, ticket);
        }
        for execution in out {
            self.report(now, ticket, execution, Ending::Withdrawn, None);
        }
        // The golden ratio's multiples lie evenly whatever the tickets are.
        let spread = (f64::from(ticket) * 0.618_033_988_749_895).fract();
        self.longest_retry_after
            .map(|most| (most as f64 * (0.5 + spread / 2.0)) as Micros)
    }
}

#[cfg(test)]
#[path = "promises_tests.rs"]
mod tests;
