//! The keys of the section `postgres` and their defaults. The type names appear in error texts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

const DEFAULT_SESSIONS: usize = 5_000;
/// Maximum time for startup and authentication.
const DEFAULT_LOGIN_TIMEOUT_MS: f64 = 5_000.0;
/// Maximum number of prepared statements of a session.
pub const DEFAULT_PREPARED_STATEMENTS: usize = 1_000;
/// Maximum number of open portals in a session's transaction.
const DEFAULT_PORTALS: usize = 100;
/// Maximum number of settings of a session.
const DEFAULT_SETTINGS: usize = 64;
/// Maximum size of a client's message or unit.
const DEFAULT_MESSAGE_BYTES: usize = 1 << 20;
/// Bytes of a result that are buffered for a client.
const DEFAULT_BUFFER_BYTES: usize = 64 << 10;
/// Connections to an engine: below an engine's own limit, which is usually 100.
const DEFAULT_ENGINE_CONNECTIONS: usize = 64;
/// Maximum number of prepared statements on an engine connection.
const DEFAULT_ENGINE_PREPARED_STATEMENTS: usize = 256;
const DEFAULT_TRANSACTION_IDLE_MS: f64 = 10_000.0;
const DEFAULT_CONNECTION_IDLE_MS: f64 = 60_000.0;
const DEFAULT_CONNECTION_AGE_MS: f64 = 3_600_000.0;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PostgresFile {
    pub listen: SocketAddr,
    pub engines: Vec<EnginesFile>,
    pub users: BTreeMap<String, UserFile>,
    #[serde(default)]
    pub limits: LimitsFile,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginesFile {
    pub kinds: Vec<String>,
    pub port: Option<u16>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UserFile {
    pub verifier: Option<String>,
    #[serde(default)]
    pub trust: bool,
    pub member: Option<String>,
    pub workload: Option<String>,
    pub engine_user: Option<String>,
    pub engine_password: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsFile {
    pub sessions: usize,
    pub start_up_ms: f64,
    pub statements: usize,
    pub portals: usize,
    pub settings: usize,
    pub message_bytes: usize,
    pub buffer_bytes: usize,
    pub engine_connections: usize,
    pub prepared: usize,
    pub transaction_idle_ms: f64,
    pub connection_idle_ms: f64,
    pub connection_age_ms: f64,
}

impl Default for LimitsFile {
    fn default() -> Self {
        LimitsFile {
            sessions: DEFAULT_SESSIONS,
            start_up_ms: DEFAULT_LOGIN_TIMEOUT_MS,
            statements: DEFAULT_PREPARED_STATEMENTS,
            portals: DEFAULT_PORTALS,
            settings: DEFAULT_SETTINGS,
            message_bytes: DEFAULT_MESSAGE_BYTES,
            buffer_bytes: DEFAULT_BUFFER_BYTES,
            engine_connections: DEFAULT_ENGINE_CONNECTIONS,
            prepared: DEFAULT_ENGINE_PREPARED_STATEMENTS,
            transaction_idle_ms: DEFAULT_TRANSACTION_IDLE_MS,
            connection_idle_ms: DEFAULT_CONNECTION_IDLE_MS,
            connection_age_ms: DEFAULT_CONNECTION_AGE_MS,
        }
    }
}
