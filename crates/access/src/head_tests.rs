//! Unit tests of the `head` module.

use super::*;

#[test]
fn damaged_bytes_or_another_format_are_rejected_as_head_or_text() {
    let text = "x".repeat(PART_BYTES + 1);
    let mut head = Head::following(None, StoredVersion::of_text(3, &text), true).head;
    let bytes = head.bytes();
    assert_eq!(Head::read(&bytes), Some(head.clone()));
    assert_eq!(Head::read(&[&bytes[..], b"x"].concat()), None);
    assert!((0..bytes.len()).all(|len| Head::read(&bytes[..len]).is_none()));
    let mut split = split_parts(&text);
    assert_eq!((split.len(), part_keys(head.current).count()), (2, 2));
    assert_eq!(join_parts(head.current, split.clone()), Some(text.clone()));
    split[1][0] = b'y';
    assert_eq!(join_parts(head.current, split), None);
    head.format = FORMAT + 1;
    assert_eq!(Head::read(&head.bytes()), None);
}

#[test]
fn recent_versions_are_kept_and_a_text_is_dropped_with_its_last_version() {
    let mut head = None;
    let mut dropped = None;
    for version in 1..=MAX_PREVIOUS as u64 + 2 {
        let text = if version == 9 {
            "1".to_string()
        } else {
            version.to_string()
        };
        let next = Head::following(head.as_ref(), StoredVersion::of_text(version, &text), true);
        (head, dropped) = (Some(next.head), next.dropped);
    }
    let head = head.unwrap();
    // Version 1 was dropped first, but version 9 keeps the same text.
    assert_eq!((head.find(1), dropped), (None, None));
    assert_eq!(head.find(2).map(|k| k.version), Some(2));
}
