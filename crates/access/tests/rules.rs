//! Rules files as a person writes them: which errors are reported and with which text; and the
//! index against a linear search.

use hallmux_access::{
    read, Attributes, DefaultEffect, FileErrors, Index, KnownNames, Rule, RuleEffect, RuleSet,
    RulesCommand, TableRange, WorkloadLocations,
};
use proptest::prelude::*;

fn known() -> KnownNames {
    let names = |all: &[&str]| all.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    let bound = |name: &str, at: Option<&[&str]>| WorkloadLocations {
        name: name.to_string(),
        locations: at.map(names),
    };
    KnownNames {
        customers: names(&["acme", "brisk", "corvid"]),
        workloads: vec![
            bound("lookup", None),
            bound("report", Some(&["std-eu", "std-us"])),
        ],
        locations: names(&["std-eu", "std-us", "std-ap"]),
        regions: [
            ("eu".to_string(), names(&["std-eu"])),
            ("west".to_string(), names(&["std-eu", "std-us"])),
        ]
        .into(),
        covered_customers: Some(names(&["acme", "brisk"])),
    }
}

/// Finds lines by the text of a key; each rule of these files is on its own line.
fn lines(text: &str) -> impl Fn(&str) -> Option<usize> + '_ {
    move |path| {
        let place = path
            .strip_prefix("rules[")
            .and_then(|p| p.split(']').next()?.parse::<usize>().ok());
        let of_rule = |(_, line): &(usize, &str)| line.trim_start().starts_with("{ ");
        match place {
            Some(place) => text
                .lines()
                .enumerate()
                .filter(of_rule)
                .nth(place)
                .map(|(at, _)| at + 1),
            None => text
                .lines()
                .position(|line| line.contains(path))
                .map(|at| at + 1),
        }
    }
}

fn read_errors(text: &str) -> String {
    match read("rules.json5", text, &known(), &lines(text)) {
        Err(errors) => errors.to_string(),
        Ok(command) => format!("{command:?}"),
    }
}

fn file(rules: &[&str]) -> String {
    format!(
        "{{\n version: 7,\n default: 'allow',\n rules: [\n{}\n ],\n}}",
        rules.join(",\n")
    )
}

