//! Statements that change the settings of a session.

use super::findings::{Change, LocalCommand, Scan};
use super::tokens::{Kind, Token};

/// The value as text, out of its quotes.
fn plain(value: &[u8]) -> String {
    let text = String::from_utf8_lossy(value.trim_ascii()).into_owned();
    match text.strip_prefix('\'').and_then(|t| t.strip_suffix('\'')) {
        Some(inner) => inner.replace("''", "'"),
        None => text
            .strip_prefix('"')
            .and_then(|t| t.strip_suffix('"'))
            .map_or(text.clone(), str::to_string),
    }
}

pub(super) fn setting(scan: &mut Scan, text: &[u8], head: &[Token], end: usize) {
    let reset = head[0].is("reset");
    let mut rest = &head[1..];
    match rest.first() {
        Some(t) if t.is("local") && !reset => return, // it goes with its transaction
        Some(t) if t.is("session") && !reset => rest = &rest[1..],
        _ => {}
    }
    let Some(name) = rest.first() else { return };
    if name.is("role") || name.is("authorization") || name.is("characteristics") {
        scan.unsupported = Some("another role or transaction characteristics for a session");
        return;
    }
    // A name may have two parts.
    let dotted = rest.get(1).is_some_and(|t| t.kind == Kind::Sign(b'.')) && rest.len() > 2;
    let full = if dotted {
        [name.text, b".", rest[2].text].concat()
    } else {
        name.text.to_vec()
    };
    let full = String::from_utf8_lossy(&full)
        .to_ascii_lowercase()
        .replace('"', "");
    let rest = &rest[if dotted { 3 } else { 1 }..];
    let statement = || {
        let value = String::from_utf8_lossy(&text[name.at..end])
            .trim()
            .to_string();
        format!("SET {value}")
    };
    let short = full.strip_prefix("hallmux.").map(str::to_string);
    if reset {
        scan.changes.push(match full.as_str() {
            "all" => Change::ResetAll,
            _ => Change::Reset(full),
        });
        if let Some(short) = short {
            scan.local_command = Some(LocalCommand::Label(short, String::new()));
        }
        return;
    }
    let zone = full == "time" && rest.first().is_some_and(|t| t.is("zone"));
    if full == "transaction" {
        return; // it holds for one transaction alone
    }
    let gives = |t: &Token| t.is("to") || t.kind == Kind::Sign(b'=');
    if let Some(short) = short {
        let value = rest
            .first()
            .filter(|t| gives(t))
            .map_or(&b""[..], |t| &text[t.at + t.text.len()..end]);
        let value = plain(value);
        let value = if value.eq_ignore_ascii_case("default") {
            String::new()
        } else {
            value
        };
        scan.local_command = Some(LocalCommand::Label(short, value));
        return;
    }
    let value = rest
        .first()
        .map(|t| String::from_utf8_lossy(&text[t.at + t.text.len()..end]).to_string());
    if full == "standard_conforming_strings"
        && !value
            .as_ref()
            .is_some_and(|v| matches!(plain(v.as_bytes()).as_str(), "on" | "true" | "1"))
    {
        scan.unsupported = Some("backslashes in plain strings");
        return;
    }
    let name = match full.as_str() {
        "time" if zone => "timezone".to_string(),
        "names" => "client_encoding".to_string(),
        _ => full,
    };
    let default = rest.iter().any(|t| t.is("default"));
    scan.changes.push(if default {
        Change::Reset(name)
    } else {
        Change::Set {
            name,
            statement: statement(),
        }
    });
}
