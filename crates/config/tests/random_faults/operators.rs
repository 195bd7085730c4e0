//! The operator's own file: every key of the example, written as JSON, which is JSON5.

use hallmux_config::{OperatorConfig, Settings};
use proptest::prelude::*;
use serde_json::Value;

use crate::layout::{layout, paths, Change};
use crate::{assert_shape, corrupt, corruption, VALUES};

const SETTINGS: &str = r#"{"instances": 1, "areas": ["here", "std-eu", "std-us", "std-ap"], "kinds": ["std", "pg"],
    "rules": {}, "customers": [{"name": "acme"}], "report": {"names": ["active"]},
    "requestClasses": [{"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"}]}"#;
const EXAMPLE: &str = include_str!("../../../../deploy/operator.example.json5");

/// Objects whose keys are names that the operator gives.
const NAMING: [&str; 7] = [
    "peers", "voters", "members", "users", "regions", "sites", "schemas",
];

fn agreed() -> Settings {
    Settings::parse(SETTINGS).unwrap()
}

fn example() -> Value {
    json5::from_str(EXAMPLE).unwrap()
}

fn read(text: &str, agreed: &Settings) -> Result<(), String> {
    OperatorConfig::parse(text, agreed)
        .map(|_| ())
        .map_err(|e| e.to_string())
}

/// Which of the types of JSON it is.
fn form(value: &Value) -> u8 {
    match value {
        Value::Null => 0,
        Value::Bool(_) => 1,
        Value::Number(_) => 2,
        Value::String(_) => 3,
        Value::Array(_) => 4,
        Value::Object(_) => 5,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_value_of_another_type_is_refused_with_its_line_and_key(
        at in any::<prop::sample::Index>(),
        value in prop::sample::select([&VALUES[..], &["NaN", "Infinity", "-Infinity"]].concat()),
    ) {
        let example = example();
        let paths = paths(&example);
        let path = at.get(&paths);
        let was = example.pointer(&format!("/{}", path.replace('[', "/").replace(']', "").replace('.', "/")));
        let written = layout(&example, path, &Change::Replace(value.to_string()));
        match (read(&written.text, &agreed()), serde_json::from_str::<Value>(value)) {
            (Ok(()), Ok(new)) => {
                let same = was.is_some_and(|was| form(was) == form(&new));
                // An object may be read from a list of what it holds, and null stands for a key that is not there.
                prop_assert!(same || new.is_null() || new.is_array(), "{} becomes {}", path, value);
                prop_assert!(value != "1e300" && value != "18446744073709551616", "{} becomes {}", path, value);
            }
            (Ok(()), Err(_)) => prop_assert!(false, "{} becomes {}", path, value),
            (Err(said), _) => {
                let line = assert_shape(&said);
                let named = written.lines.get(path).copied();
                // What no longer goes with it may be told where that stands.
                prop_assert!(line.is_some_and(|line| line <= written.text.matches('\n').count()), "{}", said);
                let elsewhere = ["is not among", "needs", "names none", "copies: ", "scatter.loads"];
                prop_assert!(line == named || elsewhere.iter().any(|e| said.contains(e)), "{}: {}", path, said);
            }
        }
    }

    #[test]
    fn an_unknown_key_is_refused_with_its_line(at in any::<prop::sample::Index>(), key in "[a-z_]{1,9}") {
        let example = example();
        let mut objects: Vec<String> = paths(&example);
        objects.push(String::new());
        let holder = |path: &String| {
            let value = example.pointer(&format!("/{}", path.replace('[', "/").replace(']', "").replace('.', "/")));
            let naming = NAMING.contains(&path.rsplit('.').next().unwrap_or_default());
            (path.is_empty() || value.is_some_and(Value::is_object)) && !naming
        };
        objects.retain(holder);
        let path = at.get(&objects);
        let key = format!("zz{key}");
        let written = layout(&example, path, &Change::Insert(key.clone(), "1".into()));
        let whole = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let said = read(&written.text, &agreed()).unwrap_err();
        prop_assert!(said.contains(&format!("{whole}: unknown field `{key}`")), "{}", said);
        prop_assert_eq!(assert_shape(&said), written.lines.get(&whole).copied(), "{}", said);
    }

    #[test]
    fn a_corrupted_file_is_accepted_or_refused_in_one_line(how in corruption()) {
        let text = corrupt(EXAMPLE, how);
        if let Err(said) = read(&text, &agreed()) {
            let line = assert_shape(&said);
            // The library counts other ends of lines than `\n` as well.
            prop_assert!(line.is_none_or(|line| line <= text.matches(['\n', '\r', '\u{2028}']).count() + 1), "{}", said);
        }
    }
}

#[test]
fn the_example_is_accepted_as_json() {
    read(&layout(&example(), "", &Change::None).text, &agreed()).unwrap();
}
