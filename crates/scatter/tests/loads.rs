//! Random schedules of loads, late or lost summaries, and scatters at several fronts. No row that
//! is at a site may be missing from a scatter, whichever front marked the load, cleaned up markers
//! or was lost; without markers rows would be missing.

use std::cell::Cell;
use std::collections::BTreeMap;

use ed25519_dalek::SigningKey;
use hallmux_scatter::build::{build_summary, SummaryHeader, TableBuilder};
use hallmux_scatter::load_markers::{
    load_numbers, with_load_numbers, Affected, LoadMarkers, ReportedLoads,
};
use hallmux_scatter::plan::{plan, Basis, LoadInfo};
use hallmux_scatter::sql;
use hallmux_scatter::store::{StoreSettings, SummaryStore};
use hallmux_scatter::summary::{LoadNumbers, MAX_SUMMARY_BYTES};
use hallmux_scatter::value::{Kind, Value};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

const SITES: [&str; 3] = ["ash", "elm", "oak"];
const FRONTS: usize = 3;
const MAX_LOAD_RUN_MS: u64 = 50; // Milliseconds for which a load may run.

#[derive(Clone, Debug)]
enum Step {
    /// A front marks a load of a value; `known` tells whether its rows can be read from its text.
    Mark {
        front: usize,
        site: usize,
        value: i128,
        known: bool,
    },
    /// A marked load arrives and runs, or is lost.
    Run {
        which: usize,
        lost: bool,
    },
    /// A site writes a summary.
    Write {
        site: usize,
    },
    /// A written summary reaches a front.
    Reach {
        which: usize,
        front: usize,
    },
    Pass {
        ms: u64,
    },
    Ask {
        front: usize,
        from: i128,
        to: i128,
    },
}

fn basis<'a>(
    sites: &'a [String],
    store: &'a SummaryStore,
    wall_ms: u64,
    load_info: &'a LoadInfo<'a>,
) -> Basis<'a> {
    Basis {
        sites,
        allowed: None,
        summaries: store,
        wall_ms,
        loads: load_info,
        suspected: &|_| false,
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..FRONTS, 0..3usize, 0i128..40, any::<bool>())
            .prop_map(|(front, site, value, known)| Step::Mark { front, site, value, known }),
        4 => (any::<usize>(), prop::bool::weighted(0.2)).prop_map(|(which, lost)| Step::Run { which, lost }),
        3 => (0..3usize).prop_map(|site| Step::Write { site }),
        5 => (any::<usize>(), 0..FRONTS).prop_map(|(which, front)| Step::Reach { which, front }),
        1 => (1u64..80).prop_map(|ms| Step::Pass { ms }),
        1 => (1_000u64..6_000).prop_map(|ms| Step::Pass { ms }),
        4 => (0..FRONTS, 0i128..40, 0i128..6).prop_map(|(front, from, more)| Step::Ask { front, from, to: from + more }),
    ]
}

