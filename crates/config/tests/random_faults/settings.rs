//! The settings object, in the configuration of a front.

use hallmux_config::NodeConfig;
use hallmux_dispatcher::{Dispatcher, ListScope, Listing, Mode, Protocol, StatementRequest};
use proptest::prelude::*;
use serde_json::{json, Value};

use crate::layout::{layout, paths, Change};
use crate::{assert_shape, corrupt, corruption, read, VALUES};

/// Several classes of every effect and group, tenants, and names that no program would think of.
fn station() -> Value {
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
    Holder,
    /// Of no key that is read.
    Unknown,
}

/// What a key is, and whether null stands for none.
fn kind(path: &str, value: Option<&Value>) -> (Kind, bool) {
    let Some(path) = path.strip_prefix("settings.") else {
        return (Kind::Unknown, true);
    };
    let plain: String = path.chars().filter(|c| !c.is_ascii_digit()).collect();
    let plain = plain
        .strip_prefix("extra.reportX")
        .map_or(plain.clone(), |_| "extra.reportX".to_string());
    let (parent, key) = plain.rsplit_once('.').unwrap_or(("", &plain));
    match (parent, key) {
        ("requestClasses[]", "repeat") => (Kind::Effect, false),
        ("requestClasses[]", "group") => (Kind::Group, true),
        ("requestClasses[]", "kindsAllowed[]" | "areasOnly[]") => (Kind::Count, false),
        ("requestClasses[]", "kindsAllowed" | "areasOnly") => (Kind::Holder, true),
        ("requestClasses[]", "stream") | ("rules", "askWithinMs") => (Kind::Unknown, true),
        ("customers[]", "share") | ("extra", "notes") => (Kind::Unknown, true),
        ("" | "goal", key) if key.starts_with("tiers") || plain.starts_with("goal") => {
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
            _ => (Kind::Holder, false),
        },
    }
}

/// Whether the text is a value that the key may have; None where it has to be tried.
fn fits((kind, none): (Kind, bool), text: &str) -> Option<bool> {
    if kind == Kind::Unknown {
        return Some(true);
    }
    let value = serde_json::from_str::<Value>(text);
    let Ok(value) = value else { return Some(false) };
    if value.is_null() {
        return Some(none);
    }
    match kind {
        Kind::Figure => Some(value.as_f64().is_some_and(|v| (0.0..=1e12).contains(&v))),
        Kind::Count => Some(value.as_u64().is_some()),
        Kind::Flag => Some(value.is_boolean()),
        Kind::Text => Some(value.is_string()),
        Kind::Effect | Kind::Group | Kind::Unknown => Some(false), // none of the values drawn is a word
        Kind::Holder => {
            if value.is_array() || value.is_object() {
                None
            } else {
                Some(false)
            }
        }
    }
}

/// What was read is then used: a statement of each class is taken and decided on.
fn use_config(station: &NodeConfig) {
    let mut dispatcher = Dispatcher::new(&station.settings, station.seed);
    let names = &station.settings.names;
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
    read(text).map(|station| use_config(&station))
}

#[test]
fn a_full_configuration_is_accepted() {
    read_and_use(&layout(&station(), "", &Change::None).text).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn another_value_is_accepted_or_refused_with_its_line_and_key(
        at in any::<prop::sample::Index>(),
        value in prop::sample::select(&VALUES[..]),
    ) {
        let station = station();
        let paths: Vec<String> = paths(&station).into_iter().filter(|p| p.starts_with("settings.")).collect();
        let path = at.get(&paths);
        let was = station.pointer(&format!("/{}", path.replace('[', "/").replace(']', "").replace('.', "/")));
        let written = layout(&station, path, &Change::Replace(value.to_string()));
        let read = read_and_use(&written.text);
        if let Some(fits) = fits(kind(path, was), value) {
            prop_assert_eq!(read.is_ok(), fits, "{} becomes {}: {:?}", path, value, read);
        }
        if let Err(said) = read {
            prop_assert_eq!(assert_shape(&said), written.lines.get(path).copied(), "{}", &said);
            prop_assert!(said.contains(path.as_str()), "{}: {}", path, said);
        }
    }

    #[test]
    fn a_key_that_is_gone_or_there_twice_is_defaulted_or_refused(
        at in any::<prop::sample::Index>(),
        twice in any::<bool>(),
    ) {
        let station = station();
        let paths = paths(&station);
        let path = at.get(&paths);
        let change = if twice { Change::Duplicate } else { Change::Remove };
        let written = layout(&station, path, &change);
        let (parent, key) = path.rsplit_once('.').unwrap_or(("", path));
        let needed = ["seed", "name", "settings", "settings.instances", "settings.requestClasses", "settings.rules"];
        let needs = needed.contains(&path.as_str())
            || path.starts_with("settings.requestClasses[") && ["aimMs", "deadlineMs", "repeat"].contains(&key);
        match read_and_use(&written.text) {
            Ok(()) => prop_assert!(twice || !needs, "{} may not be gone", path),
            Err(said) => {
                prop_assert!(twice || needs, "{}: {}", path, said);
                prop_assert!(said.contains(key), "{}: {}", path, said);
                // A key twice may be told at the second, or at what holds both.
                if let (Some(line), false) = (assert_shape(&said), twice) {
                    prop_assert_eq!(Some(&line), written.lines.get(parent), "{}", said);
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
        let station = station();
        let mut objects = paths(&station);
        objects.push(String::new());
        let path = at.get(&objects);
        let written = layout(&station, path, &Change::Insert(format!("zz{key}"), value.to_string()));
        let read = read_and_use(&written.text);
        prop_assert!(read.is_ok(), "{:?}", read);
    }

    #[test]
    fn a_corrupted_text_is_accepted_or_refused_in_one_line(how in corruption()) {
        let written = layout(&station(), "", &Change::None);
        let text = corrupt(&written.text, how);
        if let Err(said) = read_and_use(&text) {
            let line = assert_shape(&said);
            prop_assert!(line.is_none_or(|line| line <= text.matches('\n').count() + 1), "{}", said);
        }
    }
}
