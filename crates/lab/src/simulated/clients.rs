//! Whoever asks: statements at the agreed rate, at one front and then at others where that may be.

use hallmux_dispatcher::{StatementRequest, Ticket};
use rand::Rng;

use super::shutdown::STILL_COME;
use super::simulation::{Event, Simulation};
use crate::check::{Outcome, Repeat, StatementRecord};
use crate::record::account::Offered;
use crate::rig::scenario::Step;

const AGAIN: std::ops::Range<i64> = 20_000..400_000; // microseconds until a client asks again
const TAKEN: std::ops::Range<i64> = 200..600; // microseconds after it was asked that a front has a statement

/// One statement, wherever it is asked for.
#[derive(Clone, Debug)]
pub(super) struct Client {
    pub(super) number: u64,
    pub(super) class: usize,
    pub(super) key: Option<usize>,
    /// Fronts that it was asked of before.
    pub(super) before: Vec<usize>,
}

impl Simulation<'_> {
    /// A statement comes to a front drawn among those that take statements.
    pub(super) fn offer(&mut self) {
        let (load, classes) = (&self.scenario.load, &self.scenario.classes);
        let elapsed = self.now - self.began;
        if elapsed >= self.scenario.seconds as i64 * 1_000_000 {
            return;
        }
        self.at(
            self.now + 1_000_000 / load.per_second as i64,
            Event::Offered,
        );
        let class = self.scenario.draw_class(self.chance.random());
        let key = classes[class]
            .keys
            .checked_sub(1)
            .map(|most| self.chance.random_range(0..=most));
        self.statements += 1;
        let client = Client {
            number: self.statements,
            class,
            key,
            before: Vec::new(),
        };
        self.asks(client);
    }

    pub(super) fn asks(&mut self, client: Client) {
        let (scenario, now) = (self.scenario, self.now);
        let class = &scenario.classes[client.class];
        let here = |n: &usize| {
            let member = &self.members[*n];
            let takes = member.ending.is_none_or(|asked| now < asked + STILL_COME);
            member.life.is_some() && !member.stopped && takes && !client.before.contains(n)
        };
        let here: Vec<usize> = (0..self.members.len()).filter(here).collect();
        // A front that is to die at a step of a promise is given one: among hundreds it would wait for long.
        let armed = self.armed.as_ref().map(|armed| armed.death.front);
        let armed = armed.filter(|front| class.needs_promise() && here.contains(front));
        let drawn = here
            .get(self.chance.random_range(0..here.len().max(1)))
            .copied();
        let Some(front) = armed.or(drawn) else { return };
        let timeout_ms = class.timeout_ms.unwrap_or(scenario.load.timeout_ms);
        let (id, timeout) = (format!("s{}", client.number), timeout_ms as i64 * 1000);
        let mut asked = StatementRecord::new(id, now, timeout, class.repeat());
        asked.rows = 1;
        asked.key = client
            .key
            .map(|key| format!("{}-{key}", class.name))
            .unwrap_or_default();
        (asked.outcome, asked.answered) = (Outcome::Nothing, i64::MAX);
        let unique = format!("u{}", client.number);
        let ask = StatementRequest {
            workload: &class.name,
            customer: &class.customer,
            order_key: (!asked.key.is_empty()).then_some(&asked.key),
            dedup_key: (class.repeat() == Repeat::Deduplicated).then_some(&unique),
            time_left: timeout,
            work: class.work_ms.unwrap_or(scenario.load.work_ms) as f64 * 1000.0,
            memory_mb: scenario.load.memory_mb as f64,
            ..StatementRequest::default()
        };
        let (own, lives) = (self.own(front), self.members[front].lives);
        if let Some(life) = &mut self.members[front].life {
            if let Ok(ticket) = life.dispatcher.submit(own, &ask) {
                self.named
                    .insert((front, lives, ticket), self.account.asked.len());
            }
        }
        let is_retry = !client.before.is_empty();
        let place = client.class;
        self.account.asked.push(Offered {
            front,
            class: place,
            asked,
            barred: false,
            is_retry,
            starved: 0,
        });
        self.clients.push(Client {
            before: [client.before, vec![front]].concat(),
            ..client
        });
        if class.needs_promise() && self.armed.is_some() {
            let at = now + self.chance.random_range(TAKEN);
            self.at(at, Event::Reached(Step::Taken, front));
        }
        self.turn(front);
    }

    /// A statement has its final answer.
    pub(super) fn answer(&mut self, n: usize, ticket: Ticket, outcome: Outcome) {
        if let Some(number) = self.named.get(&(n, self.members[n].lives, ticket)).copied() {
            self.settle(number, outcome);
        }
    }

    /// What a client has come to; it asks again as its workload allows.
    pub(super) fn settle(&mut self, number: usize, outcome: Outcome) {
        let now = self.now;
        let Some(Offered { asked, class, .. }) = self.account.asked.get_mut(number) else {
            return;
        };
        if asked.answered != i64::MAX {
            asked.outcome = Outcome::Spoilt; // a second final answer
            return;
        }
        (asked.outcome, asked.answered) = (outcome, now);
        let class = &self.scenario.classes[*class];
        let again = match &asked.outcome {
            Outcome::Error(code) if code == "53000" => true,
            Outcome::Error(_) | Outcome::Lost => asked.repeat != Repeat::NonIdempotent,
            _ => false,
        };
        let client = self
            .clients
            .get(number)
            .filter(|client| again && client.before.len() <= class.asks_again);
        if let Some(client) = client.cloned() {
            let at = now + self.chance.random_range(AGAIN);
            self.at(at, Event::Again(client));
        }
    }
}
