//! Unit tests of the `errors` module.

use super::*;

#[test]
fn every_error_names_place_fault_and_remedy() {
    let io = || std::io::Error::other("gone");
    let (file, directory) = (|| "/f".to_string(), || "/d".to_string());
    let at = SocketAddr::from(([127, 0, 0, 1], 9));
    let in_use = || VotesError::InUse(directory());
    let texts = [
        (
            PeersError::SecretFile {
                file: file(),
                why: io(),
            }
            .to_string(),
            "gossip: secret_file: /f: ",
        ),
        (
            PeersError::Secret(file()).to_string(),
            "gossip: secret_file: /f: ",
        ),
        (
            PeersError::Listen { at, why: io() }.to_string(),
            "gossip: listen: 127.0.0.1:9: ",
        ),
        (
            PeersError::system("too many").to_string(),
            "gossip: too many",
        ),
        (
            PeersError::from(in_use()).to_string(),
            "gossip: ownership.directory: /d: ",
        ),
        (
            PeersError::from(hallmux_ledger::Error::NoMembers).to_string(),
            "gossip: ledger: ",
        ),
        (
            VotesError::Disk {
                directory: directory(),
                what: "w",
                why: io(),
            }
            .to_string(),
            "directory: /d: w: ",
        ),
        (
            VotesError::Lock {
                directory: directory(),
                why: io(),
            }
            .to_string(),
            "directory: /d: ",
        ),
        (VotesError::Thread(io()).to_string(), "a thread for votes "),
        (
            RulesError::File {
                file: file(),
                why: io(),
            }
            .to_string(),
            "rules.file: /f: ",
        ),
        (RulesError::WhatIf(file()).to_string(), "/f: what_if: "),
        (RulesError::NoLedger.to_string(), "rules: "),
    ];
    for (text, place) in texts {
        let (fault, remedy) = text.rsplit_once("; ").unwrap();
        assert!(
            fault.starts_with(place) && fault.len() >= place.len() && remedy.len() > 8,
            "{text}"
        );
        assert!(
            text.matches("; ").count() == 1 && !text.contains('\n'),
            "{text}"
        );
    }
}

#[test]
fn malformed_secret_is_rejected_with_the_expected_form() {
    let text = PeersError::Secret("/f".to_string()).to_string();
    assert_eq!(
        text,
        "gossip: secret_file: /f: holds no 64 hexadecimal digits; write this front's secret there"
    );
}
