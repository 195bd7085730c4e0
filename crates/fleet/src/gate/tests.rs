//! Gates of several fronts beside a ledger that keeps to its word, in orders of events that are drawn.

use hallmux_ledger::{Entry, Operation, Outcome, Owner};

use super::*;

mod drawn;
mod window;

const SETTINGS: &str = r#"{"instances": 3, "areas": ["here", "there"], "kinds": ["std"], "customers": [{"name": "acme"}],
    "requestClasses": [
        {"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable", "inTurn": true},
        {"name": "load", "aimMs": 1000, "deadlineMs": 5000, "repeat": "by_key", "group": "zone", "dedupWindowMs": 9000,
         "inTurn": true},
        {"name": "pay", "aimMs": 1000, "deadlineMs": 5000, "repeat": "once"}],
    "rules": {"turnGapMs": 50}}"#;

const MS: Micros = 1_000;
const APART_MS: u64 = 500;

/// One that its shards have spoken to.
fn gate(life: u64) -> Gate {
    let mut gate = new_gate(life);
    gate.shards_heard.fill(true);
    gate
}

fn new_gate(life: u64) -> Gate {
    Gate::new(&hallmux_config::Settings::parse(SETTINGS).unwrap(), life, 4)
}

/// Takes a statement: whether it depends on anything.
fn open(
    gate: &mut Gate,
    ticket: Ticket,
    (workload, key, dedup_key): (&str, Option<&str>, Option<&str>),
    id: Option<&str>,
) -> bool {
    let (key, dedup_key) = (key.map(str::to_string), dedup_key.map(str::to_string));
    let (workload, customer) = (workload.to_string(), "acme".to_string());
    let taken = StatementArrived {
        ticket,
        workload,
        customer,
        key,
        dedup_key,
    };
    gate.observe(0, LedgerEvent::Arrived(taken), |_| id.map(str::to_string));
    gate.holds_back(ticket)
}

fn pending(ticket: Ticket, execution: usize, now: Micros, location: usize) -> PendingExecution {
    let terms = Terms {
        deadline: now + 4_000 * MS,
        send_by: Micros::MAX,
        grant_mb: 0.0,
        priority: 1,
    };
    PendingExecution {
        ticket,
        execution,
        place: location,
        terms,
        site: Site { location, cell: 0 },
    }
}

/// The ledger as every front sees it.
#[derive(Default)]
struct Book {
    entries: BTreeMap<Key, Entry>,
    last: u64,
}

impl Book {
    fn apply(&mut self, now: Micros, owner: Owner, ask: &ledger::LedgerRequest) -> Outcome {
        let now_ms = (now / MS) as u64;
        self.entries.retain(|_, e| e.ends_ms + APART_MS > now_ms);
        let there = self.entries.get(&ask.key).cloned();
        let free = there.as_ref().is_none_or(|e| e.owner == owner);
        let (may, ends_ms, value) = match &ask.operation {
            Operation::Claim { ends_ms, value } => (free, *ends_ms, value),
            Operation::Put {
                expects,
                ends_ms,
                value,
            } => {
                if there.is_none() && expects.is_some_and(|v| v != 0) {
                    return Outcome::Absent;
                }
                let version = there.as_ref().map_or(0, |e| e.version);
                (
                    expects.is_none_or(|expects| expects == version),
                    *ends_ms,
                    value,
                )
            }
            Operation::Free if free => {
                self.entries.remove(&ask.key);
                return Outcome::Absent;
            }
            Operation::Free => return there.map_or(Outcome::Absent, Outcome::Held),
            Operation::Read => return there.map_or(Outcome::Absent, Outcome::Stands),
        };
        match there {
            Some(entry) if !may => Outcome::Held(entry),
            _ => {
                self.last += 1;
                let key = ask.key.clone();
                let entry = Entry {
                    key,
                    owner,
                    version: self.last,
                    ends_ms,
                    value: value.clone(),
                };
                self.entries.insert(ask.key.clone(), entry.clone());
                Outcome::Stands(entry)
            }
        }
    }
}

