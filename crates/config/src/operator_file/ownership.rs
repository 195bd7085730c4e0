//! The section `gossip.ownership`: one owner at a time for work on behalf of the fleet, by leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux::interface::Micros;
use serde::Deserialize;

use crate::settings::micros;

use super::gossip::NOT_A_PEER;
use super::position::Checker;
use crate::error::{Error, KeyProblem};

const LEASE_MS: f64 = 3_000.0; // milliseconds: some elections of a third of a second, and no zone is lost for less
const DRIFT_PPM: u32 = 10_000; // millionths: a hundred times what quartz does, for machines that are throttled
const MOST_DRIFT_PPM: u32 = 200_000; // millionths; a clock further off is broken

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
    LEASE_MS
}

fn drift_ppm() -> u32 {
    DRIFT_PPM
}

/// Who grants the leases of work on behalf of the fleet, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// The fleet's name; votes of another are refused.
    pub fleet: String,
    /// Public keys of the voters, and where each listens for other fronts.
    pub voters: Vec<([u8; 32], SocketAddr)>,
    /// Where a voter keeps what it must not forget.
    pub directory: String,
    /// How long a lease holds.
    pub lease: Micros,
    /// Millionths that a clock may gain or lose.
    pub drift_ppm: u32,
}

/// Checks the section; `peers` are the fronts known by name.
pub fn owned(
    text: &str,
    file: OwnershipFile,
    peers: &[(String, [u8; 32])],
) -> Result<Ownership, Error> {
    let check = Checker {
        text,
        section: "gossip.ownership",
    };
    if !matches!(file.voters.len(), 3 | 5) {
        return check.refuse(
            "voters",
            "names neither 3 nor 5 fronts; name as many of gossip.peers",
        );
    }
    check.range("lease_ms", file.lease_ms, 500.0, 60_000.0)?;
    if file.drift_ppm > MOST_DRIFT_PPM {
        return check.refuse("drift_ppm", KeyProblem::above_maximum(MOST_DRIFT_PPM));
    }
    if file.directory.is_empty() {
        let problem =
            "names none; name one on a lasting disk, as a voter that forgets its votes must not vote again";
        return check.refuse("directory", problem);
    }
    let mut voters = Vec::new();
    for (name, at) in file.voters {
        match peers.iter().find(|(peer, _)| *peer == name) {
            Some((_, key)) => voters.push((*key, at)),
            None => return check.refuse(&format!("voters.{name}"), NOT_A_PEER),
        }
    }
    let (fleet, directory, drift_ppm) = (file.fleet, file.directory, file.drift_ppm);
    Ok(Ownership {
        fleet,
        voters,
        directory,
        lease: micros(file.lease_ms),
        drift_ppm,
    })
}

#[cfg(test)]
#[path = "ownership_tests.rs"]
mod tests;
