//! Tests of a front's share of a fleet budget.

use super::budget_share;

#[test]
fn the_share_grows_with_the_demand_up_to_three_times_the_mean() {
    let share = |demand| budget_share(100.0, demand, 10.0);
    assert_eq!((share(0.0), share(1.0)), (2.0, 4.0));
    assert_eq!((share(3.0), share(9.0)), (8.0, 8.0));
    assert_eq!(share(f64::NAN), 2.0, "an unknown demand");
}

#[test]
fn the_sum_of_shares_stays_within_the_budget_for_any_reported_demand() {
    for demand in [0.0, 0.5, 1.0, 3.0, 1e9, f64::INFINITY] {
        let sum = 10.0 * budget_share(100.0, demand, 10.0);
        assert!(sum <= 100.0, "{demand}: {sum}");
    }
}
