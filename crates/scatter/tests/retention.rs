//! What is held of summaries under a budget, over a drawn day whose load is skewed and turns at noon: beside equal shares, and
//! beside those used last. Never a row missing; and what was learned outlives the front.

use std::collections::BTreeMap;

use ed25519_dalek::SigningKey;
use hallmux_scatter::build::{build_layered_summary, SummaryHeader, TableBuilder};
use hallmux_scatter::layers::{layer_ends, Detail};
use hallmux_scatter::plan::{plan, Basis, LoadInfo};
use hallmux_scatter::retention::{Budget, Retention};
use hallmux_scatter::sql;
use hallmux_scatter::store::{summary_id, StoreSettings, SummaryStore};
use hallmux_scatter::summary::{LoadNumbers, MAX_SUMMARY_BYTES};
use hallmux_scatter::value::{Kind, Value};

const SITES: usize = 12;
const GROUPS: usize = 20;
const SCATTERS: usize = 1_500;
const DAY_MS: u64 = 86_400_000;

/// Drawn numbers (SplitMix64).
struct Drawn(u64);

impl Drawn {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, most: u64) -> u64 {
        self.next() % most
    }
}

fn key(site: usize) -> SigningKey {
    SigningKey::from_bytes(&[site as u8 + 1; 32])
}

fn site(n: usize) -> String {
    format!("s{n:02}")
}

/// Ids of a group at a site: in even groups drawn all over, in odd ones a range of its own, as large as the group is.
fn rows(drawn: &mut Drawn, at: usize, group: usize) -> Vec<u64> {
    let count = 20 + drawn.below(if group.is_multiple_of(3) { 1_500 } else { 200 });
    let id = |drawn: &mut Drawn| match group % 2 {
        0 => drawn.below(1_000_000),
        _ => at as u64 * 10_000 + drawn.below(9_000),
    };
    (0..count).map(|_| id(drawn)).collect()
}

/// How a front that is told of everything chooses what it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// By what it spares.
    Earned,
    /// The same bytes for each.
    Equal,
    /// Whole ones, those used last.
    Last,
}

struct World {
    /// Rows and the bytes of the summary, by group and site.
    rows: BTreeMap<(usize, usize), Vec<u64>>,
    bytes: BTreeMap<(usize, usize), Vec<u8>>,
}

fn world(seed: u64) -> World {
    let mut drawn = Drawn(seed);
    let (mut all, mut bytes) = (BTreeMap::new(), BTreeMap::new());
    for group in 0..GROUPS {
        for at in 0..SITES {
            let ids = rows(&mut drawn, at, group);
            let mut table = TableBuilder::new("t", &[("id", Kind::Number { scale: 0 })]);
            ids.iter()
                .for_each(|id| table.add_row(&[Some(Value::Number(i128::from(*id)))]));
            let (name, loads) = (site(at), LoadNumbers::default());
            let about = SummaryHeader {
                site: name,
                group: group as u32,
                schema: 1,
                version: 1,
                made_ms: 0,
                loads,
            };
            bytes.insert(
                (group, at),
                build_layered_summary(about, vec![table], MAX_SUMMARY_BYTES, &key(at)),
            );
            all.insert((group, at), ids);
        }
    }
    World { rows: all, bytes }
}

fn book(keep: Option<Retention>) -> SummaryStore {
    let sites = (0..SITES)
        .map(|n| (site(n), key(n).verifying_key()))
        .collect();
    let terms = StoreSettings {
        sites,
        schemas: BTreeMap::new(),
        max_age_ms: DAY_MS * 2,
        max_ahead_ms: 0,
        max_summaries: 10_000,
    };
    let mut book = SummaryStore::new(terms);
    book.retention = keep;
    book
}

/// A day's scatters: hours by hour, groups by a skewed draw that turns at noon; most ask for one id, some for a range.
fn day(seed: u64, world: &World) -> Vec<(u64, usize, u64, u64)> {
    let mut drawn = Drawn(seed);
    let one = |n: usize| {
        let skewed = (0..4)
            .map(|_| drawn.below(GROUPS as u64))
            .min()
            .unwrap_or(0) as usize;
        let group = if n < SCATTERS / 2 {
            skewed
        } else {
            (skewed + GROUPS / 2) % GROUPS
        };
        let at = drawn.below(SITES as u64) as usize;
        let ids = &world.rows[&(group, at)];
        let id = ids[drawn.below(ids.len() as u64) as usize];
        let to = if drawn.below(4) == 0 { id + 500 } else { id };
        (n as u64 * DAY_MS / SCATTERS as u64, group, id, to)
    };
    (0..SCATTERS).map(one).collect()
}

