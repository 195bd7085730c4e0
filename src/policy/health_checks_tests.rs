//! Tests of the selection of engines to probe.

use crate::interface::Agreement;

use super::{HealthChecks, MAX_EARNED_PROBES, MIN_PROBE_INTERVAL};

const START: i64 = 1_000_000;

fn checks(report_on_probe: bool) -> HealthChecks {
    let agreement = Agreement {
        report_on_probe,
        probes: true,
        ..Agreement::default()
    };
    let mut checks = HealthChecks::new(&agreement, 0.0, 0.0);
    checks.resize(3);
    checks
}

fn probed(checks: &mut HealthChecks, open: [bool; 3], now: i64) -> Vec<usize> {
    let mut engines = Vec::new();
    checks.probe_due(&open, f64::INFINITY, now, |engine| engines.push(engine));
    engines
}

#[test]
fn each_statement_earns_one_probe_and_engines_are_probed_in_rotation() {
    let mut checks = checks(true);
    assert_eq!(probed(&mut checks, [true; 3], START), []);
    checks.record_statement();
    assert_eq!(probed(&mut checks, [true; 3], START), [0]);
    checks.record_statement();
    checks.record_statement();
    assert_eq!(probed(&mut checks, [true; 3], START), [1, 2]);
}

#[test]
fn an_engine_is_probed_at_most_twice_a_second() {
    let mut checks = checks(true);
    for _ in 0..9 {
        checks.record_statement();
    }
    assert_eq!(probed(&mut checks, [true; 3], START), [0, 1, 2]);
    let soon = START + MIN_PROBE_INTERVAL - 1;
    assert_eq!(probed(&mut checks, [true; 3], soon), []);
    let later = START + MIN_PROBE_INTERVAL;
    assert_eq!(probed(&mut checks, [true; 3], later), [0, 1, 2]);
}

#[test]
fn earned_probes_are_capped() {
    let mut checks = checks(true);
    for _ in 0..100 {
        checks.record_statement();
    }
    let rounds = (0..9).map(|round| START + round * MIN_PROBE_INTERVAL);
    let sent: usize = rounds
        .map(|now| probed(&mut checks, [true; 3], now).len())
        .sum();
    assert_eq!(sent as f64, MAX_EARNED_PROBES);
}

#[test]
fn engines_that_are_not_open_are_skipped() {
    let mut checks = checks(true);
    checks.record_statement();
    assert_eq!(probed(&mut checks, [false, false, true], START), [2]);
}

#[test]
fn no_engine_is_probed_if_answers_carry_load_reports() {
    let mut checks = checks(false);
    checks.record_statement();
    assert_eq!(probed(&mut checks, [true; 3], START), []);
}
