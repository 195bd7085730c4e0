//! Unit tests of the `engine` module.

use super::*;
use crate::scram::{Exchange, Verifier};

/// What the engine hears next; `body` is what it says.
fn told(engine: &mut EngineConnection, tag: u8, body: &[u8]) -> (Vec<u8>, Option<EngineEvent>) {
    let (mut input, mut out, mut back) = (Vec::new(), Vec::new(), Vec::new());
    wire::write(&mut input, tag, |out| out.extend_from_slice(body));
    let (used, heard) = engine.read(&input, &mut out, &mut back, 1 << 20).unwrap();
    assert_eq!((used, back.len()), (input.len(), 0));
    (out, heard)
}

fn with(password: &str) -> EngineConnection {
    let account = Account {
        user: "u".into(),
        database: "d".into(),
        password: Some(password.into()),
    };
    EngineConnection::new(account, 8, &mut Vec::new())
}

fn step(number: u32, rest: &[u8]) -> Vec<u8> {
    [&number.to_be_bytes(), rest].concat()
}

#[test]
fn logins_of_every_kind_are_answered() {
    let mut plain = with("secret");
    assert_eq!(
        told(&mut plain, b'R', &step(3, b"")).0,
        b"p\0\0\0\x0bsecret\0"
    );
    let mut md5 = with("secret");
    let (out, _) = told(&mut md5, b'R', &step(5, b"salt"));
    assert!(out.starts_with(b"p") && out[5..].starts_with(b"md5") && out.len() == 5 + 36);
    let verifier = Verifier::parse(&postgres_protocol::password::scram_sha_256(b"secret")).unwrap();
    for (password, lets_in) in [("secret", true), ("wrong", false)] {
        let mut scram = with(password);
        let (out, _) = told(&mut scram, b'R', &step(10, b"SCRAM-SHA-256\0\0"));
        let first = &out[5 + crate::scram::MECHANISM.len() + 1 + 4..];
        let (exchange, answer) = Exchange::begin(verifier.clone(), first, "own").unwrap();
        let (out, _) = told(&mut scram, b'R', &step(11, answer.as_bytes()));
        let proof = exchange.finish(&out[5..]);
        assert_eq!(proof.is_some(), lets_in);
        if let Some(proof) = proof {
            told(&mut scram, b'R', &step(12, proof.as_bytes()));
            told(&mut scram, b'R', &step(0, b""));
            assert_eq!(told(&mut scram, b'Z', b"I").1, Some(EngineEvent::Ready));
        }
    }
    let refused = told(&mut with("x"), b'E', b"SFATAL\0C28P01\0Mno\0\0").1;
    assert!(matches!(refused, Some(EngineEvent::LoginRefused { code, .. }) if code == "28P01"));
}

#[test]
fn an_engine_that_says_what_is_not_due_is_not_believed() {
    for (tag, body) in [
        (b'D', &b"\0\0"[..]),
        (b'Z', b"I"),
        (b'1', b""),
        (b'G', b""),
        (b'?', b""),
    ] {
        let mut engine = with("");
        told(&mut engine, b'R', &step(0, b""));
        told(&mut engine, b'Z', b"I");
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
    let mut engine = with("");
    let long = [&b"R\x7f\xff\xff\xff"[..], &[0; 100]].concat();
    assert!(engine
        .read(&long, &mut Vec::new(), &mut Vec::new(), 100)
        .is_err());
}
