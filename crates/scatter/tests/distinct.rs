//! Estimates of distinct values from the sketches of sites. They must be within the stated error
//! and include the rows of loads that no summary covers, and there must be none if anything is
//! unknown.

use std::collections::BTreeMap;

use ed25519_dalek::SigningKey;
use hallmux_scatter::build::{build_layered_summary, build_summary, SummaryHeader, TableBuilder};
use hallmux_scatter::load_markers::{Affected, LoadMarkers};
use hallmux_scatter::plan::{Basis, LoadInfo};
use hallmux_scatter::sketch::{distinct, Estimate};
use hallmux_scatter::sql;
use hallmux_scatter::store::{StoreSettings, SummaryStore};
use hallmux_scatter::summary::{LoadNumbers, MAX_SUMMARY_BYTES};
use hallmux_scatter::value::{Kind, Value};

const SITES: [&str; 3] = ["ash", "elm", "oak"];

fn key(site: &str) -> SigningKey {
    SigningKey::from_bytes(&[site.as_bytes()[0]; 32])
}

fn store() -> SummaryStore {
    let sites = SITES
        .iter()
        .map(|s| (s.to_string(), key(s).verifying_key()))
        .collect();
    SummaryStore::new(StoreSettings {
        sites,
        schemas: BTreeMap::new(),
        max_age_ms: u64::MAX,
        max_ahead_ms: u64::MAX,
        max_summaries: 10,
    })
}

fn signed_summary(
    site: &str,
    values: std::ops::Range<i128>,
    kind: Kind,
    with_sketches: bool,
    is_layered: bool,
) -> Vec<u8> {
    let columns = [("id", kind)];
    let mut table = TableBuilder::new("orders", &columns);
    if with_sketches {
        table = table.with_sketches(&["id"]);
    }
    values.for_each(|value| table.add_row(&[Some(Value::Number(value))]));
    let loads = LoadNumbers::default();
    let header = SummaryHeader {
        site: site.into(),
        group: 17,
        schema: 1,
        version: 1,
        made_ms: 0,
        loads,
    };
    match is_layered {
        true => build_layered_summary(header, vec![table], MAX_SUMMARY_BYTES, &key(site)),
        false => build_summary(header, vec![table], MAX_SUMMARY_BYTES).sign(&key(site)),
    }
}

const INTEGER: Kind = Kind::Number { scale: 0 };

fn basis<'a>(
    sites: &'a [String],
    store: &'a SummaryStore,
    load_info: &'a LoadInfo<'a>,
) -> Basis<'a> {
    Basis {
        sites,
        allowed: None,
        summaries: store,
        wall_ms: 0,
        loads: load_info,
        suspected: &|_| false,
    }
}

fn estimate(store: &SummaryStore, load_info: &LoadInfo) -> Option<Estimate> {
    let query = sql::read_distinct(b"select count(distinct id) as n from sales_17.orders").unwrap();
    let sites = SITES.map(str::to_string);
    distinct(&query, &basis(&sites, store, load_info))
}

#[test]
fn distinct_values_of_all_sites_are_estimated_within_the_stated_error() {
    for (each, apart) in [(10, 5), (1_000, 500), (60_000, 30_000)] {
        let mut store = store();
        for (n, site) in (0..).zip(SITES) {
            let bytes = signed_summary(site, n * apart..n * apart + each, INTEGER, true, n == 1);
            assert_eq!(store.accept(0, &bytes), Ok(true));
        }
        let truth = (2 * apart + each) as f64;
        let found = estimate(&store, &LoadInfo::NoLoads).unwrap();
        println!(
            "{truth} distinct: estimate {}, within {:.2} %",
            found.distinct,
            found.error * 100.0
        );
        assert!(
            (found.distinct as f64 - truth).abs() <= truth * found.error + 0.5,
            "{truth}: {found:?}"
        );
        assert!(found.error < 0.04);
    }
}

