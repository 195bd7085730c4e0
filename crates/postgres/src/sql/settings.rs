//! Scans the statements that change session settings: SET and RESET.

use super::findings::{Change, LabelChange, LocalCommand, Scan, SessionEffect};
use super::tokens::{Kind, Token};

/// Returns a value as text without its quotes.
fn unquoted(value: &[u8]) -> String {
    let text = String::from_utf8_lossy(value.trim_ascii()).into_owned();
    match text.strip_prefix('\'').and_then(|t| t.strip_suffix('\'')) {
        Some(inner) => inner.replace("''", "'"),
        None => text
            .strip_prefix('"')
            .and_then(|t| t.strip_suffix('"'))
            .map_or(text.clone(), str::to_string),
    }
}

/// The name of a setting, in lower case, and the tokens after it.
struct SettingName<'a> {
    name: String,
    rest: &'a [Token<'a>],
}

/// Reads a name of one part, or of two parts separated by a dot.
fn setting_name<'a>(first: &Token, tokens: &'a [Token<'a>]) -> SettingName<'a> {
    let has_dot = |t: &Token| t.kind == Kind::Sign(b'.');
    let is_dotted = tokens.get(1).is_some_and(has_dot) && tokens.len() > 2;
    let bytes = if is_dotted {
        [first.text, b".", tokens[2].text].concat()
    } else {
        first.text.to_vec()
    };
    SettingName {
        name: String::from_utf8_lossy(&bytes)
            .to_ascii_lowercase()
            .replace('"', ""),
        rest: &tokens[if is_dotted { 3 } else { 1 }..],
    }
}

/// Scans a SET or RESET statement: `head` holds its first tokens, `end` is the offset at which it
/// ends in `text`.
pub(super) fn scan_setting(scan: &mut Scan, text: &[u8], head: &[Token], end: usize) {
    let is_reset = head[0].is("reset");
    let mut tokens = &head[1..];
    match tokens.first() {
        Some(t) if t.is("local") && !is_reset => return, // applies only to its transaction
        Some(t) if t.is("session") && !is_reset => tokens = &tokens[1..],
        _ => {}
    }
    let Some(first) = tokens.first() else { return };
    if first.is("role") || first.is("authorization") || first.is("characteristics") {
        scan.unsupported = Some("another role or transaction characteristics for a session");
        return;
    }
    let SettingName { name, rest } = setting_name(first, tokens);
    let label = name.strip_prefix("hallmux.").map(str::to_string);
    if is_reset {
        scan_reset(scan, name, label);
    } else if name == "transaction" {
        // SET TRANSACTION applies to one transaction only.
    } else if let Some(label) = label {
        let value = label_value(text, rest, end);
        change_label(scan, label, value);
    } else if name == "standard_conforming_strings" && !is_set_to_true(text, rest, end) {
        scan.unsupported = Some("backslashes in plain strings");
    } else {
        let assignment = String::from_utf8_lossy(&text[first.at..end]);
        let change = change(name, rest, assignment.trim());
        scan.add_effect(SessionEffect::Setting(change));
    }
}

fn scan_reset(scan: &mut Scan, name: String, label: Option<String>) {
    let change = match name.as_str() {
        "all" => Change::ResetAll,
        _ => Change::Reset(name),
    };
    scan.add_effect(SessionEffect::Setting(change));
    if let Some(label) = label {
        change_label(scan, label, String::new());
    }
}

fn change_label(scan: &mut Scan, name: String, value: String) {
    let (changed_name, changed_value) = (name.clone(), value.clone());
    scan.add_effect(SessionEffect::Label(LabelChange {
        name: changed_name,
        value: changed_value,
    }));
    scan.local_command = Some(LocalCommand::Label(name, value));
}

/// Returns the text after a token, up to the end of the statement.
fn text_after<'a>(text: &'a [u8], token: &Token, end: usize) -> &'a [u8] {
    &text[token.at + token.text.len()..end]
}

/// Returns the value of a label; empty if it is reset to its default.
fn label_value(text: &[u8], rest: &[Token], end: usize) -> String {
    let assigns = |t: &&Token| t.is("to") || t.kind == Kind::Sign(b'=');
    let value = rest
        .first()
        .filter(assigns)
        .map_or(&b""[..], |t| text_after(text, t, end));
    let value = unquoted(value);
    if value.eq_ignore_ascii_case("default") {
        String::new()
    } else {
        value
    }
}

/// Whether the statement sets a boolean setting to true.
fn is_set_to_true(text: &[u8], rest: &[Token], end: usize) -> bool {
    rest.first().is_some_and(|t| {
        let value = String::from_utf8_lossy(text_after(text, t, end));
        matches!(unquoted(value.as_bytes()).as_str(), "on" | "true" | "1")
    })
}

/// Returns the change that an assignment makes; `SET TIME ZONE` and `SET NAMES` are aliases of
/// settings.
fn change(name: String, rest: &[Token], assignment: &str) -> Change {
    let is_time_zone = name == "time" && rest.first().is_some_and(|t| t.is("zone"));
    let name = match name.as_str() {
        "time" if is_time_zone => "timezone".to_string(),
        "names" => "client_encoding".to_string(),
        _ => name,
    };
    if rest.iter().any(|t| t.is("default")) {
        Change::Reset(name)
    } else {
        let statement = format!("SET {assignment}");
        Change::Set { name, statement }
    }
}
