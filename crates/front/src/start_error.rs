//! Why a front does not start: each text says what is wrong, where, and what an operator can do.

use std::collections::HashMap;
use std::net::SocketAddr;

/// What keeps the process from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings or the operator's file.
    #[error(transparent)]
    Configuration(#[from] hallmux_config::Error),
    /// The coordinator's events that the configuration brings along can't be read.
    #[error(
        "{key}: {reason}; give the coordinator's events as it words them, or leave the key out"
    )]
    KnownEvents { key: String, reason: String },
    /// The address for clients can't be listened on.
    #[error("{key}: {at}: {reason}; give the address of a free port of this machine")]
    Listen {
        key: String,
        at: SocketAddr,
        reason: std::io::Error,
    },
    /// The part `gossip` of the operator's file.
    #[error(transparent)]
    Peers(#[from] crate::fleet::PeersError),
    /// The part `rules` of the operator's file.
    #[error(transparent)]
    Rules(#[from] crate::fleet::RulesError),
    /// What else the operator's file switches on, or the clock of a test: the text names the key.
    #[error("{0}; mend that key or file, or leave it out")]
    Component(String),
    /// The same, where the part itself says what can be done.
    #[error("{0}")]
    ComponentWithRemedy(String),
    /// A call of the operating system.
    #[error("{operation}: {reason}; see whether this user may open more files (ulimit -n)")]
    System {
        operation: &'static str,
        reason: String,
    },
}

/// A key of the file that NODE_CONFIG names, as an operator finds it.
fn key_in_file(variables: &HashMap<String, String>, key: &str) -> String {
    let file = variables.get("NODE_CONFIG").map_or("?", String::as_str);
    format!("NODE_CONFIG: {file}: {key}")
}

impl StartError {
    /// The coordinator's events in the file can't be used.
    pub fn known_events(variables: &HashMap<String, String>, what: &str) -> StartError {
        // Its line counts from where the key's value begins, which is no line of the file.
        let reason = what
            .rsplit_once(" at line ")
            .map_or(what, |(reason, _)| reason)
            .to_string();
        StartError::KnownEvents {
            key: key_in_file(variables, "known"),
            reason,
        }
    }

    /// The address, which a variable or the file has given, can't be listened on.
    pub fn listen(
        variables: &HashMap<String, String>,
        at: SocketAddr,
        reason: std::io::Error,
    ) -> StartError {
        const VARIABLE: &str = "NODE_LISTEN";
        let set = variables
            .contains_key(VARIABLE)
            .then(|| VARIABLE.to_string());
        StartError::Listen {
            key: set.unwrap_or_else(|| key_in_file(variables, "listen")),
            at,
            reason,
        }
    }

    /// The error of a part that may name the remedy itself, after a semicolon.
    pub fn component(reason: &std::io::Error) -> StartError {
        let text = reason.to_string();
        if text.contains("; ") {
            StartError::ComponentWithRemedy(text)
        } else {
            StartError::Component(text)
        }
    }

    /// The operating system failed at `what`.
    pub fn system(operation: &'static str, reason: &std::io::Error) -> StartError {
        StartError::System {
            operation,
            reason: reason.to_string(),
        }
    }
}

#[cfg(test)]
#[path = "start_error_tests.rs"]
mod tests;
