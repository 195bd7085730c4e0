//! SQL read as far as a front must: where statements begin, what they change of a session, what can't be done
//! over shared connections, and the labels in a leading comment. What it does not understand, passes.

mod labels;
mod settings;
mod tokens;

use self::labels::label;
pub use self::labels::time;
use self::settings::setting;
use self::tokens::{Kind, Token, Tokens};

/// What a statement is for the front, as far as it was told; empty where it was not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Label {
    pub workload: Option<String>,
    pub member: Option<String>,
    pub key: Option<String>,
    pub dedup_key: Option<String>,
    pub work_ms: Option<String>,
    pub memory_mb: Option<String>,
    pub statement_timeout: Option<String>,
}

impl Label {
    /// Takes one field by its name behind `hallmux.`; an empty value takes it back. False if there is none such.
    pub fn set(&mut self, name: &str, value: &str) -> bool {
        let place = match name {
            "workload" => &mut self.workload,
            "member" => &mut self.member,
            "key" => &mut self.key,
            "dedup_key" => &mut self.dedup_key,
            "work_ms" => &mut self.work_ms,
            "memory_mb" => &mut self.memory_mb,
            "statement_timeout" => &mut self.statement_timeout,
            _ => return false,
        };
        *place = (!value.is_empty()).then(|| value.to_string());
        true
    }

    /// What is set in `other` goes before what is set here.
    pub fn over(&self, other: &Label) -> Label {
        let either = |a: &Option<String>, b: &Option<String>| b.clone().or_else(|| a.clone());
        Label {
            workload: either(&self.workload, &other.workload),
            member: either(&self.member, &other.member),
            key: either(&self.key, &other.key),
            dedup_key: either(&self.dedup_key, &other.dedup_key),
            work_ms: either(&self.work_ms, &other.work_ms),
            memory_mb: either(&self.memory_mb, &other.memory_mb),
            statement_timeout: either(&self.statement_timeout, &other.statement_timeout),
        }
    }
}

/// A change of the session's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The name, in lower case, and the statement that sets it again.
    Set {
        name: String,
        again: String,
    },
    Reset(String),
    ResetAll,
}

/// What the front answers of itself, when it is all that a text holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Own {
    /// A label, its name behind `hallmux.` and its value.
    Label(String, String),
    /// Everything that the session has prepared goes.
    Deallocate,
    /// That, and all settings.
    Discard,
}

impl Own {
    /// The tag of its completion.
    pub fn tag(&self) -> &'static str {
        match self {
            Own::Label(..) => "SET",
            Own::Deallocate => "DEALLOCATE ALL",
            Own::Discard => "DISCARD ALL",
        }
    }
}

/// All that the front wants to know of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    pub label: Label,
    pub statements: usize,
    /// It holds a statement that begins a transaction, commits one, or rolls one back.
    pub begins: bool,
    pub commits: bool,
    pub rolls_back: bool,
    pub changes: Vec<Change>,
    pub own: Option<Own>,
    /// What in it can't be done over shared connections.
    pub not_here: Option<&'static str>,
}

const HEAD: usize = 8; // tokens kept of a statement's beginning: enough for every form below

/// Reads a text.
pub fn scan(text: &[u8]) -> Scan {
    let mut scan = Scan { label: label(text), ..Scan::default() };
    let mut head: Vec<Token> = Vec::with_capacity(HEAD);
    let mut before: Option<Token> = None;
    let mut tokens = Tokens { text, at: 0 };
    loop {
        let token = tokens.next();
        match token {
            Some(token) if token.kind != Kind::End => {
                let first = *head.first().unwrap_or(&token);
                within(&mut scan, text, &first, before.as_ref(), &token, &tokens);
                if head.len() < HEAD {
                    head.push(token);
                }
                before = Some(token);
            }
            ended => {
                let end = ended.map_or(text.len(), |token| token.at);
                if !head.is_empty() {
                    statement(&mut scan, text, &head, end);
                }
                head.clear();
                before = None;
                if ended.is_none() {
                    break;
                }
            }
        }
    }
    if scan.statements != 1 {
        scan.own = None;
    }
    scan
}

