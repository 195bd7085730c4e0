//! Fronts with rules in simulated time, under drawn faults: cuts, stalls, restarts with an empty memory, clocks that
//! run apart, two files at once. What left and when is recorded apart from what fronts say of themselves.

#[path = "common/faults.rs"]
mod faults;
#[path = "fleet/sim.rs"]
mod sim;

use sim::{Faults, Sim};

const RUNS: u64 = 20; // drawn runs of 60 s

#[test]
fn nothing_that_is_barred_leaves_once_a_version_is_said_to_be_in_force() {
    let mut all = sim::Tallies::default();
    for seed in 0..RUNS {
        let mut sim = Sim::new(seed, Faults::default());
        sim.run(60_000_000);
        sim.heal();
        sim.run(10_000_000);
        let found = sim.barred();
        assert_eq!(found, Vec::<String>::new(), "seed {seed}");
        all.add(&sim.tallies);
    }
    // Played in fact.
    let least = RUNS;
    for (what, count) in [
        ("cuts", all.cuts),
        ("stalls", all.stalls),
        ("restarts", all.restarts),
        ("in force", all.in_force),
        ("changes lost to another", all.lost),
        ("old files", all.old),
        ("closed", all.closed),
        ("ended", all.ended),
        ("denied", all.denied),
        ("limited", all.limited),
        ("roll backs", all.rolls),
        ("sent", all.sent),
    ] {
        assert!(count >= least, "{what}: {count}");
    }
    println!("{all:?}");
}

#[test]
fn customers_that_no_rule_can_be_about_are_never_turned_away() {
    for seed in 100..110 {
        let mut sim = Sim::new(seed, Faults::default());
        sim.run(30_000_000);
        assert_eq!(sim.tallies.free_refused, 0, "seed {seed}");
        assert!(
            sim.tallies.free > 100 && sim.tallies.closed > 0,
            "seed {seed}: {:?}",
            sim.tallies
        );
    }
}

#[test]
fn a_clock_beyond_the_bound_lets_through_what_is_barred_and_the_check_sees_it() {
    let faults = Faults {
        clock: -0.7,
        ..Faults::default()
    };
    let found = (0..10).map(|seed| {
        let mut sim = Sim::new(seed, faults);
        sim.run(60_000_000);
        sim.barred().len()
    });
    assert!(found.sum::<usize>() > 0);
}

#[test]
fn hits_are_exact_over_the_fleet_however_fronts_come_and_go() {
    for seed in 0..20 {
        let mut sim = Sim::new(seed, Faults::default());
        sim.run(40_000_000);
        sim.heal();
        sim.quiet = true;
        sim.run(10_000_000);
        let (here, there) = (sim.fleet_count(0), sim.fleet_count(1));
        assert!(here.missing.is_empty(), "seed {seed}: {:?}", here.missing);
        assert_eq!(here.counts, there.counts, "seed {seed}");
        assert!(here.counts.values().sum::<u64>() > 50, "seed {seed}");
        for (hit, judged) in &sim.judged {
            let (count, acked) = (
                here.counts.get(hit).copied().unwrap_or(0),
                sim.acked.get(hit).copied().unwrap_or(0),
            );
            assert!(
                acked <= count && count <= *judged,
                "seed {seed}: {hit:?}: {acked} <= {count} <= {judged}"
            );
        }
        assert!(
            here.counts.keys().all(|hit| sim.judged.contains_key(hit)),
            "seed {seed}"
        );
    }
}

#[test]
fn pages_of_lives_that_are_over_are_folded_once_wherever_a_front_is_lost() {
    for seed in 0..16 {
        let mut sim = Sim::new(seed, Faults::none());
        let rules =
            "{ name: 'a', customer: 'acme', regions: ['eu'] }, { name: 'b', then: 'count' }";
        sim.offer_text(
            0,
            1,
            &format!("{{ version: 1, default: 'allow', rules: [{rules}] }}"),
        );
        sim.run(6_000_000);
        // Each life is lost at some step of taking in the one before.
        for life in 0..8 {
            sim.restart(0);
            sim.run(300_000 + (seed as i64 * 8 + life) % 60 * 10_000);
        }
        sim.heal();
        sim.run(2_000_000);
        sim.quiet = true;
        sim.run(2_000_000);
        let (here, there) = (sim.fleet_count(0), sim.fleet_count(1));
        assert_eq!(
            (here.missing.len(), &here.counts),
            (0, &there.counts),
            "seed {seed}"
        );
        for (hit, judged) in &sim.judged {
            let count = here.counts.get(hit).copied().unwrap_or(0);
            let acked = sim.acked.get(hit).copied().unwrap_or(0);
            assert!(
                acked <= count && count <= *judged,
                "seed {seed}: {hit:?}: {acked} <= {count} <= {judged}"
            );
        }
        // One life of each front has pages of its own.
        assert_eq!(sim.pages(), sim.len(), "seed {seed}");
    }
}

