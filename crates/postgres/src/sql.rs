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
    /// The workload's name.
    pub workload: Option<String>,
    /// The customer's name.
    pub customer: Option<String>,
    /// The order key: statements with equal ones run one after the other.
    pub key: Option<String>,
    /// Statements with equal ones take effect once.
    pub dedup_key: Option<String>,
    /// The client's estimate of the work, in milliseconds on one core.
    pub work_ms: Option<String>,
    /// The client's estimate of the memory, in MB.
    pub memory_mb: Option<String>,
    /// The time that it may take, in the form of the setting of that name.
    pub statement_timeout: Option<String>,
}

impl Label {
    /// Takes one field by its name behind `hallmux.`; an empty value takes it back. False if there is none
    /// such.
    pub fn set(&mut self, name: &str, value: &str) -> bool {
        let place = match name {
            "workload" => &mut self.workload,
            "member" => &mut self.customer,
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
    pub fn overridden_by(&self, other: &Label) -> Label {
        let either = |a: &Option<String>, b: &Option<String>| b.clone().or_else(|| a.clone());
        Label {
            workload: either(&self.workload, &other.workload),
            customer: either(&self.customer, &other.customer),
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
    /// A setting gets a value.
    Set {
        /// Its name, in lower case.
        name: String,
        /// The statement that sets it again.
        statement: String,
    },
    /// The setting of this name goes back to its default.
    Reset(String),
    /// All settings go back to their defaults.
    ResetAll,
}

/// A statement that the front answers without an engine, where it is all that a text holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalCommand {
    /// A label, its name behind `hallmux.` and its value.
    Label(String, String),
    /// Drops everything that the session has prepared.
    Deallocate,
    /// Drops that, and all settings.
    Discard,
}

impl LocalCommand {
    /// The tag of its completion.
    pub fn tag(&self) -> &'static str {
        match self {
            LocalCommand::Label(..) => "SET",
            LocalCommand::Deallocate => "DEALLOCATE ALL",
            LocalCommand::Discard => "DISCARD ALL",
        }
    }
}

/// What a front has to know of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    /// The labels in its leading comments.
    pub label: Label,
    /// How many statements it holds.
    pub statements: usize,
    /// Whether one begins a transaction.
    pub begins: bool,
    /// Whether one commits a transaction.
    pub commits: bool,
    /// Whether one rolls a transaction back.
    pub rolls_back: bool,
    /// Changes of the session's settings, in order.
    pub changes: Vec<Change>,
    /// The statement, where it is the only one and needs no engine.
    pub local_command: Option<LocalCommand>,
    /// What in it can't be done over shared connections.
    pub unsupported: Option<&'static str>,
}

const HEAD: usize = 8; // tokens kept of a statement's beginning: enough for every form below

/// Scans a text of one or more statements. Whatever it does not understand counts as harmless.
pub fn scan(text: &[u8]) -> Scan {
    let mut scan = Scan {
        label: label(text),
        ..Scan::default()
    };
    let mut head: Vec<Token> = Vec::with_capacity(HEAD);
    let mut before: Option<Token> = None;
    let mut tokens = Tokens { text, at: 0 };
    loop {
        let token = tokens.next();
        match token {
            Some(token) if token.kind != Kind::End => {
                let first = *head.first().unwrap_or(&token);
                check_word(&mut scan, text, &first, before.as_ref(), &token, &tokens);
                if head.len() < HEAD {
                    head.push(token);
                }
                before = Some(token);
            }
            ended => {
                let end = ended.map_or(text.len(), |token| token.at);
                if !head.is_empty() {
                    check_statement(&mut scan, text, &head, end);
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
        scan.local_command = None;
    }
    scan
}

/// Looks at one word in its place.
fn check_word(
    scan: &mut Scan,
    text: &[u8],
    first: &Token,
    before: Option<&Token>,
    token: &Token,
    rest: &Tokens,
) {
    if token.kind != Kind::Word {
        return;
    }
    let follows = |word: &str| before.is_some_and(|before| before.is(word));
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

/// Looks at a statement that is whole, by its beginning.
fn check_statement(scan: &mut Scan, text: &[u8], head: &[Token], end: usize) {
    scan.statements += 1;
    let second = |word: &str| head.get(1).is_some_and(|t| t.is(word));
    let first = |word: &str| head[0].is(word);
    if first("begin") || first("start") && second("transaction") {
        scan.begins = true;
    } else if first("commit") || first("end") {
        scan.commits = true;
        if second("prepared") {
            scan.unsupported = Some("a transaction in two phases");
        }
    } else if first("rollback") || first("abort") {
        if second("prepared") {
            scan.unsupported = Some("a transaction in two phases");
        }
        let to = |t: &Token| t.is("to");
        scan.rolls_back |= !head.iter().any(to);
    } else if first("prepare") {
        let two = second("transaction");
        scan.unsupported = Some(if two {
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
        setting(scan, text, head, end);
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

#[cfg(test)]
#[path = "sql_tests.rs"]
mod tests;
