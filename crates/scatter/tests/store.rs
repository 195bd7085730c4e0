//! The summary store and the exchange between fronts: what is rejected and why, and how summaries
//! spread at a bounded cost, whatever the number of fronts.

use std::collections::BTreeMap;

use ed25519_dalek::SigningKey;
use hallmux_scatter::build::{build_summary, SummaryHeader, TableBuilder};
use hallmux_scatter::exchange::Exchange;
use hallmux_scatter::sql::{self, Unsupported};
use hallmux_scatter::store::{StoreSettings, SummaryStore};
use hallmux_scatter::summary::{LoadNumbers, Summary, MAX_SUMMARY_BYTES};
use hallmux_scatter::value::{Collation, Kind, Value};

const NOW: u64 = 1_000_000; // Milliseconds.

fn key(site: usize) -> SigningKey {
    SigningKey::from_bytes(&[site as u8 + 1; 32])
}

fn settings(sites: usize) -> StoreSettings {
    let sites = (0..sites)
        .map(|n| (format!("s{n}"), key(n).verifying_key()))
        .collect();
    StoreSettings {
        sites,
        schemas: BTreeMap::from([(17, 3)]),
        max_age_ms: 10_000,
        max_ahead_ms: 1_000,
        max_summaries: 2_000,
    }
}

fn site_summary(site: usize, version: u64, rows: i128) -> Summary {
    let columns = [
        ("id", Kind::Number { scale: 0 }),
        ("name", Kind::Text(Collation::C)),
    ];
    let mut table = TableBuilder::new("orders", &columns);
    for n in 0..rows {
        table.add_row(&[
            Some(Value::Number(n)),
            Some(Value::Text(format!("{n}").repeat(40))),
        ]);
    }
    let (site, loads) = (format!("s{site}"), LoadNumbers::default());
    let header = SummaryHeader {
        site,
        group: 17,
        schema: 3,
        version,
        made_ms: NOW,
        loads,
    };
    build_summary(header, vec![table], MAX_SUMMARY_BYTES)
}

#[test]
fn invalid_summaries_are_rejected_with_their_reason_and_change_nothing() {
    let mut store = SummaryStore::new(StoreSettings {
        max_summaries: 1,
        ..settings(2)
    });
    let good = site_summary(0, 5, 200).sign(&key(0));
    assert_eq!(store.accept(NOW, &good), Ok(true));
    assert_eq!(store.accept(NOW, &good), Ok(false));
    let signed_with = |change: &dyn Fn(&mut Summary)| {
        let mut summary = site_summary(0, 6, 200);
        change(&mut summary);
        summary.sign(&key(0))
    };
    let cases: [(Vec<u8>, &str); 13] = [
        (good[..good.len() - 1].to_vec(), "form"),
        ([good.clone(), vec![0]].concat(), "form"),
        (vec![0; MAX_SUMMARY_BYTES + 1], "long"),
        (signed_with(&|s| s.format = 5), "format"),
        (site_summary(0, 6, 5).sign(&key(1)), "forged"),
        (
            signed_with(&|s| s.site = "elsewhere".into()),
            "unknown site",
        ),
        (signed_with(&|s| s.schema = 2), "schema"),
        (signed_with(&|s| s.version = 4), "version"),
        (
            signed_with(&|s| (s.version, s.made_ms) = (5, NOW - 1)),
            "version",
        ),
        (signed_with(&|s| s.made_ms = NOW - 10_001), "old"),
        (signed_with(&|s| s.made_ms = NOW + 1_001), "clock ahead"),
        (
            signed_with(&|s| s.tables[0].columns[0].nulls = 201),
            "content",
        ),
        (site_summary(1, 1, 5).sign(&key(1)), "full"),
    ];
    for (bytes, reason) in cases {
        let rejected = store.accept(NOW, &bytes).unwrap_err();
        assert_eq!(rejected.name(), reason, "{rejected}");
        // Each message says what is wrong and after a colon what can be done, or which site it is
        // about.
        assert!(
            rejected.to_string().contains("summar") || rejected.to_string().contains("site '"),
            "{rejected}"
        );
        assert!(rejected.to_string().contains(": "), "{rejected}");
        assert_eq!(store.current(NOW, "s0", 17).map(|s| s.version), Some(5));
    }
    assert!(store.current(NOW + 10_001, "s0", 17).is_none());
    store.reconfigure(StoreSettings {
        sites: BTreeMap::from([("s0".into(), key(7).verifying_key())]),
        ..settings(1)
    });
    assert!(store.is_empty());
}