#[derive(Default)]
struct Site {
    rows: Vec<i128>,
    loads: LoadNumbers,
    version: u64,
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

fn key(site: &str) -> SigningKey {
    SigningKey::from_bytes(&[site.as_bytes()[0]; 32])
}

/// Plays a schedule. Returns the rows that scatters missed, the sites asked, and all sites.
fn play(steps: &[Step], with_markers: bool) -> (u32, u32, u32) {
    let mut stores: Vec<SummaryStore> = (0..FRONTS).map(|_| store()).collect();
    let mut sites: Vec<Site> = SITES.iter().map(|_| Site::default()).collect();
    // The ledger's single entry, which is replaced as a whole.
    let mut entry = LoadMarkers::default().bytes().unwrap();
    let (mut in_flight, mut written) = (Vec::new(), Vec::new());
    let (mut now, mut missing, mut asked, mut all) = (1_000u64, 0, 0, 0);
    for step in steps {
        match *step {
            Step::Mark {
                front,
                site,
                value,
                known,
            } => {
                let mut markers = LoadMarkers::read(&entry).unwrap();
                let text = match known {
                    true => format!("insert into sales_17.orders (id) values ({value})"),
                    false => {
                        format!("insert into sales_17.orders (id) select {value} from sales_17.new")
                    }
                };
                // By what peers are expected to hold, as fronts do it, or by the front's own
                // summary at once.
                markers.clean_up(now, |name| match value % 2 {
                    0 => stores[front].reported_loads(now, name, 17),
                    _ => ReportedLoads::at_once(stores[front].current(now, name, 17)),
                });
                let number = markers.add(
                    SITES[site],
                    now + MAX_LOAD_RUN_MS,
                    Affected::of_statement(text.as_bytes(), 17),
                );
                entry = markers.bytes().unwrap();
                in_flight.push((
                    now + MAX_LOAD_RUN_MS,
                    site,
                    value,
                    with_load_numbers(&[(17, number)], text.as_bytes()),
                ));
            }
            Step::Run { which, lost } if !in_flight.is_empty() => {
                let (ends, site, value, text) = in_flight.remove(which % in_flight.len());
                if !lost && now < ends {
                    sites[site].rows.push(value);
                    load_numbers(&text)
                        .iter()
                        .for_each(|(_, n)| sites[site].loads.insert(*n));
                }
            }
            Step::Write { site } => {
                let s = &mut sites[site];
                s.version += 1;
                let mut table = TableBuilder::new("orders", &[("id", Kind::Number { scale: 0 })]);
                s.rows
                    .iter()
                    .for_each(|v| table.add_row(&[Some(Value::Number(*v))]));
                let (name, version, loads) = (SITES[site].to_string(), s.version, s.loads.clone());
                let header = SummaryHeader {
                    site: name,
                    group: 17,
                    schema: 1,
                    version,
                    made_ms: now,
                    loads,
                };
                written.push(
                    build_summary(header, vec![table], MAX_SUMMARY_BYTES).sign(&key(SITES[site])),
                );
            }
            Step::Reach { which, front } if !written.is_empty() => {
                let _ = stores[front].accept(now, &written[which % written.len()]);
            }
            Step::Pass { ms } => now += ms,
            Step::Ask { front, from, to } => {
                let text =
                    format!("select * from sales_17.orders where id between {from} and {to}");
                let query = sql::read(text.as_bytes()).unwrap();
                let markers = LoadMarkers::read(&entry).unwrap();
                let load_info = if with_markers {
                    LoadInfo::Markers(&markers)
                } else {
                    LoadInfo::NoLoads
                };
                let names = SITES.map(str::to_string);
                let plan = plan(&query, &basis(&names, &stores[front], now, &load_info));
                all += 3;
                asked += plan.parts.len() as u32;
                for (site, name) in sites.iter().zip(SITES) {
                    let has = site.rows.iter().any(|v| (from..=to).contains(v));
                    missing += u32::from(has && plan.pruned.iter().any(|s| s == name));
                }
            }
            _ => {}
        }
    }
    (missing, asked, all)
}

#[test]
fn no_row_is_missing_whatever_the_order_of_loads_summaries_and_scatters() {
    let (asked, all, without) = (Cell::new(0), Cell::new(0), Cell::new(0));
    let mut runner = TestRunner::new(Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    });
    let outcome = runner.run(&prop::collection::vec(step(), 0..80), |steps| {
        let (missing, sites, of) = play(&steps, true);
        prop_assert_eq!(missing, 0);
        asked.set(asked.get() + sites);
        all.set(all.get() + of);
        without.set(without.get() + play(&steps, false).0);
        Ok(())
    });
    outcome.unwrap();
    println!(
        "asked {} of {} sites; without markers {} missed",
        asked.get(),
        all.get(),
        without.get()
    );
    assert!(asked.get() < all.get() && without.get() > 0);
}

