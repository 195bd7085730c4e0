//! Unit tests of the `engine` module.

use super::*;
use crate::scram::{Exchange, Verifier};

/// Passes one message of the engine to the connection; returns what is written to the engine, and
/// the event.
fn receive(engine: &mut EngineConnection, tag: u8, body: &[u8]) -> (Vec<u8>, Option<EngineEvent>) {
    let (mut input, mut out, mut to_client) = (Vec::new(), Vec::new(), Vec::new());
    wire::write(&mut input, tag, |out| out.extend_from_slice(body));
    let (used, event) = engine
        .read(&input, &mut out, &mut to_client, 1 << 20)
        .unwrap();
    assert_eq!((used, to_client.len()), (input.len(), 0));
    (out, event)
}

fn connection_with_password(password: &str) -> EngineConnection {
    let account = Account {
        user: "u".into(),
        database: "d".into(),
        password: Some(password.into()),
    };
    EngineConnection::new(account, 8, &mut Vec::new())
}

fn authentication_request(number: u32, rest: &[u8]) -> Vec<u8> {
    [&number.to_be_bytes(), rest].concat()
}

#[test]
fn all_authentication_methods_are_answered() {
    let mut plain = connection_with_password("secret");
    assert_eq!(
        receive(&mut plain, b'R', &authentication_request(3, b"")).0,
        b"p\0\0\0\x0bsecret\0"
    );
    let mut md5 = connection_with_password("secret");
    let (out, _) = receive(&mut md5, b'R', &authentication_request(5, b"salt"));
    assert!(out.starts_with(b"p") && out[5..].starts_with(b"md5") && out.len() == 5 + 36);
    let verifier = Verifier::parse(&postgres_protocol::password::scram_sha_256(b"secret")).unwrap();
    for (password, is_valid) in [("secret", true), ("wrong", false)] {
        let mut scram = connection_with_password(password);
        let (out, _) = receive(
            &mut scram,
            b'R',
            &authentication_request(10, b"SCRAM-SHA-256\0\0"),
        );
        let first = &out[5 + crate::scram::MECHANISM.len() + 1 + 4..];
        let (exchange, answer) = Exchange::begin(verifier.clone(), first, "own").unwrap();
        let (out, _) = receive(
            &mut scram,
            b'R',
            &authentication_request(11, answer.as_bytes()),
        );
        let proof = exchange.finish(&out[5..]);
        assert_eq!(proof.is_some(), is_valid);
        if let Some(proof) = proof {
            receive(
                &mut scram,
                b'R',
                &authentication_request(12, proof.as_bytes()),
            );
            receive(&mut scram, b'R', &authentication_request(0, b""));
            assert_eq!(receive(&mut scram, b'Z', b"I").1, Some(EngineEvent::Ready));
        }
    }
    let refused = receive(
        &mut connection_with_password("x"),
        b'E',
        b"SFATAL\0C28P01\0Mno\0\0",
    )
    .1;
    assert!(matches!(refused, Some(EngineEvent::LoginRefused { code, .. }) if code == "28P01"));
}

#[test]
fn unexpected_engine_messages_are_errors() {
    for (tag, body) in [
        (b'D', &b"\0\0"[..]),
        (b'Z', b"I"),
        (b'1', b""),
        (b'G', b""),
        (b'?', b""),
    ] {
        let mut engine = connection_with_password("");
        receive(&mut engine, b'R', &authentication_request(0, b""));
        receive(&mut engine, b'Z', b"I");
        let mut input = Vec::new();
        wire::write(&mut input, tag, |out| out.extend_from_slice(body));
        assert!(
            engine
                .read(&input, &mut Vec::new(), &mut Vec::new(), 100)
                .is_err(),
            "{}",
            tag as char
        );
    }
    let mut engine = connection_with_password("");
    let long = [&b"R\x7f\xff\xff\xff"[..], &[0; 100]].concat();
    assert!(engine
        .read(&long, &mut Vec::new(), &mut Vec::new(), 100)
        .is_err());
}
