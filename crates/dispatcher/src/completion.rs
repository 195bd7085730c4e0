//! The end of executions and statements; what nobody needs any more is let go.

use hallmux::interface::{Ended, Event, Micros, Note, Report};

use crate::promises::{PromiseEvent, StatementOver};
use crate::{Dispatcher, Ending, Ticket};

impl Dispatcher {
    /// Says how an execution ended, with the engine's load report and the statement's cost where the answer
    /// carried them. True if this ends its statement: its answer now goes to the client.
    pub fn report(
        &mut self,
        now: Micros,
        ticket: Ticket,
        execution: usize,
        ending: Ending,
        report: Option<Report>,
    ) -> bool {
        let Some(s) = self.statements.get_mut(&ticket) else {
            return false;
        };
        let Some(x) = s.executions.get_mut(execution).filter(|x| x.out) else {
            return false;
        };
        (x.out, x.ending) = (false, Some(ending));
        let engine = &mut self.engines[x.place];
        engine.out -= 1;
        engine.held -= usize::from(std::mem::take(&mut x.held));
        engine.stats.record_ending(now, ending);
        let answers = (ending == Ending::Answered || s.begun) && !s.over;
        s.over |= answers;
        let took = now - x.sent;
        let holds = answers && s.keeps && ending == Ending::Answered;
        if let Some(key) = s
            .key
            .as_ref()
            .filter(|_| holds)
            .and_then(|name| self.keys.get_mut(name))
        {
            key.statements += 1;
        }
        if let Some(key) = s.key.as_ref().filter(|_| holds && s.promised) {
            self.promise_events.push(PromiseEvent::KeyKept(key.clone()));
        }
        self.events.push(Event::Ended(Ended {
            statement: ticket,
            execution,
            engine: x.place,
            outcome: ending.outcome(),
            took,
            settled: s.over,
            keeps_order_key: holds,
            report,
        }));
        if answers {
            self.count_answer(now, ticket, took);
        }
        self.forget(now, ticket);
        answers
    }

    /// Something is learned of an execution that is still out.
    pub fn note(&mut self, ticket: Ticket, execution: usize, note: Note) {
        let Some(s) = self.statements.get(&ticket) else {
            return;
        };
        let Some(x) = s.executions.get(execution).filter(|x| x.out) else {
            return;
        };
        self.events.push(Event::Noted {
            statement: ticket,
            execution,
            engine: x.place,
            note,
        });
    }

    /// The client no longer waits.
    pub fn client_left(&mut self, now: Micros, ticket: Ticket) {
        let Some(s) = self.statements.get_mut(&ticket).filter(|s| !s.over) else {
            return;
        };
        s.over = true;
        // What was withdrawn before it was decided on counts for nothing: the module never hears of it.
        let unheard = |e: &Event| matches!(e, Event::Arrived(a) if a.statement == ticket);
        match self.events.iter().position(unheard) {
            Some(at) => _ = self.events.remove(at),
            None => self.events.push(Event::ClientLeft(ticket)),
        }
        self.forget(now, ticket);
    }

    /// A transaction that kept an order key is over; the key rests where the transaction may still run.
    pub fn release_order_key(&mut self, now: Micros, name: &str, rests: bool) {
        let Some(key) = self.keys.get_mut(name) else {
            return;
        };
        self.events.push(Event::OrderKeyFreed {
            key: key.id,
            pauses: rests,
        });
        if self.watches_promises {
            self.promise_events.push(PromiseEvent::KeyFreed {
                key: name.to_string(),
                rests,
            });
        }
        key.statements -= 1;
        if key.statements == 0 {
            self.resting
                .insert((now + self.order_gap, name.to_string()));
        }
    }

    pub(crate) fn over(&mut self, now: Micros, ticket: Ticket) {
        if let Some(s) = self.statements.get_mut(&ticket) {
            s.over = true;
        }
        self.forget(now, ticket);
    }

    /// Lets go of a statement that is over with nothing out; its key rests as long as was agreed.
    pub(crate) fn forget(&mut self, now: Micros, ticket: Ticket) {
        let Some(s) = self.statements.get(&ticket) else {
            return;
        };
        if !s.over || s.out().next().is_some() {
            return;
        }
        self.ends.remove(&(s.terms.ends, ticket));
        let Some(s) = self.statements.remove(&ticket) else {
            return;
        };
        if s.promised {
            self.promise_events
                .push(PromiseEvent::Over(StatementOver::of(ticket, &s)));
        }
        self.followed.extend(s.followed.then_some(ticket));
        let Some((name, key)) = s
            .key
            .and_then(|name| self.keys.get_mut(&name).map(|key| (name, key)))
        else {
            return;
        };
        key.statements -= 1;
        if key.statements == 0 {
            self.resting.insert((now + self.order_gap, name));
        }
    }

    /// Frees the keys that have rested. The module has been told of their last ending by then.
    pub(crate) fn rest(&mut self, now: Micros) {
        while let Some((at, name)) = self.resting.pop_first() {
            if at >= now {
                self.resting.insert((at, name));
                return;
            }
            if self.keys.get(&name).is_some_and(|key| key.statements == 0) {
                self.free_keys
                    .extend(self.keys.remove(&name).map(|key| key.id));
            }
        }
    }
}

#[cfg(test)]
#[path = "completion_tests.rs"]
mod tests;
