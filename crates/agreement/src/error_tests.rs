//! Unit tests of the `error` module.

use super::*;

fn place(line: usize, path: &str) -> Place {
    Place { line: Some(line), column: None, path: path.into() }
}

/// Where, what is wrong, what to do: each is there, in this order and in one line.
fn has_shape(text: &str, place: &str) {
    let Some((before, remedy)) = text.rsplit_once("; ") else { panic!("no remedy: {text}") };
    let what = before.strip_prefix(place).and_then(|rest| rest.strip_prefix(": "));
    assert!(what.is_some_and(|what| what.len() > 4), "no place and what is wrong: {text}");
    assert!(remedy.len() >= 8 && !text.contains('\n'), "{text}");
}

#[test]
fn every_kind_of_key_says_what_is_wrong_and_what_to_do() {
    let kinds = [
        What::Missing,
        What::Unsaid { variable: "NODE_NAME" },
        What::Form { said: "unknown field `sesions`".into(), shown: "the example shows each key" },
        What::Value { value: "x".into(), said: "no address".into(), remedy: "give an address" },
        What::Word { word: "x".into(), known: vec!["all", "zone"] },
        What::stranger("x", "the settings' kinds", &["std".into(), "big".into()]),
        What::stranger("x", "the settings' kinds", &[]),
        What::range(1, 9),
        What::under(10),
        What::over(64),
        What::NoKey,
        What::from("names none; name one"),
        What::from("names none, and its author says nothing more".to_string()),
    ];
    for what in kinds {
        // No kind is left out above: a new one does not build here.
        match &what {
            What::Missing | What::Unsaid { .. } | What::Form { .. } | What::Value { .. } => {}
            What::Word { .. } | What::Stranger { .. } | What::Range { .. } | What::Under { .. } => {}
            What::Over { .. } | What::NoKey | What::Unfit { .. } => {}
        }
        let text = Error::Key { place: place(7, "gossip.peers.n1"), what: Box::new(what) }.to_string();
        has_shape(&text, "line 7: gossip.peers.n1");
    }
    let many: Vec<String> = (0..18).map(|n| format!("k{n}")).collect();
    let text = What::stranger("x", "the settings' kinds", &many).to_string();
    assert!(text.contains("k15 and 2 more") && !text.contains("k16"), "{text}");
}

#[test]
fn every_error_says_where_what_and_what_to_do() {
    let key = Error::Key { place: place(7, "seed"), what: Box::new(What::Missing) };
    let deep = Error::Deep { place: place(3, ""), most: 64 };
    let not_text = Error::NotText { place: Place { column: Some(4), ..place(2, "") } };
    let malformed = Error::Malformed { place: place(3, "settings"), said: "expected colon".into() };
    let unreadable =
        Error::Unreadable { variable: "NODE_CONFIG", path: "a.json".into(), said: "no such file".into() };
    let variable = Error::Variable {
        variable: "NODE_LISTEN",
        value: "x".into(),
        said: "invalid socket address syntax".into(),
        remedy: "give an address and a port",
    };
    let in_file = |error: &Error| error.clone().in_file("HALLMUX_OPERATOR", "op.json5");
    for (error, place) in [
        (Error::Unset { variable: "NODE_CONFIG", meant: "a path" }, "NODE_CONFIG"),
        (variable.clone(), "NODE_LISTEN"),
        (unreadable.clone(), "NODE_CONFIG: a.json"),
        (not_text, "line 2, column 4"),
        (malformed, "line 3: settings"),
        (deep.clone(), "line 3"),
        (key.clone(), "line 7: seed"),
        (in_file(&key), "HALLMUX_OPERATOR: op.json5: line 7: seed"),
        (in_file(&deep), "HALLMUX_OPERATOR: op.json5: line 3"),
        // What is not of the file is not said to be.
        (in_file(&variable), "NODE_LISTEN"),
        (in_file(&unreadable), "NODE_CONFIG: a.json"),
    ] {
        match &error {
            Error::Unset { .. } | Error::Variable { .. } | Error::Unreadable { .. } => {}
            Error::NotText { .. } | Error::Malformed { .. } | Error::Deep { .. } => {}
            Error::Key { .. } | Error::InFile { .. } => {}
        }
        has_shape(&error.to_string(), place);
    }
}
