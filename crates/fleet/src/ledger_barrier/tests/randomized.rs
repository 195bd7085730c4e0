//! Randomized event orders: late, lost and reordered answers, fronts that restart, and clients that cancel.

use std::collections::VecDeque;

use proptest::prelude::*;

use super::*;

const FRONTS: usize = 3;
const ORDER_GAP: Micros = 50 * MS;
const DEDUP_WINDOW: Micros = 9_000 * MS;
const ORDER_KEYS: [&str; 2] = ["k", "l"];
const STATEMENT_NAMES: [&str; 2] = ["d", "e"];

#[derive(Clone, Debug)]
enum Event {
    StatementArrives {
        front: usize,
        kind_index: usize,
        key: usize,
        name: usize,
        location: usize,
    },
    /// The ledger processes a request: 0 normally, 1 with its answer lost, 2 not at all, as the request is lost.
    RequestProcessed {
        which: usize,
        lost: u8,
    },
    AnswerArrives {
        which: usize,
    },
    /// A running execution ends: 0 answered, 1 provably without effect, 2 cancelled.
    ExecutionEnds {
        which: usize,
        ending: u8,
    },
    CancelsStatement {
        front: usize,
    },
    Restarts {
        front: usize,
    },
    TimePasses {
        ms: i64,
    },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let n = 0..64usize;
    let event = prop_oneof![
        4 => (0..FRONTS, 0..4usize, 0..2usize, 0..2usize, 0..2usize)
            .prop_map(|(front, kind_index, key, name, location)| Event::StatementArrives { front, kind_index, key, name, location }),
        6 => (n.clone(), prop_oneof![8 => Just(0u8), 1 => Just(1), 1 => Just(2)])
            .prop_map(|(which, lost)| Event::RequestProcessed { which, lost }),
        6 => n.clone().prop_map(|which| Event::AnswerArrives { which }),
        4 => (n, 0..3u8).prop_map(|(which, ending)| Event::ExecutionEnds { which, ending }),
        1 => (0..FRONTS).prop_map(|front| Event::CancelsStatement { front }),
        1 => (0..FRONTS).prop_map(|front| Event::Restarts { front }),
        3 => (1..400i64).prop_map(|ms| Event::TimePasses { ms }),
    ];
    proptest::collection::vec(event, 1..160)
}