#[test]
fn altered_bytes_are_rejected_and_never_panic() {
    let mut store = SummaryStore::new(settings(1));
    let good = site_summary(0, 5, 60).sign(&key(0));
    for at in 0..good.len() {
        for flip in [1, 0x80, 0xff] {
            let mut altered = good.clone();
            altered[at] ^= flip;
            assert!(store.accept(NOW, &altered).is_err(), "byte {at}");
        }
        assert!(store.accept(NOW, &good[..at]).is_err());
    }
    // A site that signs inconsistent summaries.
    let encoded = postcard::to_stdvec(&site_summary(0, 5, 60)).unwrap();
    for at in 0..encoded.len() {
        let mut inconsistent = encoded.clone();
        inconsistent[at] ^= 0x55;
        let Ok(inconsistent) = postcard::from_bytes::<Summary>(&inconsistent) else {
            continue;
        };
        if store.accept(NOW, &inconsistent.sign(&key(0))).is_ok() {
            let Some(held) = store.current(NOW, "s0", 17) else {
                continue;
            };
            for text in [
                "id = 7",
                "id between 1 and 3",
                "name like '7%'",
                "not name > 'a'",
            ] {
                let text = format!("select * from s_17.orders where {text}");
                let query = sql::read(text.as_bytes()).unwrap();
                held.tables
                    .iter()
                    .for_each(|table| _ = query.condition.never_true(table));
            }
        }
    }
}

#[test]
fn a_summary_that_is_too_long_loses_only_filters() {
    let long = site_summary(0, 1, 40_000);
    assert!(long.sign(&key(0)).len() <= MAX_SUMMARY_BYTES);
    let table = &long.tables[0];
    assert!(
        table.columns.iter().filter(|c| c.members.is_none()).count() == 1,
        "one filter fits, two do not"
    );
    assert!(table.columns.iter().all(|c| c.bounds.is_some()) && table.rows == 40_000);
}

/// Lets fronts that each hold the summaries of some sites exchange them. Returns the seconds until
/// all fronts hold all summaries, and the bytes per second and front after that.
fn exchange_summaries(fronts: usize, sites: usize) -> (i64, f64) {
    let mut stores: Vec<SummaryStore> = (0..fronts)
        .map(|_| SummaryStore::new(settings(sites)))
        .collect();
    let mut exchanges: Vec<Exchange> = (0..fronts).map(|n| Exchange::new(n * 7)).collect();
    for site in 0..sites {
        assert_eq!(
            stores[site % fronts].accept(NOW, &site_summary(site, 1, 300).sign(&key(site))),
            Ok(true)
        );
    }
    let (mut bytes, mut complete_after, mut dropped) = (0, None, 0u32);
    for second in 0..120 {
        for front in 0..fronts {
            let peers: Vec<u64> = (0..fronts)
                .filter(|f| *f != front)
                .map(|f| f as u64)
                .collect();
            let round = exchanges[front].tick(second * 1_000_000, &peers, &stores[front]);
            let mut messages: Vec<(u64, u64, Vec<u8>)> = round
                .messages
                .into_iter()
                .map(|(to, l)| (front as u64, to, l))
                .collect();
            while let Some((from, to, datagram)) = messages.pop() {
                bytes += datagram.len();
                dropped = dropped.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                if dropped >> 28 == 0 {
                    continue; // Lost datagram.
                }
                let at = to as usize;
                let out = exchanges[at].on_message(
                    second * 1_000_000,
                    NOW,
                    from,
                    &datagram,
                    &mut stores[at],
                );
                assert!(out.accepted.iter().all(Result::is_ok), "{:?}", out.accepted);
                messages.extend(out.messages.into_iter().map(|(next, l)| (to, next, l)));
            }
        }
        if complete_after.is_none() && stores.iter().all(|store| store.len() == sites) {
            (complete_after, bytes) = (Some(second), 0); // From here on, only the steady state is counted.
        }
    }
    let complete_after = complete_after.unwrap_or(999);
    (
        complete_after,
        bytes as f64 / fronts as f64 / (119 - complete_after).max(1) as f64,
    )
}