fn set(rules: &[&str]) -> RuleSet {
    let text = file(rules);
    let command = read("rules.json5", &text, &known(), &lines(&text));
    match command {
        Ok(RulesCommand::Replace(set)) => set,
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_error_names_its_location_and_remedy() {
    for (rule, expected) in [
        ("{ name: 'a', then: 'deny', resaon: 'x' }", "rules[0].resaon: unknown key; the keys allowed here are name,"),
        ("{ then: 'count' }", "rules[0]: is missing; give a name"),
        ("{ name: 'a', customer: 'acne', then: 'count' }", "rules[0].customer: 'acne' is not among the settings' customers: acme, brisk, corvid; name one"),
        ("{ name: 'a', customer: 'corvid', then: 'count' }", "rule `a` is about customer 'corvid', which `rules.customers`"),
        ("{ name: 'a', workload: 'x', then: 'count' }", "rules[0].workload: 'x' is not among the settings' workloads: lookup, report"),
        ("{ name: 'a', regions: ['mars'] }", "rules[0].regions[0]: 'mars' is not among the regions: eu, west, std-eu"),
        ("{ name: 'a', front: 'mars' }", "rules[0].front: 'mars' is not among the regions"),
        ("{ name: 'a', tables: [9, 3] }", "rules[0].tables: has the wrong type or value; give the number of a table group"),
        ("{ name: 'a', from: 'noon' }", "rules[0].from: has the wrong type or value; give a time by RFC 3339, such as"),
        ("{ name: 'a', from: '2026-12-01T06:00:00Z', until: '2026-12-01T05:00:00Z' }", "rule `a` ends before it begins; give `until`"),
        ("{ name: 'a', priority: 1.5 }", "rules[0].priority: has the wrong type or value; give a whole number"),
        ("{ name: 'a', then: 'permit' }", "rules[0].then: has the wrong type or value; give 'allow', 'deny' or 'count'"),
        ("{ name: 'a', then: 'deny' }", "rule `a` denies without a reason; give it `reason`"),
        ("{ name: 'a', reason: 'x' }", "rule `a` gives a reason though it does not deny; remove"),
        ("{ name: 'a', then: 'deny', reason: 'x', barred: ['eu'] }", "rule `a` names regions though it does not allow; remove"),
        ("{ name: 'a', regions: ['eu'], barred: ['eu'] }", "rule `a` has both `regions` and `barred`; give one"),
        ("{ name: 'eu-only', customer: 'acme', regions: ['std-ap'] }", "rule `eu-only` bars every region that workload `report` is bound to; name one of std-eu, std-us, or give the rule a workload"),
        ("{ name: 'a', at_most: 5 }", "rule `a` has one of `at_most` and `in_ms`; give both"),
        ("{ name: 'a', at_most: 0, in_ms: 5000 }", "rules[0].at_most: has the wrong type or value; give a whole number from 1 to 100000"),
        ("{ name: 'a', at_most: 5, in_ms: 50 }", "rules[0].in_ms: has the wrong type or value; give a whole number of milliseconds from 1000 to"),
        ("{ name: 'a', then: 'count', at_most: 5, in_ms: 5000 }", "rule `a` has a limit though it does not allow; remove"),
        ("7", "rules[0]: has the wrong type or value; give an object that describes a rule"),
    ] {
        let message = read_errors(&file(&[rule]));
        // A number in place of a rule has no line in these files.
        let line = if rule == "7" { "rules.json5:".to_string() } else { "rules.json5:5:".to_string() };
        assert!(message.starts_with(&format!("{line} {expected}")), "{rule}: {message}");
    }
    for (text, expected) in [
        (
            "{ version: 0, default: 'allow', rules: [] }",
            "rules.json5:1: version: has the wrong type or value; give a whole number from 1",
        ),
        (
            "{ default: 'allow', rules: [] }",
            "rules.json5: version: is missing; give a whole number",
        ),
        (
            "{ version: 1, rules: [] }",
            "rules.json5: default: is missing; give 'allow' or 'deny'",
        ),
        (
            "{ version: 1, default: 'deny', rules: [], }",
            "Replace(RuleSet ",
        ),
        (
            "{ version: 2, roll_back_to: 1, rules: [] }",
            "rules.json5:1: rules: unknown key; the keys allowed here are version",
        ),
        ("{ version: ", "rules.json5:"),
        (
            "[]",
            "rules.json5:1: has the wrong type or value; give an object of version and rules",
        ),
    ] {
        let message = read_errors(text);
        assert!(message.starts_with(expected), "{text}: {message}");
    }
}

#[test]
fn all_errors_are_reported_at_once_in_line_order() {
    let text = file(&[
        "{ name: 'a', then: 'permit' }",
        "{ name: 'b', workload: 'x' }",
        "{ name: 'c', frm: 1 }",
    ]);
    let message = read_errors(&text);
    let lines: Vec<&str> = message
        .lines()
        .map(|l| l.split(' ').next().unwrap())
        .collect();
    assert_eq!(
        lines,
        ["rules.json5:5:", "rules.json5:6:", "rules.json5:7:"]
    );
}

#[test]
fn rules_that_repeat_shadow_or_contradict_others_are_rejected() {
    for (rules, expected) in [
        (
            &[
                "{ name: 'a', customer: 'acme', then: 'count' }",
                "{ name: 'a', customer: 'brisk', then: 'count' }",
            ][..],
            "rules.json5:6: rule `a` has the name of the rule on line 5; give each",
        ),
        (
            &[
                "{ name: 'all', customer: 'acme', regions: ['eu'], priority: 1 }",
                "{ name: 'one', customer: 'acme', workload: 'report', regions: ['std-us'] }",
            ],
            "rules.json5:6: rule `one` can never match: rule `all` on line 5 takes precedence",
        ),
        (
            &[
                "{ name: 'yes', customer: 'acme', regions: ['eu'] }",
                "{ name: 'no', customer: 'acme', then: 'deny', reason: 'x' }",
            ],
            "rules.json5:5: rule `yes` can never match: rule `no` on line 6",
        ),
        (
            &[
                "{ name: 'eu', customer: 'acme', regions: ['eu'] }",
                "{ name: 'us', customer: 'acme', regions: ['std-us'] }",
            ],
            "rules.json5:6: rule `us` contradicts rule `eu` on line 5",
        ),
        (
            &[
                "{ name: 'low', tables: [1, 10], regions: ['eu'] }",
                "{ name: 'high', tables: [5, 14], regions: ['std-us'] }",
            ],
            "rules.json5:6: rule `high` contradicts rule `low` on line 5",
        ),
        (
            &[
                "{ name: 'p', tables: [1, 4], then: 'deny', reason: 'x', priority: 1 }",
                "{ name: 'q', tables: [5, 9], then: 'deny', reason: 'x', priority: 1 }",
                "{ name: 'r', tables: [2, 8], regions: ['eu'] }",
            ],
            "rules.json5:7: rule `r` can never match",
        ),
    ] {
        let message = read_errors(&file(rules));
        assert!(message.contains(expected), "{rules:?}: {message}");
    }
    // Rules for different times or different tables do not contradict each other.
    set(&[
        "{ name: 'eu', customer: 'acme', regions: ['eu'], until: '2026-12-01T06:00:00Z' }",
        "{ name: 'us', customer: 'acme', regions: ['std-us'], from: '2026-12-01T07:00:00+01:00' }",
    ]);
    set(&[
        "{ name: 'p', tables: [1, 4], then: 'deny', reason: 'x', priority: 1 }",
        "{ name: 'r', tables: [2, 8], regions: ['eu'] }",
    ]);
}

#[test]
fn a_set_that_denies_a_workload_to_every_customer_is_rejected() {
    let all = KnownNames {
        covered_customers: None,
        ..known()
    };
    let read_errors =
        |text: &str| read("r", text, &all, &lines(text)).map_err(|e: FileErrors| e.to_string());
    let denied = file(&["{ name: 'no', workload: 'report', then: 'deny', reason: 'x' }"]);
    assert!(read_errors(&denied)
        .unwrap_err()
        .starts_with("r:5: rule `no` leaves workload `report` with no engine"));
    let one = file(&[
        "{ name: 'no', workload: 'report', then: 'deny', reason: 'x' }",
        "{ name: 'yes', customer: 'acme', workload: 'report' }",
    ]);
    assert!(read_errors(&one).is_ok());
    let default = "{ version: 1, default: 'deny',\n rules: [\n{ name: 'a', workload: 'lookup' }] }";
    let message = read_errors(default).unwrap_err();
    assert_eq!(message.lines().count(), 1);
    assert!(
        message.contains("default: the default 'deny' leaves workload `report` with no engine"),
        "{message}"
    );
}

#[test]
fn specific_rules_precede_general_ones_and_denials_precede_allowing_rules() {
    let set = set(&[
        "{ name: 'acme', customer: 'acme', regions: ['west'] }",
        "{ name: 'acme-tables', customer: 'acme', tables: [10, 20], regions: ['std-us'] }",
        "{ name: 'acme-one', customer: 'acme', tables: 12, then: 'deny', reason: 'moved' }",
        "{ name: 'report', workload: 'report', regions: ['eu'] }",
        "{ name: 'seen', workload: 'report', then: 'count' }",
    ]);
    let index = Index::new(set);
    let evaluate = |customer, workload, groups: Option<&[u32]>| {
        let v = index.evaluate(
            &Attributes {
                customer,
                workload,
                group: None,
                tables_known: false,
                front: "eu",
                first_evaluated_ms: None,
            },
            groups,
            0,
        );
        (
            v.rule.map_or("", |at| index.rule_name(at)).to_string(),
            v.denied,
            v.allowed,
            v.counting_rule.is_some(),
        )
    };
    let is = |rule: &str, denied: Option<&str>, allowed: Option<Vec<u16>>, counts| {
        (
            rule.to_string(),
            denied.map(str::to_string),
            allowed,
            counts,
        )
    };
    assert_eq!(
        evaluate("acme", "lookup", Some(&[30])),
        is("acme", None, Some(vec![0, 1]), false)
    );
    assert_eq!(
        evaluate("acme", "lookup", Some(&[15])),
        is("acme-tables", None, Some(vec![1]), false)
    );
    assert_eq!(
        evaluate("acme", "lookup", Some(&[12])),
        is("acme-one", Some("moved"), None, false)
    );
    assert_eq!(
        evaluate("brisk", "report", Some(&[])),
        is("report", None, Some(vec![0]), true)
    );
    assert_eq!(evaluate("brisk", "lookup", None), is("", None, None, false));
    // Several groups: the statement may be read where all of them may; one denied group denies the
    // statement.
    assert_eq!(
        evaluate("acme", "lookup", Some(&[30, 15])),
        is("acme-tables", None, Some(vec![1]), false)
    );
    assert_eq!(
        evaluate("acme", "lookup", Some(&[30, 15, 12])),
        is("acme-one", Some("moved"), None, false)
    );
    // A statement that reads no table matches no rule about tables.
    assert_eq!(
        evaluate("acme", "lookup", Some(&[])),
        is("acme", None, Some(vec![0, 1]), false)
    );
    // Unknown groups may be any of them.
    let (rule, denied, ..) = evaluate("acme", "lookup", None);
    assert_eq!(rule, "acme-one");
    assert!(denied
        .unwrap()
        .starts_with("the groups of tables that it reads cannot be told"));
}

#[test]
fn a_set_tightens_if_some_statement_is_allowed_fewer_locations() {
    let index = |rules: &[&str]| Index::new(set(rules));
    let eu = index(&["{ name: 'a', customer: 'acme', regions: ['eu'] }"]);
    let west = index(&["{ name: 'a', customer: 'acme', regions: ['west'] }"]);
    let none = index(&[]);
    let later =
        index(&["{ name: 'a', customer: 'acme', regions: ['eu'], from: '2026-12-01T06:00:00Z' }"]);
    let tables = index(&["{ name: 'a', tables: 7, then: 'deny', reason: 'x' }"]);
    let tightens = |new: &Index, old: &Index| new.tightens(old, &known(), 0);
    assert!(tightens(&eu, &west) && !tightens(&west, &eu));
    assert!(tightens(&eu, &none) && !tightens(&none, &eu));
    assert!(tightens(&later, &none) && !tightens(&none, &later));
    assert!(tightens(&eu, &later) && !tightens(&later, &eu));
    assert!(tightens(&tables, &none) && !tightens(&none, &tables));
    let few = index(&["{ name: 'a', customer: 'acme', regions: ['eu'], at_most: 5, in_ms: 1000 }"]);
    assert!(tightens(&few, &eu) && !tightens(&eu, &few) && !tightens(&few, &few));
    assert!(!tightens(&none, &none));
    assert!(tightens(&tables, &eu) && tightens(&eu, &tables));
}

fn random_rule() -> impl Strategy<Value = Rule> {
    let name = |all: &'static [&'static str]| {
        prop::option::of(prop::sample::select(all)).prop_map(|n| n.map(str::to_string))
    };
    let tables = prop::option::of((0u32..12, 0u32..6)).prop_map(|t| {
        t.map(|(first, more)| TableRange {
            first,
            last: first + more,
        })
    });
    let effect = prop_oneof![
        Just(RuleEffect::Deny {
            reason: "x".to_string()
        }),
        Just(RuleEffect::Allow { locations: None }),
        Just(RuleEffect::Count),
        prop::collection::btree_set(0u16..3, 1..3).prop_map(|p| RuleEffect::Allow {
            locations: Some(p.into_iter().collect())
        }),
    ];
    let time = prop_oneof![3 => Just((0, u64::MAX)), 1 => (0u64..4, 4u64..8)];
    let who = (
        name(&["a", "b", "c"]),
        name(&["x", "y"]),
        name(&["eu", "us"]),
    );
    (who, tables, effect, 0i32..3, time).prop_map(
        |((customer, workload, front), tables, effect, priority, (from_ms, until_ms))| {
            let name =
                format!("{customer:?}{workload:?}{front:?}{tables:?}{effect:?}{priority}{from_ms}{until_ms}");
            Rule {
                name,
                customer,
                workload,
                tables,
                front,
                effect,
                limit: None,
                priority,
                from_ms,
                until_ms,
                is_move_phase: false,
                file_index: 0,
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_index_agrees_with_a_linear_search(
        rules in prop::collection::vec(random_rule(), 0..40),
        customer in prop::sample::select(&["a", "b", "c", "z"][..]),
        workload in prop::sample::select(&["x", "y", "z"][..]),
        front in prop::sample::select(&["eu", "us", "ap"][..]),
        group in prop::option::of(0u32..20),
        tables_known in any::<bool>(),
        now in 0u64..9,
    ) {
        let set = RuleSet::new(1, DefaultEffect::Allow, rules);
        let attributes = Attributes { customer, workload, group, tables_known, front, first_evaluated_ms: None };
        let searched = set.find_linear(&attributes, now);
        prop_assert_eq!(Index::new(set).find(&attributes, now), searched);
    }

    #[test]
    fn a_shadowed_rule_never_decides(
        rules in prop::collection::vec(random_rule(), 0..30),
        group in 0u32..20,
        now in 0u64..9,
    ) {
        let index = Index::new(RuleSet::new(1, DefaultEffect::Allow, rules));
        for customer in ["a", "b", "c", "z"] {
            for workload in ["x", "y", "z"] {
                for front in ["eu", "us", "ap"] {
                    let group = Some(group);
                    let attributes =
                        Attributes { customer, workload, group, tables_known: true, front, first_evaluated_ms: None };
                    let found = index.find(&attributes, now);
                    for at in found.deciding.into_iter().chain(found.counting) {
                        prop_assert_eq!(index.shadowing_rule(at), None);
                    }
                }
            }
        }
    }
}

#[test]
fn the_example_rules_file_is_valid() {
    let text = include_str!("../../../deploy/rules.example.json5");
    let names = |all: &[&str]| all.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    let bound = |name: &&str| WorkloadLocations {
        name: name.to_string(),
        locations: None,
    };
    let known = KnownNames {
        customers: names(&["acme"]),
        workloads: ["lookup", "report", "load"].iter().map(bound).collect(),
        locations: names(&["eu", "us", "ap"]),
        ..KnownNames::default()
    };
    let read = read("rules.example.json5", text, &known, &|_| None);
    assert!(
        matches!(&read, Ok(RulesCommand::Replace(set)) if set.rules.len() > 4),
        "{read:?}"
    );
}
