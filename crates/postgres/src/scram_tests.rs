//! Unit tests of the `scram` module.

use super::*;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

fn log_in(verifier: &Verifier, password: &[u8], corrupt_proof: bool) -> bool {
    let mut client = ScramSha256::new(password, ChannelBinding::unsupported());
    let Some((exchange, answer)) = Exchange::begin(verifier.clone(), client.message(), "own")
    else {
        return false;
    };
    client.update(answer.as_bytes()).unwrap();
    let mut last = client.message().to_vec();
    if corrupt_proof {
        last[10] ^= 1;
    }
    match exchange.finish(&last) {
        Some(proof) => client.finish(proof.as_bytes()).is_ok(),
        None => false,
    }
}

#[test]
fn only_the_right_password_is_accepted_and_server_is_verified() {
    let text = postgres_protocol::password::scram_sha_256(b"secret");
    let verifier = Verifier::parse(&text).unwrap();
    assert!(log_in(&verifier, b"secret", false));
    assert!(!log_in(&verifier, b"Secret", false));
    assert!(!log_in(&verifier, b"secret", true));
    assert!(!log_in(
        &Verifier::for_unknown_user("x", b"s"),
        b"secret",
        false
    ));
}

#[test]
fn invalid_messages_are_rejected() {
    let verifier = Verifier::for_unknown_user("x", b"s");
    let first: [&[u8]; 7] = [
        b"",
        b"n,,",
        b"p=tls-unique,,n=,r=abc",
        b"n,,n=,r=",
        b"n,,m=x,n=,r=a",
        b"n,,n=,r=a,b=c",
        b"\xff",
    ];
    for first in first {
        assert!(
            Exchange::begin(verifier.clone(), first, "own").is_none(),
            "{first:?}"
        );
    }
    let (exchange, _) = Exchange::begin(verifier, b"n,,n=,r=abc", "own").unwrap();
    let last: [&[u8]; 5] = [
        b"",
        b"c=biws,r=abcown",
        b"c=biws,r=abcown,p=",
        b"c=biws,r=abc,p=eA==",
        b"\xff,p=",
    ];
    for last in last {
        assert!(exchange.finish(last).is_none(), "{last:?}");
    }
}

#[test]
fn invalid_verifiers_are_rejected() {
    for text in [
        "",
        "md5abc",
        "SCRAM-SHA-256$0:c2FsdA==$a:b",
        "SCRAM-SHA-256$4096:c2FsdA==$YQ==:YQ==",
    ] {
        assert!(Verifier::parse(text).is_none(), "{text}");
    }
}
