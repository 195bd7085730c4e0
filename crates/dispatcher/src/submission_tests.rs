//! Unit tests of the `submission` module.

use crate::test_support::{dispatcher, listing, request};
use crate::{Dispatcher, InvalidRequest, ListScope, Listing, Mode, StatementRequest};

#[test]
fn unknown_names_and_a_missing_dedup_key_are_invalid() {
    let mut dispatcher = dispatcher();
    assert_eq!(
        dispatcher.submit(0, &request("unknown", None)),
        Err(InvalidRequest::UnknownWorkload)
    );
    assert_eq!(
        dispatcher.submit(
            0,
            &StatementRequest {
                customer: "unknown",
                ..request("pay", None)
            }
        ),
        Err(InvalidRequest::UnknownCustomer)
    );
    assert_eq!(
        dispatcher.submit(
            0,
            &StatementRequest {
                dedup_key: None,
                ..request("load", None)
            }
        ),
        Err(InvalidRequest::MissingDedupKey)
    );
    assert_eq!(dispatcher.statements_held(), 0);
}

#[test]
fn a_statement_without_an_allowed_location_is_invalid_and_unknown_locations_allow_nothing() {
    let mut dispatcher = dispatcher();
    dispatcher.update_engines(
        ListScope::Full,
        &[
            listing("a", Mode::Ready, None),
            Listing {
                location: "there",
                ..listing("b", Mode::Ready, None)
            },
        ],
    );
    let is_disallowed = |dispatcher: &mut Dispatcher, names: &[&str], engine| {
        let restricted = StatementRequest {
            allowed_locations: Some(names),
            sticky_engine: engine,
            ..request("lookup", None)
        };
        dispatcher.submit(0, &restricted) == Err(InvalidRequest::NoAllowedLocation)
    };
    assert!(
        is_disallowed(&mut dispatcher, &[], None)
            && is_disallowed(&mut dispatcher, &["moon"], None)
    );
    // Only `there` is allowed, but the transaction is open at an engine in `here`.
    assert!(
        is_disallowed(&mut dispatcher, &["there"], Some(0))
            && !is_disallowed(&mut dispatcher, &["there"], Some(1))
    );
    assert!(
        is_disallowed(&mut dispatcher, &["moon", "nowhere"], None)
            && !is_disallowed(&mut dispatcher, &["moon", "here"], None)
    );
    assert_eq!(dispatcher.statements_held(), 2);
}

#[test]
fn a_statement_withdrawn_before_a_decision_leaves_no_event() {
    let mut dispatcher = dispatcher();
    for _ in 0..1000 {
        let ticket = dispatcher.submit(0, &request("load", Some("k"))).unwrap();
        dispatcher.client_left(0, ticket);
    }
    assert!(dispatcher.events.is_empty() && dispatcher.statements_held() == 0);
}
