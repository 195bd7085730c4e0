//! Unit tests of the `message` module.

use super::*;

#[test]
fn decoding_any_bytes_succeeds_or_returns_none() {
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
    let encoded = encode(&message);
    assert_eq!(decode::<Message>(&encoded), Some(message));
    for end in 0..encoded.len() {
        assert_eq!(decode::<Message>(&encoded[..end]), None);
    }
    assert_eq!(
        decode::<Message>(&[encoded.clone(), vec![0]].concat()),
        None
    );
    for at in 0..encoded.len() {
        for flip in [1, 0x80, 0xff] {
            let mut corrupted = encoded.clone();
            corrupted[at] ^= flip;
            let _ = decode::<Message>(&corrupted);
        }
    }
    // A count of updates that exceeds the available bytes.
    assert_eq!(decode::<Message>(&[0, 0xff, 0xff, 0xff, 0xff, 0x0f]), None);
}
