//! Unit tests of the `least` module.

use super::*;
use crate::prove::promises::{draw, RunOptions};
use crate::rig::scenario::FaultKind;

#[test]
fn minimizing_keeps_only_the_faults_that_the_failure_needs() {
    let way = RunOptions {
        small: false,
        simulated: true,
        fronts: Some(5),
        copies: 3,
        ..RunOptions::default()
    };
    let day = draw(4, way);
    let has = |s: &Scenario, what| s.faults.iter().any(|f| f.what == what);
    let needs = |s: &Scenario| has(s, FaultKind::Stall) && has(s, FaultKind::PostLossy);
    let (least, plays) = minimize(&day, Duration::from_secs(10), needs);
    assert_eq!(least.faults.len(), 2);
    assert!(
        needs(&least) && least.seconds <= day.seconds && plays < 40,
        "{plays}"
    );
    let (none, _) = minimize(&day, Duration::from_secs(10), |_| true);
    assert!(none.faults.is_empty());
}
