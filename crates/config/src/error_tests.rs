//! Unit tests of the `error` module.

use std::collections::HashSet;

use super::{Error, KeyProblem, TextPosition};

fn position(line: usize, path: &str) -> TextPosition {
    TextPosition {
        line: Some(line),
        column: None,
        path: path.into(),
    }
}

/// Where, what is wrong, what to do: each is there, in this order and in one line.
fn has_shape(text: &str, place: &str) {
    let Some((before, remedy)) = text.rsplit_once("; ") else {
        panic!("no remedy: {text}")
    };
    let problem = before
        .strip_prefix(place)
        .and_then(|rest| rest.strip_prefix(": "));
    assert!(
        problem.is_some_and(|problem| problem.len() > 4),
        "no place and what is wrong: {text}"
    );
    assert!(remedy.len() >= 8 && !text.contains('\n'), "{text}");
}

#[test]
fn every_kind_of_key_says_what_is_wrong_and_what_to_do() {
    let kinds = [
        KeyProblem::Missing,
        KeyProblem::MissingWithVariable {
            variable: "NODE_NAME",
        },
        KeyProblem::Rejected {
            reason: "unknown field `sesions`".into(),
            hint: "the example shows each key",
        },
        KeyProblem::InvalidValue {
            value: "x".into(),
            reason: "no address".into(),
            remedy: "give an address",
        },
        KeyProblem::UnknownWord {
            word: "x".into(),
            known: vec!["all", "zone"],
        },
        KeyProblem::unknown_name("x", "the settings' kinds", &["std".into(), "big".into()]),
        KeyProblem::unknown_name("x", "the settings' kinds", &[]),
        KeyProblem::out_of_range(1, 9),
        KeyProblem::below_minimum(10),
        KeyProblem::above_maximum(64),
        KeyProblem::InvalidPublicKey,
        KeyProblem::from("names none; name one"),
        KeyProblem::from("names none, and its author says nothing more".to_string()),
    ];
    let mut seen = HashSet::new();
    for problem in kinds {
        seen.insert(std::mem::discriminant(&problem));
        // No kind is left out above: a new one does not build here.
        match &problem {
            KeyProblem::Missing
            | KeyProblem::MissingWithVariable { .. }
            | KeyProblem::Rejected { .. }
            | KeyProblem::InvalidValue { .. } => {}
            KeyProblem::UnknownWord { .. }
            | KeyProblem::UnknownName { .. }
            | KeyProblem::OutOfRange { .. }
            | KeyProblem::BelowMinimum { .. } => {}
            KeyProblem::AboveMaximum { .. }
            | KeyProblem::InvalidPublicKey
            | KeyProblem::Other { .. } => {}
        }
        let text = Error::Key {
            position: position(7, "gossip.peers.n1"),
            problem: Box::new(problem),
        }
        .to_string();
        has_shape(&text, "line 7: gossip.peers.n1");
    }
    assert_eq!(seen.len(), 11, "a kind is left out");
    let many: Vec<String> = (0..18).map(|n| format!("k{n}")).collect();
    let text = KeyProblem::unknown_name("x", "the settings' kinds", &many).to_string();
    assert!(
        text.contains("k15 and 2 more") && !text.contains("k16"),
        "{text}"
    );
}

