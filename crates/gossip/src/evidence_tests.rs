//! Unit tests of the `evidence` module.

use super::*;

fn report(reporter: PeerId, started_ms: u64, version: u32, failed: u8) -> Report {
    let statuses = vec![EngineStatus {
        engine: 1,
        failed,
        ..EngineStatus::default()
    }];
    Report {
        reporter,
        started_ms,
        version,
        created_ms: 0,
        statuses,
        ownership: OwnershipReport::default(),
    }
}

fn signed() -> Signed {
    Signed {
        report: vec![0; 40],
        signature: vec![0; 64],
    }
}

/// The reporter and failure count of each status held after merging reports in this order.
fn merged(order: &[Report]) -> Vec<(PeerId, u8)> {
    let mut evidence = Evidence::default();
    order
        .iter()
        .for_each(|r| _ = evidence.merge(0, r.clone(), signed(), 0));
    evidence
        .peer_reports(1, 99)
        .into_iter()
        .map(|n| (n.reporter, n.status.failed))
        .collect()
}

#[test]
fn merging_is_independent_of_order_repetition_and_loss_of_earlier_reports() {
    let all = [
        report(1, 5, 1, 1),
        report(1, 5, 2, 2),
        report(1, 6, 1, 3),
        report(2, 1, 9, 4),
    ];
    let expected = [(1, 3), (2, 4)];
    // Every order of the four reports, also with all of them repeated.
    let mut orders = vec![vec![]];
    for _ in 0..4 {
        orders = orders
            .into_iter()
            .flat_map(|order: Vec<usize>| {
                (0..4)
                    .filter(|n| !order.contains(n))
                    .map(|n| [order.clone(), vec![n]].concat())
                    .collect::<Vec<_>>()
            })
            .collect();
    }
    assert_eq!(orders.len(), 24);
    for order in orders {
        let mut reports: Vec<Report> = order.iter().map(|n| all[*n].clone()).collect();
        assert_eq!(merged(&reports), expected);
        reports.extend(reports.clone());
        assert_eq!(merged(&reports), expected);
        // Without the reports that precede the latest one of each reporter.
        let latest: Vec<Report> = reports
            .into_iter()
            .filter(|r| r.started_ms > 5 || r.reporter == 2)
            .collect();
        assert_eq!(merged(&latest), expected);
    }
}

#[test]
fn reports_not_renewed_expire_and_stay_expired() {
    let mut evidence = Evidence::default();
    assert!(evidence.merge(0, report(1, 1, 2, 1), signed(), 3_000_000));
    assert_eq!(evidence.peer_reports(EXPIRY - 3_000_001, 9).len(), 1);
    assert_eq!(evidence.peer_reports(EXPIRY - 3_000_000, 9).len(), 0);
    assert!(
        !evidence.merge(EXPIRY, report(1, 1, 1, 1), signed(), 0),
        "an earlier version"
    );
    assert!(
        !evidence.merge(EXPIRY, report(2, 1, 1, 1), signed(), EXPIRY),
        "older than the expiry"
    );
    evidence.expire(3 * EXPIRY);
    assert!(evidence.is_empty());
}

#[test]
fn a_single_report_on_an_engine_is_sent_before_many_on_another() {
    let mut evidence = Evidence::default();
    let signed = |reporter: u64| Signed {
        report: vec![reporter as u8; 40],
        signature: vec![0; 64],
    };
    for reporter in 0..100 {
        evidence.merge(
            reporter as Micros,
            report(reporter, 1, 1, 1),
            signed(reporter),
            0,
        );
    }
    let mut other = report(200, 1, 1, 1);
    other.statuses[0].engine = 2;
    // This report is the oldest and has the highest reporter id: by age and id it would be sent
    // last.
    evidence.merge(0, other, signed(200), 0);
    let mut reporters = Vec::new();
    for _ in 0..3 {
        reporters.extend(
            evidence
                .pick_to_send(1_000, 9, 216)
                .iter()
                .map(|signed| signed.report[0]),
        );
    }
    assert!(reporters[..2].contains(&200), "{reporters:?}");
    assert!(
        reporters
            .iter()
            .filter(|reporter| **reporter == 200)
            .count()
            >= 2,
        "{reporters:?}"
    );
}

#[test]
fn reporters_and_bytes_are_bounded() {
    let mut evidence = Evidence::default();
    for reporter in 0..10_000 {
        evidence.merge(reporter as Micros, report(reporter, 1, 1, 1), signed(), 0);
    }
    assert_eq!(evidence.len(), MAX_REPORTERS);
    assert_eq!(evidence.pick_to_send(10_000, 4, 400).len(), 3);
    let mut long = report(1, 1, 1, 1);
    long.statuses = vec![EngineStatus::default(); MAX_ENGINE_STATUSES + 1];
    assert!(!Evidence::default().merge(0, long, signed(), 0));
}
