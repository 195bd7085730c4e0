//! What an operator meets of PostgreSQL sessions at a front's start.

use std::net::SocketAddr;

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("postgres.listen: {at}: {why}; give the address of a free port of this machine")]
    Listen { at: SocketAddr, why: std::io::Error },
}

impl From<Fault> for std::io::Error {
    fn from(fault: Fault) -> std::io::Error {
        let Fault::Listen { why, .. } = &fault;
        std::io::Error::new(why.kind(), fault)
    }
}

#[cfg(test)]
#[path = "fault_tests.rs"]
mod tests;
