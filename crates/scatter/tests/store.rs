//! What is held of sites' words, what is refused and why, and how it spreads: bounded, whatever the number of fronts.

use std::collections::BTreeMap;

use ed25519_dalek::SigningKey;
use hallmux_scatter::build::{build_summary, SummaryHeader, TableBuilder};
use hallmux_scatter::exchange::Exchange;
use hallmux_scatter::sql::{self, Unsupported};
use hallmux_scatter::store::{StoreSettings, SummaryStore};
use hallmux_scatter::summary::{LoadNumbers, Summary, MAX_SUMMARY_BYTES};
use hallmux_scatter::value::{Collation, Kind, Value};

const NOW: u64 = 1_000_000; // milliseconds

fn key(site: usize) -> SigningKey {
    SigningKey::from_bytes(&[site as u8 + 1; 32])
}

fn terms(sites: usize) -> StoreSettings {
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

fn word(site: usize, version: u64, rows: i128) -> Summary {
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
    let about = SummaryHeader {
        site,
        group: 17,
        schema: 3,
        version,
        made_ms: NOW,
        loads,
    };
    build_summary(about, vec![table], MAX_SUMMARY_BYTES)
}

#[test]
fn what_is_not_a_sites_own_fresh_word_is_refused_with_its_reason_and_changes_nothing() {
    let mut book = SummaryStore::new(StoreSettings {
        max_summaries: 1,
        ..terms(2)
    });
    let good = word(0, 5, 200).sign(&key(0));
    assert_eq!(book.accept(NOW, &good), Ok(true));
    assert_eq!(book.accept(NOW, &good), Ok(false));
    let of = |change: &dyn Fn(&mut Summary)| {
        let mut summary = word(0, 6, 200);
        change(&mut summary);
        summary.sign(&key(0))
    };
    let cases: [(Vec<u8>, &str); 13] = [
        (good[..good.len() - 1].to_vec(), "form"),
        ([good.clone(), vec![0]].concat(), "form"),
        (vec![0; MAX_SUMMARY_BYTES + 1], "long"),
        (of(&|s| s.format = 5), "format"),
        (word(0, 6, 5).sign(&key(1)), "forged"),
        (of(&|s| s.site = "elsewhere".into()), "unknown site"),
        (of(&|s| s.schema = 2), "schema"),
        (of(&|s| s.version = 4), "version"),
        (of(&|s| (s.version, s.made_ms) = (5, NOW - 1)), "version"),
        (of(&|s| s.made_ms = NOW - 10_001), "old"),
        (of(&|s| s.made_ms = NOW + 1_001), "clock ahead"),
        (of(&|s| s.tables[0].columns[0].nulls = 201), "content"),
        (word(1, 1, 5).sign(&key(1)), "full"),
    ];
    for (bytes, why) in cases {
        let refused = book.accept(NOW, &bytes).unwrap_err();
        assert_eq!(refused.name(), why, "{refused}");
        // Each says what is wrong, and behind a colon what can be done, or which site it is of.
        assert!(
            refused.to_string().contains("summar") || refused.to_string().contains("site '"),
            "{refused}"
        );
        assert!(refused.to_string().contains(": "), "{refused}");
        assert_eq!(book.current(NOW, "s0", 17).map(|s| s.version), Some(5));
    }
    assert!(book.current(NOW + 10_001, "s0", 17).is_none());
    book.reconfigure(StoreSettings {
        sites: BTreeMap::from([("s0".into(), key(7).verifying_key())]),
        ..terms(1)
    });
    assert!(book.is_empty());
}

#[test]
fn altered_bytes_never_count_and_never_panic() {
    let mut book = SummaryStore::new(terms(1));
    let good = word(0, 5, 60).sign(&key(0));
    for at in 0..good.len() {
        for flip in [1, 0x80, 0xff] {
            let mut spoilt = good.clone();
            spoilt[at] ^= flip;
            assert!(book.accept(NOW, &spoilt).is_err(), "byte {at}");
        }
        assert!(book.accept(NOW, &good[..at]).is_err());
    }
    // A site whose own words are odd, signed as they are.
    let whole = postcard::to_stdvec(&word(0, 5, 60)).unwrap();
    for at in 0..whole.len() {
        let mut odd = whole.clone();
        odd[at] ^= 0x55;
        let Ok(odd) = postcard::from_bytes::<Summary>(&odd) else {
            continue;
        };
        if book.accept(NOW, &odd.sign(&key(0))).is_ok() {
            let Some(held) = book.current(NOW, "s0", 17) else {
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
fn a_summary_that_would_be_too_long_loses_filters_and_nothing_else() {
    let long = word(0, 1, 40_000);
    assert!(long.sign(&key(0)).len() <= MAX_SUMMARY_BYTES);
    let table = &long.tables[0];
    assert!(
        table.columns.iter().filter(|c| c.members.is_none()).count() == 1,
        "one filter fits, two do not"
    );
    assert!(table.columns.iter().all(|c| c.bounds.is_some()) && table.rows == 40_000);
}

/// Fronts that each hold some sites' summaries at first: seconds until all hold all, and bytes a second and front.
fn spread(fronts: usize, sites: usize) -> (i64, f64) {
    let mut books: Vec<SummaryStore> = (0..fronts)
        .map(|_| SummaryStore::new(terms(sites)))
        .collect();
    let mut spreads: Vec<Exchange> = (0..fronts).map(|n| Exchange::new(n * 7)).collect();
    for site in 0..sites {
        assert_eq!(
            books[site % fronts].accept(NOW, &word(site, 1, 300).sign(&key(site))),
            Ok(true)
        );
    }
    let (mut bytes, mut whole, mut dropped) = (0, None, 0u32);
    for second in 0..120 {
        for front in 0..fronts {
            let others: Vec<u64> = (0..fronts)
                .filter(|f| *f != front)
                .map(|f| f as u64)
                .collect();
            let told = spreads[front].tick(second * 1_000_000, &others, &books[front]);
            let mut messages: Vec<(u64, u64, Vec<u8>)> = told
                .messages
                .into_iter()
                .map(|(to, l)| (front as u64, to, l))
                .collect();
            while let Some((from, to, letter)) = messages.pop() {
                bytes += letter.len();
                dropped = dropped.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                if dropped >> 28 == 0 {
                    continue; // lost on its way
                }
                let at = to as usize;
                let out =
                    spreads[at].on_message(second * 1_000_000, NOW, from, &letter, &mut books[at]);
                assert!(out.accepted.iter().all(Result::is_ok), "{:?}", out.accepted);
                messages.extend(out.messages.into_iter().map(|(next, l)| (to, next, l)));
            }
        }
        if whole.is_none() && books.iter().all(|book| book.len() == sites) {
            (whole, bytes) = (Some(second), 0); // from here on, what it costs at rest
        }
    }
    let whole = whole.unwrap_or(999);
    (
        whole,
        bytes as f64 / fronts as f64 / (119 - whole).max(1) as f64,
    )
}

#[test]
fn every_front_comes_to_hold_every_summary_at_a_bounded_cost() {
    let at = [(5, 40), (40, 40), (120, 40)].map(|(fronts, sites)| (fronts, spread(fronts, sites)));
    println!("fronts, (seconds until all hold all, bytes a second and front at rest): {at:?}");
    for (fronts, (seconds, bytes)) in at {
        assert!(
            seconds < 90 && bytes < 2_000.0,
            "{fronts} fronts: {seconds} s, {bytes} B/s"
        );
    }
}

#[test]
fn statements_that_parts_do_not_make_up_are_refused_with_a_way_out() {
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
        let why = sql::read(text.as_bytes()).unwrap_err();
        assert!(why.to_string().contains("whole_site"), "{text}: {why}");
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
fn what_dialects_may_read_otherwise_proves_nothing() {
    let summary = word(0, 1, 3);
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
fn a_new_version_is_told_on_at_once_and_not_with_the_next_round() {
    const FRONTS: usize = 40;
    let mut books: Vec<SummaryStore> = (0..FRONTS).map(|_| SummaryStore::new(terms(1))).collect();
    let mut spreads: Vec<Exchange> = (0..FRONTS).map(|n| Exchange::new(n * 7)).collect();
    let others =
        |front: usize| -> Vec<u64> { (0..FRONTS as u64).filter(|f| *f != front as u64).collect() };
    for front in 0..FRONTS {
        assert_eq!(
            books[front].accept(NOW, &word(0, 1, 300).sign(&key(0))),
            Ok(true)
        );
        let _ = spreads[front].tick(1_000_000, &others(front), &books[front]);
    }
    assert_eq!(
        books[3].accept(NOW, &word(0, 2, 300).sign(&key(0))),
        Ok(true)
    );
    spreads[3].announce(hallmux_scatter::store::summary_id("s0", 17));
    // Half a second: no front's round is due.
    let now = 1_500_000;
    while let Some(front) = (0..FRONTS).find(|front| spreads[*front].due() <= now) {
        let told = spreads[front].tick(now, &others(front), &books[front]);
        let mut messages: Vec<_> = told
            .messages
            .into_iter()
            .map(|(to, l)| (front as u64, to, l))
            .collect();
        while let Some((from, to, letter)) = messages.pop() {
            let at = to as usize;
            let out = spreads[at].on_message(now, NOW, from, &letter, &mut books[at]);
            messages.extend(out.messages.into_iter().map(|(next, l)| (to, next, l)));
        }
    }
    let held = books
        .iter()
        .filter(|book| book.current(NOW, "s0", 17).is_some_and(|s| s.version == 2))
        .count();
    println!("{held} of {FRONTS} fronts hold it before any round");
    assert!(held >= FRONTS * 3 / 4, "{held} of {FRONTS}");
}

#[test]
fn a_false_word_found_at_one_front_is_known_at_all() {
    use hallmux_scatter::exchange::FalseSummary;
    const FRONTS: usize = 40;
    let mut books: Vec<SummaryStore> = (0..FRONTS).map(|_| SummaryStore::new(terms(1))).collect();
    let mut spreads: Vec<Exchange> = (0..FRONTS).map(|n| Exchange::new(n * 7)).collect();
    let word = |site: &str, version| FalseSummary {
        site: site.to_string(),
        group: 17,
        version,
    };
    assert!(
        spreads[0].report_false(0, &word("s0", 4)) && !spreads[0].report_false(0, &word("s0", 3))
    );
    // One of no site that is known is no front's matter.
    assert!(spreads[0].report_false(0, &word("elsewhere", 1)));
    let (mut has_site, mut seconds) = (vec![0; FRONTS], 0);
    while has_site[1..].contains(&0) && seconds < 60 {
        seconds += 1;
        let mut messages = Vec::new();
        for front in 0..FRONTS {
            let others: Vec<u64> = (0..FRONTS as u64).filter(|f| *f != front as u64).collect();
            let out = spreads[front].tick(seconds * 1_000_000, &others, &books[front]);
            messages.extend(
                out.messages
                    .into_iter()
                    .map(|(to, l)| (front as u64, to, l)),
            );
        }
        for (from, to, letter) in messages {
            let at = to as usize;
            let out =
                spreads[at].on_message(seconds * 1_000_000, NOW, from, &letter, &mut books[at]);
            assert!(
                out.false_summaries
                    .iter()
                    .all(|found| *found == word("s0", 4)),
                "{:?}",
                out.false_summaries
            );
            has_site[at] += out.false_summaries.len();
        }
    }
    println!("all of {FRONTS} fronts know after {seconds} s");
    assert!(
        seconds < 20 && has_site[1..].iter().all(|heard| *heard == 1),
        "{seconds} s: {has_site:?}"
    );
}
