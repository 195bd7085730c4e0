//! What the event loop reports: the sockets whose readiness has changed since the last iteration, and signals.

use calloop::signals::Signal;

/// What a socket is used for. Each kind is served by a module of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketKind {
    /// The listener for clients that speak Thrift.
    Listener,
    /// A client that speaks Thrift.
    Client,
    /// A query engine that speaks lines.
    Engine,
    Coordinator,
    /// The listener for PostgreSQL clients.
    SessionListener,
    /// A PostgreSQL client.
    Session,
    /// A query engine that speaks PostgreSQL.
    Server,
    /// A connection that only carries a request to cancel to an engine that speaks PostgreSQL.
    Cancel,
    /// The UDP socket for messages of other fronts.
    Peers,
}

/// A socket: its kind, and its number among those of that kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketId {
    pub kind: SocketKind,
    pub number: u64,
}

impl SocketKind {
    /// The socket of this kind that has the number given.
    pub fn id(self, number: u64) -> SocketId {
        SocketId { kind: self, number }
    }
}

/// The data of the event loop: what has happened since the last iteration, in order of arrival.
#[derive(Default)]
pub struct LoopEvents {
    /// Sockets that have become readable or writable.
    pub ready: Vec<SocketId>,
    pub signals: Vec<Signal>,
}