/// Asks and answers at once, until nothing is asked any more.
fn settle(gate: &mut Gate, book: &mut Book, now: Micros, front: u64) -> Vec<Ruling> {
    let mut rulings = gate.rulings();
    loop {
        gate.tick(now);
        let asks = gate.asks();
        if asks.is_empty() {
            rulings.extend(gate.rulings());
            return rulings;
        }
        for ask in asks {
            let outcome = book.apply(
                now,
                Owner {
                    front,
                    incarnation: 1,
                },
                &ask,
            );
            gate.answered(
                now,
                LedgerAnswer {
                    number: ask.number,
                    outcome,
                },
            );
        }
    }
}

fn over(ticket: Ticket, may_have_run: bool, may_still_run: bool) -> StatementFinished {
    StatementFinished {
        ticket,
        may_have_run,
        may_still_run,
    }
}

#[test]
fn what_depends_on_nothing_never_comes_here_and_what_does_leaves_once_its_promise_stands() {
    let mut gate = gate(1);
    assert!(!open(&mut gate, 1, ("lookup", None, None), Some("a")));
    assert!(open(&mut gate, 2, ("lookup", Some("k"), None), Some("b")));
    gate.hold(0, pending(2, 0, 0, 0));
    assert!(gate.rulings().is_empty() && !gate.holds_back(1) && gate.holds_back(2));
    let mut book = Book::default();
    assert_eq!(
        settle(&mut gate, &mut book, 0, 1),
        [Ruling::Release(pending(2, 0, 0, 0))]
    );
    // Its next execution needs no other word.
    gate.hold(
        MS,
        PendingExecution {
            execution: 1,
            ..pending(2, 0, 0, 1)
        },
    );
    assert_eq!(gate.rulings().len(), 1);
    gate.end(2 * MS, over(2, true, false));
    settle(&mut gate, &mut book, 2 * MS, 1);
    assert!(book.entries.is_empty() && gate.keys.is_empty() && gate.due() == Micros::MAX);
}

#[test]
fn another_front_has_the_key_until_it_is_freed_or_its_rest_is_over() {
    let (mut one, mut other, mut book) = (gate(1), gate(2), Book::default());
    for gate in [&mut one, &mut other] {
        open(gate, 1, ("lookup", Some("k"), None), None);
        gate.hold(0, pending(1, 0, 0, 0));
    }
    assert_eq!(settle(&mut one, &mut book, 0, 1).len(), 1);
    assert_eq!(settle(&mut other, &mut book, 0, 2), []);
    assert_eq!(settle(&mut other, &mut book, 400 * MS, 2), []);
    // It may be running on: the key rests for the gap, and for as long as clocks may be apart.
    one.end(400 * MS, over(1, true, true));
    assert_eq!(settle(&mut one, &mut book, 400 * MS, 1), []);
    let mut at = 400 * MS;
    while settle(&mut other, &mut book, at, 2).is_empty() {
        at = other.due().max(at + MS);
    }
    assert!((950 * MS..1_300 * MS).contains(&at), "{at}");
}

#[test]
fn what_cannot_be_promised_is_turned_away_and_what_may_stand_of_it_is_freed_later() {
    let (mut gate, mut book) = (gate(1), Book::default());
    open(&mut gate, 1, ("load", Some("k"), Some("d")), None);
    gate.hold(0, pending(1, 0, 0, 0));
    let asks = gate.asks();
    for ask in &asks {
        // It stands, but nobody heard so.
        book.apply(
            0,
            Owner {
                front: 1,
                incarnation: 1,
            },
            ask,
        );
        gate.answered(
            0,
            LedgerAnswer {
                number: ask.number,
                outcome: Outcome::Unreachable,
            },
        );
    }
    assert_eq!((asks.len(), gate.rulings()), (2, vec![Ruling::Reject(1)]));
    gate.end(0, over(1, false, false));
    assert_eq!(book.entries.len(), 2);
    settle(&mut gate, &mut book, 1_100 * MS, 1);
    assert!(
        book.entries.is_empty() && gate.keys.is_empty(),
        "{:?}",
        book.entries
    );
    assert_eq!(gate.refused, BTreeMap::from([("unreachable", 1)]));
}

