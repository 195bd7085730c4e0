//! Unit tests of the `holder` module.

use super::*;

const TERMS: Terms = Terms { length: 3_000_000, drift_ppm: 100_000 };

fn holder() -> Holder {
    Holder::new(Task::Zones, TERMS, vec![10, 20, 30], 1)
}

fn yours(number: u64, token: Token) -> Answer {
    Answer::Yours { number, token, progress: vec![7] }
}

#[test]
fn it_acts_from_when_it_asked_and_stops_before_the_length() {
    let mut h = holder();
    let (to, ask) = h.ask(0, true, &[]).unwrap();
    assert_eq!((to, ask.token), (10, None));
    assert_eq!(h.ask(100_000, true, &[]), None);
    h.answered(&yours(ask.number, 4));
    assert_eq!((h.token(2_699_999), h.token(2_700_000)), (Some(4), None));
    assert_eq!((h.inherited(), h.inherited()), (Some(vec![7]), None));
    // Kept under the same token.
    let (_, keep) = h.ask(2_000_000, true, &[9]).unwrap();
    assert_eq!((keep.token, keep.progress.as_slice()), (Some(4), &[9][..]));
    h.answered(&yours(keep.number, 4));
    assert_eq!((h.token(4_699_999), h.inherited()), (Some(4), None));
}

#[test]
fn answers_to_other_questions_say_nothing() {
    let mut h = holder();
    let (_, first) = h.ask(0, true, &[]).unwrap();
    let (to, second) = h.ask(PATIENCE, true, &[]).unwrap();
    assert_eq!(to, 20); // the first voter was silent
    h.answered(&yours(first.number, 4));
    assert_eq!(h.token(300_000), None);
    h.answered(&Answer::Elsewhere { number: second.number, leader: 30 });
    assert_eq!(h.ask(300_001, true, &[]).map(|(to, _)| to), Some(30));
}

#[test]
fn one_that_is_told_no_stops_at_once() {
    let mut h = holder();
    let (_, ask) = h.ask(0, true, &[]).unwrap();
    h.answered(&yours(ask.number, 4));
    let (_, keep) = h.ask(1_500_000, true, &[]).unwrap();
    h.answered(&Answer::NotYours { number: keep.number });
    assert_eq!(h.token(1_500_001), None);
}
