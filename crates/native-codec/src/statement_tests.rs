//! Unit tests of the `statement` module.

use thrift::protocol::{
    TBinaryOutputProtocol, TFieldIdentifier, TMessageIdentifier, TMessageType, TOutputProtocol,
    TType,
};

use super::read::MAX_WORD_BYTES;
use super::write::write_fields;
use super::{read, Message, Request, LENGTH_PREFIX_BYTES};
use crate::Decoded;

/// Returns a `serve` frame with the given fields.
fn frame(fields: &[(&str, &str)], statement: &[u8]) -> Vec<u8> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    let mut out = TBinaryOutputProtocol::new(&mut frame, true);
    out.write_message_begin(&TMessageIdentifier::new("serve", TMessageType::Call, 7))
        .unwrap();
    write_fields(&mut out, 1, fields).unwrap();
    out.write_field_begin(&TFieldIdentifier::new("body", TType::String, 2))
        .unwrap();
    out.write_bytes(statement).unwrap();
    out.write_field_stop().unwrap();
    let len = (frame.len() - LENGTH_PREFIX_BYTES) as u32;
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&len.to_be_bytes());
    frame
}

const FIELDS: [(&str, &str); 4] = [
    ("txn", "9b1f03aa5c7e2d41"),
    ("verb", "report"),
    ("limit", "1500"),
    ("team", "acme"),
];

#[test]
fn frame_is_read_only_when_complete_and_keeps_its_bytes() {
    let frame = frame(&FIELDS, b"select '\xff'");
    for len in 0..frame.len() {
        assert_eq!(read(&frame[..len]), Ok(None));
    }
    let Ok(Some(Decoded { len, message })) = read(&frame) else {
        panic!()
    };
    let Message {
        sequence_number: 7,
        request: Request::Execute(call),
    } = message
    else {
        panic!()
    };
    assert_eq!(
        (len, call.invalid_field, call.time_left_ms),
        (frame.len(), None, 1500.0)
    );
    assert_eq!(call.statement, b"select '\xff'");
}

#[test]
fn broken_frames_are_errors_without_panics() {
    let complete = frame(&FIELDS, b"select 1");
    for at in LENGTH_PREFIX_BYTES..complete.len() {
        for byte in [0x00, 0x7f, 0x80, 0xff] {
            let mut broken = complete.clone();
            broken[at] = byte;
            let _ = read(&broken);
        }
        // The frame is cut short, with a length prefix that claims it is complete.
        let mut cut = complete[..at].to_vec();
        cut[..LENGTH_PREFIX_BYTES]
            .copy_from_slice(&((at - LENGTH_PREFIX_BYTES) as u32).to_be_bytes());
        assert!(read(&cut).is_err());
    }
    let mut longer = [&complete[..], b"x"].concat();
    longer[..LENGTH_PREFIX_BYTES]
        .copy_from_slice(&((complete.len() + 1 - LENGTH_PREFIX_BYTES) as u32).to_be_bytes());
    assert!(read(&longer).is_err());
    let mut nested = frame(&FIELDS, b"");
    nested.pop();
    nested.extend([12, 0, 9].repeat(1000));
    let len = (nested.len() - LENGTH_PREFIX_BYTES) as u32;
    nested[..LENGTH_PREFIX_BYTES].copy_from_slice(&len.to_be_bytes());
    assert!(read(&nested).is_err());
    for prefix in [
        &[0xff, 0xff, 0xff, 0xff],
        &[0x7f, 0xff, 0xff, 0xff],
        &[0, 2, 0, 1],
    ] {
        assert!(read(prefix).is_err());
    }
}

#[test]
fn the_first_invalid_field_is_named() {
    for (name, value) in [
        ("txn", "short"),
        ("txn", "9b1f03aa5c7e2d4,"),
        ("verb", "a b"),
        ("limit", "-1"),
        ("limit", "nan"),
        ("limit", "4e9"),
        ("second", "2"),
        ("unique", "a\r\nb"),
        ("unique", &"u".repeat(MAX_WORD_BYTES + 1)),
        ("item", "a b"),
        ("cpu", "x"),
        ("cpu", "1e300"),
        ("heap_mb", "inf"),
        ("heap_mb", "1e9"),
    ] {
        let mut fields: Vec<_> = FIELDS
            .iter()
            .copied()
            .filter(|(known, _)| *known != name)
            .collect();
        fields.push((name, value));
        let Ok(Some(Decoded { message, .. })) = read(&frame(&fields, b"")) else {
            panic!()
        };
        let Request::Execute(call) = message.request else {
            panic!()
        };
        assert_eq!(call.invalid_field, Some(name), "{value}");
    }
}
