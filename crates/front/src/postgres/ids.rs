//! Numbers of PostgreSQL sessions and of connections to engines that speak PostgreSQL.

use hallmux_dispatcher::EngineIndex;

/// A connection to an engine, by its number among all that were dialled.
pub type ServerId = u64;

/// A client's session, by its number among all that were accepted.
pub type SessionId = u64;

/// The connection that holds the open transaction of a session (it is sticky), and its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin {
    pub engine_index: EngineIndex,
    pub server: ServerId,
}
