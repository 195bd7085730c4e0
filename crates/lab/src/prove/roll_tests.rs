//! Unit tests of the `roll` module.

use super::*;

#[test]
fn a_tenth_of_the_fleet_restarts_at_a_time_within_one_zone_or_over_several() {
    let mut across_zones = false;
    for seed in 0..200 {
        let (scenario, plan) = draw(seed, false, false);
        let fronts = scenario.fleet.fronts;
        let mut all: Vec<usize> = plan.iter().flat_map(|step| step.fronts.clone()).collect();
        all.sort_unstable();
        assert_eq!(all, (0..fronts).collect::<Vec<_>>());
        assert!((6..=12).contains(&fronts));
        assert!(plan
            .iter()
            .all(|step| step.fronts.len() <= fronts.div_ceil(10)));
        across_zones |= plan
            .iter()
            .any(|step| step.fronts.iter().any(|n| n % 3 != step.fronts[0] % 3));
    }
    assert!(across_zones);
}

#[test]
fn a_mixed_fleet_moves_to_this_build_back_to_the_other_and_half_again() {
    let (scenario, plan) = draw(4, true, true);
    let mut other: Vec<bool> = (0..scenario.fleet.fronts)
        .map(starts_as_other_build)
        .collect();
    let mut counts = vec![other.iter().filter(|o| **o).count()];
    for step in &plan {
        step.fronts.iter().for_each(|n| other[*n] = step.other);
        counts.push(other.iter().filter(|o| **o).count());
    }
    assert_eq!((counts[0], counts.last().copied()), (3, Some(3)));
    assert!(counts.contains(&0) && counts.contains(&6) && plan.len() == 3 + 6 + 3);
}
