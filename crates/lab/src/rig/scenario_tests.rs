//! Unit tests of the `scenario` module.

use super::*;

const GOOD: &str = "seconds = 5\n[fleet]\nfronts = 3\nzones = 2\nengines_per_zone = 2\n\
    [load]\nper_second = 20\nwork_ms = 10\ntimeout_ms = 2000\n\
    [[fault]]\nwhat = 'zone_lost'\nat_ms = 1000\nfor_ms = 2000\nzone = 1\n";

#[test]
fn omitted_keys_have_defaults() {
    let s = Scenario::parse(GOOD, false, None).unwrap();
    assert_eq!(
        (
            s.fleet.fronts,
            s.faults.len(),
            s.faults[0].what,
            s.engine.slots
        ),
        (3, 1, FaultKind::ZoneLost, 16)
    );
}

#[test]
fn unknown_keys_and_values_out_of_range_are_rejected_with_their_line() {
    let unknown = GOOD.replace("work_ms", "werk_ms");
    assert!(Scenario::parse(&unknown, false, None)
        .unwrap_err()
        .contains("werk_ms"));
    assert!(Scenario::parse(&unknown, false, None)
        .unwrap_err()
        .starts_with("line 8"));
    let far = GOOD.replace("zone = 1", "zone = 2");
    assert_eq!(
        Scenario::parse(&far, false, None).unwrap_err(),
        "line 14: `zone` must be below 2, the number of zones"
    );
    let many = GOOD.replace("fronts = 3", "fronts = 41");
    assert!(Scenario::parse(&many, false, None)
        .unwrap_err()
        .starts_with("line 3: `fronts`"));
    let without_gossip = GOOD.replace(
        "engines_per_zone = 2",
        "engines_per_zone = 2\nzone_quorum = 0",
    );
    assert_eq!(
        Scenario::parse(&without_gossip, false, None).unwrap_err(),
        "line 6: `zone_quorum` needs gossip = true"
    );
    let high = GOOD.replace(
        "engines_per_zone = 2",
        "engines_per_zone = 2\ngossip = true\nzone_quorum = 65",
    );
    assert_eq!(
        Scenario::parse(&high, false, None).unwrap_err(),
        "line 7: `zone_quorum` is over 64"
    );
    assert!(Scenario::parse(&many, true, None).is_ok());
    let apart = GOOD.replace("fronts = 3", "fronts = 3\nclocks_apart_ms = 600001");
    assert_eq!(
        Scenario::parse(&apart, false, None).unwrap_err(),
        "line 4: `clocks_apart_ms` is over 600000"
    );
    for (key, message) in [
        ("percent = 101", "`percent` is over 100"),
        ("delay_ms = 10001", "`delay_ms` is over"),
    ] {
        let text = GOOD.replace("zone = 1", key);
        assert!(Scenario::parse(&text, false, None)
            .unwrap_err()
            .starts_with(&format!("line 14: {message}")));
    }
    let ends = GOOD.replace("for_ms = 2000", "for_ms = 4001");
    assert!(Scenario::parse(&ends, false, None)
        .unwrap_err()
        .starts_with("line 12: `at_ms`"));
    for (key, message) in [
        (
            "front = 1\nsecond = 1",
            "line 15: `second` must be above `front` and below the number of fronts",
        ),
        (
            "step = 'began'",
            "line 14: `step` is allowed for lose_disk only",
        ),
    ] {
        let text = GOOD.replace("zone = 1", key);
        assert_eq!(Scenario::parse(&text, false, None).unwrap_err(), message);
    }
    let class =
        "zones = 2\nengines_per_zone = 2\n[[class]]\nname = 'a'\nshare = 1\nimportance = 1\nslo_ms = 5\n";
    for (key, message) in [
        ("keys = 10001", "line 11: `keys` is over 10000"),
        ("asks_again = 9", "line 11: `asks_again` is over 8"),
        (
            "window_ms = 0",
            "line 11: `window_ms` must be from 1 to 600000",
        ),
        (
            "timeout_ms = 10",
            "line 11: `timeout_ms` of a class must be over its work_ms and 60000 at most",
        ),
    ] {
        let text = GOOD.replace(
            "zones = 2\nengines_per_zone = 2\n",
            &format!("{class}{key}\n"),
        );
        assert_eq!(Scenario::parse(&text, false, None).unwrap_err(), message);
    }
    for (copies, message) in [
        ("3", "needs gossip = true"),
        (
            "2\ngossip = true",
            "must be 1, 3 or 5, and no more than fronts",
        ),
    ] {
        let text = GOOD.replace(
            "engines_per_zone = 2",
            &format!("engines_per_zone = 2\ncopies = {copies}"),
        );
        assert_eq!(
            Scenario::parse(&text, false, None).unwrap_err(),
            format!("line 6: `copies` {message}")
        );
    }
    let kind = GOOD.replace("zone_lost", "zone_gone");
    assert!(Scenario::parse(&kind, false, None)
        .unwrap_err()
        .contains("zone_gone"));
    assert!(Scenario::parse("\u{0}garbage[[", false, None).is_err());
}
