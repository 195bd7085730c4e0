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

/// Asserts that a text is one line with the position, the problem and the remedy, in this order.
fn assert_shape(text: &str, position: &str) {
    let Some((before, remedy)) = text.rsplit_once("; ") else {
        panic!("no remedy: {text}")
    };
    let problem = before
        .strip_prefix(position)
        .and_then(|rest| rest.strip_prefix(": "));
    assert!(
        problem.is_some_and(|problem| problem.len() > 4),
        "no position and problem: {text}"
    );
    assert!(remedy.len() >= 8 && !text.contains('\n'), "{text}");
}

#[test]
fn every_key_problem_states_position_problem_and_remedy() {
    let problems = [
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
        KeyProblem::from("is empty; name one"),
        KeyProblem::from("is empty, without a remedy".to_string()),
    ];
    let mut seen = HashSet::new();
    for problem in problems {
        seen.insert(std::mem::discriminant(&problem));
        // Exhaustive: a variant that is added must be added here and above.
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
        assert_shape(&text, "line 7: gossip.peers.n1");
    }
    assert_eq!(seen.len(), 11, "a variant is missing");
    let many: Vec<String> = (0..18).map(|n| format!("k{n}")).collect();
    let text = KeyProblem::unknown_name("x", "the settings' kinds", &many).to_string();
    assert!(
        text.contains("k15 and 2 more") && !text.contains("k16"),
        "{text}"
    );
}

#[test]
fn every_error_states_position_problem_and_remedy() {
    let key = Error::Key {
        position: position(7, "seed"),
        problem: Box::new(KeyProblem::Missing),
    };
    let too_deep = Error::TooDeep {
        position: position(3, ""),
        max_depth: 64,
    };
    let not_utf8 = Error::NotUtf8 {
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
    for (error, position) in [
        (
            Error::Unset {
                variable: "NODE_CONFIG",
                expected: "a path",
            },
            "NODE_CONFIG",
        ),
        (variable.clone(), "NODE_LISTEN"),
        (unreadable.clone(), "NODE_CONFIG: a.json"),
        (not_utf8.clone(), "line 2, column 4"),
        (malformed.clone(), "line 3: settings"),
        (too_deep.clone(), "line 3"),
        (key.clone(), "line 7: seed"),
        (in_file(&key), "HALLMUX_OPERATOR: op.json5: line 7: seed"),
        (in_file(&too_deep), "HALLMUX_OPERATOR: op.json5: line 3"),
        (
            in_file(&not_utf8),
            "HALLMUX_OPERATOR: op.json5: line 2, column 4",
        ),
        (
            in_file(&malformed),
            "HALLMUX_OPERATOR: op.json5: line 3: settings",
        ),
        // Errors that are not in the file do not name it.
        (in_file(&variable), "NODE_LISTEN"),
        (in_file(&unreadable), "NODE_CONFIG: a.json"),
    ] {
        seen.insert(std::mem::discriminant(&error));
        match &error {
            Error::Unset { .. } | Error::Variable { .. } | Error::UnreadableFile { .. } => {}
            Error::NotUtf8 { .. } | Error::Malformed { .. } | Error::TooDeep { .. } => {}
            Error::Key { .. } | Error::InFile { .. } => {}
        }
        assert_shape(&error.to_string(), position);
    }
    assert_eq!(seen.len(), 8, "a variant is missing");
}

/// A text with each character that ends a line, and a terminal control sequence.
const CONTROL_CHARACTERS: &str = "a\nb\rc\u{85}d\u{2028}e\u{2029}f\u{1b}[2J\u{0}";

#[test]
fn line_breaks_and_control_characters_in_quoted_text_are_escaped() {
    let control_characters = || CONTROL_CHARACTERS.to_string();
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
        position: at(CONTROL_CHARACTERS),
        problem: Box::new(KeyProblem::Missing),
    };
    let unreadable = Error::UnreadableFile {
        variable: "NODE_CONFIG",
        path: control_characters(),
        reason: control_characters(),
    };
    let variable = Error::Variable {
        variable: "NODE_LISTEN",
        value: control_characters(),
        reason: control_characters(),
        remedy: "give an address and a port",
    };
    let errors = [
        key.clone(),
        key.in_file("HALLMUX_OPERATOR", CONTROL_CHARACTERS),
        unreadable,
        variable,
        Error::Malformed {
            position: at(CONTROL_CHARACTERS),
            reason: control_characters(),
        },
        problem(KeyProblem::Rejected {
            reason: control_characters(),
            hint: "the example shows each key",
        }),
        problem(KeyProblem::InvalidValue {
            value: control_characters(),
            reason: control_characters(),
            remedy: "give another",
        }),
        problem(KeyProblem::UnknownWord {
            word: control_characters(),
            known: vec!["all", "zone"],
        }),
        problem(KeyProblem::unknown_name(
            CONTROL_CHARACTERS,
            "the settings' kinds",
            &[control_characters()],
        )),
        problem(KeyProblem::from(format!(
            "{CONTROL_CHARACTERS} can't be used; give another"
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
