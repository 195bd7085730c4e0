//! Shared helpers of the unit tests: a dispatcher, an engine list entry and a request.

use crate::{Command, Dispatcher, Listing, Micros, Mode, Protocol, StatementRequest, Ticket};

const SETTINGS: &str = r#"{"instances": 1, "areas": ["here", "there"], "kinds": ["std"],
    "customers": [{"name": "acme", "allowancePerS": 1000}],
    "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true},
    "extra": {"sizeCores": [8], "memoryByKindMb": [16384], "takesPriority": true},
    "requestClasses": [
        {"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"},
        {"name": "load", "aimMs": 1000, "deadlineMs": 5000, "repeat": "by_key", "group": "all",
         "dedupWindowMs": 9000, "inTurn": true},
        {"name": "pay", "aimMs": 1000, "deadlineMs": 5000, "repeat": "once"}],
    "rules": {"turnGapMs": 50}}"#;

pub fn dispatcher() -> Dispatcher {
    Dispatcher::new(&hallmux_config::Settings::parse(SETTINGS).unwrap(), 7)
}

pub fn listing(id: &str, mode: Mode, started: Option<Micros>) -> Listing<'_> {
    let protocols = &[Protocol::Lines];
    Listing {
        id,
        location: "here",
        kind: "std",
        cell: 0,
        mode,
        started,
        protocols,
    }
}

pub fn request<'a>(workload: &'a str, key: Option<&'a str>) -> StatementRequest<'a> {
    StatementRequest {
        workload,
        customer: "acme",
        order_key: key,
        dedup_key: Some("u"),
        time_left: 4_000_000,
        ..StatementRequest::default()
    }
}

pub fn sent_executions(commands: &[Command]) -> Vec<(Ticket, usize)> {
    let send = |command: &Command| match command {
        Command::Send {
            ticket, execution, ..
        } => Some((*ticket, *execution)),
        _ => None,
    };
    commands.iter().filter_map(send).collect()
}
