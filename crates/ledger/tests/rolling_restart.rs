//! A roll of the whole fleet, some fronts of a zone at a time: owners hand over before they go. Fleets of two builds.

mod sim;

use hallmux_ledger::{Error, Ledger, Operation, Outcome, Saved, Setup};
use sim::{id, Fleet, SECOND};

const FRONTS: usize = 18;

fn put(value: u64) -> Operation {
    Operation::Put {
        expects: None,
        ends_ms: 0,
        value: value.to_be_bytes().to_vec(),
    }
}

fn begun(formats: impl Fn(usize) -> u8, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(FRONTS, 3, 16, seed);
    fleet.setup.repair_after = 30 * SECOND;
    for n in 0..FRONTS {
        fleet.fronts[n].format = formats(n);
    }
    fleet.start_anew(FRONTS);
    assert!(fleet.run_until(20 * SECOND, Fleet::is_whole));
    fleet
}

/// Asks from all that are not about to end, each some ten times a second.
fn load(fleet: &mut Fleet, micros: i64, out: &[usize]) {
    let until = fleet.now + micros;
    while fleet.now < until {
        let n = fleet.record.ops.len() % FRONTS;
        if fleet.is_up(n) && !out.contains(&n) {
            let value = fleet.record.ops.len() as u64;
            fleet.ask(n, &format!("r{}", value % 64), put(value));
        } else {
            // Its turn is another's.
            let n = (0..FRONTS)
                .find(|n| fleet.is_up(*n) && !out.contains(n))
                .unwrap();
            let value = fleet.record.ops.len() as u64;
            fleet.ask(n, &format!("r{}", value % 64), put(value));
        }
        fleet.run(fleet.now + 5_000);
    }
}

/// Every front ends and starts again, two of a zone at a time; `back` sets each up anew before it starts.
fn roll(fleet: &mut Fleet, leads_transferable_shard: bool, back: impl Fn(&mut Fleet, usize)) {
    let mut order: Vec<usize> = (0..FRONTS).collect();
    order.sort_by_key(|n| n % 3);
    for out in order.chunks(2) {
        if leads_transferable_shard {
            out.iter().for_each(|n| fleet.begin_shutdown(*n));
        }
        load(
            fleet,
            SECOND / 2,
            if leads_transferable_shard { &[] } else { out },
        );
        load(fleet, SECOND / 2, out);
        out.iter().for_each(|n| fleet.kill(*n));
        load(fleet, SECOND, out);
        for n in out {
            back(fleet, *n);
            fleet.start(*n);
        }
        load(fleet, SECOND, &[]);
    }
    fleet.run(fleet.now + SECOND);
}

/// The longest wait in ms, and asks that nobody answered.
fn waits(fleet: &Fleet, since: i64) -> (i64, usize) {
    let ops = fleet.record.ops.iter().filter(|op| op.asked >= since);
    let done = ops.filter_map(|op| {
        op.done
            .as_ref()
            .map(|(at, outcome)| (*at - op.asked, outcome))
    });
    let (mut longest, mut unreachable) = (0, 0);
    for (took, outcome) in done {
        longest = longest.max(took / 1_000);
        unreachable += usize::from(*outcome == Outcome::Unreachable);
    }
    (longest, unreachable)
}

