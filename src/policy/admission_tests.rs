//! Tests of admission.

use crate::interface::{Agreement, Demand, FleetDemand};
use crate::policy::test_support::workload;
use crate::random::Random;

use super::{Admission, AdmissionOutcome, CustomerShare};

fn agreement(customers: Vec<f64>) -> Agreement {
    Agreement {
        fronts: 1.0,
        customers,
        workloads: vec![workload(1.0), workload(1.0)],
        ..Agreement::default()
    }
}

fn demand(arrived: f64, ended: f64, timely: f64) -> Demand {
    Demand {
        arrived,
        ended,
        timely,
        work: 1e6,
    }
}

/// The number of admitted statements out of 1000.
fn admitted(admission: &Admission, workload: usize, sticky: bool) -> usize {
    let mut random = Random::new(1);
    let mut check = || admission.check(workload, CustomerShare::Within, sticky, &mut random);
    (0..1000)
        .filter(|_| check() == AdmissionOutcome::Admitted)
        .count()
}

/// An admission state with the given demand. The first workload has the higher penalty.
fn admission_with_demand(late_share: f64, workloads: Vec<Demand>) -> Admission {
    let mut admission = Admission::new(&agreement(vec![]));
    let fleet = FleetDemand {
        late_share,
        workloads,
        ..FleetDemand::default()
    };
    admission.update_demand(&fleet, |workload, _, _| -(workload as f64));
    admission
}

#[test]
fn all_statements_are_admitted_until_fleet_demand_is_known() {
    let admission = Admission::new(&agreement(vec![]));
    assert_eq!(admitted(&admission, 0, false), 1000);
}

#[test]
fn admitted_work_is_125_percent_of_answered_work_in_penalty_order() {
    // With 80 answered, 100 are admitted: all 60 of the first workload and 40 of the second's 80.
    let admission = admission_with_demand(
        0.0,
        vec![demand(60.0, 40.0, 40.0), demand(80.0, 40.0, 40.0)],
    );
    assert_eq!(admitted(&admission, 0, false), 1000);
    let second = admitted(&admission, 1, false);
    assert!((450..=550).contains(&second), "{second}");
    assert_eq!(
        admitted(&admission, 1, true),
        1000,
        "sticky statements are always admitted"
    );
}

#[test]
fn above_the_late_limit_only_timely_answers_count_as_answered_work() {
    let demands = vec![demand(60.0, 40.0, 0.0), demand(80.0, 40.0, 0.0)];
    let admission = admission_with_demand(0.16, demands);
    assert_eq!(admitted(&admission, 1, false), 0);
    // A twentieth of the arriving work is always admitted: 7 of the first workload's 60
    // statements.
    let first = admitted(&admission, 0, false);
    assert!((70..=165).contains(&first), "{first}");
}

#[test]
fn without_fleet_demand_each_front_limits_a_customer_to_its_local_share() {
    let mut admission = Admission::new(&agreement(vec![2.0]));
    let mut random = Random::new(1);
    let mut share = |now| admission.customer_share(0, 0, &mut random, now);
    assert_eq!(share(1), CustomerShare::Within);
    assert_eq!(share(1), CustomerShare::Within);
    assert_eq!(share(1), CustomerShare::Beyond);
    assert_eq!(share(500_001), CustomerShare::Within);
}

#[test]
fn fleet_demand_determines_the_fraction_beyond_a_customers_share() {
    let mut admission = Admission::new(&agreement(vec![10.0]));
    let fleet = FleetDemand {
        customers_per_s: vec![40.0],
        ..FleetDemand::default()
    };
    admission.update_demand(&fleet, |_, _, _| 0.0);
    let mut random = Random::new(1);
    let beyond = (0..1000)
        .filter(|_| admission.customer_share(0, 0, &mut random, 1) == CustomerShare::Beyond)
        .count();
    // Three quarters of the customer's 40 statements per second are beyond its share of 10.
    assert!((700..=800).contains(&beyond), "{beyond}");
}
