//! Joins of two tables whose equal keys lie at one site. Random rows, conditions and loads are
//! compared with a plain join of the rows: no row may be missing, and the number of sites asked is
//! printed beside the number of those with rows.

use std::cell::Cell;
use std::collections::BTreeMap;

use ed25519_dalek::SigningKey;
use hallmux_scatter::build::{build_summary, SummaryHeader, TableBuilder};
use hallmux_scatter::load_markers::{Affected, LoadMarkers};
use hallmux_scatter::plan::{plan, Basis, LoadInfo, Reason};
use hallmux_scatter::sql::{self, Query};
use hallmux_scatter::store::{StoreSettings, SummaryStore};
use hallmux_scatter::summary::{LoadNumbers, MAX_SUMMARY_BYTES};
use hallmux_scatter::value::{Kind, Value};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

const SITES: [&str; 4] = ["ash", "elm", "oak", "yew"];
const INTEGER: Kind = Kind::Number { scale: 0 };
const KEY_STRIDE: i128 = 4;

/// The rows of one table at one site: a key and a value.
type Rows = Vec<(Option<i128>, i128)>;

fn key(site: &str) -> SigningKey {
    SigningKey::from_bytes(&[site.as_bytes()[0]; 32])
}

fn signed_summary(site: &str, group: u32, table: &str, rows: &Rows) -> Vec<u8> {
    let mut builder = TableBuilder::new(table, &[("k", INTEGER), ("v", INTEGER)]);
    rows.iter()
        .for_each(|(k, v)| builder.add_row(&[k.map(Value::Number), Some(Value::Number(*v))]));
    let loads = LoadNumbers::default();
    let header = SummaryHeader {
        site: site.into(),
        group,
        schema: 1,
        version: 1,
        made_ms: 0,
        loads,
    };
    build_summary(header, vec![builder], MAX_SUMMARY_BYTES).sign(&key(site))
}

fn store(sites: &[(Rows, Rows)]) -> SummaryStore {
    let keys = SITES
        .iter()
        .map(|s| (s.to_string(), key(s).verifying_key()))
        .collect();
    let mut store = SummaryStore::new(StoreSettings {
        sites: keys,
        schemas: BTreeMap::new(),
        max_age_ms: u64::MAX,
        max_ahead_ms: u64::MAX,
        max_summaries: 100,
    });
    for (site, (first, second)) in SITES.iter().zip(sites) {
        assert_eq!(
            store.accept(0, &signed_summary(site, 17, "a", first)),
            Ok(true)
        );
        assert_eq!(
            store.accept(0, &signed_summary(site, 18, "b", second)),
            Ok(true)
        );
    }
    store
}

fn asked(query: &Query, store: &SummaryStore, load_info: &LoadInfo) -> Vec<(String, Reason)> {
    let sites = SITES.map(str::to_string);
    let basis = Basis {
        sites: &sites,
        allowed: None,
        summaries: store,
        wall_ms: 0,
        loads: load_info,
        suspected: &|_| false,
    };
    let plan = plan(query, &basis);
    plan.parts
        .into_iter()
        .map(|part| (part.site, part.reason))
        .collect()
}

fn joined(rest: &str) -> Query {
    let text = format!("select x.v, y.v from s_17.a as x join s_18.b y on x.k = y.k {rest}");
    sql::read(text.as_bytes()).unwrap()
}

/// Random rows of a table; the second table of a site has few of them, in a key range of its own.
fn rows(max_rows: usize, spread: i128) -> impl Strategy<Value = Rows> {
    let row = (prop::option::weighted(0.9, 0..spread), 0i128..50);
    prop::collection::vec(row, 0..max_rows)
}

fn spread_keys(at: usize, rows: &Rows, from: i128) -> Rows {
    rows.iter()
        .map(|(k, v)| (k.map(|k| (from + k) * KEY_STRIDE + at as i128), *v))
        .collect()
}

