//! Orders of events that are drawn: answers late, lost or out of order, fronts that stop, clients that leave.

use std::collections::VecDeque;

use proptest::prelude::*;

use super::*;

const FRONTS: usize = 3;
const GAP: Micros = 50 * MS;
const WINDOW: Micros = 9_000 * MS;
const KEYS: [&str; 2] = ["k", "l"];
const NAMES: [&str; 2] = ["d", "e"];

#[derive(Clone, Debug)]
enum Step {
    Arrives {
        front: usize,
        what: usize,
        key: usize,
        name: usize,
        location: usize,
    },
    /// The ledger takes one of the asks in: 0 well, 1 its answer is lost, 2 it is lost itself.
    Served {
        which: usize,
        lost: u8,
    },
    Answered {
        which: usize,
    },
    /// One that is running ends: 0 answered, 1 provably without effect, 2 given up.
    Ends {
        which: usize,
        how: u8,
    },
    Leaves {
        front: usize,
    },
    Dies {
        front: usize,
    },
    Passes {
        ms: i64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let n = 0..64usize;
    let step = prop_oneof![
        4 => (0..FRONTS, 0..4usize, 0..2usize, 0..2usize, 0..2usize)
            .prop_map(|(front, what, key, name, location)| Step::Arrives { front, what, key, name, location }),
        6 => (n.clone(), prop_oneof![8 => Just(0u8), 1 => Just(1), 1 => Just(2)])
            .prop_map(|(which, lost)| Step::Served { which, lost }),
        6 => n.clone().prop_map(|which| Step::Answered { which }),
        4 => (n, 0..3u8).prop_map(|(which, how)| Step::Ends { which, how }),
        1 => (0..FRONTS).prop_map(|front| Step::Leaves { front }),
        1 => (0..FRONTS).prop_map(|front| Step::Dies { front }),
        3 => (1..400i64).prop_map(|ms| Step::Passes { ms }),
    ];
    proptest::collection::vec(step, 1..160)
}

/// An execution that has left; it may run until its client's time is up and the gap has passed.
struct Run {
    front: usize,
    life: u64,
    ticket: Ticket,
    of: Of,
    location: usize,
    ends: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Of {
    workload: &'static str,
    key: Option<&'static str>,
    name: &'static str,
}

#[derive(Default)]
struct Stage {
    now: Micros,
    book: Book,
    gates: Vec<(LedgerBarrier, u64)>,
    /// Of each front: what is held by the module for the turn of its key, and what has been ordered.
    lines: Vec<VecDeque<(Ticket, Of, usize)>>,
    open: BTreeMap<(usize, Ticket), (Of, Micros)>,
    requests: Vec<(usize, u64, ledger::LedgerRequest)>,
    answers: Vec<(usize, u64, LedgerAnswer)>,
    running: Vec<Run>,
    /// Non-idempotent statements that may have run; sends of dedup keys: when, where.
    ran: Vec<(&'static str, Micros)>,
    sent: Vec<(&'static str, Micros, usize)>,
    next: Ticket,
    went: usize,
}

impl Stage {
    fn new() -> Stage {
        let gates = (0..FRONTS as u64).map(|front| (gate(front), 1)).collect();
        Stage {
            gates,
            lines: vec![VecDeque::new(); FRONTS],
            next: 1,
            ..Stage::default()
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrives {
                front,
                what,
                key,
                name,
                location,
            } => {
                let (workload, key) = match what {
                    0 => ("lookup", Some(KEYS[key])),
                    1 => ("load", Some(KEYS[key])),
                    2 => ("load", None),
                    _ => ("pay", None),
                };
                let of = Of {
                    workload,
                    key,
                    name: NAMES[name],
                };
                self.lines[front].push_back((self.next, of, location));
                self.next += 1;
            }
            Step::Served { which, lost } if !self.requests.is_empty() => {
                let (front, life, ask) = self.requests.remove(which % self.requests.len());
                let owner = Owner {
                    front: front as u64,
                    incarnation: life,
                };
                let mut outcome = Outcome::Unreachable;
                if lost < 2 {
                    let well = self.book.apply(self.now, owner, &ask);
                    outcome = if lost == 0 { well } else { outcome };
                }
                self.answers.push((
                    front,
                    life,
                    LedgerAnswer {
                        number: ask.number,
                        outcome,
                    },
                ));
            }
            Step::Answered { which } if !self.answers.is_empty() => {
                let (front, life, done) = self.answers.remove(which % self.answers.len());
                if self.gates[front].1 == life {
                    self.gates[front].0.handle_answer(self.now, done);
                }
            }
            Step::Ends { which, how } => {
                let all: Vec<usize> = (0..self.running.len()).filter(|n| self.lives(*n)).collect();
                if let Some(n) = all.get(which % all.len().max(1)) {
                    self.ends(*n, how);
                }
            }
            Step::Leaves { front } => {
                let held = self.gates[front].0.held().map(|held| held.ticket).min();
                if let Some(ticket) = held {
                    self.withdraw(front, ticket);
                }
            }
            Step::Dies { front } => {
                let life = self.gates[front].1 + 1;
                // Every other life begins before its shards have spoken.
                let new = if life.is_multiple_of(2) {
                    new_gate
                } else {
                    gate
                };
                self.gates[front] = (new(life * 10 + front as u64), life);
                self.lines[front].clear();
                self.open.retain(|(f, _), _| *f != front);
            }
            Step::Passes { ms } => self.now += ms * MS,
            Step::Served { .. } | Step::Answered { .. } => {}
        }
        self.turn();
    }

    fn lives(&self, n: usize) -> bool {
        self.gates[self.running[n].front].1 == self.running[n].life
    }

    fn ends(&mut self, n: usize, how: u8) {
        let run = self.running.remove(n);
        if how == 1 {
            self.ran
                .retain(|(name, _)| run.of.workload != "pay" || *name != run.of.name);
            // The record of what was sent is of what may have run.
            let at = self
                .sent
                .iter()
                .rposition(|(name, ..)| run.of.workload == "load" && *name == run.of.name);
            at.into_iter().for_each(|at| _ = self.sent.remove(at));
        }
        self.open.remove(&(run.front, run.ticket));
        let now = self.now;
        if how == 2 {
            // It may be running on for a while.
            self.running.push(Run {
                life: 0,
                ends: (now + GAP).min(run.ends),
                ..run
            });
        }
        self.gates[run.front]
            .0
            .end_statement(now, over(run.ticket, how != 1, how == 2));
    }

    fn withdraw(&mut self, front: usize, ticket: Ticket) {
        self.open.remove(&(front, ticket));
        self.gates[front].0.cancel(self.now, ticket, 0);
        self.gates[front]
            .0
            .end_statement(self.now, over(ticket, false, false));
    }

    /// Times that are up, then all that the fronts do of themselves.
    fn turn(&mut self) {
        let now = self.now;
        self.running.retain(|run| run.ends > now || run.life != 0);
        while let Some(n) =
            (0..self.running.len()).find(|n| self.running[*n].ends - GAP <= now && self.lives(*n))
        {
            self.ends(n, 2);
        }
        self.running.retain(|run| run.ends > now);
        for front in 0..FRONTS {
            let late: Vec<Ticket> = self.gates[front].0.held().map(|held| held.ticket).collect();
            for ticket in late {
                if self
                    .open
                    .get(&(front, ticket))
                    .is_some_and(|(_, ends)| *ends <= now)
                {
                    self.withdraw(front, ticket);
                }
            }
            // The module: one of an order key at a time.
            while let Some((ticket, of, location)) = self.lines[front].pop_front() {
                // What may be running on keeps its turn for the gap.
                let taken = self
                    .open
                    .range((front, 0)..(front + 1, 0))
                    .map(|(_, (of, _))| of.key);
                let out = self
                    .running
                    .iter()
                    .filter(|run| run.front == front)
                    .map(|run| run.of.key);
                if of.key.is_some() && taken.chain(out).any(|key| key == of.key) {
                    self.lines[front].push_front((ticket, of, location));
                    break;
                }
                let gate = &mut self.gates[front].0;
                let dedup = (of.workload == "load").then_some(of.name);
                assert!(open(
                    gate,
                    ticket,
                    (of.workload, of.key, dedup),
                    Some(of.name)
                ));
                gate.hold(now, pending(ticket, 0, now, location));
                self.open.insert((front, ticket), (of, now + 4_000 * MS));
            }
            self.gates[front].0.tick(now);
            loop {
                let rulings = self.gates[front].0.take_decisions();
                if rulings.is_empty() {
                    break;
                }
                rulings
                    .into_iter()
                    .for_each(|ruling| self.obey(front, ruling));
            }
            let life = self.gates[front].1;
            self.requests.extend(
                self.gates[front]
                    .0
                    .take_requests()
                    .into_iter()
                    .map(|ask| (front, life, ask)),
            );
        }
    }

    fn obey(&mut self, front: usize, ruling: BarrierDecision) {
        let (now, life) = (self.now, self.gates[front].1);
        let held = match ruling {
            BarrierDecision::Release(held) => held,
            BarrierDecision::Reject(ticket) | BarrierDecision::Abort(ticket) => {
                self.open.remove(&(front, ticket));
                return self.gates[front]
                    .0
                    .end_statement(now, over(ticket, false, false));
            }
        };
        self.went += 1;
        let (of, _) = self.open[&(front, held.ticket)];
        if let Some(key) = of.key {
            let other = self.running.iter().find(|run| run.of.key == Some(key));
            assert!(
                other.is_none(),
                "two of {key} at once: front {front} beside {}",
                other.unwrap().front
            );
        }
        let location = held.site.location;
        match of.workload {
            "pay" => {
                let kept = |(name, at): &(&str, Micros)| *name == of.name && now - at < 64_000 * MS;
                assert!(!self.ran.iter().any(kept), "{} is begun twice", of.name);
                self.ran.push((of.name, now));
            }
            "load" => {
                let away = |(name, at, where_): &(&str, Micros, usize)| {
                    *name == of.name && now - at < WINDOW && *where_ != location
                };
                assert!(!self.sent.iter().any(away), "{} leaves its group", of.name);
                self.sent.push((of.name, now, location));
            }
            _ => {}
        }
        let ends = held.terms.deadline + GAP;
        self.running.push(Run {
            front,
            life,
            ticket: held.ticket,
            of,
            location,
            ends,
        });
        assert_eq!(self.running.last().map(|run| run.location), Some(location));
    }

    /// Nothing more comes: all ends, and nothing is left but what stands for its time.
    fn calm(&mut self) {
        for _ in 0..400 {
            while !self.requests.is_empty() || !self.answers.is_empty() {
                self.step(Step::Served { which: 0, lost: 0 });
                self.step(Step::Answered { which: 0 });
            }
            while let Some(n) = (0..self.running.len()).find(|n| self.lives(*n)) {
                self.ends(n, 0);
                self.turn();
            }
            self.step(Step::Passes { ms: 100 });
        }
        for (front, (gate, life)) in self.gates.iter().enumerate() {
            assert!(
                gate.keys.is_empty() && gate.statements.is_empty() && gate.is_idle(),
                "front {front}"
            );
            let owner = Owner {
                front: front as u64,
                incarnation: *life,
            };
            let own = |e: &&Entry| e.owner == owner && e.ends_ms > (self.now / MS) as u64;
            let left: Vec<_> = self
                .book
                .entries
                .values()
                .filter(own)
                .map(|e| e.key.kind)
                .collect();
            assert!(left.iter().all(|kind| *kind == Kind::Begun), "{left:?}");
        }
        assert!(self.open.is_empty() && self.lines.iter().all(VecDeque::is_empty));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn no_key_runs_twice_at_once_no_repeat_leaves_its_group_and_nothing_is_begun_twice(steps in steps()) {
        let mut stage = Stage::new();
        steps.into_iter().for_each(|step| stage.step(step));
        stage.calm();
    }
}

#[test]
fn the_drawn_orders_let_executions_go() {
    let mut stage = Stage::new();
    for n in 0..40 {
        stage.step(Step::Arrives {
            front: n % 3,
            what: n % 4,
            key: n % 2,
            name: n % 2,
            location: 0,
        });
        stage.calm();
    }
    assert!(stage.went > 25, "{}", stage.went);
}
