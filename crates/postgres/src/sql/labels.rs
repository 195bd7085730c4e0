//! Labels in the comments that lead a statement, and the values that they and settings have.

use super::Label;

const LONGEST_LABEL: usize = 4096; // bytes of leading comments that are looked at; labels take some hundred

/// The labels of the leading comments: `/*hallmux.workload='report',hallmux.key='k%201'*/`, as sqlcommenter
/// writes them: values in quotes, their bytes in URL form. Names that are not known are others' labels.
pub(super) fn label(text: &[u8]) -> Label {
    let mut label = Label::default();
    let mut rest = text.trim_ascii_start();
    while let Some(inner) = rest.strip_prefix(b"/*") {
        let Some(end) = memchr::memmem::find(inner, b"*/").filter(|end| *end <= LONGEST_LABEL)
        else {
            break;
        };
        let comment = String::from_utf8_lossy(&inner[..end]);
        for pair in comment.split(',') {
            let Some((name, value)) = pair.split_once('=') else {
                continue;
            };
            let Some(name) = decoded(name.trim())
                .strip_prefix("hallmux.")
                .map(str::to_string)
            else {
                continue;
            };
            let value = value.trim();
            let value = value
                .strip_prefix('\'')
                .and_then(|v| v.strip_suffix('\''))
                .unwrap_or(value);
            label.set(&name, &decoded(value));
        }
        rest = inner[end + 2..].trim_ascii_start();
    }
    label
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let hex = |c: Option<&u8>| c.and_then(|c| (*c as char).to_digit(16)).map(|d| d as u8);
        match (first, hex(after.first()), hex(after.get(1))) {
            (b'%', Some(high), Some(low)) => {
                bytes.push(high * 16 + low);
                rest = &after[2..];
            }
            (b'\\', ..) if after.first() == Some(&b'\'') => rest = after,
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A time as the servers' settings write it, in microseconds; plain numbers are milliseconds.
pub fn time(text: &str) -> Option<i64> {
    let text = text.trim().trim_matches('\'').trim();
    let at = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let value: f64 = text[..at].parse().ok()?;
    let unit = match text[at..].trim() {
        "" | "ms" => 1e3,
        "us" => 1.0,
        "s" => 1e6,
        "min" => 6e7,
        "h" => 3.6e9,
        "d" => 8.64e10,
        _ => return None,
    };
    Some((value * unit).min(1e15) as i64)
}
