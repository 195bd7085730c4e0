//! The section `gossip.ownership`: leases that give work on behalf of the fleet one owner at a
//! time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux::interface::Micros;
use serde::Deserialize;

use crate::settings::micros;

use super::checker::Checker;
use super::peers::{key_of, GossipPeer, PublicKey, NOT_A_PEER};
use crate::error::{Error, KeyProblem};

const DEFAULT_LEASE_MS: f64 = 3_000.0;
const MIN_LEASE_MS: f64 = 500.0;
const MAX_LEASE_MS: f64 = 60_000.0;
/// Parts per million: far more than the drift of a quartz clock, to allow for throttled machines.
const DEFAULT_DRIFT_PPM: u32 = 10_000;
const MAX_DRIFT_PPM: u32 = 200_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnershipFile {
    fleet: String,
    voters: BTreeMap<String, SocketAddr>,
    directory: String,
    #[serde(default = "lease_ms")]
    lease_ms: f64,
    #[serde(default = "drift_ppm")]
    drift_ppm: u32,
}

fn lease_ms() -> f64 {
    DEFAULT_LEASE_MS
}

fn drift_ppm() -> u32 {
    DEFAULT_DRIFT_PPM
}

/// A front that votes on leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipVoter {
    /// The front's public key.
    pub key: PublicKey,
    /// The address on which it receives messages from other fronts.
    pub address: SocketAddr,
}

/// The voters that grant leases for work on behalf of the fleet, and the terms of the leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// The fleet's name; votes from another fleet are rejected.
    pub fleet: String,
    /// The fronts that vote on leases: 3 or 5.
    pub voters: Vec<OwnershipVoter>,
    /// The directory in which a voter stores its durable state.
    pub directory: String,
    /// The duration of a lease.
    pub lease: Micros,
    /// Maximum drift of a clock in parts per million.
    pub drift_ppm: u32,
}

/// Checks the section; each voter must be one of `peers`.
pub fn check_ownership(
    text: &str,
    file: OwnershipFile,
    peers: &[GossipPeer],
) -> Result<Ownership, Error> {
    let check = Checker {
        text,
        section: "gossip.ownership",
    };
    if !matches!(file.voters.len(), 3 | 5) {
        return check.reject(
            "voters",
            "names neither 3 nor 5 fronts; name as many of gossip.peers",
        );
    }
    check.require_range("lease_ms", file.lease_ms, MIN_LEASE_MS, MAX_LEASE_MS)?;
    if file.drift_ppm > MAX_DRIFT_PPM {
        return check.reject("drift_ppm", KeyProblem::above_maximum(MAX_DRIFT_PPM));
    }
    if file.directory.is_empty() {
        let problem =
            "is empty; name a directory on a durable disk, as a voter that loses its votes must not vote again";
        return check.reject("directory", problem);
    }
    Ok(Ownership {
        fleet: file.fleet,
        voters: voters(&check, file.voters, peers)?,
        directory: file.directory,
        lease: micros(file.lease_ms),
        drift_ppm: file.drift_ppm,
    })
}

fn voters(
    check: &Checker,
    named: BTreeMap<String, SocketAddr>,
    peers: &[GossipPeer],
) -> Result<Vec<OwnershipVoter>, Error> {
    let mut voters = Vec::new();
    for (name, address) in named {
        let Some(key) = key_of(peers, &name) else {
            return check.reject(&format!("voters.{name}"), NOT_A_PEER);
        };
        voters.push(OwnershipVoter { key, address });
    }
    Ok(voters)
}

#[cfg(test)]
#[path = "ownership_tests.rs"]
mod tests;