#[test]
fn tables_of_counts_merge_in_any_order_and_twice_without_harm() {
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
fn one_act_rolls_back_to_a_version_kept_and_an_old_file_cannot() {
    let mut sim = Sim::new(7, Faults::none());
    sim.offer_text(
        0,
        1,
        "{ version: 1, default: 'allow', rules: [{ name: 'a', customer: 'acme', regions: ['eu'] }] }",
    );
    sim.run(8_000_000);
    sim.offer_text(
        0,
        2,
        "{ version: 2, default: 'allow', rules: [{ name: 'b', customer: 'acme', regions: ['us'] }] }",
    );
    sim.run(8_000_000);
    sim.offer_text(
        1,
        1,
        "{ version: 1, default: 'allow', rules: [{ name: 'a', customer: 'acme', regions: ['eu'] }] }",
    );
    sim.run(2_000_000);
    let said = sim
        .events
        .iter()
        .map(|(_, _, said)| format!("{said:?}"))
        .collect::<Vec<_>>();
    assert!(
        said.iter()
            .any(|s| s.contains("VersionTooLow") && s.contains("stated: 1, current: 2, next: 3")),
        "{said:#?}"
    );
    sim.offer_text(2, 3, "{ version: 3, roll_back_to: 1 }");
    sim.run(8_000_000);
    assert_eq!(sim.versions(), vec![(3, true); sim.len()]);
    assert_eq!(sim.allows(0, "acme"), Some(vec![0]));
    sim.offer_text(2, 4, "{ version: 4, roll_back_to: 77 }");
    sim.run(2_000_000);
    let last = sim.events.iter().rev().find_map(|(_, _, said)| match said {
        hallmux_access::Event::ChangeRejected(why) => Some(why.to_string()),
        _ => None,
    });
    let says = "rules.json5: `roll_back_to` names version 77, which is not among the last ones kept (2, 1); name one of them";
    assert_eq!(last.as_deref(), Some(says));
}

#[test]
fn any_version_kept_is_in_force_again_with_one_act_though_a_front_is_cut_off() {
    let places = ["eu", "us", "ap"];
    let regions =
        |version: usize| -> Vec<u16> { (0..3).filter(|at| version >> at & 1 == 1).collect() };
    let text = |version: usize| {
        let named: Vec<String> = regions(version)
            .iter()
            .map(|at| format!("'{}'", places[*at as usize]))
            .collect();
        let rule = format!(
            "{{ name: 'a', customer: 'acme', regions: [{}] }}",
            named.join(", ")
        );
        format!("{{ version: {version}, default: 'allow', rules: [{rule}] }}")
    };
    // The last eight are kept behind the one that holds; version 8 has no regions, and is left out.
    let versions = [1, 2, 3, 4, 5, 6, 7, 9, 10];
    for to in &versions[..8] {
        let mut sim = Sim::new(*to as u64, Faults::none());
        for version in versions {
            sim.offer_text(version % 4, version as u64, &text(version));
            sim.run(4_500_000);
        }
        assert_eq!(sim.versions(), vec![(10, true); sim.len()]);
        sim.cut(4, 11_000_000);
        sim.offer_text(2, 11, &format!("{{ version: 11, roll_back_to: {to} }}"));
        sim.run(10_000_000);
        let now = sim.versions();
        assert_eq!(
            (&now[..4], now[4].1),
            (&[(11, true); 4][..], false),
            "to {to}"
        );
        assert_eq!(sim.allows(0, "acme"), Some(regions(*to)), "to {to}");
        assert!(
            sim.took(11).is_some_and(|took| took < 4_000_000),
            "to {to}: {:?}",
            sim.took(11)
        );
        sim.run(4_000_000);
        assert_eq!(sim.versions(), vec![(11, true); sim.len()], "to {to}");
        assert_eq!(sim.allows(4, "acme"), Some(regions(*to)), "to {to}");
        assert_eq!(sim.barred(), Vec::<String>::new(), "to {to}");
    }
}

#[test]
fn what_loosens_is_in_force_at_once_and_what_tightens_only_after_the_leases() {
    let mut sim = Sim::new(9, Faults::none());
    let rules = |version, regions| {
        format!("{{ version: {version}, default: 'allow', rules: [{{ name: 'a', customer: 'acme', regions: [{regions}] }}] }}")
    };
    sim.offer_text(0, 1, &rules(1, "'eu'"));
    sim.run(8_000_000);
    sim.offer_text(0, 2, &rules(2, "'eu', 'us'"));
    sim.run(1_000_000);
    sim.offer_text(0, 3, &rules(3, "'us'"));
    sim.run(8_000_000);
    let took = |version| sim.took(version).unwrap_or(i64::MAX);
    // A lease of 3 s, clocks 1 % apart, 200 ms on the way.
    assert!((3_200_000..3_600_000).contains(&took(1)), "{}", took(1));
    assert!(took(2) < 300_000, "{}", took(2));
    assert!((3_200_000..3_600_000).contains(&took(3)), "{}", took(3));
}
