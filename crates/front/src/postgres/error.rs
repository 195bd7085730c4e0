//! Errors of the gateway that are reported to operators at a front's start.

use std::net::SocketAddr;

/// Why sessions can't be accepted.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    #[error("postgres.listen: {at}: {why}; give the address of a free port of this machine")]
    Listen { at: SocketAddr, why: std::io::Error },
}

impl From<ListenError> for std::io::Error {
    fn from(error: ListenError) -> std::io::Error {
        let ListenError::Listen { why, .. } = &error;
        std::io::Error::new(why.kind(), error)
    }
}

#[cfg(test)]
#[path = "error_tests.rs"]
mod tests;
