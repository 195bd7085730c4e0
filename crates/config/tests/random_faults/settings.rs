//! Random faults in the settings object within the configuration of a front.

use hallmux_config::NodeConfig;
use hallmux_dispatcher::{Dispatcher, ListScope, Listing, Mode, Protocol, StatementRequest};
use proptest::prelude::*;
use serde_json::{json, Value};

use crate::layout::{layout, paths, Change};
use crate::{assert_shape, corrupt, corruption, read, VALUES};

/// A node configuration with every key: classes of every effect and deduplication group, customers,
/// and names with unusual characters.
fn node_config() -> Value {
    let class = |name: &str, repeat: &str, worth: f64| {
        json!({"name": name, "aimMs": 800.0, "aimStretch": 2.0, "deadlineMs": 6000.0, "lateShare": 0.25, "stream": false,
            "repeat": repeat, "worth": worth})
    };
    let keyed = |name: &str, group: &str, in_turn: bool| {
        let mut class = class(name, "by_key", 4.0);
        class["group"] = json!(group);
        class["dedupWindowMs"] = json!(9000);
        class["inTurn"] = json!(in_turn);
        class
    };
    let mut bound = class("nightly \u{2019}report\u{2019}", "repeatable", 2.5);
    (bound["kindsAllowed"], bound["areasOnly"]) = (json!([1]), json!([0, 2]));
    let classes = json!([
        class("look.up", "repeatable", 1.0),
        bound,
        keyed("load[0]", "all", true),
        keyed("up\"sert", "zone", true),
        keyed("tag\\move", "cell", false),
        class("pay", "once", 12.0),
        class("", "once", 0.0)
    ]);
    json!({"name": "n 7", "seed": "c0ffee", "coordinator": "127.0.0.1:9", "limits": {"memory_mb": 256, "sockets": 900},
        "known": {"index": 0, "updates": []}, "cellar": [1, 2],
        "settings": {
            "instances": 24, "areas": ["ox-1", "ox.2", "\u{f6}st"], "kinds": ["s", "s"], "discovery": "subscribe",
            "customers": [{"name": "a.b", "allowancePerS": 30.5, "share": 0.6}, {"name": "{x}"},
                {"name": "\u{6771}\u{4eac}", "allowancePerS": 0}],
            "overShareWorth": 0.1, "tiers": ["one"], "goal": {"whole": 0.5, "worstClass": 0.5},
            "bounds": {"cancelling": true, "dialTimeoutMs": 200.0, "keepaliveMs": 9000.0, "streamsPerConn": 8,
                "mostHeld": 900, "mostTries": 3, "probes": true, "retryAfter": true, "maxRetryAfterMs": 400.0},
            "extra": {"classWaits": [true, false, true], "costInAnswers": true, "writesTables": [false, false, true],
                "parallelism": [1, 4, 2], "grantsCount": true, "largestShare": 0.5, "memoryByKindMb": [8192, 65536.5],
                "sizeCores": [4, 32], "reportX0": "share of memory granted", "reportX1": "other", "takesPriority": true,
                "tellsEveryMs": 750.0, "notes": "words"},
            "report": {"names": ["cpu", "waiting", "x0", "x1"], "source": "on_probe"},
            "rules": {"answerSlackMs": 25, "askWithinMs": 8000, "budgetSpanMs": 9000, "coldFrom": 0.3, "fallMs": 1500,
                "furtherRatio": 0.1, "overloadFactor": 2.5, "spareAttempts": 3, "turnGapMs": 80, "warmWithinMs": 9000},
            "requestClasses": classes}})
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Figure,
    Count,
    Flag,
    Text,
    Effect,
    Group,
    Container,
    /// The value of a key that is not read.
    Unknown,
}