#[test]
fn in_a_fronts_first_seconds_an_execution_waits_for_its_shard_but_never_near_its_clients_time() {
    for (speaks_at, goes) in [(1_000 * MS, true), (60_000 * MS, false)] {
        let (mut gate, mut book, mut at) = (new_gate(1), Book::default(), 0);
        open(&mut gate, 1, ("load", Some("k"), Some("d")), None);
        gate.hold(0, pending(1, 0, 0, 0));
        let mut ruled = Vec::new();
        while ruled.is_empty() {
            for ask in gate.asks() {
                let outcome = match at < speaks_at {
                    true => Outcome::Unreachable,
                    false => book.apply(
                        at,
                        Owner {
                            front: 1,
                            incarnation: 1,
                        },
                        &ask,
                    ),
                };
                gate.answered(
                    at,
                    LedgerAnswer {
                        number: ask.number,
                        outcome,
                    },
                );
            }
            (ruled, at) = (gate.rulings(), at + 50 * MS);
            gate.tick(at);
            assert!(at < 2_000 * MS, "held to the half of its time and longer");
        }
        assert_eq!(
            matches!(ruled[..], [Ruling::Release(_)]),
            goes,
            "{ruled:?} at {at}"
        );
        assert!((1_000 * MS..2_000 * MS).contains(&at), "{at}");
    }
    // Later in its life, or once the shard has spoken, it is turned away at once.
    for (mut gate, now) in [(gate(1), 0), (new_gate(1), 20_000 * MS)] {
        open(&mut gate, 1, ("pay", None, None), None);
        gate.hold(now, pending(1, 0, now, 0));
        for ask in gate.asks() {
            gate.answered(
                now,
                LedgerAnswer {
                    number: ask.number,
                    outcome: Outcome::Unreachable,
                },
            );
        }
        assert_eq!(gate.rulings(), [Ruling::Reject(1)]);
    }
}

#[test]
fn a_non_idempotent_statement_that_may_have_run_is_never_begun_again() {
    for (ran, again) in [(true, false), (false, true)] {
        let (mut one, mut other, mut book) = (gate(1), gate(2), Book::default());
        open(&mut one, 1, ("pay", None, None), Some("txn-1"));
        one.hold(0, pending(1, 0, 0, 0));
        assert_eq!(settle(&mut one, &mut book, 0, 1).len(), 1);
        one.end(MS, over(1, ran, ran));
        settle(&mut one, &mut book, MS, 1);
        // By another front, or by the same.
        for (gate, front) in [(&mut other, 2), (&mut one, 1)] {
            open(gate, 2, ("pay", None, None), Some("txn-1"));
            gate.hold(2 * MS, pending(2, 0, 2 * MS, 0));
            let ruled = settle(gate, &mut book, 2 * MS, front);
            assert_eq!(
                matches!(ruled[..], [Ruling::Release(_)]),
                again,
                "{ruled:?}"
            );
            assert_eq!(ruled == [Ruling::Abort(2)], !again, "{ruled:?}");
            gate.end(3 * MS, over(2, false, false));
            settle(gate, &mut book, 3 * MS, front);
        }
    }
}

#[test]
fn a_repeat_goes_only_to_the_group_that_drops_it_once_nothing_runs_any_more() {
    let (mut one, mut other, mut book) = (gate(1), gate(2), Book::default());
    open(&mut one, 1, ("load", None, Some("d")), None);
    one.hold(0, pending(1, 0, 0, 0));
    assert_eq!(settle(&mut one, &mut book, 0, 1).len(), 1);
    for (ticket, location) in [(1, 1), (2, 0)] {
        open(&mut other, ticket, ("load", None, Some("d")), None);
        other.hold(MS, pending(ticket, 0, MS, location));
    }
    assert_eq!(settle(&mut other, &mut book, MS, 2), []);
    one.end(2 * MS, over(1, true, false));
    settle(&mut one, &mut book, 2 * MS, 1);
    let mut ruled = Vec::new();
    for at in 3..700 {
        ruled.extend(settle(&mut other, &mut book, at * MS, 2));
    }
    assert!(
        ruled.contains(&Ruling::Reject(1)) && ruled.len() == 2,
        "{ruled:?}"
    );
    assert!(
        ruled.contains(&Ruling::Release(pending(2, 0, MS, 0))),
        "{ruled:?}"
    );
}

