//! Unit tests of the `sql` module.

use super::*;

fn set(name: &str, statement: &str) -> Change {
    Change::Set {
        name: name.into(),
        statement: statement.into(),
    }
}

/// The changes of settings in a scanned text, in order.
fn setting_changes(scan: &Scan) -> Vec<Change> {
    let of_setting = |effect: &StatementEffect| match &effect.effect {
        SessionEffect::Setting(change) => Some(change.clone()),
        _ => None,
    };
    scan.effects.iter().filter_map(of_setting).collect()
}

#[test]
fn setting_changes_are_found_with_a_statement_that_restores_them() {
    for (text, changes) in [
        (
            "SET search_path = a, b",
            vec![set("search_path", "SET search_path = a, b")],
        ),
        (
            "set session Work_Mem to '4MB';",
            vec![set("work_mem", "SET Work_Mem to '4MB'")],
        ),
        (
            "SET TIME ZONE 'UTC'",
            vec![set("timezone", "SET TIME ZONE 'UTC'")],
        ),
        (
            "SET NAMES 'UTF8'",
            vec![set("client_encoding", "SET NAMES 'UTF8'")],
        ),
        (
            "SET my.app = 'x;y'",
            vec![set("my.app", "SET my.app = 'x;y'")],
        ),
        ("SET LOCAL work_mem = 1", vec![]),
        ("SET TRANSACTION READ ONLY", vec![]),
        (
            "RESET work_mem; RESET ALL",
            vec![Change::Reset("work_mem".into()), Change::ResetAll],
        ),
        (
            "SET work_mem TO DEFAULT",
            vec![Change::Reset("work_mem".into())],
        ),
        ("select 'SET a = 1'; -- set b = 2\n/* set c = 3; */", vec![]),
    ] {
        assert_eq!(setting_changes(&scan(text.as_bytes())), changes, "{text}");
    }
}

#[test]
fn only_features_impossible_over_shared_connections_are_unsupported() {
    for (text, unsupported) in [
        ("COPY t FROM STDIN", true),
        ("copy t (a) from  stdin with csv", true),
        ("COPY t TO STDOUT", false),
        ("CREATE TEMP TABLE t (a int)", true),
        ("create local temporary table t as select 1", true),
        ("select 1 into temp t", true),
        ("create table temp (temp int)", false),
        ("declare c cursor with hold for select 1", true),
        ("declare c cursor for select 1", false),
        ("select pg_advisory_lock(1)", true),
        ("select PG_TRY_ADVISORY_LOCK_SHARED(1)", true),
        ("select pg_advisory_xact_lock(1)", false),
        ("select 'pg_advisory_lock(1)'", false),
        ("select $$ pg_advisory_lock(1) $$, $a$;listen x;$a$", false),
        ("select set_config('a', 'b', false)", true),
        ("select set_config('a', 'b', true)", false),
        ("LISTEN x", true),
        ("NOTIFY x", false),
        ("PREPARE a AS select 1", true),
        ("execute a", true),
        ("DEALLOCATE a", true),
        ("DEALLOCATE ALL", false),
        ("DISCARD ALL", false),
        ("DISCARD TEMP", true),
        ("select 1; DISCARD ALL", true),
        ("DISCARD ALL; select 1", true),
        ("SET ROLE x", true),
        ("SET SESSION AUTHORIZATION x", true),
        ("SET standard_conforming_strings = off", true),
        ("SET standard_conforming_strings = on", false),
        ("PREPARE TRANSACTION 'x'", true),
        ("select $1, $2", false),
        ("select e'it\\'s; listen x'", false),
    ] {
        assert_eq!(
            scan(text.as_bytes()).unsupported.is_some(),
            unsupported,
            "{text}"
        );
    }
}

#[test]
fn transactions_are_recognised_by_their_first_words() {
    let scanned = |text: &str| {
        let scan = scan(text.as_bytes());
        (
            scan.statements,
            scan.begins_transaction,
            scan.commits_transaction,
            scan.rolls_back_transaction,
        )
    };
    assert_eq!(scanned("BEGIN"), (1, true, false, false));
    assert_eq!(
        scanned("start transaction; select 1; end;"),
        (3, true, true, false)
    );
    assert_eq!(scanned("ROLLBACK TO SAVEPOINT a"), (1, false, false, false));
    assert_eq!(scanned("/* c */ rollback;;"), (1, false, false, true));
    assert_eq!(
        scanned("select case when true then 1 end"),
        (1, false, false, false)
    );
    assert_eq!(scanned(""), (0, false, false, false));
}