/// A released execution, which may run until the order gap after its client's deadline has passed.
struct RunningExecution {
    front: usize,
    incarnation: u64,
    ticket: Ticket,
    statement: Statement,
    location: usize,
    ends: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Statement {
    workload: &'static str,
    key: Option<&'static str>,
    name: &'static str,
}

#[derive(Default)]
struct Simulation {
    now: Micros,
    fake_ledger: FakeLedger,
    barriers: Vec<(LedgerBarrier, u64)>,
    /// For each front: the statements that its dispatcher queues until their order key is free.
    queues: Vec<VecDeque<(Ticket, Statement, usize)>>,
    statements: BTreeMap<(usize, Ticket), (Statement, Micros)>,
    requests: Vec<(usize, u64, ledger::LedgerRequest)>,
    answers: Vec<(usize, u64, LedgerAnswer)>,
    running: Vec<RunningExecution>,
    /// Non-idempotent statements that may have run, with their start times.
    ran: Vec<(&'static str, Micros)>,
    /// Executions sent under dedup keys, with their times and locations.
    sent: Vec<(&'static str, Micros, usize)>,
    next: Ticket,
    released: usize,
}

impl Simulation {
    fn new() -> Simulation {
        let barriers = (0..FRONTS as u64)
            .map(|front| (ready_barrier(front), 1))
            .collect();
        Simulation {
            barriers,
            queues: vec![VecDeque::new(); FRONTS],
            next: 1,
            ..Simulation::default()
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::StatementArrives {
                front,
                kind_index,
                key,
                name,
                location,
            } => {
                let (workload, key) = match kind_index {
                    0 => ("lookup", Some(ORDER_KEYS[key])),
                    1 => ("load", Some(ORDER_KEYS[key])),
                    2 => ("load", None),
                    _ => ("pay", None),
                };
                let statement = Statement {
                    workload,
                    key,
                    name: STATEMENT_NAMES[name],
                };
                self.queues[front].push_back((self.next, statement, location));
                self.next += 1;
            }
            Event::RequestProcessed { which, lost } if !self.requests.is_empty() => {
                let (front, incarnation, request) =
                    self.requests.remove(which % self.requests.len());
                let owner = Owner {
                    front: front as u64,
                    incarnation,
                };
                let mut outcome = Outcome::Unreachable;
                if lost < 2 {
                    let processed = self.fake_ledger.apply(self.now, owner, &request);
                    outcome = if lost == 0 { processed } else { outcome };
                }
                self.answers.push((
                    front,
                    incarnation,
                    LedgerAnswer {
                        number: request.number,
                        outcome,
                    },
                ));
            }
            Event::AnswerArrives { which } if !self.answers.is_empty() => {
                let (front, incarnation, done) = self.answers.remove(which % self.answers.len());
                if self.barriers[front].1 == incarnation {
                    self.barriers[front].0.handle_answer(self.now, done);
                }
            }
            Event::ExecutionEnds { which, ending } => {
                let all: Vec<usize> = (0..self.running.len())
                    .filter(|n| self.is_current(*n))
                    .collect();
                if let Some(n) = all.get(which % all.len().max(1)) {
                    self.end_execution(*n, ending);
                }
            }
            Event::CancelsStatement { front } => {
                let held = self.barriers[front].0.held().map(|held| held.ticket).min();
                if let Some(ticket) = held {
                    self.cancel_statement(front, ticket);
                }
            }
            Event::Restarts { front } => {
                let incarnation = self.barriers[front].1 + 1;
                // Every other incarnation starts before its shards have answered.
                let create = if incarnation.is_multiple_of(2) {
                    new_barrier
                } else {
                    ready_barrier
                };
                self.barriers[front] = (create(incarnation * 10 + front as u64), incarnation);
                self.queues[front].clear();
                self.statements.retain(|(f, _), _| *f != front);
            }
            Event::TimePasses { ms } => self.now += ms * MS,
            Event::RequestProcessed { .. } | Event::AnswerArrives { .. } => {}
        }
        self.advance();
    }

    fn is_current(&self, n: usize) -> bool {
        self.barriers[self.running[n].front].1 == self.running[n].incarnation
    }

    fn end_execution(&mut self, n: usize, ending: u8) {
        let run = self.running.remove(n);
        if ending == 1 {
            self.ran
                .retain(|(name, _)| run.statement.workload != "pay" || *name != run.statement.name);
            // An execution without effect is removed from the record of executions that may have run.
            let at = self.sent.iter().rposition(|(name, ..)| {
                run.statement.workload == "load" && *name == run.statement.name
            });
            at.into_iter().for_each(|at| _ = self.sent.remove(at));
        }
        self.statements.remove(&(run.front, run.ticket));
        let now = self.now;
        if ending == 2 {
            // A cancelled execution may keep running for a while.
            self.running.push(RunningExecution {
                incarnation: 0,
                ends: (now + ORDER_GAP).min(run.ends),
                ..run
            });
        }
        self.barriers[run.front]
            .0
            .end_statement(now, statement_over(run.ticket, ending != 1, ending == 2));
    }

    fn cancel_statement(&mut self, front: usize, ticket: Ticket) {
        self.statements.remove(&(front, ticket));
        self.barriers[front].0.cancel(self.now, ticket, 0);
        self.barriers[front]
            .0
            .end_statement(self.now, statement_over(ticket, false, false));
    }

    /// Ends statements and executions that have reached their deadline, then does all due work of the fronts.
    fn advance(&mut self) {
        let now = self.now;
        self.running
            .retain(|run| run.ends > now || run.incarnation != 0);
        while let Some(n) = (0..self.running.len())
            .find(|n| self.running[*n].ends - ORDER_GAP <= now && self.is_current(*n))
        {
            self.end_execution(n, 2);
        }
        self.running.retain(|run| run.ends > now);
        for front in 0..FRONTS {
            let held_tickets: Vec<Ticket> = self.barriers[front]
                .0
                .held()
                .map(|held| held.ticket)
                .collect();
            for ticket in held_tickets {
                if self
                    .statements
                    .get(&(front, ticket))
                    .is_some_and(|(_, ends)| *ends <= now)
                {
                    self.cancel_statement(front, ticket);
                }
            }
            // As the dispatcher does: one statement per order key at a time.
            while let Some((ticket, statement, location)) = self.queues[front].pop_front() {
                // An execution that may still be running blocks its key for the gap.
                let open_keys = self
                    .statements
                    .range((front, 0)..(front + 1, 0))
                    .map(|(_, (statement, _))| statement.key);
                let running_keys = self
                    .running
                    .iter()
                    .filter(|run| run.front == front)
                    .map(|run| run.statement.key);
                if statement.key.is_some()
                    && open_keys
                        .chain(running_keys)
                        .any(|key| key == statement.key)
                {
                    self.queues[front].push_front((ticket, statement, location));
                    break;
                }
                let barrier = &mut self.barriers[front].0;
                let dedup = (statement.workload == "load").then_some(statement.name);
                assert!(add_statement(
                    barrier,
                    ticket,
                    (statement.workload, statement.key, dedup),
                    Some(statement.name)
                ));
                barrier.hold(now, pending(ticket, 0, now, location));
                self.statements
                    .insert((front, ticket), (statement, now + 4_000 * MS));
            }
            self.barriers[front].0.tick(now);
            loop {
                let decisions = self.barriers[front].0.take_decisions();
                if decisions.is_empty() {
                    break;
                }
                decisions
                    .into_iter()
                    .for_each(|decision| self.carry_out(front, decision));
            }
            let incarnation = self.barriers[front].1;
            self.requests.extend(
                self.barriers[front]
                    .0
                    .take_requests()
                    .into_iter()
                    .map(|request| (front, incarnation, request)),
            );
        }
    }

    fn carry_out(&mut self, front: usize, decision: BarrierDecision) {
        let (now, incarnation) = (self.now, self.barriers[front].1);
        let held = match decision {
            BarrierDecision::Release(held) => held,
            BarrierDecision::Reject(ticket) | BarrierDecision::Abort(ticket) => {
                self.statements.remove(&(front, ticket));
                return self.barriers[front]
                    .0
                    .end_statement(now, statement_over(ticket, false, false));
            }
        };
        self.released += 1;
        let (statement, _) = self.statements[&(front, held.ticket)];
        if let Some(key) = statement.key {
            let other = self
                .running
                .iter()
                .find(|run| run.statement.key == Some(key));
            assert!(
                other.is_none(),
                "two executions with key {key} at once: fronts {front} and {}",
                other.unwrap().front
            );
        }
        let location = held.site.location;
        match statement.workload {
            "pay" => {
                let retained =
                    |(name, at): &(&str, Micros)| *name == statement.name && now - at < 64_000 * MS;
                assert!(
                    !self.ran.iter().any(retained),
                    "{} is started twice",
                    statement.name
                );
                self.ran.push((statement.name, now));
            }
            "load" => {
                let elsewhere = |(name, at, sent_location): &(&str, Micros, usize)| {
                    *name == statement.name && now - at < DEDUP_WINDOW && *sent_location != location
                };
                assert!(
                    !self.sent.iter().any(elsewhere),
                    "{} is sent outside its group",
                    statement.name
                );
                self.sent.push((statement.name, now, location));
            }
            _ => {}
        }
        let ends = held.terms.deadline + ORDER_GAP;
        self.running.push(RunningExecution {
            front,
            incarnation,
            ticket: held.ticket,
            statement,
            location,
            ends,
        });
        assert_eq!(self.running.last().map(|run| run.location), Some(location));
    }

    /// Adds no statements and ends all executions; afterwards only unexpired start records may remain.
    fn drain(&mut self) {
        for _ in 0..400 {
            while !self.requests.is_empty() || !self.answers.is_empty() {
                self.apply(Event::RequestProcessed { which: 0, lost: 0 });
                self.apply(Event::AnswerArrives { which: 0 });
            }
            while let Some(n) = (0..self.running.len()).find(|n| self.is_current(*n)) {
                self.end_execution(n, 0);
                self.advance();
            }
            self.apply(Event::TimePasses { ms: 100 });
        }
        for (front, (barrier, incarnation)) in self.barriers.iter().enumerate() {
            assert!(
                barrier.keys.is_empty() && barrier.statements.is_empty() && barrier.is_idle(),
                "front {front}"
            );
            let owner = Owner {
                front: front as u64,
                incarnation: *incarnation,
            };
            let is_own = |e: &&Entry| e.owner == owner && e.ends_ms > (self.now / MS) as u64;
            let left: Vec<_> = self
                .fake_ledger
                .entries
                .values()
                .filter(is_own)
                .map(|e| e.key.kind)
                .collect();
            assert!(left.iter().all(|kind| *kind == Kind::Begun), "{left:?}");
        }
        assert!(self.statements.is_empty() && self.queues.iter().all(VecDeque::is_empty));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn random_events_never_break_key_order_dedup_groups_or_single_start(events in events()) {
        let mut simulation = Simulation::new();
        events.into_iter().for_each(|event| simulation.apply(event));
        simulation.drain();
    }
}

#[test]
fn arriving_statements_are_released() {
    let mut simulation = Simulation::new();
    for n in 0..40 {
        simulation.apply(Event::StatementArrives {
            front: n % 3,
            kind_index: n % 4,
            key: n % 2,
            name: n % 2,
            location: 0,
        });
        simulation.drain();
    }
    assert!(simulation.released > 25, "{}", simulation.released);
}
