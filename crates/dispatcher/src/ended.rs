//! Executions and statements end; what nobody needs any more is let go.

use hallmux::interface::{Cost, Ended, Event, Micros, Note, Report};

use crate::promised::{Gone, Word};
use crate::seen::SILENT;
use crate::{Dispatcher, Ending, Ticket};

impl Dispatcher {
    /// Says how an execution ended. True if this ends its statement: its answer now goes to the client.
    pub fn report(
        &mut self,
        now: Micros,
        ticket: Ticket,
        execution: usize,
        ending: Ending,
        report: Option<Report>,
        cost: Option<Cost>,
    ) -> bool {
        let Some(s) = self.statements.get_mut(&ticket) else { return false };
        let Some(x) = s.executions.get_mut(execution).filter(|x| x.out) else { return false };
        (x.out, x.ending) = (false, Some(ending));
        let engine = &mut self.engines[x.place];
        engine.out -= 1;
        engine.held -= usize::from(std::mem::take(&mut x.held));
        engine.seen.fade(now);
        match ending {
            Ending::Answered => engine.seen.answers(now),
            Ending::EngineFailed | Ending::Refused | Ending::NeverUp => engine.seen.failed += 1.0,
            Ending::Reset | Ending::Closed | Ending::Unreadable => engine.seen.failed += 1.0,
            Ending::GivenUp | Ending::TimeUp => {
                let silent = now - engine.seen.heard.max(engine.seen.busy);
                engine.seen.hushed = Some((now, silent)).filter(|_| silent >= SILENT).or(engine.seen.hushed);
            }
            _ => {}
        }
        if matches!(ending, Ending::EngineFailed | Ending::TurnedAway) {
            engine.seen.heard = now;
        }
        let answers = (ending == Ending::Answered || s.begun) && !s.over;
        s.over |= answers;
        let took = now - x.sent;
        let holds = answers && s.keeps && ending == Ending::Answered;
        if let Some(key) = s.key.as_ref().filter(|_| holds).and_then(|name| self.keys.get_mut(name)) {
            key.statements += 1;
        }
        if let Some(key) = s.key.as_ref().filter(|_| holds && s.promised) {
            self.words.push(Word::Keeps(key.clone()));
        }
        self.told.push(Event::Ended(Ended {
            statement: ticket,
            execution,
            engine: x.place,
            outcome: ending.outcome(),
            took,
            settled: s.over,
            holds,
            cost,
            report,
        }));
        if answers {
            self.answered(now, ticket, took);
        }
        self.forget(now, ticket);
        answers
    }

    /// Word on an execution that is still out.
    pub fn note(&mut self, ticket: Ticket, execution: usize, note: Note) {
        let Some(s) = self.statements.get(&ticket) else { return };
        let Some(x) = s.executions.get(execution).filter(|x| x.out) else { return };
        self.told.push(Event::Noted { statement: ticket, execution, engine: x.place, note });
    }

    /// The client no longer waits.
    pub fn left(&mut self, now: Micros, ticket: Ticket) {
        let Some(s) = self.statements.get_mut(&ticket).filter(|s| !s.over) else { return };
        s.over = true;
        // What was withdrawn before it was decided on counts for nothing: the module never hears of it.
        let unheard = |e: &Event| matches!(e, Event::Arrived(a) if a.statement == ticket);
        match self.told.iter().position(unheard) {
            Some(at) => _ = self.told.remove(at),
            None => self.told.push(Event::Left(ticket)),
        }
        self.forget(now, ticket);
    }

