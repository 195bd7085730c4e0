//! The dedup window over several fronts: engines drop a repeat for so long from the first execution on, so a front
//! that has the entry of another's execution lets a repeat leave within that time or never.

use super::super::requirements::{EngineGroup, EntryValue, RequestId};
use super::*;

/// Milliseconds from the first execution until engines may have forgotten it, by the slowest clock.
const DROPPED_MS: i64 = 9_000 - APART_MS as i64;

/// A front that has sent a load under dedup key "d" at time 0 and says nothing more.
fn died_front(book: &mut Book) {
    let mut gate = gate(1);
    open(&mut gate, 1, ("load", None, Some("d")), None);
    gate.hold(0, pending(1, 0, 0, 0));
    assert_eq!(
        settle(&mut gate, book, 0, 1),
        [BarrierDecision::Release(pending(1, 0, 0, 0))]
    );
}

/// All that a front rules from `from` to `to`, in milliseconds, and when.
fn ruled(
    gate: &mut LedgerBarrier,
    book: &mut Book,
    (from, to): (i64, i64),
    front: u64,
) -> Vec<(i64, BarrierDecision)> {
    let at = |ms: i64| {
        settle(gate, book, ms * MS, front)
            .into_iter()
            .map(move |ruling| (ms, ruling))
    };
    (from..to).flat_map(at).collect()
}

#[test]
fn a_repeat_that_waits_for_its_order_key_leaves_while_engines_drop_it_or_never() {
    for (freed_ms, leaves) in [(DROPPED_MS - 500, true), (DROPPED_MS + 100, false)] {
        let mut book = Book::default();
        died_front(&mut book);
        let (mut keyed, mut other) = (gate(2), gate(3));
        open(&mut keyed, 1, ("lookup", Some("k"), None), None);
        keyed.hold(5_000 * MS, pending(1, 0, 5_000 * MS, 0));
        assert_eq!(settle(&mut keyed, &mut book, 5_000 * MS, 2).len(), 1);
        let asked = pending(1, 0, 5_500 * MS, 0);
        open(&mut other, 1, ("load", Some("k"), Some("d")), None);
        other.hold(5_500 * MS, asked);
        let mut all = ruled(&mut other, &mut book, (5_500, freed_ms), 3);
        keyed.end_statement(freed_ms * MS, over(1, true, false));
        settle(&mut keyed, &mut book, freed_ms * MS, 2);
        all.extend(ruled(&mut other, &mut book, (freed_ms, 9_400), 3));
        match leaves {
            true => assert!(
                matches!(all[..], [(_, BarrierDecision::Release(held))] if held == asked),
                "{all:?}"
            ),
            false => assert_eq!(all, [(DROPPED_MS, BarrierDecision::Abort(1))]),
        }
    }
}

#[test]
fn the_window_counts_from_the_first_execution_whichever_fronts_had_the_entry_since() {
    let mut book = Book::default();
    died_front(&mut book);
    // A front takes the entry over, and its client leaves before anything has left there.
    let mut between = gate(2);
    open(&mut between, 1, ("load", None, Some("d")), None);
    between.hold(5_000 * MS, pending(1, 0, 5_000 * MS, 0));
    let asks = between.take_requests();
    let outcome = book.apply(
        5_000 * MS,
        Owner {
            front: 2,
            incarnation: 1,
        },
        &asks[0],
    );
    between.handle_answer(
        5_000 * MS,
        LedgerAnswer {
            number: asks[0].number,
            outcome,
        },
    );
    let takes = between.take_requests();
    book.apply(
        5_000 * MS,
        Owner {
            front: 2,
            incarnation: 1,
        },
        &takes[0],
    );
    between.cancel(5_001 * MS, 1, 0);
    between.end_statement(5_001 * MS, over(1, false, false));
    between.handle_answer(
        5_002 * MS,
        LedgerAnswer {
            number: takes[0].number,
            outcome: Outcome::Unreachable,
        },
    );
    settle(&mut between, &mut book, 6_100 * MS, 2);
    // A third one, and the one between itself, are asked again once engines may have forgotten.
    for (gate, front, from) in [
        (&mut gate(3), 3, DROPPED_MS),
        (&mut between, 2, DROPPED_MS + 100),
    ] {
        open(gate, 2, ("load", None, Some("d")), None);
        gate.hold(from * MS, pending(2, 0, from * MS, 0));
        let ruled: Vec<BarrierDecision> = ruled(gate, &mut book, (from, from + 3_000), front)
            .into_iter()
            .map(|(_, r)| r)
            .collect();
        assert_eq!(ruled, [BarrierDecision::Abort(2)], "front {front}");
        gate.end_statement((from + 3_000) * MS, over(2, false, false));
    }
}

#[test]
fn an_entry_of_an_earlier_build_counts_as_forgotten_and_it_reads_the_later_ones() {
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
