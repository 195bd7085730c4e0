//! What a peer can say that no session or engine connection goes on after.

/// Bytes that no message can begin with, one that is not due, or one beyond what is allowed: its connection has to end.
/// Which connection it was, whoever logs it says in front.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    #[error("a start-up of {bytes} bytes, not 8 to {most}; see that what connects here speaks PostgreSQL's protocol 3")]
    StartUp { bytes: usize, most: usize },
    #[error("no user in the start-up; name one in the connection string")]
    NoUser,
    #[error(
        "encryption was asked for {times} times and refused each time; set sslmode and gssencmode to disable"
    )]
    Encryption { times: usize },
    #[error("a message of kind '{}' where the proof of a password is due; see that the driver knows SCRAM-SHA-256", kind(.0))]
    NoProof(u8),
    #[error("{0}; see that the peer's driver or server speaks PostgreSQL's protocol 3")]
    Malformed(&'static str),
    #[error("a message of kind '{}' is not known; see that the peer speaks PostgreSQL's protocol 3", kind(.0))]
    Unknown(u8),
    #[error(
        "a message of {bytes} bytes, over {most}; send less at once, or raise postgres.limits.message_bytes"
    )]
    TooLong { bytes: usize, most: usize },
    #[error("a simple query before the Sync that ends an extended one; send the Sync first")]
    Mixed,
    #[error("a message of kind '{}' with {bytes} bytes, over {most}; see that a PostgreSQL engine listens there", kind(.tag))]
    EngineTooLong { tag: u8, bytes: usize, most: usize },
    #[error("a message of kind '{}' that is not due {when}; see that a PostgreSQL engine listens there", kind(.tag))]
    NotDue { tag: u8, when: &'static str },
    #[error("a login of kind {0} is not spoken here; let the engine's pg_hba.conf ask the front for scram-sha-256, md5 or password")]
    Login(u32),
    #[error("the login fails: {0}; see postgres.users for the engine's user and password, and the engine's pg_hba.conf")]
    Proof(String),
    #[error("the engine ends the connection with {0}; see its own log for why")]
    Gone(String),
}

/// A message's kind as the protocol's pages write it.
fn kind(tag: &u8) -> std::ascii::EscapeDefault {
    std::ascii::escape_default(*tag)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_says_what_is_wrong_and_what_can_be_done() {
        use Unreadable::*;
        let all = [
            StartUp { bytes: 4, most: 9 },
            NoUser,
            Encryption { times: 3 },
            NoProof(b'Q'),
            Malformed("a string without an end"),
            Unknown(7),
            TooLong { bytes: 9, most: 8 },
            Mixed,
            EngineTooLong { tag: b'R', bytes: 9, most: 8 },
            NotDue { tag: b'D', when: "during login" },
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
        assert_eq!(Unknown(7).to_string().split(" is").next(), Some("a message of kind '\\x07'"));
    }
}
