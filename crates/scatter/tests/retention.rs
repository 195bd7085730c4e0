//! The summaries held under a budget, over a simulated day whose skewed load moves to other groups
//! at noon, compared with equal shares of the budget and with eviction of the least recently used.
//! No row may be missing, and the observations must survive a restart of the front.

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

/// A generator of pseudo-random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}

fn key(site: usize) -> SigningKey {
    SigningKey::from_bytes(&[site as u8 + 1; 32])
}

fn site(n: usize) -> String {
    format!("s{n:02}")
}

/// The ids of a group at a site: in even groups from the whole range, in odd ones from a range of
/// the site's own, as large as the group is.
fn rows(random: &mut Random, at: usize, group: usize) -> Vec<u64> {
    let count = 20 + random.below(if group.is_multiple_of(3) { 1_500 } else { 200 });
    let id = |random: &mut Random| match group % 2 {
        0 => random.below(1_000_000),
        _ => at as u64 * 10_000 + random.below(9_000),
    };
    (0..count).map(|_| id(random)).collect()
}

/// How a front that receives all summaries chooses what it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// By benefit.
    ByBenefit,
    /// The same number of bytes for each.
    EqualShares,
    /// Complete summaries, least recently used removed first.
    LastUsed,
}

struct World {
    /// The rows, and the bytes of the summary, by group and site.
    rows: BTreeMap<(usize, usize), Vec<u64>>,
    bytes: BTreeMap<(usize, usize), Vec<u8>>,
}

fn world(seed: u64) -> World {
    let mut random = Random(seed);
    let (mut all, mut bytes) = (BTreeMap::new(), BTreeMap::new());
    for group in 0..GROUPS {
        for at in 0..SITES {
            let ids = rows(&mut random, at, group);
            let mut table = TableBuilder::new("t", &[("id", Kind::Number { scale: 0 })]);
            ids.iter()
                .for_each(|id| table.add_row(&[Some(Value::Number(i128::from(*id)))]));
            let (name, loads) = (site(at), LoadNumbers::default());
            let header = SummaryHeader {
                site: name,
                group: group as u32,
                schema: 1,
                version: 1,
                made_ms: 0,
                loads,
            };
            bytes.insert(
                (group, at),
                build_layered_summary(header, vec![table], MAX_SUMMARY_BYTES, &key(at)),
            );
            all.insert((group, at), ids);
        }
    }
    World { rows: all, bytes }
}

fn store(retention: Option<Retention>) -> SummaryStore {
    let sites = (0..SITES)
        .map(|n| (site(n), key(n).verifying_key()))
        .collect();
    let settings = StoreSettings {
        sites,
        schemas: BTreeMap::new(),
        max_age_ms: DAY_MS * 2,
        max_ahead_ms: 0,
        max_summaries: 10_000,
    };
    let mut store = SummaryStore::new(settings);
    store.retention = retention;
    store
}

/// A day's scatters at equal intervals. Groups are drawn from a skewed distribution that moves at
/// noon; most scatters ask for one id, some for a range.
fn day(seed: u64, world: &World) -> Vec<(u64, usize, u64, u64)> {
    let mut random = Random(seed);
    let one = |n: usize| {
        let skewed = (0..4)
            .map(|_| random.below(GROUPS as u64))
            .min()
            .unwrap_or(0) as usize;
        let group = if n < SCATTERS / 2 {
            skewed
        } else {
            (skewed + GROUPS / 2) % GROUPS
        };
        let at = random.below(SITES as u64) as usize;
        let ids = &world.rows[&(group, at)];
        let id = ids[random.below(ids.len() as u64) as usize];
        let to = if random.below(4) == 0 { id + 500 } else { id };
        (n as u64 * DAY_MS / SCATTERS as u64, group, id, to)
    };
    (0..SCATTERS).map(one).collect()
}

/// Plays the day. Returns the number of sites asked, and of those with rows.
fn play_day(
    policy: Policy,
    budget: Budget,
    world: &World,
    day: &[(u64, usize, u64, u64)],
) -> (usize, usize) {
    let mut store = store((policy == Policy::ByBenefit).then(|| Retention::new(budget)));
    let sites: Vec<String> = (0..SITES).map(site).collect();
    let (mut asked, mut with_rows, mut chosen) = (0, 0, 0);
    // For the other policies: when each summary was last used.
    let share = budget.memory / 2.0 / world.bytes.len() as f64;
    let mut used: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    if policy == Policy::EqualShares {
        for bytes in world.bytes.values() {
            let end = layer_ends(bytes)
                .unwrap()
                .into_iter()
                .filter(|end| *end as f64 <= share)
                .max();
            end.into_iter()
                .for_each(|end| _ = store.accept(0, &bytes[..end]));
        }
    }
    for (n, (at_ms, group, id, to)) in day.iter().enumerate() {
        if policy == Policy::ByBenefit && *at_ms >= chosen {
            // Fronts choose again about every ten seconds under load; detail that is wanted and
            // missing is received from peers.
            chosen = at_ms + 60_000;
            store.choose(*at_ms);
            let held: BTreeMap<u64, Detail> = store
                .versions()
                .map(|held| (held.name, held.detail))
                .collect();
            for ((group, at), bytes) in &world.bytes {
                let of = summary_id(&site(*at), *group as u32);
                let wanted = store.wanted_detail(of);
                if wanted > held.get(&of).copied() {
                    let end = layer_ends(bytes).unwrap()[wanted.unwrap() as usize];
                    let _ = store.accept(*at_ms, &bytes[..end]);
                }
            }
            assert!(
                store.size() as f64 * 2.0 <= budget.memory * 1.05 || n == 0,
                "{} bytes",
                store.size()
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
                summaries: &store,
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
                "a row missing: {policy:?}, group {group}, site {name}, {condition}"
            );
            with_rows += usize::from(has(at));
            asked += usize::from(!out);
            if out || !has(at) {
                store.record_outcome(*at_ms, &query, name, !out);
            }
            if policy == Policy::LastUsed {
                used.insert((*group, at), n as u64);
                let _ = store.accept(*at_ms, &world.bytes[&(*group, at)]);
            }
        }
        while policy == Policy::LastUsed && store.size() as f64 * 2.0 > budget.memory {
            let Some((&first, _)) = used.iter().min_by_key(|(_, at)| **at) else {
                break;
            };
            used.remove(&first);
            store.remove(&site(first.1), first.0 as u32);
        }
    }
    (asked, with_rows)
}