#[test]
fn every_front_receives_every_summary_at_a_bounded_cost() {
    let at = [(5, 40), (40, 40), (120, 40)]
        .map(|(fronts, sites)| (fronts, exchange_summaries(fronts, sites)));
    println!("fronts, (seconds until all hold all, bytes a second and front at rest): {at:?}");
    for (fronts, (seconds, bytes)) in at {
        assert!(
            seconds < 90 && bytes < 2_000.0,
            "{fronts} fronts: {seconds} s, {bytes} B/s"
        );
    }
}

#[test]
fn statements_not_computable_from_parts_are_rejected_with_a_remedy() {
    for text in [
        "select count(distinct a) from s_17.t",
        "select count(*), a from s_17.t",
        "select count(*) from s_17.t limit 1",
        "select sum(a + 1) from s_17.t",
        "select count(*) over () from s_17.t",
        "select distinct a from s_17.t",
        "select a from s_17.t order by a",
        "select a, max(b) from s_17.t group by a",
        "select a from s_17.t left join s_17.u on t.a = u.a",
        "select a from s_17.t, s_17.u",
        "select a from s_17.t where a in (select b from s_17.u)",
        "select a from s_17.t where exists (select 1 from s_17.u)",
        "select a, row_number() over (order by a) from s_17.t",
        "select a from s_17.t limit 5 offset 2",
        "select a from s_17.t fetch first 5 rows only",
        "select a from s_17.t union all select a from s_17.u",
        "with x as (select 1) select a from s_17.t",
        "select a from s_17.t for update",
        "select a into b from s_17.t",
        "select a from s_17.t tablesample system (10)",
        "select a from s_17.t where rownum < 5",
        "select random() from s_17.t",
        "select a from t",
        "select a from staging_17.t",
        "insert into s_17.t (a) values (1)",
        "select a from s_17.t where b = 'x\\' or c = 1 -- '",
        "select a from s_17.t where b = 5--1\n or c = 1",
        "select a from s_17.t /*! where 1 = 0 */",
        "select a from s_17.t where b = $1",
        "select a from s_17.t; select 1",
        "select a frm s_17.t",
        "",
    ] {
        let reason = sql::read(text.as_bytes()).unwrap_err();
        assert!(
            reason.to_string().contains("whole_site"),
            "{text}: {reason}"
        );
    }
    assert!(matches!(
        sql::read(&[b'x'; 20_000]),
        Err(Unsupported::Long(_))
    ));
    assert!(matches!(
        sql::read(b"select '\xff' from s_17.t"),
        Err(Unsupported::Syntax(_))
    ));
    let deep = format!(
        "select a from s_17.t where {}a = 1{}",
        "(".repeat(3_000),
        ")".repeat(3_000)
    );
    assert!(sql::read(deep.as_bytes()).is_err());
    let long = format!(
        "select a from s_17.t where a = 1{}",
        " or a = 1".repeat(1_500)
    );
    assert!(sql::read(long.as_bytes()).is_ok());
}

#[test]
fn text_that_dialects_read_differently_proves_nothing() {
    let summary = site_summary(0, 1, 3);
    let proved = |text: &str| {
        let text = format!("select a as name from s_17.orders where {text}");
        sql::read(text.as_bytes())
            .unwrap()
            .condition
            .never_true(&summary.tables[0])
    };
    assert!(proved("id = 9") && proved("id = 9 and name = 'x'"));
    for text in [
        "id = 9 || id = 1",
        "id = 9 xor id = 1",
        "\"id\" = 9",
        "id = '9'",
        "id = null",
        "name = 'zz'",
        "id = 1e1",
    ] {
        assert!(!proved(text), "{text}");
    }
}

