//! Errors in the fleet's sections of the operator's file and in what they name. Each message states
//! the key, the fault and the remedy.

use std::net::SocketAddr;

/// Why gossip with other fronts can't be started.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    #[error("gossip: secret_file: {file}: {why}; name a file that this front may read")]
    SecretFile { file: String, why: std::io::Error },
    #[error(
        "gossip: secret_file: {0}: holds no 64 hexadecimal digits; write this front's secret there"
    )]
    Secret(String),
    #[error("gossip: listen: {at}: {why}; give the address of a free UDP port of this machine")]
    Listen { at: SocketAddr, why: std::io::Error },
    #[error("gossip: {0}; see whether this user may open more files (ulimit -n)")]
    System(String),
    #[error("gossip: ownership.{0}")]
    Votes(#[from] VotesError),
    #[error("gossip: ownership.directory: {0}")]
    VoterState(#[from] hallmux_lease::state::StateError),
    #[error("gossip: {0}")]
    Copies(#[from] super::copies::CopiesError),
    #[error("gossip: {0}")]
    Ledger(#[from] hallmux_ledger::Error),
}

impl PeersError {
    /// Wraps an error of the operating system.
    pub fn system(why: impl std::fmt::Display) -> PeersError {
        PeersError::System(why.to_string())
    }
}

/// Why a voter's state can't be made durable.
#[derive(Debug, thiserror::Error)]
pub enum VotesError {
    #[error(
        "directory: {directory}: {what}: {why}; give the front a directory that it may write, with room"
    )]
    Disk {
        directory: String,
        what: &'static str,
        why: std::io::Error,
    },
    #[error("directory: {0}: in use by another front; give each front one of its own")]
    InUse(String),
    #[error(
        "directory: {directory}: can't be locked: {why}; give the front a directory on a disk of its own"
    )]
    Lock {
        directory: String,
        why: std::io::Error,
    },
    #[error(
        "a thread for votes can't be started: {0}; see how many this user may have (ulimit -u)"
    )]
    Thread(std::io::Error),
}

/// Why access rules can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RulesError {
    #[error("rules.file: {file}: {why}; name a file that can be read")]
    File { file: String, why: std::io::Error },
    #[error(transparent)]
    Invalid(#[from] hallmux_access::FileErrors),
    #[error(
        "{0}: what_if: a hypothetical set can't be the first rules of a front; remove what_if"
    )]
    WhatIf(String),
    #[error(
        "rules: this front has peers, but no `gossip.ledger` to store rules in; name the ledger's members"
    )]
    NoLedger,
    #[error("rules: {0}")]
    Ledger(#[from] hallmux_ledger::Error),
}

#[cfg(test)]
#[path = "errors_tests.rs"]
mod tests;
