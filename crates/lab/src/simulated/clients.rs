//! The clients: statements at the agreed rate, each at one front and, if its workload allows it,
//! again at others.

use hallmux_dispatcher::{StatementRequest, Ticket};
use rand::Rng;

use super::shutdown::CLIENT_GRACE_US;
use super::simulation::{Event, Simulation};
use crate::check::{Outcome, Repeat, StatementRecord};
use crate::record::account::Offered;
use crate::rig::scenario::Step;

const CLIENT_RETRY_DELAY_US: std::ops::Range<i64> = 20_000..400_000; // microseconds until a client retries
const ARRIVAL_DELAY_US: std::ops::Range<i64> = 200..600; // microseconds after which the front has received a statement

/// The client of one statement, over all its retries.
#[derive(Clone, Debug)]
pub(super) struct Client {
    pub(super) number: u64,
    pub(super) class: usize,
    pub(super) key: Option<usize>,
    /// Fronts that the statement was sent to before.
    pub(super) previous_fronts: Vec<usize>,
}

impl Simulation<'_> {
    /// Submits the next statement of the load to a random front that accepts statements, and
    /// schedules the one after.
    pub(super) fn offer(&mut self) {
        let (load, classes) = (&self.scenario.load, &self.scenario.classes);
        let elapsed = self.now - self.load_began;
        if elapsed >= self.scenario.seconds as i64 * 1_000_000 {
            return;
        }
        self.schedule_event(
            self.now + 1_000_000 / load.per_second as i64,
            Event::StatementDue,
        );
        let class = self.scenario.draw_class(self.rng.random());
        let key = classes[class]
            .keys
            .checked_sub(1)
            .map(|most| self.rng.random_range(0..=most));
        self.statement_count += 1;
        let client = Client {
            number: self.statement_count,
            class,
            key,
            previous_fronts: Vec::new(),
        };
        self.submit_statement(client);
    }

    /// Submits a client's statement to a front that it has not used yet; without one, the client gives up.
    pub(super) fn submit_statement(&mut self, client: Client) {
        let (scenario, now) = (self.scenario, self.now);
        let class = &scenario.classes[client.class];
        let is_candidate = |n: &usize| {
            let member = &self.members[*n];
            let accepts = member
                .shutdown_asked_at
                .is_none_or(|asked| now < asked + CLIENT_GRACE_US);
            member.running.is_some()
                && !member.is_stalled
                && accepts
                && !client.previous_fronts.contains(n)
        };
        let candidates: Vec<usize> = (0..self.members.len()).filter(is_candidate).collect();
        // A front that is to die at a step of a ledger entry is preferred: among hundreds of fronts
        // it would wait long for a suitable statement.
        let armed = self.armed.as_ref().map(|armed| armed.death.front);
        let armed = armed.filter(|front| class.needs_ledger_entry() && candidates.contains(front));
        let drawn = candidates
            .get(self.rng.random_range(0..candidates.len().max(1)))
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
        let request = StatementRequest {
            workload: &class.name,
            customer: &class.customer,
            order_key: (!asked.key.is_empty()).then_some(&asked.key),
            dedup_key: (class.repeat() == Repeat::Deduplicated).then_some(&unique),
            time_left: timeout,
            work: class.work_ms.unwrap_or(scenario.load.work_ms) as f64 * 1000.0,
            memory_mb: scenario.load.memory_mb as f64,
            ..StatementRequest::default()
        };
        let (local_time, incarnation) = (self.local_time(front), self.members[front].incarnation);
        if let Some(running) = &mut self.members[front].running {
            if let Ok(ticket) = running.dispatcher.submit(local_time, &request) {
                self.statement_numbers
                    .insert((front, incarnation, ticket), self.account.asked.len());
            }
        }
        let is_retry = !client.previous_fronts.is_empty();
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
            previous_fronts: [client.previous_fronts, vec![front]].concat(),
            ..client
        });
        if class.needs_ledger_entry() && self.armed.is_some() {
            let at = now + self.rng.random_range(ARRIVAL_DELAY_US);
            self.schedule_event(at, Event::StepReached(Step::Taken, front));
        }
        self.run_front(front);
    }

    /// Records the final answer of a statement.
    pub(super) fn answer(&mut self, n: usize, ticket: Ticket, outcome: Outcome) {
        if let Some(number) = self
            .statement_numbers
            .get(&(n, self.members[n].incarnation, ticket))
            .copied()
        {
            self.complete_statement(number, outcome);
        }
    }

    /// Records the outcome of a statement; the client retries if its workload allows it.
    pub(super) fn complete_statement(&mut self, number: usize, outcome: Outcome) {
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
            .filter(|client| again && client.previous_fronts.len() <= class.asks_again);
        if let Some(client) = client.cloned() {
            let at = now + self.rng.random_range(CLIENT_RETRY_DELAY_US);
            self.schedule_event(at, Event::ClientRetries(client));
        }
    }
}