#[test]
fn a_new_version_is_announced_at_once_and_not_with_the_next_round() {
    const FRONTS: usize = 40;
    let mut stores: Vec<SummaryStore> = (0..FRONTS)
        .map(|_| SummaryStore::new(settings(1)))
        .collect();
    let mut exchanges: Vec<Exchange> = (0..FRONTS).map(|n| Exchange::new(n * 7)).collect();
    let peers =
        |front: usize| -> Vec<u64> { (0..FRONTS as u64).filter(|f| *f != front as u64).collect() };
    for front in 0..FRONTS {
        assert_eq!(
            stores[front].accept(NOW, &site_summary(0, 1, 300).sign(&key(0))),
            Ok(true)
        );
        let _ = exchanges[front].tick(1_000_000, &peers(front), &stores[front]);
    }
    assert_eq!(
        stores[3].accept(NOW, &site_summary(0, 2, 300).sign(&key(0))),
        Ok(true)
    );
    exchanges[3].announce(hallmux_scatter::store::summary_id("s0", 17));
    // Half a second later no front's round is due.
    let now = 1_500_000;
    while let Some(front) = (0..FRONTS).find(|front| exchanges[*front].due() <= now) {
        let round = exchanges[front].tick(now, &peers(front), &stores[front]);
        let mut messages: Vec<_> = round
            .messages
            .into_iter()
            .map(|(to, l)| (front as u64, to, l))
            .collect();
        while let Some((from, to, datagram)) = messages.pop() {
            let at = to as usize;
            let out = exchanges[at].on_message(now, NOW, from, &datagram, &mut stores[at]);
            messages.extend(out.messages.into_iter().map(|(next, l)| (to, next, l)));
        }
    }
    let held = stores
        .iter()
        .filter(|store| store.current(NOW, "s0", 17).is_some_and(|s| s.version == 2))
        .count();
    println!("{held} of {FRONTS} fronts hold it before any round");
    assert!(held >= FRONTS * 3 / 4, "{held} of {FRONTS}");
}

#[test]
fn a_false_summary_found_at_one_front_is_reported_to_all() {
    use hallmux_scatter::exchange::FalseSummary;
    const FRONTS: usize = 40;
    let mut stores: Vec<SummaryStore> = (0..FRONTS)
        .map(|_| SummaryStore::new(settings(1)))
        .collect();
    let mut exchanges: Vec<Exchange> = (0..FRONTS).map(|n| Exchange::new(n * 7)).collect();
    let report = |site: &str, version| FalseSummary {
        site: site.to_string(),
        group: 17,
        version,
    };
    assert!(
        exchanges[0].report_false(0, &report("s0", 4))
            && !exchanges[0].report_false(0, &report("s0", 3))
    );
    // A report about a site that a front does not know is ignored by it.
    assert!(exchanges[0].report_false(0, &report("elsewhere", 1)));
    let (mut reports_received, mut seconds) = (vec![0; FRONTS], 0);
    while reports_received[1..].contains(&0) && seconds < 60 {
        seconds += 1;
        let mut messages = Vec::new();
        for front in 0..FRONTS {
            let peers: Vec<u64> = (0..FRONTS as u64).filter(|f| *f != front as u64).collect();
            let out = exchanges[front].tick(seconds * 1_000_000, &peers, &stores[front]);
            messages.extend(
                out.messages
                    .into_iter()
                    .map(|(to, l)| (front as u64, to, l)),
            );
        }
        for (from, to, datagram) in messages {
            let at = to as usize;
            let out = exchanges[at].on_message(
                seconds * 1_000_000,
                NOW,
                from,
                &datagram,
                &mut stores[at],
            );
            assert!(
                out.false_summaries
                    .iter()
                    .all(|found| *found == report("s0", 4)),
                "{:?}",
                out.false_summaries
            );
            reports_received[at] += out.false_summaries.len();
        }
    }
    println!("all of {FRONTS} fronts know after {seconds} s");
    assert!(
        seconds < 20 && reports_received[1..].iter().all(|count| *count == 1),
        "{seconds} s: {reports_received:?}"
    );
}
