//! Tests of the ledger barriers of several fronts that share a fake ledger.

use hallmux_ledger::{Entry, Operation, Outcome, Owner};

use super::*;

mod randomized;
mod window;

const SETTINGS: &str = r#"{"instances": 3, "areas": ["here", "there"], "kinds": ["std"], "customers": [{"name": "acme"}],
    "requestClasses": [
        {"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable", "inTurn": true},
        {"name": "load", "aimMs": 1000, "deadlineMs": 5000, "repeat": "by_key", "group": "zone", "dedupWindowMs": 9000,
         "inTurn": true},
        {"name": "pay", "aimMs": 1000, "deadlineMs": 5000, "repeat": "once"}],
    "rules": {"turnGapMs": 50}}"#;

const MS: Micros = 1_000;
const CLOCK_SKEW_MS: u64 = 500;

/// A barrier whose shards have all answered before.
fn ready_barrier(started_ms: u64) -> LedgerBarrier {
    let mut barrier = new_barrier(started_ms);
    barrier.shards_answered.fill(true);
    barrier
}

fn new_barrier(started_ms: u64) -> LedgerBarrier {
    LedgerBarrier::new(
        &hallmux_config::Settings::parse(SETTINGS).unwrap(),
        started_ms,
        4,
    )
}

/// Adds a statement to the barrier; returns whether it requires ledger entries.
fn add_statement(
    barrier: &mut LedgerBarrier,
    ticket: Ticket,
    (workload, key, dedup_key): (&str, Option<&str>, Option<&str>),
    id: Option<&str>,
) -> bool {
    let (key, dedup_key) = (key.map(str::to_string), dedup_key.map(str::to_string));
    let (workload, customer) = (workload.to_string(), "acme".to_string());
    let statement = StatementArrived {
        ticket,
        workload,
        customer,
        key,
        dedup_key,
    };
    barrier.observe(0, LedgerEvent::Arrived(statement), |_| {
        id.map(str::to_string)
    });
    barrier.requires_entries(ticket)
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

/// An in-memory ledger shared by all fronts; entries outlast their end by the assumed clock skew.
#[derive(Default)]
struct FakeLedger {
    entries: BTreeMap<Key, Entry>,
    last_version: u64,
}

impl FakeLedger {
    fn apply(&mut self, now: Micros, owner: Owner, request: &ledger::LedgerRequest) -> Outcome {
        let now_ms = (now / MS) as u64;
        self.entries
            .retain(|_, e| e.ends_ms + CLOCK_SKEW_MS > now_ms);
        let existing = self.entries.get(&request.key).cloned();
        let free = existing.as_ref().is_none_or(|e| e.owner == owner);
        let (allowed, ends_ms, value) = match &request.operation {
            Operation::Claim { ends_ms, value } => (free, *ends_ms, value),
            Operation::Put {
                expects,
                ends_ms,
                value,
            } => {
                if existing.is_none() && expects.is_some_and(|v| v != 0) {
                    return Outcome::Absent;
                }
                let version = existing.as_ref().map_or(0, |e| e.version);
                (
                    expects.is_none_or(|expects| expects == version),
                    *ends_ms,
                    value,
                )
            }
            Operation::Free if free => {
                self.entries.remove(&request.key);
                return Outcome::Absent;
            }
            Operation::Free => return existing.map_or(Outcome::Absent, Outcome::Held),
            Operation::Read => return existing.map_or(Outcome::Absent, Outcome::Stands),
        };
        match existing {
            Some(entry) if !allowed => Outcome::Held(entry),
            _ => {
                self.last_version += 1;
                let key = request.key.clone();
                let entry = Entry {
                    key,
                    owner,
                    version: self.last_version,
                    ends_ms,
                    value: value.clone(),
                };
                self.entries.insert(request.key.clone(), entry.clone());
                Outcome::Stands(entry)
            }
        }
    }
}

/// Answers all requests of a barrier immediately until it makes none; returns its decisions.
fn run_until_idle(
    barrier: &mut LedgerBarrier,
    fake_ledger: &mut FakeLedger,
    now: Micros,
    front: u64,
) -> Vec<BarrierDecision> {
    let mut decisions = barrier.take_decisions();
    loop {
        barrier.tick(now);
        let requests = barrier.take_requests();
        if requests.is_empty() {
            decisions.extend(barrier.take_decisions());
            return decisions;
        }
        for request in requests {
            let outcome = fake_ledger.apply(
                now,
                Owner {
                    front,
                    incarnation: 1,
                },
                &request,
            );
            barrier.handle_answer(
                now,
                LedgerAnswer {
                    number: request.number,
                    outcome,
                },
            );
        }
    }
}

fn statement_over(ticket: Ticket, may_have_run: bool, may_still_run: bool) -> StatementFinished {
    StatementFinished {
        ticket,
        may_have_run,
        may_still_run,
    }
}

#[test]
fn only_statements_that_require_entries_wait_until_their_entries_are_held() {
    let mut barrier = ready_barrier(1);
    assert!(!add_statement(
        &mut barrier,
        1,
        ("lookup", None, None),
        Some("a")
    ));
    assert!(add_statement(
        &mut barrier,
        2,
        ("lookup", Some("k"), None),
        Some("b")
    ));
    barrier.hold(0, pending(2, 0, 0, 0));
    assert!(
        barrier.take_decisions().is_empty()
            && !barrier.requires_entries(1)
            && barrier.requires_entries(2)
    );
    let mut fake_ledger = FakeLedger::default();
    assert_eq!(
        run_until_idle(&mut barrier, &mut fake_ledger, 0, 1),
        [BarrierDecision::Release(pending(2, 0, 0, 0))]
    );
    // The next execution of the statement is released without another request.
    barrier.hold(
        MS,
        PendingExecution {
            execution: 1,
            ..pending(2, 0, 0, 1)
        },
    );
    assert_eq!(barrier.take_decisions().len(), 1);
    barrier.end_statement(2 * MS, statement_over(2, true, false));
    run_until_idle(&mut barrier, &mut fake_ledger, 2 * MS, 1);
    assert!(
        fake_ledger.entries.is_empty() && barrier.keys.is_empty() && barrier.due() == Micros::MAX
    );
}

#[test]
fn second_front_gets_a_key_only_after_it_is_freed_or_its_reservation_expires() {
    let (mut first_front, mut second_front, mut fake_ledger) =
        (ready_barrier(1), ready_barrier(2), FakeLedger::default());
    for barrier in [&mut first_front, &mut second_front] {
        add_statement(barrier, 1, ("lookup", Some("k"), None), None);
        barrier.hold(0, pending(1, 0, 0, 0));
    }
    assert_eq!(
        run_until_idle(&mut first_front, &mut fake_ledger, 0, 1).len(),
        1
    );
    assert_eq!(
        run_until_idle(&mut second_front, &mut fake_ledger, 0, 2),
        []
    );
    assert_eq!(
        run_until_idle(&mut second_front, &mut fake_ledger, 400 * MS, 2),
        []
    );
    // The execution may still be running, so the key stays reserved for the order gap plus the clock skew.
    first_front.end_statement(400 * MS, statement_over(1, true, true));
    assert_eq!(
        run_until_idle(&mut first_front, &mut fake_ledger, 400 * MS, 1),
        []
    );
    let mut at = 400 * MS;
    while run_until_idle(&mut second_front, &mut fake_ledger, at, 2).is_empty() {
        at = second_front.due().max(at + MS);
    }
    assert!((950 * MS..1_300 * MS).contains(&at), "{at}");
}

#[test]
fn unreachable_shard_rejects_the_statement_and_unconfirmed_entries_are_freed_later() {
    let (mut barrier, mut fake_ledger) = (ready_barrier(1), FakeLedger::default());
    add_statement(&mut barrier, 1, ("load", Some("k"), Some("d")), None);
    barrier.hold(0, pending(1, 0, 0, 0));
    let requests = barrier.take_requests();
    for request in &requests {
        // The entry is made, but the answer is lost.
        fake_ledger.apply(
            0,
            Owner {
                front: 1,
                incarnation: 1,
            },
            request,
        );
        barrier.handle_answer(
            0,
            LedgerAnswer {
                number: request.number,
                outcome: Outcome::Unreachable,
            },
        );
    }
    assert_eq!(
        (requests.len(), barrier.take_decisions()),
        (2, vec![BarrierDecision::Reject(1)])
    );
    barrier.end_statement(0, statement_over(1, false, false));
    assert_eq!(fake_ledger.entries.len(), 2);
    run_until_idle(&mut barrier, &mut fake_ledger, 1_100 * MS, 1);
    assert!(
        fake_ledger.entries.is_empty() && barrier.keys.is_empty(),
        "{:?}",
        fake_ledger.entries
    );
    assert_eq!(barrier.refused, BTreeMap::from([("unreachable", 1)]));
}

#[test]
fn after_front_start_an_execution_waits_for_its_shard_for_half_of_its_time_at_most() {
    for (answers_from, is_released) in [(1_000 * MS, true), (60_000 * MS, false)] {
        let (mut barrier, mut fake_ledger, mut at) = (new_barrier(1), FakeLedger::default(), 0);
        add_statement(&mut barrier, 1, ("load", Some("k"), Some("d")), None);
        barrier.hold(0, pending(1, 0, 0, 0));
        let mut decisions = Vec::new();
        while decisions.is_empty() {
            for request in barrier.take_requests() {
                let outcome = match at < answers_from {
                    true => Outcome::Unreachable,
                    false => fake_ledger.apply(
                        at,
                        Owner {
                            front: 1,
                            incarnation: 1,
                        },
                        &request,
                    ),
                };
                barrier.handle_answer(
                    at,
                    LedgerAnswer {
                        number: request.number,
                        outcome,
                    },
                );
            }
            (decisions, at) = (barrier.take_decisions(), at + 50 * MS);
            barrier.tick(at);
            assert!(
                at < 2_000 * MS,
                "held for more than half of its remaining time"
            );
        }
        assert_eq!(
            matches!(decisions[..], [BarrierDecision::Release(_)]),
            is_released,
            "{decisions:?} at {at}"
        );
        assert!((1_000 * MS..2_000 * MS).contains(&at), "{at}");
    }
    // Later after the front's start, or once the shard has answered, the statement is rejected immediately.
    for (mut barrier, now) in [(ready_barrier(1), 0), (new_barrier(1), 20_000 * MS)] {
        add_statement(&mut barrier, 1, ("pay", None, None), None);
        barrier.hold(now, pending(1, 0, now, 0));
        for request in barrier.take_requests() {
            barrier.handle_answer(
                now,
                LedgerAnswer {
                    number: request.number,
                    outcome: Outcome::Unreachable,
                },
            );
        }
        assert_eq!(barrier.take_decisions(), [BarrierDecision::Reject(1)]);
    }
}

#[test]
fn non_idempotent_statement_that_may_have_run_is_never_started_again() {
    for (may_have_run, starts_again) in [(true, false), (false, true)] {
        let (mut first_front, mut second_front, mut fake_ledger) =
            (ready_barrier(1), ready_barrier(2), FakeLedger::default());
        add_statement(&mut first_front, 1, ("pay", None, None), Some("txn-1"));
        first_front.hold(0, pending(1, 0, 0, 0));
        assert_eq!(
            run_until_idle(&mut first_front, &mut fake_ledger, 0, 1).len(),
            1
        );
        first_front.end_statement(MS, statement_over(1, may_have_run, may_have_run));
        run_until_idle(&mut first_front, &mut fake_ledger, MS, 1);
        // The client retries at another front, then at the same front.
        for (barrier, front) in [(&mut second_front, 2), (&mut first_front, 1)] {
            add_statement(barrier, 2, ("pay", None, None), Some("txn-1"));
            barrier.hold(2 * MS, pending(2, 0, 2 * MS, 0));
            let decisions = run_until_idle(barrier, &mut fake_ledger, 2 * MS, front);
            assert_eq!(
                matches!(decisions[..], [BarrierDecision::Release(_)]),
                starts_again,
                "{decisions:?}"
            );
            assert_eq!(
                decisions == [BarrierDecision::Abort(2)],
                !starts_again,
                "{decisions:?}"
            );
            barrier.end_statement(3 * MS, statement_over(2, false, false));
            run_until_idle(barrier, &mut fake_ledger, 3 * MS, front);
        }
    }
}

#[test]
fn repeat_is_released_only_for_the_deduplicating_group_after_the_first_execution_ends() {
    let (mut first_front, mut second_front, mut fake_ledger) =
        (ready_barrier(1), ready_barrier(2), FakeLedger::default());
    add_statement(&mut first_front, 1, ("load", None, Some("d")), None);
    first_front.hold(0, pending(1, 0, 0, 0));
    assert_eq!(
        run_until_idle(&mut first_front, &mut fake_ledger, 0, 1).len(),
        1
    );
    for (ticket, location) in [(1, 1), (2, 0)] {
        add_statement(&mut second_front, ticket, ("load", None, Some("d")), None);
        second_front.hold(MS, pending(ticket, 0, MS, location));
    }
    assert_eq!(
        run_until_idle(&mut second_front, &mut fake_ledger, MS, 2),
        []
    );
    first_front.end_statement(2 * MS, statement_over(1, true, false));
    run_until_idle(&mut first_front, &mut fake_ledger, 2 * MS, 1);
    let mut decisions = Vec::new();
    for at in 3..700 {
        decisions.extend(run_until_idle(
            &mut second_front,
            &mut fake_ledger,
            at * MS,
            2,
        ));
    }
    assert!(
        decisions.contains(&BarrierDecision::Reject(1)) && decisions.len() == 2,
        "{decisions:?}"
    );
    assert!(
        decisions.contains(&BarrierDecision::Release(pending(2, 0, MS, 0))),
        "{decisions:?}"
    );
}

#[test]
fn order_key_is_not_claimed_while_another_front_holds_the_dedup_key() {
    let (mut first_front, mut second_front, mut third_front, mut fake_ledger) = (
        ready_barrier(1),
        ready_barrier(2),
        ready_barrier(3),
        FakeLedger::default(),
    );
    add_statement(&mut first_front, 1, ("load", None, Some("d")), None);
    first_front.hold(0, pending(1, 0, 0, 0));
    assert_eq!(
        run_until_idle(&mut first_front, &mut fake_ledger, 0, 1).len(),
        1
    );
    // The client repeats the statement at another front while the first execution may still be running.
    add_statement(&mut second_front, 1, ("load", Some("k"), Some("d")), None);
    second_front.hold(MS, pending(1, 0, MS, 0));
    assert_eq!(
        run_until_idle(&mut second_front, &mut fake_ledger, MS, 2),
        []
    );
    assert!(
        fake_ledger
            .entries
            .keys()
            .all(|key| key.kind != Kind::Order),
        "{:?}",
        fake_ledger.entries
    );
    add_statement(&mut third_front, 1, ("load", Some("k"), Some("e")), None);
    third_front.hold(2 * MS, pending(1, 0, 2 * MS, 0));
    assert_eq!(
        run_until_idle(&mut third_front, &mut fake_ledger, 2 * MS, 3).len(),
        1
    );
    third_front.end_statement(3 * MS, statement_over(1, true, false));
    run_until_idle(&mut third_front, &mut fake_ledger, 3 * MS, 3);
    // Once the first execution has ended, the repeat gets both keys.
    first_front.end_statement(3 * MS, statement_over(1, true, false));
    run_until_idle(&mut first_front, &mut fake_ledger, 3 * MS, 1);
    let decisions = (4..700)
        .map(|at| run_until_idle(&mut second_front, &mut fake_ledger, at * MS, 2))
        .find(|decisions| !decisions.is_empty());
    assert_eq!(
        decisions,
        Some(vec![BarrierDecision::Release(pending(1, 0, MS, 0))])
    );
}

#[test]
fn transaction_keeps_its_order_key_by_renewing_the_claim() {
    let (mut first_front, mut second_front, mut fake_ledger) =
        (ready_barrier(1), ready_barrier(2), FakeLedger::default());
    add_statement(&mut first_front, 1, ("lookup", Some("k"), None), None);
    first_front.hold(0, pending(1, 0, 0, 0));
    assert_eq!(
        run_until_idle(&mut first_front, &mut fake_ledger, 0, 1).len(),
        1
    );
    first_front.retain_key("k");
    first_front.end_statement(MS, statement_over(1, true, false));
    for at in (0..60).map(|s| s * 1_000 * MS) {
        assert_eq!(
            run_until_idle(&mut first_front, &mut fake_ledger, at, 1),
            []
        );
        add_statement(
            &mut second_front,
            at as Ticket,
            ("lookup", Some("k"), None),
            None,
        );
        second_front.hold(at, pending(at as Ticket, 0, at, 0));
        assert_eq!(
            run_until_idle(&mut second_front, &mut fake_ledger, at, 2),
            [],
            "{at}"
        );
        second_front.cancel(at, at as Ticket, 0);
        second_front.end_statement(at, statement_over(at as Ticket, false, false));
    }
    first_front.release_key(60_000 * MS, "k", false);
    run_until_idle(&mut first_front, &mut fake_ledger, 60_000 * MS, 1);
    assert!(fake_ledger.entries.is_empty() && first_front.keys.is_empty());
}

#[test]
fn held_key_causes_no_wakeup_while_another_key_is_still_requested() {
    let (mut barrier, mut fake_ledger) = (ready_barrier(1), FakeLedger::default());
    assert!(add_statement(
        &mut barrier,
        1,
        ("load", Some("k"), Some("d")),
        Some("a")
    ));
    barrier.hold(MS, pending(1, 0, MS, 0));
    let (first, second): (Vec<_>, Vec<_>) = barrier
        .take_requests()
        .into_iter()
        .partition(|request| request.key.kind == Kind::Order);
    let mut answer = |barrier: &mut LedgerBarrier, request: &ledger::LedgerRequest| {
        let outcome = fake_ledger.apply(
            2 * MS,
            Owner {
                front: 1,
                incarnation: 1,
            },
            request,
        );
        barrier.handle_answer(
            2 * MS,
            LedgerAnswer {
                number: request.number,
                outcome,
            },
        );
    };
    answer(&mut barrier, &first[0]);
    barrier.tick(2 * MS);
    assert!(barrier.due() > 1_000 * MS, "{}", barrier.due());
    answer(&mut barrier, &second[0]);
    assert_eq!(
        barrier.take_decisions(),
        [BarrierDecision::Release(pending(1, 0, MS, 0))]
    );
}
