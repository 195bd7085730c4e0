//! Scans SQL for what a front must know: where statements begin, which session settings they
//! change, what is not possible over shared connections, and the labels in leading comments.
//! Whatever the scanner does not understand is let through.

mod findings;
mod labels;
mod savepoints;
mod settings;
mod tokens;

pub use self::findings::{Change, LabelChange, LocalCommand, Scan, SessionEffect, StatementEffect};
use self::labels::leading_labels;
pub use self::labels::{parse_duration_us, Contradictions, Label};
use self::savepoints::{rollback_effect, scan_savepoint};
use self::settings::scan_setting;
use self::tokens::{Kind, Token, Tokens};

const MAX_HEAD_TOKENS: usize = 8; // of a statement's beginning; enough for every form below

/// The first words of statements whose effects last only once their transaction commits. Others, such
/// as CALL, DO or VACUUM, can commit by themselves.
const KEPT_BY_COMMIT_ONLY: [&str; 25] = [
    "abort",
    "begin",
    "close",
    "copy",
    "declare",
    "delete",
    "explain",
    "fetch",
    "insert",
    "lock",
    "merge",
    "move",
    "release",
    "reset",
    "rollback",
    "savepoint",
    "select",
    "set",
    "show",
    "start",
    "table",
    "truncate",
    "update",
    "values",
    "with",
];

/// Scans a text of one or more statements. Whatever the scanner does not understand counts as
/// supported.
pub fn scan(text: &[u8]) -> Scan {
    let mut scan = Scan {
        label: leading_labels(text),
        ..Scan::default()
    };
    let mut head: Vec<Token> = Vec::with_capacity(MAX_HEAD_TOKENS);
    let mut previous: Option<Token> = None;
    let mut tokens = Tokens { text, at: 0 };
    loop {
        let token = tokens.next();
        match token {
            Some(token) if token.kind != Kind::End => {
                let first = *head.first().unwrap_or(&token);
                check_word(&mut scan, text, &first, previous.as_ref(), &token, &tokens);
                if head.len() < MAX_HEAD_TOKENS {
                    head.push(token);
                }
                previous = Some(token);
            }
            end_token => {
                let end = end_token.map_or(text.len(), |token| token.at);
                if !head.is_empty() {
                    check_statement(&mut scan, text, &head, end);
                }
                head.clear();
                previous = None;
                if end_token.is_none() {
                    break;
                }
            }
        }
    }
    if scan.statements != 1 {
        scan.local_command = None;
    }
    scan
}

/// Checks a word for a feature that is not possible over shared connections. `first` is the first
/// token of its statement, `previous` the token before it.
fn check_word(
    scan: &mut Scan,
    text: &[u8],
    first: &Token,
    previous: Option<&Token>,
    token: &Token,
    rest: &Tokens,
) {
    if token.kind != Kind::Word {
        return;
    }
    let follows = |word: &str| previous.is_some_and(|previous| previous.is(word));
    let unsupported = if token.is("stdin") && follows("from") && first.is("copy") {
        Some("COPY FROM STDIN")
    } else if (token.is("temp") || token.is("temporary"))
        && (follows("into")
            || first.is("create") && (follows("create") || follows("local") || follows("global")))
    {
        Some("a temporary table")
    } else if token.is("hold") && follows("with") && first.is("declare") {
        Some("a cursor WITH HOLD")
    } else if token.text.len() > 8 && token.text[..3].eq_ignore_ascii_case(b"pg_") {
        let name = token.text.to_ascii_lowercase();
        let advisory =
            name.starts_with(b"pg_advisory_lock") || name.starts_with(b"pg_try_advisory_lock");
        advisory.then_some("a session's advisory lock")
    } else if token.is("set_config") {
        let call = &text[rest.at..];
        let end = memchr::memchr(b')', call).unwrap_or(call.len());
        let last = call[..end].trim_ascii_end();
        let local = last.len() >= 4 && last[last.len() - 4..].eq_ignore_ascii_case(b"true");
        (!local).then_some("set_config beyond its transaction")
    } else {
        None
    };
    scan.unsupported = scan.unsupported.or(unsupported);
}

/// Classifies a complete statement by its first tokens; it ends at `end` in `text`.
fn check_statement(scan: &mut Scan, text: &[u8], head: &[Token], end: usize) {
    scan.statements += 1;
    // A query may stand in parentheses.
    let first_word = head.iter().find(|token| token.kind == Kind::Word);
    scan.may_commit |= !first_word.is_some_and(|token| {
        let is_word = |word: &&str| token.is(word);
        KEPT_BY_COMMIT_ONLY.iter().any(is_word)
    });
    let second = |word: &str| head.get(1).is_some_and(|t| t.is(word));
    let first = |word: &str| head[0].is(word);
    if first("begin") || first("start") && second("transaction") {
        scan.begins_transaction = true;
    } else if first("commit") || first("end") {
        scan.commits_transaction = true;
        scan.add_effect(SessionEffect::Commit);
        if second("prepared") {
            scan.unsupported = Some("a transaction in two phases");
        }
    } else if first("rollback") || first("abort") {
        if second("prepared") {
            scan.unsupported = Some("a transaction in two phases");
        }
        let effect = rollback_effect(&head[1..]);
        scan.rolls_back_transaction |= effect == SessionEffect::Rollback;
        scan.add_effect(effect);
    } else if first("savepoint") || first("release") {
        scan_savepoint(scan, head);
    } else if first("prepare") {
        let is_two_phase = second("transaction");
        scan.unsupported = Some(if is_two_phase {
            "a transaction in two phases"
        } else {
            "PREPARE as a statement"
        });
    } else if first("execute") {
        scan.unsupported = Some("EXECUTE as a statement");
    } else if first("deallocate") {
        if head[1..].iter().any(|t| t.is("all")) {
            scan.local_command = Some(LocalCommand::Deallocate);
            scan.unsupported = scan
                .unsupported
                .or(Some("DEALLOCATE among other statements"));
        } else {
            scan.unsupported = Some("DEALLOCATE as a statement");
        }
    } else if first("discard") {
        if second("all") {
            scan.local_command = Some(LocalCommand::Discard);
        }
        scan.unsupported = scan.unsupported.or(Some("DISCARD among other statements"));
    } else if first("listen") || first("unlisten") {
        scan.unsupported = Some("LISTEN");
    } else if first("load") {
        scan.unsupported = Some("LOAD");
    } else if first("set") || first("reset") {
        scan_setting(scan, text, head, end);
    }
    if scan.statements == 1 && scan.local_command.is_some() {
        scan.unsupported = None;
    } else if scan.local_command.is_some() && scan.statements == 2 {
        scan.unsupported = scan.unsupported.or(match scan.local_command {
            Some(LocalCommand::Label(..)) => None,
            _ => Some("DISCARD or DEALLOCATE among other statements"),
        });
    }
}

/// Returns a name as an SQL identifier, in double quotes if it needs them.
pub(crate) fn quoted_identifier(name: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    if name.chars().all(is_plain) {
        name.to_string()
    } else {
        format!("\"{}\"", name.replace('"', "\"\""))
    }
}

#[cfg(test)]
#[path = "sql_tests.rs"]
mod tests;
