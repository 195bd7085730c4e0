//! Fronts with rules in simulated time under randomized faults: cuts, stalls, restarts with an
//! empty memory, drifting clocks, and two files proposed at once. Sent executions are recorded
//! independently of what the fronts report.

#[path = "common/faults.rs"]
mod faults;
#[path = "fleet/sim.rs"]
mod sim;

use sim::{Faults, Sim};

const RUNS: u64 = 20; // randomized runs of 60 s

#[test]
fn no_barred_execution_is_sent_once_a_version_is_reported_in_force() {
    let mut all = sim::Tallies::default();
    for seed in 0..RUNS {
        let mut sim = Sim::new(seed, Faults::default());
        sim.run(60_000_000);
        sim.end_faults();
        sim.run(10_000_000);
        let found = sim.find_barred_executions();
        assert_eq!(found, Vec::<String>::new(), "seed {seed}");
        all.add(&sim.tallies);
    }
    // Each kind of event must have happened.
    let least = RUNS;
    for (what, count) in [
        ("cuts", all.cuts),
        ("stalls", all.stalls),
        ("restarts", all.restarts),
        ("in force", all.in_force),
        ("changes lost to another", all.other_rejections),
        ("old files", all.versions_too_low),
        ("closed", all.rules_unknown),
        ("ended", all.revoked),
        ("denied", all.denied),
        ("limited", all.limited),
        ("roll backs", all.roll_backs),
        ("sent", all.sent),
    ] {
        assert!(count >= least, "{what}: {count}");
    }
    println!("{all:?}");
}

#[test]
fn customers_that_no_rule_can_apply_to_are_never_rejected() {
    for seed in 100..110 {
        let mut sim = Sim::new(seed, Faults::default());
        sim.run(30_000_000);
        assert_eq!(sim.tallies.unrestricted_rejections, 0, "seed {seed}");
        assert!(
            sim.tallies.unrestricted > 100 && sim.tallies.rules_unknown > 0,
            "seed {seed}: {:?}",
            sim.tallies
        );
    }
}

#[test]
fn the_check_detects_barred_executions_under_excessive_clock_drift() {
    let faults = Faults {
        excess_drift: -0.7,
        ..Faults::default()
    };
    let found = (0..10).map(|seed| {
        let mut sim = Sim::new(seed, faults);
        sim.run(60_000_000);
        sim.find_barred_executions().len()
    });
    assert!(found.sum::<usize>() > 0);
}

#[test]
fn fleet_hits_are_exact_under_cuts_stalls_and_restarts() {
    for seed in 0..20 {
        let mut sim = Sim::new(seed, Faults::default());
        sim.run(40_000_000);
        sim.end_faults();
        sim.has_no_traffic = true;
        sim.run(10_000_000);
        let (here, there) = (sim.fleet_count(0), sim.fleet_count(1));
        assert!(here.missing.is_empty(), "seed {seed}: {:?}", here.missing);
        assert_eq!(here.counts, there.counts, "seed {seed}");
        assert!(here.counts.values().sum::<u64>() > 50, "seed {seed}");
        for (hit, evaluated) in &sim.evaluated {
            let (count, confirmed) = (
                here.counts.get(hit).copied().unwrap_or(0),
                sim.confirmed.get(hit).copied().unwrap_or(0),
            );
            assert!(
                confirmed <= count && count <= *evaluated,
                "seed {seed}: {hit:?}: {confirmed} <= {count} <= {evaluated}"
            );
        }
        assert!(
            here.counts
                .keys()
                .all(|hit| sim.evaluated.contains_key(hit)),
            "seed {seed}"
        );
    }
}

#[test]
fn pages_of_earlier_incarnations_are_folded_once_wherever_a_restart_interrupts() {
    for seed in 0..16 {
        let mut sim = Sim::new(seed, Faults::none());
        let rules =
            "{ name: 'a', customer: 'acme', regions: ['eu'] }, { name: 'b', then: 'count' }";
        sim.propose_file(
            0,
            1,
            &format!("{{ version: 1, default: 'allow', rules: [{rules}] }}"),
        );
        sim.run(6_000_000);
        // Each incarnation is lost at another step of folding the one before it.
        for incarnation in 0..8 {
            sim.restart(0);
            sim.run(300_000 + (seed as i64 * 8 + incarnation) % 60 * 10_000);
        }
        sim.end_faults();
        sim.run(2_000_000);
        sim.has_no_traffic = true;
        sim.run(2_000_000);
        let (here, there) = (sim.fleet_count(0), sim.fleet_count(1));
        assert_eq!(
            (here.missing.len(), &here.counts),
            (0, &there.counts),
            "seed {seed}"
        );
        for (hit, evaluated) in &sim.evaluated {
            let count = here.counts.get(hit).copied().unwrap_or(0);
            let confirmed = sim.confirmed.get(hit).copied().unwrap_or(0);
            assert!(
                confirmed <= count && count <= *evaluated,
                "seed {seed}: {hit:?}: {confirmed} <= {count} <= {evaluated}"
            );
        }
        // Only one incarnation of each front has pages that are not folded.
        assert_eq!(sim.count_open_pages(), sim.len(), "seed {seed}");
    }
}

#[test]
fn merging_counts_is_commutative_and_idempotent() {
    use hallmux_access::{merge_counts, Hit, HitCounts};
    let hit = |n: u8| Hit {
        rule: n.to_string(),
        customer: "a".to_string(),
        region: "eu".to_string(),
    };
    let (one, later): (HitCounts, HitCounts) =
        ([(hit(1), 3)].into(), [(hit(1), 5), (hit(2), 1)].into());
    let merged = |order: &[&HitCounts]| {
        let mut into = HitCounts::new();
        order
            .iter()
            .for_each(|table| merge_counts(&mut into, table));
        into
    };
    assert_eq!(merged(&[&one, &later]), later);
    assert_eq!(merged(&[&later, &one, &later, &one]), later);
}

