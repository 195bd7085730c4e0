//! The ledger of promises: which fronts keep its copies, and how many of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use super::places::fault;

const COPIES: usize = 3; // one may be lost, and the other two go on
const SHARDS: u16 = 16; // some for each of a handful of fronts
const MOST_SHARDS: u16 = 1_024; // each is a log of its own

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerFile {
    fleet: String,
    directory: Option<String>,
    #[serde(default = "copies")]
    copies: usize,
    #[serde(default = "shards")]
    shards: u16,
    members: BTreeMap<String, MemberFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberFile {
    at: SocketAddr,
    #[serde(default)]
    zone: String,
}

fn copies() -> usize {
    COPIES
}

fn shards() -> u16 {
    SHARDS
}

/// Who keeps copies of promises.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    pub fleet: String,
    /// Where this front keeps its copies; in memory alone where none is named.
    pub directory: Option<String>,
    pub copies: usize,
    pub shards: u16,
    pub members: Vec<LedgerMember>,
}

/// A front that keeps copies: its public key, where it is heard, and its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerMember {
    pub key: [u8; 32],
    pub at: SocketAddr,
    pub zone: String,
}

pub fn ledger(text: &str, file: LedgerFile, peers: &[(String, [u8; 32])]) -> Result<Ledger, String> {
    let refuse = |key: &str, why: &str| Err(fault(text, &format!("gossip.ledger.{key}"), why));
    if file.fleet.is_empty() {
        return refuse("fleet", "names none: fronts of different fleets must not share promises");
    }
    if file.directory.as_deref() == Some("") {
        return refuse("directory", "is empty: name one, or leave it out to keep copies in memory alone");
    }
    if !(1..=file.members.len()).contains(&file.copies) {
        return refuse("copies", &format!("is not from 1 to the {} members named", file.members.len()));
    }
    if !(1..=MOST_SHARDS).contains(&file.shards) {
        return refuse("shards", &format!("is not from 1 to {MOST_SHARDS}"));
    }
    let mut members = Vec::new();
    for (name, MemberFile { at, zone }) in file.members {
        match peers.iter().find(|(peer, _)| *peer == name) {
            Some((_, key)) => members.push(LedgerMember { key: *key, at, zone }),
            None => return refuse(&format!("members.{name}"), "is not among gossip.peers"),
        }
    }
    let LedgerFile { fleet, directory, copies, shards, .. } = file;
    Ok(Ledger { fleet, directory, copies, shards, members })
}

#[cfg(test)]
mod tests {
    use super::super::whole::tests::read;

    #[test]
    fn the_ledger_names_known_fronts_and_no_more_copies_than_there_are() {
        let key = |n: u8| format!("{n:02x}").repeat(32);
        let peers: Vec<String> = (1..=3).map(|n| format!("f{n}: '{}'", key(n))).collect();
        let good =
            "fleet: 'campus', members: { f1: { at: '127.0.0.1:1', zone: 'a' }, f2: { at: '127.0.0.1:2' }, \
                    f3: { at: '127.0.0.1:3', zone: 'b' } }";
        let with = |ledger: &str| {
            let peers = peers.join(", ");
            read(&format!(
                "{{ gossip: {{ listen: '127.0.0.1:1', secret_file: 's', peers: {{ {peers} }},\n ledger: {{ {ledger} }} }} }}"
            ))
        };
        let ledger = with(good).unwrap().gossip.unwrap().ledger.unwrap();
        assert_eq!((ledger.copies, ledger.shards, ledger.members.len(), ledger.directory), (3, 16, 3, None));
        assert_eq!((ledger.members[0].key, ledger.members[2].zone.as_str()), ([1; 32], "b"));
        for (from, to, why) in [
            ("f3:", "f9:", "members.f9: is not among gossip.peers"),
            ("fleet:", "copies: 4, fleet:", "copies: is not from 1 to the 3 members named"),
            ("fleet:", "shards: 0, fleet:", "shards: is not from 1 to 1024"),
            ("'campus'", "''", "fleet: names none"),
            ("fleet:", "directory: '', fleet:", "directory: is empty"),
        ] {
            let refused = with(&good.replace(from, to)).unwrap_err();
            assert!(refused.starts_with(&format!("line 2: gossip.ledger.{why}")), "{refused}");
        }
    }
}