#[test]
fn an_order_key_is_not_kept_while_the_statements_dedup_key_is_anothers() {
    let (mut one, mut other, mut third, mut book) = (gate(1), gate(2), gate(3), Book::default());
    open(&mut one, 1, ("load", None, Some("d")), None);
    one.hold(0, pending(1, 0, 0, 0));
    assert_eq!(settle(&mut one, &mut book, 0, 1).len(), 1);
    // Asked again at another front while it may be running.
    open(&mut other, 1, ("load", Some("k"), Some("d")), None);
    other.hold(MS, pending(1, 0, MS, 0));
    assert_eq!(settle(&mut other, &mut book, MS, 2), []);
    assert!(
        book.entries.keys().all(|key| key.kind != Kind::Order),
        "{:?}",
        book.entries
    );
    open(&mut third, 1, ("load", Some("k"), Some("e")), None);
    third.hold(2 * MS, pending(1, 0, 2 * MS, 0));
    assert_eq!(settle(&mut third, &mut book, 2 * MS, 3).len(), 1);
    third.end(3 * MS, over(1, true, false));
    settle(&mut third, &mut book, 3 * MS, 3);
    // Once nothing runs any more, the repeat has both.
    one.end(3 * MS, over(1, true, false));
    settle(&mut one, &mut book, 3 * MS, 1);
    let ruled = (4..700)
        .map(|at| settle(&mut other, &mut book, at * MS, 2))
        .find(|ruled| !ruled.is_empty());
    assert_eq!(ruled, Some(vec![Ruling::Release(pending(1, 0, MS, 0))]));
}

#[test]
fn a_transaction_keeps_its_key_by_word_that_is_renewed() {
    let (mut one, mut other, mut book) = (gate(1), gate(2), Book::default());
    open(&mut one, 1, ("lookup", Some("k"), None), None);
    one.hold(0, pending(1, 0, 0, 0));
    assert_eq!(settle(&mut one, &mut book, 0, 1).len(), 1);
    one.retain_key("k");
    one.end(MS, over(1, true, false));
    for at in (0..60).map(|s| s * 1_000 * MS) {
        assert_eq!(settle(&mut one, &mut book, at, 1), []);
        open(&mut other, at as Ticket, ("lookup", Some("k"), None), None);
        other.hold(at, pending(at as Ticket, 0, at, 0));
        assert_eq!(settle(&mut other, &mut book, at, 2), [], "{at}");
        other.cancel(at, at as Ticket, 0);
        other.end(at, over(at as Ticket, false, false));
    }
    one.release_key(60_000 * MS, "k", false);
    settle(&mut one, &mut book, 60_000 * MS, 1);
    assert!(book.entries.is_empty() && one.keys.is_empty());
}

#[test]
fn a_key_that_stands_while_another_is_asked_for_is_no_cause_to_wake() {
    let (mut gate, mut book) = (gate(1), Book::default());
    assert!(open(
        &mut gate,
        1,
        ("load", Some("k"), Some("d")),
        Some("a")
    ));
    gate.hold(MS, pending(1, 0, MS, 0));
    let (first, second): (Vec<_>, Vec<_>) = gate
        .asks()
        .into_iter()
        .partition(|ask| ask.key.kind == Kind::Order);
    let mut answer = |gate: &mut Gate, ask: &ledger::LedgerRequest| {
        let outcome = book.apply(
            2 * MS,
            Owner {
                front: 1,
                incarnation: 1,
            },
            ask,
        );
        gate.answered(
            2 * MS,
            LedgerAnswer {
                number: ask.number,
                outcome,
            },
        );
    };
    answer(&mut gate, &first[0]);
    gate.tick(2 * MS);
    assert!(gate.due() > 1_000 * MS, "{}", gate.due());
    answer(&mut gate, &second[0]);
    assert_eq!(gate.rulings(), [Ruling::Release(pending(1, 0, MS, 0))]);
}
