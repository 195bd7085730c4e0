//! Unit tests of the `holder` module.

use super::*;

const TERMS: LeaseTerms = LeaseTerms {
    length: 3_000_000,
    drift_ppm: 100_000,
};

fn holder() -> Holder {
    Holder::new(Task::Zones, TERMS, vec![10, 20, 30], 1)
}

fn yours(number: u64, token: Token) -> Reply {
    Reply::Granted {
        number,
        token,
        progress: vec![7],
    }
}

#[test]
fn it_acts_from_when_it_asked_and_stops_before_the_length() {
    let mut h = holder();
    let AddressedRequest { to, request: ask } = h.next_request(0, Intent::Acquire, &[]).unwrap();
    assert_eq!((to, ask.token), (10, None));
    assert_eq!(h.next_request(100_000, Intent::Acquire, &[]), None);
    h.receive(&yours(ask.number, 4));
    assert_eq!((h.token(2_699_999), h.token(2_700_000)), (Some(4), None));
    assert_eq!(
        (h.take_inherited_progress(), h.take_inherited_progress()),
        (Some(vec![7]), None)
    );
    // Kept under the same token.
    let keep = h
        .next_request(2_000_000, Intent::Acquire, &[9])
        .unwrap()
        .request;
    assert_eq!((keep.token, keep.progress.as_slice()), (Some(4), &[9][..]));
    h.receive(&yours(keep.number, 4));
    assert_eq!(
        (h.token(4_699_999), h.take_inherited_progress()),
        (Some(4), None)
    );
}

#[test]
fn answers_to_other_questions_say_nothing() {
    let mut h = holder();
    let first = h.next_request(0, Intent::Acquire, &[]).unwrap().request;
    let AddressedRequest {
        to,
        request: second,
    } = h.next_request(REPLY_TIMEOUT, Intent::Acquire, &[]).unwrap();
    assert_eq!(to, 20); // the first voter was silent
    h.receive(&yours(first.number, 4));
    assert_eq!(h.token(300_000), None);
    h.receive(&Reply::NotLeader {
        number: second.number,
        leader: 30,
    });
    assert_eq!(
        h.next_request(300_001, Intent::Acquire, &[])
            .map(|addressed| addressed.to),
        Some(30)
    );
}

#[test]
fn one_that_is_told_no_stops_at_once() {
    let mut h = holder();
    let ask = h.next_request(0, Intent::Acquire, &[]).unwrap().request;
    h.receive(&yours(ask.number, 4));
    let keep = h
        .next_request(1_500_000, Intent::Acquire, &[])
        .unwrap()
        .request;
    h.receive(&Reply::Denied {
        number: keep.number,
    });
    assert_eq!(h.token(1_500_001), None);
}
