//! Unit tests of the `message` module.

use super::*;

#[test]
fn any_bytes_are_read_or_refused() {
    let update = MemberUpdate {
        member: 7,
        address: ([127, 0, 0, 1], 9).into(),
        incarnation: 3,
        health: Health::Suspect,
    };
    let signed = Signed {
        report: vec![1, 2],
        signature: vec![3; 64],
    };
    let message = Message {
        probe: Probe::PingRequest {
            number: 1,
            member: 2,
            address: update.address,
        },
        updates: vec![update],
        reports: vec![signed],
        payload: vec![5; 3],
    };
    let whole = encode(&message);
    assert_eq!(decode::<Message>(&whole), Some(message));
    for cut in 0..whole.len() {
        assert_eq!(decode::<Message>(&whole[..cut]), None);
    }
    assert_eq!(decode::<Message>(&[whole.clone(), vec![0]].concat()), None);
    for at in 0..whole.len() {
        for flip in [1, 0x80, 0xff] {
            let mut spoilt = whole.clone();
            spoilt[at] ^= flip;
            let _ = decode::<Message>(&spoilt);
        }
    }
    // A count of updates that the bytes do not bear out.
    assert_eq!(decode::<Message>(&[0, 0xff, 0xff, 0xff, 0xff, 0x0f]), None);
}