#[test]
fn a_site_is_left_out_of_a_join_only_where_no_two_rows_match() {
    let (all, wanted, truth) = (Cell::new(0u32), Cell::new(0u32), Cell::new(0u32));
    let mut runner = TestRunner::new(Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    });
    let site = (rows(40, 60), rows(6, 20), 0i128..60);
    let load = (0..SITES.len(), any::<bool>(), 0i128..60, 0i128..50);
    let ends = (0i128..50, 0i128..50);
    let drawn = (
        prop::collection::vec(site, SITES.len()),
        prop::collection::vec(load, 0..3),
        ends,
    );
    let outcome = runner.run(&drawn, |(sites, loads, (low, high))| {
        let place = |(at, (a, b, from)): (usize, &(Rows, Rows, i128))| {
            (spread_keys(at, a, 0), spread_keys(at, b, *from))
        };
        let mut sites: Vec<(Rows, Rows)> = sites.iter().enumerate().map(place).collect();
        let store = store(&sites);
        let (mut first, mut second) = (LoadMarkers::default(), LoadMarkers::default());
        for (at, is_first, k, v) in loads {
            let k = k * KEY_STRIDE + at as i128;
            let (group, table) = if is_first { (17, "a") } else { (18, "b") };
            let text = format!("insert into s_{group}.{table} (k, v) values ({k}, {v})");
            let markers = if is_first { &mut first } else { &mut second };
            markers.add(SITES[at], 9, Affected::of_statement(text.as_bytes(), group));
            if is_first {
                &mut sites[at].0
            } else {
                &mut sites[at].1
            }
            .push((Some(k), v));
        }
        let query = joined(&format!("where x.v < {low} and (y.v >= {high} or x.v = 3)"));
        let parts = asked(&query, &store, &LoadInfo::JoinMarkers(&first, &second));
        for (site, (a, b)) in SITES.iter().zip(&sites) {
            let fits = |x: i128, y: i128| x < low && (y >= high || x == 3);
            let pairs = |(k, x): &(Option<i128>, i128)| {
                k.is_some() && b.iter().any(|(other, y)| other == k && fits(*x, *y))
            };
            let (has, is_asked) = (
                a.iter().any(pairs),
                parts.iter().any(|(name, _)| name == site),
            );
            prop_assert!(is_asked || !has, "{site} has rows and is left out");
            all.set(all.get() + 1);
            wanted.set(wanted.get() + u32::from(is_asked));
            truth.set(truth.get() + u32::from(has));
        }
        Ok(())
    });
    outcome.unwrap();
    println!(
        "sites {}, asked {}, with rows {}",
        all.get(),
        wanted.get(),
        truth.get()
    );
    assert!(wanted.get() < all.get() * 2 / 3);
}

#[test]
fn keys_of_the_smaller_side_narrow_the_sites_of_the_larger() {
    let large = |at: i128| -> Rows { (0..2_000).map(|n| (Some(n * 20 + at), 1)).collect() };
    // The last site has more keys than a summary stores exactly, so that each must be looked up
    // between keys of the other side.
    let forty = (0..40).map(|n| 10_005 + n * 20).collect();
    let sites: Vec<(Rows, Rows)> = [vec![40, 80], vec![41], vec![], forty]
        .into_iter()
        .enumerate()
        .map(|(at, few)| {
            (
                large(at as i128),
                few.into_iter().map(|k| (Some(k), 1)).collect(),
            )
        })
        .collect();
    let store = store(&sites);
    let names = |query: &Query, load_info: &LoadInfo| -> Vec<String> {
        asked(query, &store, load_info)
            .into_iter()
            .map(|(site, _)| site)
            .collect()
    };
    let (none, query) = (LoadMarkers::default(), joined(""));
    assert_eq!(
        names(&query, &LoadInfo::JoinMarkers(&none, &none)),
        ["ash", "elm"]
    );
    assert_eq!(names(&query, &LoadInfo::NoLoads), ["ash", "elm"]);
    // A condition on one side, aggregates, and the keys in the other order.
    assert_eq!(
        names(&joined("where y.v > 1"), &LoadInfo::NoLoads),
        Vec::<String>::new()
    );
    let text =
        "select count(*), max(x.v) from s_17.a x inner join s_18.b y on (y.k = x.k and y.v = 1)";
    let other = sql::read(text.as_bytes()).unwrap();
    assert!(other.combine.is_some());
    assert_eq!(names(&other, &LoadInfo::NoLoads), ["ash", "elm"]);
    // A load on either side that the summaries do not cover. Markers of one group say nothing about
    // the other group.
    let mut second_markers = LoadMarkers::default();
    second_markers.add(
        "yew",
        9,
        Affected::of_statement(b"insert into s_18.b (k, v) values (3, 1)", 18),
    );
    assert_eq!(
        names(&query, &LoadInfo::JoinMarkers(&none, &second_markers)),
        ["ash", "elm", "yew"]
    );
    assert_eq!(names(&query, &LoadInfo::Markers(&none)).len(), 4);
    assert_eq!(names(&query, &LoadInfo::Unknown).len(), 4);
}

#[test]
fn unsupported_joins_are_rejected_with_a_remedy() {
    for text in [
        "select x.v from s_17.a x left join s_18.b y on x.k = y.k",
        "select x.v from s_17.a x join s_18.b y using (k)",
        "select x.v from s_17.a x natural join s_18.b y",
        "select x.v from s_17.a x cross join s_18.b y",
        "select x.v from s_17.a x join s_18.b y on x.k = y.k join s_19.c z on z.k = y.k",
        "select x.v from s_17.a x join s_18.b x on x.k = x.k",
        "select x.v from s_17.a x join (select 1) y on x.k = y.k",
        "select x.v from s_17.a x join s_18.b y on x.k = random()",
        "select x.v from s_17.a x join b y on x.k = y.k",
        "select sum(y.v) from s_17.a x join s_18.b y on x.k = y.k",
    ] {
        let reason = sql::read(text.as_bytes()).unwrap_err();
        assert!(
            reason.to_string().contains("whole_site"),
            "{text}: {reason}"
        );
    }
    // An unqualified name may be a column of either side and proves nothing.
    let query = joined("where v = 5 and k = 9");
    assert!(query.join.is_some());
    let sites: Vec<(Rows, Rows)> = SITES
        .iter()
        .map(|_| (vec![(Some(1), 1)], vec![(Some(1), 1)]))
        .collect();
    assert_eq!(asked(&query, &store(&sites), &LoadInfo::NoLoads).len(), 4);
}
