//! Scans the statements that end transactions, whole or back to a savepoint, and those that set or
//! release savepoints.

use super::findings::{Scan, SessionEffect};
use super::tokens::{Kind, Token};

/// Bytes of an identifier that engines keep; the rest is cut off.
const MAX_IDENTIFIER_BYTES: usize = 63;

/// Returns the effect of a ROLLBACK or ABORT, from its tokens after the first.
pub(super) fn rollback_effect(rest: &[Token]) -> SessionEffect {
    match rest.iter().position(|token| token.is("to")) {
        Some(at) => SessionEffect::RollbackToSavepoint(savepoint_name(&rest[at + 1..])),
        None => SessionEffect::Rollback,
    }
}

/// Scans a SAVEPOINT or RELEASE statement; `head` holds its first tokens.
pub(super) fn scan_savepoint(scan: &mut Scan, head: &[Token]) {
    let name = savepoint_name(&head[1..]);
    scan.add_effect(if head[0].is("savepoint") {
        SessionEffect::Savepoint(name)
    } else {
        SessionEffect::ReleaseSavepoint(name)
    });
}

/// Returns the name of a savepoint as engines compare it, from the tokens that name it. The word
/// SAVEPOINT before the name is optional.
fn savepoint_name(tokens: &[Token]) -> String {
    let name = match tokens {
        [first, name, ..] if first.is("savepoint") => Some(name),
        [name, ..] => Some(name),
        [] => None,
    };
    let mut name = name.map_or_else(String::new, identifier);
    let is_within = |len: &usize| *len <= MAX_IDENTIFIER_BYTES;
    let ends = name.char_indices().map(|(at, c)| at + c.len_utf8());
    let kept = ends.take_while(is_within).last().unwrap_or(0);
    name.truncate(kept);
    name
}

fn identifier(token: &Token) -> String {
    let text = String::from_utf8_lossy(token.text);
    let quoted = text.strip_prefix('"').and_then(|t| t.strip_suffix('"'));
    match quoted.filter(|_| token.kind == Kind::Quoted) {
        Some(inner) => inner.replace("\"\"", "\""),
        None => text.to_ascii_lowercase(),
    }
}
