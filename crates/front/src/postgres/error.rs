//! What an operator meets of PostgreSQL sessions at a front's start.

use std::net::SocketAddr;

/// Why sessions can't be taken.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    #[error("postgres.listen: {at}: {why}; give the address of a free port of this machine")]
    Listen { at: SocketAddr, why: std::io::Error },
}

impl From<ListenError> for std::io::Error {
    fn from(fault: ListenError) -> std::io::Error {
        let ListenError::Listen { why, .. } = &fault;
        std::io::Error::new(why.kind(), fault)
    }
}

#[cfg(test)]
#[path = "error_tests.rs"]
mod tests;
