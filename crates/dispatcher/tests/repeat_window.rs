//! A further attempt of a deduplicated statement carries the time until which engines drop it as a repeat: its
//! connection may come up long after the decision.

use hallmux_dispatcher::{
    Command, Dispatcher, Ending, ListScope, Listing, Micros, Mode, Protocol, StatementRequest,
};

const SETTINGS: &str = r#"{"instances": 1, "areas": ["here"], "kinds": ["std"],
    "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true},
    "extra": {"sizeCores": [8], "memoryByKindMb": [16384], "takesPriority": true},
    "requestClasses": [
        {"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"},
        {"name": "load", "aimMs": 1000, "deadlineMs": 5000, "repeat": "by_key", "group": "all",
         "dedupWindowMs": 900}],
    "rules": {}}"#;

const WINDOW: Micros = 900_000;

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(&hallmux_config::Settings::parse(SETTINGS).unwrap(), 7);
    let engine = |id| Listing {
        id,
        location: "here",
        kind: "std",
        cell: 0,
        mode: Mode::Ready,
        started: None,
        protocols: &[Protocol::Lines],
    };
    dispatcher.update_engines(ListScope::Full, &[engine("a"), engine("b"), engine("c")]);
    dispatcher
}

fn ask(workload: &str) -> StatementRequest<'_> {
    StatementRequest {
        workload,
        dedup_key: Some("u"),
        time_left: 4_000_000,
        ..StatementRequest::default()
    }
}

/// Until when the attempts that were ordered may leave.
fn send_by(orders: &[Command]) -> Vec<Micros> {
    let send_by = |order: &Command| match order {
        Command::Send { terms, .. } => Some(terms.send_by),
        _ => None,
    };
    orders.iter().filter_map(send_by).collect()
}

#[test]
fn a_repeat_may_leave_until_the_window_of_the_first_attempt_that_may_have_run_is_over() {
    let mut d = dispatcher();
    let ticket = d.submit(1_000_000, &ask("load")).unwrap();
    assert_eq!(send_by(&d.tick(1_000_000)), [Micros::MAX]);
    // The first surely never ran: no window has begun.
    d.execution_ended(1_100_000, ticket, 0, Ending::Rejected, None);
    assert_eq!(send_by(&d.tick(1_100_000)), [Micros::MAX]);
    d.execution_ended(1_300_000, ticket, 1, Ending::Reset, None);
    assert_eq!(send_by(&d.tick(1_300_000)), [1_100_000 + WINDOW]);
}

#[test]
fn what_may_run_twice_has_no_such_time() {
    let mut d = dispatcher();
    let ticket = d.submit(1_000_000, &ask("lookup")).unwrap();
    d.tick(1_000_000);
    d.execution_ended(1_100_000, ticket, 0, Ending::Reset, None);
    assert_eq!(send_by(&d.tick(1_100_000)), [Micros::MAX]);
}
