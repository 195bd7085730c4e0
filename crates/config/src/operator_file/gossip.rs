//! The section `gossip`: messages between fronts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use super::ledger::{ledger, Ledger, LedgerFile};
use super::overload::{overload, Overload, OverloadFile};
use super::ownership::{owned, Ownership, OwnershipFile};
use super::position::key_error;
use crate::error::{Error, KeyProblem};

/// The problem of a name in a section of gossip's.
pub const NOT_A_PEER: &str = "is not among gossip.peers; add its public key there, or name another";

const MOST_QUORUM: usize = 64; // vantages; more fronts than that never agree in time

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GossipFile {
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    secret_file: String,
    peers: BTreeMap<String, String>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default = "zone_quorum")]
    zone_quorum: usize,
    ownership: Option<OwnershipFile>,
    ledger: Option<LedgerFile>,
    overload: Option<OverloadFile>,
}

fn zone_quorum() -> usize {
    crate::settings::ZONE_QUORUM
}

/// Messages between fronts: where they come in, whose count, whom to ask first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// Where datagrams of other fronts come in.
    pub listen: SocketAddr,
    /// The address that other fronts are told, where it is not the one it listens on.
    pub advertise: Option<SocketAddr>,
    /// The file that holds the secret half of this front's key pair, as 64 hexadecimal digits.
    pub secret_file: String,
    /// Public keys, by the names that the log gives them.
    pub peers: Vec<(String, [u8; 32])>,
    /// Fronts to ask first, and now and then.
    pub seeds: Vec<SocketAddr>,
    /// Trusted fronts of as many vantages have to report most of a zone as failed before the fleet leaves it;
    /// 0: it never does.
    pub zone_quorum: usize,
    /// One owner at a time for work on behalf of the fleet, where voters are named.
    pub ownership: Option<Ownership>,
    /// What outlives a machine, where copies of it are kept.
    pub ledger: Option<Ledger>,
    /// Overload shed by the fleet as one, where that is asked for.
    pub overload: Option<Overload>,
}

/// Checks the section.
pub fn gossip(text: &str, mut file: GossipFile) -> Result<Gossip, Error> {
    let mut peers = Vec::new();
    for (name, key) in std::mem::take(&mut file.peers) {
        match parse_key(&key) {
            Some(key) => peers.push((name, key)),
            None => {
                let path = format!("gossip.peers.{name}");
                return Err(key_error(text, &path, KeyProblem::InvalidPublicKey));
            }
        }
    }
    if file.zone_quorum > MOST_QUORUM {
        return Err(key_error(
            text,
            "gossip.zone_quorum",
            KeyProblem::above_maximum(MOST_QUORUM),
        ));
    }
    let shed = file.overload.take();
    let GossipFile {
        listen,
        advertise,
        secret_file,
        seeds,
        zone_quorum,
        ownership,
        ledger: kept,
        ..
    } = file;
    let ownership = ownership.map(|o| owned(text, o, &peers)).transpose()?;
    let overload = shed.map(|o| overload(text, o)).transpose()?;
    let ledger = kept.map(|l| ledger(text, l, &peers)).transpose()?;
    Ok(Gossip {
        listen,
        advertise,
        secret_file,
        peers,
        seeds,
        zone_quorum,
        ownership,
        ledger,
        overload,
    })
}

/// Thirty-two bytes of a key, from 64 hexadecimal digits with white space around; None for any other text.
pub fn parse_key(text: &str) -> Option<[u8; 32]> {
    let digits = text.trim().as_bytes();
    let mut bytes = [0; 32];
    for (n, byte) in bytes.iter_mut().enumerate() {
        let digit = |at: usize| digits.get(at).and_then(|c| (*c as char).to_digit(16));
        *byte = (digit(2 * n)? * 16 + digit(2 * n + 1)?) as u8;
    }
    (digits.len() == 64).then_some(bytes)
}

#[cfg(test)]
#[path = "gossip_tests.rs"]
mod tests;
