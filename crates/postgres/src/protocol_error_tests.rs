//! Unit tests of the `protocol_error` module.

use super::*;

#[test]
fn every_error_names_its_cause_and_a_remedy() {
    use ProtocolError::*;
    let all = [
        StartupLength { bytes: 4, limit: 9 },
        NoUser,
        TooManyEncryptionRequests { times: 3 },
        ExpectedPasswordMessage(b'Q'),
        Malformed("a string without an end"),
        UnknownMessage(7),
        MessageTooLong { bytes: 9, limit: 8 },
        SimpleQueryWithinExtended,
        EngineMessageTooLong {
            tag: b'R',
            bytes: 9,
            limit: 8,
        },
        UnexpectedMessage {
            tag: b'D',
            when: "during login",
        },
        UnsupportedAuthentication(7),
        AuthenticationFailed("no such user".into()),
        ConnectionEnded("57P01".into()),
    ];
    for (n, error) in all.iter().enumerate() {
        // A new variant does not compile here until it is listed; add it to the array above as
        // well.
        let index = match error {
            StartupLength { .. } => 0,
            NoUser => 1,
            TooManyEncryptionRequests { .. } => 2,
            ExpectedPasswordMessage(_) => 3,
            Malformed(_) => 4,
            UnknownMessage(_) => 5,
            MessageTooLong { .. } => 6,
            SimpleQueryWithinExtended => 7,
            EngineMessageTooLong { .. } => 8,
            UnexpectedMessage { .. } => 9,
            UnsupportedAuthentication(_) => 10,
            AuthenticationFailed(_) => 11,
            ConnectionEnded(_) => 12,
        };
        let text = error.to_string();
        let (wrong, remedy) = text.split_once("; ").unwrap_or_default();
        assert!(n == index && wrong.len() > 10, "{text}");
        let verbs = ["see ", "name ", "set ", "send ", "let "];
        assert!(verbs.iter().any(|verb| remedy.starts_with(verb)), "{text}");
        assert!(!text.ends_with('.') && text.len() < 150, "{text}");
    }
    assert_eq!(
        UnknownMessage(7).to_string().split(" is").next(),
        Some("a message of kind '\\x07'")
    );
}
