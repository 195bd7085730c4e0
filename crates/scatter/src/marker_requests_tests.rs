//! Unit tests of the `marker_requests` module.

use super::*;

fn load(requests: &mut MarkerRequests, ticket: u64) {
    requests.add_load(
        (ticket, 0),
        "ash",
        50,
        BTreeMap::from([(17, Affected::Anything)]),
    );
}

fn ledger_requests(requests: &mut MarkerRequests) -> Vec<LedgerRequest> {
    requests.requests(0, |_, _| ReportedLoads::default()).0
}

#[test]
fn a_load_is_sent_once_its_marker_is_replicated_after_those_of_other_fronts() {
    let mut requests = MarkerRequests::new(100);
    load(&mut requests, 1);
    let [request] = &ledger_requests(&mut requests)[..] else {
        panic!()
    };
    assert!(matches!(
        request.operation,
        Operation::Put {
            expected_version: 0,
            ..
        }
    ));
    // A group has one change in progress; loads that arrive meanwhile wait for the next one.
    load(&mut requests, 2);
    assert_eq!(ledger_requests(&mut requests), []);
    let mut peer_markers = LoadMarkers::default();
    peer_markers.add("ash", 60, Affected::Anything);
    let held = LedgerReply::Conflict {
        version: 7,
        value: peer_markers.bytes().unwrap(),
    };
    assert_eq!(requests.on_reply(request.number, held), []);
    let [request] = &ledger_requests(&mut requests)[..] else {
        panic!()
    };
    let Operation::Put {
        expected_version: 7,
        value,
    } = &request.operation
    else {
        panic!("{request:?}")
    };
    assert_eq!(LoadMarkers::read(value).unwrap().len(), 3);
    let effects = requests.on_reply(
        request.number,
        LedgerReply::Entry {
            version: 8,
            value: value.clone(),
        },
    );
    let sent = |ticket, number| Effect::Send {
        load: (ticket, 0),
        numbers: vec![(17, number)],
    };
    assert_eq!(effects, [sent(1, 2), sent(2, 3)]);
    assert!(requests.is_idle());
}

#[test]
fn an_unreachable_ledger_rejects_loads_and_leaves_scatters_without_markers() {
    let mut requests = MarkerRequests::new(0);
    load(&mut requests, 1);
    requests.await_markers(9, 17);
    let sent = ledger_requests(&mut requests);
    let effects: Vec<Effect> = sent
        .iter()
        .flat_map(|a| requests.on_reply(a.number, LedgerReply::Unreachable))
        .collect();
    let no_markers = Effect::Markers {
        group: 17,
        scatters: vec![9],
        markers: None,
    };
    assert_eq!(effects, [no_markers, Effect::Reject { load: (1, 0) }]);
    // A load that was cancelled meanwhile is not sent.
    load(&mut requests, 2);
    let sent = ledger_requests(&mut requests);
    assert!(requests.cancel((2, 0)) && !requests.cancel((2, 0)));
    assert_eq!(
        requests.on_reply(
            sent[0].number,
            LedgerReply::Entry {
                version: 1,
                value: vec![]
            }
        ),
        []
    );
}

#[test]
fn a_scatter_gets_markers_read_after_it_began() {
    let mut requests = MarkerRequests::new(0);
    requests.await_markers(1, 17);
    let first = ledger_requests(&mut requests);
    requests.await_markers(2, 17);
    assert_eq!(ledger_requests(&mut requests), []);
    let reply = Effect::Markers {
        group: 17,
        scatters: vec![1],
        markers: Some(LoadMarkers::default()),
    };
    assert_eq!(
        requests.on_reply(first[0].number, LedgerReply::Absent),
        [reply]
    );
    assert_eq!(ledger_requests(&mut requests).len(), 1);
    let damaged = LedgerReply::Entry {
        version: 1,
        value: vec![9; 3],
    };
    assert_eq!(
        requests.on_reply(1, damaged),
        [Effect::Markers {
            group: 17,
            scatters: vec![2],
            markers: None
        }]
    );
}