/// Looks at one word in its place.
fn within(scan: &mut Scan, text: &[u8], first: &Token, before: Option<&Token>, token: &Token, rest: &Tokens) {
    if token.kind != Kind::Word {
        return;
    }
    let follows = |word: &str| before.is_some_and(|before| before.is(word));
    let not_here = if token.is("stdin") && follows("from") && first.is("copy") {
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
        let advisory = name.starts_with(b"pg_advisory_lock") || name.starts_with(b"pg_try_advisory_lock");
        advisory.then_some("a session's advisory lock")
    } else if token.is("set_config") {
        let call = &text[rest.at..];
        let end = memchr::memchr(b')', call).unwrap_or(call.len());
        let last = call[..end].trim_ascii_end();
        let own = last.len() >= 4 && last[last.len() - 4..].eq_ignore_ascii_case(b"true");
        (!own).then_some("set_config beyond its transaction")
    } else {
        None
    };
    scan.not_here = scan.not_here.or(not_here);
}

/// Looks at a statement that is whole, by its beginning.
fn statement(scan: &mut Scan, text: &[u8], head: &[Token], end: usize) {
    scan.statements += 1;
    let second = |word: &str| head.get(1).is_some_and(|t| t.is(word));
    let first = |word: &str| head[0].is(word);
    if first("begin") || first("start") && second("transaction") {
        scan.begins = true;
    } else if first("commit") || first("end") {
        scan.commits = true;
        if second("prepared") {
            scan.not_here = Some("a transaction in two phases");
        }
    } else if first("rollback") || first("abort") {
        if second("prepared") {
            scan.not_here = Some("a transaction in two phases");
        }
        let to = |t: &Token| t.is("to");
        scan.rolls_back |= !head.iter().any(to);
    } else if first("prepare") {
        let two = second("transaction");
        scan.not_here = Some(if two { "a transaction in two phases" } else { "PREPARE as a statement" });
    } else if first("execute") {
        scan.not_here = Some("EXECUTE as a statement");
    } else if first("deallocate") {
        if head[1..].iter().any(|t| t.is("all")) {
            scan.own = Some(Own::Deallocate);
            scan.not_here = scan.not_here.or(Some("DEALLOCATE among other statements"));
        } else {
            scan.not_here = Some("DEALLOCATE as a statement");
        }
    } else if first("discard") {
        if second("all") {
            scan.own = Some(Own::Discard);
        }
        scan.not_here = scan.not_here.or(Some("DISCARD among other statements"));
    } else if first("listen") || first("unlisten") {
        scan.not_here = Some("LISTEN");
    } else if first("load") {
        scan.not_here = Some("LOAD");
    } else if first("set") || first("reset") {
        setting(scan, text, head, end);
    }
    if scan.statements == 1 && scan.own.is_some() {
        scan.not_here = None;
    } else if scan.own.is_some() && scan.statements == 2 {
        scan.not_here = scan.not_here.or(match scan.own {
            Some(Own::Label(..)) => None,
            _ => Some("DISCARD or DEALLOCATE among other statements"),
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set(name: &str, again: &str) -> Change {
        Change::Set { name: name.into(), again: again.into() }
    }

    #[test]
    fn what_changes_a_session_is_found_and_can_be_said_again() {
        for (text, changes) in [
            ("SET search_path = a, b", vec![set("search_path", "SET search_path = a, b")]),
            ("set session Work_Mem to '4MB';", vec![set("work_mem", "SET Work_Mem to '4MB'")]),
            ("SET TIME ZONE 'UTC'", vec![set("timezone", "SET TIME ZONE 'UTC'")]),
            ("SET NAMES 'UTF8'", vec![set("client_encoding", "SET NAMES 'UTF8'")]),
            ("SET my.app = 'x;y'", vec![set("my.app", "SET my.app = 'x;y'")]),
            ("SET LOCAL work_mem = 1", vec![]),
            ("SET TRANSACTION READ ONLY", vec![]),
            ("RESET work_mem; RESET ALL", vec![Change::Reset("work_mem".into()), Change::ResetAll]),
            ("SET work_mem TO DEFAULT", vec![Change::Reset("work_mem".into())]),
            ("select 'SET a = 1'; -- set b = 2\n/* set c = 3; */", vec![]),
        ] {
            assert_eq!(scan(text.as_bytes()).changes, changes, "{text}");
        }
    }

    #[test]
    fn what_shared_connections_can_not_carry_is_found_and_its_like_is_not() {
        for (text, not_here) in [
            ("COPY t FROM STDIN", true),
            ("copy t (a) from  stdin with csv", true),
            ("COPY t TO STDOUT", false),
            ("CREATE TEMP TABLE t (a int)", true),
            ("create local temporary table t as select 1", true),
            ("select 1 into temp t", true),
            ("create table temp (temp int)", false),
            ("declare c cursor with hold for select 1", true),
            ("declare c cursor for select 1", false),
            ("select pg_advisory_lock(1)", true),
            ("select PG_TRY_ADVISORY_LOCK_SHARED(1)", true),
            ("select pg_advisory_xact_lock(1)", false),
            ("select 'pg_advisory_lock(1)'", false),
            ("select $$ pg_advisory_lock(1) $$, $a$;listen x;$a$", false),
            ("select set_config('a', 'b', false)", true),
            ("select set_config('a', 'b', true)", false),
            ("LISTEN x", true),
            ("NOTIFY x", false),
            ("PREPARE a AS select 1", true),
            ("execute a", true),
            ("DEALLOCATE a", true),
            ("DEALLOCATE ALL", false),
            ("DISCARD ALL", false),
            ("DISCARD TEMP", true),
            ("select 1; DISCARD ALL", true),
            ("DISCARD ALL; select 1", true),
            ("SET ROLE x", true),
            ("SET SESSION AUTHORIZATION x", true),
            ("SET standard_conforming_strings = off", true),
            ("SET standard_conforming_strings = on", false),
            ("PREPARE TRANSACTION 'x'", true),
            ("select $1, $2", false),
            ("select e'it\\'s; listen x'", false),
        ] {
            assert_eq!(scan(text.as_bytes()).not_here.is_some(), not_here, "{text}");
        }
    }

    #[test]
    fn transactions_are_seen_by_their_first_words() {
        let seen = |text: &str| {
            let scan = scan(text.as_bytes());
            (scan.statements, scan.begins, scan.commits, scan.rolls_back)
        };
        assert_eq!(seen("BEGIN"), (1, true, false, false));
        assert_eq!(seen("start transaction; select 1; end;"), (3, true, true, false));
        assert_eq!(seen("ROLLBACK TO SAVEPOINT a"), (1, false, false, false));
        assert_eq!(seen("/* c */ rollback;;"), (1, false, false, true));
        assert_eq!(seen("select case when true then 1 end"), (1, false, false, false));
        assert_eq!(seen(""), (0, false, false, false));
    }

    #[test]
    fn labels_come_from_statements_and_leading_comments() {
        let own = |text: &str| scan(text.as_bytes()).own;
        assert_eq!(
            own("SET hallmux.workload = 'report'"),
            Some(Own::Label("workload".into(), "report".into()))
        );
        assert_eq!(own("set \"hallmux\".key to 'it''s'"), Some(Own::Label("key".into(), "it's".into())));
        assert_eq!(own("RESET hallmux.key"), Some(Own::Label("key".into(), String::new())));
        assert_eq!(own("SET hallmux.key = 'a'; select 1"), None);
        let label = scan(b"/*a='b'*/ /*hallmux.workload='re%20port',hallmux.key='k'*/ select 1").label;
        assert_eq!((label.workload.as_deref(), label.key.as_deref()), (Some("re port"), Some("k")));
        assert_eq!(scan(b"select 1 /*hallmux.workload='x'*/").label, Label::default());
        assert_eq!(scan(b"/*hallmux.workload='x'").label, Label::default());
    }

    #[test]
    fn any_bytes_are_read_to_their_end() {
        for text in [
            "'",
            "\"",
            "$",
            "$$",
            "$a$",
            "e'\\",
            "/*",
            "--",
            "set",
            "set session",
            "reset",
            "set a",
            "\u{e9}$",
        ] {
            scan(text.as_bytes());
            scan(format!("set hallmux.{text}").as_bytes());
            scan(format!("select set_config{text}").as_bytes());
        }
        scan(&(0..=255).collect::<Vec<u8>>());
    }

    #[test]
    fn times_are_read_with_their_units() {
        for (text, micros) in [
            ("250", Some(250_000)),
            ("'5s'", Some(5_000_000)),
            ("1 min", Some(60_000_000)),
            ("x", None),
            ("1y", None),
        ] {
            assert_eq!(time(text), micros, "{text}");
        }
    }
}
