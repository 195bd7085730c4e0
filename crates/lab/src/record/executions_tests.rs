//! Unit tests of the `executions` module.

use super::*;

#[test]
fn start_and_end_form_one_execution_even_if_the_statement_ran_twice() {
    let event = |at, link, kind| EngineEvent {
        at,
        engine: 3,
        link,
        kind,
    };
    let (began, ended) = (
        |id: &str| EngineEventKind::Began {
            id: id.into(),
            key: "k".into(),
        },
        |id: &str| EngineEventKind::Ended { id: id.into() },
    );
    let kept = EngineEventKind::Kept { id: "a".into() };
    let engine_events = [
        event(1, 1, began("a")),
        event(2, 2, began("a")),
        event(5, 2, ended("a")),
        event(5, 2, kept),
    ];
    let found = executions(&engine_events, &HashMap::from([((3, 1), 0), ((3, 2), 4)]));
    let recorded: Vec<_> = found
        .iter()
        .map(|x| (x.front, x.from, x.to, x.kept))
        .collect();
    assert_eq!(recorded, [(0, 1, i64::MAX, false), (4, 2, 5, true)]);
}
