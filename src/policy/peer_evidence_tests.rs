//! Tests of peer reports and zone evacuation.

use crate::interface::PeerReport;

use super::{PeerEvidence, ReportContext, ReportOutcome, ZoneOutcome, PEER_REPORT_LIFETIME};

const NOW: i64 = 100_000_000;

fn context(now: i64) -> ReportContext {
    ReportContext {
        longest_mean_run: 0.0,
        healthy_since: 0,
        now,
    }
}

fn report(reporter: usize, engine: usize, failed: f64, answered: f64) -> PeerReport {
    PeerReport {
        reporter,
        engine,
        failed,
        answered,
        silent: 0,
        age: 0,
    }
}

/// Records a report; engines 0 to 2 form one zone.
fn record(evidence: &mut PeerEvidence, report: PeerReport) -> ReportOutcome {
    evidence.record(&report, &context(NOW), || vec![0, 1, 2])
}

#[test]
fn any_number_of_reporters_leaves_half_of_the_limit() {
    let mut evidence = PeerEvidence::new(0);
    record(&mut evidence, report(1, 0, 1e9, 0.0));
    let after_one = evidence.limit_share(0, NOW);
    assert!((0.75..1.0).contains(&after_one), "{after_one}");
    for reporter in 2..50 {
        record(&mut evidence, report(reporter, 0, 1e9, 0.0));
    }
    assert_eq!(evidence.limit_share(0, NOW), 0.5);
    assert_eq!(evidence.limit_share(1, NOW), 1.0);
}

#[test]
fn a_report_loses_weight_with_age_and_expires() {
    let mut evidence = PeerEvidence::new(0);
    record(&mut evidence, report(1, 0, 1e9, 0.0));
    let fresh = evidence.limit_share(0, NOW);
    let older = evidence.limit_share(0, NOW + PEER_REPORT_LIFETIME / 2);
    assert!(older > fresh);
    assert_eq!(evidence.limit_share(0, NOW + PEER_REPORT_LIFETIME), 1.0);
}

#[test]
fn a_refuted_reporter_loses_weight() {
    let mut evidence = PeerEvidence::new(0);
    record(&mut evidence, report(1, 0, 1e9, 0.0));
    let before = evidence.limit_share(0, NOW);
    evidence.refute_reports(0);
    assert!(evidence.limit_share(0, NOW) > before);
}

#[test]
fn a_quorum_against_most_of_a_zone_evacuates_it() {
    let mut evidence = PeerEvidence::new(2);
    let zone = || [0, 1, 2].into_iter();
    record(&mut evidence, report(1, 0, 1e9, 0.0));
    record(&mut evidence, report(1, 1, 1e9, 0.0));
    assert!(!evidence.is_evacuated(zone()), "one reporter is no quorum");
    record(&mut evidence, report(2, 1, 1e9, 0.0));
    assert!(evidence.is_evacuated(zone()));
    assert!(evidence.is_suspect(0) && !evidence.is_suspect(2));
}

#[test]
fn without_a_quorum_no_zone_is_evacuated() {
    let mut evidence = PeerEvidence::new(0);
    for engine in 0..3 {
        record(&mut evidence, report(1, engine, 1e9, 0.0));
    }
    assert!(!evidence.has_evacuated());
}

#[test]
fn a_zone_reopens_once_half_of_it_is_healthy() {
    let mut evidence = PeerEvidence::new(2);
    for engine in 0..3 {
        for reporter in 1..3 {
            record(&mut evidence, report(reporter, engine, 1e9, 0.0));
        }
    }
    let zone = [0, 1, 2];
    assert_eq!(evidence.mark_healthy(0, &zone), ZoneOutcome::Unchanged);
    assert_eq!(evidence.mark_healthy(1, &zone), ZoneOutcome::Reopened);
    assert!(!evidence.has_evacuated() && !evidence.has_adverse());
}

#[test]
fn a_quorum_finds_a_suspect_healthy() {
    let mut evidence = PeerEvidence::new(2);
    for engine in 0..3 {
        for reporter in 1..3 {
            record(&mut evidence, report(reporter, engine, 1e9, 0.0));
        }
    }
    let healthy = |reporter| report(reporter, 0, 0.0, 5.0);
    assert_eq!(record(&mut evidence, healthy(1)), ReportOutcome::Recorded);
    assert_eq!(record(&mut evidence, healthy(1)), ReportOutcome::Recorded);
    assert_eq!(
        record(&mut evidence, healthy(2)),
        ReportOutcome::FoundHealthy
    );
}

#[test]
fn a_report_from_before_an_engine_restart_is_ignored() {
    let mut evidence = PeerEvidence::new(0);
    let context = ReportContext {
        healthy_since: NOW + 1,
        ..context(NOW)
    };
    evidence.record(&report(1, 0, 1e9, 0.0), &context, Vec::new);
    assert!(!evidence.has_adverse());
}
