//! Two runs at once are no violation if the first was cancelled before the second was sent; all
//! others are reported.

use super::account::Account;
use super::attempts_tests::{account, line, TEXT};
use super::judge::judge;
use crate::check::Repeat;
use crate::engine::{WireEvent, WireEventKind};
use crate::record::starved::Starved;
use crate::rig::scenario::Scenario;

fn broken(change: impl FnOnce(&mut Account)) -> bool {
    let mut account = account();
    // Engine 1 records the end of the cancelled run a second late; the next is sent at 39 ms and
    // starts at 40 ms.
    account.engine_events[2].at = 1_040_000;
    account.engine_events.sort_by_key(|event| event.at);
    account.wire_events[3].at = 30_000;
    change(&mut account);
    let run = judge(
        &Scenario::parse(TEXT, false, None).unwrap(),
        &account,
        Vec::new(),
    );
    run.violations.contains_key("repeats")
}

fn starved(account: &mut Account) {
    account.starved = Starved::of_rig((20_000, 45_000), 25_000);
}

#[test]
fn an_attempt_cancelled_before_the_next_is_no_longer_in_flight() {
    assert!(!broken(|_| {}), "its connection was closed");
    assert!(!broken(
        |a| a.wire_events[3] = line(30_000, (1, 501), ("never_mind", "0007"))
    ));
}

#[test]
fn an_attempt_not_cancelled_in_time_is_reported_even_on_a_starved_rig() {
    assert!(
        broken(|a| _ = a.wire_events.remove(3)),
        "nothing was cancelled"
    );
    assert!(broken(|a| (_ = a.wire_events.remove(3), starved(a)).1));
    assert!(
        broken(|a| (a.wire_events[3].at = 39_001, starved(a)).1),
        "after the next was sent"
    );
    assert!(
        broken(|a| a.wire_events[3] = line(30_000, (1, 501), ("never_mind", "0008"))),
        "the cancellation of another statement"
    );
    assert!(
        broken(|a| a.wire_events[3].port = 509),
        "on another connection"
    );
    let lost = WireEventKind::Line {
        verb: "never_mind".into(),
        id: "0007".into(),
        passed: false,
    };
    assert!(
        broken(|a| a.wire_events[3].kind = lost),
        "the cancellation did not reach its engine"
    );
    let closed = |at| WireEvent {
        at,
        front: 3,
        engine: 1,
        port: 501,
        kind: WireEventKind::EngineClosed,
    };
    assert!(
        broken(|a| a.wire_events.insert(0, closed(29_000))),
        "the front only lost its connection"
    );
    assert!(
        broken(|a| a.asked[0].asked.repeat = Repeat::Deduplicated),
        "a deduplicated statement may not be repeated anywhere"
    );
}

#[test]
fn an_immediate_next_attempt_is_excused_only_by_a_starved_rig() {
    assert!(broken(|a| a.wire_events[3].at = 38_000));
    assert!(!broken(|a| (a.wire_events[3].at = 38_000, starved(a)).1));
    let long_before =
        |a: &mut Account| a.starved = Starved::of_rig((-3_000_000, -2_000_000), 25_000);
    assert!(broken(|a| (a.wire_events[3].at = 38_000, long_before(a)).1));
}

#[test]
fn an_attempt_cancelled_before_its_engine_read_it_was_never_in_flight() {
    // The relay reads the statement and its cancellation together, when the next attempt already
    // runs elsewhere.
    let stuck = |a: &mut Account| {
        let run = |event: &&mut crate::engine::EngineEvent| event.link == 10;
        a.engine_events
            .iter_mut()
            .filter(run)
            .zip([50_000, 50_100])
            .for_each(|(event, at)| event.at = at);
        a.engine_events.sort_by_key(|event| event.at);
        a.wire_events[0].at = 41_500;
        a.wire_events[3].at = 41_600;
    };
    assert!(!broken(|a| (stuck(a), starved(a)).1));
    assert!(broken(stuck), "no process waited for a CPU");
    assert!(
        broken(|a| (stuck(a), starved(a), _ = a.wire_events.remove(3)).2),
        "nothing was cancelled"
    );
    assert!(
        broken(|a| (stuck(a), starved(a), a.wire_events[3].at = 50_050).2),
        "cancelled only after it started"
    );
}
