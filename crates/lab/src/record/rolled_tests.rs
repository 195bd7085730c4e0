//! Unit tests of the `rolled` module.

use super::*;
use crate::engine::{EngineEvent, EngineEventKind};
use crate::record::account::offered;
use crate::rig::member::Shutdown;

const TERMS: Terms = Terms {
    max_wait: 500_000,
    max_shutdown: 3_000_000,
};

fn account(began: i64, outcome: Outcome, end: Shutdown) -> Account {
    let mut own = offered("b", 1, 1_000_000);
    (own.asked.key, own.asked.outcome, own.asked.answered) = ("k".into(), outcome, began + 100_000);
    let event = |at, id: &str, link, ends| {
        let id = id.to_string();
        let kind = if ends {
            EngineEventKind::Ended { id }
        } else {
            EngineEventKind::Began {
                id,
                key: "k".into(),
            }
        };
        EngineEvent {
            at,
            engine: 0,
            link,
            kind,
        }
    };
    let engine_events = vec![
        event(900_000, "a", 1, false),
        event(1_200_000, "a", 1, true),
        event(began, "b", 2, false),
        event(began + 50_000, "b", 2, true),
    ];
    let sent_by = HashMap::from([((0, 1), 0), ((0, 2), 1)]);
    Account {
        asked: vec![own],
        engine_events,
        sent_by,
        shutdowns: vec![end],
        ..Account::default()
    }
}

fn found(account: &Account) -> (Vec<&'static str>, Tallies) {
    let (mut wrong, mut tallies) = (Violations::new(), Tallies::new());
    check(&mut wrong, account, TERMS, &mut tallies);
    (wrong.into_keys().collect(), tallies)
}

#[test]
fn a_rejection_a_loss_and_a_long_wait_during_shutdowns_are_reported() {
    let well = Shutdown {
        front: 1,
        asked: 1_100_000,
        exited: 2_000_000,
        succeeded: true,
    };
    let done = || Outcome::Completed { rows: 1 };
    let (rules, tallies) = found(&account(1_700_000, done(), well.clone()));
    assert!(rules.is_empty(), "{rules:?}");
    assert_eq!(
        (
            tallies["wait_most_ms"],
            tallies["ends_with_promises_out"],
            tallies["ends"]
        ),
        (500, 1, 1)
    );
    assert_eq!(
        found(&account(1_700_001, done(), well.clone())).0,
        ["long_wait"]
    );
    let refused = Outcome::Error("53000".into());
    assert_eq!(
        found(&account(1_300_000, refused, well.clone())).0,
        ["refused_by_a_roll"]
    );
    let aborted = Outcome::Error("08007".into());
    assert_eq!(
        found(&account(1_300_000, aborted, well.clone())).0,
        ["aborted_by_a_roll"]
    );
    assert_eq!(
        found(&account(1_300_000, Outcome::Lost, well.clone())).0,
        ["unanswered_by_a_roll"]
    );
    // A front without a CPU is excused; a shutdown with an error, or one that takes too long, is
    // not.
    let mut busy = account(1_700_001, Outcome::Lost, well.clone());
    busy.starved = crate::record::starved::Starved::of(0, (1_000_000, 1_300_000), 250_000);
    assert!(found(&busy).0.is_empty());
    for end in [
        Shutdown {
            succeeded: false,
            ..well.clone()
        },
        Shutdown {
            exited: 4_100_001,
            ..well
        },
    ] {
        assert_eq!(found(&account(1_300_000, done(), end)).0, ["end"]);
    }
}
