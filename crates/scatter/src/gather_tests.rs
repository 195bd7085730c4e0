//! Unit tests of the `gather` module.

use super::*;

const RULES: GatherRules = GatherRules {
    limit: None,
    allow_partial: false,
    max_parallel_parts: 1,
    max_answer_bytes: 100,
    combine: None,
};

fn parts(rows: &[f64]) -> Vec<Part> {
    rows.iter()
        .enumerate()
        .map(|(n, rows)| {
            let (site, ask_reason) = (format!("s{n}"), crate::plan::Reason::Bounds);
            Part {
                site,
                rows: *rows,
                ruled_out: false,
                audit: false,
                reason: ask_reason,
            }
        })
        .collect()
}

fn rows(bytes: &[u8]) -> Action {
    Action::Answer(Answer::Rows {
        bytes: bytes.to_vec(),
        missing: vec![],
        barred: vec![],
    })
}

#[test]
fn rows_are_concatenated_in_site_order_and_answered_once() {
    let (mut gather, actions) = Gather::new(parts(&[1.0, 9.0]), vec![], RULES);
    assert_eq!(actions, [Action::Start(0), Action::Start(1)]);
    assert_eq!(gather.part_answered(1, b"b\n".to_vec()), []);
    assert_eq!(gather.part_answered(1, b"again\n".to_vec()), []);
    assert_eq!(gather.part_answered(0, b"a\n".to_vec()), [rows(b"a\nb\n")]);
    assert_eq!(gather.part_answered(0, b"a\n".to_vec()), []);
    assert_eq!(gather.part_failed(0, PartFailure::Aborted), []);
    assert_eq!(gather.skip_audits(), []);
}

#[test]
fn a_failed_part_fails_the_statement_and_ends_the_other_parts() {
    let (mut gather, _) = Gather::new(parts(&[1.0, 1.0, 1.0]), vec![], RULES);
    gather.part_answered(0, vec![]);
    let rejected = Answer::Rejected {
        retry_after: Some(5),
        site: "s1".into(),
    };
    let failed = PartFailure::Rejected {
        retry_after: Some(5),
    };
    assert_eq!(
        gather.part_failed(1, failed),
        [Action::End(2), Action::Answer(rejected)]
    );
    assert!(gather.is_done());
}

#[test]
fn a_partial_answer_names_the_missing_sites_if_the_customer_accepts_it() {
    let rules = GatherRules {
        allow_partial: true,
        ..RULES
    };
    let (mut gather, _) = Gather::new(parts(&[1.0, 1.0]), vec!["far".into()], rules);
    assert_eq!(gather.part_failed(0, PartFailure::Aborted), []);
    let answer = Answer::Rows {
        bytes: b"b\n".to_vec(),
        missing: vec!["s0".into()],
        barred: vec!["far".into()],
    };
    assert_eq!(
        gather.part_answered(1, b"b\n".to_vec()),
        [Action::Answer(answer)]
    );
    let (_, actions) = Gather::new(parts(&[1.0]), vec!["far".into()], RULES);
    assert_eq!(
        actions,
        [Action::Answer(Answer::Barred(vec!["far".into()]))]
    );
}

#[test]
fn a_limit_starts_the_largest_parts_first_and_ends_once_reached() {
    let rules = GatherRules {
        limit: Some(2),
        ..RULES
    };
    let (mut gather, actions) = Gather::new(parts(&[1.0, 9.0, 5.0]), vec![], rules.clone());
    assert_eq!(actions, [Action::Start(1)]);
    assert_eq!(gather.part_answered(1, b"b\n".to_vec()), [Action::Start(2)]);
    assert_eq!(
        gather.part_answered(2, b"c\nd\n".to_vec()),
        [rows(b"b\nc\n")]
    );
    // Two parts are in flight at a time: the other one is ended.
    let (mut gather, _) = Gather::new(
        parts(&[1.0, 9.0, 5.0]),
        vec![],
        GatherRules {
            max_parallel_parts: 2,
            ..rules.clone()
        },
    );
    assert_eq!(
        gather.part_answered(1, b"b\nx\n".to_vec()),
        [Action::End(2), rows(b"b\nx\n")]
    );
}

#[test]
fn no_parts_give_an_empty_answer_and_too_many_bytes_give_none() {
    let (_, actions) = Gather::new(vec![], vec![], RULES);
    assert_eq!(actions, [rows(b"")]);
    let (mut gather, _) = Gather::new(parts(&[1.0]), vec![], RULES);
    assert_eq!(
        gather.part_answered(0, vec![b'x'; 101]),
        [Action::Answer(Answer::TooLong)]
    );
}

#[test]
fn an_audit_never_fails_the_statement_and_can_be_skipped() {
    let two = || {
        let mut two = parts(&[1.0, 0.0]);
        two[1].audit = true;
        Gather::new(two, vec![], RULES).0
    };
    let mut gather = two();
    assert_eq!(gather.part_failed(1, PartFailure::Aborted), []);
    assert_eq!(gather.part_answered(0, b"a\n".to_vec()), [rows(b"a\n")]);
    let mut gather = two();
    assert!(!gather.only_audits_pending());
    assert_eq!(gather.part_answered(0, b"a\n".to_vec()), []);
    assert!(gather.only_audits_pending());
    assert_eq!(gather.skip_audits(), [Action::End(1), rows(b"a\n")]);
    // Rows that an audit returns in time are in the answer.
    let mut gather = two();
    gather.part_answered(1, b"b\n".to_vec());
    assert_eq!(gather.part_answered(0, b"a\n".to_vec()), [rows(b"a\nb\n")]);
}
