//! Unit tests of the `load_reports` module.

use super::*;

fn report(reporter: PeerId, version: u32, requested: u32) -> LoadReport {
    let offered = vec![OfferedLoad {
        workload: 1,
        requested,
        ..OfferedLoad::default()
    }];
    LoadReport {
        reporter,
        started_ms: 1,
        version,
        created_ms: 0,
        offered,
    }
}

fn signed() -> Signed {
    Signed {
        report: vec![0; 40],
        signature: vec![0; 64],
    }
}

fn requested(reports: &LoadReports, now: Micros) -> Vec<u32> {
    reports
        .current(now)
        .map(|offered| offered[0].requested)
        .collect()
}

#[test]
fn the_latest_reports_of_the_lowest_ids_are_kept_in_any_order() {
    let mut all: Vec<LoadReport> = (0..40)
        .flat_map(|n| [report(n, 1, 1), report(n, 2, 100 + n as u32)])
        .collect();
    for rotation in 0..5 {
        let mut reports = LoadReports::default();
        all.rotate_left(17 * rotation);
        for s in all.iter().chain(all.clone().iter()) {
            reports.merge(0, s.clone(), signed(), 0);
        }
        assert_eq!(
            requested(&reports, 1),
            (100..100 + MAX_REPORTERS as u32).collect::<Vec<_>>()
        );
    }
}

#[test]
fn an_expired_report_makes_room_for_another_reporter() {
    let mut reports = LoadReports::default();
    (0..MAX_REPORTERS as u64).for_each(|n| _ = reports.merge(0, report(n, 1, 1), signed(), 0));
    assert!(
        !reports.merge(0, report(99, 1, 7), signed(), 0),
        "others have lower ids"
    );
    reports.expire(EXPIRY);
    assert!(reports.merge(EXPIRY, report(99, 1, 7), signed(), 0));
    assert_eq!(requested(&reports, EXPIRY), [7]);
    assert!(
        !reports.merge(EXPIRY, report(98, 1, 7), signed(), EXPIRY),
        "older than the expiry"
    );
}

#[test]
fn bytes_loads_and_sends_are_bounded() {
    let mut reports = LoadReports::default();
    let mut long = report(1, 1, 1);
    long.offered = vec![OfferedLoad::default(); MAX_LOADS + 1];
    assert!(!reports.merge(0, long, signed(), 0));
    (0..8).for_each(|n| _ = reports.merge(0, report(n, 1, 1), signed(), 0));
    assert_eq!(reports.pick_to_send(1, 230).len(), 2);
    let remaining: usize = (0..99).map(|_| reports.pick_to_send(1, 1_000).len()).sum();
    assert_eq!(remaining + 2, 8 * MAX_SENDS as usize);
}