#[test]
fn retention_by_benefit_asks_fewer_sites_than_equal_shares_and_last_use() {
    let world = world(7);
    let day = day(11, &world);
    let total_bytes: usize = world.bytes.values().map(Vec::len).sum();
    println!(
        "{} summaries of {total_bytes} bytes, {SCATTERS} scatters over {SITES} sites",
        world.bytes.len()
    );
    for part in [0.1, 0.35, 0.7] {
        let budget = Budget {
            memory: total_bytes as f64 * 2.0 * part,
            traffic: 1e9,
        };
        let [by_benefit, equal, last] = [Policy::ByBenefit, Policy::EqualShares, Policy::LastUsed]
            .map(|policy| play_day(policy, budget, &world, &day));
        println!(
            "{:>3.0} % of the bytes: sites asked {} by benefit, {} by equal shares, {} by last use; {} had rows",
            part * 100.0, by_benefit.0, equal.0, last.0, by_benefit.1
        );
        assert!(
            by_benefit.0 < equal.0 && by_benefit.0 < last.0,
            "{part}: {by_benefit:?} {equal:?} {last:?}"
        );
    }
}

#[test]
fn observations_survive_a_restart_and_damaged_ones_are_ignored() {
    use hallmux_scatter::retention::Outcome;
    let budget = Budget {
        memory: 9_000.0,
        traffic: 1e9,
    };
    let mut retention = Retention::new(budget);
    for name in 0..20 {
        retention.version_arrived(0, name, 1, [200, 1_000, 3_000]);
    }
    (0..50).for_each(|n| retention.record(n, 3, Outcome::ByFilter));
    retention.choose(100);
    assert_eq!(retention.wanted_detail(3), Some(Detail::Full));
    let bytes = retention.to_bytes();
    let mut next = Retention::new(budget);
    assert!(next.restore(200, &bytes) && next.len() == 20);
    next.choose(200);
    assert_eq!(next.wanted_detail(3), Some(Detail::Full));
    // After a day without use another summary takes its place.
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
fn a_front_fetches_the_wanted_detail_from_a_peer_with_the_local_file() {
    use hallmux_scatter::exchange::Exchange;
    use hallmux_scatter::retention::Outcome;
    let world = world(3);
    let ((group, at), summary_bytes) = world
        .bytes
        .iter()
        .max_by_key(|(_, bytes)| bytes.len())
        .unwrap();
    let (of, layer_end) = (
        summary_id(&site(*at), *group as u32),
        layer_ends(summary_bytes).unwrap(),
    );
    assert!(layer_end[2] > 2_000, "several pieces");
    let budget = Budget {
        memory: 1e6,
        traffic: 1e6,
    };
    let mut stores = [
        store(Some(Retention::new(budget))),
        store(Some(Retention::new(budget))),
    ];
    let mut exchanges = [Exchange::new(0), Exchange::new(0)];
    exchanges[0].local.insert(of, 1);
    stores[0].accept(0, summary_bytes).unwrap();
    let mut held = Vec::new();
    for second in 1..=40 {
        let now = second * 1_000_000;
        if second == 20 {
            (0..50).for_each(|_| {
                stores[1]
                    .retention
                    .as_mut()
                    .unwrap()
                    .record(now, of, Outcome::MissedByBounds)
            });
            stores[1].choose(now as u64 / 1_000);
        }
        let mut messages = Vec::new();
        for front in 0..2 {
            let out = exchanges[front].tick(now, &[1 - front as u64], &stores[front]);
            messages.extend(
                out.messages
                    .into_iter()
                    .map(|(to, bytes)| (front as u64, to, bytes)),
            );
        }
        while let Some((from, to, bytes)) = messages.pop() {
            let at = to as usize;
            let mut out =
                exchanges[at].on_message(now, now as u64 / 1_000, from, &bytes, &mut stores[at]);
            assert!(out.accepted.iter().all(Result::is_ok), "{:?}", out.accepted);
            for request in std::mem::take(&mut out.local_reads) {
                exchanges[at].send_piece(now, request, summary_bytes, &mut out);
            }
            messages.extend(
                out.messages
                    .into_iter()
                    .map(|(next, bytes)| (to, next, bytes)),
            );
        }
        held.push(stores[1].size());
        assert_eq!(
            stores[0].size(),
            layer_end[0],
            "a front with the local file holds only the wanted detail"
        );
    }
    assert_eq!((held[18], held[39]), (layer_end[0], layer_end[2]));
}
