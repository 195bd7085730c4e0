//! Unit tests of the `protocol_error` module.

use super::*;

#[test]
fn each_says_what_is_wrong_and_what_can_be_done() {
    use ProtocolError::*;
    let all = [
        StartUp { bytes: 4, most: 9 },
        NoUser,
        Encryption { times: 3 },
        NoProof(b'Q'),
        Malformed("a string without an end"),
        Unknown(7),
        TooLong { bytes: 9, most: 8 },
        Mixed,
        EngineTooLong {
            tag: b'R',
            bytes: 9,
            most: 8,
        },
        NotDue {
            tag: b'D',
            when: "during login",
        },
        Login(7),
        Proof("no such user".into()),
        Gone("57P01".into()),
    ];
    for (n, one) in all.iter().enumerate() {
        // Another variant than these does not compile here: it belongs above as well.
        let place = match one {
            StartUp { .. } => 0,
            NoUser => 1,
            Encryption { .. } => 2,
            NoProof(_) => 3,
            Malformed(_) => 4,
            Unknown(_) => 5,
            TooLong { .. } => 6,
            Mixed => 7,
            EngineTooLong { .. } => 8,
            NotDue { .. } => 9,
            Login(_) => 10,
            Proof(_) => 11,
            Gone(_) => 12,
        };
        let text = one.to_string();
        let (wrong, remedy) = text.split_once("; ").unwrap_or_default();
        assert!(n == place && wrong.len() > 10, "{text}");
        let verbs = ["see ", "name ", "set ", "send ", "let "];
        assert!(verbs.iter().any(|verb| remedy.starts_with(verb)), "{text}");
        assert!(!text.ends_with('.') && text.len() < 150, "{text}");
    }
    assert_eq!(
        Unknown(7).to_string().split(" is").next(),
        Some("a message of kind '\\x07'")
    );
}
