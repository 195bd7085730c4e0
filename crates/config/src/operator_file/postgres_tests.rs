//! Unit tests of the `postgres` module.

use super::super::sections::tests::read;
use super::file::DEFAULT_PREPARED_STATEMENTS;

const GOOD: &str = "{
    // comments and bare keys
    postgres: {
        listen: '127.0.0.1:5432',
        engines: [
            { kinds: ['pg'] },
            { kinds: ['std'], port: 5433 },
        ],
        users: {
            portal: { trust: true, member: 'acme', workload: 'lookup' },
        },
        limits: { sessions: 10 },
    },
}";

#[test]
fn missing_limits_get_their_defaults() {
    let postgres = read(GOOD).unwrap().postgres.unwrap();
    assert_eq!(postgres.users["portal"].engine_user, "portal");
    assert_eq!(
        (
            postgres.limits.sessions,
            postgres.limits.prepared_statements
        ),
        (10, DEFAULT_PREPARED_STATEMENTS)
    );
    assert_eq!(postgres.engines[1].port, Some(5433));
    assert!(read("{}").unwrap().postgres.is_none());
}

#[test]
fn unknown_key_or_invalid_value_is_rejected_with_path_and_line() {
    for (from, to, expected) in [
        (
            "sessions: 10",
            "sesions: 10",
            "line 12: postgres.limits.sesions: unknown field",
        ),
        (
            "sessions: 10",
            "sessions: 0",
            "line 12: postgres.limits.sessions: is under 1",
        ),
        (
            "sessions: 10",
            "sessions: 'x'",
            "line 12: postgres.limits.sessions: ",
        ),
        (
            "port: 5433",
            "port: 70000",
            "line 7: postgres.engines[1].port: ",
        ),
        (
            "['pg']",
            "['pq']",
            "line 6: postgres.engines[0].kinds[0]: 'pq' is not among",
        ),
        (
            "member: 'acme'",
            "member: 'acne'",
            "line 10: postgres.users.portal.member: 'acne'",
        ),
        (
            "workload: 'lookup'",
            "workload: 'x'",
            "line 10: postgres.users.portal.workload: 'x'",
        ),
        (
            "trust: true, ",
            "",
            "line 10: postgres.users.portal: needs 'verifier'",
        ),
        (
            "trust: true",
            "verifier: 'md5'",
            "line 10: postgres.users.portal.verifier: is not of",
        ),
        ("'127.0.0.1:5432'", "'here'", "line 4: postgres.listen: "),
        (
            "limits:",
            "limit:",
            "line 12: postgres.limit: unknown field",
        ),
    ] {
        let text = GOOD.replace(from, to);
        let error = read(&text).unwrap_err();
        assert!(error.starts_with(expected), "{to}: {error}");
    }
    assert!(read("{ postgres: ").unwrap_err().contains("line 1"));
    assert!(read("{} x").is_err());
}
