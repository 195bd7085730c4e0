//! Random tables and conditions. What a summary rules out is compared with a plain evaluation of
//! the rows as three kinds of engines would do it: no row may be missing, and the number of sites
//! asked is printed beside the number of those with rows.

use std::cell::Cell;
use std::cmp::Ordering;

use hallmux_scatter::build::{build_summary, SummaryHeader, TableBuilder};
use hallmux_scatter::sql;
use hallmux_scatter::summary::{LoadNumbers, Summary, MAX_SUMMARY_BYTES};
use hallmux_scatter::value::{Collation, Kind, Value};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

const COLUMNS: [(&str, Kind); 6] = [
    ("id", Kind::Number { scale: 0 }),
    ("price", Kind::Number { scale: 2 }),
    ("name", Kind::Text(Collation::C)),
    ("tag", Kind::Text(Collation::Exact)),
    ("word", Kind::Text(Collation::Unknown)),
    ("heat", Kind::Float),
];

/// A random condition, with its SQL text and its evaluation.
#[derive(Clone, Debug)]
enum Test {
    Compare(usize, &'static str, String),
    Between(usize, bool, String, String),
    In(usize, bool, Vec<String>),
    Null(usize, bool),
    Like(usize, bool, String),
    Odd,
    And(Box<Test>, Box<Test>),
    Or(Box<Test>, Box<Test>),
    Not(Box<Test>),
}

fn quoted(column: usize, literal: &str) -> String {
    if (2..5).contains(&column) {
        format!("'{literal}'")
    } else {
        literal.to_string()
    }
}

impl Test {
    fn text(&self) -> String {
        let name = |c: &usize| COLUMNS[*c].0;
        let not = |n: &bool| if *n { "not " } else { "" };
        match self {
            Test::Compare(c, op, l) if l.len().is_multiple_of(2) => {
                format!("{} {op} {}", name(c), quoted(*c, l))
            }
            Test::Compare(c, op, l) => {
                let op = match *op {
                    "<" => ">",
                    ">" => "<",
                    "<=" => ">=",
                    ">=" => "<=",
                    same => same,
                };
                format!("{} {op} t.{}", quoted(*c, l), name(c).to_uppercase())
            }
            Test::Between(c, n, a, b) => {
                format!(
                    "{} {}between {} and {}",
                    name(c),
                    not(n),
                    quoted(*c, a),
                    quoted(*c, b)
                )
            }
            Test::In(c, n, all) => {
                let all: Vec<String> = all.iter().map(|l| quoted(*c, l)).collect();
                format!("{} {}in ({})", name(c), not(n), all.join(", "))
            }
            Test::Null(c, n) => format!("{} is {}null", name(c), not(n)),
            Test::Like(c, n, with) => format!("{} {}like '{with}%'", name(c), not(n)),
            Test::Odd => "id + 1 = 4".to_string(),
            Test::And(a, b) => format!("({} and {})", a.text(), b.text()),
            Test::Or(a, b) => format!("({} or {})", a.text(), b.text()),
            Test::Not(a) => format!("not ({})", a.text()),
        }
    }

