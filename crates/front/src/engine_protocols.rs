//! Which protocols engines speak, by their kind.

use std::net::SocketAddr;

/// The protocols that engines of a kind speak.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum EngineProtocols {
    /// Lines alone.
    Lines,
    /// PostgreSQL alone, at the port of the list.
    Postgres,
    /// Lines at the port of the list, PostgreSQL at another.
    Both { postgres_port: u16 },
}

impl EngineProtocols {
    /// Whether it takes statements as lines.
    pub fn speaks_lines(self) -> bool {
        self != EngineProtocols::Postgres
    }

    /// Whether it takes PostgreSQL sessions.
    pub fn speaks_postgres(self) -> bool {
        self != EngineProtocols::Lines
    }

    /// Where an engine of the list takes PostgreSQL sessions.
    pub fn postgres_address(self, mut listed: SocketAddr) -> SocketAddr {
        if let EngineProtocols::Both { postgres_port } = self {
            listed.set_port(postgres_port);
        }
        listed
    }
}