#[test]
fn savepoints_are_named_as_engines_compare_them() {
    use SessionEffect::{ReleaseSavepoint, RollbackToSavepoint, Savepoint};
    let long = "a".repeat(70);
    for (text, effect) in [
        ("SAVEPOINT One".to_string(), Savepoint("one".into())),
        ("savepoint \"O\"\"ne\"".into(), Savepoint("O\"ne".into())),
        ("rollback to one".into(), RollbackToSavepoint("one".into())),
        (
            "ROLLBACK /* c */ WORK TO SAVEPOINT \"One\"".into(),
            RollbackToSavepoint("One".into()),
        ),
        (
            "ABORT TRANSACTION TO one".into(),
            RollbackToSavepoint("one".into()),
        ),
        ("RELEASE one".into(), ReleaseSavepoint("one".into())),
        (
            "release savepoint one".into(),
            ReleaseSavepoint("one".into()),
        ),
        (
            "release savepoint".into(),
            ReleaseSavepoint("savepoint".into()),
        ),
        (
            format!("SAVEPOINT {long}"),
            Savepoint(long[..63].to_string()),
        ),
        ("COMMIT".into(), SessionEffect::Commit),
        ("ROLLBACK AND CHAIN".into(), SessionEffect::Rollback),
    ] {
        let effects = scan(text.as_bytes()).effects;
        let expected = StatementEffect {
            statement: 1,
            effect,
        };
        assert_eq!(effects, [expected], "{text}");
    }
}

#[test]
fn statements_that_can_commit_by_themselves_are_told_from_others() {
    for text in ["commit", "END", "call p()", "do $$ $$", "select 1; vacuum"] {
        assert!(scan(text.as_bytes()).may_commit, "{text}");
    }
    for text in [
        "",
        "BEGIN",
        "insert into t values (1)",
        "(select 1)",
        "rollback",
    ] {
        assert!(!scan(text.as_bytes()).may_commit, "{text}");
    }
}

#[test]
fn labels_are_read_from_set_statements_and_leading_comments() {
    let local = |text: &str| scan(text.as_bytes()).local_command;
    assert_eq!(
        local("SET hallmux.workload = 'report'"),
        Some(LocalCommand::Label("workload".into(), "report".into()))
    );
    assert_eq!(
        local("set \"hallmux\".key to 'it''s'"),
        Some(LocalCommand::Label("key".into(), "it's".into()))
    );
    assert_eq!(
        local("RESET hallmux.key"),
        Some(LocalCommand::Label("key".into(), String::new()))
    );
    assert_eq!(local("SET hallmux.key = 'a'; select 1"), None);
    let label = scan(b"/*a='b'*/ /*hallmux.workload='re%20port',hallmux.key='k'*/ select 1").label;
    assert_eq!(
        (label.workload.as_deref(), label.order_key.as_deref()),
        (Some("re port"), Some("k"))
    );
    assert_eq!(
        scan(b"select 1 /*hallmux.workload='x'*/").label,
        Label::default()
    );
    assert_eq!(scan(b"/*hallmux.workload='x'").label, Label::default());
}

#[test]
fn incomplete_and_arbitrary_texts_are_scanned_to_their_end() {
    for text in [
        "'",
        "\"",
        "$",
        "$$",
        "$a$",
        "e'\\",
        "/*",
        "--",
        "set",
        "set session",
        "reset",
        "set a",
        "\u{e9}$",
    ] {
        scan(text.as_bytes());
        scan(format!("set hallmux.{text}").as_bytes());
        scan(format!("select set_config{text}").as_bytes());
    }
    scan(&(0..=255).collect::<Vec<u8>>());
}

#[test]
fn durations_are_parsed_with_their_units() {
    for (text, micros) in [
        ("250", Some(250_000)),
        ("'5s'", Some(5_000_000)),
        ("1 min", Some(60_000_000)),
        ("x", None),
        ("1y", None),
    ] {
        assert_eq!(parse_duration_us(text), micros, "{text}");
    }
}