    fn holds(&self, row: &[Option<Value>], engine: usize) -> Option<bool> {
        let order = |c: usize, l: &str| Some(compare(COLUMNS[c].1, row[c].as_ref()?, l, engine));
        match self {
            Test::Compare(c, op, l) => {
                let order = order(*c, l)?;
                Some(match *op {
                    "=" => order.is_eq(),
                    "<>" => order.is_ne(),
                    "<" => order.is_lt(),
                    "<=" => order.is_le(),
                    ">" => order.is_gt(),
                    _ => order.is_ge(),
                })
            }
            Test::Between(c, n, a, b) => {
                Some((order(*c, a)?.is_ge() && order(*c, b)?.is_le()) != *n)
            }
            Test::In(c, n, all) => {
                row[*c].as_ref()?;
                Some(
                    all.iter()
                        .any(|l| order(*c, l).is_some_and(Ordering::is_eq))
                        != *n,
                )
            }
            Test::Null(c, n) => Some(row[*c].is_none() != *n),
            Test::Like(c, n, with) => match row[*c].as_ref()? {
                Value::Text(text) if *c == 4 => {
                    Some(text.to_lowercase().starts_with(&with.to_lowercase()) != *n)
                }
                Value::Text(text) => Some(text.starts_with(with.as_str()) != *n),
                _ => None,
            },
            Test::Odd => match row[0].as_ref()? {
                Value::Number(n) => Some(*n == 3),
                _ => None,
            },
            Test::And(a, b) => match (a.holds(row, engine), b.holds(row, engine)) {
                (Some(false), _) | (_, Some(false)) => Some(false),
                (Some(true), Some(true)) => Some(true),
                _ => None,
            },
            Test::Or(a, b) => match (a.holds(row, engine), b.holds(row, engine)) {
                (Some(true), _) | (_, Some(true)) => Some(true),
                (Some(false), Some(false)) => Some(false),
                _ => None,
            },
            Test::Not(a) => a.holds(row, engine).map(|b| !b),
        }
    }
}

/// Engines differ in the handling of a literal with more digits than its column, and in the order
/// of text.
fn compare(kind: Kind, value: &Value, literal: &str, engine: usize) -> Ordering {
    match (value, kind) {
        (Value::Number(n), Kind::Number { scale }) => {
            let exact: f64 = literal.parse::<f64>().unwrap() * 10f64.powi(i32::from(scale));
            let rounded = [exact, exact.floor(), exact.ceil()][engine];
            (*n as f64)
                .partial_cmp(&if (exact - exact.round()).abs() < 1e-6 {
                    exact.round()
                } else {
                    rounded
                })
                .unwrap()
        }
        (Value::Float(f), _) => {
            let exact: f64 = literal.parse().unwrap();
            f.partial_cmp(&[exact, f64::from(exact as f32), exact][engine])
                .unwrap()
        }
        (Value::Text(text), Kind::Text(Collation::C)) => text.as_bytes().cmp(literal.as_bytes()),
        (Value::Text(text), Kind::Text(Collation::Exact)) if engine > 0 => {
            text.bytes().rev().cmp(literal.bytes().rev())
        }
        (Value::Text(text), Kind::Text(Collation::Exact)) => {
            text.as_bytes().cmp(literal.as_bytes())
        }
        (Value::Text(text), _) => text.to_lowercase().cmp(&literal.to_lowercase()),
        _ => panic!("{value:?} {kind:?}"),
    }
}

fn literal(column: usize) -> BoxedStrategy<String> {
    match column {
        0 | 1 => prop_oneof![
            3 => (-5i32..60).prop_map(|n| n.to_string()),
            1 => (-500i32..6000).prop_map(|n| format!("{:.2}", f64::from(n) / 100.0)),
            1 => (-5000i32..60000).prop_map(|n| format!("{:.3}", f64::from(n) / 1000.0)),
        ]
        .boxed(),
        5 => (-50i32..600)
            .prop_map(|n| format!("{:.1}", f64::from(n) / 10.0))
            .boxed(),
        _ => "[aAbBz]{0,3}".boxed(),
    }
}

fn leaf() -> impl Strategy<Value = Test> {
    let compare = (0usize..6).prop_flat_map(|c| {
        let op = prop::sample::select(vec!["=", "=", "=", "<>", "<", "<=", ">", ">="]);
        (Just(c), op, literal(c)).prop_map(|(c, op, l)| Test::Compare(c, op, l))
    });
    let between = (0usize..6).prop_flat_map(|c| {
        (Just(c), any::<bool>(), literal(c), literal(c))
            .prop_map(|(c, n, a, b)| Test::Between(c, n, a, b))
    });
    let list = (0usize..6).prop_flat_map(|c| {
        (
            Just(c),
            any::<bool>(),
            prop::collection::vec(literal(c), 1..4),
        )
            .prop_map(|(c, n, all)| Test::In(c, n, all))
    });
    let null = (0usize..6, any::<bool>()).prop_map(|(c, n)| Test::Null(c, n));
    let like =
        (2usize..5, any::<bool>(), "[aAbBz]{0,3}").prop_map(|(c, n, with)| Test::Like(c, n, with));
    prop_oneof![6 => compare, 2 => between, 2 => list, 1 => null, 2 => like, 1 => Just(Test::Odd)]
}

fn test() -> impl Strategy<Value = Test> {
    leaf().prop_recursive(3, 8, 2, |inner| {
        prop_oneof![
            2 => (inner.clone(), inner.clone()).prop_map(|(a, b)| Test::And(a.into(), b.into())),
            1 => (inner.clone(), inner.clone()).prop_map(|(a, b)| Test::Or(a.into(), b.into())),
            1 => inner.prop_map(|a| Test::Not(a.into())),
        ]
    })
}

type Row = Vec<Option<Value>>;

/// The rows of one site, whose numbers are in a range of the site's own.
fn rows() -> impl Strategy<Value = Vec<Row>> {
    (0i128..50).prop_flat_map(|at| {
        let row = (
            at..at + 8,
            0..2_000i128,
            "[aAbBz]{1,3}",
            "[aAbBz]{1,3}",
            "[aAbBz]{1,2}",
            0u8..64,
            0i32..80,
        );
        let row = row.prop_map(move |(id, price, name, tag, word, nulls, heat)| {
            let values = vec![
                Value::Number(id),
                Value::Number(at * 100 + price),
                Value::Text(name),
                Value::Text(tag),
                Value::Text(word),
                Value::Float(at as f64 + f64::from(heat) / 10.0),
            ];
            // Most rows have no nulls, some have a few.
            let is_null =
                |c: usize| nulls < 6 && usize::from(nulls) != c && c % 2 == usize::from(nulls) % 2;
            values
                .into_iter()
                .enumerate()
                .map(|(c, v)| (!is_null(c)).then_some(v))
                .collect::<Row>()
        });
        prop::collection::vec(row, 0..50)
    })
}

fn summarize(rows: &[Row]) -> Summary {
    let mut table = TableBuilder::new("orders", &COLUMNS);
    rows.iter().for_each(|row| table.add_row(row));
    let header = SummaryHeader {
        site: "s".into(),
        group: 17,
        schema: 1,
        version: 1,
        made_ms: 0,
        loads: LoadNumbers::default(),
    };
    build_summary(header, vec![table], MAX_SUMMARY_BYTES)
}

#[test]
fn a_site_is_left_out_only_where_no_row_matches() {
    let (all, asked, truth) = (Cell::new(0u32), Cell::new(0u32), Cell::new(0u32));
    let mut runner = TestRunner::new(Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    });
    let drawn = (prop::collection::vec(rows(), 4), test(), 0usize..3);
    let outcome = runner.run(&drawn, |(sites, test, engine)| {
        let text = format!(
            "select id, name from sales_17.orders as t where {}",
            test.text()
        );
        let query =
            sql::read(text.as_bytes()).map_err(|e| TestCaseError::fail(format!("{text}: {e}")))?;
        for rows in &sites {
            let summary = summarize(rows);
            let out = query.condition.never_true(summary.table("orders").unwrap());
            let matches = rows
                .iter()
                .filter(|row| test.holds(row, engine) == Some(true))
                .count();
            prop_assert!(
                !out || matches == 0,
                "{text}: left out with {matches} of {} rows",
                rows.len()
            );
            all.set(all.get() + 1);
            asked.set(asked.get() + u32::from(!out));
            truth.set(truth.get() + u32::from(matches > 0));
        }
        Ok(())
    });
    outcome.unwrap();
    let (all, asked, truth) = (all.get(), asked.get(), truth.get());
    println!(
        "sites {all}, asked {asked}, with rows {truth}: {:.2} of the truth",
        f64::from(asked) / f64::from(truth)
    );
    assert!(
        asked < all * 9 / 10,
        "{asked} of {all}: too few sites are ruled out"
    );
}