/// The kind of the value at a path, and whether null is accepted as an absent value.
fn kind(path: &str, value: Option<&Value>) -> (Kind, bool) {
    let Some(path) = path.strip_prefix("settings.") else {
        return (Kind::Unknown, true);
    };
    let generic_path: String = path.chars().filter(|c| !c.is_ascii_digit()).collect();
    let generic_path = generic_path
        .strip_prefix("extra.reportX")
        .map_or(generic_path.clone(), |_| "extra.reportX".to_string());
    let (parent, key) = generic_path.rsplit_once('.').unwrap_or(("", &generic_path));
    match (parent, key) {
        ("requestClasses[]", "repeat") => (Kind::Effect, false),
        ("requestClasses[]", "group") => (Kind::Group, true),
        ("requestClasses[]", "kindsAllowed[]" | "areasOnly[]") => (Kind::Count, false),
        ("requestClasses[]", "kindsAllowed" | "areasOnly") => (Kind::Container, true),
        ("requestClasses[]", "stream") | ("rules", "askWithinMs") => (Kind::Unknown, true),
        ("customers[]", "share") | ("extra", "notes") => (Kind::Unknown, true),
        ("" | "goal", key) if key.starts_with("tiers") || generic_path.starts_with("goal") => {
            (Kind::Unknown, true)
        }
        ("bounds", "streamsPerConn" | "mostHeld" | "mostTries") => (Kind::Count, true),
        ("bounds", "dialTimeoutMs" | "keepaliveMs" | "maxRetryAfterMs") => (Kind::Figure, true),
        ("extra", "largestShare") | ("customers[]", "allowancePerS") => (Kind::Figure, true),
        ("rules", "furtherRatio" | "budgetSpanMs") => (Kind::Figure, true),
        ("", "discovery") | ("extra", "reportX") | ("report", "source") => (Kind::Text, true),
        _ => match value {
            Some(Value::Bool(_)) => (Kind::Flag, false),
            Some(Value::Number(_)) => (Kind::Figure, false),
            Some(Value::String(_)) => (Kind::Text, false),
            _ => (Kind::Container, false),
        },
    }
}

/// Whether a text is a valid value of a kind; None if that depends on the contents.
fn is_valid((kind, accepts_null): (Kind, bool), text: &str) -> Option<bool> {
    if kind == Kind::Unknown {
        return Some(true);
    }
    let value = serde_json::from_str::<Value>(text);
    let Ok(value) = value else { return Some(false) };
    if value.is_null() {
        return Some(accepts_null);
    }
    match kind {
        Kind::Figure => Some(value.as_f64().is_some_and(|v| (0.0..=1e12).contains(&v))),
        Kind::Count => Some(value.as_u64().is_some()),
        Kind::Flag => Some(value.is_boolean()),
        Kind::Text => Some(value.is_string()),
        Kind::Effect | Kind::Group | Kind::Unknown => Some(false), // none of the drawn values is a valid name
        Kind::Container => {
            if value.is_array() || value.is_object() {
                None
            } else {
                Some(false)
            }
        }
    }
}

/// Uses a configuration: submits a statement of each workload and lets the dispatcher decide on it.
fn use_config(node_config: &NodeConfig) {
    let mut dispatcher = Dispatcher::new(&node_config.settings, node_config.seed);
    let names = &node_config.settings.names;
    for (n, location) in names.locations.iter().enumerate() {
        let kind = names.kinds.first().map_or("", String::as_str);
        let id = format!("e{n}");
        let listing = Listing {
            id: &id,
            location,
            kind,
            cell: n,
            mode: Mode::Ready,
            started: None,
            protocols: &[Protocol::Lines],
        };
        let scope = if n == 0 {
            ListScope::Full
        } else {
            ListScope::Changes
        };
        dispatcher.update_engines(scope, &[listing]);
    }
    for (n, workload) in names.workloads.iter().enumerate() {
        let customer = names.customers.first().map_or("", String::as_str);
        let key = Some("k").filter(|_| n % 2 == 0);
        let ask = StatementRequest {
            workload,
            customer,
            order_key: key,
            dedup_key: Some("u"),
            time_left: 4_000_000,
            ..StatementRequest::default()
        };
        let _ = dispatcher.submit(1_000_000, &ask);
    }
    for now in [1_000_000, 1_000_500, 2_000_000, 60_000_000] {
        dispatcher.tick(now);
    }
}

