//! The section `gossip`: messages between fronts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use super::checker::key_error;
use super::ledger::{check_ledger, Ledger, LedgerFile};
use super::overload::{check_overload, Overload, OverloadFile};
use super::ownership::{check_ownership, Ownership, OwnershipFile};
use super::peers::{parse_key, GossipPeer};
use crate::error::{Error, KeyProblem};

/// Fronts that may have to agree on the loss of a zone.
const MAX_ZONE_QUORUM: usize = 64;

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
    /// The address that is advertised to other fronts, where it is not the one it listens on.
    pub advertise: Option<SocketAddr>,
    /// The file that holds the secret half of this front's key pair, as 64 hexadecimal digits.
    pub secret_file: String,
    /// The other fronts whose messages count.
    pub peers: Vec<GossipPeer>,
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
pub fn check_gossip(text: &str, file: GossipFile) -> Result<Gossip, Error> {
    let peers = peers(text, file.peers)?;
    if file.zone_quorum > MAX_ZONE_QUORUM {
        return Err(key_error(
            text,
            "gossip.zone_quorum",
            KeyProblem::above_maximum(MAX_ZONE_QUORUM),
        ));
    }
    let ownership = file
        .ownership
        .map(|section| check_ownership(text, section, &peers))
        .transpose()?;
    let overload = file
        .overload
        .map(|section| check_overload(text, section))
        .transpose()?;
    let ledger = file
        .ledger
        .map(|section| check_ledger(text, section, &peers))
        .transpose()?;
    Ok(Gossip {
        listen: file.listen,
        advertise: file.advertise,
        secret_file: file.secret_file,
        peers,
        seeds: file.seeds,
        zone_quorum: file.zone_quorum,
        ownership,
        ledger,
        overload,
    })
}

fn peers(text: &str, keys: BTreeMap<String, String>) -> Result<Vec<GossipPeer>, Error> {
    let mut peers = Vec::new();
    for (name, key) in keys {
        let Some(key) = parse_key(&key) else {
            let path = format!("gossip.peers.{name}");
            return Err(key_error(text, &path, KeyProblem::InvalidPublicKey));
        };
        peers.push(GossipPeer { name, key });
    }
    Ok(peers)
}

#[cfg(test)]
#[path = "gossip_tests.rs"]
mod tests;