#[test]
fn a_lost_load_keeps_its_site_asked_until_a_summary_contains_a_later_one() {
    let query = sql::read(b"select * from sales_17.orders where id = 5").unwrap();
    let proved = |markers: &LoadMarkers, store: &SummaryStore| {
        plan(
            &query,
            &basis(&["ash".to_string()], store, 0, &LoadInfo::Markers(markers)),
        )
        .parts
        .is_empty()
    };
    let reported_loads = |version, numbers: &[u64]| {
        let mut loads = LoadNumbers::default();
        numbers.iter().for_each(|n| loads.insert(*n));
        let header = SummaryHeader {
            site: "ash".into(),
            group: 17,
            schema: 1,
            version,
            made_ms: 0,
            loads,
        };
        let table = TableBuilder::new("orders", &[("id", Kind::Number { scale: 0 })]);
        build_summary(header, vec![table], MAX_SUMMARY_BYTES).sign(&key("ash"))
    };
    // A later load that was marked before the end of the lost one does not cover it.
    let (mut markers, mut both) = (LoadMarkers::default(), store());
    markers.add("ash", 50, Affected::Anything);
    markers.add("ash", 50, Affected::Anything);
    both.accept(0, &reported_loads(1, &[2])).unwrap();
    markers.clean_up(100, |name| {
        ReportedLoads::at_once(both.current(0, name, 17))
    });
    assert!(!proved(&markers, &both));
    let (mut markers, mut store) = (LoadMarkers::default(), store());
    markers.add("ash", 50, Affected::Anything);
    for version in 1..4 {
        store.accept(0, &reported_loads(version, &[])).unwrap();
        markers.clean_up(100 * version, |name| {
            ReportedLoads::at_once(store.current(0, name, 17))
        });
        assert!(!proved(&markers, &store));
    }
    assert_eq!(markers.add("ash", 500, Affected::Anything), 2);
    store.accept(0, &reported_loads(4, &[2])).unwrap();
    assert!(proved(&markers, &store));
    // After a clean-up an older summary proves nothing any more.
    markers.clean_up(600, |name| {
        ReportedLoads::at_once(store.current(0, name, 17))
    });
    assert!(markers.is_empty());
    let mut older_store = self::store();
    older_store.accept(0, &reported_loads(3, &[])).unwrap();
    assert!(!proved(&markers, &older_store));
}

/// A site's summary that contains the loads up to a number.
fn reported_loads(site: &str, version: u64, to: u64) -> Vec<u8> {
    let loads = LoadNumbers(if to > 0 { vec![(1, to)] } else { Vec::new() });
    let header = SummaryHeader {
        site: site.into(),
        group: 17,
        schema: 1,
        version,
        made_ms: 0,
        loads,
    };
    let table = TableBuilder::new("orders", &[("id", Kind::Number { scale: 0 })]);
    build_summary(header, vec![table], MAX_SUMMARY_BYTES).sign(&key(site))
}

#[test]
fn a_front_with_a_slightly_older_summary_need_not_ask_for_a_covered_marker() {
    let query = sql::read(b"select * from sales_17.orders where id = 5").unwrap();
    let pruned = |markers: &LoadMarkers, store: &SummaryStore, now| {
        let load_info = LoadInfo::Markers(markers);
        !plan(&query, &basis(&["ash".to_string()], store, now, &load_info))
            .pruned
            .is_empty()
    };
    let (mut newer_store, mut older_store, mut markers) =
        (store(), store(), LoadMarkers::default());
    for store in [&mut newer_store, &mut older_store] {
        store.accept(0, &reported_loads("ash", 1, 0)).unwrap();
    }
    markers.add(
        "ash",
        60_000,
        Affected::of_statement(b"insert into sales_17.orders (id) values (7)", 17),
    );
    // The new summary has reached the front that marks the next load, and not the other front yet.
    newer_store
        .accept(1_000, &reported_loads("ash", 2, 1))
        .unwrap();
    markers.clean_up(1_100, |name| newer_store.reported_loads(1_100, name, 17));
    assert!(pruned(&markers, &newer_store, 1_100) && pruned(&markers, &older_store, 1_100));
    // Once the summary has settled the marker is removed, and older summaries prove nothing.
    markers.clean_up(6_100, |name| newer_store.reported_loads(6_100, name, 17));
    assert!(
        markers.is_empty()
            && pruned(&markers, &newer_store, 6_100)
            && !pruned(&markers, &older_store, 6_100)
    );
    // Versions that arrive every second settle too, one after the other.
    for version in 3..60 {
        newer_store
            .accept(version * 1_000, &reported_loads("ash", version, version))
            .unwrap();
    }
    let now = newer_store.reported_loads(60_000, "ash", 17);
    assert_eq!(now.newest.map(|(version, _)| version), Some(59));
    assert!(
        now.settled
            .is_some_and(|(version, _)| (53..=55).contains(&version)),
        "{now:?}"
    );
}

