//! A violation names everything that the rig saw of its statement.

use std::collections::HashMap;

use super::account::{offered, Account};
use super::judge::judge;
use crate::engine::{EngineEvent, EngineEventKind, WireEvent, WireEventKind};
use crate::rig::scenario::Scenario;

pub const TEXT: &str = "seconds = 1\n[fleet]\nfronts = 4\nzones = 1\nengines_per_zone = 3\n\
    [load]\nper_second = 1\nwork_ms = 100\ntimeout_ms = 1000\n\
    [engine]\nslots = 8\ncold_slots = 8\n";

pub fn line(at: i64, (engine, port): (usize, u16), (verb, id): (&str, &str)) -> WireEvent {
    let kind = WireEventKind::Line {
        verb: verb.into(),
        id: id.into(),
        passed: true,
    };
    WireEvent {
        at,
        front: 3,
        engine,
        port,
        kind,
    }
}

/// A statement sent to engine 1, cancelled by closing the connection, and sent to engine 2 before
/// engine 1 has read the close.
pub fn account() -> Account {
    let event = |at, engine, link, kind| EngineEvent {
        at,
        engine,
        link,
        kind,
    };
    let (began, ended, kept) = (
        || EngineEventKind::Began {
            id: "s7".into(),
            key: String::new(),
        },
        || EngineEventKind::Ended { id: "s7".into() },
        || EngineEventKind::Kept { id: "s7".into() },
    );
    let mut own = offered("s7", 3, 1_000);
    own.asked.answered = 160_000;
    let closed = WireEvent {
        at: 41_000,
        front: 3,
        engine: 1,
        port: 501,
        kind: WireEventKind::FrontClosed,
    };
    Account {
        asked: vec![own],
        engine_events: vec![
            event(3_000, 1, 10, began()),
            event(40_000, 2, 11, began()),
            event(45_000, 1, 10, ended()),
            event(140_000, 2, 11, ended()),
            event(140_000, 2, 11, kept()),
        ],
        sent_by: HashMap::from([((1, 10), 3), ((2, 11), 3)]),
        arrivals: HashMap::from([
            ((1, 10), (501, "0007".into())),
            ((2, 11), (502, "0007".into())),
        ]),
        wire_events: vec![
            line(2_000, (1, 501), ("want", "0007")),
            line(2_500, (1, 501), ("want", "0008")),
            line(39_000, (2, 502), ("want", "0007")),
            closed,
            line(150_000, (2, 502), ("ACK", "0007")),
            // The close of another connection, and a close of the same connection long after.
            WireEvent {
                at: 60_000,
                front: 3,
                engine: 1,
                port: 509,
                kind: WireEventKind::FrontClosed,
            },
            WireEvent {
                at: 9_000_000,
                front: 3,
                engine: 2,
                port: 502,
                kind: WireEventKind::FrontClosed,
            },
        ],
        warned: vec![
            (3, 27_000, "f3 warn: engine e1: a line of 5 words".into()),
            (2, 27_000, "f2 warn: of another front".into()),
            (3, 8_000_000, "f3 warn: long after".into()),
        ],
        slack: 400_000,
        ..Account::default()
    }
}

#[test]
fn a_statement_that_ran_twice_at_once_is_reported_with_its_history_in_order_of_time() {
    let scenario = Scenario::parse(TEXT, false, None).unwrap();
    let run = judge(&scenario, &account(), Vec::new());
    let rules: Vec<_> = run
        .violations
        .iter()
        .map(|(rule, found)| (*rule, found.len()))
        .collect();
    assert_eq!(
        rules,
        [("repeats", 1)],
        "the history neither adds nor removes a violation"
    );
    let expected = "s7 at front 3: ran twice at once [\
        0.000 ms asked of front 3, Idempotent, 1000 ms; \
        1.000 ms relay 501 between front 3 and engine 1: want; \
        2.000 ms engine 1 run 10 over 501: began; \
        26.000 ms front 3 logged: f3 warn: engine e1: a line of 5 words; \
        38.000 ms relay 502 between front 3 and engine 2: want; \
        39.000 ms engine 2 run 11 over 502: began; \
        40.000 ms relay 501 between front 3 and engine 1: closed by the front; \
        44.000 ms engine 1 run 10 over 501: ended; \
        139.000 ms engine 2 run 11 over 502: ended; \
        139.000 ms engine 2 run 11 over 502: lasting; \
        149.000 ms relay 502 between front 3 and engine 2: ACK; \
        159.000 ms front 3 answered Completed { rows: 1 }]";
    assert_eq!(run.violations["repeats"], [expected]);
}

#[test]
fn a_message_dropped_by_the_relay_is_reported_as_lost() {
    let mut account = account();
    let WireEventKind::Line { passed, .. } = &mut account.wire_events[0].kind else {
        panic!()
    };
    *passed = false;
    let scenario = Scenario::parse(TEXT, false, None).unwrap();
    let run = judge(&scenario, &account, Vec::new());
    assert!(
        run.violations["repeats"][0].contains("engine 1: want, lost on the way; "),
        "{:?}",
        run.violations
    );
}