/// Sites asked over the day, beside those that have rows.
fn plays(
    way: Way,
    budget: Budget,
    world: &World,
    day: &[(u64, usize, u64, u64)],
) -> (usize, usize) {
    let mut book = book((way == Way::Earned).then(|| Retention::new(budget)));
    let sites: Vec<String> = (0..SITES).map(site).collect();
    let (mut asked, mut due, mut chosen) = (0, 0, 0);
    // Of the plain ways: what is held now, and when each was used.
    let share = budget.memory / 2.0 / world.bytes.len() as f64;
    let mut used: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    if way == Way::Equal {
        for bytes in world.bytes.values() {
            let end = layer_ends(bytes)
                .unwrap()
                .into_iter()
                .filter(|end| *end as f64 <= share)
                .max();
            end.into_iter()
                .for_each(|end| _ = book.accept(0, &bytes[..end]));
        }
    }
    for (n, (at_ms, group, id, to)) in day.iter().enumerate() {
        if way == Way::Earned && *at_ms >= chosen {
            // Some ten seconds apart where there is load; what is wanted and lacks comes from other fronts.
            chosen = at_ms + 60_000;
            book.choose(*at_ms);
            let held: BTreeMap<u64, Detail> = book
                .versions()
                .map(|held| (held.name, held.detail))
                .collect();
            for ((group, at), bytes) in &world.bytes {
                let of = summary_id(&site(*at), *group as u32);
                let wanted = book.wanted_detail(of);
                if wanted > held.get(&of).copied() {
                    let end = layer_ends(bytes).unwrap()[wanted.unwrap() as usize];
                    let _ = book.accept(*at_ms, &bytes[..end]);
                }
            }
            assert!(
                book.size() as f64 * 2.0 <= budget.memory * 1.05 || n == 0,
                "{} bytes",
                book.size()
            );
        }
        let condition = if id == to {
            format!("id = {id}")
        } else {
            format!("id between {id} and {to}")
        };
        let query =
            sql::read(format!("select id from a_{group}.t where {condition}").as_bytes()).unwrap();
        let plan = plan(
            &query,
            &Basis {
                sites: &sites,
                allowed: None,
                summaries: &book,
                wall_ms: *at_ms,
                loads: &LoadInfo::NoLoads,
                suspected: &|_| false,
            },
        );
        let has = |at: usize| {
            world.rows[&(*group, at)]
                .iter()
                .any(|row| (*id..=*to).contains(row))
        };
        for (at, name) in sites.iter().enumerate() {
            let out = plan.pruned.contains(name);
            assert!(
                !out || !has(at),
                "a row missing: {way:?}, group {group}, site {name}, {condition}"
            );
            due += usize::from(has(at));
            asked += usize::from(!out);
            if out || !has(at) {
                book.record_outcome(*at_ms, &query, name, !out);
            }
            if way == Way::Last {
                used.insert((*group, at), n as u64);
                let _ = book.accept(*at_ms, &world.bytes[&(*group, at)]);
            }
        }
        while way == Way::Last && book.size() as f64 * 2.0 > budget.memory {
            let Some((&first, _)) = used.iter().min_by_key(|(_, at)| **at) else {
                break;
            };
            used.remove(&first);
            book.remove(&site(first.1), first.0 as u32);
        }
    }
    (asked, due)
}

#[test]
fn what_earns_its_bytes_spares_more_than_equal_shares_and_than_what_was_used_last() {
    let world = world(7);
    let day = day(11, &world);
    let whole: usize = world.bytes.values().map(Vec::len).sum();
    println!(
        "{} summaries of {whole} bytes, {SCATTERS} scatters over {SITES} sites",
        world.bytes.len()
    );
    for part in [0.1, 0.35, 0.7] {
        let budget = Budget {
            memory: whole as f64 * 2.0 * part,
            traffic: 1e9,
        };
        let [earned, equal, last] =
            [Way::Earned, Way::Equal, Way::Last].map(|way| plays(way, budget, &world, &day));
        println!(
            "{:>3.0} % of the bytes: sites asked {} by what is spared, {} by equal shares, {} by last use; {} had rows",
            part * 100.0, earned.0, equal.0, last.0, earned.1
        );
        assert!(
            earned.0 < equal.0 && earned.0 < last.0,
            "{part}: {earned:?} {equal:?} {last:?}"
        );
    }
}

