//! Random faults in a configuration: one thing in a full one is changed, as a person or a corrupted disk may change
//! it. It is refused with the line and the key, or accepted as the documents say, and nothing panics on the way.

mod layout;
mod operators;
mod settings;

use std::collections::HashMap;

use hallmux_config::NodeConfig;
use proptest::prelude::*;

/// Texts that are values of some type, within and beyond bounds.
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

/// Asserts that an error is one line that says what is wrong and what to do. Returns the line it names, if any.
pub fn assert_shape(said: &str) -> Option<usize> {
    assert!(
        !said.contains('\n') && said.contains(": ") && said.contains("; "),
        "{said}"
    );
    let rest = &said[said.find("line ")? + 5..];
    rest[..rest.find(|c: char| !c.is_ascii_digit())?]
        .parse()
        .ok()
}

/// A corruption such as a disk or an editor may cause: cut short, bytes gone, bytes changed.
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
    (at, len, how, with): (prop::sample::Index, prop::sample::Index, u8, u8),
) -> String {
    let mut bytes = text.as_bytes().to_vec();
    let at = at.index(bytes.len());
    match how {
        0 => bytes.truncate(at),
        1 => _ = bytes.drain(at..(at + 1 + len.index(40)).min(bytes.len())),
        2 => bytes[at] = with,
        _ => bytes.insert(at, b"{}[]:,\"'/*\\\n"[usize::from(with) % 12]),
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn brackets_without_end_are_refused() {
    for text in [
        "[".repeat(200_000),
        "{\"a\":".repeat(100_000),
        String::new(),
        "\u{0}".repeat(9),
    ] {
        assert_shape(&read(&text).unwrap_err());
    }
    // Under a key that is not known they are passed over, as any value is.
    let deep = format!(
        "{{\"seed\": \"1\", \"more\": {}{}}}",
        "[".repeat(100_000),
        "]".repeat(100_000)
    );
    assert!(read(&deep)
        .unwrap_err()
        .contains("settings: missing in NODE_CONFIG"));
}
