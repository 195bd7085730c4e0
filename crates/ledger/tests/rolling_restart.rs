//! A rolling restart of the whole fleet, some fronts of a zone at a time, in which leaders hand
//! over their shards before they stop; also with fleets of two builds.

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

fn start_fleet(formats: impl Fn(usize) -> u8, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(FRONTS, 3, 16, seed);
    fleet.setup.repair_after = 30 * SECOND;
    for n in 0..FRONTS {
        fleet.fronts[n].format = formats(n);
    }
    fleet.restart_with_empty_disks(FRONTS);
    assert!(fleet.run_until(20 * SECOND, Fleet::is_fully_replicated));
    fleet
}

/// Submits requests at all fronts that are not restarting, each some ten times a second.
fn run_load(fleet: &mut Fleet, micros: i64, restarting: &[usize]) {
    let until = fleet.now + micros;
    while fleet.now < until {
        let n = fleet.history.requests.len() % FRONTS;
        if fleet.is_up(n) && !restarting.contains(&n) {
            let value = fleet.history.requests.len() as u64;
            fleet.submit(n, &format!("r{}", value % 64), put(value));
        } else {
            // Another front takes the place of one that is restarting.
            let n = (0..FRONTS)
                .find(|n| fleet.is_up(*n) && !restarting.contains(n))
                .unwrap();
            let value = fleet.history.requests.len() as u64;
            fleet.submit(n, &format!("r{}", value % 64), put(value));
        }
        fleet.run(fleet.now + 5_000);
    }
}

/// Restarts every front, two of a zone at a time; `before_start` changes each front before it
/// starts.
fn rolling_restart(
    fleet: &mut Fleet,
    transfers_leadership: bool,
    before_start: impl Fn(&mut Fleet, usize),
) {
    let mut order: Vec<usize> = (0..FRONTS).collect();
    order.sort_by_key(|n| n % 3);
    for restarting in order.chunks(2) {
        if transfers_leadership {
            restarting.iter().for_each(|n| fleet.begin_shutdown(*n));
        }
        run_load(
            fleet,
            SECOND / 2,
            if transfers_leadership {
                &[]
            } else {
                restarting
            },
        );
        run_load(fleet, SECOND / 2, restarting);
        restarting.iter().for_each(|n| fleet.kill(*n));
        run_load(fleet, SECOND, restarting);
        for n in restarting {
            before_start(fleet, *n);
            fleet.start(*n);
        }
        run_load(fleet, SECOND, &[]);
    }
    fleet.run(fleet.now + SECOND);
}

/// The longest time of a request in milliseconds, and the number of unreachable requests.
fn wait_stats(fleet: &Fleet, since: i64) -> (i64, usize) {
    let requests = fleet
        .history
        .requests
        .iter()
        .filter(|request| request.submitted_at >= since);
    let done = requests.filter_map(|request| {
        request
            .answer
            .as_ref()
            .map(|(at, outcome)| (*at - request.submitted_at, outcome))
    });
    let (mut longest, mut unreachable) = (0, 0);
    for (elapsed, outcome) in done {
        longest = longest.max(elapsed / 1_000);
        unreachable += usize::from(*outcome == Outcome::Unreachable);
    }
    (longest, unreachable)
}

