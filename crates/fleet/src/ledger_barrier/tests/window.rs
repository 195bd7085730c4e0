//! Tests of the dedup window over several fronts. Engines drop repeats only until the window after the first
//! execution ends, so a front that takes over another front's entry must release a repeat within that time or
//! never.

use super::super::requirements::{EngineGroup, EntryValue, RequestId};
use super::*;

/// Milliseconds from the first execution for which all engines drop repeats, by the slowest clock.
const DROPPED_MS: i64 = 9_000 - CLOCK_SKEW_MS as i64;

/// Lets a front send a load under dedup key "d" at time 0 and then stop.
fn run_on_front_that_stops(fake_ledger: &mut FakeLedger) {
    let mut barrier = ready_barrier(1);
    add_statement(&mut barrier, 1, ("load", None, Some("d")), None);
    barrier.hold(0, pending(1, 0, 0, 0));
    assert_eq!(
        run_until_idle(&mut barrier, fake_ledger, 0, 1),
        [BarrierDecision::Release(pending(1, 0, 0, 0))]
    );
}

/// The decisions of a barrier from `from` to `to`, each with its time in milliseconds.
fn decisions_between(
    barrier: &mut LedgerBarrier,
    fake_ledger: &mut FakeLedger,
    (from, to): (i64, i64),
    front: u64,
) -> Vec<(i64, BarrierDecision)> {
    let at = |ms: i64| {
        run_until_idle(barrier, fake_ledger, ms * MS, front)
            .into_iter()
            .map(move |decision| (ms, decision))
    };
    (from..to).flat_map(at).collect()
}

#[test]
fn repeat_waiting_for_its_order_key_is_released_within_the_dedup_window_or_never() {
    for (freed_ms, is_released) in [(DROPPED_MS - 500, true), (DROPPED_MS + 100, false)] {
        let mut fake_ledger = FakeLedger::default();
        run_on_front_that_stops(&mut fake_ledger);
        let (mut key_holder, mut repeat_front) = (ready_barrier(2), ready_barrier(3));
        add_statement(&mut key_holder, 1, ("lookup", Some("k"), None), None);
        key_holder.hold(5_000 * MS, pending(1, 0, 5_000 * MS, 0));
        assert_eq!(
            run_until_idle(&mut key_holder, &mut fake_ledger, 5_000 * MS, 2).len(),
            1
        );
        let repeat = pending(1, 0, 5_500 * MS, 0);
        add_statement(&mut repeat_front, 1, ("load", Some("k"), Some("d")), None);
        repeat_front.hold(5_500 * MS, repeat);
        let mut decisions =
            decisions_between(&mut repeat_front, &mut fake_ledger, (5_500, freed_ms), 3);
        key_holder.end_statement(freed_ms * MS, statement_over(1, true, false));
        run_until_idle(&mut key_holder, &mut fake_ledger, freed_ms * MS, 2);
        decisions.extend(decisions_between(
            &mut repeat_front,
            &mut fake_ledger,
            (freed_ms, 9_400),
            3,
        ));
        match is_released {
            true => assert!(
                matches!(decisions[..], [(_, BarrierDecision::Release(held))] if held == repeat),
                "{decisions:?}"
            ),
            false => assert_eq!(decisions, [(DROPPED_MS, BarrierDecision::Abort(1))]),
        }
    }
}

#[test]
fn dedup_window_counts_from_the_first_execution_whichever_fronts_held_the_entry_since() {
    let mut fake_ledger = FakeLedger::default();
    run_on_front_that_stops(&mut fake_ledger);
    // A front takes the entry over, but its client cancels before an execution is released there.
    let mut second_front = ready_barrier(2);
    add_statement(&mut second_front, 1, ("load", None, Some("d")), None);
    second_front.hold(5_000 * MS, pending(1, 0, 5_000 * MS, 0));
    let requests = second_front.take_requests();
    let outcome = fake_ledger.apply(
        5_000 * MS,
        Owner {
            front: 2,
            incarnation: 1,
        },
        &requests[0],
    );
    second_front.handle_answer(
        5_000 * MS,
        LedgerAnswer {
            number: requests[0].number,
            outcome,
        },
    );
    let takeovers = second_front.take_requests();
    fake_ledger.apply(
        5_000 * MS,
        Owner {
            front: 2,
            incarnation: 1,
        },
        &takeovers[0],
    );
    second_front.cancel(5_001 * MS, 1, 0);
    second_front.end_statement(5_001 * MS, statement_over(1, false, false));
    second_front.handle_answer(
        5_002 * MS,
        LedgerAnswer {
            number: takeovers[0].number,
            outcome: Outcome::Unreachable,
        },
    );
    run_until_idle(&mut second_front, &mut fake_ledger, 6_100 * MS, 2);
    // The client repeats the statement at a third front, and at the second one, after the window has ended.
    for (barrier, front, from) in [
        (&mut ready_barrier(3), 3, DROPPED_MS),
        (&mut second_front, 2, DROPPED_MS + 100),
    ] {
        add_statement(barrier, 2, ("load", None, Some("d")), None);
        barrier.hold(from * MS, pending(2, 0, from * MS, 0));
        let decisions: Vec<BarrierDecision> =
            decisions_between(barrier, &mut fake_ledger, (from, from + 3_000), front)
                .into_iter()
                .map(|(_, decision)| decision)
                .collect();
        assert_eq!(decisions, [BarrierDecision::Abort(2)], "front {front}");
        barrier.end_statement((from + 3_000) * MS, statement_over(2, false, false));
    }
}

#[test]
fn entry_of_an_earlier_build_reads_as_expired_and_that_build_reads_current_entries() {
    let request_id = RequestId {
        started_ms: 7,
        number: 9,
    };
    let earlier = postcard::to_stdvec(&(request_id, EngineGroup::Location(2), 5_000u64)).unwrap();
    let value = EntryValue::read(&earlier).unwrap();
    assert_eq!(
        (
            value.request_id,
            value.runs_until_ms,
            value.dropped_until_ms
        ),
        (request_id, 5_000, 0)
    );
    let later = EntryValue {
        dropped_until_ms: 8_500,
        ..value
    };
    let read: (RequestId, EngineGroup, u64) = postcard::from_bytes(&later.bytes()).unwrap();
    assert_eq!(read, (request_id, EngineGroup::Location(2), 5_000));
    assert_eq!(EntryValue::read(&later.bytes()), Some(later));
    assert_eq!(EntryValue::read(&[1]), None);
}
