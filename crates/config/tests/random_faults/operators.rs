//! Random faults in the operator's file: the example file, with every key, written as JSON, a
//! subset of JSON5.

use hallmux_config::{OperatorConfig, Settings};
use proptest::prelude::*;
use serde_json::Value;

use crate::layout::{layout, paths, Change};
use crate::{assert_shape, corrupt, corruption, VALUES};

const SETTINGS: &str = r#"{"instances": 1, "areas": ["here", "std-eu", "std-us", "std-ap"], "kinds": ["std", "pg"],
    "rules": {}, "customers": [{"name": "acme"}], "report": {"names": ["active"]},
    "requestClasses": [{"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"}]}"#;
const EXAMPLE: &str = include_str!("../../../../deploy/operator.example.json5");

/// Objects whose keys are names defined by the operator.
const NAMED_OBJECTS: [&str; 7] = [
    "peers", "voters", "members", "users", "regions", "sites", "schemas",
];

fn settings() -> Settings {
    Settings::parse(SETTINGS).unwrap()
}

fn example() -> Value {
    json5::from_str(EXAMPLE).unwrap()
}

fn read(text: &str, settings: &Settings) -> Result<(), String> {
    OperatorConfig::parse(text, settings)
        .map(|_| ())
        .map_err(|e| e.to_string())
}

/// A number for the JSON type of a value.
fn json_type(value: &Value) -> u8 {
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
    fn invalid_value_is_rejected_with_its_line_and_key(
        index in any::<prop::sample::Index>(),
        value in prop::sample::select([&VALUES[..], &["NaN", "Infinity", "-Infinity"]].concat()),
    ) {
        let example = example();
        let paths = paths(&example);
        let path = index.get(&paths);
        let original = example.pointer(&format!("/{}", path.replace('[', "/").replace(']', "").replace('.', "/")));
        let changed = layout(&example, path, &Change::Replace(value.to_string()));
        match (read(&changed.text, &settings()), serde_json::from_str::<Value>(value)) {
            (Ok(()), Ok(new)) => {
                let same_type = original.is_some_and(|original| json_type(original) == json_type(&new));
                // An object may be read from an array of its fields, and null means that the key is
                // absent.
                prop_assert!(same_type || new.is_null() || new.is_array(), "{} becomes {}", path, value);
                prop_assert!(value != "1e300" && value != "18446744073709551616", "{} becomes {}", path, value);
            }
            (Ok(()), Err(_)) => prop_assert!(false, "{} becomes {}", path, value),
            (Err(message), _) => {
                let line = assert_shape(&message);
                let key_line = changed.lines.get(path).copied();
                // A conflict with another key may be reported at the line of that key.
                prop_assert!(line.is_some_and(|line| line <= changed.text.matches('\n').count()), "{}", message);
                let other_key_problems = ["is not among", "needs", "names no site", "copies: ", "scatter.loads"];
                prop_assert!(line == key_line || other_key_problems.iter().any(|e| message.contains(e)), "{}: {}", path, message);
            }
        }
    }

    #[test]
    fn unknown_key_is_rejected_with_its_line(index in any::<prop::sample::Index>(), key in "[a-z_]{1,9}") {
        let example = example();
        let mut objects: Vec<String> = paths(&example);
        objects.push(String::new());
        let accepts_no_unknown_key = |path: &String| {
            let value = example.pointer(&format!("/{}", path.replace('[', "/").replace(']', "").replace('.', "/")));
            let has_named_keys = NAMED_OBJECTS.contains(&path.rsplit('.').next().unwrap_or_default());
            (path.is_empty() || value.is_some_and(Value::is_object)) && !has_named_keys
        };
        objects.retain(accepts_no_unknown_key);
        let path = index.get(&objects);
        let key = format!("zz{key}");
        let changed = layout(&example, path, &Change::Insert(key.clone(), "1".into()));
        let key_path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let message = read(&changed.text, &settings()).unwrap_err();
        prop_assert!(message.contains(&format!("{key_path}: unknown field `{key}`")), "{}", message);
        prop_assert_eq!(assert_shape(&message), changed.lines.get(&key_path).copied(), "{}", message);
    }

    #[test]
    fn corrupted_file_is_accepted_or_rejected_with_one_line(corruption_kind in corruption()) {
        let text = corrupt(EXAMPLE, corruption_kind);
        if let Err(message) = read(&text, &settings()) {
            let line = assert_shape(&message);
            // The parser counts other line terminators besides `\n`.
            prop_assert!(line.is_none_or(|line| line <= text.matches(['\n', '\r', '\u{2028}']).count() + 1), "{}", message);
        }
    }
}

#[test]
fn example_is_accepted_as_json() {
    read(&layout(&example(), "", &Change::None).text, &settings()).unwrap();
}
