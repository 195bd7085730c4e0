//! Unit tests of the `least` module.

use super::*;
use crate::prove::promises::{draw, Way};
use crate::rig::scenario::What;

#[test]
fn only_the_faults_that_a_failure_needs_are_left() {
    let way = Way {
        small: false,
        simulated: true,
        fronts: Some(5),
        copies: 3,
        ..Way::default()
    };
    let day = draw(4, way);
    let has = |s: &Scenario, what| s.faults.iter().any(|f| f.what == what);
    let needs = |s: &Scenario| has(s, What::Stall) && has(s, What::PostLossy);
    let (least, plays) = smallest(&day, Duration::from_secs(10), needs);
    assert_eq!(least.faults.len(), 2);
    assert!(
        needs(&least) && least.seconds <= day.seconds && plays < 40,
        "{plays}"
    );
    let (none, _) = smallest(&day, Duration::from_secs(10), |_| true);
    assert!(none.faults.is_empty());
}
