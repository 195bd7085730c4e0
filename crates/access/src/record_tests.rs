//! Unit tests of the `record` module.

use super::*;
use crate::{KnownNames, RuleSet};

#[test]
fn a_record_is_bounded_and_drops_old_statements() {
    let request = |n: usize| Request {
        customer: n.to_string(),
        workload: "w".to_string(),
        groups: None,
    };
    let mut record = Record::new(24_000_000);
    let index = Index::new(RuleSet::empty());
    let counts = |record: &mut Record, now: Micros| {
        let at = ClockReading {
            steady: now,
            wall_ms: 0,
        };
        let report = record.compare(at, "eu", &index, &index, &KnownNames::default());
        (report.statements, report.unrecorded, report.covered_time)
    };
    (0..MAX_KINDS + 10).for_each(|n| record.add(500_000, &request(n)));
    record.add(20_000_000, &request(0));
    assert_eq!(
        counts(&mut record, 20_000_000),
        (MAX_KINDS as u64 + 1, 10, 19_500_000)
    );
    assert_eq!(counts(&mut record, 24_100_000), (1, 0, 23_600_000));
    assert_eq!(record.counts_by_request.len(), 1);
    assert_eq!(counts(&mut record, 90_000_000), (0, 0, 24_000_000));
    let mut off = Record::new(0);
    off.add(1, &request(0));
    assert_eq!(counts(&mut off, 5), (0, 0, 0));
}
