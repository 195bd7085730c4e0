//! Unit tests of the `marker_requests` module.

use super::*;

fn load(marker: &mut MarkerRequests, ticket: u64) {
    marker.add_load(
        (ticket, 0),
        "ash",
        50,
        BTreeMap::from([(17, Affected::Anything)]),
    );
}

fn asks(marker: &mut MarkerRequests) -> Vec<LedgerRequest> {
    marker.requests(0, |_, _| ReportedLoads::default()).0
}

#[test]
fn a_load_leaves_once_its_mark_stands_and_takes_its_turn_behind_other_fronts() {
    let mut marker = MarkerRequests::new(100);
    load(&mut marker, 1);
    let [ask] = &asks(&mut marker)[..] else {
        panic!()
    };
    assert!(matches!(
        ask.operation,
        Operation::Put {
            expected_version: 0,
            ..
        }
    ));
    // One change of a group at a time; what comes meanwhile waits for the next.
    load(&mut marker, 2);
    assert_eq!(asks(&mut marker), []);
    let mut others = LoadMarkers::default();
    others.add("ash", 60, Affected::Anything);
    let held = LedgerReply::Conflict {
        version: 7,
        value: others.bytes().unwrap(),
    };
    assert_eq!(marker.on_reply(ask.number, held), []);
    let [ask] = &asks(&mut marker)[..] else {
        panic!()
    };
    let Operation::Put {
        expected_version: 7,
        value,
    } = &ask.operation
    else {
        panic!("{ask:?}")
    };
    assert_eq!(LoadMarkers::read(value).unwrap().len(), 3);
    let follows = marker.on_reply(
        ask.number,
        LedgerReply::Entry {
            version: 8,
            value: value.clone(),
        },
    );
    let go = |ticket, number| Effect::Send {
        load: (ticket, 0),
        numbers: vec![(17, number)],
    };
    assert_eq!(follows, [go(1, 2), go(2, 3)]);
    assert!(marker.is_idle());
}

#[test]
fn without_an_answer_a_load_never_leaves_and_a_scatter_has_no_word() {
    let mut marker = MarkerRequests::new(0);
    load(&mut marker, 1);
    marker.await_markers(9, 17);
    let asked = asks(&mut marker);
    let follows: Vec<Effect> = asked
        .iter()
        .flat_map(|a| marker.on_reply(a.number, LedgerReply::Unreachable))
        .collect();
    let none = Effect::Markers {
        group: 17,
        scatters: vec![9],
        markers: None,
    };
    assert_eq!(follows, [none, Effect::Reject { load: (1, 0) }]);
    // One that was stopped meanwhile goes nowhere.
    load(&mut marker, 2);
    let asked = asks(&mut marker);
    assert!(marker.cancel((2, 0)) && !marker.cancel((2, 0)));
    assert_eq!(
        marker.on_reply(
            asked[0].number,
            LedgerReply::Entry {
                version: 1,
                value: vec![]
            }
        ),
        []
    );
}

#[test]
fn a_scatter_has_a_word_that_was_asked_for_after_it_came() {
    let mut marker = MarkerRequests::new(0);
    marker.await_markers(1, 17);
    let first = asks(&mut marker);
    marker.await_markers(2, 17);
    assert_eq!(asks(&mut marker), []);
    let word = Effect::Markers {
        group: 17,
        scatters: vec![1],
        markers: Some(LoadMarkers::default()),
    };
    assert_eq!(
        marker.on_reply(first[0].number, LedgerReply::Absent),
        [word]
    );
    assert_eq!(asks(&mut marker).len(), 1);
    let damaged = LedgerReply::Entry {
        version: 1,
        value: vec![9; 3],
    };
    assert_eq!(
        marker.on_reply(1, damaged),
        [Effect::Markers {
            group: 17,
            scatters: vec![2],
            markers: None
        }]
    );
}
