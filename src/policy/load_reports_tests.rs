//! Tests of the estimated load of peers.

use crate::interface::ReportLayout;
use crate::load::Load;
use crate::policy::concurrency_limit::LimitScope;

use super::{LoadReports, ReportedEngine, FRESH_REPORT_AGE};

const NOW: i64 = 100_000_000;

fn load(threads: f64, memory: f64) -> Load {
    Load { threads, memory }
}

/// A state with reports of active statements and granted memory. Limits are pooled, so each report
/// replaces the estimate.
fn reports() -> LoadReports {
    let layout = ReportLayout {
        active: Some(0),
        memory_granted: Some(1),
        ..ReportLayout::default()
    };
    let mut reports = LoadReports::new(layout, LimitScope::Pooled, 1);
    reports.resize(1);
    reports
}

fn engine(local_load: Load, in_flight: usize) -> ReportedEngine {
    ReportedEngine {
        engine: 0,
        kind: Some(0),
        size: load(8.0, 1000.0),
        local_load,
        in_flight,
    }
}

#[test]
fn reported_load_beyond_this_fronts_is_peer_load() {
    let mut reports = reports();
    let local_load = load(2.0, 100.0);
    let typical = load(2.0, 50.0);
    reports.record(&engine(local_load, 1), &vec![4.0, 0.5], typical, NOW);
    let peer_load = reports.peer_load(0, local_load, 10.0);
    assert_eq!((peer_load.threads, peer_load.memory), (6.0, 400.0));
}

#[test]
fn peers_are_assumed_to_add_as_much_load_as_this_front() {
    let mut reports = reports();
    let local_load = load(2.0, 100.0);
    let typical = load(2.0, 50.0);
    reports.record(&engine(local_load, 1), &vec![4.0, 0.5], typical, NOW);
    let peer_load = reports.peer_load(0, load(3.0, 100.0), 10.0);
    assert_eq!(peer_load.threads, 6.0 + 9.0);
}

#[test]
fn an_engine_assumed_full_stays_full_until_its_next_report() {
    let mut reports = reports();
    reports.assume_full(0, 24.0);
    let nothing = Load::default();
    let held = |reports: &LoadReports| reports.peer_load(0, nothing, 1.0).threads;
    assert_eq!(held(&reports), 24.0);
    reports.record(&engine(nothing, 0), &vec![0.0, 0.0], nothing, NOW);
    assert_eq!(held(&reports), 0.0);
}

#[test]
fn a_report_is_fresh_for_a_second() {
    let mut reports = reports();
    let nothing = Load::default();
    reports.record(&engine(nothing, 0), &vec![0.0, 0.0], nothing, NOW);
    assert!(reports.is_fresh(0, NOW + FRESH_REPORT_AGE));
    assert!(!reports.is_fresh(0, NOW + FRESH_REPORT_AGE + 1));
}

#[test]
fn among_many_fronts_old_peer_load_drifts_to_the_typical_load() {
    let mut reports = reports();
    let nothing = Load::default();
    let typical = load(1.0, 0.0);
    reports.record(&engine(nothing, 0), &vec![8.0, 0.0], typical, NOW);
    let held = |reports: &LoadReports| reports.peer_load(0, nothing, 1.0).threads;
    // The typical load was learned from one report with weight 0.05: 0.05 threads per core.
    for _ in 0..35 {
        reports.decay(|_| (Some(0), 8.0));
    }
    let half = held(&reports);
    assert!((3.5..4.5).contains(&half), "half is gone in 3.5 s: {half}");
}
