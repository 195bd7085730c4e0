//! Tests of the reasons for shedding a held statement.

use crate::interface::RejectReason;
use crate::policy::deadlines::StatementTiming;

use super::ShedRequest;

const SECOND: i64 = 1_000_000;

/// A statement with an SLO time of 1 s, a deadline of 5 s and an expected run time of 0.2 s. Its
/// last timely start is at 0.6 s, its latest start at 4.8 s.
fn held() -> ShedRequest {
    ShedRequest {
        timing: StatementTiming {
            first_arrival: 0,
            deadline: 5 * SECOND,
            slo: SECOND,
            expected_run: 200_000.0,
            few_running: false,
        },
        late_value_share: 0.5,
        shares_order_key: false,
        sticky_engine_closed: false,
        has_safe_engine: true,
    }
}

#[test]
fn a_late_statement_is_shed_if_a_late_answer_has_little_value() {
    let worthless = ShedRequest {
        late_value_share: 0.0,
        ..held()
    };
    assert_eq!(worthless.reason(600_000 - 1), None);
    assert_eq!(worthless.reason(600_000), Some(RejectReason::TooLate));
    assert_eq!(held().reason(600_000), None);
}

#[test]
fn a_late_statement_is_shed_if_its_order_key_is_shared() {
    let shared = ShedRequest {
        shares_order_key: true,
        ..held()
    };
    assert_eq!(shared.reason(600_000 - 1), None);
    let reason = Some(RejectReason::OrderKeyBlocked);
    assert_eq!(shared.reason(600_000), reason);
}

#[test]
fn a_statement_that_no_engine_may_run_is_shed_at_once() {
    let sticky = ShedRequest {
        sticky_engine_closed: true,
        ..held()
    };
    assert_eq!(sticky.reason(0), Some(RejectReason::StickyEngineClosed));
    let unsafe_repeat = ShedRequest {
        has_safe_engine: false,
        ..held()
    };
    assert_eq!(unsafe_repeat.reason(0), Some(RejectReason::NoSafeEngine));
}

#[test]
fn past_its_latest_start_a_statement_is_shed_if_timely_ones_wait() {
    let latest = 4_800_000;
    assert_eq!(held().reason_at_expiry(true, latest - 1), None);
    assert_eq!(held().reason_at_expiry(false, latest), None);
    let reason = Some(RejectReason::LatestStartPassed);
    assert_eq!(held().reason_at_expiry(true, latest), reason);
}

#[test]
fn a_statement_is_rejected_shortly_before_its_deadline() {
    let expires = 5 * SECOND - 40_000;
    assert_eq!(held().reason_at_expiry(false, expires - 1), None);
    let reason = Some(RejectReason::Expiring);
    assert_eq!(held().reason_at_expiry(false, expires), reason);
}

#[test]
fn while_few_statements_run_half_the_slo_time_may_be_spent_waiting() {
    let long = StatementTiming {
        expected_run: 3e6,
        ..held().timing
    };
    assert_eq!(long.last_timely_start(), SECOND - 6 * SECOND);
    let few = StatementTiming {
        few_running: true,
        ..long
    };
    assert_eq!(few.last_timely_start(), SECOND / 2);
}
