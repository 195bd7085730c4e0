//! Unit tests of the `submission` module.

use crate::test_support::{ask, dispatcher, listing};
use crate::{Dispatcher, InvalidRequest, ListScope, Listing, Mode, StatementRequest};

#[test]
fn unknown_names_and_a_missing_dedup_key_are_unfit() {
    let mut d = dispatcher();
    assert_eq!(
        d.submit(0, &ask("unheard", None)),
        Err(InvalidRequest::UnknownWorkload)
    );
    assert_eq!(
        d.submit(
            0,
            &StatementRequest {
                customer: "unheard",
                ..ask("pay", None)
            }
        ),
        Err(InvalidRequest::UnknownCustomer)
    );
    assert_eq!(
        d.submit(
            0,
            &StatementRequest {
                dedup_key: None,
                ..ask("load", None)
            }
        ),
        Err(InvalidRequest::MissingDedupKey)
    );
    assert_eq!(d.statements_held(), 0);
}

#[test]
fn a_statement_with_nowhere_to_go_is_barred_and_unknown_locations_allow_nothing() {
    let mut d = dispatcher();
    d.update_engines(
        ListScope::Full,
        &[
            listing("a", Mode::Ready, None),
            Listing {
                location: "there",
                ..listing("b", Mode::Ready, None)
            },
        ],
    );
    let barred = |d: &mut Dispatcher, names: &[&str], pinned| {
        let asked = StatementRequest {
            allowed_locations: Some(names),
            sticky_engine: pinned,
            ..ask("lookup", None)
        };
        d.submit(0, &asked) == Err(InvalidRequest::NoAllowedLocation)
    };
    assert!(barred(&mut d, &[], None) && barred(&mut d, &["moon"], None));
    // Bound to one of them by its workload, open at an engine of the other.
    assert!(barred(&mut d, &["there"], Some(0)) && !barred(&mut d, &["there"], Some(1)));
    assert!(barred(&mut d, &["moon", "nowhere"], None) && !barred(&mut d, &["moon", "here"], None));
    assert_eq!(d.statements_held(), 2);
}

#[test]
fn what_is_withdrawn_before_it_is_decided_on_is_never_heard_of() {
    let mut d = dispatcher();
    for _ in 0..1000 {
        let ticket = d.submit(0, &ask("load", Some("k"))).unwrap();
        d.client_left(0, ticket);
    }
    assert!(d.events.is_empty() && d.statements_held() == 0);
}
