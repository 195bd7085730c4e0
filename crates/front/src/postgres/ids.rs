//! Ids of PostgreSQL sessions and of connections to engines that speak PostgreSQL.

use hallmux_dispatcher::EngineIndex;

/// The id of a connection to an engine, in the order of their dials.
pub type ServerId = u64;

/// The id of a client's session, in the order of their acceptance; 31 bits, then it wraps around.
pub type SessionId = u64;

/// The connection that holds the open transaction of a session, and its engine: the session's
/// statements are sticky to both until the transaction ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin {
    pub engine_index: EngineIndex,
    pub server: ServerId,
}