#[test]
fn every_error_says_where_what_and_what_to_do() {
    let key = Error::Key {
        position: position(7, "seed"),
        problem: Box::new(KeyProblem::Missing),
    };
    let deep = Error::TooDeep {
        position: position(3, ""),
        max_depth: 64,
    };
    let not_text = Error::NotUtf8 {
        position: TextPosition {
            column: Some(4),
            ..position(2, "")
        },
    };
    let malformed = Error::Malformed {
        position: position(3, "settings"),
        reason: "expected colon".into(),
    };
    let unreadable = Error::UnreadableFile {
        variable: "NODE_CONFIG",
        path: "a.json".into(),
        reason: "no such file".into(),
    };
    let variable = Error::Variable {
        variable: "NODE_LISTEN",
        value: "x".into(),
        reason: "invalid socket address syntax".into(),
        remedy: "give an address and a port",
    };
    let in_file = |error: &Error| error.clone().in_file("HALLMUX_OPERATOR", "op.json5");
    let mut seen = HashSet::new();
    for (error, place) in [
        (
            Error::Unset {
                variable: "NODE_CONFIG",
                expected: "a path",
            },
            "NODE_CONFIG",
        ),
        (variable.clone(), "NODE_LISTEN"),
        (unreadable.clone(), "NODE_CONFIG: a.json"),
        (not_text.clone(), "line 2, column 4"),
        (malformed.clone(), "line 3: settings"),
        (deep.clone(), "line 3"),
        (key.clone(), "line 7: seed"),
        (in_file(&key), "HALLMUX_OPERATOR: op.json5: line 7: seed"),
        (in_file(&deep), "HALLMUX_OPERATOR: op.json5: line 3"),
        (
            in_file(&not_text),
            "HALLMUX_OPERATOR: op.json5: line 2, column 4",
        ),
        (
            in_file(&malformed),
            "HALLMUX_OPERATOR: op.json5: line 3: settings",
        ),
        // What is not of the file is not said to be.
        (in_file(&variable), "NODE_LISTEN"),
        (in_file(&unreadable), "NODE_CONFIG: a.json"),
    ] {
        seen.insert(std::mem::discriminant(&error));
        match &error {
            Error::Unset { .. } | Error::Variable { .. } | Error::UnreadableFile { .. } => {}
            Error::NotUtf8 { .. } | Error::Malformed { .. } | Error::TooDeep { .. } => {}
            Error::Key { .. } | Error::InFile { .. } => {}
        }
        has_shape(&error.to_string(), place);
    }
    assert_eq!(seen.len(), 8, "a kind is left out");
}

/// A text with each character that could end a line, and one that steers a terminal.
const BREAKING: &str = "a\nb\rc\u{85}d\u{2028}e\u{2029}f\u{1b}[2J\u{0}";

#[test]
fn an_error_that_quotes_a_line_break_stays_on_one_line() {
    let breaking = || BREAKING.to_string();
    let at = |path: &str| TextPosition {
        line: Some(7),
        column: None,
        path: path.into(),
    };
    let problem = |problem| Error::Key {
        position: at("settings.x"),
        problem: Box::new(problem),
    };
    let key = Error::Key {
        position: at(BREAKING),
        problem: Box::new(KeyProblem::Missing),
    };
    let unreadable = Error::UnreadableFile {
        variable: "NODE_CONFIG",
        path: breaking(),
        reason: breaking(),
    };
    let variable = Error::Variable {
        variable: "NODE_LISTEN",
        value: breaking(),
        reason: breaking(),
        remedy: "give an address and a port",
    };
    let errors = [
        key.clone(),
        key.in_file("HALLMUX_OPERATOR", BREAKING),
        unreadable,
        variable,
        Error::Malformed {
            position: at(BREAKING),
            reason: breaking(),
        },
        problem(KeyProblem::Rejected {
            reason: breaking(),
            hint: "the example shows each key",
        }),
        problem(KeyProblem::InvalidValue {
            value: breaking(),
            reason: breaking(),
            remedy: "give another",
        }),
        problem(KeyProblem::UnknownWord {
            word: breaking(),
            known: vec!["all", "zone"],
        }),
        problem(KeyProblem::unknown_name(
            BREAKING,
            "the settings' kinds",
            &[breaking()],
        )),
        problem(KeyProblem::from(format!(
            "{BREAKING} can't be used; give another"
        ))),
    ];
    for error in errors {
        let text = error.to_string();
        assert!(
            !text.contains(|c: char| c.is_control() || "\u{2028}\u{2029}".contains(c)),
            "{text:?}"
        );
        assert!(
            text.contains(r"a\nb\rc\u{85}d\u{2028}e\u{2029}f\u{1b}[2J\u{0}"),
            "{text}"
        );
    }
}
