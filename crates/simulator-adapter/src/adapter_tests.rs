//! Unit tests of the `adapter` module.

use super::Adapter;

const START: &str = r#"ATTACH who=3 randomSeed=7 options={"instances": 1, "rules": {}, "kinds": ["a"],
 "requestClasses": [{"aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable", "worth": 1}],
 "extra": {"sizeCores": [8], "memoryByKindMb": [16384]}}"#;

fn run_lines(lines: &[&str]) -> (Vec<String>, String) {
    let mut adapter = Adapter::default();
    let start = START.replace('\n', "");
    let mut all_lines = vec!["BEGIN_BATCH clockMs=5.25", &start];
    all_lines.extend(lines);
    let errors = all_lines
        .iter()
        .filter_map(|line| adapter.handle_line(line).err())
        .map(|error| error.to_string())
        .collect();
    (errors, adapter.take_reply())
}

const FLEET: [&str; 3] = [
    "LEDGER ref=0 entries=1",
    "ENTRY engine=e1 campus=0 classOfHost=0 group=0 mode=Ready weight=1",
    "FLEET who=3 form=cached version=1 ref=0",
];

#[test]
fn a_statement_is_sent_under_its_protocol_number() {
    let mut lines = FLEET.to_vec();
    lines.extend([
        "JOB_IN who=3 req=1564119492 cls=0 expiresInMs=240.0 later=1",
        "EOF_BATCH",
    ]);
    let (errors, reply) = run_lines(&lines);
    assert!(errors.is_empty(), "{errors:?}");
    assert!(
        reply.contains("CALL_OUT who=3 req=1564119492 engine=e1"),
        "{reply}"
    );
    assert!(reply.ends_with("FINISHED\n"));
}

#[test]
fn lines_for_unknown_statements_are_ignored() {
    let ended = [
        "GONE who=3 req=9",
        "RETURNED who=3 req=9 seqNo=0 engine=e1 status=pass delaySeenMs=1 settled=1",
    ];
    let (errors, reply) =
        run_lines(&[&FLEET[..], &ended, &["RING who=3 ref=old", "EOF_BATCH"]].concat());
    assert!(errors.is_empty(), "{errors:?}");
    assert!(!reply.contains("req=9"), "{reply}");
}

#[test]
fn an_execution_end_from_the_wrong_engine_is_ignored() {
    let job = [
        "JOB_IN who=3 req=9 cls=0 expiresInMs=240.0 later=1",
        "EOF_BATCH",
        "BEGIN_BATCH clockMs=9",
    ];
    let ended = |engine: &str| {
        format!("RETURNED who=3 req=9 seqNo=0 engine={engine} status=pass delaySeenMs=1 settled=1")
    };
    let (wrong_engine, right_engine) = (ended("e2"), ended("e1"));
    let (errors, reply) = run_lines(&[&FLEET[..], &job, &[&wrong_engine, "EOF_BATCH"]].concat());
    assert!(errors.is_empty(), "{errors:?}");
    assert!(reply.contains("CALL_OUT who=3 req=9 engine=e1"), "{reply}");
    // The execution stays in flight, and its end at the right engine is accepted later.
    let batch = |n: usize| {
        [
            format!("BEGIN_BATCH clockMs={}", 20 + n * 200),
            "RING who=3 ref=wake".to_string(),
        ]
    };
    let later: Vec<String> = (1..60).flat_map(batch).collect();
    let mut lines = [&FLEET[..], &job, &[wrong_engine.as_str(), "EOF_BATCH"]].concat();
    for batch in later.chunks(2) {
        lines.extend([batch[0].as_str(), batch[1].as_str(), "EOF_BATCH"]);
    }
    lines.extend([
        "BEGIN_BATCH clockMs=30000",
        right_engine.as_str(),
        "EOF_BATCH",
    ]);
    let (errors, _) = run_lines(&lines);
    assert!(errors.is_empty(), "{errors:?}");
}

#[test]
fn bad_lines_are_reported_and_do_not_stop_the_adapter() {
    for (line, expected) in [
        ("HELLO who=3", "unknown message 'HELLO'"),
        ("RING who=4 ref=x", "the instance was not started"),
        ("JOB_IN who=3 req=1 cls=0", "field 'expiresInMs' is missing"),
        ("JOB_IN who=3 req=1 cls=7 expiresInMs=5", "no workload 7"),
        (
            "JOB_IN who=3 req=x cls=0 expiresInMs=5",
            "field 'req' cannot be read: 'x'",
        ),
        (
            "JOB_IN who=3 req=1 cls=0 expiresInMs=nan",
            "field 'expiresInMs' is no number",
        ),
        (
            "FLEET who=3 form=odd version=1 ref=0",
            "form: unknown word 'odd'",
        ),
        (
            "FLEET who=3 form=full version=1 ref=9",
            "list 9 was never sent",
        ),
        ("ATTACH who=5 randomSeed=1 options={", "options: "),
    ] {
        let (errors, reply) = run_lines(&[line, "EOF_BATCH"]);
        assert_eq!(errors.len(), 1, "{line}");
        assert!(errors[0].contains(expected), "{line}: {errors:?}");
        assert!(reply.ends_with("FINISHED\n"));
    }
}

#[test]
fn a_reused_list_number_refers_to_the_latest_list() {
    let again = [
        "LEDGER ref=0 entries=1",
        "ENTRY engine=e2 campus=0 classOfHost=0 group=0 mode=Ready weight=1",
        "FLEET who=3 form=full version=2 ref=0",
        "JOB_IN who=3 req=5 cls=0 expiresInMs=4000",
        "EOF_BATCH",
    ];
    let (_, reply) = run_lines(&[&FLEET[..], &again].concat());
    assert!(reply.contains("CALL_OUT who=3 req=5 engine=e2"), "{reply}");
}
