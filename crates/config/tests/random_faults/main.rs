//! Random faults in a configuration: one change, such as a person or a corrupted disk may make, is
//! applied to a complete configuration. It must be rejected with the line and the key, or accepted
//! as documented, without a panic.

mod layout;
mod operators;
mod settings;

use std::collections::HashMap;

use hallmux_config::NodeConfig;
use proptest::prelude::*;

/// JSON texts of values of each type, within and beyond the bounds.
pub const VALUES: [&str; 16] = [
    "\"soon\"",
    "\"\"",
    "7",
    "0",
    "-1",
    "1.5",
    "1e12",
    "1e300",
    "1e999",
    "18446744073709551616",
    "true",
    "null",
    "[]",
    "{}",
    "[[[[{\"a\": [null]}]]]]",
    "{\"a\": {\"b\": 1}}",
];

pub fn read(text: &str) -> Result<NodeConfig, String> {
    let variables = HashMap::from([("NODE_LISTEN".to_string(), "127.0.0.1:0".to_string())]);
    NodeConfig::parse(&variables, text).map_err(|e| e.to_string())
}

/// Asserts that an error is one line with a problem and a remedy. Returns the line number in it, if
/// any.
pub fn assert_shape(message: &str) -> Option<usize> {
    assert!(
        !message.contains('\n') && message.contains(": ") && message.contains("; "),
        "{message}"
    );
    let rest = &message[message.find("line ")? + 5..];
    rest[..rest.find(|c: char| !c.is_ascii_digit())?]
        .parse()
        .ok()
}

/// A corruption such as a disk or an editor may cause: truncation, lost bytes, a changed byte or an
/// inserted byte.
pub fn corruption() -> impl Strategy<Value = (prop::sample::Index, prop::sample::Index, u8, u8)> {
    (
        any::<prop::sample::Index>(),
        any::<prop::sample::Index>(),
        0..4u8,
        any::<u8>(),
    )
}

pub fn corrupt(
    text: &str,
    (position, length, kind, byte): (prop::sample::Index, prop::sample::Index, u8, u8),
) -> String {
    let mut bytes = text.as_bytes().to_vec();
    let position = position.index(bytes.len());
    match kind {
        0 => bytes.truncate(position),
        1 => _ = bytes.drain(position..(position + 1 + length.index(40)).min(bytes.len())),
        2 => bytes[position] = byte,
        _ => bytes.insert(position, b"{}[]:,\"'/*\\\n"[usize::from(byte) % 12]),
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn unclosed_brackets_and_texts_that_are_no_json_are_rejected() {
    for text in [
        "[".repeat(200_000),
        "{\"a\":".repeat(100_000),
        String::new(),
        "\u{0}".repeat(9),
    ] {
        assert_shape(&read(&text).unwrap_err());
    }
    // Under an unknown key deep nesting is ignored, like any other value.
    let deep = format!(
        "{{\"seed\": \"1\", \"more\": {}{}}}",
        "[".repeat(100_000),
        "]".repeat(100_000)
    );
    assert!(read(&deep)
        .unwrap_err()
        .contains("settings: missing in NODE_CONFIG"));
}
