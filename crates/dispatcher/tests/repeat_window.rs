//! A retry of a deduplicated statement carries the time until which engines recognise it as a
//! repeat, because its connection may be established long after the decision.

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

const DEDUP_WINDOW: Micros = 900_000;

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

fn request(workload: &str) -> StatementRequest<'_> {
    StatementRequest {
        workload,
        dedup_key: Some("u"),
        time_left: 4_000_000,
        ..StatementRequest::default()
    }
}

/// The times until which the commanded executions may be sent.
fn send_times(commands: &[Command]) -> Vec<Micros> {
    let send_time = |command: &Command| match command {
        Command::Send { terms, .. } => Some(terms.send_by),
        _ => None,
    };
    commands.iter().filter_map(send_time).collect()
}

#[test]
fn a_retry_may_be_sent_until_the_dedup_window_of_the_first_execution_that_may_have_run_ends() {
    let mut dispatcher = dispatcher();
    let ticket = dispatcher.submit(1_000_000, &request("load")).unwrap();
    assert_eq!(send_times(&dispatcher.tick(1_000_000)), [Micros::MAX]);
    // The first execution did not run, so that no window has started.
    dispatcher.execution_ended(1_100_000, ticket, 0, Ending::Rejected, None);
    assert_eq!(send_times(&dispatcher.tick(1_100_000)), [Micros::MAX]);
    dispatcher.execution_ended(1_300_000, ticket, 1, Ending::Reset, None);
    assert_eq!(
        send_times(&dispatcher.tick(1_300_000)),
        [1_100_000 + DEDUP_WINDOW]
    );
}

#[test]
fn a_retry_of_an_idempotent_statement_has_no_such_limit() {
    let mut dispatcher = dispatcher();
    let ticket = dispatcher.submit(1_000_000, &request("lookup")).unwrap();
    dispatcher.tick(1_000_000);
    dispatcher.execution_ended(1_100_000, ticket, 0, Ending::Reset, None);
    assert_eq!(send_times(&dispatcher.tick(1_100_000)), [Micros::MAX]);
}
