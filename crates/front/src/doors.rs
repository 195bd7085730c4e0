//! What the loop tells of: which connection, at which door, has changed since it last slept.

use calloop::signals::Signal;

/// Where a connection belongs; each kind of peer stands in a module of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// The listener for statements over Thrift, and its clients.
    Listener,
    Client,
    Engine,
    Coordinator,
    /// The listener for PostgreSQL sessions, their connections, and those to engines that speak it.
    SessionListener,
    Session,
    Server,
    /// A connection that only carries a request to cancel to an engine.
    Cancel,
    /// Words with other fronts.
    Peers,
}

/// A connection, by its door and the number that it has there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Party {
    pub door: Door,
    pub number: u64,
}

impl Door {
    pub fn party(self, number: u64) -> Party {
        Party { door: self, number }
    }
}

/// The data of the loop: what has changed, in the order in which it did.
#[derive(Default)]
pub struct Changes {
    pub parties: Vec<Party>,
    pub signals: Vec<Signal>,
}
