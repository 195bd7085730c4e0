//! Unit tests of the `startup` module.

use super::*;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

fn startup_message(minor: u16, parameters: &[(&str, &str)]) -> Vec<u8> {
    let mut out = Vec::new();
    wire::write_startup(&mut out, parameters);
    out[6..8].copy_from_slice(&minor.to_be_bytes());
    out
}

fn no_such_user(_: &str) -> Option<Authentication> {
    None
}

fn trusted(_: &str) -> Option<Authentication> {
    Some(Authentication::Trust)
}

#[test]
fn encryption_is_declined_and_startup_is_read_in_any_pieces() {
    let mut input = b"\0\0\0\x08\x04\xd2\x16\x2f\0\0\0\x08\x04\xd2\x16\x30".to_vec();
    let options = "-c statement_timeout=5s --search-path=a\\ b";
    input.extend(startup_message(
        2,
        &[
            ("user", "u"),
            ("options", options),
            ("Application_Name", "x"),
        ],
    ));
    for cut in 0..input.len() {
        let (mut startup, mut out) = (Startup::default(), Vec::new());
        let (used, step) = startup
            .read(&input[..cut], trusted, b"", "n", &mut out)
            .unwrap();
        assert!(matches!(step, StartupStep::Incomplete));
        let (_, step) = startup
            .read(&input[used..], trusted, b"", "n", &mut out)
            .unwrap();
        let StartupStep::Accepted(client) = step else {
            panic!("not accepted")
        };
        assert_eq!((&*client.user, &*client.database), ("u", "u"));
        assert_eq!(client.parameters["statement_timeout"], "5s");
        assert_eq!(client.parameters["search_path"], "a b");
        assert_eq!(client.parameters["application_name"], "x");
        assert_eq!(&out[..3], b"NNv");
    }
}

#[test]
fn only_the_right_password_is_accepted() {
    let verifier = postgres_protocol::password::scram_sha_256(b"secret");
    let verifier = Verifier::parse(&verifier).unwrap();
    let known = |user: &str| (user == "u").then(|| Authentication::Scram(verifier.clone()));
    for (user, password, is_accepted) in [
        ("u", "secret", true),
        ("u", "x", false),
        ("v", "secret", false),
    ] {
        let mut client = ScramSha256::new(password.as_bytes(), ChannelBinding::unsupported());
        let (mut startup, mut out) = (Startup::default(), Vec::new());
        startup
            .read(
                &startup_message(0, &[("user", user)]),
                known,
                b"s",
                "n",
                &mut out,
            )
            .unwrap();
        let mut message = Vec::new();
        wire::write(&mut message, b'p', |out| {
            wire::write_string(out, MECHANISM.as_bytes());
            out.extend_from_slice(&(client.message().len() as u32).to_be_bytes());
            out.extend_from_slice(client.message());
        });
        out.clear();
        startup.read(&message, known, b"s", "n", &mut out).unwrap();
        client.update(&out[9..]).unwrap();
        message.clear();
        wire::write(&mut message, b'p', |out| {
            out.extend_from_slice(client.message())
        });
        out.clear();
        let (_, step) = startup.read(&message, known, b"s", "n", &mut out).unwrap();
        assert_eq!(
            matches!(step, StartupStep::Accepted(_)),
            is_accepted,
            "{user} {password}"
        );
        assert_eq!(out[0], if is_accepted { b'R' } else { b'E' });
    }
}

#[test]
fn invalid_startups_get_an_error_or_end_the_connection() {
    let mut out = Vec::new();
    let mut refused = |input: &[u8]| {
        out.clear();
        Startup::default()
            .read(input, no_such_user, b"", "n", &mut out)
            .map(|(_, step)| {
                assert!(matches!(step, StartupStep::Refused));
                let body = &out[out.iter().position(|c| *c == b'E').unwrap() + 5..];
                String::from_utf8_lossy(wire::field(body, b'C').unwrap()).to_string()
            })
    };
    assert_eq!(refused(&startup_message(0, &[])).unwrap(), "08P01");
    assert_eq!(
        refused(&startup_message(
            0,
            &[("user", "u"), ("replication", "database")]
        ))
        .unwrap(),
        "0A000"
    );
    assert_eq!(refused(b"\0\0\0\x08\0\x02\0\0").unwrap(), "0A000");
    let encryption_requests = b"\0\0\0\x08\x04\xd2\x16\x2f".repeat(3);
    assert!(refused(&encryption_requests).is_err());
    let mut early = startup_message(0, &[("user", "u")]);
    early.extend_from_slice(b"Q\0\0\0\x05\0");
    assert!(refused(&early).is_err());
    early.truncate(early.len() - 6);
    early.extend_from_slice(b"p\x7f\xff\xff\xff");
    assert!(refused(&early).is_err());
}
