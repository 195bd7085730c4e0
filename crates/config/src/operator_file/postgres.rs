//! The section `postgres`: sessions over PostgreSQL's protocol.

mod file;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux::interface::Micros;

use crate::settings::{micros, Settings};

pub use self::file::PostgresFile;
use self::file::{LimitsFile, UserFile};
use super::checker::Checker;
use crate::error::{Error, KeyProblem};

/// The upper bound of each limit: larger times could not be added without overflow.
const MAX_LIMIT: f64 = 1e12;
const MIN_BYTES: f64 = 1024.0;
const MIN_MS: f64 = 10.0;

/// Settings for PostgreSQL sessions: the listening address, the engines, the users and the limits.
#[derive(Clone, Debug)]
pub struct Postgres {
    /// The address on which client connections are accepted.
    pub listen: SocketAddr,
    /// The engines that serve sessions.
    pub engines: Vec<PostgresEngines>,
    /// The users who may open sessions, by name.
    pub users: BTreeMap<String, User>,
    /// Limits of sessions.
    pub limits: SessionLimits,
}

/// Engines in the engine list that speak the PostgreSQL protocol.
#[derive(Clone, Debug)]
pub struct PostgresEngines {
    /// Names of the engine kinds.
    pub kinds: Vec<String>,
    /// The PostgreSQL port of engines that serve the line protocol at their listed address. None:
    /// the listed address serves PostgreSQL, and the engines do not serve the line protocol.
    pub port: Option<u16>,
}

/// The authentication of a user of PostgreSQL sessions, and the defaults of its statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct User {
    /// The SCRAM-SHA-256 verifier in the form of `pg_authid`; None: the user is trusted without a
    /// password.
    pub verifier: Option<String>,
    /// The name of the default customer of the user's statements.
    pub customer: Option<String>,
    /// The name of the default workload of the user's statements.
    pub workload: Option<String>,
    /// The user's name at the engines.
    pub engine_user: String,
    /// The user's password at the engines.
    pub engine_password: Option<String>,
}

/// Limits of sessions.
#[derive(Clone, Debug)]
pub struct SessionLimits {
    /// Maximum number of concurrent sessions.
    pub sessions: usize,
    /// Maximum time for startup and authentication.
    pub login_timeout: Micros,
    /// Maximum number of prepared statements of a session.
    pub prepared_statements: usize,
    /// Maximum number of open portals in a session's transaction.
    pub portals: usize,
    /// Maximum number of settings of a session.
    pub settings: usize,
    /// Maximum size in bytes of a client's message or unit.
    pub message_bytes: usize,
    /// Bytes of a result that are buffered for a client.
    pub buffer_bytes: usize,
    /// Maximum number of connections to an engine.
    pub engine_connections: usize,
    /// Maximum number of prepared statements on a connection to an engine.
    pub engine_prepared_statements: usize,
    /// Maximum idle time of an open transaction.
    pub transaction_idle_timeout: Micros,
    /// Idle time after which an engine connection is closed.
    pub connection_idle_timeout: Micros,
    /// Age from which an engine connection is not reused.
    pub max_connection_age: Micros,
}

/// Checks the section against the settings.
pub fn check_postgres(
    text: &str,
    file: PostgresFile,
    settings: &Settings,
) -> Result<Postgres, Error> {
    let check = Checker {
        text,
        section: "postgres",
    };
    if file.engines.is_empty() {
        let problem = "names no engines; name kinds that speak PostgreSQL, or leave 'postgres' out";
        return check.reject("engines", problem);
    }
    for (i, engines) in file.engines.iter().enumerate() {
        for (k, kind) in engines.kinds.iter().enumerate() {
            let key = format!("engines[{i}].kinds[{k}]");
            check.require_known(&key, kind, "the settings' kinds", &settings.names.kinds)?;
        }
    }
    let mut users = BTreeMap::new();
    for (name, read) in file.users {
        let user = user(&check, &name, read, settings)?;
        users.insert(name, user);
    }
    let engines = file.engines.into_iter().map(|e| PostgresEngines {
        kinds: e.kinds,
        port: e.port,
    });
    let limits = limits(&check, file.limits)?;
    Ok(Postgres {
        listen: file.listen,
        engines: engines.collect(),
        users,
        limits,
    })
}

