//! Tests of trust and ejection.

use crate::interface::Outcome;

use super::{Charge, Outliers, EJECTION_TIME};

fn one_engine() -> Outliers {
    let mut outliers = Outliers::default();
    outliers.resize(1);
    outliers
}

#[test]
fn a_new_engine_is_trusted_until_its_first_failure() {
    let mut outliers = one_engine();
    assert!(outliers.is_trusted(0));
    outliers.charge(0, Charge::Failed, 0);
    assert!(!outliers.is_trusted(0) && !outliers.is_ejected(0, 0));
    assert!(outliers.limit_share(0) < 1.0);
    outliers.record_answer(0);
    assert!(outliers.is_trusted(0));
}

#[test]
fn an_unreachable_engine_is_ejected_for_the_ejection_time() {
    let mut outliers = one_engine();
    outliers.charge(0, Charge::Unreachable, 5);
    assert!(outliers.is_ejected(0, 5 + EJECTION_TIME - 1));
    assert!(!outliers.is_ejected(0, 5 + EJECTION_TIME));
}

#[test]
fn two_consecutive_connection_failures_mark_an_engine_unreachable() {
    let mut outliers = one_engine();
    let first = outliers.record_attempt_end(0, Outcome::Unreachable, 0);
    assert_eq!(first.charge(Outcome::Unreachable), Charge::Failed);
    assert!(!first.may_have_restarted());
    let second = outliers.record_attempt_end(0, Outcome::Unreachable, 0);
    assert_eq!(second.charge(Outcome::Unreachable), Charge::Unreachable);
    assert!(second.may_have_restarted());
    // The first answer after the failures still reports a possible restart.
    let back = outliers.record_attempt_end(0, Outcome::Completed, 0);
    assert!(back.may_have_restarted());
    let next = outliers.record_attempt_end(0, Outcome::Completed, 0);
    assert!(!next.may_have_restarted());
}

#[test]
fn an_execution_that_was_not_sent_keeps_the_unreachable_streak() {
    let mut outliers = one_engine();
    outliers.record_attempt_end(0, Outcome::Unreachable, 0);
    outliers.record_attempt_end(0, Outcome::NotSent, 0);
    let again = outliers.record_attempt_end(0, Outcome::Unreachable, 0);
    assert!(again.may_have_restarted());
}

#[test]
fn a_reset_engine_is_trusted_like_a_new_one() {
    let mut outliers = one_engine();
    outliers.charge(0, Charge::Unreachable, 0);
    outliers.reset(0);
    assert!(outliers.is_trusted(0) && !outliers.is_ejected(0, 0));
}
