//! Unit tests of the `check` module.

use std::collections::HashSet;

use super::*;

fn asked(id: &str, outcome: Outcome) -> StatementRecord {
    let sent = StatementRecord::new(id.into(), 0, 1_000_000, Repeat::Idempotent);
    StatementRecord {
        answered: 1000,
        outcome,
        rows: 1,
        ..sent
    }
}

fn ran(id: &str, key: &str, engine: usize, from: i64, to: i64) -> Vec<EngineEvent> {
    let event = |at, kind| EngineEvent {
        at,
        engine,
        link: from as u32,
        kind,
    };
    vec![
        event(
            from,
            EngineEventKind::Began {
                id: id.into(),
                key: key.into(),
            },
        ),
        event(to, EngineEventKind::Ended { id: id.into() }),
        event(to, EngineEventKind::Kept { id: id.into() }),
    ]
}

fn agreed() -> Agreement {
    Agreement {
        grace: 2_000_000,
        slack: 100_000,
        processor_waits: ProcessorWaits::default(),
        bound_to: HashSet::from([1]),
        retry_budget: Some((1.0, 0.1, 10_000_000)),
        drains: vec![Drain {
            engine: 2,
            from: 0,
            to: 9_000_000,
        }],
    }
}

fn found(
    asked: &[StatementRecord],
    transactions: &[Transaction],
    engine_events: &[Vec<EngineEvent>],
) -> Vec<&'static str> {
    let mut engine_events = engine_events.concat();
    engine_events.sort_by_key(|d| d.at);
    check(asked, transactions, &engine_events, &agreed())
        .into_keys()
        .collect()
}

const DONE: Outcome = Outcome::Completed { rows: 1 };

fn error(code: &str) -> Outcome {
    Outcome::Error(code.into())
}

#[test]
fn a_clean_record_passes() {
    let all = [
        asked("a", DONE),
        StatementRecord {
            expected_error: Some("23505"),
            ..asked("b", error("23505"))
        },
    ];
    assert!(found(
        &all,
        &[],
        &[ran("a", "k", 0, 0, 10), ran("c", "k", 1, 20, 30)]
    )
    .is_empty());
}

#[test]
fn each_kind_of_violation_is_found() {
    let one = ran("a", "", 0, 0, 10);
    let with = |change: &dyn Fn(&mut StatementRecord), outcome: Outcome| {
        let mut a = asked("a", outcome);
        change(&mut a);
        vec![a]
    };
    let plain = |outcome| with(&|_| {}, outcome);
    for (all, engine_events, rule) in [
        (plain(Outcome::Nothing), vec![], "answers"),
        (plain(Outcome::Lost), vec![], "answers"),
        (plain(Outcome::Spoilt), vec![], "answers"),
        (
            plain(Outcome::Completed { rows: 2 }),
            vec![one.clone()],
            "answers",
        ),
        (plain(error("XX000")), vec![], "answers"),
        (
            with(&|a| a.answered = 2_000_000, DONE),
            vec![one.clone()],
            "answers",
        ),
        (
            [plain(DONE), plain(DONE)].concat(),
            vec![one.clone()],
            "answers",
        ),
        (plain(error("57014")), vec![], "cancels"),
        (plain(DONE), vec![], "effects"),
        (
            with(&|a| a.repeat = Repeat::NonIdempotent, error("53000")),
            vec![one.clone()],
            "effects",
        ),
        (
            with(&|a| a.repeat = Repeat::NonIdempotent, DONE),
            vec![one.clone(), ran("a", "", 0, 20, 30)],
            "repeats",
        ),
        (
            plain(DONE),
            vec![one.clone(), ran("a", "", 1, 5, 30)],
            "repeats",
        ),
        (
            with(&|a| a.bound = true, DONE),
            vec![one.clone()],
            "placement",
        ),
        (
            plain(DONE),
            vec![ran("a", "", 2, 3_000_000, 3_000_001)],
            "drains",
        ),
        (
            plain(DONE),
            vec![ran("a", "k", 0, 0, 10), ran("b", "k", 1, 5, 30)],
            "order",
        ),
    ] {
        assert_eq!(found(&all, &[], &engine_events), [rule], "{all:?}");
    }
}

#[test]
fn a_late_answer_is_excused_only_by_cpu_waits_after_it_was_due() {
    let ends = 1_100_000; // the timeout and the slack
    let samples = vec![
        (0, 0),
        (900_000, 400_000),
        (1_000_000, 400_000),
        (1_050_000, 433_000),
        (2_900_000, 433_000),
        (4_000_000, 9_000_000),
    ];
    for (sent, takes, late) in [
        (0, ends, false),
        (0, ends + 33_000, false),
        (0, ends + 33_001, true),
        // Waiting before the answer was due is no excuse, and no more than a second excuses any
        // answer.
        (100_000, ends + 1, true),
        (2_000_000, ends + 1_000_000, false),
        (2_000_000, ends + 1_000_001, true),
    ] {
        let asked = StatementRecord {
            sent,
            answered: sent + takes,
            ..asked("a", DONE)
        };
        let agreed = Agreement {
            processor_waits: ProcessorWaits {
                samples: samples.clone(),
            },
            ..agreed()
        };
        let wrong = check(&[asked], &[], &ran("a", "", 0, sent, sent + 10), &agreed);
        assert_eq!(
            wrong.contains_key("answers"),
            late,
            "{sent} {takes}: {wrong:?}"
        );
    }
}

#[test]
fn order_budget_and_transactions_are_checked_over_several_statements() {
    // A statement that may have been accepted after another was sent may run after it; one between
    // makes no difference.
    let late = || StatementRecord {
        sent: 500_000,
        answered: 600_000,
        ..asked("b", DONE)
    };
    let between = ran("c", "k", 0, 521_000, 522_000);
    let engine_events = [
        ran("b", "k", 0, 510_000, 520_000),
        between,
        ran("a", "k", 0, 530_000, 540_000),
    ];
    for (accepted_at, wrong) in [(Some(499_999), true), (Some(500_000), false), (None, false)] {
        let early = StatementRecord {
            answered: 600_000,
            accepted_at,
            ..asked("a", DONE)
        };
        assert_eq!(
            !found(&[early, late()], &[], &engine_events).is_empty(),
            wrong,
            "{accepted_at:?}"
        );
    }
    let again: Vec<Vec<EngineEvent>> = (0..5)
        .map(|n| ran("a", "", 0, n * 100, n * 100 + 10))
        .collect();
    assert_eq!(found(&[asked("a", DONE)], &[], &again), ["budget"]);
    for (commit, kept, wrong) in [
        (Some(DONE), 2, false),
        (Some(DONE), 1, true),
        (Some(error("08007")), 2, false),
        (Some(error("08007")), 1, true),
        (Some(error("40001")), 1, true),
        (None, 1, true),
        (None, 0, false),
    ] {
        let t = Transaction {
            statements: vec!["x".into(), "y".into()],
            commit,
        };
        let engine_events: Vec<Vec<EngineEvent>> = ["x", "y"][..kept]
            .iter()
            .map(|id| ran(id, "", 0, 0, 1))
            .collect();
        assert_eq!(
            !found(&[], std::slice::from_ref(&t), &engine_events).is_empty(),
            wrong,
            "{t:?} {kept}"
        );
    }
}