#[test]
fn uncovered_loads_count_by_their_rows_and_unknown_ones_prevent_an_estimate() {
    let mut all = store();
    SITES
        .iter()
        .for_each(|site| _ = all.accept(0, &signed_summary(site, 0..10, INTEGER, true, false)));
    let mut markers = LoadMarkers::default();
    let rows = |text: &str| Affected::of_statement(text.as_bytes(), 17);
    markers.add(
        "elm",
        9,
        rows("insert into sales_17.orders (id) values (3), (50), (51), (null)"),
    );
    markers.add(
        "elm",
        9,
        rows("insert into sales_17.others (id) values (70)"),
    );
    assert_eq!(
        estimate(&all, &LoadInfo::Markers(&markers)).map(|e| e.distinct),
        Some(12)
    );
    for unknown in [
        "insert into sales_17.orders (id) select 1 from sales_17.others",
        "insert into sales_17.orders (name) values ('x')",
        "insert into sales_17.orders (id) values (1.5)",
    ] {
        let mut markers = markers.clone();
        markers.add("oak", 9, rows(unknown));
        assert_eq!(
            estimate(&all, &LoadInfo::Markers(&markers)),
            None,
            "{unknown}"
        );
    }
    assert_eq!(estimate(&all, &LoadInfo::Unknown), None);
    // A site whose summary has no sketch, whose column is of another kind, or that may not be
    // asked.
    for other in [
        signed_summary("oak", 0..10, INTEGER, false, false),
        signed_summary("oak", 0..10, Kind::Number { scale: 2 }, true, false),
    ] {
        let mut two = store();
        SITES[..2]
            .iter()
            .for_each(|site| _ = two.accept(0, &signed_summary(site, 0..10, INTEGER, true, false)));
        two.accept(0, &other).unwrap();
        assert_eq!(estimate(&two, &LoadInfo::NoLoads), None);
    }
    let query = sql::read_distinct(b"select count(distinct id) from sales_17.orders").unwrap();
    let sites = SITES.map(str::to_string);
    let basis = basis(&sites, &all, &LoadInfo::NoLoads);
    assert_eq!(
        distinct(
            &query,
            &Basis {
                allowed: Some(&["ash", "elm"]),
                ..basis
            }
        ),
        None
    );
    assert_eq!(
        distinct(
            &query,
            &Basis {
                suspected: &|site| site == "ash",
                ..basis
            }
        ),
        None
    );
}

#[test]
fn only_distinct_values_of_one_column_in_all_rows_are_supported() {
    for text in [
        "select count(distinct id) from sales_17.orders where id > 5",
        "select count(distinct id), count(*) from sales_17.orders",
        "select count(distinct id, name) from sales_17.orders",
        "select count(distinct id + 1) from sales_17.orders",
        "select count(id) from sales_17.orders",
        "select sum(distinct id) from sales_17.orders",
        "select count(distinct id) from sales_17.orders group by name",
        "select count(distinct id) from sales_17.orders limit 1",
        "select count(distinct id) filter (where id > 5) from sales_17.orders",
        "select max(id) from sales_17.orders",
    ] {
        assert_eq!(sql::read_distinct(text.as_bytes()), None, "{text}");
    }
    assert!(sql::read(b"select count(distinct id) from sales_17.orders").is_err());
}

#[test]
fn a_damaged_sketch_causes_no_panic() {
    let header = SummaryHeader {
        site: "ash".into(),
        group: 17,
        schema: 1,
        version: 1,
        made_ms: 0,
        loads: LoadNumbers::default(),
    };
    let mut table = TableBuilder::new("orders", &[("id", INTEGER)]).with_sketches(&["id"]);
    (0..9_000).for_each(|n| table.add_row(&[Some(Value::Number(n))]));
    let good = build_summary(header, vec![table], MAX_SUMMARY_BYTES);
    let mut read = 0;
    for at in 0..400 {
        let mut altered = good.clone();
        altered.tables[0].columns[0].members = None;
        let sketch = altered.tables[0].columns[0].sketch.as_mut().unwrap();
        let (place, flip) = (at % 200 * sketch.len() / 200, [0xff, 0x11][at / 200]);
        sketch[place] ^= flip;
        let mut all = store();
        // Accepted or rejected, but never a panic, neither here nor in an estimate.
        read += usize::from(all.accept(0, &altered.sign(&key("ash"))).is_ok());
        let _ = estimate(&all, &LoadInfo::NoLoads);
    }
    println!("{read} of 400 altered sketches can be read");
}
