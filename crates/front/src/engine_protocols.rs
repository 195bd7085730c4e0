//! The protocols that engines of a kind speak.

use std::net::SocketAddr;

/// The protocols that all engines of one kind speak, and the ports where they do.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum EngineProtocols {
    /// The line protocol only, at the listed port.
    Lines,
    /// PostgreSQL only, at the listed port.
    Postgres,
    /// The line protocol at the listed port and PostgreSQL at `postgres_port`.
    Both { postgres_port: u16 },
}

impl EngineProtocols {
    /// Whether these engines accept statements over the line protocol.
    pub fn speaks_lines(self) -> bool {
        self != EngineProtocols::Postgres
    }

    /// Whether these engines accept PostgreSQL sessions.
    pub fn speaks_postgres(self) -> bool {
        self != EngineProtocols::Lines
    }

    /// The address for PostgreSQL sessions of an engine that is listed at `listed`.
    pub fn postgres_address(self, mut listed: SocketAddr) -> SocketAddr {
        if let EngineProtocols::Both { postgres_port } = self {
            listed.set_port(postgres_port);
        }
        listed
    }
}