    /// A transaction that kept an order key is over; the key rests where the transaction may still run.
    pub fn freed(&mut self, now: Micros, name: &str, rests: bool) {
        let Some(key) = self.keys.get_mut(name) else { return };
        self.told.push(Event::Freed { key: key.id, rests });
        if self.watches {
            self.words.push(Word::Freed { key: name.to_string(), rests });
        }
        key.statements -= 1;
        if key.statements == 0 {
            self.resting.insert((now + self.turn_gap, name.to_string()));
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
        let Some(s) = self.statements.get(&ticket) else { return };
        if !s.over || s.out().next().is_some() {
            return;
        }
        self.ends.remove(&(s.terms.ends, ticket));
        let Some(s) = self.statements.remove(&ticket) else { return };
        if s.promised {
            self.words.push(Word::Gone(Gone::of(ticket, &s)));
        }
        self.followed.extend(s.followed.then_some(ticket));
        let Some((name, key)) = s.key.and_then(|name| self.keys.get_mut(&name).map(|key| (name, key))) else {
            return;
        };
        key.statements -= 1;
        if key.statements == 0 {
            self.resting.insert((now + self.turn_gap, name));
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
                self.free_keys.extend(self.keys.remove(&name).map(|key| key.id));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::played::*;
    use crate::*;

    #[test]
    fn only_endings_that_prove_it_let_a_non_idempotent_statement_go_again() {
        for (ending, again) in [
            (Ending::TurnedAway, true),
            (Ending::Stale, true),
            (Ending::Refused, true),
            (Ending::NeverUp, true),
            (Ending::NoMeans, true),
            (Ending::Withdrawn, true),
            (Ending::HalfWritten, true),
            (Ending::BrokenNew, true),
            (Ending::EngineFailed, false),
            (Ending::PageLost, false),
            (Ending::Reset, false),
            (Ending::Closed, false),
            (Ending::Unreadable, false),
            (Ending::GivenUp, false),
        ] {
            let mut d = dispatcher();
            d.list(true, &[listing("a", Mode::Ready, None), listing("b", Mode::Ready, None)]);
            let ticket = d.pick(1_000_000, &ask("pay", None)).unwrap();
            assert_eq!(sent(&d.tick(1_000_000)), [(ticket, 0)]);
            assert!(!d.report(1_010_000, ticket, 0, ending, None, None));
            let mut next = d.tick(1_010_000);
            // An engine that could not be reached rests for a while.
            next.extend(d.tick(2_200_000));
            assert_eq!(sent(&next) == [(ticket, 1)], again, "{ending:?}: {next:?}");
            assert_eq!(next.contains(&Order::Abort { ticket }), !again, "{ending:?}: {next:?}");
        }
    }

    #[test]
    fn what_ends_for_want_of_descriptors_or_by_a_new_connection_is_not_held_against_the_engine() {
        for (ending, goes_on) in
            [(Ending::NoMeans, true), (Ending::BrokenNew, true), (Ending::Refused, false)]
        {
            let mut d = dispatcher();
            d.list(true, &[listing("a", Mode::Ready, None)]);
            let ticket = d.pick(0, &ask("lookup", None)).unwrap();
            d.tick(0);
            assert!(!d.report(1_000, ticket, 0, ending, None, None));
            assert_eq!(sent(&d.tick(1_000)), if goes_on { vec![(ticket, 1)] } else { vec![] }, "{ending:?}");
        }
    }

    #[test]
    fn the_first_answer_counts_and_nothing_follows_it() {
        let mut d = dispatcher();
        d.list(true, &[listing("a", Mode::Ready, None)]);
        let ticket = d.pick(0, &ask("lookup", None)).unwrap();
        d.tick(0);
        assert!(d.report(5_000, ticket, 0, Ending::Answered, None, None));
        assert!(!d.report(5_000, ticket, 0, Ending::Answered, None, None));
        assert_eq!((d.tick(5_000), d.held()), (vec![], 0));
        let other = d.pick(6_000, &ask("lookup", None)).unwrap();
        d.tick(6_000);
        d.left(7_000, other);
        let stop = Order::Stop { ticket: other, execution: 0, ending: Ending::GivenUp };
        assert_eq!(d.tick(7_000), [stop]);
        assert!(!d.report(7_000, other, 0, Ending::Answered, None, None));
        assert_eq!((d.tick(7_000), d.held()), (vec![], 0));
    }

    #[test]
    fn nothing_is_kept_of_statements_keys_and_engines_that_are_over() {
        let mut d = dispatcher();
        let mut now = 0;
        for i in 0..3_000 {
            now += 100_000;
            let (id, key) = (format!("e{i}"), format!("k{i}"));
            d.list(false, &[listing(&id, Mode::Ready, Some(now - 60_000_000))]);
            let ticket = d.pick(now, &ask("load", Some(&key))).unwrap();
            assert_eq!(sent(&d.tick(now)), [(ticket, 0)]);
            d.report(now + 10_000, ticket, 0, Ending::Answered, None, None);
            d.list(false, &[listing(&id, Mode::Gone, Some(now - 60_000_000))]);
            d.tick(now + 10_000);
        }
        let kept =
            (d.held(), d.ends.len(), d.keys.len(), d.free_keys.len(), d.resting.len(), d.engines.len());
        assert!(kept.0 == 0 && kept.1 == 0 && kept.2 <= 2 && kept.3 <= 2 && kept.4 <= 2, "{kept:?}");
        assert_eq!(kept.5, 1);
    }

    #[test]
    fn a_key_keeps_its_rest_when_its_statements_are_over() {
        let mut d = dispatcher();
        d.list(true, &[listing("a", Mode::Ready, None)]);
        let first = d.pick(0, &ask("load", Some("k"))).unwrap();
        d.tick(0);
        d.left(1_000, first);
        d.tick(1_000);
        d.report(1_000, first, 0, Ending::GivenUp, None, None);
        d.tick(1_000);
        let second = d.pick(2_000, &ask("load", Some("k"))).unwrap();
        assert_eq!(sent(&d.tick(2_000)), []);
        assert_eq!(sent(&d.tick(50_000)), []);
        let at = d.wake();
        assert_eq!(sent(&d.tick(at)), [(second, 0)]);
    }
}