fn read_and_use(text: &str) -> Result<(), String> {
    read(text).map(|node_config| use_config(&node_config))
}

#[test]
fn complete_configuration_is_accepted() {
    read_and_use(&layout(&node_config(), "", &Change::None).text).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn replaced_value_is_accepted_or_rejected_with_its_line_and_key(
        at in any::<prop::sample::Index>(),
        value in prop::sample::select(&VALUES[..]),
    ) {
        let node_config = node_config();
        let paths: Vec<String> = paths(&node_config).into_iter().filter(|p| p.starts_with("settings.")).collect();
        let path = at.get(&paths);
        let original = node_config.pointer(&format!("/{}", path.replace('[', "/").replace(']', "").replace('.', "/")));
        let changed = layout(&node_config, path, &Change::Replace(value.to_string()));
        let result = read_and_use(&changed.text);
        if let Some(is_valid) = is_valid(kind(path, original), value) {
            prop_assert_eq!(result.is_ok(), is_valid, "{} becomes {}: {:?}", path, value, result);
        }
        if let Err(message) = result {
            prop_assert_eq!(assert_shape(&message), changed.lines.get(path).copied(), "{}", &message);
            prop_assert!(message.contains(path.as_str()), "{}: {}", path, message);
        }
    }

    #[test]
    fn removed_or_duplicated_key_is_defaulted_or_rejected(
        at in any::<prop::sample::Index>(),
        duplicate in any::<bool>(),
    ) {
        let node_config = node_config();
        let paths = paths(&node_config);
        let path = at.get(&paths);
        let change = if duplicate { Change::Duplicate } else { Change::Remove };
        let changed = layout(&node_config, path, &change);
        let (parent, key) = path.rsplit_once('.').unwrap_or(("", path));
        let required_keys = ["seed", "name", "settings", "settings.instances", "settings.requestClasses", "settings.rules"];
        let is_required = required_keys.contains(&path.as_str())
            || path.starts_with("settings.requestClasses[") && ["aimMs", "deadlineMs", "repeat"].contains(&key);
        match read_and_use(&changed.text) {
            Ok(()) => prop_assert!(duplicate || !is_required, "{} is required", path),
            Err(message) => {
                prop_assert!(duplicate || is_required, "{}: {}", path, message);
                prop_assert!(message.contains(key), "{}: {}", path, message);
                // A duplicated key may be reported at its second occurrence or at its parent.
                if let (Some(line), false) = (assert_shape(&message), duplicate) {
                    prop_assert_eq!(Some(&line), changed.lines.get(parent), "{}", message);
                }
            }
        }
    }

    #[test]
    fn unknown_keys_are_ignored(
        at in any::<prop::sample::Index>(),
        value in prop::sample::select(&VALUES[..]),
        key in "[a-z.\\[\\]\"\\\\ \u{e4}]{1,12}",
    ) {
        let node_config = node_config();
        let mut objects = paths(&node_config);
        objects.push(String::new());
        let path = at.get(&objects);
        let changed = layout(&node_config, path, &Change::Insert(format!("zz{key}"), value.to_string()));
        let result = read_and_use(&changed.text);
        prop_assert!(result.is_ok(), "{:?}", result);
    }

    #[test]
    fn corrupted_text_is_accepted_or_rejected_with_one_line(corruption_kind in corruption()) {
        let changed = layout(&node_config(), "", &Change::None);
        let text = corrupt(&changed.text, corruption_kind);
        if let Err(message) = read_and_use(&text) {
            let line = assert_shape(&message);
            prop_assert!(line.is_none_or(|line| line <= text.matches('\n').count() + 1), "{}", message);
        }
    }
}
