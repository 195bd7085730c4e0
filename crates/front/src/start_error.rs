//! Why a front does not start: each text says what is wrong, where, and what an operator can do.

use std::net::SocketAddr;

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error(transparent)]
    Configuration(#[from] hallmux_agreement::Error),
    #[error("NODE_CONFIG: known: {0}; give the coordinator's events as it words them, or leave the key out")]
    Known(String),
    #[error("listen: {at}: {why}; give the address of a free port of this machine")]
    Listen { at: SocketAddr, why: std::io::Error },
    #[error(transparent)]
    Peers(#[from] crate::fleet::PeersError),
    #[error(transparent)]
    Rules(#[from] crate::fleet::RulesError),
    /// What else the operator's file switches on, or the clock of a test: the text names the key.
    #[error("{0}; mend that key or file, or leave it out")]
    Part(String),
    /// The same, where the part itself says what can be done.
    #[error("{0}")]
    PartWithRemedy(String),
    #[error("{what}: {why}; see whether this user may open more files (ulimit -n)")]
    System { what: &'static str, why: String },
}

impl StartError {
    /// Of a part that may have said itself what can be done.
    pub fn part(why: &std::io::Error) -> StartError {
        let said = why.to_string();
        match said.rsplit_once("; ") {
            Some(_) => StartError::PartWithRemedy(said),
            None => StartError::Part(said),
        }
    }

    pub fn system(what: &'static str) -> impl Fn(std::io::Error) -> StartError {
        move |why| StartError::System { what, why: why.to_string() }
    }
}

#[cfg(test)]
#[path = "start_error_tests.rs"]
mod tests;
