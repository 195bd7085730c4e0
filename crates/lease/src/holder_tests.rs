//! Unit tests of the `holder` module.

use super::*;

const TERMS: LeaseTerms = LeaseTerms {
    length: 3_000_000,
    drift_ppm: 100_000,
};

fn new_holder() -> Holder {
    Holder::new(Task::Zones, TERMS, vec![10, 20, 30], 1)
}

fn granted(number: u64, token: Token) -> Reply {
    Reply::Granted {
        number,
        token,
        progress: vec![7],
    }
}

#[test]
fn a_token_is_valid_from_the_request_until_before_the_lease_length() {
    let mut holder = new_holder();
    let AddressedRequest { to, request } = holder.next_request(0, Intent::Acquire, &[]).unwrap();
    assert_eq!((to, request.token), (10, None));
    assert_eq!(holder.next_request(100_000, Intent::Acquire, &[]), None);
    holder.receive(&granted(request.number, 4));
    assert_eq!(
        (holder.token(2_699_999), holder.token(2_700_000)),
        (Some(4), None)
    );
    assert_eq!(
        (
            holder.take_inherited_progress(),
            holder.take_inherited_progress()
        ),
        (Some(vec![7]), None)
    );
    // A renewal keeps the token.
    let renewal = holder
        .next_request(2_000_000, Intent::Acquire, &[9])
        .unwrap()
        .request;
    assert_eq!(
        (renewal.token, renewal.progress.as_slice()),
        (Some(4), &[9][..])
    );
    holder.receive(&granted(renewal.number, 4));
    assert_eq!(
        (holder.token(4_699_999), holder.take_inherited_progress()),
        (Some(4), None)
    );
}

#[test]
fn a_reply_to_an_earlier_request_is_ignored() {
    let mut holder = new_holder();
    let first = holder
        .next_request(0, Intent::Acquire, &[])
        .unwrap()
        .request;
    let AddressedRequest {
        to,
        request: second,
    } = holder
        .next_request(REPLY_TIMEOUT, Intent::Acquire, &[])
        .unwrap();
    assert_eq!(to, 20); // the first voter did not reply
    holder.receive(&granted(first.number, 4));
    assert_eq!(holder.token(300_000), None);
    holder.receive(&Reply::NotLeader {
        number: second.number,
        leader: 30,
    });
    assert_eq!(
        holder
            .next_request(300_001, Intent::Acquire, &[])
            .map(|addressed| addressed.to),
        Some(30)
    );
}

#[test]
fn a_denied_renewal_ends_the_lease_at_once() {
    let mut holder = new_holder();
    let request = holder
        .next_request(0, Intent::Acquire, &[])
        .unwrap()
        .request;
    holder.receive(&granted(request.number, 4));
    let renewal = holder
        .next_request(1_500_000, Intent::Acquire, &[])
        .unwrap()
        .request;
    holder.receive(&Reply::Denied {
        number: renewal.number,
    });
    assert_eq!(holder.token(1_500_001), None);
}
