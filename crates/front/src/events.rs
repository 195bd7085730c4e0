//! The events that the event loop reports: sockets whose readiness has changed since the last iteration, and signals.

use calloop::signals::Signal;

/// The purpose of a socket. Each kind is served by a separate module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SocketKind {
    /// The listener for clients that speak Thrift.
    Listener,
    /// A client that speaks Thrift.
    Client,
    /// A query engine that speaks the line protocol.
    Engine,
    /// The coordinator, which reports the engine list.
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

/// A socket: its kind, and its number among the sockets of that kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SocketId {
    pub kind: SocketKind,
    pub number: u64,
}

impl SocketKind {
    /// The id of the socket of this kind with a number.
    pub fn id(self, number: u64) -> SocketId {
        SocketId { kind: self, number }
    }
}

/// The data of the event loop: the events since the last iteration, in order of arrival.
#[derive(Default)]
pub struct LoopEvents {
    /// Sockets that have become readable or writable.
    pub ready: Vec<SocketId>,
    /// Signals that were received: SIGTERM and SIGHUP.
    pub signals: Vec<Signal>,
}