#[test]
fn markers_of_a_thousand_sites_fit_the_entry() {
    let (mut markers, mut all) = (LoadMarkers::default(), 0);
    let sites: Vec<String> = (0..1_000).map(|n| format!("site-{n:04}")).collect();
    for round in 0..20 {
        for site in &sites {
            let text = format!("insert into sales_17.orders (id) values ({round})");
            markers.add(site, 60_000, Affected::of_statement(text.as_bytes(), 17));
        }
        markers.shrink_to_fit(|_| ReportedLoads::default());
        assert!(
            markers.bytes().is_some(),
            "round {round}: {} markers",
            markers.len()
        );
        all = markers.len();
    }
    assert!(
        all >= sites.len(),
        "{all}: each site's loads are still marked"
    );
}

#[test]
fn a_load_of_many_rows_is_recorded_by_the_columns_with_few_values() {
    let rows: Vec<String> = (0..200)
        .map(|n| format!("(20260401, {n}, 'x{n}')"))
        .collect();
    let text = format!(
        "insert into sales_17.orders (day, id, name) values {}",
        rows.join(", ")
    );
    let touched = Affected::of_statement(text.as_bytes(), 17);
    let Affected::Rows { columns, rows, .. } = &touched else {
        panic!("{touched:?}")
    };
    assert_eq!((&columns[..], rows.len()), (&["day".to_string()][..], 1));
    let wide = format!(
        "insert into sales_17.orders (id) values {}",
        ["(1)", "(2)"].repeat(400).join(", ")
    );
    assert!(
        matches!(Affected::of_statement(wide.as_bytes(), 17), Affected::Rows { rows, .. } if rows.len() == 2)
    );
    let all: Vec<String> = (0..400).map(|n| format!("({n})")).collect();
    let text = format!("insert into sales_17.orders (id) values {}", all.join(", "));
    assert_eq!(
        Affected::of_statement(text.as_bytes(), 17),
        Affected::Anything
    );
    assert_eq!(
        Affected::of_statement(b"insert into sales_17.orders (id) values (1, 2)", 17),
        Affected::Anything
    );
}

#[test]
fn an_upsert_is_recorded_by_its_assigned_columns_and_conflict_target() {
    let by = |rest: &str| {
        let text = format!(
            "insert into sales_17.orders (id, day, price) values (1, 2, 3), (4, 2, 5) {rest}"
        );
        match Affected::of_statement(text.as_bytes(), 17) {
            Affected::Rows { columns, .. } => columns.join(" "),
            Affected::Anything => "anything".to_string(),
        }
    };
    for (rest, known) in [
        ("", "id day price"),
        ("on conflict do nothing", "id day price"),
        ("on conflict (id) do nothing", "id day price"),
        (
            "on conflict (id) do update set price = excluded.price",
            "id price",
        ),
        (
            "on conflict (id) do update set price = excluded.price, day = excluded.day",
            "id day price",
        ),
        (
            "on conflict (id, day) do update set price = 9 where orders.day > 1",
            "id day",
        ),
        (
            "on conflict (id) do update set id = orders.id + 1, day = excluded.day",
            "day",
        ),
        (
            "on conflict (id) do update set id = excluded.day",
            "anything",
        ),
        (
            "on conflict (name) do update set price = excluded.price",
            "anything",
        ),
        (
            "on conflict on constraint pk do update set price = excluded.price",
            "anything",
        ),
        (
            "on conflict (id) do update set (price, day) = (excluded.price, excluded.day)",
            "anything",
        ),
        ("on duplicate key update price = values(price)", "anything"),
    ] {
        assert_eq!(by(rest), known, "{rest}");
    }
}
