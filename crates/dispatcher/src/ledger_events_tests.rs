//! Unit tests of the `ledger_events` module.

use crate::test_support::{ask, dispatcher, listing, sent};
use crate::{Command, Ending, LedgerEvent, ListScope, Mode, StatementFinished};

#[test]
fn what_is_held_here_says_nothing_of_its_engine_and_is_no_silence() {
    let mut d = dispatcher();
    d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let ticket = d.submit(0, &ask("load", Some("k"))).unwrap();
    assert_eq!(sent(&d.tick(0)), [(ticket, 0)]);
    let mut now = 0;
    while now < 3_000_000 {
        d.execution_held(now, ticket, 0);
        now += 100_000;
        assert_eq!(
            (d.tick(now), d.observations(now).len()),
            (vec![], 0),
            "{now}"
        );
    }
    d.execution_sent(now, ticket, 0);
    d.tick(now);
    assert!(d.observations(now + 900_000).is_empty());
    let silent: Vec<_> = d
        .observations(now + 999_000 + 1_000)
        .iter()
        .map(|s| s.silent)
        .collect();
    assert_eq!(silent, [1_000_000]);
    assert!(d.execution_ended(now + 1_000_000, ticket, 0, Ending::Answered, None));
    assert_eq!(d.engines[0].held, 0);
}

#[test]
fn what_is_turned_away_ends_at_once_and_comes_back_spread() {
    let mut d = dispatcher();
    d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    d.enable_ledger_events();
    let mut came_back = Vec::new();
    for n in 0..4 {
        let ticket = d.submit(n, &ask("load", None)).unwrap();
        assert!(
            matches!(&d.ledger_events()[..], [LedgerEvent::Arrived(t)] if t.ticket == ticket && t.key.is_none())
        );
        assert_eq!(sent(&d.tick(n)), [(ticket, 0)]);
        d.execution_held(n, ticket, 0);
        came_back.extend(d.reject(n, ticket));
        assert_eq!(d.reject(n, ticket), None);
        assert_eq!(
            d.ledger_events(),
            [LedgerEvent::Finished(StatementFinished {
                ticket,
                may_have_run: false,
                may_still_run: false
            })]
        );
        assert_eq!(
            (d.tick(n), d.statements_held(), d.engines[0].held),
            (vec![], 0, 0)
        );
    }
    came_back.sort();
    came_back.dedup();
    assert!(
        came_back.len() == 4 && came_back.iter().all(|t| (500_000..1_000_000).contains(t)),
        "{came_back:?}"
    );
}

#[test]
fn gone_tells_what_may_have_run_and_what_may_be_running_on() {
    for (ending, may_have_run, may_still_run) in [
        (Ending::Answered, true, false),
        (Ending::Withdrawn, false, false),
        (Ending::EngineFailed, true, false),
        (Ending::GivenUp, true, true),
    ] {
        let mut d = dispatcher();
        d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
        d.enable_ledger_events();
        let ticket = d.submit(0, &ask("load", Some("k"))).unwrap();
        d.submit(0, &ask("lookup", Some("k"))).unwrap();
        assert_eq!(d.ledger_events().len(), 1);
        d.tick(0);
        d.client_left(1, ticket);
        let stop = Command::Cancel {
            ticket,
            execution: 0,
            ending: Ending::GivenUp,
        };
        assert_eq!((d.ledger_events(), d.tick(1)), (vec![], vec![stop]));
        d.execution_ended(2, ticket, 0, ending, None);
        assert_eq!(
            d.ledger_events(),
            [LedgerEvent::Finished(StatementFinished {
                ticket,
                may_have_run,
                may_still_run
            })],
            "{ending:?}"
        );
    }
}