#[test]
fn what_was_learned_outlives_the_front_and_damage_is_taken_for_nothing() {
    use hallmux_scatter::retention::Outcome;
    let budget = Budget {
        memory: 9_000.0,
        traffic: 1e9,
    };
    let mut keep = Retention::new(budget);
    for name in 0..20 {
        keep.version_arrived(0, name, 1, [200, 1_000, 3_000]);
    }
    (0..50).for_each(|n| keep.record(n, 3, Outcome::ByFilter));
    keep.choose(100);
    assert_eq!(keep.wanted_detail(3), Some(Detail::Full));
    let bytes = keep.to_bytes();
    let mut next = Retention::new(budget);
    assert!(next.restore(200, &bytes) && next.len() == 20);
    next.choose(200);
    assert_eq!(next.wanted_detail(3), Some(Detail::Full));
    // A day without use, and another takes its place.
    (0..50).for_each(|n| next.record(100_000_000_000 + n, 5, Outcome::ByFilter));
    next.choose(100_000_000_100);
    assert_eq!(
        (
            next.wanted_detail(5),
            next.wanted_detail(3) < Some(Detail::Full)
        ),
        (Some(Detail::Full), true)
    );
    for cut in 0..bytes.len() {
        assert!(!Retention::new(budget).restore(0, &bytes[..cut]));
    }
    assert!(!Retention::new(budget).restore(0, &[vec![2], bytes[1..].to_vec()].concat()));
}

#[test]
fn a_front_fetches_as_much_of_a_summary_as_it_wants_from_one_that_has_it_at_home() {
    use hallmux_scatter::exchange::Exchange;
    use hallmux_scatter::retention::Outcome;
    let world = world(3);
    let ((group, at), whole) = world
        .bytes
        .iter()
        .max_by_key(|(_, bytes)| bytes.len())
        .unwrap();
    let (of, fine) = (
        summary_id(&site(*at), *group as u32),
        layer_ends(whole).unwrap(),
    );
    assert!(fine[2] > 2_000, "several pieces");
    let budget = Budget {
        memory: 1e6,
        traffic: 1e6,
    };
    let mut books = [
        book(Some(Retention::new(budget))),
        book(Some(Retention::new(budget))),
    ];
    let mut spreads = [Exchange::new(0), Exchange::new(0)];
    spreads[0].local.insert(of, 1);
    books[0].accept(0, whole).unwrap();
    let mut held = Vec::new();
    for second in 1..=40 {
        let now = second * 1_000_000;
        if second == 20 {
            (0..50).for_each(|_| {
                books[1]
                    .retention
                    .as_mut()
                    .unwrap()
                    .record(now, of, Outcome::MissedByBounds)
            });
            books[1].choose(now as u64 / 1_000);
        }
        let mut messages = Vec::new();
        for front in 0..2 {
            let out = spreads[front].tick(now, &[1 - front as u64], &books[front]);
            messages.extend(
                out.messages
                    .into_iter()
                    .map(|(to, bytes)| (front as u64, to, bytes)),
            );
        }
        while let Some((from, to, bytes)) = messages.pop() {
            let at = to as usize;
            let mut out =
                spreads[at].on_message(now, now as u64 / 1_000, from, &bytes, &mut books[at]);
            assert!(out.accepted.iter().all(Result::is_ok), "{:?}", out.accepted);
            for loan in std::mem::take(&mut out.local_reads) {
                spreads[at].send_piece(now, loan, whole, &mut out);
            }
            messages.extend(
                out.messages
                    .into_iter()
                    .map(|(next, bytes)| (to, next, bytes)),
            );
        }
        held.push(books[1].size());
        assert_eq!(
            books[0].size(),
            fine[0],
            "what lies at home is held no finer than it is wanted"
        );
    }
    assert_eq!((held[18], held[39]), (fine[0], fine[2]));
}