fn sound(fleet: &Fleet) {
    let faults = fleet.record.faults();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Letters that another build could not read.
fn unread(fleet: &Fleet) -> u64 {
    let ledgers = fleet
        .fronts
        .iter()
        .filter_map(|front| front.ledger.as_ref());
    let of = |ledger: &Ledger, why| ledger.counters().rejected.get(why).copied().unwrap_or(0);
    ledgers
        .map(|ledger| of(ledger, "form") + of(ledger, "version"))
        .sum()
}

#[test]
fn a_rolling_restart_refuses_nothing_and_delays_asks_within_their_timeout() {
    let mut longest = [0; 2];
    for seed in 1..=2 {
        for leads_transferable_shard in [true, false] {
            let mut fleet = begun(|_| hallmux_ledger::FORMAT, seed);
            let since = fleet.now;
            roll(&mut fleet, leads_transferable_shard, |_, _| {});
            let (wait, unreachable) = waits(&fleet, since);
            println!("seed {seed}, handed over: {leads_transferable_shard}: longest {wait} ms, {unreachable} unreachable");
            longest[usize::from(leads_transferable_shard)] =
                longest[usize::from(leads_transferable_shard)].max(wait);
            assert!(!leads_transferable_shard || unreachable == 0);
            sound(&fleet);
        }
    }
    // Within the patience; an election takes longer, and asks are refused for it.
    assert!(longest[1] < 500 && longest[0] >= 500, "{longest:?}");
}

#[test]
fn a_fleet_of_two_builds_works_and_a_rollback_loses_nothing() {
    let mut fleet = begun(|n| 1 + (n % 2) as u8, 3);
    let inherited = |fleet: &Fleet| -> u64 {
        let ledgers = fleet
            .fronts
            .iter()
            .filter_map(|front| front.ledger.as_ref());
        ledgers
            .map(|ledger: &Ledger| ledger.counters().accepted_leaderships)
            .sum()
    };
    // Up, then all the way back, under load.
    for (format, hands) in [(2, true), (1, false)] {
        roll(&mut fleet, true, |fleet, n| fleet.fronts[n].format = format);
        sound(&fleet);
        println!("to format {format}: {} packets not read", unread(&fleet));
        assert_eq!(inherited(&fleet) > 0, hands, "format {format}");
    }
    for k in 0..64 {
        assert!(matches!(
            fleet.get_until_answered(k % FRONTS, &format!("r{k}"), Operation::Read),
            Outcome::Stands(_)
        ));
    }
    sound(&fleet);
}

/// The latest format of what any front keeps: behind the checksum of its mark.
fn kept(fleet: &Fleet) -> u8 {
    let mark = |disk: &std::collections::BTreeMap<Vec<u8>, Vec<u8>>| {
        disk.get(&b"m"[..]).map(|mark| mark[4])
    };
    fleet
        .fronts
        .iter()
        .filter_map(|front| mark(&front.disk))
        .max()
        .unwrap_or(0)
}

#[test]
fn saved_records_take_a_later_format_with_the_next_build_and_a_rollback_loses_nothing() {
    // The build before this one, this one, and the next: the format that each reads, and the one in which it keeps.
    let builds = [
        (2, 1),
        (hallmux_ledger::FORMAT, hallmux_ledger::SAVED_FORMAT),
        (3, 3),
    ];
    let mut fleet = begun(|_| 2, 4);
    for (build, format) in [(1, 1), (0, 1), (1, 1), (2, 3), (1, 3)] {
        fleet.setup.saved_format = builds[build].1;
        roll(&mut fleet, true, |fleet, n| {
            fleet.fronts[n].format = builds[build].0
        });
        sound(&fleet);
        println!("to build {build}: {} letters not read", unread(&fleet));
        assert_eq!(kept(&fleet), format, "to build {build}");
    }
    for k in 0..64 {
        assert!(matches!(
            fleet.get_until_answered(k % FRONTS, &format!("r{k}"), Operation::Read),
            Outcome::Stands(_)
        ));
    }
}

#[test]
fn one_front_of_an_older_build_holds_a_later_format_up_and_leaves_unreadable_records_as_they_are() {
    let mut fleet = Fleet::new(FRONTS, 3, 16, 5);
    fleet.setup.saved_format = 3;
    fleet.fronts[7].format = 2;
    fleet.start_anew(FRONTS);
    assert!(fleet.run_until(20 * SECOND, Fleet::is_whole));
    load(&mut fleet, 12 * SECOND, &[]);
    assert_eq!(kept(&fleet), 1);
    fleet.kill(7);
    load(&mut fleet, SECOND, &[7]);
    assert_eq!(kept(&fleet), 1);
    fleet.fronts[7].format = 3;
    fleet.start(7);
    load(&mut fleet, 12 * SECOND, &[]);
    assert_eq!(kept(&fleet), 3);
    sound(&fleet);
    fleet.kill(7);
    let setup = Setup {
        local_front: id(7),
        disk: fleet.fronts[7].disk_id,
        format: 2,
        ..fleet.setup.clone()
    };
    let disk = &fleet.fronts[7].disk;
    let saved = Saved(disk.clone().into_iter().collect());
    let found = Ledger::new(fleet.at(7), setup, Some(saved)).err();
    assert_eq!(found, Some(Error::Version { found: 3, reads: 2 }));
}