fn assert_no_violations(fleet: &Fleet) {
    let violations = fleet.history.violations();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// The packets that another build could not read.
fn unreadable_packets(fleet: &Fleet) -> u64 {
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
fn a_rolling_restart_rejects_no_request_and_answers_within_the_timeout() {
    let mut longest = [0; 2];
    for seed in 1..=2 {
        for transfers_leadership in [true, false] {
            let mut fleet = start_fleet(|_| hallmux_ledger::FORMAT, seed);
            let since = fleet.now;
            rolling_restart(&mut fleet, transfers_leadership, |_, _| {});
            let (wait, unreachable) = wait_stats(&fleet, since);
            println!("seed {seed}, leadership transferred: {transfers_leadership}: longest {wait} ms, {unreachable} unreachable");
            longest[usize::from(transfers_leadership)] =
                longest[usize::from(transfers_leadership)].max(wait);
            assert!(!transfers_leadership || unreachable == 0);
            assert_no_violations(&fleet);
        }
    }
    // Within the request timeout; an election takes longer than that, and requests time out.
    assert!(longest[1] < 500 && longest[0] >= 500, "{longest:?}");
}

#[test]
fn a_fleet_of_two_builds_works_and_a_rollback_loses_nothing() {
    let mut fleet = start_fleet(|n| 1 + (n % 2) as u8, 3);
    let accepted_leaderships = |fleet: &Fleet| -> u64 {
        let ledgers = fleet
            .fronts
            .iter()
            .filter_map(|front| front.ledger.as_ref());
        ledgers
            .map(|ledger: &Ledger| ledger.counters().accepted_leaderships)
            .sum()
    };
    // An upgrade and a complete rollback, under load.
    for (format, transfers) in [(2, true), (1, false)] {
        rolling_restart(&mut fleet, true, |fleet, n| fleet.fronts[n].format = format);
        assert_no_violations(&fleet);
        println!(
            "to format {format}: {} packets not read",
            unreadable_packets(&fleet)
        );
        assert_eq!(
            accepted_leaderships(&fleet) > 0,
            transfers,
            "format {format}"
        );
    }
    for k in 0..64 {
        assert!(matches!(
            fleet.request_until_answered(k % FRONTS, &format!("r{k}"), Operation::Read),
            Outcome::Stands(_)
        ));
    }
    assert_no_violations(&fleet);
}

/// The latest format of the data saved on any front, which follows the checksum in the header
/// record.
fn latest_saved_format(fleet: &Fleet) -> u8 {
    let header_format = |disk: &std::collections::BTreeMap<Vec<u8>, Vec<u8>>| {
        disk.get(&b"m"[..]).map(|header_format| header_format[4])
    };
    fleet
        .fronts
        .iter()
        .filter_map(|front| header_format(&front.disk))
        .max()
        .unwrap_or(0)
}

#[test]
fn saved_records_use_a_later_format_only_with_the_next_build_and_a_rollback_loses_nothing() {
    // The previous build, this one, and the next one: the format that each reads, and the one in
    // which it saves.
    let builds = [
        (2, 1),
        (hallmux_ledger::FORMAT, hallmux_ledger::SAVED_FORMAT),
        (3, 3),
    ];
    let mut fleet = start_fleet(|_| 2, 4);
    for (build, format) in [(1, 1), (0, 1), (1, 1), (2, 3), (1, 3)] {
        fleet.setup.saved_format = builds[build].1;
        rolling_restart(&mut fleet, true, |fleet, n| {
            fleet.fronts[n].format = builds[build].0
        });
        assert_no_violations(&fleet);
        println!(
            "to build {build}: {} packets not read",
            unreadable_packets(&fleet)
        );
        assert_eq!(latest_saved_format(&fleet), format, "to build {build}");
    }
    for k in 0..64 {
        assert!(matches!(
            fleet.request_until_answered(k % FRONTS, &format!("r{k}"), Operation::Read),
            Outcome::Stands(_)
        ));
    }
}

#[test]
fn a_front_of_an_older_build_delays_a_later_format_and_leaves_unreadable_records_unchanged() {
    let mut fleet = Fleet::new(FRONTS, 3, 16, 5);
    fleet.setup.saved_format = 3;
    fleet.fronts[7].format = 2;
    fleet.restart_with_empty_disks(FRONTS);
    assert!(fleet.run_until(20 * SECOND, Fleet::is_fully_replicated));
    run_load(&mut fleet, 12 * SECOND, &[]);
    assert_eq!(latest_saved_format(&fleet), 1);
    fleet.kill(7);
    run_load(&mut fleet, SECOND, &[7]);
    assert_eq!(latest_saved_format(&fleet), 1);
    fleet.fronts[7].format = 3;
    fleet.start(7);
    run_load(&mut fleet, 12 * SECOND, &[]);
    assert_eq!(latest_saved_format(&fleet), 3);
    assert_no_violations(&fleet);
    fleet.kill(7);
    let setup = Setup {
        local_front: id(7),
        disk: fleet.fronts[7].disk_id,
        format: 2,
        ..fleet.setup.clone()
    };
    let disk = &fleet.fronts[7].disk;
    let saved = Saved(disk.clone().into_iter().collect());
    let found = Ledger::new(fleet.clock(7), setup, Some(saved)).err();
    assert_eq!(found, Some(Error::Version { found: 3, reads: 2 }));
}