#[test]
fn a_roll_back_restores_a_kept_version_and_an_outdated_file_is_rejected() {
    let mut sim = Sim::new(7, Faults::none());
    sim.propose_file(
        0,
        1,
        "{ version: 1, default: 'allow', rules: [{ name: 'a', customer: 'acme', regions: ['eu'] }] }",
    );
    sim.run(8_000_000);
    sim.propose_file(
        0,
        2,
        "{ version: 2, default: 'allow', rules: [{ name: 'b', customer: 'acme', regions: ['us'] }] }",
    );
    sim.run(8_000_000);
    sim.propose_file(
        1,
        1,
        "{ version: 1, default: 'allow', rules: [{ name: 'a', customer: 'acme', regions: ['eu'] }] }",
    );
    sim.run(2_000_000);
    let events = sim
        .events
        .iter()
        .map(|(_, _, event)| format!("{event:?}"))
        .collect::<Vec<_>>();
    assert!(
        events
            .iter()
            .any(|s| s.contains("VersionTooLow") && s.contains("stated: 1, current: 2, next: 3")),
        "{events:#?}"
    );
    sim.propose_file(2, 3, "{ version: 3, roll_back_to: 1 }");
    sim.run(8_000_000);
    assert_eq!(sim.versions(), vec![(3, true); sim.len()]);
    assert_eq!(sim.allows(0, "acme"), Some(vec![0]));
    sim.propose_file(2, 4, "{ version: 4, roll_back_to: 77 }");
    sim.run(2_000_000);
    let last = sim
        .events
        .iter()
        .rev()
        .find_map(|(_, _, event)| match event {
            hallmux_access::Event::ChangeRejected(why) => Some(why.to_string()),
            _ => None,
        });
    let expected = "rules.json5: `roll_back_to` names version 77, which is not among the last ones kept (2, 1); name one of them";
    assert_eq!(last.as_deref(), Some(expected));
}

#[test]
fn a_roll_back_to_any_kept_version_takes_effect_though_a_front_is_cut_off() {
    let locations = ["eu", "us", "ap"];
    let regions =
        |version: usize| -> Vec<u16> { (0..3).filter(|at| version >> at & 1 == 1).collect() };
    let text = |version: usize| {
        let named: Vec<String> = regions(version)
            .iter()
            .map(|at| format!("'{}'", locations[*at as usize]))
            .collect();
        let rule = format!(
            "{{ name: 'a', customer: 'acme', regions: [{}] }}",
            named.join(", ")
        );
        format!("{{ version: {version}, default: 'allow', rules: [{rule}] }}")
    };
    // Eight earlier versions are kept. Version 8 would have no regions and is left out.
    let versions = [1, 2, 3, 4, 5, 6, 7, 9, 10];
    for to in &versions[..8] {
        let mut sim = Sim::new(*to as u64, Faults::none());
        for version in versions {
            sim.propose_file(version % 4, version as u64, &text(version));
            sim.run(4_500_000);
        }
        assert_eq!(sim.versions(), vec![(10, true); sim.len()]);
        sim.cut(4, 11_000_000);
        sim.propose_file(2, 11, &format!("{{ version: 11, roll_back_to: {to} }}"));
        sim.run(10_000_000);
        let now = sim.versions();
        assert_eq!(
            (&now[..4], now[4].1),
            (&[(11, true); 4][..], false),
            "to {to}"
        );
        assert_eq!(sim.allows(0, "acme"), Some(regions(*to)), "to {to}");
        assert!(
            sim.time_to_take_effect(11)
                .is_some_and(|time| time < 4_000_000),
            "to {to}: {:?}",
            sim.time_to_take_effect(11)
        );
        sim.run(4_000_000);
        assert_eq!(sim.versions(), vec![(11, true); sim.len()], "to {to}");
        assert_eq!(sim.allows(4, "acme"), Some(regions(*to)), "to {to}");
        assert_eq!(
            sim.find_barred_executions(),
            Vec::<String>::new(),
            "to {to}"
        );
    }
}

#[test]
fn a_looser_version_takes_effect_at_once_and_a_tighter_one_after_the_leases() {
    let mut sim = Sim::new(9, Faults::none());
    let rules = |version, regions| {
        format!("{{ version: {version}, default: 'allow', rules: [{{ name: 'a', customer: 'acme', regions: [{regions}] }}] }}")
    };
    sim.propose_file(0, 1, &rules(1, "'eu'"));
    sim.run(8_000_000);
    sim.propose_file(0, 2, &rules(2, "'eu', 'us'"));
    sim.run(1_000_000);
    sim.propose_file(0, 3, &rules(3, "'us'"));
    sim.run(8_000_000);
    let time_to_take_effect = |version| sim.time_to_take_effect(version).unwrap_or(i64::MAX);
    // A lease of 3 s, clocks that drift by 1 %, and 200 ms in flight.
    assert!(
        (3_200_000..3_600_000).contains(&time_to_take_effect(1)),
        "{}",
        time_to_take_effect(1)
    );
    assert!(
        time_to_take_effect(2) < 300_000,
        "{}",
        time_to_take_effect(2)
    );
    assert!(
        (3_200_000..3_600_000).contains(&time_to_take_effect(3)),
        "{}",
        time_to_take_effect(3)
    );
}
