//! A replica whose disk silently lost a write, so that an older record with a valid checksum comes
//! back, is found by comparison and repaired.

mod sim;

use hallmux_ledger::{Operation, Outcome};
use sim::{Fleet, SECOND};

fn put(value: u64) -> Operation {
    Operation::Put {
        expects: None,
        ends_ms: 0,
        value: value.to_be_bytes().to_vec(),
    }
}

/// The record of a shard's snapshot.
fn snapshot(fleet: &Fleet, n: usize) -> (Vec<u8>, Vec<u8>) {
    let mut records = fleet.fronts[n]
        .disk
        .iter()
        .filter(|(name, _)| name[0] == b'n');
    let (name, bytes) = records.next().unwrap();
    (name.clone(), bytes.clone())
}

fn comparison_counts(fleet: &Fleet) -> (u64, u64) {
    let ledgers = fleet
        .fronts
        .iter()
        .filter_map(|front| front.ledger.as_ref());
    ledgers
        .map(|ledger| ledger.counters())
        .fold((0, 0), |total, counters| {
            (
                total.0 + counters.differing,
                total.1 + counters.repaired_after_comparison,
            )
        })
}

#[test]
fn only_the_replica_that_lost_a_write_is_repaired_whether_it_leads_or_not() {
    for on_leader in [false, true] {
        let mut fleet = Fleet::new(3, 3, 1, 5);
        assert!(fleet.run_until(10 * SECOND, Fleet::is_fully_replicated));
        for k in 0..100 {
            fleet.request_until_answered(k % 3, &format!("r{}", k % 10), put(k as u64));
        }
        fleet.run(fleet.now + 200 * SECOND);
        assert_eq!(
            comparison_counts(&fleet),
            (0, 0),
            "identical replicas were found to differ"
        );
        let leader = fleet.leader("r0").unwrap();
        let n = if on_leader { leader } else { (leader + 1) % 3 };
        let before = snapshot(&fleet, n);
        for k in 100..300 {
            fleet.request_until_answered(k % 3, &format!("r{}", k % 10), put(k as u64));
        }
        fleet.run(fleet.now + SECOND);
        assert_ne!(snapshot(&fleet, n), before);
        // The disk holds the old snapshot record again, with a valid checksum, as if the later
        // write had never happened.
        fleet.kill(n);
        fleet.fronts[n].disk.insert(before.0, before.1);
        fleet.start(n);
        if on_leader {
            // The front leads the shard again before any comparison has run.
            let others: Vec<usize> = (0..3).filter(|k| *k != n).collect();
            assert!(fleet.run_until(5 * SECOND, Fleet::is_fully_replicated));
            others.iter().for_each(|k| fleet.begin_shutdown(*k));
            assert!(fleet.run_until(5 * SECOND, |fleet| fleet.leader("r0") == Some(n)));
            for k in others {
                fleet.kill(k);
                fleet.start(k);
                fleet.run(fleet.now + SECOND);
            }
            assert_eq!(fleet.leader("r0"), Some(n));
        }
        assert!(
            fleet.run_until(120 * SECOND, |fleet| comparison_counts(fleet).1 > 0),
            "{:?}",
            comparison_counts(&fleet)
        );
        fleet.run(fleet.now + 200 * SECOND);
        let (differing, repaired) = comparison_counts(&fleet);
        println!("on the leader: {on_leader}: {differing} differing, {repaired} repaired");
        assert!(differing >= 1 && repaired == 1, "{differing} {repaired}");
        // The repair is durable: after a restart, and with one of the other replicas down, the
        // repaired replica serves the latest values.
        fleet.kill(n);
        fleet.start(n);
        fleet.run(fleet.now + 2 * SECOND);
        fleet.kill((n + 1) % 3);
        for k in 0..10 {
            let Outcome::Stands(entry) =
                fleet.request_until_answered(n, &format!("r{k}"), Operation::Read)
            else {
                panic!("r{k}")
            };
            assert_eq!(entry.value, (290 + k as u64).to_be_bytes());
        }
        let violations = fleet.history.violations();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}