fn user(check: &Checker, name: &str, file: UserFile, settings: &Settings) -> Result<User, Error> {
    let path = format!("users.{name}");
    check_authentication(check, &path, &file)?;
    let names = &settings.names;
    if let Some(member) = &file.member {
        check.require_known(
            &format!("{path}.member"),
            member,
            "the settings' customers",
            &names.customers,
        )?;
    }
    if let Some(workload) = &file.workload {
        check.require_known(
            &format!("{path}.workload"),
            workload,
            "the settings' workloads",
            &names.workloads,
        )?;
    }
    Ok(User {
        verifier: file.verifier,
        customer: file.member,
        workload: file.workload,
        engine_user: file.engine_user.unwrap_or_else(|| name.to_string()),
        engine_password: file.engine_password,
    })
}

/// Checks that a user has either a well-formed verifier or `trust`, and not both.
fn check_authentication(check: &Checker, path: &str, file: &UserFile) -> Result<(), Error> {
    match (&file.verifier, file.trust) {
        (None, false) => check.reject(path, "needs 'verifier', or 'trust: true'; give one of them"),
        (Some(_), true) => check.reject(path, "has both 'verifier' and 'trust'; leave one out"),
        (Some(verifier), false) if !is_verifier(verifier) => {
            let form = "SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY";
            let problem = format!("is not of the form {form}; copy it from pg_authid");
            check.reject(&format!("{path}.verifier"), problem)
        }
        _ => Ok(()),
    }
}

fn limits(check: &Checker, file: LimitsFile) -> Result<SessionLimits, Error> {
    require_limit(check, "sessions", file.sessions as f64, 1.0)?;
    require_limit(check, "start_up_ms", file.start_up_ms, MIN_MS)?;
    require_limit(check, "statements", file.statements as f64, 1.0)?;
    require_limit(check, "portals", file.portals as f64, 1.0)?;
    require_limit(check, "settings", file.settings as f64, 1.0)?;
    require_limit(check, "message_bytes", file.message_bytes as f64, MIN_BYTES)?;
    require_limit(check, "buffer_bytes", file.buffer_bytes as f64, MIN_BYTES)?;
    let connections = file.engine_connections as f64;
    require_limit(check, "engine_connections", connections, 1.0)?;
    require_limit(check, "prepared", file.prepared as f64, 1.0)?;
    require_limit(
        check,
        "transaction_idle_ms",
        file.transaction_idle_ms,
        MIN_MS,
    )?;
    require_limit(check, "connection_idle_ms", file.connection_idle_ms, MIN_MS)?;
    require_limit(check, "connection_age_ms", file.connection_age_ms, MIN_MS)?;
    Ok(SessionLimits {
        sessions: file.sessions,
        login_timeout: micros(file.start_up_ms),
        prepared_statements: file.statements,
        portals: file.portals,
        settings: file.settings,
        message_bytes: file.message_bytes,
        buffer_bytes: file.buffer_bytes,
        engine_connections: file.engine_connections,
        engine_prepared_statements: file.prepared,
        transaction_idle_timeout: micros(file.transaction_idle_ms),
        connection_idle_timeout: micros(file.connection_idle_ms),
        max_connection_age: micros(file.connection_age_ms),
    })
}

fn require_limit(check: &Checker, key: &str, value: f64, min: f64) -> Result<(), Error> {
    if (min..=MAX_LIMIT).contains(&value) {
        return Ok(());
    }
    let problem = if value > MAX_LIMIT {
        KeyProblem::above_maximum(MAX_LIMIT)
    } else {
        KeyProblem::below_minimum(min)
    };
    check.reject(&format!("limits.{key}"), problem)
}

/// Whether a text has the form of a verifier. The protocol module decodes its contents.
fn is_verifier(text: &str) -> bool {
    let Some((head, keys)) = text
        .strip_prefix("SCRAM-SHA-256$")
        .and_then(|rest| rest.split_once('$'))
    else {
        return false;
    };
    let Some((iterations, salt)) = head.split_once(':') else {
        return false;
    };
    let Some((stored, server)) = keys.split_once(':') else {
        return false;
    };
    let is_base64 = |c: char| c.is_ascii_alphanumeric() || "+/=".contains(c);
    let is_key = |text: &str| text.len() == 44 && text.chars().all(is_base64);
    let has_iterations = iterations.parse::<u32>().is_ok_and(|n| n > 0);
    has_iterations
        && !salt.is_empty()
        && salt.chars().all(is_base64)
        && is_key(stored)
        && is_key(server)
}

#[cfg(test)]
#[path = "postgres_tests.rs"]
mod tests;
