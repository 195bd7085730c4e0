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

/// Maximum of `zone_quorum`.
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

/// Settings for messages between fronts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// The address on which datagrams from other fronts are received.
    pub listen: SocketAddr,
    /// The address advertised to other fronts, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The path of the file with this front's secret key as 64 hexadecimal digits.
    pub secret_file: String,
    /// The other fronts whose messages are accepted.
    pub peers: Vec<GossipPeer>,
    /// The addresses of fronts to contact at start, and periodically afterwards.
    pub seeds: Vec<SocketAddr>,
    /// Number of vantages whose trusted fronts must report most of a zone as failed before the
    /// fleet evacuates it; 0: a zone is never evacuated.
    pub zone_quorum: usize,
    /// Leases that give work on behalf of the fleet one owner at a time; None: off.
    pub ownership: Option<Ownership>,
    /// The replicated ledger; None: off.
    pub ledger: Option<Ledger>,
    /// Overload protection across the fleet; None: off.
    pub overload: Option<Overload>,
}

/// Checks the section, with its subsections.
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