#[test]
fn outliers_do_not_cause_a_site_to_be_asked_for_the_values_between() {
    use ed25519_dalek::SigningKey;
    let key = SigningKey::from_bytes(&[7; 32]);
    let mut table = TableBuilder::new("orders", &[("id", Kind::Number { scale: 0 })]);
    let values = (0..400).map(|n| n * 3).chain([50_000, 90_000]);
    values.for_each(|value| table.add_row(&[Some(Value::Number(value))]));
    let header = SummaryHeader {
        site: "s".into(),
        group: 17,
        schema: 1,
        version: 1,
        made_ms: 0,
        loads: LoadNumbers::default(),
    };
    let mut summary = build_summary(header, vec![table], MAX_SUMMARY_BYTES);
    let out = |summary: &Summary, text: &str| {
        let read = Summary::read(&summary.sign(&key), |_| Some(key.verifying_key())).unwrap();
        let query =
            sql::read(format!("select id from s_17.orders where {text}").as_bytes()).unwrap();
        query.condition.never_true(&read.tables[0])
    };
    for text in [
        "id between 2000 and 49000",
        "id > 1200 and id < 50000",
        "id >= 60000 and id <= 80000",
    ] {
        assert!(out(&summary, text), "{text}");
    }
    for text in [
        "id between 1197 and 1300",
        "id between 40000 and 50000",
        "id > 50000",
        "id <> 3",
    ] {
        assert!(!out(&summary, text), "{text}");
    }
    // The summary of a site of an earlier version: it can still be read, and proves less.
    summary.tables[0].columns[0].runs.clear();
    assert!(!out(&summary, "id between 2000 and 49000") && out(&summary, "id > 90000"));
    // A summary whose runs contradict its bounds is rejected.
    summary.tables[0].columns[0].runs = vec![(0, 5)];
    let rejected = Summary::read(&summary.sign(&key), |_| Some(key.verifying_key())).unwrap_err();
    assert_eq!(rejected.name(), "content");
}
