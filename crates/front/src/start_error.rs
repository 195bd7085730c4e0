//! Errors that keep a front from starting: each message says what is wrong, where, and what an operator can do.

use std::collections::HashMap;
use std::net::SocketAddr;

/// An error that keeps the process from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings or the operator's file are invalid.
    #[error(transparent)]
    Configuration(#[from] hallmux_config::Error),
    /// The coordinator's events in the configuration can't be read.
    #[error("{key}: {reason}; give the events in the coordinator's own format, or remove the key")]
    KnownEvents { key: String, reason: String },
    /// The front can't listen on the address for clients.
    #[error("{key}: {at}: {reason}; give the address of a free port of this machine")]
    Listen {
        key: String,
        at: SocketAddr,
        reason: std::io::Error,
    },
    /// The section `gossip` of the operator's file can't be applied.
    #[error(transparent)]
    Peers(#[from] crate::fleet::PeersError),
    /// The section `rules` of the operator's file can't be applied.
    #[error(transparent)]
    Rules(#[from] crate::fleet::RulesError),
    /// Another component that the operator's file enables, or the test clock, can't be started; the text names the key.
    #[error("{0}; correct that key or file, or remove it")]
    Component(String),
    /// The same error of a component whose text names the remedy itself.
    #[error("{0}")]
    ComponentWithRemedy(String),
    /// A call of the operating system failed.
    #[error("{operation}: {reason}; check this user's limit of open files (ulimit -n)")]
    System {
        operation: &'static str,
        reason: String,
    },
}

/// Names a key of the configuration file so that an operator finds it.
fn key_in_file(variables: &HashMap<String, String>, key: &str) -> String {
    let file = variables.get("NODE_CONFIG").map_or("?", String::as_str);
    format!("NODE_CONFIG: {file}: {key}")
}

impl StartError {
    /// The error of invalid coordinator's events in the configuration file.
    pub fn known_events(variables: &HashMap<String, String>, what: &str) -> StartError {
        // The parser's line number counts from the start of the key's value, so it is not a line of the file.
        let reason = what
            .rsplit_once(" at line ")
            .map_or(what, |(reason, _)| reason)
            .to_string();
        StartError::KnownEvents {
            key: key_in_file(variables, "known"),
            reason,
        }
    }

    /// The error of an address, from a variable or the file, that the front can't listen on.
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

    /// The error of a component, whose text may name the remedy after a semicolon.
    pub fn component(reason: &std::io::Error) -> StartError {
        let text = reason.to_string();
        if text.contains("; ") {
            StartError::ComponentWithRemedy(text)
        } else {
            StartError::Component(text)
        }
    }

    /// The error of a system call in `operation`.
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
