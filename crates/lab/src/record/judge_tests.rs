//! Unit tests of the `judge` module.

use super::zones::zone_capacity;
use super::*;
use crate::rig::relay::Relayed;

const TEXT: &str = "seconds = 10\n[fleet]\nfronts = 2\nzones = 2\nengines_per_zone = 2\n\
    [load]\nper_second = 20\nwork_ms = 100\ntimeout_ms = 2000\n\
    [engine]\nslots = 8\ncold_slots = 2\nwarm_ms = 2000\n\
    [[fault]]\nwhat = 'zone_lost'\nat_ms = 1000\nfor_ms = 1000\nzone = 1\n";

fn sent(at: i64, statements: usize, passed: bool) -> Relayed {
    Relayed {
        at,
        front: 0,
        engine: 2,
        zone: 1,
        statements,
        probes: 0,
        opened: 0,
        passed,
    }
}

#[test]
fn the_load_into_a_returning_zone_is_compared_with_its_capacity_in_that_second() {
    let scenario = Scenario::parse(TEXT, false, None).unwrap();
    // Two engines grow from 2 to 8 slots in 2 s, in whole slots: 2, 3 and 4 in the first second,
    // each used ten times a second.
    let first = zone_capacity(&scenario, 0, SECOND);
    assert!((59.0..61.0).contains(&first), "{first}");
    let fault = scenario.faults[0].clone();
    let mut account = Account {
        played: vec![(fault, SECOND, 2 * SECOND)],
        ..Account::default()
    };
    account.relayed = vec![
        sent(SECOND + 700_000, 1, false),
        sent(2 * SECOND + 1, 30, true),
        sent(3 * SECOND - 1, 60, true),
    ];
    let run = judge(&scenario, &account, Vec::new());
    assert_eq!(run.tallies["zone_lost_last_sent_ms"], 700);
    assert_eq!(run.tallies["returned_sent"], 90);
    assert_eq!(
        run.tallies["return_load_over_bound_pct"],
        (9000.0 / first).round() as i64
    );
    assert!(run.tallies["return_load_over_bound_pct"] > 100);
}
