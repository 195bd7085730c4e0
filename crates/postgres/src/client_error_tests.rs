//! Unit tests of the `client_error` module.

use super::*;
use crate::wire::{field, message, Message};

#[test]
fn rejection_carries_retry_delay_in_its_detail_field() {
    let mut out = Vec::new();
    ClientError::Rejected {
        retry_after_ms: Some(250),
    }
    .write(&mut out, false);
    let Message { tag, body, len } = message(&out, 1000).unwrap().unwrap();
    assert_eq!((tag, len), (b'E', out.len()));
    assert_eq!(field(body, b'C'), Some(&b"53000"[..]));
    assert_eq!(field(body, b'D'), Some(&b"retry-after-ms=250"[..]));
    out.clear();
    ClientError::Rejected {
        retry_after_ms: None,
    }
    .write(&mut out, true);
    let Message { body, .. } = message(&out, 1000).unwrap().unwrap();
    assert_eq!(
        (field(body, b'D'), field(body, b'S')),
        (None, Some(&b"FATAL"[..]))
    );
}

#[test]
fn only_errors_of_resources_shutdown_and_internals_are_engine_faults() {
    for (code, fault) in [
        ("53200", true),
        ("57P01", true),
        ("57P03", true),
        ("58030", true),
        ("XX000", true),
        ("57014", false),
        ("42P01", false),
        ("23505", false),
        ("40001", false),
        ("", false),
    ] {
        assert_eq!(is_engine_fault(code.as_bytes()), fault, "{code}");
    }
}
